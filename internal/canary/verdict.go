package canary

// Outcome is the conclusion of a verdict.
type Outcome string

// The outcomes of a verdict.
const (
	Inconclusive Outcome = "not-enough" // evidence is missing
	Healthy      Outcome = "sound"      // no harm found so far, with the required evidence
	Regressed    Outcome = "worse"      // worse than the baseline everywhere
	Divergent    Outcome = "diverge"    // worse than the baseline at some relays or zones only
	Overdue      Outcome = "late"       // no conclusive verdict within Spec.MaxStepMS
)

// Verdict is the judge's conclusion on one step.
type Verdict struct {
	At         int64         `json:"At"`
	Release    string        `json:"Release"`
	Epoch      uint64        `json:"Epoch"`
	Step       int           `json:"Rung"`
	Outcome    Outcome       `json:"Kind"`
	Metric     Metric        `json:"Metric"`   // the one with the strongest evidence
	LogEValue  float64       `json:"Evidence"` // natural logarithm of that metric's e-value
	Threshold  float64       `json:"Needed"`   // the LogEValue at which the canary pauses
	Compared   uint64        `json:"Compared"` // attempts to the canary that could be compared with the baseline
	Suspected  bool          `json:"Doubt"`    // LogEValue is at least half the threshold, so there is no step up
	Zones      []string      `json:"Zones"`    // zones where outcomes diverge
	Relays     []string      `json:"Relays"`   // single relays where outcomes diverge
	Faulty     []FaultyRelay `json:"Ill"`      // relays that are excluded: their baseline is bad too
	Checkpoint []byte        `json:"-"`        // evidence to store in the record; nil until the next one is due
}

// FaultyRelay is a relay whose baseline is worse than that of the other relays.
type FaultyRelay struct {
	Relay  string `json:"Relay"`
	Metric Metric `json:"Metric"`
}

// JudgeSettings describe a canary on one step for a Judge to evaluate.
type JudgeSettings struct {
	Spec
	Epoch      uint64
	Step       int
	Checkpoint []byte // from State.Checkpoint: the evidence that an earlier leader stored for this step
}
