package drift

import (
	"cmp"
	"errors"
	"hash/fnv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

var errMalformed = errors.New("drift: not a word of a relay")

// GroupOf is the group of an item: its name up to the first dot.
func GroupOf(item string) string {
	group, _, _ := strings.Cut(item, ".")
	return group
}

// compareByGroup orders items so that those of a group stand together, which names alone do not: "config-x" sorts before "config.a".
func compareByGroup(x, y string) int {
	return cmp.Or(cmp.Compare(GroupOf(x), GroupOf(y)), cmp.Compare(x, y))
}

// DigestOf is the digest of a group's items, sorted by name. An item of which the relay runs nothing and refused nothing does not count. Since, From
// and Step do not either: the leader, which has intent alone, must come to the same.
func DigestOf(items []Applied) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, it := range items {
		if it.empty() {
			continue
		}
		b = protowire.AppendString(b[:0], it.Name)
		b = protowire.AppendFixed64(b, it.Version)
		b = protowire.AppendFixed64(b, it.Digest)
		b = protowire.AppendFixed64(b, it.RejectedVersion)
		b = append(b, byte(protowire.EncodeBool(it.LocalOverride)))
		h.Write(b)
	}
	return h.Sum64()
}

func (a Applied) empty() bool {
	return a.Version == 0 && a.Digest == 0 && a.RejectedVersion == 0 && !a.LocalOverride
}

// sanitize makes text fit for a word: bounded, whole runes, nothing that would break a line of a log.
func sanitize(s string, most int) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError {
			return '?'
		}
		return r
	}, s)
	for len(s) > most {
		_, n := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-n]
	}
	return s
}

// ---- Encoding: protobuf's wire format. What is unknown is passed over ----

func appendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendFixed(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func (g GroupDigest) append(b []byte) []byte {
	return appendFixed(appendString(b, 1, g.Name), 2, g.Digest)
}

func (d Activity) append(b []byte) []byte {
	b = appendString(appendString(b, 1, d.Item), 2, d.Kind)
	return appendUint(appendUint(b, 3, d.Count), 4, d.Violations)
}

// append writes since as how long before the word, which is shorter.
func (a Applied) append(b []byte, at int64) []byte {
	b = appendUint(appendString(b, 1, a.Name), 2, a.Version)
	b = appendFixed(b, 3, a.Digest)
	b = appendUint(b, 4, protowire.EncodeZigZag(at-a.Since))
	b = appendString(appendString(b, 5, a.Source), 6, a.RejectReason)
	b = appendUint(appendUint(b, 7, a.RejectedVersion), 8, a.Progress)
	return appendUint(b, 9, protowire.EncodeBool(a.LocalOverride))
}

// Encode is a word as bytes. A Book's word is no longer than MaxReportBytes.
func (w Report) Encode() []byte {
	b := appendString(nil, 1, w.Relay)
	b = appendUint(appendUint(b, 2, w.Incarnation), 3, w.Seq)
	b = appendUint(b, 4, protowire.EncodeZigZag(w.SentAt))
	for _, g := range w.Groups {
		b = appendBytes(b, 5, g.append(nil))
	}
	for _, a := range w.Items {
		b = appendBytes(b, 6, a.append(nil, w.SentAt))
	}
	for _, d := range w.Activities {
		b = appendBytes(b, 7, d.append(nil))
	}
	return b
}

// Encode is a reply as bytes.
func (r Reply) Encode() []byte {
	b := appendString(nil, 1, r.Relay)
	b = appendUint(appendUint(b, 2, r.Incarnation), 3, r.Seq)
	for _, g := range r.WantDetails {
		b = appendString(b, 4, g)
	}
	for _, t := range r.Resync {
		b = appendString(b, 5, t)
	}
	return b
}

// forEachField hands out the fields of a message: numbers as n, all else as v. False from take is an error.
func forEachField(b []byte, take func(field protowire.Number, n uint64, v []byte) bool) error {
	for len(b) > 0 {
		field, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformed
		}
		b = b[size:]
		var n uint64
		var v []byte
		switch kind {
		case protowire.VarintType:
			n, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			n, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(field, kind, b)
		}
		if size < 0 || !take(field, n, v) {
			return errMalformed
		}
		b = b[size:]
	}
	return nil
}

