package canary

import (
	"cmp"
	"math"
)

const (
	sliceMS = 1000 // evidence is evaluated in slices of this length, as relays report once a second

	// minStepSlices is the least number of slices of a step: sliceCapDivisor of them can bring a verdict at best, and as many more are for a
	// harm that does not show in all of them.
	minStepSlices = 16

	// maxHistoryTrials bounds the trials that the baseline's rate is estimated from; beyond, half are forgotten.
	maxHistoryTrials = 4000

	// soughtMultiple and soughtShift are the harm that must be ruled out before a step up. For rates: this many times the margin, beyond it
	// (5 points in all where 1 is allowed). For durations: this much more of the canary above what the slowest quarter of the baseline takes.
	ruleOutMarginMultiple = 4
	ruleOutShareIncrease  = 0.15

	// defaultFactor is how many times as often as the baseline the canary may fail: with few members it may by who they are. With it about 1%
	// of healthy seeds lie outside of the null hypothesis: 90 of 8,000 (3% at 1). At 1.25 flaws are missed.
	defaultFactor = 1.15

	earlyDisconnectSeconds = 60 // of a flow count for EarlyDisconnects: its margin is per minute, its trials are seconds
)

// Judge evaluates what relays counted for one canary on one step. BeginStep starts the next step without evidence; what is known of the
// relays' baselines stays. It is for one goroutine.
type Judge struct {
	settings       JudgeSettings
	tests          []*guardTest
	relays         []*relayState      // by name
	zones          []string           // by name
	classHistories []*baselineHistory // by class, warmth and load: the baseline of all relays

	sliceEnd         int64 // when the current slice ends
	slices           int   // evaluated on this step
	nextCheckpointAt int64

	compared        uint64 // attempts of the canary that could be compared
	canaryAttempts  uint64 // attempts of the canary, compared or not
	verdict         Verdict
	decided         bool
	attributionLeft int // slices left to attribute the harm in; 0 while the evidence does not suffice

	Rejected uint64 // counts of relays, zones or strata beyond the bounds
	Stale    uint64 // reports that came again, or after a later one
	Invalid  uint64 // counts that went down without a restart, and malformed checkpoints
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

// evidence has logarithms of e-values, by guardrail and harm hypothesis.
type evidence [][]float64

func newEvidence(tests []*guardTest) evidence {
	e := make(evidence, len(tests))
	for k, t := range tests {
		e[k] = make([]float64, len(t.hypotheses))
	}
	return e
}

// relayState is what the judge knows of one relay.
type relayState struct {
	name, zone       string
	incarnation, seq uint64 // of its last report
	strata           []*stratumState
	evidence         evidence
	faultEvidence    [][]float64 // by guardrail and fault harm: that the relay itself is faulty
	faultyMetric     Metric      // that shows it to be faulty; "" if it is not
	compared         uint64
	lastReportSlice  int // of the step, in which its last report came
}

func (r *relayState) faulty() bool { return r.faultyMetric != "" }

// stratumState is what the judge knows of one stratum of a relay.
type stratumState struct {
	Stratum
	reported         StratumCounts // as last reported
	baseline, canary Tally         // counted since the last block
	waitedSlices     int           // that one of the two has waited for the other
	history          baselineHistory
	classHistory     *baselineHistory
}

func (s *stratumState) clearBlock() { s.baseline, s.canary, s.waitedSlices = Tally{}, Tally{}, 0 }

// baselineHistory is what the baseline's rate is estimated from: its counts before the current slice.
type baselineHistory struct {
	Stratum
	Tally
	current Tally // of the current slice, not in Tally yet
}

// endSlice adds the slice to the history, and forgets half of the history once it is long.
func (h *baselineHistory) endSlice() {
	h.add(&h.current)
	h.current = Tally{}
	if h.Attempts > maxHistoryTrials {
		h.halve()
	}
}

// NewJudge returns a judge with the evidence of the settings' checkpoint, or with none. The spec has passed ValidateSpec.
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
		// The error rate is shared by the guardrails and the steps, each of which begins anew.
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
		for _, share := range []float64{0.25, 0.05} { // slower in general, and in the tail
			for _, harm := range []float64{0.05, ruleOutShareIncrease, 0.4} {
				t.hypotheses = append(t.hypotheses, harmHypothesis{harm, share})
			}
		}
	}
	return t
}

// BeginStep starts a step: all evidence is forgotten, faulty relays count again.
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

// Verdict returns the conclusion at this time. Once it is Regressed or Divergent it stays so until the next BeginStep.
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
