package rollout

import "encoding/json"

// CommandKind is what a command does.
type CommandKind string

// Commands of operators and permit requesters. Each names the fields of Command that it reads.
const (
	CommandOpen          CommandKind = "open"   // a release or a drain: Name, Release
	CommandRequestPermit CommandKind = "ask"    // TargetKind, Name, Reason, Requester, DurationMS
	CommandBeginPermit   CommandKind = "begin"  // PermitNumber: the requester is about to take the thing down
	CommandReturnPermit  CommandKind = "give"   // PermitNumber: the requester is done, or will not begin
	CommandHalt          CommandKind = "halt"   // Name, Reason; by the leader also Cause and BaseVersion
	CommandResume        CommandKind = "resume" // Name; by the leader also Cause and BaseVersion
	CommandRollBack      CommandKind = "back"   // Name
	CommandEject         CommandKind = "ban"    // Names, Reason
	CommandReinstate     CommandKind = "allow"  // Names
)

// Commands of the leader.
const (
	CommandSetUnits      CommandKind = "lay"   // Name, Units in order and as they were before, Baseline
	CommandStep          CommandKind = "step"  // Grants, BaseVersion, ViewSummary: what goes out now, permits among them
	CommandObserve       CommandKind = "seen"  // Observations: units, permits and readmitted relays that were seen to have progressed
	CommandExpirePermits CommandKind = "void"  // PermitNumbers: not begun in time, or whose requester is gone
	CommandQuarantine    CommandKind = "shut"  // Name, Reason, Zone, Capacity, StartNumber, BaseVersion, ViewSummary: a drifted relay takes no clients
	CommandReadmit       CommandKind = "admit" // Name, Reason: it may take clients again; by the leader also Cause and BaseVersion
)

// Cause is why the leader halts, resumes or readmits; an operator's command has none.
type Cause string

// Causes of a halt. A resume by the leader names the cause that is gone.
const (
	HaltByOperator      Cause = "operator"
	HaltVerdict         Cause = "verdict"   // View.Degraded
	HaltOverBudget      Cause = "overdrawn" // losses overdraw the budget, or what is left does not carry the load
	HaltOverdue         Cause = "overdue"   // a unit is out for too long
	HaltServiceDegraded Cause = "service"   // worse than before the release, beyond tolerance and noise
	HaltDrift           Cause = "drift"     // View.Drift for longer than Budgets.DriftHaltMS
	HaltStalled         Cause = "stalled"   // nothing is out and nothing may go
)

// Causes of a readmission by the leader.
const (
	readmitGone      Cause = "gone"    // the relay is not in the view any more
	readmitRestarted Cause = "started" // a later process than the one that drifted
	readmitFit       Cause = "fit"
)

// Command is the body of a command in the record: one struct for all kinds.
type Command struct {
	Kind          CommandKind     `json:"kind"`
	TargetKind    Kind            `json:"thing,omitempty"` // of a permit: relay or member
	Name          string          `json:"name,omitempty"`
	Names         []string        `json:"names,omitempty"`
	Reason        string          `json:"why,omitempty"`
	Requester     string          `json:"who,omitempty"` // of a permit, whose repeated request gets the same permit; of a release or halt: the operator
	DurationMS    int64           `json:"for,omitempty"` // of a permit: how long the thing will be out
	PermitNumber  uint64          `json:"number,omitempty"`
	PermitNumbers []uint64        `json:"numbers,omitempty"`
	Release       *ReleaseSpec    `json:"release,omitempty"`
	Cause         Cause           `json:"cause,omitempty"`
	BaseVersion   uint64          `json:"base,omitempty"` // the state's version that it was planned from
	ViewSummary   *ViewSummary    `json:"sight,omitempty"`
	Units         []Unit          `json:"units,omitempty"`
	Grants        []Grant         `json:"gives,omitempty"`
	Observations  []Observation   `json:"saw,omitempty"`
	Baseline      []ServiceWindow `json:"before,omitempty"` // the fleet's service before the release
	Zone          string          `json:"zone,omitempty"`   // of the relay to quarantine
	Capacity      float64         `json:"bears,omitempty"`  // that its quarantine takes away
	StartNumber   uint64          `json:"start,omitempty"`  // of the process that drifted
}

// Encode is the command as the record's body.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // only a float that is no number
	}
	return b
}

// Grant lets one unit or one permit go out.
type Grant struct {
	Release       string  `json:"release,omitempty"`
	Unit          string  `json:"unit,omitempty"` // its Name, also where it has a successor
	Permit        uint64  `json:"permit,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Capacity      float64 `json:"bears,omitempty"` // that goes out with it
	SeenStart     int64   `json:"start,omitempty"`
	MigrateOverMS int64   `json:"move_over,omitempty"`
}

// Observation is the progress of one unit, permit or readmitted relay as others see it.
type Observation struct {
	Release      string `json:"release,omitempty"`
	Unit         string `json:"unit,omitempty"`
	Permit       uint64 `json:"permit,omitempty"`
	Quarantine   uint64 `json:"shut,omitempty"` // Number of one that was readmitted: PhaseDone when it serves, PhaseMissing when nothing is left to track
	OrderVersion uint64 `json:"order"`          // of the unit, so that an outdated observation changes nothing; 0 for a permit
	Phase        Phase  `json:"phase"`          // the unit's next; PhasePending: as it was before the release
	Successor    string `json:"now,omitempty"`
	Zone         string `json:"zone,omitempty"`  // of the successor
	SeenStart    int64  `json:"start,omitempty"` // when it was seen to be drained
	Stranded     bool   `json:"strand,omitempty"`
}

// Result is what Apply answers. Error alone means that nothing changed.
type Result struct {
	Error        string `json:"error,omitempty"`
	Name         string `json:"name,omitempty"`
	State        string `json:"state,omitempty"`  // a ReleaseState, a PermitState, "given", "shut" or "admit"
	Number       uint64 `json:"number,omitempty"` // of the permit or quarantine
	RemainingMS  int64  `json:"left,omitempty"`   // of a granted permit: how long it may be begun, counted from when the request was sent
	Reason       string `json:"why,omitempty"`
	RetryAfterMS int64  `json:"again,omitempty"` // of a waiting permit
}
