// Package rollout decides what may leave a fleet, when and in which order: releases, drains, permits of others, bans, halt
// and the way back. State is agreed: it changes by commands alone, the same on every relay. Plan is the leader's: pure, it says what to
// propose next. No I/O, no clock, no randomness. docs/design/rollout.md says why so.
package rollout

import "encoding/json"

// ExitOrderedRestart is the status with which a relay ends that was told to leave: its host starts it again.
const ExitOrderedRestart = 75

// Bounds of what is kept, whatever is asked for.
const (
	MaxReleases      = 16   // ended ones go first, the oldest of them
	MaxUnits         = 2048 // over all releases
	MaxPermits       = 256
	MaxEjections     = 1024
	MaxNameBytes     = 128 // bytes of a name, a program, a configuration
	MaxReasonBytes   = 512
	MaxGrantsPerStep = 64 // things in one step, relays shut at one look
	MaxQuarantines   = 1024
)

// Kinds of things.
const (
	KindRelay     Kind = "relay"
	KindMember    Kind = "member"
	KindEject     Kind = "ban" // a member that a release bans
	KindReinstate Kind = "allow"
)

// Kinds of commands. Those of operators and askers first, then the pilot's.
const (
	CommandOpen          CommandKind = "open"   // a release or a drain: Name, Release
	CommandRequestPermit CommandKind = "ask"    // a permit: Kind is of the thing; Name, Why, Who, For
	CommandBeginPermit   CommandKind = "begin"  // Number: the asker is about to take the thing down
	CommandReturnPermit  CommandKind = "give"   // Number: the asker is done, or will not
	CommandHalt          CommandKind = "halt"   // Name, Why
	CommandResume        CommandKind = "resume" // Name
	CommandRollBack      CommandKind = "back"   // Name
	CommandEject         CommandKind = "ban"    // Names, Why
	CommandReinstate     CommandKind = "allow"  // Names
	CommandSetUnits      CommandKind = "lay"    // Name, Units: a release's things, in order, as they were before
	CommandStep          CommandKind = "step"   // Gives, Base, Sight: what goes out now, permits among them
	CommandObserve       CommandKind = "seen"   // Saw: units and permits that were seen further by others
	CommandExpirePermits CommandKind = "void"   // Numbers: permits not begun in time, askers gone
	CommandQuarantine    CommandKind = "shut"   // Name, Why, Zone, Bears, Start, Base, Sight: a relay that drifted is to take no client
	CommandReadmit       CommandKind = "admit"  // Name, Why: it may take clients again. By the pilot with Cause and Base; an operator's stands above the drift
)

// Command is the body of a command, one struct for all kinds.
type Command struct {
	Kind          CommandKind     `json:"kind"`
	TargetKind    Kind            `json:"thing,omitempty"` // ask: relay or member
	Name          string          `json:"name,omitempty"`
	Names         []string        `json:"names,omitempty"`
	Reason        string          `json:"why,omitempty"`
	Requester     string          `json:"who,omitempty"` // ask: whose permit; repeated asking by the same gets the same. open, halt: the operator
	DurationMS    int64           `json:"for,omitempty"` // ask: how long it will be out, ms
	PermitNumber  uint64          `json:"number,omitempty"`
	PermitNumbers []uint64        `json:"numbers,omitempty"`
	Release       *ReleaseSpec    `json:"release,omitempty"`
	Cause         Cause           `json:"cause,omitempty"` // halt by itself: one of the causes; resume by itself: the cause that is gone
	BaseVersion   uint64          `json:"base,omitempty"`  // the version that it was reckoned from
	Basis         *ViewSummary    `json:"sight,omitempty"`
	Units         []Unit          `json:"units,omitempty"`
	Grants        []Grant         `json:"gives,omitempty"`
	Observations  []Observation   `json:"saw,omitempty"`
	Baseline      []ServiceWindow `json:"before,omitempty"` // lay: the fleet's service before the release
	Zone          string          `json:"zone,omitempty"`   // shut: of the relay
	Capacity      float64         `json:"bears,omitempty"`  // shut: what goes with it
	StartNumber   uint64          `json:"start,omitempty"`  // shut: the start number that was seen to drift
}

