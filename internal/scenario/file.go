// Package scenario implements the logic of a fault scenario without I/O: the format of a scenario
// file, the plan that is drawn from its seed, the judge that finds violations of the relays' rules,
// and the measurement of the service that clients got. Times count from the start of the run.
package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// File is a scenario file, as an operator writes it. Fields whose names end in Ms are in
// milliseconds.
type File struct {
	About         string          `json:"about"`
	Config        string          `json:"config"` // path of the relays' configuration, relative to the file
	Patch         json.RawMessage `json:"change"` // merged into the configuration (RFC 7386)
	Seed          uint64          `json:"seed"`
	Seconds       float64         `json:"seconds"` // duration of the run, during which clients arrive
	MeasureFromMs float64         `json:"from_ms"` // start of the measured time
	Relays        RelaySpec       `json:"relays"`
	Members       MemberSpec      `json:"members"`
	Discovery     DiscoverySpec   `json:"discovery"`
	Front         FrontSpec       `json:"front"`
	Clients       ClientSpec      `json:"clients"`
	Faults        []Fault         `json:"faults"`
	Variants      []Variant       `json:"variants"`
	Repetitions   int             `json:"repetitions"` // runs of each seed
	Seeds         int             `json:"seeds"`       // number of consecutive seeds, beginning with Seed
	// CheckLeaks requests a check of the relays for leaked descriptors and excessive memory at the end.
	CheckLeaks bool `json:"settle"`

	lines map[string]int // the line of each key
}

// RelaySpec describes the relays.
type RelaySpec struct {
	Count          int     `json:"count"`
	PollPeersMs    float64 `json:"views_ms"` // interval of polling each relay's view of the others; 0: never
	RestartDelayMs float64 `json:"host_ms"`  // from an orderly exit to the restart
	Voters         int     `json:"voters"`   // with a fleet: the first Voters relays vote
}

// MemberSpec describes the pool members.
type MemberSpec struct {
	Count            int        `json:"count"`
	Cores            [2]float64 `json:"cores"`     // bounds of the random draw
	MaxConnections   int        `json:"most"`      // limit of each member; 0: unlimited
	ConnectionWorkMs float64    `json:"open_ms"`   // processor time for a new connection
	GroupWorkMs      float64    `json:"group_ms"`  // additional processor time for a group's first connection
	ReportAgeMs      float64    `json:"report_ms"` // maximum age of a load report
	ReportError      float64    `json:"rough"`     // maximum relative error of a load report
	Defect           Defect     `json:"flaw"`      // of members that are started to replace others
	DrainMs          float64    `json:"leave_ms"`  // from the start of draining until MOVE is sent to the clients
}

// DiscoverySpec describes the discovery service.
type DiscoverySpec struct {
	PropagationDelayMs float64 `json:"lag_ms"` // from a change until discovery lists it
}

// FrontSpec describes the load balancer in front of each zone's relays.
type FrontSpec struct {
	PingMs           float64 `json:"ping_ms"`   // interval of health checks
	FailureTimeoutMs float64 `json:"notice_ms"` // a relay that has not answered for this long gets no new clients
}

// ClientSpec describes the clients.
type ClientSpec struct {
	Initial           int        `json:"standing"`   // number of clients that arrive before the measured time
	ArrivalsPerSecond float64    `json:"per_second"` // of new clients
	MeanStayMs        float64    `json:"stay_ms"`
	Load              [2]float64 `json:"load"` // in cores; bounds of the random draw
	Groups            int        `json:"groups"`
	ReconnectMs       [2]float64 `json:"again_ms"` // wait after a failure; bounds of the random draw
	LineIntervalMs    float64    `json:"line_ms"`  // between two lines of a client
	AnswerWithinMs    float64    `json:"well_ms"`  // a line that is answered later counts as not served
	// AbandonRate is the fraction of the connections that the client abandons before its answer.
	AbandonRate float64 `json:"leave"`
}

// Variant is one way of running the scenario. Variants are compared on the same plans.
type Variant struct {
	Name string `json:"name"`
	// Program is the path of the relay's program, relative to the file. If empty, the relay runs the
	// runner's own program.
	Program string          `json:"program"`
	Patch   json.RawMessage `json:"change"` // merged into the configuration after the file's patch
	Faults  []Fault         `json:"faults"` // replace the file's faults; absent: the file's apply
	Defect  *Defect         `json:"flaw"`   // replaces the file's defect; absent: the file's applies
}

// Defect describes how a defective build of the members fails.
type Defect struct {
	FailureRate float64 `json:"fail"`     // fraction of the first lines that are answered with ERR
	DelayMs     float64 `json:"delay_ms"` // before each answer to a first line
	Zone        string  `json:"zone"`     // the defect shows only to relays of this zone; empty: to all
}

// Fault is one entry of the timeline. Each action uses only some of the fields.
type Fault struct {
	AtMs     float64  `json:"at_ms"`
	ForMs    float64  `json:"for_ms"` // time after which the fault is undone; 0: never
	Action   Action   `json:"do"`
	Targets  []string `json:"who"`      // patterns of relay or member names, or Leader
	Zone     string   `json:"zone"`     // only targets of this zone; empty: all zones
	Count    int      `json:"count"`    // maximum number of targets, drawn at random; 0: no limit
	Fraction float64  `json:"part"`     // fraction of the targets, drawn at random; 0: all
	EveryMs  float64  `json:"every_ms"` // between two targets; 0: all at once
	From     []string `json:"from"`     // of link actions: patterns of the names at which the links begin
	To       []string `json:"to"`       // of link actions: patterns of the names at which the links end
	Impairment
	AnswerDelayMs   float64 `json:"late_ms"`    // of ActionDiscoverySlow
	IdleConnections int     `json:"idle"`       // of ActionOpenIdle: connections to each relay
	SignalSeries    bool    `json:"series"`     // of ActionTerminate: several signals in a row
	LoseState       bool    `json:"lose_state"` // the relay's next start finds an empty state directory
	OldState        bool    `json:"old_state"`  // the relay's next start finds the state of the last copy_state
	// Call is a call of the fleet's HTTP API, such as "POST /-/releases". It is retried until accepted.
	Call string          `json:"call"`
	Body json.RawMessage `json:"body"`
}

// Impairment is what a fault does to a link's traffic.
type Impairment struct {
	Loss        float64 `json:"loss"`   // fraction of the datagrams that are dropped
	Duplication float64 `json:"repeat"` // fraction of the datagrams that are duplicated
	DelayMs     float64 `json:"delay_ms"`
	JitterMs    float64 `json:"jitter_ms"`
	RateKBps    float64 `json:"kb_per_s"`
}

// Resize replaces the numbers of relays and members and multiplies the number of clients. A zero
// keeps the file's value. It returns an error that wraps ErrInvalid if the result is out of bounds.
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

// ForVariant returns a copy of the file with the faults and the defect of a variant.
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

// relayNames returns the names of the relays: n0, n1 and so on.
func (f *File) relayNames() []string { return numberedNames(relayPrefix, f.Relays.Count) }

// memberNames returns the names of the members: s0, s1 and so on.
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

// Millis converts a number of milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
