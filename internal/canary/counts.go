package canary

import (
	"cmp"
	"math"
)

// Stratum is a set of flows that are compared only with each other.
type Stratum struct {
	Class     uint8
	Zone      uint8 // of the member: index into the sorted names of zones
	WarmingUp bool
	Load      uint8 // below LoadBands
}

const (
	flagWarmingUp = 1
	loadShift     = 1 // of the load band within the flags
)

// flags is the stratum's warmth and load as they are encoded.
func (s Stratum) flags() uint8 {
	f := s.Load << loadShift
	if s.WarmingUp {
		f |= flagWarmingUp
	}
	return f
}

// setFlags is the inverse of flags; bits beyond are ignored.
func (s *Stratum) setFlags(f uint8) {
	s.WarmingUp, s.Load = f&flagWarmingUp != 0, f>>loadShift&(LoadBands-1)
}

func compareStrata(x, y Stratum) int {
	return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.flags(), y.flags()))
}

// LoadBands is the number of load bands. A member's load is the flows offered to it as a share of what its cores can carry, and each band
// halves the spare capacity: waiting times go as one over that, so within a band they differ by a factor of 2 at most. It is what is offered,
// not how busy the member is: a build that burns more CPU must not hide in a band of its own.
const LoadBands = 4

// HistogramBuckets is the number of buckets of a Histogram: two an octave, up to 2 minutes.
const HistogramBuckets = 40

const firstBucketMS = 0.125

// Histogram counts durations: bucket i has those of up to 1/8 ms times the square root of 2 to the power of i.
type Histogram [HistogramBuckets]uint64

// Add counts one duration.
func (h *Histogram) Add(ms float64) {
	i := 0
	if ms > firstBucketMS { // false for NaN
		i = min(int(math.Ceil(2*math.Log2(ms/firstBucketMS))), HistogramBuckets-1)
	}
	h[i]++
}

// total is how many durations were counted.
func (h *Histogram) total() uint64 { return h.above(-1) }

// above is how many durations lie above bucket i.
func (h *Histogram) above(i int) (n uint64) {
	for _, k := range h[min(i+1, HistogramBuckets):] {
		n += k
	}
	return n
}

// Tally is what was counted for the canary or for the baseline of one stratum.
type Tally struct {
	Attempts, Failed, Reset, TimedOut uint64
	// OpenSeconds are whole seconds that flows were open, each flow's first minute only, so that flows of the same age are compared.
	OpenSeconds      uint64
	EarlyDisconnects uint64    // of these flows, those that the member closed within that minute
	SetupTime        Histogram // one for each attempt whose flow was established
	// MessageTime has one for each flow, from its first minute: messages of one flow are alike and count once.
	MessageTime Histogram
}

// scalars are the counts that are not histograms, in their encoded order.
func (t *Tally) scalars() [6]*uint64 {
	return [...]*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.OpenSeconds, &t.EarlyDisconnects}
}

// add adds another tally.
func (t *Tally) add(other *Tally) {
	theirs := other.scalars()
	for i, n := range t.scalars() {
		*n += *theirs[i]
	}
	for i := range HistogramBuckets {
		t.SetupTime[i] += other.SetupTime[i]
		t.MessageTime[i] += other.MessageTime[i]
	}
}

// halve halves all counts.
func (t *Tally) halve() {
	for _, n := range t.scalars() {
		*n /= 2
	}
	for i := range HistogramBuckets {
		t.SetupTime[i] /= 2
		t.MessageTime[i] /= 2
	}
}

// since returns what was counted after an earlier tally; false if a count went down.
func (t *Tally) since(earlier *Tally) (d Tally, ok bool) {
	ok = true
	difference := func(n, m uint64) uint64 {
		if n < m {
			ok = false
			return 0
		}
		return n - m
	}
	now, then := t.scalars(), earlier.scalars()
	for i, n := range d.scalars() {
		*n = difference(*now[i], *then[i])
	}
	for i := range HistogramBuckets {
		d.SetupTime[i] = difference(t.SetupTime[i], earlier.SetupTime[i])
		d.MessageTime[i] = difference(t.MessageTime[i], earlier.MessageTime[i])
	}
	return d, ok
}

// StratumCounts is a stratum with the counts of its baseline and its canary.
type StratumCounts struct {
	Stratum
	Baseline, Canary Tally
}

// CountReport is what a relay reports: all counts since its start, complete strata at a time, so that a lost report costs nothing once the
// next one has come.
type CountReport struct {
	Salt        uint64          // of the canary
	Incarnation uint64          // of the relay's process; rises with each start
	Seq         uint64          // of this report
	Strata      []StratumCounts // sorted
}
