// Package canary decides which share of new flows goes to the members of a new build, and whether they do worse there. It does no
// I/O and reads no clock: commands, counts, time and what others said are passed in. State is what the fleet has agreed on, Holder is
// one relay's side of it, Judge is the leader's verdict. docs/design/canary.md says why it is as it is.
package canary

import "encoding/json"

// Bounds on what is held, whatever is claimed.
const (
	MaxCanaries        = 16   // in the record, finished ones among them
	MaxSteps           = 16   // of a ladder
	MaxSelectedMembers = 4096 // named in an arm
	MaxRelays          = 1024 // that the judge holds counts of
	MaxStrata          = 64   // of one relay
	MaxNotices         = 64   // that a relay holds of releases it knows nothing of
)

// Status is where a canary stands.
type Status string

const (
	Progressing Status = "going"  // the ladder climbs
	Paused      Status = "paused" // it waits for an operator
	RolledBack  Status = "back"   // the arm gets nothing new, for good
	Completed   Status = "done"   // the last rung was sound
)

// Op is what a Command does.
type Op string

const (
	OpOpen       Op = "open"   // a canary of a release begins
	OpAdvance    Op = "rung"   // to the next step, or to completed after the last one
	OpPause      Op = "pause"  // no new flows, until an operator resumes
	OpResume     Op = "resume" // one step below the paused one
	OpRollBack   Op = "back"   // no new flows, for good
	OpClose      Op = "close"  // a completed or rolled back canary leaves the record
	OpCheckpoint Op = "keep"   // the step's evidence goes into the record
)

// DivergencePolicy is what a pause does to the weight where outcomes diverge between zones or relays. Empty is ZeroWeight.
type DivergencePolicy string

const (
	KeepWeight  DivergencePolicy = "keep"
	LowerWeight DivergencePolicy = "lower" // by one step
	ZeroWeight  DivergencePolicy = "zero"
)

// Metric is something that must not get worse.
type Metric string

const (
	Failures         Metric = "failures"   // attempts that failed, were reset or timed out
	SetupTime        Metric = "set-up"     // time until a flow stands
	MessageTime      Metric = "message"    // time of a message on a flow
	EarlyDisconnects Metric = "early-ends" // flows that a member ended before their client did, within their first minute
)

// Guardrail is a metric and by how much the arm may be worse without a verdict.
type Guardrail struct {
	Metric         Metric  `json:"metric"`
	MarginPerMille int     `json:"points,omitempty"` // failures, early-ends: in per mille of attempts, of flows' minutes (10: one percent more)
	Factor         float64 `json:"factor,omitempty"` // set-up, message: slower by this factor; held in steps of the square root of 2, upwards. failures, early-ends: so many times as often as the base, beside the points; 1.15 if absent
}

// Target is whose members get the share: the named, or all that started at Since or later (wall clock, ms).
type Selector struct {
	Members []string `json:"members,omitempty"`
	Since   int64    `json:"since,omitempty"`
}

// Spec is a canary as a release carries it.
type Spec struct {
	Release           string           `json:"release"`
	Target            Selector         `json:"arm"`
	Salt              uint64           `json:"salt"`    // drawn by the proposer, another for each release
	Steps             []int            `json:"ladder"`  // per mille of new flows, rising
	MinAttempts       uint64           `json:"floor"`   // attempts of the arm on a rung that had something to be compared with
	MaxStepMS         int64            `json:"longest"` // ms on a rung; past it without the floor the ladder pauses
	Guardrails        []Guardrail      `json:"guards"`
	FalsePositiveRate float64          `json:"error"`             // at most this part of sound releases is paused, over all rungs and guards
	OnDivergence      DivergencePolicy `json:"diverge,omitempty"` // weight while outcomes diverge: keep, lower (a rung), zero; "" is zero
}