// Encode is the command as the record's body.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // only a float that is no number
	}
	return b
}

// ReleaseSpec is what an operator wants to release.
type ReleaseSpec struct {
	Kind       Kind     `json:"kind"`            // relay, member, or ban (a change of bans: Ban and Allow)
	Drain      bool     `json:"drain,omitempty"` // no return is wanted of members: they stay out until back
	All        bool     `json:"all,omitempty"`
	Zones      []string `json:"zones,omitempty"` // all things of these zones
	Names      []string `json:"names,omitempty"`
	Program    string   `json:"program,omitempty"` // what it is to say that it runs when it is back
	Config     string   `json:"config,omitempty"`
	Eject      []string `json:"ban,omitempty"`
	Reinstate  []string `json:"allow,omitempty"`
	Queue      bool     `json:"wait,omitempty"` // wait for a release that touches the same things; else refuse
	FirstAlone bool     `json:"lone,omitempty"` // the first thing goes alone, and has to be back
	ZoneByZone bool     `json:"zonal,omitempty"`
}

// Phases of a unit.
const (
	PhasePending  Phase = ""       // not touched, or as it was
	PhaseLeaving  Phase = "out"    // told to leave
	PhaseDrained  Phase = "empty"  // a member that no relay holds a flow at: its owner may replace it
	PhaseReplaced Phase = "coming" // replaced, not yet in full service
	PhaseRevoked  Phase = "revoked"
	PhaseDone     Phase = "done"
	PhaseMissing  Phase = "missing" // was not there any more
)

// Unit is one thing of a release.
type Unit struct {
	Name              string  `json:"name"`
	Zone              string  `json:"zone,omitempty"`
	Kind              Kind    `json:"kind"`
	Capacity          float64 `json:"size,omitempty"`    // its capacity when laid out
	PreviousProgram   string  `json:"program,omitempty"` // before
	PreviousConfig    string  `json:"config,omitempty"`  // before
	PreviouslyEjected bool    `json:"banned,omitempty"`  // before
	Successor         string  `json:"now,omitempty"`     // the successor's name, where it has another
	Phase             Phase   `json:"phase,omitempty"`
	Updated           bool    `json:"got,omitempty"`      // it has the new thing
	Reverting         bool    `json:"undo,omitempty"`     // it is out to get back what it had
	Stranded          bool    `json:"stranded,omitempty"` // it did not come in time while the release went back; still out until seen
	OrderNumber       uint64  `json:"number,omitempty"`   // of the order
	OrderVersion      uint64  `json:"order,omitempty"`    // the version that changed its orders last
	OrderedAt         int64   `json:"at,omitempty"`       // when it was told
	SeenStart         int64   `json:"start,omitempty"`    // start number or time that was seen when it was told, or empty
	MigrateOverMS     int64   `json:"move_over,omitempty"`
}

