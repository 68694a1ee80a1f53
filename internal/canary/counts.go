package canary

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Stratum is what is compared with its like alone.
type Stratum struct {
	Class     uint8
	Zone      uint8 // of the member, by its place among the sorted names of zones
	WarmingUp bool
	Load      uint8 // Band
}

func (s Stratum) flags() uint8 {
	f := s.Load << 1
	if s.WarmingUp {
		f |= 1
	}
	return f
}

func compareStrata(x, y Stratum) int {
	return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.flags(), y.flags()))
}

// LoadBands of load.
const LoadBands = 4

// LoadBand is a member's load (flows offered to it, as a part of what its cores bear) in halves of what is left: waiting times go as one over
// that, so within a band they differ by 2 at most. It is what is offered, not how busy the member is: a build that burns more must
// not hide in a band of its own.
func LoadBand(load float64) uint8 {
	switch {
	case load < 0.5:
		return 0
	case load < 0.75:
		return 1
	case load < 0.875:
		return 2
	}
	return 3
}

// HistogramBuckets of a histogram: two an octave, up to 2 minutes.
const HistogramBuckets = 40

const leastMS = 0.125

// Histogram is a histogram: bucket i holds what took up to 1/8 ms times the square root of 2 to the i.
type Histogram [HistogramBuckets]uint64

// Add counts one time.
func (t *Histogram) Add(ms float64) {
	i := 0
	if ms > leastMS { // not NaN
		i = min(int(math.Ceil(2*math.Log2(ms/leastMS))), HistogramBuckets-1)
	}
	t[i]++
}

// above is how many took longer than bucket i.
func (t *Histogram) above(i int) (n uint64) {
	for _, k := range t[min(i+1, HistogramBuckets):] {
		n += k
	}
	return n
}

// Tally is what one arm of one stratum was counted at.
type Tally struct {
	Attempts, Failed, Reset, TimedOut uint64
	OpenSeconds                       uint64    // whole seconds that flows stood, each flow's first minute alone: arms then have flows of one age
	EarlyDisconnects                  uint64    // of these flows, ended in that minute by the member
	SetupTime                         Histogram // one for each attempt that came to stand
	MessageTime                       Histogram // one for each flow, of its first minute: messages of one flow are alike and count once
}

// forEach visits all numbers of a tally in one order.
func (t *Tally) forEach(visit func(*uint64)) {
	for _, n := range []*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.OpenSeconds, &t.EarlyDisconnects} {
		visit(n)
	}
	for i := range HistogramBuckets {
		visit(&t.SetupTime[i])
		visit(&t.MessageTime[i])
	}
}

// StratumCounts is a stratum with both arms.
type StratumCounts struct {
	Stratum
	Baseline, Canary Tally
}

// CountReport is a relay's word: all since its start, whole strata at a time, so that a lost word costs nothing once the next is there.
type CountReport struct {
	Salt        uint64          // of the canary
	Incarnation uint64          // of the relay's process; rises with each start
	Seq         uint64          // of this word
	Strata      []StratumCounts // in order
}

// Collector counts at one relay for one canary. One goroutine at a time.
type Collector struct {
	salt, start, seq uint64
	strata           []*collectedStratum
	overflow         Tally
	Rejected         uint64 // counts of strata beyond MaxStrata
}

type collectedStratum struct {
	StratumCounts
	pendingReports int    // words that it is still to be in
	lastReport     uint64 // the last word that it was in
}

// reportsPerChange is in how many words a change is told: with every third lost, one in 27 waits for the next change or for its turn.
const reportsPerChange = 3

// NewCollector begins at nothing.
func NewCollector(salt, start uint64) *Collector { return &Collector{salt: salt, start: start} }

// At is where to count. It is told in the next words; hold it for no longer than the call.
func (c *Collector) Tally(s Stratum, arm bool) *Tally {
	s.Load = min(s.Load, LoadBands-1)
	i, found := slices.BinarySearchFunc(c.strata, s, func(k *collectedStratum, s Stratum) int { return compareStrata(k.Stratum, s) })
	if !found {
		if len(c.strata) >= MaxStrata {
			c.Rejected++
			return &c.overflow
		}
		c.strata = slices.Insert(c.strata, i, &collectedStratum{StratumCounts: StratumCounts{Stratum: s}})
	}
	k := c.strata[i]
	k.pendingReports = reportsPerChange
	if arm {
		return &k.Canary
	}
	return &k.Baseline
}

const (
	wireVersion = 1
	hasBaseline = 1 << 3
	hasCanary   = 1 << 4
	maxCount    = 1 << 48
)

