package canary

import (
	"cmp"
	"math"
)

const (
	sliceMS = 1000 // evidence is evaluated in slices of this length, because relays report once a second

	// minStepSlices is the minimum number of slices of a step. At least sliceCapDivisor slices are needed
	// for a verdict, and as many more allow for a harm that does not show in every slice.
	minStepSlices = 16

	// maxHistoryTrials limits the history that the baseline rate is estimated from: above it, all counts
	// of the history are halved.
	maxHistoryTrials = 4000

	// ruleOutMarginMultiple and ruleOutShareIncrease define the harm that must be ruled out before a step
	// up. For rates it is this multiple of the margin, beyond the margin (5 percentage points in all at a
	// margin of 1). For durations it is this increase of the share of canary durations above the cut
	// that the slowest quarter of the baseline exceeds.
	ruleOutMarginMultiple = 4
	ruleOutShareIncrease  = 0.15

	// defaultFactor is how many times as often as the baseline the canary may fail if the guardrail sets
	// no factor. A canary of few members may fail more often only because its members differ from the
	// rest. At 1.15, about 1% of healthy simulated releases (90 of 8,000) violate the null hypothesis; at
	// 1 it is 3%, and at 1.25 defects are missed.
	defaultFactor = 1.15

	earlyDisconnectSeconds = 60 // the margin of EarlyDisconnects is per minute, but its trials are seconds
)

// Judge evaluates the relays' counts for one canary on one step. BeginStep starts the next step without
// evidence but keeps the histories of the baselines. A Judge is not safe for concurrent use.
type Judge struct {
	settings       JudgeSettings
	tests          []*guardTest
	relays         []*relayState      // sorted by name
	zones          []string           // sorted
	classHistories []*baselineHistory // baseline of all relays, by class, WarmingUp and load

	sliceEnd         int64 // when the current slice ends
	slices           int   // evaluated on this step so far
	nextCheckpointAt int64

	compared        uint64 // attempts to the canary that could be compared with the baseline
	canaryAttempts  uint64 // attempts to the canary, compared or not
	verdict         Verdict
	decided         bool
	attributionLeft int // slices left to attribute the harm; 0 until the evidence reaches the threshold

	Rejected uint64 // relays, zones or strata ignored because of a limit
	Stale    uint64 // reports that were repeated or arrived after a later one
	Invalid  uint64 // strata with a count that decreased without a restart, and malformed checkpoints
}

// guardTest is the sequential test of one guardrail.
type guardTest struct {
	Guardrail
	null           nullHypothesis
	shiftBuckets   int // durations: how much slower the canary may be, in buckets
	hypotheses     []harmHypothesis
	ruleOutIndex   int         // of the hypothesis that must be ruled out before a step up
	grossHarmIndex int         // of the one that each relay must rule out by itself before a wide step
	fleet          []float64   // evidence of the whole fleet, by hypothesis
	zones          [][]float64 // evidence by zone and hypothesis
	threshold      float64     // evidence that pauses the canary
}

// evidence contains logarithms of e-values, by guardrail and harm hypothesis.
type evidence [][]float64

func newEvidence(tests []*guardTest) evidence {
	e := make(evidence, len(tests))
	for k, t := range tests {
		e[k] = make([]float64, len(t.hypotheses))
	}
	return e
}

// relayState is the judge's state for one relay.
type relayState struct {
	name, zone       string
	incarnation, seq uint64 // of its last report
	strata           []*stratumState
	evidence         evidence
	faultEvidence    [][]float64 // evidence that the relay itself is faulty, by guardrail and fault harm
	faultyMetric     Metric      // the metric whose evidence shows the relay to be faulty; "" if none does
	compared         uint64      // attempts to the canary that could be compared with the baseline
	lastReportSlice  int         // number of the step's slice in which its last report arrived
}

func (r *relayState) faulty() bool { return r.faultyMetric != "" }

// stratumState is the judge's state for one stratum of a relay.
type stratumState struct {
	Stratum
	reported         StratumCounts // the last report
	baseline, canary Tally         // counted since the last evaluated block
	waitedSlices     int           // slices that counts of the one have waited for counts of the other
	history          baselineHistory
	classHistory     *baselineHistory
}

func (s *stratumState) clearBlock() { s.baseline, s.canary, s.waitedSlices = Tally{}, Tally{}, 0 }

// baselineHistory contains the baseline's counts before the current slice, from which its rate is
// estimated.
type baselineHistory struct {
	Stratum
	Tally
	current Tally // counts of the current slice, not yet in Tally
}