// Grant is one thing that a step gives out: a unit, or a permit.
type Grant struct {
	Release       string  `json:"release,omitempty"`
	Unit          string  `json:"unit,omitempty"` // its first name
	Permit        uint64  `json:"permit,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Capacity      float64 `json:"bears,omitempty"` // what goes with it
	SeenStart     int64   `json:"start,omitempty"`
	MigrateOverMS int64   `json:"move_over,omitempty"`
}

// Observation is one thing that others saw further.
type Observation struct {
	Release      string `json:"release,omitempty"`
	Unit         string `json:"unit,omitempty"`
	Permit       uint64 `json:"permit,omitempty"`
	Quarantine   uint64 `json:"shut,omitempty"`  // the number of one that was admitted: done (it serves), or missing (nothing is left to say of it)
	OrderVersion uint64 `json:"order"`           // of the unit, so that an old sight changes nothing; 0 for a permit
	Phase        Phase  `json:"phase"`           // empty, coming, done (with the new thing), waiting (as before), missing
	Successor    string `json:"now,omitempty"`   // successor
	Zone         string `json:"zone,omitempty"`  // its
	SeenStart    int64  `json:"start,omitempty"` // seen at empty
	Stranded     bool   `json:"strand,omitempty"`
}

// Orders are what one relay is to do now.
type Orders struct {
	Leave      *LeaveOrder          `json:"leave,omitempty"`
	Exclusions map[string]Exclusion `json:"out,omitempty"` // members that get nothing new
	Quarantine *QuarantineOrder     `json:"shut,omitempty"`
}

// QuarantineOrder is the order to take no client, and to move those that are there.
type QuarantineOrder struct {
	Number      uint64 `json:"number"`
	Since       int64  `json:"since"`
	Reason      string `json:"why"`
	StartNumber uint64 `json:"start"` // a later process may ignore it: it is admitted once it is seen
}

// Quarantine is one relay that is shut for drift, or was and is not yet seen to serve.
type Quarantine struct {
	Name              string `json:"name"`
	Zone              string `json:"zone,omitempty"`
	Reason            string `json:"why,omitempty"`
	Since             int64  `json:"since"`
	StartNumber       uint64 `json:"start"`
	Number            uint64 `json:"number"`
	ReadmittedVersion uint64 `json:"opened,omitempty"` // the version that admitted it; out until it has applied that and serves
	OperatorOverride  bool   `json:"let,omitempty"`    // an operator admitted it: it is not shut again until it is in step, or starts anew
	InService         bool   `json:"back,omitempty"`   // it serves: kept for Let alone
}

// LeaveOrder is the order to drain, move the clients and end with ExitOrderedRestart.
type LeaveOrder struct {
	Number      uint64 `json:"number"`
	Release     string `json:"release"`
	StartNumber uint64 `json:"start"`             // it is for the process with this start number or an earlier one; a later one ignores it
	Program     string `json:"program,omitempty"` // what is to be started after it
	Config      string `json:"config,omitempty"`
}

// Exclusion says why a member is out.
type Exclusion struct {
	Reason        ExclusionReason `json:"why"`
	Number        uint64          `json:"number"`
	Since         int64           `json:"since"`
	MigrateOverMS int64           `json:"move_over,omitempty"` // its flows are moved over so many ms; 0 leaves them with a ban
}

// View is what the leader knows. A relay's fields and its Held are of one word. Names are unique.
type View struct {
	At              int64           `json:"at"`
	Relays          []Relay         `json:"relays"`
	Members         []Member        `json:"members"`
	Load            float64         `json:"load"`    // connections of members in use, or asked for
	Service         []ServiceWindow `json:"service"` // windows in which all relays counted, oldest first
	Degraded        string          `json:"worse,omitempty"`
	DegradedRelease string          `json:"worse_of,omitempty"` // the release; "" for all
	Drift           string          `json:"drift,omitempty"`    // of relays that are not shut: it holds releases up, and one of them may be the mending
	DriftMS         int64           `json:"drift_ms,omitempty"` // for how long
	// Relays that should be shut, with why, and the worst first. Who is shut and not here is admitted: a leader that does not know yet names
	// those that are shut.
	Unfit      map[string]string `json:"unfit,omitempty"`
	UnfitOrder []string          `json:"unfit_order,omitempty"`
}

// ServiceWindow is the service of one window, over all relays.
type ServiceWindow struct {
	EndsAt    int64   `json:"at"` // its end
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
}

// Relay is one as the leader sees it.
type Relay struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone"`
	ReportAgeMS    int64   `json:"heard_ms"` // ago; -1 never
	Exited         bool    `json:"gone"`     // no process, for certain
	StartNumber    uint64  `json:"start"`    // rises with every process
	Phase          string  `json:"phase"`    // its own word: serving, or shut, or another
	Program        string  `json:"program"`
	Config         string  `json:"config"`
	AppliedVersion uint64  `json:"applied"` // the Version that it has applied
	InService      bool    `json:"full"`    // others see it serve
	Flows          int     `json:"flows"`
	Capacity       float64 `json:"capacity"` // flows; 0 unknown
}

