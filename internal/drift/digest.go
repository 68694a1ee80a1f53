package drift

import (
	"cmp"
	"hash/fnv"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// GroupOf returns the group of an item: its name up to the first dot.
func GroupOf(item string) string {
	group, _, _ := strings.Cut(item, ".")
	return group
}

// compareByGroup orders items so that those of a group are together, which the order of names alone does not: "config-x" is before
// "config.a".
func compareByGroup(x, y string) int {
	return cmp.Or(cmp.Compare(GroupOf(x), GroupOf(y)), cmp.Compare(x, y))
}

// DigestOf returns the digest of a group's items, which are sorted by name. Items of which the relay runs nothing and rejected nothing do not
// count, nor do Since, Source and Progress: the leader, which knows only what is agreed, must come to the same digest.
func DigestOf(items []Applied) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, a := range items {
		if a.empty() {
			continue
		}
		b = protowire.AppendString(b[:0], a.Name)
		b = protowire.AppendFixed64(b, a.Version)
		b = protowire.AppendFixed64(b, a.Digest)
		b = protowire.AppendFixed64(b, a.RejectedVersion)
		b = append(b, byte(protowire.EncodeBool(a.LocalOverride)))
		h.Write(b)
	}
	return h.Sum64()
}
