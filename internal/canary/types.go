// Package canary decides which share of new flows goes to the members of a new build, and whether those members do worse.
//
// State is what the fleet has agreed on, WeightResolver is one relay's view of the weights in force, Collector counts outcomes at one
// relay, and Judge is the leader's analysis of what the relays counted. The package does no I/O and reads no clock: commands, counts, time
// and gossiped notices are passed in. docs/design/canary.md gives the reasons behind the design.
package canary

import "encoding/json"

// Bounds on what is stored, whatever a command or a report claims.
const (
	MaxCanaries        = 16   // in the record, completed and rolled back ones included
	MaxSteps           = 16   // of one canary
	MaxSelectedMembers = 4096 // named by one selector
	MaxRelays          = 1024 // whose counts the judge holds
	MaxStrata          = 64   // of one relay
	MaxNotices         = 64   // that a relay holds for releases it does not know
)

// Status is where a canary stands.
type Status string

// The statuses of a canary.
const (
	Progressing Status = "going"  // its steps advance
	Paused      Status = "paused" // it waits for an operator
	RolledBack  Status = "back"   // its members get no new flows, for good
	Completed   Status = "done"   // the last step was healthy
)

// Op is what a Command does.
type Op string

// The operations of a Command.
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

// The divergence policies.
const (
	KeepWeight  DivergencePolicy = "keep"
	LowerWeight DivergencePolicy = "lower" // by one step
	ZeroWeight  DivergencePolicy = "zero"
)

// Metric is something that must not get worse.
type Metric string

// The metrics that a guardrail can be about.
const (
	Failures         Metric = "failures"   // attempts that failed, were reset or timed out
	SetupTime        Metric = "set-up"     // time until a flow is established
	MessageTime      Metric = "message"    // response time of a message on a flow
	EarlyDisconnects Metric = "early-ends" // flows that a member closed before their client did, within their first minute
)

// Guardrail is a metric and how much worse than the baseline the canary may be on it.
type Guardrail struct {
	Metric Metric `json:"metric"`
	// MarginPerMille is for Failures and EarlyDisconnects: per mille of attempts, or of the minutes that flows were open (10 is one percentage point).
	MarginPerMille int `json:"points,omitempty"`
	// Factor is for SetupTime and MessageTime: slower by this factor, applied in steps of the square root of 2, rounded up. For Failures and
	// EarlyDisconnects: as many times as often as the baseline, in addition to the margin; defaultFactor if absent.
	Factor float64 `json:"factor,omitempty"`
}

// Selector is which members run the canary's build: those named, or all that started at Since or later (wall clock, ms).
type Selector struct {
	Members []string `json:"members,omitempty"`
	Since   int64    `json:"since,omitempty"`
}

// Spec is a canary as a release defines it.
type Spec struct {
	Release           string           `json:"release"`
	Target            Selector         `json:"arm"`
	Salt              uint64           `json:"salt"`    // drawn by the proposer, a different one for each release
	Steps             []int            `json:"ladder"`  // weights in per mille of new flows, rising
	MinAttempts       uint64           `json:"floor"`   // attempts of the canary on a step that could be compared with the baseline
	MaxStepMS         int64            `json:"longest"` // after so long on a step without a verdict the canary pauses
	Guardrails        []Guardrail      `json:"guards"`
	FalsePositiveRate float64          `json:"error"` // at most this share of healthy releases is paused, over all steps and guardrails
	OnDivergence      DivergencePolicy `json:"diverge,omitempty"`
}

// Canary is a canary in the record.
type Canary struct {
	Spec
	Status        Status   `json:"status"`
	Step          int      `json:"rung"`
	PerMille      int      `json:"per_mille"` // weight now, of new flows
	Epoch         uint64   `json:"epoch"`     // rises with open and resume: a pause is for an epoch and ends with it
	Revision      uint64   `json:"number"`    // rises with each change of this canary
	StepStartedAt int64    `json:"rung_at"`
	PausedSteps   []int    `json:"paused,omitempty"`
	ChangedBy     string   `json:"by,omitempty"`
	Reason        string   `json:"why,omitempty"`   // of the last change
	Outcome       Outcome  `json:"kind,omitempty"`  // of the verdict that paused it
	Divergent     []string `json:"named,omitempty"` // zones and relays where outcomes diverge
}

// Weight is how a relay splits new flows for one canary.
type Weight struct {
	Release  string   `json:"Release"`
	Target   Selector `json:"Arm"`
	Salt     uint64   `json:"Salt"`
	PerMille int      `json:"PerMille"`
	Step     int      `json:"Rung"`
	Epoch    uint64   `json:"Epoch"`
	Revision uint64   `json:"Number"`
}

// Command is a change of State, as a body for State.Apply.
type Command struct {
	Op      Op     `json:"do"`
	Release string `json:"release"`
	Spec    *Spec  `json:"spec,omitempty"` // OpOpen
	// Revision fences OpAdvance, OpRollBack and OpCheckpoint: rejected unless the canary is still at it.
	Revision uint64 `json:"number,omitempty"`
	// Epoch, with OpPause: rejected if the canary was resumed in a later one; 0 for any. With OpResume: the new epoch is above it.
	Epoch      uint64   `json:"epoch,omitempty"`
	Reason     string   `json:"why,omitempty"`
	Outcome    Outcome  `json:"kind,omitempty"`
	Divergent  []string `json:"named,omitempty"`
	Checkpoint []byte   `json:"keep,omitempty"` // OpCheckpoint
}

// Encode returns the command as the record stores it.
func (c Command) Encode() json.RawMessage {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: a command has only strings and numbers
	}
	return b
}

// Notice is what relays gossip about weights, agreed or not. A notice can only lower a weight.
type Notice struct {
	Release  string `json:"release"`
	Pause    bool   `json:"pause,omitempty"` // no new flows to the canary in this epoch or an earlier one
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"number,omitempty"`    // without Pause: PerMille was agreed at this revision
	PerMille int    `json:"per_mille,omitempty"` // upper bound of the weight
}
