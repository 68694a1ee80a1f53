package drift

import (
	"cmp"
	"hash/fnv"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// GroupOf returns the group of an item: the part of its name before the first dot.
func GroupOf(item string) string {
	group, _, _ := strings.Cut(item, ".")
	return group
}

// compareByGroup orders item names by group, then by name. Ordering by name alone would not keep the
// items of a group together: "config-x" sorts between "config" and "config.a".
func compareByGroup(x, y string) int {
	return cmp.Or(cmp.Compare(GroupOf(x), GroupOf(y)), cmp.Compare(x, y))
}

// DigestOf returns the digest of a group's items, which must be sorted by name. Items of which the
// relay runs and has rejected nothing are skipped, and Since, Source, RejectReason and Progress are
// left out: the leader knows only what is agreed and must compute the same digest from it.
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
