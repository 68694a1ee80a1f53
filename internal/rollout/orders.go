package rollout

// Orders is what one relay is to do now.
type Orders struct {
	Leave      *LeaveOrder          `json:"leave,omitempty"`
	Exclusions map[string]Exclusion `json:"out,omitempty"` // by member; excluded members get no new flows
	Quarantine *QuarantineOrder     `json:"shut,omitempty"`
}

// LeaveOrder orders a relay to drain, migrate its clients and exit with ExitOrderedRestart.
type LeaveOrder struct {
	Number      uint64 `json:"number"`
	Release     string `json:"release"`
	StartNumber uint64 `json:"start"`             // applies to processes with this start number or an earlier one
	Program     string `json:"program,omitempty"` // version to start next, if the release names one
	Config      string `json:"config,omitempty"`
}

// ExclusionReason is why a member is excluded.
type ExclusionReason string

// Reasons of an exclusion.
const (
	ExcludedByEjection ExclusionReason = "ban"
	ExcludedByDrain    ExclusionReason = "drain"
)

// Exclusion keeps new flows from a member. An ejection excludes the member until it is lifted; a
// drain excludes it while its release unit is leaving or drained.
type Exclusion struct {
	Reason ExclusionReason `json:"why"`
	Number uint64          `json:"number"`
	Since  int64           `json:"since"`
	// The member's flows are migrated over this time; 0 for an ejection, which leaves its flows in
	// place.
	MigrateOverMS int64 `json:"move_over,omitempty"`
}

// QuarantineOrder orders a relay to take no new clients and to migrate those it has.
type QuarantineOrder struct {
	Number uint64 `json:"number"`
	Since  int64  `json:"since"`
	Reason string `json:"why"`
	// Of the process that drifted; a later process may ignore the order and is readmitted once it is
	// seen.
	StartNumber uint64 `json:"start"`
}

// Orders returns what a relay is to do now.
func (s *State) Orders(relay string) Orders {
	var orders Orders
	exclude := func(member string, e Exclusion) {
		if orders.Exclusions == nil {
			orders.Exclusions = map[string]Exclusion{}
		}
		orders.Exclusions[member] = e
	}
	for r, u := range s.record.units() {
		switch {
		case u.Kind == KindRelay && u.Name == relay && u.Phase == PhaseLeaving:
			orders.Leave = &LeaveOrder{Number: u.OrderNumber, Release: r.Name, StartNumber: uint64(u.SeenStart), Program: r.Spec.Program, Config: r.Spec.Config}
			if u.Reverting {
				orders.Leave.Program, orders.Leave.Config = u.PreviousProgram, u.PreviousConfig
			}
		case u.Kind == KindMember && (u.Phase == PhaseLeaving || u.Phase == PhaseDrained || u.Phase == PhaseDone && r.Spec.Drain):
			exclude(u.currentName(), Exclusion{Reason: ExcludedByDrain, Number: u.OrderNumber, Since: u.OrderedAt, MigrateOverMS: u.MigrateOverMS})
		}
	}
	for _, e := range s.record.Ejections {
		exclude(e.Name, Exclusion{Reason: ExcludedByEjection, Number: e.Number, Since: e.Since})
	}
	if q := s.record.findQuarantine(relay); q != nil && q.ReadmittedVersion == 0 {
		orders.Quarantine = &QuarantineOrder{Number: q.Number, Since: q.Since, Reason: q.Reason, StartNumber: q.StartNumber}
	}
	return orders
}
