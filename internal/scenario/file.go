// Package scenario holds the decisions of a fault scenario, without I/O: the form of a scenario file, the plan that is drawn from its
// seed, the judge of the relays' rules, and the measures of what clients got. Times are since the start of the run.
package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// File is a scenario file as an operator writes it. Fields whose names end in Ms are in milliseconds.
type File struct {
	About         string          `json:"about"`
	Config        string          `json:"config"` // path of the relays' configuration, relative to the file
	Patch         json.RawMessage `json:"change"` // merged into the configuration (RFC 7386)
	Seed          uint64          `json:"seed"`
	Seconds       float64         `json:"seconds"` // for how long clients arrive
	MeasureFromMs float64         `json:"from_ms"` // when measuring begins
	Relays        RelaySpec       `json:"relays"`
	Members       MemberSpec      `json:"members"`
	Discovery     DiscoverySpec   `json:"discovery"`
	Front         FrontSpec       `json:"front"`
	Clients       ClientSpec      `json:"clients"`
	Faults        []Fault         `json:"faults"`
	Variants      []Variant       `json:"variants"`
	Repetitions   int             `json:"repetitions"` // of each draw
	Seeds         int             `json:"seeds"`       // how many draws: of Seed and those after it
	CheckLeaks    bool            `json:"settle"`      // at the end, compare the relays' resources with those before clients came

	lines map[string]int // the line of each key
}

// RelaySpec describes the relays.
type RelaySpec struct {
	Count          int     `json:"count"`
	PollPeersMs    float64 `json:"views_ms"` // interval of polling each relay's view of the others; 0: never
	RestartDelayMs float64 `json:"host_ms"`  // from an ordered exit to the restart
	Voters         int     `json:"voters"`   // with a fleet: how many relays, from the first, vote
}

// MemberSpec describes the pool members.
type MemberSpec struct {
	Count            int        `json:"count"`
	Cores            [2]float64 `json:"cores"`     // bounds of the draw
	MaxConnections   int        `json:"most"`      // of one member; 0: unlimited
	ConnectionWorkMs float64    `json:"open_ms"`   // processor time for a new connection
	GroupWorkMs      float64    `json:"group_ms"`  // further processor time for a group's first connection
	ReportAgeMs      float64    `json:"report_ms"` // maximum age of a load report
	ReportError      float64    `json:"rough"`     // relative error of a load report, at most
	Defect           Defect     `json:"flaw"`      // of members that replace others
	DrainMs          float64    `json:"leave_ms"`  // from the start of draining until clients are moved
}

// DiscoverySpec describes the discovery service.
type DiscoverySpec struct {
	PropagationDelayMs float64 `json:"lag_ms"` // from a change until it is listed
}

// FrontSpec describes the load balancer in front of each zone's relays.
type FrontSpec struct {
	PingMs           float64 `json:"ping_ms"`   // interval of health checks
	FailureTimeoutMs float64 `json:"notice_ms"` // without an answer for so long, a relay gets no new clients
}

// ClientSpec describes the clients.
type ClientSpec struct {
	Initial           int        `json:"standing"`   // arrive before measuring begins
	ArrivalsPerSecond float64    `json:"per_second"` // of new clients
	MeanStayMs        float64    `json:"stay_ms"`
	Load              [2]float64 `json:"load"` // cores; bounds of the draw
	Groups            int        `json:"groups"`
	ReconnectMs       [2]float64 `json:"again_ms"` // wait after a failure; bounds of the draw
	LineIntervalMs    float64    `json:"line_ms"`  // interval of a client's lines
	AnswerWithinMs    float64    `json:"well_ms"`  // a later answer to a line counts as not served
	AbandonRate       float64    `json:"leave"`    // part of the attempts whose client goes before its answer
}

// Variant is a way of running the scenario, compared with others on the same draws.
type Variant struct {
	Name    string          `json:"name"`
	Program string          `json:"program"` // path of the relay, relative to the file; empty: the runner's own
	Patch   json.RawMessage `json:"change"`  // merged into the configuration after the file's
	Faults  []Fault         `json:"faults"`  // in place of the file's; absent: the file's
	Defect  *Defect         `json:"flaw"`    // likewise
}

// Defect is the fault of a new build of the members.
type Defect struct {
	FailureRate float64 `json:"fail"`     // part of the first lines answered with ERR
	DelayMs     float64 `json:"delay_ms"` // before each answer to a first line
	Zone        string  `json:"zone"`     // only towards relays of this zone; empty: towards all
}

// Fault is one entry of the timeline. Only some fields apply to an action.
type Fault struct {
	AtMs     float64  `json:"at_ms"`
	ForMs    float64  `json:"for_ms"` // until it is undone; 0: never
	Action   Action   `json:"do"`
	Targets  []string `json:"who"`  // patterns of names
	Zone     string   `json:"zone"` // only targets of this zone; empty: of all
	Count    int      `json:"count"`
	Fraction float64  `json:"part"`
	EveryMs  float64  `json:"every_ms"` // between targets; 0: all at once
	From     []string `json:"from"`     // of links: patterns of names
	To       []string `json:"to"`       // of links: patterns of names
	Impairment
	AnswerDelayMs   float64         `json:"late_ms"`    // of discovery
	IdleConnections int             `json:"idle"`       // of a crowd, to each relay
	SignalSeries    bool            `json:"series"`     // of term: several signals in a row
	LoseState       bool            `json:"lose_state"` // the next start finds no state
	OldState        bool            `json:"old_state"`  // the next start finds the state of the last copy_state
	Call            string          `json:"call"`       // of the fleet's API, such as "POST /-/releases"; retried until accepted
	Body            json.RawMessage `json:"body"`
}

// Impairment is what a fault does to a link's traffic.
type Impairment struct {
	Loss        float64 `json:"loss"`   // part of the datagrams
	Duplication float64 `json:"repeat"` // part of the datagrams
	DelayMs     float64 `json:"delay_ms"`
	JitterMs    float64 `json:"jitter_ms"`
	RateKBps    float64 `json:"kb_per_s"`
}

// Resize replaces the numbers of relays and members and multiplies the clients; a zero leaves the file's.
func (f *File) Resize(relays, members int, clients float64) error {
	if relays > 0 {
		f.Relays.Count = relays
	}
	if members > 0 {
		f.Members.Count = members
	}
	if clients > 0 {
		f.Clients.Initial = int(math.Round(float64(f.Clients.Initial) * clients))
		f.Clients.ArrivalsPerSecond *= clients
	}
	return f.validate()
}

// ForVariant returns the file as a variant runs it.
func (f *File) ForVariant(v Variant) *File {
	own := *f
	if v.Faults != nil {
		own.Faults = v.Faults
	}
	if v.Defect != nil {
		own.Members.Defect = *v.Defect
	}
	return &own
}

// relayNames are n0 and on.
func (f *File) relayNames() []string { return numberedNames(relayPrefix, f.Relays.Count) }

// memberNames are s0 and on.
func (f *File) memberNames() []string { return numberedNames(memberPrefix, f.Members.Count) }

// Prefixes of the names of relays and members.
const (
	relayPrefix  = "n"
	memberPrefix = "s"
)

func numberedNames(prefix string, count int) (all []string) {
	for i := range count {
		all = append(all, fmt.Sprintf("%s%d", prefix, i))
	}
	return all
}

// Millis converts a figure of the file to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
