package canary

import (
	"cmp"
	"math"
)

// Stratum is a group of flows under like conditions: the canary's flows are compared only with baseline
// flows of the same stratum.
type Stratum struct {
	Class     uint8
	Zone      uint8 // of the member: index into the sorted zone names
	WarmingUp bool
	Load      uint8 // load band, below LoadBands
}

const (
	flagWarmingUp = 1
	loadShift     = 1 // position of the load band within the flags
)

// flags returns WarmingUp and Load in their encoded form.
func (s Stratum) flags() uint8 {
	f := s.Load << loadShift
	if s.WarmingUp {
		f |= flagWarmingUp
	}
	return f
}

// setFlags sets WarmingUp and Load from the result of flags; it ignores other bits.
func (s *Stratum) setFlags(f uint8) {
	s.WarmingUp, s.Load = f&flagWarmingUp != 0, f>>loadShift&(LoadBands-1)
}

func compareStrata(x, y Stratum) int {
	return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.flags(), y.flags()))
}

// LoadBands is the number of load bands. A member's load is the flows offered to it divided by what its
// cores can carry. Each band spans a halving of the spare capacity: waiting times are inversely
// proportional to that, so within a band they differ by at most a factor of 2. The offered load is used
// rather than the CPU usage because a build that burns more CPU would otherwise get a band of its own,
// without baseline flows to compare with.
const LoadBands = 4

// HistogramBuckets is the number of buckets of a Histogram: two per octave, up to about 1.5 minutes.
const HistogramBuckets = 40

const firstBucketMS = 0.125

// Histogram counts durations: bucket i ends at 1/8 ms times the square root of 2 to the power of i; the
// last bucket also counts longer durations.
type Histogram [HistogramBuckets]uint64

// Add counts one duration, in milliseconds.
func (h *Histogram) Add(ms float64) {
	i := 0
	if ms > firstBucketMS { // false for NaN
		i = min(int(math.Ceil(2*math.Log2(ms/firstBucketMS))), HistogramBuckets-1)
	}
	h[i]++
}

// total returns the number of durations.
func (h *Histogram) total() uint64 { return h.above(-1) }

// above returns the number of durations above bucket i.
func (h *Histogram) above(i int) (n uint64) {
	for _, k := range h[min(i+1, HistogramBuckets):] {
		n += k
	}
	return n
}

// Tally contains the counts of the canary or of the baseline in one stratum.
type Tally struct {
	Attempts, Failed, Reset, TimedOut uint64
	// OpenSeconds is the number of whole seconds that flows were open, within the first minute of each
	// flow only, so that flows of the same age are compared.
	OpenSeconds      uint64
	EarlyDisconnects uint64    // flows that the member closed within that minute
	SetupTime        Histogram // one duration for each attempt whose flow was established
	// MessageTime has one duration per flow, from its first minute: the messages of a flow are
	// similar, so they count once.
	MessageTime Histogram
}

// scalars returns the counts that are not histograms, in their encoded order.
func (t *Tally) scalars() [6]*uint64 {
	return [...]*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.OpenSeconds, &t.EarlyDisconnects}
}

// add adds the counts of another tally.
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

// since returns the difference to an earlier tally, and false if a count decreased.
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

// CountReport is a relay's report of all counts since its start. Each report contains some of the
// strata, with all of their counts, so that the next report of a stratum makes up for a lost one.
type CountReport struct {
	Salt        uint64          // of the canary
	Incarnation uint64          // of the relay's process; increases with each start
	Seq         uint64          // of this report; increases within an incarnation
	Strata      []StratumCounts // sorted by class, zone and flags
}
