package drift

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// Reports and replies are encoded in protobuf's wire format. Unknown fields are skipped.

var (
	errReport = errors.New("drift: malformed report")
	errReply  = errors.New("drift: malformed reply")
)

func appendString(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendFixed(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

func (g GroupDigest) append(b []byte) []byte {
	return appendFixed(appendString(b, 1, g.Name), 2, g.Digest)
}

func (a Activity) append(b []byte) []byte {
	b = appendString(appendString(b, 1, a.Item), 2, a.Kind)
	return appendUint(appendUint(b, 3, a.Count), 4, a.Violations)
}

// append encodes Since as the time from Since to sentAt, which takes fewer bytes than a timestamp.
func (a Applied) append(b []byte, sentAt int64) []byte {
	b = appendUint(appendString(b, 1, a.Name), 2, a.Version)
	b = appendFixed(b, 3, a.Digest)
	b = appendUint(b, 4, protowire.EncodeZigZag(sentAt-a.Since))
	b = appendString(appendString(b, 5, a.Source), 6, a.RejectReason)
	b = appendUint(appendUint(b, 7, a.RejectedVersion), 8, a.Progress)
	return appendUint(b, 9, protowire.EncodeBool(a.LocalOverride))
}

// Encode returns the encoded report. It is at most MaxReportBytes long for a report of a Reporter.
func (r Report) Encode() []byte {
	b := appendString(nil, 1, r.Relay)
	b = appendUint(appendUint(b, 2, r.Incarnation), 3, r.Seq)
	b = appendUint(b, 4, protowire.EncodeZigZag(r.SentAt))
	for _, g := range r.Groups {
		b = appendBytes(b, 5, g.append(nil))
	}
	for _, a := range r.Items {
		b = appendBytes(b, 6, a.append(nil, r.SentAt))
	}
	for _, a := range r.Activities {
		b = appendBytes(b, 7, a.append(nil))
	}
	return b
}

// Encode returns the encoded reply.
func (r Reply) Encode() []byte {
	b := appendString(nil, 1, r.Relay)
	b = appendUint(appendUint(b, 2, r.Incarnation), 3, r.Seq)
	for _, group := range r.WantDetails {
		b = appendString(b, 4, group)
	}
	for _, item := range r.Resync {
		b = appendString(b, 5, item)
	}
	return b
}

// fieldReader reads the fields of a message one by one. After an error, next and ok return false.
type fieldReader struct {
	rest   []byte
	field  protowire.Number
	number uint64 // value of a varint or fixed64 field
	bytes  []byte // value of a length-delimited field
	failed bool
}

func (r *fieldReader) next() bool {
	if r.failed || len(r.rest) == 0 {
		return false
	}
	field, kind, size := protowire.ConsumeTag(r.rest)
	if size < 0 {
		r.failed = true
		return false
	}
	r.rest = r.rest[size:]
	r.field, r.number, r.bytes = field, 0, nil
	switch kind {
	case protowire.VarintType:
		r.number, size = protowire.ConsumeVarint(r.rest)
	case protowire.Fixed64Type:
		r.number, size = protowire.ConsumeFixed64(r.rest)
	case protowire.BytesType:
		r.bytes, size = protowire.ConsumeBytes(r.rest)
	default:
		size = protowire.ConsumeFieldValue(field, kind, r.rest)
	}
	if size < 0 {
		r.failed = true
		return false
	}
	r.rest = r.rest[size:]
	return true
}

func (r *fieldReader) ok() bool { return !r.failed }

// require marks the message as malformed if condition is false.
func (r *fieldReader) require(condition bool) { r.failed = r.failed || !condition }

// text returns the current field as a string. The message is malformed if the string is longer than
// maxBytes or has control characters or invalid UTF-8, so the result can be logged as it is.
func (r *fieldReader) text(maxBytes int) string {
	if len(r.bytes) > maxBytes {
		r.failed = true
		return ""
	}
	s := string(r.bytes)
	r.require(sanitize(s, maxBytes) == s)
	return s
}

// DecodeReport decodes a report from an untrusted sender. It returns an error if the report is malformed
// or exceeds one of the limits of this package.
func DecodeReport(b []byte) (Report, error) {
	var report Report
	r := fieldReader{rest: b, failed: len(b) > MaxReportBytes}
	for r.next() {
		switch r.field {
		case 1:
			report.Relay = r.text(MaxRelayNameBytes)
		case 2:
			report.Incarnation = r.number
		case 3:
			report.Seq = r.number
		case 4:
			report.SentAt = protowire.DecodeZigZag(r.number)
		case 5:
			g, ok := decodeGroupDigest(r.bytes)
			report.Groups = append(report.Groups, g)
			r.require(ok && len(report.Groups) <= MaxGroups)
		case 6:
			a, ok := decodeApplied(r.bytes)
			report.Items = append(report.Items, a)
			r.require(ok && len(report.Items) <= MaxItems)
		case 7:
			a, ok := decodeActivity(r.bytes)
			report.Activities = append(report.Activities, a)
			r.require(ok && len(report.Activities) <= MaxActivities)
		}
	}
	if !r.ok() || report.Relay == "" {
		return Report{}, errReport
	}
	for i := range report.Items {
		report.Items[i].Since = report.SentAt - report.Items[i].Since // encoded as the time from Since to SentAt
	}
	return report, nil
}

func decodeGroupDigest(b []byte) (g GroupDigest, ok bool) {
	r := fieldReader{rest: b}
	for r.next() {
		switch r.field {
		case 1:
			g.Name = r.text(MaxGroupNameBytes)
		case 2:
			g.Digest = r.number
		}
	}
	return g, r.ok() && g.Name != ""
}

func decodeApplied(b []byte) (a Applied, ok bool) {
	r := fieldReader{rest: b}
	for r.next() {
		switch r.field {
		case 1:
			a.Name = r.text(MaxNameBytes)
		case 2:
			a.Version = r.number
		case 3:
			a.Digest = r.number
		case 4:
			a.Since = protowire.DecodeZigZag(r.number)
		case 5:
			a.Source = r.text(MaxSourceBytes)
		case 6:
			a.RejectReason = r.text(MaxReasonBytes)
		case 7:
			a.RejectedVersion = r.number
		case 8:
			a.Progress = r.number
		case 9:
			a.LocalOverride = r.number != 0
		}
	}
	return a, r.ok() && a.Name != "" && len(GroupOf(a.Name)) <= MaxGroupNameBytes
}

func decodeActivity(b []byte) (a Activity, ok bool) {
	r := fieldReader{rest: b}
	for r.next() {
		switch r.field {
		case 1:
			a.Item = r.text(MaxNameBytes)
		case 2:
			a.Kind = r.text(MaxNameBytes)
		case 3:
			a.Count = r.number
		case 4:
			a.Violations = r.number
		}
	}
	return a, r.ok() && a.Item != "" && a.Kind != ""
}

// DecodeReply decodes a reply from an untrusted sender. It returns an error if the reply is malformed or
// exceeds one of the limits of this package.
func DecodeReply(b []byte) (Reply, error) {
	var reply Reply
	r := fieldReader{rest: b, failed: len(b) > MaxReplyBytes}
	for r.next() {
		switch r.field {
		case 1:
			reply.Relay = r.text(MaxRelayNameBytes)
		case 2:
			reply.Incarnation = r.number
		case 3:
			reply.Seq = r.number
		case 4:
			reply.WantDetails = append(reply.WantDetails, r.text(MaxGroupNameBytes))
			r.require(len(reply.WantDetails) <= MaxGroups)
		case 5:
			reply.Resync = append(reply.Resync, r.text(MaxNameBytes))
			r.require(len(reply.Resync) <= maxResync)
		}
	}
	if !r.ok() || reply.Relay == "" {
		return Reply{}, errReply
	}
	return reply, nil
}