// AppendReport adds the next word to dst, of most bytes at most: the strata that changed, those that waited longest first, and one more by turns.
func (c *Collector) AppendReport(dst []byte, most int) []byte {
	c.seq++
	begin := len(dst)
	dst = append(dst, wireVersion)
	dst = binary.LittleEndian.AppendUint64(dst, c.salt)
	dst = binary.AppendUvarint(dst, c.start)
	dst = binary.AppendUvarint(dst, c.seq)
	turn := slices.Clone(c.strata)
	slices.SortStableFunc(turn, func(x, y *collectedStratum) int {
		return cmp.Or(cmp.Compare(boolToInt(y.pendingReports > 0), boolToInt(x.pendingReports > 0)), cmp.Compare(x.lastReport, y.lastReport))
	})
	var picked []*collectedStratum
	var part []byte
	size := len(dst) - begin
	for _, k := range turn {
		if k.pendingReports == 0 && len(picked) > 0 {
			break
		}
		part = appendStratum(part[:0], &k.StratumCounts)
		if size+len(part) > most {
			break // it is the first in the next word
		}
		size += len(part)
		picked = append(picked, k)
		k.lastReport, k.pendingReports = c.seq, max(k.pendingReports-1, 0)
	}
	slices.SortFunc(picked, func(x, y *collectedStratum) int { return compareStrata(x.Stratum, y.Stratum) })
	for _, k := range picked {
		dst = appendStratum(dst, &k.StratumCounts)
	}
	return dst
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func appendStratum(dst []byte, p *StratumCounts) []byte {
	flags := p.flags()
	if p.Baseline != (Tally{}) {
		flags |= hasBaseline
	}
	if p.Canary != (Tally{}) {
		flags |= hasCanary
	}
	dst = append(dst, p.Class, p.Zone, flags)
	if flags&hasBaseline != 0 {
		dst = appendTally(dst, &p.Baseline)
	}
	if flags&hasCanary != 0 {
		dst = appendTally(dst, &p.Canary)
	}
	return dst
}

func appendTally(dst []byte, t *Tally) []byte {
	for _, n := range [...]uint64{t.Attempts, t.Failed, t.Reset, t.TimedOut, t.OpenSeconds, t.EarlyDisconnects} {
		dst = binary.AppendUvarint(dst, n)
	}
	return appendHistogram(appendHistogram(dst, &t.SetupTime), &t.MessageTime)
}

// appendHistogram writes where the buckets in use begin, how many there are, and each.
func appendHistogram(dst []byte, t *Histogram) []byte {
	first, end := 0, HistogramBuckets
	for end > 0 && t[end-1] == 0 {
		end--
	}
	for first < end && t[first] == 0 {
		first++
	}
	dst = append(dst, uint8(first), uint8(end-first))
	for _, n := range t[first:end] {
		dst = binary.AppendUvarint(dst, n)
	}
	return dst
}

var errCountReport = errors.New("canary: not a word of counts")

// reportReader takes a word apart; after the first fault all is zero.
type reportReader struct {
	rest   []byte
	failed bool
}

func (r *reportReader) byte() uint8 {
	if len(r.rest) == 0 {
		r.failed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reportReader) uvarint() uint64 {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[used:]
	return n
}

func (r *reportReader) count() uint64 {
	n := r.uvarint()
	if n > maxCount { // sums of many must not run over
		r.failed = true
		return 0
	}
	return n
}

func (r *reportReader) histogram(t *Histogram) (sum uint64) {
	first, n := int(r.byte()), int(r.byte())
	if first+n > HistogramBuckets {
		r.failed = true
		return 0
	}
	for i := range n {
		t[first+i] = r.count()
		sum += t[first+i]
	}
	return sum
}

func (r *reportReader) tally(t *Tally) {
	for _, n := range []*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.OpenSeconds, &t.EarlyDisconnects} {
		*n = r.count()
	}
	stood := r.histogram(&t.SetupTime)
	r.histogram(&t.MessageTime)
	if t.Failed+t.Reset+t.TimedOut > t.Attempts || stood > t.Attempts || t.EarlyDisconnects > t.Attempts {
		r.failed = true // more came of it than was tried
	}
}

// DecodeCountReport takes a word apart. What no Counter can have written is refused.
func DecodeCountReport(b []byte) (CountReport, error) {
	var c CountReport
	r := reportReader{rest: b}
	if r.byte() != wireVersion || len(r.rest) < 8 {
		return c, errCountReport
	}
	c.Salt = binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	c.Incarnation, c.Seq = r.uvarint(), r.uvarint()
	c.Strata = make([]StratumCounts, 0, 12) // as many as usual
	for len(r.rest) > 0 && !r.failed {
		s := Stratum{Class: r.byte(), Zone: r.byte()}
		flags := r.byte()
		s.WarmingUp, s.Load = flags&1 != 0, flags>>1&(LoadBands-1)
		if flags&^(hasBaseline|hasCanary|7) != 0 || len(c.Strata) == MaxStrata ||
			len(c.Strata) > 0 && compareStrata(c.Strata[len(c.Strata)-1].Stratum, s) >= 0 {
			return CountReport{}, errCountReport
		}
		c.Strata = append(c.Strata, StratumCounts{Stratum: s})
		p := &c.Strata[len(c.Strata)-1]
		if flags&hasBaseline != 0 {
			r.tally(&p.Baseline)
		}
		if flags&hasCanary != 0 {
			r.tally(&p.Canary)
		}
	}
	if r.failed {
		return CountReport{}, errCountReport
	}
	return c, nil
}
