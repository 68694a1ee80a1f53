package canary

// Outcome is what a verdict concludes.
type Outcome string

// The outcomes of a verdict.
const (
	Inconclusive Outcome = "not-enough" // evidence is missing
	Healthy      Outcome = "sound"      // so far, with the required evidence
	Regressed    Outcome = "worse"      // everywhere
	Divergent    Outcome = "diverge"    // worse at some relays or zones only
	Overdue      Outcome = "late"       // the required evidence did not come within the longest time of a step
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
	Threshold  float64       `json:"Needed"`   // LogEValue that pauses the canary
	Compared   uint64        `json:"Compared"` // attempts of the canary that could be compared with the baseline
	Suspected  bool          `json:"Doubt"`    // evidence of harm is half way to the threshold: no step up, whatever Compared is
	Zones      []string      `json:"Zones"`    // where outcomes diverge
	Relays     []string      `json:"Relays"`   // single relays where outcomes diverge
	Faulty     []FaultyRelay `json:"Ill"`      // relays that are bad for canary and baseline alike: left out
	Checkpoint []byte        `json:"-"`        // now and then: the evidence, to be stored in the record
}

// FaultyRelay is a relay whose baseline is worse than that of the others.
type FaultyRelay struct {
	Relay  string `json:"Relay"`
	Metric Metric `json:"Metric"`
}

// JudgeSettings are a canary on one step, which a Judge evaluates.
type JudgeSettings struct {
	Spec
	Epoch      uint64
	Step       int
	Checkpoint []byte // State.Checkpoint: the evidence that an earlier leader stored for this step
}