// Canary is one in the record.
type Canary struct {
	Spec
	Status        Status   `json:"status"`
	Step          int      `json:"rung"`
	PerMille      int      `json:"per_mille"` // of new flows, now
	Epoch         uint64   `json:"epoch"`     // rises with open and resume: a pause said for an epoch ends with it
	Revision      uint64   `json:"number"`    // rises with each change of this canary
	StepStartedAt int64    `json:"rung_at"`   // when this rung began
	PausedSteps   []int    `json:"paused,omitempty"`
	ChangedBy     string   `json:"by,omitempty"` // who last changed it
	Reason        string   `json:"why,omitempty"`
	Outcome       Outcome  `json:"kind,omitempty"`  // of the verdict that paused it
	Divergent     []string `json:"named,omitempty"` // zones and relays where outcomes diverge
}

// Weight is what a relay is to do for one canary.
type Weight struct {
	Release  string   `json:"Release"`
	Target   Selector `json:"Arm"`
	Salt     uint64   `json:"Salt"`
	PerMille int      `json:"PerMille"`
	Step     int      `json:"Rung"`
	Epoch    uint64   `json:"Epoch"`
	Revision uint64   `json:"Number"`
}

// Command is a body for State.Apply. Do is open, rung, pause, resume, back, close or keep.
type Command struct {
	Op         Op       `json:"do"`
	Release    string   `json:"release"`
	Spec       *Spec    `json:"spec,omitempty"`   // open
	Revision   uint64   `json:"number,omitempty"` // rung, back, keep: refused unless the canary is still at this number
	Epoch      uint64   `json:"epoch,omitempty"`  // pause: refused if a resume came after; 0: whatever it is. resume: above this one
	Reason     string   `json:"why,omitempty"`
	Outcome    Outcome  `json:"kind,omitempty"`
	Divergent  []string `json:"named,omitempty"`
	Checkpoint []byte   `json:"keep,omitempty"`
}

// Encode is the command as the record carries it.
func (c Command) Encode() json.RawMessage {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return b
}

// Notice is what relays tell each other about weights, agreed or not: it can only lower.
type Notice struct {
	Release  string `json:"release"`
	Pause    bool   `json:"pause,omitempty"`     // nothing new for the arm in this epoch or an earlier one
	Epoch    uint64 `json:"epoch"`               //
	Revision uint64 `json:"number,omitempty"`    // without Pause: as agreed at this number
	PerMille int    `json:"per_mille,omitempty"` // at most
}

// Outcome is what a verdict says.
type Outcome string

const (
	Inconclusive Outcome = "not-enough" // evidence
	Healthy      Outcome = "sound"      // so far, and the floor of evidence is reached
	Regressed    Outcome = "worse"      // everywhere
	Divergent    Outcome = "diverge"    // at some relays or zones only
	Overdue      Outcome = "late"       // no floor of evidence in the longest time of a rung
)

// Verdict is the judge's word on one rung.
type Verdict struct {
	At         int64         `json:"At"`
	Release    string        `json:"Release"`
	Epoch      uint64        `json:"Epoch"`
	Step       int           `json:"Rung"`
	Outcome    Outcome       `json:"Kind"`
	Metric     Metric        `json:"Metric"`   // the strongest evidence
	LogEValue  float64       `json:"Evidence"` // natural logarithm of the e-value of that metric
	Threshold  float64       `json:"Needed"`   // what it takes for a pause
	Compared   uint64        `json:"Compared"` // attempts of the arm that had something to be compared with
	Suspected  bool          `json:"Doubt"`    // evidence against the arm is half way: no step up, whatever the floor says
	Zones      []string      `json:"Zones"`    // where outcomes diverge
	Relays     []string      `json:"Relays"`   // the same, single relays
	Faulty     []FaultyRelay `json:"Ill"`      // relays that are bad for both arms: left out
	Checkpoint []byte        `json:"-"`        // now and then: the evidence, for the record
}

// FaultyRelay is a relay that is itself bad.
type FaultyRelay struct {
	Relay  string `json:"Relay"`
	Metric Metric `json:"Metric"`
}

// JudgeSettings are what a Judge works for: a canary on one rung.
type JudgeSettings struct {
	Spec
	Epoch      uint64
	Step       int
	Checkpoint []byte // State.Kept: what another leader of this rung had found
}
