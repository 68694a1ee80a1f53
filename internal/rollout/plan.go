package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// planner plans one set of commands from the state and the leader's view.
type planner struct {
	record   *record
	now      int64
	view     View
	budgets  Budgets
	relays   map[string]*Relay
	members  map[string]*Member
	observed map[unitKey]bool // units for which this plan has an observation
	// Names of all units and their successors; a member with such a name cannot become another
	// unit's successor.
	claimed    map[string]bool
	allowances map[Kind]*allowance
}

type unitKey struct{ release, unit string }

// Plan returns the commands to propose next, in order. It returns the same commands for the same state
// and view.
//
// Observations come first. A halt follows; if it came before, a successor not yet recorded would count
// as a member in slow start in addition to the drained member that it replaces. Then come expired
// permits, readmissions and quarantines, and last the step with the grants. Each command is planned as
// if those before it were applied, and names the version that they produce. If one of them is not
// applied, the rest is rejected and the next call plans again.
//
// For a relay that never reported to this leader, ReportAgeMS must be the time since the leader began to
// receive reports. If it did not grow, the relay would count as having flows forever, and members would
// never count as drained.
func (s *State) Plan(now int64, v View, b Budgets) []Command {
	p := s.record.newPlanner(now, v, b)
	next := State{s.record.clone()}
	var commands []Command
	propose := func(c Command) {
		version := next.Version()
		if next.Apply(now, "", c.Encode()); next.Version() == version+1 {
			commands = append(commands, c)
		}
	}
	if observations := p.observations(); len(observations) > 0 {
		propose(Command{Kind: CommandObserve, Observations: observations})
		observed := p.observed
		p = next.record.newPlanner(now, v, b)
		p.observed = observed
	}
	_, stalled := p.stepCommand()
	p.resetAllowances()
	if c := p.haltCommand(stalled); c != nil {
		propose(*c)
	}
	if numbers := p.expiredPermits(); len(numbers) > 0 {
		propose(Command{Kind: CommandExpirePermits, PermitNumbers: numbers})
	}
	if len(s.record.Quarantines)+len(v.Unfit) > 0 {
		p = next.record.newPlanner(now, v, b)
		for _, c := range append(p.readmissions(), p.quarantines()...) {
			c.BaseVersion = next.Version()
			propose(c)
		}
	}
	if len(commands) > 0 {
		if c, _ := next.record.newPlanner(now, v, b).stepCommand(); c != nil {
			commands = append(commands, *c)
		}
		return commands
	}
	if c := p.resumeCommand(); c != nil {
		return []Command{*c}
	}
	if c := p.setUnitsCommand(); c != nil {
		return []Command{*c}
	}
	if c, _ := p.stepCommand(); c != nil {
		return []Command{*c}
	}
	return nil
}

// BlockReasons returns, for each release that has no unit out and may not let one out now, the reason.
// The leader shows it to operators.
func (s *State) BlockReasons(now int64, v View, b Budgets) map[string]string {
	_, reasons := s.record.newPlanner(now, v, b).stepCommand()
	return reasons
}

