package rollout

// View is what the leader knows. A relay's fields and its flows at members come from one and the same load report. Names are unique.
type View struct {
	At              int64           `json:"at"`
	Relays          []Relay         `json:"relays"`
	Members         []Member        `json:"members"`
	Load            float64         `json:"load"`    // member connections in use, or requested
	Service         []ServiceWindow `json:"service"` // windows in which all relays counted, oldest first
	Degraded        string          `json:"worse,omitempty"`
	DegradedRelease string          `json:"worse_of,omitempty"` // the release that Degraded speaks of; "" for all
	Drift           string          `json:"drift,omitempty"`    // of relays that are not quarantined; it blocks releases
	DriftMS         int64           `json:"drift_ms,omitempty"` // for how long
	// Relays that should be quarantined, with the reason, and in order from the worst. A relay that is quarantined and not in here is readmitted, so
	// a leader that does not know yet names those that are.
	Unfit      map[string]string `json:"unfit,omitempty"`
	UnfitOrder []string          `json:"unfit_order,omitempty"`
}

// ServiceWindow counts the requests of one window, over all relays.
type ServiceWindow struct {
	EndsAt    int64   `json:"at"`
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
}

// Phases that a relay reports of itself and that matter here.
const (
	relayServing     = "serving"
	relayQuarantined = "shut"
)

// Relay is one relay as the leader sees it.
type Relay struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone"`
	ReportAgeMS    int64   `json:"heard_ms"` // since its last load report; -1 if there was none
	Exited         bool    `json:"gone"`     // for certain, there is no process
	StartNumber    uint64  `json:"start"`    // rises with every process
	Phase          string  `json:"phase"`    // as it reports itself: "serving", "shut" or another
	Program        string  `json:"program"`
	Config         string  `json:"config"`
	AppliedVersion uint64  `json:"applied"` // the state's version that it has applied
	InService      bool    `json:"full"`    // others see it serve
	Flows          int     `json:"flows"`
	Capacity       float64 `json:"capacity"` // in flows; 0 unknown
}

// Member is one member as the fleet sees it. One that is not listed any more stays in the view as long as a relay has flows there.
type Member struct {
	Name              string                `json:"name"`
	Zone              string                `json:"zone"`
	Listed            string                `json:"listed"`
	Program           string                `json:"program"`
	Started           int64                 `json:"started"` // wall clock
	Capacity          float64               `json:"capacity"`
	UsableCapacity    float64               `json:"bears"` // now; below Capacity in slow start
	NewFlowsPerSecond float64               `json:"takes"` // that it accepts; 0 unknown
	Failing           bool                  `json:"failing"`
	FlowsByRelay      map[string]RelayFlows `json:"held"` // by relay; no entry: its last report named none
}

// RelayFlows is how many flows a relay reported at a member.
type RelayFlows struct {
	Flows      int   `json:"flows"`
	ReportedAt int64 `json:"at"`
}

// reporting says that the relay's last report is recent enough for its process to count as running.
func (r *Relay) reporting(b Budgets) bool {
	return !r.Exited && r.ReportAgeMS >= 0 && r.ReportAgeMS <= b.SilentAfterMS
}

// healthy says that others see the relay serve, and that nothing in its own report contradicts them.
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

// ViewSummary is the part of a view that a grant or quarantine was decided from. It stands in the command, so that Apply can check it.
type ViewSummary struct {
	At      int64       `json:"at"`
	Budgets Budgets     `json:"budgets"`
	Relays  KindSummary `json:"relays"`
	Members KindSummary `json:"members"`
}

// KindSummary sums up the relays or the members of a view.
type KindSummary struct {
	CountByZone       map[string]int `json:"zones,omitempty"` // those out by plan included
	Unavailable       []ZonedName    `json:"lost,omitempty"`  // not by plan: silent, exited, failing, in slow start or ejected
	RemainingCapacity float64        `json:"left,omitempty"`  // of all that is healthy and not out; in slow start by what is usable now
	Load              float64        `json:"load,omitempty"`
	CapacityKnown     bool           `json:"known,omitempty"` // of all of them
}