// Member is one as the fleet sees it. One that is not listed any more stays in the view as long as a relay holds flows there.
type Member struct {
	Name              string                `json:"name"`
	Zone              string                `json:"zone"`
	Listed            string                `json:"listed"`
	Program           string                `json:"program"`
	Started           int64                 `json:"started"` // wall clock
	Capacity          float64               `json:"capacity"`
	UsableCapacity    float64               `json:"bears"` // now; below Capacity while it is cold
	NewFlowsPerSecond float64               `json:"takes"` // new flows a second; 0 unknown
	Failing           bool                  `json:"failing"`
	FlowsByRelay      map[string]RelayFlows `json:"held"` // by relay; no entry: its last word named none
}

// RelayFlows is what a relay said that it holds at a member.
type RelayFlows struct {
	Flows      int   `json:"flows"`
	ReportedAt int64 `json:"at"`
}

// Budgets are settings.
type Budgets struct {
	Relays           Budget  `json:"relays"`
	Members          Budget  `json:"members"`
	CapacityReserve  float64 `json:"headroom"` // what is left must carry 1+Headroom times the load
	SilentAfterMS    int64   `json:"silent"`   // ms without a word after which a relay counts as lost
	FlowHoldMS       int64   `json:"hold"`     // ms without a word after which a relay holds no flow any more at a member that is out
	ViewMaxAgeMS     int64   `json:"fresh"`    // ms that a view may be old when its step is agreed
	DrainMS          int64   `json:"drain"`    // ms that a relay or member may take to be empty
	StartMS          int64   `json:"start"`    // ms that it may take to serve
	WarmupMS         int64   `json:"warm"`     // ms that a cold member takes until it bears all
	PermitWindowMS   int64   `json:"window"`   // ms in which a permit is to be begun
	ClockDrift       float64 `json:"clock"`    // how much faster or slower a clock may run: 0.01
	DriftHaltMS      int64   `json:"drift"`    // ms of View.Drift after which a release halts
	ServiceTolerance float64 `json:"slack"`    // how much of the service a release may cost: 0.05; beyond it and noise it halts
}

// Budget is how many may be out at once.
type Budget struct {
	Total   Limit `json:"whole"` // not set: 1
	PerZone Limit `json:"zone"`  // of each zone's things; not set: no bound but Whole
}