// endSlice adds the current slice to the history, and halves the history once it is long.
func (h *baselineHistory) endSlice() {
	h.add(&h.current)
	h.current = Tally{}
	if h.Attempts > maxHistoryTrials {
		h.halve()
	}
}

// NewJudge returns a judge with the evidence of the settings' checkpoint. It starts without evidence if
// there is no checkpoint or it is malformed; the latter counts as Invalid. ValidateSpec must accept the
// spec.
func NewJudge(s JudgeSettings) *Judge {
	j := newJudge(s)
	if len(s.Checkpoint) > 0 && !j.restoreCheckpoint(s.Checkpoint) {
		j = newJudge(s)
		j.Invalid++
	}
	return j
}

func newJudge(s JudgeSettings) *Judge {
	j := &Judge{settings: s}
	j.settings.Checkpoint = nil
	for _, g := range s.Guardrails {
		t := newGuardTest(g)
		// The false positive rate is divided among the guardrails and the steps, because each step starts
		// a new test.
		t.threshold = math.Log(float64(len(s.Guardrails)*len(s.Steps)) / s.FalsePositiveRate)
		j.tests = append(j.tests, t)
	}
	j.BeginStep(s.Epoch, s.Step)
	return j
}

func newGuardTest(g Guardrail) *guardTest {
	t := &guardTest{Guardrail: g, null: nullHypothesis{factor: 1}}
	switch g.Metric {
	case Failures, EarlyDisconnects:
		t.null = nullHypothesis{factor: cmp.Or(g.Factor, defaultFactor), margin: float64(g.MarginPerMille) / 1000}
		if g.Metric == EarlyDisconnects {
			t.null.margin /= earlyDisconnectSeconds
		}
		t.ruleOutIndex, t.grossHarmIndex = 2, 3
		for _, multiple := range []float64{1, 2, ruleOutMarginMultiple, 16} { // of the margin
			t.hypotheses = append(t.hypotheses, harmHypothesis{harm: min(t.null.margin*multiple, 0.5)})
		}
	default:
		t.shiftBuckets = int(math.Ceil(2*math.Log2(g.Factor) - 1e-9))
		t.ruleOutIndex, t.grossHarmIndex = 1, 2
		for _, share := range []float64{0.25, 0.05} { // in general, and in the tail
			for _, harm := range []float64{0.05, ruleOutShareIncrease, 0.4} {
				t.hypotheses = append(t.hypotheses, harmHypothesis{harm, share})
			}
		}
	}
	return t
}

// BeginStep starts a step: it discards all evidence and includes faulty relays again.
func (j *Judge) BeginStep(epoch uint64, step int) {
	j.settings.Epoch, j.settings.Step = epoch, step
	j.decided, j.attributionLeft, j.compared, j.canaryAttempts, j.slices = false, 0, 0, 0, 0
	j.verdict = Verdict{}
	for _, t := range j.tests {
		t.fleet = make([]float64, len(t.hypotheses))
		t.zones = nil
		for range j.zones {
			t.zones = append(t.zones, make([]float64, len(t.hypotheses)))
		}
	}
	for _, r := range j.relays {
		r.reset(j.tests)
		for _, s := range r.strata {
			s.clearBlock()
		}
	}
}

func (r *relayState) reset(tests []*guardTest) {
	r.evidence, r.faultEvidence = newEvidence(tests), nil
	r.faultyMetric, r.compared, r.lastReportSlice = "", 0, 0
	for range tests {
		r.faultEvidence = append(r.faultEvidence, make([]float64, len(faultHarms)))
	}
}

// Verdict returns the current conclusion. Once its outcome is Regressed or Divergent, it stays so until
// the next BeginStep.
func (j *Judge) Verdict(now int64) Verdict {
	j.advance(now)
	v := j.verdict
	v.At, v.Release, v.Epoch, v.Step, v.Compared = now, j.settings.Release, j.settings.Epoch, j.settings.Step, j.compared
	for _, r := range j.relays {
		if r.faulty() {
			v.Faulty = append(v.Faulty, FaultyRelay{r.name, r.faultyMetric})
		}
	}
	if now >= j.nextCheckpointAt {
		v.Checkpoint = j.checkpoint(now)
	}
	if j.decided {
		return v
	}
	v.Outcome = Inconclusive
	if j.healthy() {
		v.Outcome = Healthy
	}
	return v
}
