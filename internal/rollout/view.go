package rollout

// View is the leader's view of the fleet. A relay's fields and its flows at members come from the same
// status report. Names are unique.
type View struct {
	At              int64           `json:"at"`
	Relays          []Relay         `json:"relays"`
	Members         []Member        `json:"members"`
	Load            float64         `json:"load"`    // load of the members, in flows
	Service         []ServiceWindow `json:"service"` // windows with counts from all relays, oldest first
	Degraded        string          `json:"worse,omitempty"`
	DegradedRelease string          `json:"worse_of,omitempty"` // release that Degraded refers to; "" for all
	// Drift of relays that are not quarantined; blocks releases.
	Drift   string `json:"drift,omitempty"`
	DriftMS int64  `json:"drift_ms,omitempty"` // how long Drift has lasted
	// Unfit has the relays that should be quarantined, with the reason. A quarantined relay that is not
	// in it is readmitted, so it must include the quarantined relays of which the leader does not know
	// yet whether they still drift.
	Unfit      map[string]string `json:"unfit,omitempty"`
	UnfitOrder []string          `json:"unfit_order,omitempty"` // names in Unfit, worst first
}

// ServiceWindow has the service that clients requested and got from all relays in one window of time. The
// caller chooses the unit, such as requests or seconds of clients' time.
type ServiceWindow struct {
	EndsAt    int64   `json:"at"`
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
}

// Phases that a relay reports about itself and that this package distinguishes.
const (
	relayServing     = "serving"
	relayQuarantined = "shut"
)

// Relay is one relay as seen by the leader.
type Relay struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Time since its last status report, or since the leader began to receive reports if there was none;
	// negative: not reporting.
	ReportAgeMS    int64   `json:"heard_ms"`
	Exited         bool    `json:"gone"`  // it is certain that its process has ended
	StartNumber    uint64  `json:"start"` // rises with every process
	Phase          string  `json:"phase"` // as reported by the relay: "serving", "shut" or another
	Program        string  `json:"program"`
	Config         string  `json:"config"`
	AppliedVersion uint64  `json:"applied"` // version of the state that the relay has applied
	InService      bool    `json:"full"`    // other relays see it serve
	Flows          int     `json:"flows"`
	Capacity       float64 `json:"capacity"` // in flows; 0 if unknown
}

// Member is one member as seen by the fleet. One that is not listed any more stays in the view as long as
// a relay has flows there.
type Member struct {
	Name              string                `json:"name"`
	Zone              string                `json:"zone"`
	Listed            string                `json:"listed"` // state of the member in discovery
	Program           string                `json:"program"`
	Started           int64                 `json:"started"`  // wall-clock milliseconds
	Capacity          float64               `json:"capacity"` // in flows; 0 if unknown
	UsableCapacity    float64               `json:"bears"`    // now; less than Capacity during slow start
	NewFlowsPerSecond float64               `json:"takes"`    // rate that it accepts; 0 if unknown
	Failing           bool                  `json:"failing"`
	FlowsByRelay      map[string]RelayFlows `json:"held"` // by relay; no entry if its last report names no flows
}

// RelayFlows is the number of flows that a relay reported at a member.
type RelayFlows struct {
	Flows      int   `json:"flows"`
	ReportedAt int64 `json:"at"`
}

// reporting reports whether the relay's last report is recent enough for its process to count as running.
func (r *Relay) reporting(b Budgets) bool {
	return !r.Exited && r.ReportAgeMS >= 0 && r.ReportAgeMS <= b.SilentAfterMS
}

// healthy reports whether others see the relay serve and its own report does not contradict them.
func (r *Relay) healthy(b Budgets) bool {
	return r.InService && !r.Exited && r.reporting(b) && (r.Phase == relayServing || r.Phase == "")
}

func (m *Member) healthy() bool { return !m.Failing && m.UsableCapacity >= m.Capacity }

func (m *Member) totalFlows() int {
	n := 0
	for _, f := range m.FlowsByRelay {
		n += f.Flows
	}
	return n
}

// ViewSummary is the part of a view that a grant or quarantine is decided from. It is part of the command,
// so that Apply can check the decision.
type ViewSummary struct {
	At      int64       `json:"at"`
	Budgets Budgets     `json:"budgets"`
	Relays  KindSummary `json:"relays"`
	Members KindSummary `json:"members"`
}

// KindSummary summarizes the relays or the members of a view.
type KindSummary struct {
	CountByZone map[string]int `json:"zones,omitempty"` // including those that are out by plan
	// Not out by plan, but silent, exited, failing, in slow start or ejected.
	Unavailable []ZonedName `json:"lost,omitempty"`
	// Usable capacity of those that are healthy or in slow start, and not out.
	RemainingCapacity float64 `json:"left,omitempty"`
	Load              float64 `json:"load,omitempty"`
	CapacityKnown     bool    `json:"known,omitempty"` // the capacity of every one is known
}