func (rec *record) newPlanner(now int64, v View, b Budgets) *planner {
	p := &planner{record: rec, now: now, view: v, budgets: b, relays: map[string]*Relay{}, members: map[string]*Member{},
		observed: map[unitKey]bool{}, claimed: map[string]bool{}}
	p.view.Relays, p.view.Members = slices.Clone(v.Relays), slices.Clone(v.Members)
	slices.SortFunc(p.view.Relays, func(x, y Relay) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(p.view.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	for i := range p.view.Relays {
		p.relays[p.view.Relays[i].Name] = &p.view.Relays[i]
	}
	for i := range p.view.Members {
		p.members[p.view.Members[i].Name] = &p.view.Members[i]
	}
	for _, u := range rec.units() {
		p.claimed[u.Name], p.claimed[u.currentName()] = true, true
	}
	p.resetAllowances()
	return p
}

// resetAllowances drops the reservations that this plan has made so far.
func (p *planner) resetAllowances() {
	p.allowances = map[Kind]*allowance{
		KindRelay:  p.record.allowance(KindRelay, p.record.summarizeRelays(&p.view, p.budgets), p.budgets),
		KindMember: p.record.allowance(KindMember, p.record.summarizeMembers(&p.view), p.budgets),
	}
}

// allowanceFor returns the allowance that a unit of the given kind draws on.
func (p *planner) allowanceFor(kind Kind) *allowance { return p.allowances[budgetKind(kind)] }

// isGranted reports whether the unit's relay or member is out by a grant.
func (p *planner) isGranted(u *Unit) bool { return p.allowanceFor(u.Kind).granted[u.currentName()] }

// viewSummary returns the summary of the view for a command that takes something out of service.
func (p *planner) viewSummary() *ViewSummary {
	return &ViewSummary{At: p.view.At, Budgets: p.budgets, Relays: p.allowances[KindRelay].summary, Members: p.allowances[KindMember].summary}
}

// present reports whether the unit's relay or member is in the view.
func (p *planner) present(u *Unit) bool {
	if u.Kind == KindRelay {
		return p.relays[u.Name] != nil
	}
	return p.members[u.currentName()] != nil
}

// overdue reports whether a unit has been out for longer than maxOutMS, or a unit that is to be reverted
// could not be granted for that long.
func (p *planner) overdue(r *release, u *Unit) bool {
	if !u.isOut() {
		unavailable := !p.present(u) || p.isGranted(u) // granted by another release or a permit
		return r.State == ReleaseRollingBack && u.Phase == PhaseDone && r.revertible(u) && unavailable &&
			p.now-r.activeSince() > p.record.maxOutMS(u.Kind, p.budgets)
	}
	if r.Spec.Drain && u.Phase == PhaseDrained {
		return false
	}
	return p.now-max(u.OrderedAt, r.ResumedAt) > p.record.maxOutMS(u.Kind, p.budgets)
}

// usableCapacity returns the capacity that is lost when the unit goes out: 0 if it is unavailable already.
func (p *planner) usableCapacity(u *Unit) float64 {
	if u.Kind == KindRelay {
		q := p.record.findQuarantine(u.Name)
		if r := p.relays[u.Name]; r != nil && r.healthy(p.budgets) && (q == nil || q.InService) {
			return r.Capacity
		}
		return 0
	}
	m := p.members[u.currentName()]
	if m == nil || m.Failing || p.record.isEjected(m.Name) {
		return 0
	}
	return m.UsableCapacity
}

func (p *planner) expiredPermits() []uint64 {
	var numbers []uint64
	for i := range p.record.Permits {
		if x := &p.record.Permits[i]; x.expired(p.now) {
			numbers = append(numbers, x.Number)
		}
	}
	return numbers
}

// readmissions returns the commands that readmit relays that need not be quarantined any more. A silent
// relay stays quarantined, since its drift may not have ended.
func (p *planner) readmissions() []Command {
	var commands []Command
	for i := range p.record.Quarantines {
		q := &p.record.Quarantines[i]
		r, cause := p.relays[q.Name], Cause("")
		_, unfit := p.view.Unfit[q.Name]
		switch {
		case q.ReadmittedVersion != 0 || r != nil && !r.reporting(p.budgets):
		case r == nil:
			cause = readmitLeftView
		case r.StartNumber > q.StartNumber:
			cause = readmitRestarted
		case !unfit && p.now-q.Since >= p.budgets.SilentAfterMS:
			// Intermittent drift must not quarantine and readmit it with every plan.
			cause = readmitFit
		}
		if cause != "" {
			commands = append(commands, Command{Kind: CommandReadmit, Name: q.Name, Cause: cause})
		}
	}
	return commands
}

// quarantines returns the commands that quarantine drifted relays, worst first, as far as the budget allows.
func (p *planner) quarantines() []Command {
	if p.now-p.view.At > p.budgets.ViewMaxAgeMS {
		return nil
	}
	var commands []Command
	seen := map[string]bool{}
	for _, name := range slices.Concat(p.view.UnfitOrder, slices.Sorted(maps.Keys(p.view.Unfit))) {
		reason, unfit := p.view.Unfit[name]
		r, q := p.relays[name], p.record.findQuarantine(name)
		exempt := q != nil && (q.ReadmittedVersion == 0 || q.OperatorOverride)
		if !unfit || seen[name] || r == nil || !r.reporting(p.budgets) || exempt || len(commands) >= MaxGrantsPerStep {
			continue
		}
		seen[name] = true
		c := Command{Kind: CommandQuarantine, Name: name, Reason: truncate(reason, MaxReasonBytes), Zone: r.Zone,
			Capacity: p.usableCapacity(&Unit{Name: name, Kind: KindRelay}), StartNumber: r.StartNumber, ViewSummary: p.viewSummary()}
		if p.allowances[KindRelay].reserveQuarantine(name, r.Zone, c.Capacity) == "" {
			commands = append(commands, c)
		}
	}
	return commands
}
