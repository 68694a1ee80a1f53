package rollout

import "encoding/json"

// CommandKind is the operation of a command.
type CommandKind string

// Commands of operators and permit requesters. The comments list the fields of Command that each reads.
const (
	CommandOpen          CommandKind = "open"   // opens a release or a drain: Name, Release
	CommandRequestPermit CommandKind = "ask"    // TargetKind, Name, Reason, Requester, DurationMS
	CommandBeginPermit   CommandKind = "begin"  // PermitNumber: the requester is about to take the target down
	CommandReturnPermit  CommandKind = "give"   // PermitNumber: the requester is done, or will not begin
	CommandHalt          CommandKind = "halt"   // Name, Reason; from the leader also Cause and BaseVersion
	CommandResume        CommandKind = "resume" // Name; from the leader also Cause and BaseVersion
	CommandRollBack      CommandKind = "back"   // Name
	CommandEject         CommandKind = "ban"    // Names, Reason
	// Names: lifts ejections, ends drains, accepts stranded members as they are.
	CommandReinstate CommandKind = "allow"
)

// Commands of the leader. An operator may send CommandReadmit too.
const (
	CommandSetUnits CommandKind = "lay" // Name, Baseline, Units (in order, as they were before the release)
	// Grants (units and permits that may go out now), BaseVersion, ViewSummary.
	CommandStep          CommandKind = "step"
	CommandObserve       CommandKind = "seen" // Observations: progress of units, permits and readmitted relays
	CommandExpirePermits CommandKind = "void" // PermitNumbers: permits not begun in time, or no longer requested
	// Name, Reason, Zone, Capacity, StartNumber, BaseVersion, ViewSummary: a drifted relay stops
	// taking clients.
	CommandQuarantine CommandKind = "shut"
	// Name: the relay may take clients again; from the leader also Cause and BaseVersion.
	CommandReadmit CommandKind = "admit"
)

// Cause is why the leader halts, resumes or readmits. It is empty in an operator's command; a halt by an
// operator is stored with HaltByOperator.
type Cause string

// Causes of a halt. When the leader resumes a release, it gives the cause of the halt that no longer applies.
const (
	HaltByOperator Cause = "operator"
	HaltVerdict    Cause = "verdict" // View.Degraded is set
	// More relays or members are out or unavailable than the budget allows, or the remaining capacity is
	// below the load.
	HaltOverBudget      Cause = "overdrawn"
	HaltOverdue         Cause = "overdue" // a unit has been out for too long
	HaltServiceDegraded Cause = "service" // the service is worse than before the release, beyond tolerance and noise
	HaltDrift           Cause = "drift"   // View.Drift lasts longer than Budgets.DriftHaltMS
	HaltStalled         Cause = "stalled" // no unit is out and none may go out
)

// Causes of a readmission by the leader.
const (
	readmitLeftView  Cause = "gone"    // the relay is not in the view any more
	readmitRestarted Cause = "started" // the relay runs a later process than the one that drifted
	readmitFit       Cause = "fit"     // the relay no longer drifts
)

// Command is the body of a command in the replicated record: one struct for all kinds.
type Command struct {
	Kind       CommandKind `json:"kind"`
	TargetKind Kind        `json:"thing,omitempty"` // of a permit: KindRelay or KindMember
	Name       string      `json:"name,omitempty"`
	Names      []string    `json:"names,omitempty"`
	Reason     string      `json:"why,omitempty"`
	// The operator, or the requester of a permit: the same requester gets the same permit again.
	Requester     string          `json:"who,omitempty"`
	DurationMS    int64           `json:"for,omitempty"` // of a permit: how long the target will be out
	PermitNumber  uint64          `json:"number,omitempty"`
	PermitNumbers []uint64        `json:"numbers,omitempty"`
	Release       *ReleaseSpec    `json:"release,omitempty"`
	Cause         Cause           `json:"cause,omitempty"`
	BaseVersion   uint64          `json:"base,omitempty"`  // the state's version that the command was planned from
	ViewSummary   *ViewSummary    `json:"sight,omitempty"` // the view that the command was planned from
	Units         []Unit          `json:"units,omitempty"`
	Grants        []Grant         `json:"gives,omitempty"`
	Observations  []Observation   `json:"saw,omitempty"`
	Baseline      []ServiceWindow `json:"before,omitempty"` // the fleet's service before the release
	Zone          string          `json:"zone,omitempty"`   // of the relay to quarantine
	Capacity      float64         `json:"bears,omitempty"`  // capacity that the quarantine removes, in flows
	StartNumber   uint64          `json:"start,omitempty"`  // of the process that drifted
}

// Encode returns the command as JSON, the body of a record command.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // only NaN or an infinity cannot be encoded
	}
	return b
}

// Grant lets one unit or the target of one permit go out. The grant of a unit in a release of
// ejections ejects or reinstates its member.
type Grant struct {
	Release       string  `json:"release,omitempty"`
	Unit          string  `json:"unit,omitempty"` // Unit.Name, also if the unit has a successor
	Permit        uint64  `json:"permit,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Capacity      float64 `json:"bears,omitempty"` // usable capacity that goes out of service
	SeenStart     int64   `json:"start,omitempty"`
	MigrateOverMS int64   `json:"move_over,omitempty"`
}

// Observation is the progress of one unit, permit or readmitted relay as seen from outside it.
type Observation struct {
	Release string `json:"release,omitempty"`
	Unit    string `json:"unit,omitempty"`
	Permit  uint64 `json:"permit,omitempty"`
	// Quarantine.Number of a readmitted relay; Phase is PhaseDone when it serves, PhaseMissing when
	// it needs no more tracking.
	Quarantine uint64 `json:"shut,omitempty"`
	// Unit.OrderVersion when observed: an outdated observation changes nothing; 0 for a permit or
	// quarantine.
	OrderVersion uint64 `json:"order"`
	Phase        Phase  `json:"phase"` // next phase of the unit; PhasePending: it is as it was before the release
	Successor    string `json:"now,omitempty"`
	Zone         string `json:"zone,omitempty"`  // of the successor
	SeenStart    int64  `json:"start,omitempty"` // the member's start time when it was seen drained
	Stranded     bool   `json:"strand,omitempty"`
}

// Result is the answer to a command. If Error is set, the command changed nothing.
type Result struct {
	Error  string `json:"error,omitempty"`
	Name   string `json:"name,omitempty"`
	State  string `json:"state,omitempty"`  // a ReleaseState, a PermitState, "given", "shut" or "admit"
	Number uint64 `json:"number,omitempty"` // of the permit or quarantine
	// Of a granted permit: how long it may be begun, counted from when the request was sent.
	RemainingMS  int64  `json:"left,omitempty"`
	Reason       string `json:"why,omitempty"`
	RetryAfterMS int64  `json:"again,omitempty"` // of a waiting permit
}
