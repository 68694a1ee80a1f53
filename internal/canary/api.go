// Package canary decides which share of new flows goes to the members of a new build, and whether they do worse there. It does no
// I/O and reads no clock: commands, counts, time and what others said are passed in. State is what the fleet has agreed on, Holder is
// one relay's side of it, Judge is the leader's verdict. docs/design/canary.md says why it is as it is.
package canary

import "encoding/json"

// Bounds on what is held, whatever is claimed.
const (
	CanariesMost = 16   // in the record, finished ones among them
	RungsMost    = 16   // of a ladder
	MembersMost  = 4096 // named in an arm
	RelaysMost   = 1024 // that the judge holds counts of
	StrataMost   = 64   // of one relay
	NoticesMost  = 64   // that a relay holds of releases it knows nothing of
)

// Status is where a canary stands.
type Status string

const (
	Going  Status = "going"  // the ladder climbs
	Paused Status = "paused" // it waits for an operator
	Back   Status = "back"   // the arm gets nothing new, for good
	Done   Status = "done"   // the last rung was sound
)

// Metric is something that must not get worse.
type Metric string

const (
	Failures  Metric = "failures"   // attempts that failed, were reset or timed out
	SetUp     Metric = "set-up"     // time until a flow stands
	Message   Metric = "message"    // time of a message on a flow
	EarlyEnds Metric = "early-ends" // flows that a member ended before their client did, within their first minute
)

// Guard is a metric and by how much the arm may be worse without a verdict.
type Guard struct {
	Metric Metric  `json:"metric"`
	Points int     `json:"points,omitempty"` // failures, early-ends: in per mille of attempts, of flows' minutes (10: one percent more)
	Factor float64 `json:"factor,omitempty"` // set-up, message: slower by this factor; held in steps of the square root of 2, upwards. failures, early-ends: so many times as often as the base, beside the points; 1.15 if absent
}

// Arm is whose members get the share: the named, or all that started at Since or later (wall clock, ms).
type Arm struct {
	Members []string `json:"members,omitempty"`
	Since   int64    `json:"since,omitempty"`
}

// Spec is a canary as a release carries it.
type Spec struct {
	Release string  `json:"release"`
	Arm     Arm     `json:"arm"`
	Salt    uint64  `json:"salt"`    // drawn by the proposer, another for each release
	Ladder  []int   `json:"ladder"`  // per mille of new flows, rising
	Floor   uint64  `json:"floor"`   // attempts of the arm on a rung that had something to be compared with
	Longest int64   `json:"longest"` // ms on a rung; past it without the floor the ladder pauses
	Guards  []Guard `json:"guards"`
	Error   float64 `json:"error"`             // at most this part of sound releases is paused, over all rungs and guards
	Diverge string  `json:"diverge,omitempty"` // weight while outcomes diverge: keep, lower (a rung), zero; "" is zero
}

// Canary is one in the record.
type Canary struct {
	Spec
	Status   Status   `json:"status"`
	Rung     int      `json:"rung"`
	PerMille int      `json:"per_mille"` // of new flows, now
	Epoch    uint64   `json:"epoch"`     // rises with open and resume: a pause said for an epoch ends with it
	Number   uint64   `json:"number"`    // rises with each change of this canary
	RungAt   int64    `json:"rung_at"`   // when this rung began
	Paused   []int    `json:"paused,omitempty"`
	By       string   `json:"by,omitempty"` // who last changed it
	Why      string   `json:"why,omitempty"`
	Kind     Kind     `json:"kind,omitempty"`  // of the verdict that paused it
	Named    []string `json:"named,omitempty"` // zones and relays where outcomes diverge
}

// Weight is what a relay is to do for one canary.
type Weight struct {
	Release  string
	Arm      Arm
	Salt     uint64
	PerMille int
	Rung     int
	Epoch    uint64
	Number   uint64
}

// Command is a body for State.Apply. Do is open, rung, pause, resume, back, close or keep.
type Command struct {
	Do      string   `json:"do"`
	Release string   `json:"release"`
	Spec    *Spec    `json:"spec,omitempty"`   // open
	Number  uint64   `json:"number,omitempty"` // rung, back, keep: refused unless the canary is still at this number
	Epoch   uint64   `json:"epoch,omitempty"`  // pause: refused if a resume came after; 0: whatever it is. resume: above this one
	Why     string   `json:"why,omitempty"`
	Kind    Kind     `json:"kind,omitempty"`
	Named   []string `json:"named,omitempty"`
	Keep    []byte   `json:"keep,omitempty"`
}

// Body is the command as the record carries it.
func (c Command) Body() json.RawMessage {
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
	Number   uint64 `json:"number,omitempty"`    // without Pause: as agreed at this number
	PerMille int    `json:"per_mille,omitempty"` // at most
}

// Kind is what a verdict says.
type Kind string

const (
	NotEnough Kind = "not-enough" // evidence
	Sound     Kind = "sound"      // so far, and the floor of evidence is reached
	Worse     Kind = "worse"      // everywhere
	Diverge   Kind = "diverge"    // at some relays or zones only
	Late      Kind = "late"       // no floor of evidence in the longest time of a rung
)

// Verdict is the judge's word on one rung.
type Verdict struct {
	At       int64
	Release  string
	Epoch    uint64
	Rung     int
	Kind     Kind
	Metric   Metric    // the strongest evidence
	Evidence float64   // natural logarithm of the e-value of that metric
	Needed   float64   // what it takes for a pause
	Compared uint64    // attempts of the arm that had something to be compared with
	Doubt    bool      // evidence against the arm is half way: no step up, whatever the floor says
	Zones    []string  // where outcomes diverge
	Relays   []string  // the same, single relays
	Ill      []Illness // relays that are bad for both arms: left out
	Keep     []byte    `json:"-"` // now and then: the evidence, for the record
}

// Illness is a relay that is itself bad.
type Illness struct {
	Relay  string
	Metric Metric
}

// Settings are what a Judge works for: a canary on one rung.
type Settings struct {
	Spec
	Epoch uint64
	Rung  int
	Kept  []byte // State.Kept: what another leader of this rung had found
}