// decodeText takes a string that is bounded and clean, so that it can go to logs as it is.
func decodeText(to *string, v []byte, most int) bool {
	if len(v) > most {
		return false
	}
	*to = string(v)
	return sanitize(*to, most) == *to
}

// DecodeReport reads a word, whoever wrote it: what it returns is within the bounds.
func DecodeReport(b []byte) (Report, error) {
	var w Report
	if len(b) > MaxReportBytes {
		return w, errMalformed
	}
	err := forEachField(b, func(field protowire.Number, n uint64, v []byte) bool {
		switch field {
		case 1:
			return decodeText(&w.Relay, v, MaxRelayNameBytes)
		case 2:
			w.Incarnation = n
		case 3:
			w.Seq = n
		case 4:
			w.SentAt = protowire.DecodeZigZag(n)
		case 5:
			g, ok := decodeGroup(v)
			w.Groups = append(w.Groups, g)
			return ok && len(w.Groups) <= MaxGroups
		case 6:
			a, ok := decodeApplied(v)
			w.Items = append(w.Items, a)
			return ok && len(w.Items) <= MaxItems
		case 7:
			d, ok := decodeDoing(v)
			w.Activities = append(w.Activities, d)
			return ok && len(w.Activities) <= MaxActivities
		}
		return true
	})
	if err != nil || w.Relay == "" {
		return Report{}, errMalformed
	}
	for i := range w.Items {
		w.Items[i].Since = w.SentAt - w.Items[i].Since // was written as how long before
	}
	return w, nil
}

func decodeGroup(b []byte) (g GroupDigest, ok bool) {
	err := forEachField(b, func(field protowire.Number, n uint64, v []byte) bool {
		switch field {
		case 1:
			return decodeText(&g.Name, v, MaxGroupNameBytes)
		case 2:
			g.Digest = n
		}
		return true
	})
	return g, err == nil && g.Name != ""
}

func decodeApplied(b []byte) (a Applied, ok bool) {
	err := forEachField(b, func(field protowire.Number, n uint64, v []byte) bool {
		switch field {
		case 1:
			return decodeText(&a.Name, v, MaxNameBytes)
		case 2:
			a.Version = n
		case 3:
			a.Digest = n
		case 4:
			a.Since = protowire.DecodeZigZag(n)
		case 5:
			return decodeText(&a.Source, v, MaxSourceBytes)
		case 6:
			return decodeText(&a.RejectReason, v, MaxReasonBytes)
		case 7:
			a.RejectedVersion = n
		case 8:
			a.Progress = n
		case 9:
			a.LocalOverride = n != 0
		}
		return true
	})
	return a, err == nil && a.Name != "" && len(GroupOf(a.Name)) <= MaxGroupNameBytes
}

func decodeDoing(b []byte) (d Activity, ok bool) {
	err := forEachField(b, func(field protowire.Number, n uint64, v []byte) bool {
		switch field {
		case 1:
			return decodeText(&d.Item, v, MaxNameBytes)
		case 2:
			return decodeText(&d.Kind, v, MaxNameBytes)
		case 3:
			d.Count = n
		case 4:
			d.Violations = n
		}
		return true
	})
	return d, err == nil && d.Item != "" && d.Kind != ""
}

// DecodeReply reads a reply, whoever wrote it.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if len(b) > MaxReplyBytes {
		return r, errMalformed
	}
	err := forEachField(b, func(field protowire.Number, n uint64, v []byte) bool {
		var s string
		switch field {
		case 1:
			return decodeText(&r.Relay, v, MaxRelayNameBytes)
		case 2:
			r.Incarnation = n
		case 3:
			r.Seq = n
		case 4:
			r.WantDetails = append(r.WantDetails, "")
			return len(r.WantDetails) <= MaxGroups && decodeText(&r.WantDetails[len(r.WantDetails)-1], v, MaxGroupNameBytes)
		case 5:
			ok := decodeText(&s, v, MaxNameBytes)
			r.Resync = append(r.Resync, s)
			return ok && len(r.Resync) <= maxResync
		}
		return true
	})
	if err != nil || r.Relay == "" {
		return Reply{}, errMalformed
	}
	return r, nil
}
