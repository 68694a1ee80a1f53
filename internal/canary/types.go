// Package canary decides which share of new flows goes to the members of a new build, and whether
// those members do worse than the others.
//
// State is the replicated record of canaries, WeightResolver derives the weights that one relay uses,
// Collector counts outcomes at one relay, and Judge is the leader's analysis of the relays' counts. The
// package does no I/O and reads no clock: its callers pass in commands, counts, time and gossiped
// notices. docs/design/canary.md gives the reasons behind the design.
//
// Stored and sent texts use older words than the Go names: a rung is a step and a ladder the list of
// steps, the arm is the set of members that run the canary's build, the floor is Spec.MinAttempts, a
// number is a revision, and guards are guardrails.
package canary

import "encoding/json"

// Limits on stored data, whatever a command or a report contains.
const (
	MaxCanaries        = 16   // in the record, completed and rolled back ones included
	MaxSteps           = 16   // of one canary
	MaxSelectedMembers = 4096 // named by one selector
	MaxRelays          = 1024 // whose counts a judge stores; also the limit on its zones
	MaxStrata          = 64   // of one relay
	MaxNotices         = 64   // releases that a relay stores notices for
)

// Status is the state of a canary's rollout.
type Status string

// The statuses of a canary.
const (
	Progressing Status = "going"  // the leader may advance it from step to step
	Paused      Status = "paused" // waits for an operator to resume it; the leader rolls it back if it regressed
	RolledBack  Status = "back"   // its members never get new flows again
	Completed   Status = "done"   // the last step was healthy
)

// Op is the operation of a Command.
type Op string

// The operations of a Command.
const (
	OpOpen       Op = "open"   // start a canary of a release
	OpAdvance    Op = "rung"   // go to the next step, or complete the canary after the last one
	OpPause      Op = "pause"  // lower the weight, usually to 0, until an operator resumes
	OpResume     Op = "resume" // continue one step below the paused one
	OpRollBack   Op = "back"   // permanently stop new flows to the canary
	OpClose      Op = "close"  // remove a completed or rolled back canary from the record
	OpCheckpoint Op = "keep"   // store the evidence of the current step in the record
)

// DivergencePolicy is how a pause changes the weight when outcomes diverge between zones or relays.
// The empty policy means ZeroWeight.
type DivergencePolicy string

// The divergence policies.
const (
	KeepWeight  DivergencePolicy = "keep"
	LowerWeight DivergencePolicy = "lower" // by one step
	ZeroWeight  DivergencePolicy = "zero"
)

// Metric is a measurement on which the canary is compared with the baseline.
type Metric string

// The metrics that a guardrail can limit.
const (
	Failures         Metric = "failures"   // attempts that failed, were reset or timed out
	SetupTime        Metric = "set-up"     // time until a flow is established
	MessageTime      Metric = "message"    // response time of a message on a flow
	EarlyDisconnects Metric = "early-ends" // flows that the member, not the client, closed within their first minute
)

// Guardrail limits how much worse than the baseline the canary may be on one metric.
type Guardrail struct {
	Metric Metric `json:"metric"`
	// MarginPerMille is for Failures and EarlyDisconnects: the allowed excess over the baseline, per
	// mille of attempts, or of the minutes that flows were open (10 is one percentage point).
	MarginPerMille int `json:"points,omitempty"`
	// Factor is, for SetupTime and MessageTime, how many times as slow the canary may be, rounded up
	// to a power of the square root of 2. For Failures and EarlyDisconnects it is how many times as
	// often as the baseline they may occur, in addition to the margin; 0 means defaultFactor.
	Factor float64 `json:"factor,omitempty"`
}

// Selector selects the members that run the canary's build: those named, or all that started at Since
// or later (wall clock, Unix ms).
type Selector struct {
	Members []string `json:"members,omitempty"`
	Since   int64    `json:"since,omitempty"`
}

// Spec is the configuration of a canary, as its release defines it.
type Spec struct {
	Release string   `json:"release"`
	Target  Selector `json:"arm"`
	Salt    uint64   `json:"salt"`   // chosen by the proposer; different for each release
	Steps   []int    `json:"ladder"` // weights in per mille of new flows, increasing
	// MinAttempts is the number of attempts to the canary that a step needs. Only attempts that can be
	// compared with the baseline count.
	MinAttempts uint64      `json:"floor"`
	MaxStepMS   int64       `json:"longest"` // the canary pauses after this time on a step without a verdict
	Guardrails  []Guardrail `json:"guards"`
	// FalsePositiveRate is an upper bound on the share of healthy releases that are paused, over all
	// steps and guardrails.
	FalsePositiveRate float64          `json:"error"`
	OnDivergence      DivergencePolicy `json:"diverge,omitempty"`
}

// Canary is a canary in the record: its spec and its progress.
type Canary struct {
	Spec
	Status        Status   `json:"status"`
	Step          int      `json:"rung"`
	PerMille      int      `json:"per_mille"` // current weight, of new flows
	Epoch         uint64   `json:"epoch"`     // increases with open and resume; a pause ends with its epoch
	Revision      uint64   `json:"number"`    // increases with each change of this canary
	StepStartedAt int64    `json:"rung_at"`
	PausedSteps   []int    `json:"paused,omitempty"`
	ChangedBy     string   `json:"by,omitempty"`
	Reason        string   `json:"why,omitempty"`   // of the last change
	Outcome       Outcome  `json:"kind,omitempty"`  // of the verdict that paused it
	Divergent     []string `json:"named,omitempty"` // zones and relays where outcomes diverge
}

// Weight is the split of new flows for one canary.
type Weight struct {
	Release  string   `json:"Release"`
	Target   Selector `json:"Arm"`
	Salt     uint64   `json:"Salt"`
	PerMille int      `json:"PerMille"`
	Step     int      `json:"Rung"`
	Epoch    uint64   `json:"Epoch"`
	Revision uint64   `json:"Number"`
}

// Command is a change of State, JSON-encoded as the body for State.Apply.
type Command struct {
	Op      Op     `json:"do"`
	Release string `json:"release"`
	Spec    *Spec  `json:"spec,omitempty"` // OpOpen
	// Revision fences a command: it is rejected if the canary is at another revision. It is required
	// for OpAdvance and OpCheckpoint; 0 in any other command skips the check.
	Revision uint64 `json:"number,omitempty"`
	// Epoch, with OpPause: the command is rejected if the canary was resumed in a later epoch; 0 skips
	// the check. With OpResume: the new epoch is above it.
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
		panic(err) // unreachable: a command contains only strings and numbers that JSON can represent
	}
	return b
}

// Notice is a gossiped upper bound of a weight, whether or not the record has it yet. A notice can only
// lower a weight.
type Notice struct {
	Release  string `json:"release"`
	Pause    bool   `json:"pause,omitempty"` // no new flows to the canary in this epoch or an earlier one
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"number,omitempty"`    // without Pause: the revision of the record that set PerMille
	PerMille int    `json:"per_mille,omitempty"` // upper bound of the weight
}
