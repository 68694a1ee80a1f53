package canary

import (
	"encoding/binary"
	"errors"
)

// The encoded form of a CountReport: the version, the salt (8 bytes, little-endian), incarnation and
// sequence number, then the strata. Numbers are varints. The flags of a stratum say which of its two
// tallies follow; a zero tally is omitted.
const (
	reportVersion = 1
	flagBaseline  = 1 << 3  // in addition to Stratum.flags: a tally of the baseline follows
	flagCanary    = 1 << 4  // a tally of the canary follows
	stratumFlags  = 7       // bits used by Stratum.flags
	maxCount      = 1 << 48 // prevents overflow when many counts are added

	typicalStrata = 12 // initial capacity for the strata of a report
)

var errCountReport = errors.New("canary: malformed count report")

func appendStratum(dst []byte, s *StratumCounts) []byte {
	flags := s.flags()
	if s.Baseline != (Tally{}) {
		flags |= flagBaseline
	}
	if s.Canary != (Tally{}) {
		flags |= flagCanary
	}
	dst = append(dst, s.Class, s.Zone, flags)
	if flags&flagBaseline != 0 {
		dst = appendTally(dst, &s.Baseline)
	}
	if flags&flagCanary != 0 {
		dst = appendTally(dst, &s.Canary)
	}
	return dst
}

func appendTally(dst []byte, t *Tally) []byte {
	for _, n := range t.scalars() {
		dst = binary.AppendUvarint(dst, *n)
	}
	return appendHistogram(appendHistogram(dst, &t.SetupTime), &t.MessageTime)
}

// appendHistogram appends the index of the first nonzero bucket, the number of buckets up to the last
// nonzero one, and their counts.
func appendHistogram(dst []byte, h *Histogram) []byte {
	first, end := 0, HistogramBuckets
	for end > 0 && h[end-1] == 0 {
		end--
	}
	for first < end && h[first] == 0 {
		first++
	}
	dst = append(dst, uint8(first), uint8(end-first))
	for _, n := range h[first:end] {
		dst = binary.AppendUvarint(dst, n)
	}
	return dst
}

// reader decodes reports and checkpoints. Malformed input sets failed; later results are then meaningless.
type reader struct {
	rest   []byte // input not yet read
	failed bool
}

func (r *reader) byte() uint8 {
	if len(r.rest) == 0 {
		r.failed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) uvarint() uint64 {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[used:]
	return n
}

func (r *reader) count() uint64 {
	n := r.uvarint()
	if n > maxCount {
		r.failed = true
		return 0
	}
	return n
}

func (r *reader) histogram(h *Histogram) (sum uint64) {
	first, n := int(r.byte()), int(r.byte())
	if first+n > HistogramBuckets {
		r.failed = true
		return 0
	}
	for i := range n {
		h[first+i] = r.count()
		sum += h[first+i]
	}
	return sum
}

func (r *reader) tally(t *Tally) {
	for _, n := range t.scalars() {
		*n = r.count()
	}
	established := r.histogram(&t.SetupTime)
	r.histogram(&t.MessageTime)
	if t.Failed+t.Reset+t.TimedOut > t.Attempts || established > t.Attempts || t.EarlyDisconnects > t.Attempts {
		r.failed = true // more outcomes than attempts
	}
}

// DecodeCountReport decodes a report. It returns an error for input that no Collector can have encoded.
func DecodeCountReport(b []byte) (CountReport, error) {
	var c CountReport
	r := reader{rest: b}
	if r.byte() != reportVersion || len(r.rest) < 8 {
		return c, errCountReport
	}
	c.Salt = binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	c.Incarnation, c.Seq = r.uvarint(), r.uvarint()
	c.Strata = make([]StratumCounts, 0, typicalStrata)
	for len(r.rest) > 0 && !r.failed {
		s := Stratum{Class: r.byte(), Zone: r.byte()}
		flags := r.byte()
		s.setFlags(flags)
		if flags&^(flagBaseline|flagCanary|stratumFlags) != 0 || len(c.Strata) == MaxStrata ||
			len(c.Strata) > 0 && compareStrata(c.Strata[len(c.Strata)-1].Stratum, s) >= 0 {
			return CountReport{}, errCountReport
		}
		c.Strata = append(c.Strata, StratumCounts{Stratum: s})
		counts := &c.Strata[len(c.Strata)-1]
		if flags&flagBaseline != 0 {
			r.tally(&counts.Baseline)
		}
		if flags&flagCanary != 0 {
			r.tally(&counts.Canary)
		}
	}
	if r.failed {
		return CountReport{}, errCountReport
	}
	return c, nil
}