// Limit is a number, or a part of all. The zero value is not set.
type Limit struct {
	Count int     `json:"count,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// ViewSummary is what of a view a step rests on.
type ViewSummary struct {
	At      int64       `json:"at"`
	Budgets Budgets     `json:"budgets"`
	Relays  KindSummary `json:"relays"`
	Members KindSummary `json:"members"`
}

// KindSummary is the relays' or the members' part of it.
type KindSummary struct {
	CountByZone       map[string]int `json:"zones,omitempty"` // how many there are, those out included
	Unavailable       []ZonedName    `json:"lost,omitempty"`  // unplanned: silent, dead, failing, cold, banned
	RemainingCapacity float64        `json:"left,omitempty"`  // what is borne by all that is sound and not out; cold ones by what they bear now
	Load              float64        `json:"load,omitempty"`
	CapacityKnown     bool           `json:"known,omitempty"` // capacities are
}

// ZonedName is a thing and its zone.
type ZonedName struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
}

// States of a release.
const (
	ReleaseQueued      ReleaseState = "queued" // behind another, or not yet laid out
	ReleaseRunning     ReleaseState = "running"
	ReleaseHalted      ReleaseState = "halted"
	ReleaseRollingBack ReleaseState = "backing"
	ReleaseCompleted   ReleaseState = "done"
	ReleaseRolledBack  ReleaseState = "back"
)

// Causes of a halt.
const (
	HaltByOperator      Cause = "operator"
	HaltVerdict         Cause = "verdict"
	HaltOverBudget      Cause = "overdrawn"
	HaltOverdue         Cause = "overdue"
	HaltServiceDegraded Cause = "service"
	HaltDrift           Cause = "drift"
	HaltStalled         Cause = "stalled"
)

// ReleaseStatus is a release as operators are shown it.
type ReleaseStatus struct {
	Name         string       `json:"name"`
	State        ReleaseState `json:"state"`
	RollingBack  bool         `json:"backing,omitempty"` // its direction, also while halted
	Spec         ReleaseSpec  `json:"wish"`
	OpenedBy     string       `json:"by"`
	OpenedAt     int64        `json:"opened"`
	EndedAt      int64        `json:"ended,omitempty"`
	QueuedBehind string       `json:"behind,omitempty"`
	Halt         *HaltInfo    `json:"halt,omitempty"`
	Units        []Unit       `json:"units,omitempty"`
	Counts       UnitCounts   `json:"counts"`
	Exceptions   []string     `json:"except,omitempty"` // what could not be done or undone
}

// UnitCounts of units.
type UnitCounts struct {
	Pending int `json:"waiting"`
	Out     int `json:"out"`
	Done    int `json:"done"`
}

// HaltInfo is why a release halted.
type HaltInfo struct {
	Cause         Cause  `json:"cause"`
	Reason        string `json:"why,omitempty"`
	HaltedBy      string `json:"by"`
	HaltedAt      int64  `json:"at"`
	NeedsOperator bool   `json:"stays"` // only an operator resumes it
}

// Permits' states.
const (
	PermitWaiting PermitState = "wait"
	PermitGranted PermitState = "granted"
	PermitBegun   PermitState = "begun"
)

// Result is what Apply says. Error alone means that nothing changed.
type Result struct {
	Error        string `json:"error,omitempty"`
	Name         string `json:"name,omitempty"`
	State        string `json:"state,omitempty"`  // of the release or permit
	Number       uint64 `json:"number,omitempty"` // of the permit
	RemainingMS  int64  `json:"left,omitempty"`   // granted: ms in which it has to be begun, from when the ask was sent
	Reason       string `json:"why,omitempty"`
	RetryAfterMS int64  `json:"again,omitempty"` // wait: ask again in ms
}

// Permit is a permit as operators are shown it.
type Permit struct {
	Number      uint64      `json:"number"`
	Kind        Kind        `json:"kind"`
	Name        string      `json:"name"`
	Zone        string      `json:"zone,omitempty"`
	Holder      string      `json:"who"`
	Reason      string      `json:"why,omitempty"`
	DurationMS  int64       `json:"for"`
	State       PermitState `json:"state"`
	RequestedAt int64       `json:"asked"`            // last
	StateSince  int64       `json:"at,omitempty"`     // granted, or begun
	WindowMS    int64       `json:"window,omitempty"` // to begin in, ms
	ExpiresAt   int64       `json:"until,omitempty"`  // the record's: granted: not begun after it; begun: not taken down after it
	ReturnedAt  int64       `json:"given,omitempty"`  // when the asker gave it back
	ClockDrift  float64     `json:"clock,omitempty"`
}

// Ejection is one ban.
type Ejection struct {
	Name      string `json:"name"`
	Reason    string `json:"why,omitempty"`
	EjectedBy string `json:"by"`
	Since     int64  `json:"since"`
	Number    uint64 `json:"number"`
}

type (
	Kind            string
	CommandKind     string
	Phase           string
	ReleaseState    string
	Cause           string
	PermitState     string
	ExclusionReason string
)

const (
	ExcludedByEjection ExclusionReason = "ban"
	ExcludedByDrain    ExclusionReason = "drain"
)
