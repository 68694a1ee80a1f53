package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// planner is one look of the leader.
type planner struct {
	record     *record
	now        int64
	view       View
	budgets    Budgets
	relays     map[string]*Relay
	members    map[string]*Member
	observed   map[string]bool // units that this look sees further, by release and name
	claimed    map[string]bool // newcomers that stand for something by now
	allowances map[Kind]*allowance
}

// Plan says what to propose next, in this order: a few commands, the same for the same state and view. What others saw comes first, then a halt
// (a successor that is not yet known to be one would count as a cold member beside the empty one), then who is admitted and who is shut, then what goes out. Each is reckoned as if those before it were agreed, and names the version that they make: if one of them is
// not, the rest is refused and the next look plans anew. A relay that was never heard is to have the age of the view as ReportAgeMS, else
// nothing of it is ever past its time.
func (s *State) Plan(now int64, v View, b Budgets) []Command {
	p := s.record.planner(now, v, b)
	saw := p.observations()
	next := State{s.record.clone()}
	var list []Command
	add := func(c Command) {
		version := next.Version()
		if next.Apply(now, "", c.Encode()); next.Version() == version+1 {
			list = append(list, c)
		}
	}
	if len(saw) > 0 {
		add(Command{Kind: CommandObserve, Observations: saw})
		gone := p.observed
		p = next.record.planner(now, v, b)
		p.observed = gone
	}
	_, stalled := p.stepCommand()
	p.reset()
	if c := p.haltCommand(stalled); c != nil {
		add(*c)
	}
	if numbers := p.expiredPermits(); len(numbers) > 0 {
		add(Command{Kind: CommandExpirePermits, PermitNumbers: numbers})
	}
	if len(s.record.Quarantines)+len(v.Unfit) > 0 {
		p = next.record.planner(now, v, b)
		for _, c := range append(p.readmissions(), p.quarantines()...) {
			c.BaseVersion = next.Version()
			add(c)
		}
	}
	if len(list) > 0 {
		if c, _ := next.record.planner(now, v, b).stepCommand(); c != nil {
			list = append(list, *c)
		}
		return list
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

// BlockReasons says, by release, why nothing of it may go out now, where nothing is. For operators, at the leader.
func (s *State) BlockReasons(now int64, v View, b Budgets) map[string]string {
	p := s.record.planner(now, v, b)
	_, why := p.stepCommand()
	return why
}

func (d *record) planner(now int64, v View, b Budgets) *planner {
	p := &planner{record: d, now: now, view: v, budgets: b, relays: map[string]*Relay{}, members: map[string]*Member{}, observed: map[string]bool{}, claimed: map[string]bool{}}
	p.view.Relays, p.view.Members = slices.Clone(v.Relays), slices.Clone(v.Members)
	slices.SortFunc(p.view.Relays, func(x, y Relay) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(p.view.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	for i := range p.view.Relays {
		p.relays[p.view.Relays[i].Name] = &p.view.Relays[i]
	}
	for i := range p.view.Members {
		p.members[p.view.Members[i].Name] = &p.view.Members[i]
	}
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			u := &d.Releases[i].Units[j]
			p.claimed[u.Name], p.claimed[u.currentName()] = true, true
		}
	}
	p.reset()
	return p
}

func (p *planner) reset() {
	p.allowances = map[Kind]*allowance{KindRelay: p.record.allowance(KindRelay, p.record.summarizeRelays(&p.view, p.budgets), p.budgets), KindMember: p.record.allowance(KindMember, p.record.summarizeMembers(&p.view), p.budgets)}
}

// ---- What others saw ----

func (p *planner) observations() []Observation {
	var list []Observation
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		for j := range r.Units {
			u := &r.Units[j]
			s, ok := p.observeUnit(r, u)
			if !ok && r.State == ReleaseRollingBack && p.overdue(r, u) && !u.Stranded {
				s, ok = Observation{Stranded: true}, true
			}
			if ok {
				s.Release, s.Unit, s.OrderVersion = r.Name, u.Name, u.OrderVersion
				if m := p.members[s.Successor]; m != nil && s.Phase == PhaseReplaced {
					s.Zone = m.Zone
				}
				list = append(list, s)
				p.observed[r.Name+"\n"+u.Name] = true
			}
		}
	}
	for i := range p.record.Permits {
		if x := &p.record.Permits[i]; x.State == PermitBegun && p.permitReturned(x) {
			list = append(list, Observation{Permit: x.Number})
		}
	}
	for i := range p.record.Quarantines {
		x := &p.record.Quarantines[i]
		r := p.relays[x.Name]
		switch _, unfit := p.view.Unfit[x.Name]; {
		case x.ReadmittedVersion == 0:
		case r == nil || x.InService && r.reporting(p.budgets) && (!unfit || r.StartNumber > x.StartNumber):
			list = append(list, Observation{Quarantine: x.Number, Phase: PhaseMissing})
		case !x.InService && r.healthy(p.budgets) && r.AppliedVersion >= x.ReadmittedVersion: // baseline that it may yet heed the order that was taken back
			list = append(list, Observation{Quarantine: x.Number, Phase: PhaseDone})
		}
	}
	return list
}

// observeUnit says how a unit is seen further.
func (p *planner) observeUnit(r *release, u *Unit) (Observation, bool) {
	none := Observation{}
	if u.Kind == KindEject || u.Kind == KindReinstate {
		return Observation{Phase: PhaseDone}, u.Phase == PhaseLeaving && p.appliedEverywhere(u.OrderVersion)
	}
	if u.Phase == PhasePending && r.State == ReleaseRunning && p.present(u) == nil && p.onlyMissingLeft(r, u) && !p.allowances[budgetKind(u.Kind)].granted[u.currentName()] &&
		p.now-max(r.ProgressAt, r.ResumedAt) > p.budgets.StartMS+p.budgets.SilentAfterMS { // longer than one that fell over takes
		return Observation{Phase: PhaseMissing}, true
	}
	if u.Phase == PhaseDone && u.Stranded {
		return Observation{Phase: PhasePending}, p.present(u) != nil && !p.allowances[budgetKind(u.Kind)].granted[u.currentName()]
	}
	if u.Stranded && u.isOut() && r.ended() && p.present(u) == nil {
		return Observation{Phase: PhaseMissing}, true // nobody knows of it any more
	}
	if u.Phase == PhaseDone && r.Spec.Drain && u.Kind == KindMember {
		return Observation{Phase: PhaseDrained, SeenStart: u.SeenStart}, p.present(u) != nil
	}
	switch {
	case !u.isOut():
		return none, false
	case u.Kind == KindRelay:
		return p.observeRelay(r, u)
	}
	return p.observeMember(r, u)
}

func (p *planner) observeRelay(r *release, u *Unit) (Observation, bool) {
	x := p.relays[u.Name]
	if x == nil {
		return Observation{}, false
	}
	sound := x.healthy(p.budgets)
	if plantedDefect == "own word" {
		sound = x.Phase == "serving"
	}
	// One that is shut serves nobody, and counts as shut: that it is not about to leave is enough.
	if shut := p.record.findQuarantine(u.Name); u.Phase == PhaseRevoked && shut != nil && !shut.InService {
		sound = x.reporting(p.budgets) && (x.Phase == "serving" || x.Phase == "shut")
	}
	if !sound {
		return Observation{}, false
	}
	program, config := r.targetVersion(u)
	fits := (program == "" || program == x.Program) && (config == "" || config == x.Config)
	later := x.StartNumber > uint64(u.SeenStart)
	switch {
	case u.Phase == PhaseLeaving:
		return Observation{Phase: PhaseDone}, later && fits
	case x.AppliedVersion < u.OrderVersion:
		return Observation{}, false // it may yet heed the order that was taken back
	case fits && (later || program+config != ""):
		return Observation{Phase: PhaseDone}, true
	}
	return Observation{Phase: PhasePending}, true
}

func (p *planner) observeMember(r *release, u *Unit) (Observation, bool) {
	m := p.members[u.currentName()]
	program, _ := r.targetVersion(u)
	// Requester does not say what it runs fits. On the way back an owner may put back at once what was there before.
	fits := func(m *Member) bool {
		return program == "" || m.Program == "" || m.Program == program || r.RollingBack && m.Program == u.PreviousProgram
	}
	switch {
	case u.Phase == PhaseLeaving:
		s := Observation{Phase: PhaseDrained, SeenStart: u.SeenStart}
		if m != nil {
			s.SeenStart = m.Started
		}
		return s, p.drained(u, m)
	case r.Spec.Drain && u.Phase != PhaseRevoked:
		return Observation{Phase: PhaseDone}, m == nil // observed for good: no member any more, so not out
	case m == nil && r.Spec.Drain:
		return Observation{}, false
	case m == nil:
		name := p.findSuccessor(u, fits)
		return Observation{Phase: PhaseReplaced, Successor: name}, name != ""
	case u.Phase == PhaseDrained: // one that fell over and came back as it was is still to be replaced
		return Observation{Phase: PhaseReplaced, Successor: m.Name}, m.Started > u.SeenStart && fits(m)
	case !p.inFullService(m) || u.Phase == PhaseRevoked && !p.appliedEverywhere(u.OrderVersion):
		return Observation{}, false
	case u.Phase == PhaseRevoked && !(program != "" && program == m.Program):
		return Observation{Phase: PhasePending}, true
	case program != "" && m.Program != "" && program != m.Program: // not what was wanted. It is in service all the same, once nobody waits for it
		return Observation{Phase: PhasePending}, !u.Reverting && r.State != ReleaseRunning
	}
	return Observation{Phase: PhaseDone}, true
}

// present is the thing of a unit, if it is in the view.
func (p *planner) present(u *Unit) any {
	if u.Kind == KindRelay {
		if x := p.relays[u.Name]; x != nil {
			return x
		}
		return nil
	}
	if m := p.members[u.currentName()]; m != nil {
		return m
	}
	return nil
}

// onlyMissingLeft says that all else of a release is through, so that one that is not there holds it up.
func (p *planner) onlyMissingLeft(r *release, u *Unit) bool {
	for i := range r.Units {
		if x := &r.Units[i]; x.isOut() || x.Phase == PhasePending && p.present(x) != nil {
			return false
		}
	}
	return true
}

// appliedEverywhere says that every relay that lives has applied a version.
func (p *planner) appliedEverywhere(version uint64) bool {
	for i := range p.view.Relays {
		if x := &p.view.Relays[i]; x.reporting(p.budgets) && x.AppliedVersion < version {
			return false
		}
	}
	return len(p.view.Relays) > 0
}

// drained says that no relay holds a flow at a member: each that lives has said so after it heeded the order, each silent one is
// past the time in which it still could.
func (p *planner) drained(u *Unit, m *Member) bool {
	if !p.appliedEverywhere(u.OrderVersion) {
		return false
	}
	for i := range p.view.Relays {
		x := &p.view.Relays[i]
		switch {
		case x.Exited:
		case !x.reporting(p.budgets):
			if x.ReportAgeMS <= p.budgets.FlowHoldMS {
				return false
			}
		case m != nil && m.FlowsByRelay[x.Name].Flows > 0:
			return false
		}
	}
	return true
}

// inFullService says that a member takes its whole share.
func (p *planner) inFullService(m *Member) bool {
	_, banned := p.record.findEjection(m.Name)
	return m.healthy() && !banned
}

// findSuccessor is a member that has come in the place of one that is gone: the earliest of its zone; one of another only once its own has
// had the time to come.
func (p *planner) findSuccessor(u *Unit, fits func(*Member) bool) string {
	var best *Member
	for i := range p.view.Members {
		m := &p.view.Members[i]
		if p.claimed[m.Name] || m.Started <= u.OrderedAt || !fits(m) || m.Zone != u.Zone && p.now-u.OrderedAt < p.budgets.DrainMS+p.budgets.StartMS {
			continue
		}
		near, nearer := best != nil && best.Zone == u.Zone, m.Zone == u.Zone
		if best == nil || nearer && !near || nearer == near && m.Started < best.Started {
			best = m
		}
	}
	if best == nil {
		return ""
	}
	p.claimed[best.Name] = true
	return best.Name
}

// permitReturned says that others see the thing of a begun permit in full service, when its asker may not take it down any more: its time for that is
// over, or it gave the permit back; and so long ago that what is seen is of after that. A later start proves nothing: it may have fallen over
// by itself just before. One that is not back in the time that a thing may take is lost, and counts as that; if it is not even in the view it
// would count nowhere, so its permit has to be given back.
func (p *planner) permitReturned(x *Permit) bool {
	over := cmp.Or(x.ReturnedAt, x.ExpiresAt) + p.budgets.SilentAfterMS
	if p.now <= over && plantedDefect != "own word" {
		return false
	}
	late := p.now > over+p.record.maxOutMS(x.Kind, p.budgets)
	if x.Kind == KindRelay {
		r := p.relays[x.Name]
		return r == nil && x.ReturnedAt > 0 && late || r != nil && (late || r.healthy(p.budgets) || plantedDefect == "own word" && r.Phase == "serving")
	}
	if m := p.members[x.Name]; m != nil {
		return late || p.inFullService(m)
	}
	name := p.findSuccessor(&Unit{Zone: x.Zone, OrderedAt: x.StateSince}, func(*Member) bool { return true })
	return x.ReturnedAt > 0 && late || name != "" && p.inFullService(p.members[name])
}

func (p *planner) expiredPermits() []uint64 {
	var list []uint64
	for i := range p.record.Permits {
		if p.record.Permits[i].expired(p.now) {
			list = append(list, p.record.Permits[i].Number)
		}
	}
	return list
}

// overdue says that a unit is out for longer than its kind takes.
func (p *planner) overdue(r *release, u *Unit) bool {
	if !u.isOut() {
		// Not there, or held out by another release or a permit.
		kept := p.present(u) == nil || p.allowances[budgetKind(u.Kind)].granted[u.currentName()]
		return r.State == ReleaseRollingBack && u.Phase == PhaseDone && r.revertible(u) && kept && p.now-max(r.ProgressAt, r.ResumedAt) > p.record.maxOutMS(u.Kind, p.budgets)
	}
	if r.Spec.Drain && u.Phase == PhaseDrained {
		return false
	}
	return p.now-max(u.OrderedAt, r.ResumedAt) > p.record.maxOutMS(u.Kind, p.budgets)
}

// ---- Drift ----

// readmissions are the relays that need not be shut any more. One that is silent may be as it was.
func (p *planner) readmissions() []Command {
	var list []Command
	for i := range p.record.Quarantines {
		s := &p.record.Quarantines[i]
		r, cause := p.relays[s.Name], Cause("")
		_, unfit := p.view.Unfit[s.Name]
		switch {
		case s.ReadmittedVersion != 0 || r != nil && !r.reporting(p.budgets):
		case r == nil:
			cause = "gone"
		case r.StartNumber > s.StartNumber:
			cause = "started"
		case !unfit && p.now-s.Since >= p.budgets.SilentAfterMS: // one that comes and goes is not let in and out at each look
			cause = "fit"
		}
		if cause != "" {
			list = append(list, Command{Kind: CommandReadmit, Name: s.Name, Cause: cause})
		}
	}
	return list
}

// quarantines are the relays that drifted, the worst first, as far as the budget bears it.
func (p *planner) quarantines() []Command {
	var list []Command
	if p.now-p.view.At > p.budgets.ViewMaxAgeMS {
		return nil
	}
	seen := map[string]bool{}
	for _, n := range slices.Concat(p.view.UnfitOrder, slices.Sorted(maps.Keys(p.view.Unfit))) {
		why, unfit := p.view.Unfit[n]
		r, s := p.relays[n], p.record.findQuarantine(n)
		if !unfit || seen[n] || r == nil || !r.reporting(p.budgets) || s != nil && (s.ReadmittedVersion == 0 || s.OperatorOverride) || len(list) >= MaxGrantsPerStep {
			continue
		}
		seen[n] = true
		c := Command{Kind: CommandQuarantine, Name: n, Reason: truncate(why, MaxReasonBytes), Zone: r.Zone, Capacity: p.usableCapacity(&Unit{Name: n, Kind: KindRelay}), StartNumber: r.StartNumber,
			Basis: p.basis()}
		if p.allowances[KindRelay].reserveQuarantine(n, r.Zone, c.Capacity) == "" {
			list = append(list, c)
		}
	}
	return list
}

// basis is what a command rests on that gives something out.
func (p *planner) basis() *ViewSummary {
	return &ViewSummary{At: p.view.At, Budgets: p.budgets, Relays: p.allowances[KindRelay].summary, Members: p.allowances[KindMember].summary}
}

// ---- Halts ----

// haltCommand is the first release that is to halt, with the cause.
func (p *planner) haltCommand(stalled map[string]string) *Command {
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		verdict := p.view.Degraded != "" && (p.view.DegradedRelease == "" || p.view.DegradedRelease == r.Name)
		if r.State != ReleaseRunning && r.State != ReleaseRollingBack && !(r.State == ReleaseHalted && verdict && !r.Halt.NeedsOperator && !r.RollingBack) {
			continue
		}
		cause, why := p.haltCause(r, verdict, stalled)
		if cause != "" {
			return &Command{Kind: CommandHalt, Name: r.Name, Cause: cause, Reason: truncate(why, MaxReasonBytes), BaseVersion: p.record.Version}
		}
	}
	return nil
}

// haltCause is why a release is to halt. One on its way back does so only where nothing of it can go: what is bad about the fleet then may be
// what it undoes.
func (p *planner) haltCause(r *release, verdict bool, stalled map[string]string) (cause Cause, why string) {
	if !r.RollingBack {
		cause, why = p.forwardHaltCause(r, verdict)
	}
	if cause == "" && stalled[r.Name] != "" && p.now-max(r.ProgressAt, r.ResumedAt) > p.record.maxOutMS(r.Spec.Kind, p.budgets) {
		return HaltStalled, stalled[r.Name]
	}
	return cause, why
}

func (p *planner) forwardHaltCause(r *release, verdict bool) (cause Cause, why string) {
	if verdict {
		return HaltVerdict, p.view.Degraded
	}
	if p.view.Drift != "" && p.view.DriftMS > p.budgets.DriftHaltMS {
		return HaltDrift, p.view.Drift
	}
	room := p.allowances[budgetKind(r.Spec.Kind)]
	if over := room.overdrawn(); over != "" {
		return HaltOverBudget, over
	}
	if short := room.shortfall(); short != "" {
		return HaltOverBudget, short
	}
	for j := range r.Units {
		if u := &r.Units[j]; u.isOut() && p.overdue(r, u) && !p.observed[r.Name+"\n"+u.Name] {
			return HaltOverdue, fmt.Sprintf("%s %s is %s for %d ms", u.Kind, u.currentName(), u.Phase, p.now-u.OrderedAt)
		}
	}
	if degraded(r.BaselineRequested, r.BaselineServed, r.BaselineDispersion, p.budgets.ServiceTolerance, p.view.Service, max(r.UnitsSetAt, r.ResumedAt)) {
		return HaltServiceDegraded, fmt.Sprintf("it was %.4f before", r.BaselineServed/r.BaselineRequested)
	}
	return "", ""
}

// resumeCommand lets a release go on whose halt's cause is gone, if it may by itself. The cause has to be gone for as long as a silence takes to be one.
func (p *planner) resumeCommand() *Command {
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		if r.State != ReleaseHalted || r.Halt.NeedsOperator || p.now-r.Halt.HaltedAt < p.budgets.SilentAfterMS {
			continue
		}
		out := slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() && !(r.Spec.Drain && u.Phase == PhaseDrained) })
		room, gone := p.allowances[budgetKind(r.Spec.Kind)], false
		switch r.Halt.Cause {
		case HaltOverBudget:
			gone = room.overdrawn() == "" && room.shortfall() == ""
		case HaltOverdue:
			gone = !out
		case HaltServiceDegraded:
			gone = !out && !degraded(r.BaselineRequested, r.BaselineServed, r.BaselineDispersion, p.budgets.ServiceTolerance, p.view.Service, r.Halt.HaltedAt)
		case HaltDrift:
			gone = p.view.Drift == ""
		case HaltStalled:
			gone = p.canGrant(r)
		}
		if gone {
			return &Command{Kind: CommandResume, Name: r.Name, Cause: r.Halt.Cause, BaseVersion: p.record.Version}
		}
	}
	return nil
}

// canGrant says whether a halted release could give something out.
func (p *planner) canGrant(r *release) bool {
	x := *r
	x.State = x.activeState()
	room := p.record.allowance(budgetKind(r.Spec.Kind), p.allowances[budgetKind(r.Spec.Kind)].summary, p.budgets)
	for _, u := range p.candidates(&x) {
		if u.ejectionChange() < 0 || p.present(u) != nil && room.reserve(u.currentName(), u.Zone, p.usableCapacity(u)) == "" {
			return true
		}
	}
	return false
}

// ---- Laying out ----

// setUnits lays the first release out that waits for it: from the smallest risk up, zone by zone where the budget lets no more than one zone's
// things out anyway, else spread over the zones.
func (p *planner) setUnitsCommand() *Command {
	i := slices.IndexFunc(p.record.Releases, func(r release) bool {
		return r.State == ReleaseQueued && !r.UnitsSet && r.QueuedBehind == "" && !p.versionsUnknown(&r)
	})
	if i < 0 || len(p.view.Relays) == 0 {
		return nil
	}
	r := &p.record.Releases[i]
	w := &r.Spec
	var units []Unit
	risk := map[string]float64{}
	there := map[string]bool{}
	switch w.Kind {
	case KindEject:
		for _, n := range slices.Sorted(slices.Values(w.Reinstate)) {
			units = append(units, p.locate(Unit{Name: n, Kind: KindReinstate}))
		}
		for _, n := range slices.Sorted(slices.Values(w.Eject)) {
			units = append(units, p.locate(Unit{Name: n, Kind: KindEject}))
		}
		return &Command{Kind: CommandSetUnits, Name: r.Name, Units: units, Baseline: p.baselineWindows()}
	case KindRelay:
		for _, x := range p.view.Relays {
			if w.selects(x.Name, x.Zone) {
				units = append(units, Unit{Name: x.Name, Zone: x.Zone, Kind: w.Kind, Capacity: x.Capacity, PreviousProgram: x.Program, PreviousConfig: x.Config})
				risk[x.Name] = float64(x.Flows)
				there[x.Name] = true
			}
		}
	default:
		for _, m := range p.view.Members {
			if w.selects(m.Name, m.Zone) {
				units = append(units, Unit{Name: m.Name, Zone: m.Zone, Kind: w.Kind, Capacity: m.Capacity, PreviousProgram: m.Program})
				risk[m.Name] = m.UsableCapacity
				there[m.Name] = true
			}
		}
	}
	if plantedDefect != "a map's order" {
		slices.SortFunc(units, func(x, y Unit) int {
			return cmp.Or(cmp.Compare(risk[x.Name], risk[y.Name]), cmp.Compare(x.Name, y.Name))
		})
	}
	units = orderByZone(units, p.zoneByZone(w), risk)
	for _, n := range w.Names {
		if !there[n] {
			units = append(units, Unit{Name: n, Kind: w.Kind, Phase: PhaseMissing})
		}
	}
	return &Command{Kind: CommandSetUnits, Name: r.Name, Units: units, Baseline: p.baselineWindows()}
}

// versionsUnknown says that a relay of the release has not yet said what it runs: it could not be given back. One that is silent for good is not waited for.
func (p *planner) versionsUnknown(r *release) bool {
	w := &r.Spec
	return w.Kind == KindRelay && p.now-r.ProgressAt <= p.budgets.DrainMS+p.budgets.StartMS && slices.ContainsFunc(p.view.Relays, func(x Relay) bool {
		return w.selects(x.Name, x.Zone) && (w.Program != "" && x.Program == "" || w.Config != "" && x.Config == "")
	})
}

func (p *planner) baselineWindows() []ServiceWindow {
	var list []ServiceWindow
	for _, c := range p.view.Service[max(0, len(p.view.Service)-maxBaselineWindows):] {
		if c.Requested >= 0 && c.Served >= 0 && c.Requested <= maxWindowRequests {
			list = append(list, ServiceWindow{c.EndsAt, c.Requested, min(c.Served, c.Requested)})
		}
	}
	return list
}

func (p *planner) locate(u Unit) Unit {
	if m := p.members[u.Name]; m != nil {
		u.Zone, u.Capacity = m.Zone, m.Capacity
	}
	return u
}

// zoneByZone says that one zone's things come before the next: all that may be out at once fits into one zone.
func (p *planner) zoneByZone(w *ReleaseSpec) bool {
	room := p.allowances[budgetKind(w.Kind)]
	if w.ZoneByZone || !room.budget.PerZone.isSet() {
		return w.ZoneByZone
	}
	for _, n := range room.summary.CountByZone {
		if room.budget.zoneLimit(n) < room.budget.totalLimit(room.total) {
			return false
		}
	}
	return len(room.summary.CountByZone) > 1
}

// orderByZone orders units: those of the zone with the smallest risk first, or one of each zone in turn.
func orderByZone(units []Unit, zonal bool, risk map[string]float64) []Unit {
	zones, total, names := map[string][]Unit{}, map[string]float64{}, []string{}
	for _, u := range units {
		if zones[u.Zone] == nil {
			names = append(names, u.Zone)
		}
		zones[u.Zone] = append(zones[u.Zone], u)
		total[u.Zone] += risk[u.Name]
	}
	if plantedDefect == "a map's order" {
		names = nil
		for z := range zones {
			names = append(names, z)
		}
	} else {
		slices.SortFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(total[x], total[y]), cmp.Compare(x, y)) })
	}
	var list []Unit
	for i := 0; len(list) < len(units); i++ {
		for _, z := range names {
			if zonal && i < len(names) && z == names[i] {
				list = append(list, zones[z]...)
			} else if !zonal && i < len(zones[z]) {
				list = append(list, zones[z][i])
			}
		}
	}
	return list
}

// ---- Giving out ----

// stepCommand is what goes out now: permits first, whose askers wait outside, then releases as they were opened; releases first once one has waited
// for half of its bound, else askers who never rest would hold it up. It also says of which release nothing is out and nothing may go.
func (p *planner) stepCommand() (*Command, map[string]string) {
	c := Command{Kind: CommandStep, BaseVersion: p.record.Version, Basis: p.basis()}
	stalled := map[string]string{}
	if len(p.view.Relays) == 0 || p.now-p.view.At > p.budgets.ViewMaxAgeMS {
		return nil, stalled
	}
	starved := slices.ContainsFunc(p.record.Releases, func(r release) bool {
		return (r.State == ReleaseRunning || r.State == ReleaseRollingBack) && !slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() }) &&
			p.now-max(r.ProgressAt, r.ResumedAt) > p.record.maxOutMS(r.Spec.Kind, p.budgets)/2
	})
	if !starved {
		p.grantPermits(&c)
	}
	moving := p.migratingFlows()
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		if r.State != ReleaseRollingBack && (r.State != ReleaseRunning || p.view.Drift != "") {
			continue
		}
		n, why := len(c.Grants), p.view.Drift
		for _, u := range p.candidates(r) {
			if len(c.Grants) >= MaxGrantsPerStep {
				break
			}
			g := p.newGrant(u)
			g.Release, g.Unit, g.Zone = r.Name, u.Name, ""
			if u.ejectionChange() >= 0 {
				if p.present(u) == nil && u.ejectionChange() == 0 {
					why = u.currentName() + " is not there"
					continue
				}
				if no := p.reserve(u, u.Zone, g.Capacity); no != "" {
					why = no
					continue
				}
			}
			if u.Kind == KindMember {
				moving += p.members[u.currentName()].totalFlows()
				g.MigrateOverMS = p.migrateOverMS(moving)
			}
			c.Grants = append(c.Grants, g)
			if r.Spec.FirstAlone && !p.firstDone(r) {
				break
			}
		}
		out := slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() && !u.Stranded })
		if len(c.Grants) == n && !out && why != "" {
			stalled[r.Name] = why
		}
	}
	if starved {
		p.grantPermits(&c)
	}
	if len(c.Grants) == 0 {
		return nil, stalled
	}
	return &c, stalled
}

// grantPermits adds to a step the permits that may be granted, as they were asked for.
func (p *planner) grantPermits(c *Command) {
	for i := range p.record.Permits {
		x := &p.record.Permits[i]
		u := Unit{Name: x.Name, Kind: x.Kind}
		if x.State != PermitWaiting || p.now-x.RequestedAt > permitForgetMS || p.present(&u) == nil || len(c.Grants) >= MaxGrantsPerStep {
			continue
		}
		g := p.newGrant(&u)
		if p.reserve(&u, g.Zone, g.Capacity) == "" {
			g.Permit = x.Number
			c.Grants = append(c.Grants, g)
		}
	}
}

func (p *planner) reserve(u *Unit, zone string, bears float64) string {
	return p.allowances[budgetKind(u.Kind)].reserve(u.currentName(), zone, bears)
}

// newGrant is what goes with a thing, as it is seen now.
func (p *planner) newGrant(u *Unit) Grant {
	g := Grant{Capacity: p.usableCapacity(u)}
	if u.Kind == KindRelay {
		if x := p.relays[u.Name]; x != nil {
			g.Zone, g.SeenStart = x.Zone, int64(x.StartNumber)
		}
	} else if m := p.members[u.currentName()]; m != nil {
		g.Zone, g.SeenStart = m.Zone, m.Started
	}
	return g
}

// usableCapacity is what is lost to the rest when a thing goes out: nothing, if it is lost already.
func (p *planner) usableCapacity(u *Unit) float64 {
	if u.Kind == KindRelay {
		shut := p.record.findQuarantine(u.Name)
		if x := p.relays[u.Name]; x != nil && x.healthy(p.budgets) && (shut == nil || shut.InService) {
			return x.Capacity
		}
		return 0
	}
	m := p.members[u.currentName()]
	if m == nil || m.Failing {
		return 0
	}
	if _, banned := p.record.findEjection(m.Name); banned {
		return 0
	}
	return m.UsableCapacity
}

// candidates are the units of a release that may go out, in order: those that are sound first. The way back is in reverse.
func (p *planner) candidates(r *release) []*Unit {
	var list, lost []*Unit
	zone, found := "", false // of a zonal release: the first zone that is not through
	if r.Spec.FirstAlone && r.State == ReleaseRunning && !p.firstDone(r) && slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() }) {
		return nil
	}
	for i := range r.Units {
		u := &r.Units[i]
		if !found && r.Spec.ZoneByZone && r.State == ReleaseRunning && (u.Phase == PhasePending || u.isOut()) {
			zone, found = u.Zone, true
		}
		if !r.grantable(u) || u.Stranded || found && u.Zone != zone {
			continue
		}
		if p.allowances[budgetKind(u.Kind)].out[u.currentName()] && u.ejectionChange() >= 0 {
			lost = append(lost, u)
		} else {
			list = append(list, u)
		}
	}
	if r.State == ReleaseRollingBack {
		newest := func(x, y *Unit) int { return cmp.Compare(y.OrderNumber, x.OrderNumber) }
		slices.SortStableFunc(list, newest)
		slices.SortStableFunc(lost, newest)
	}
	return append(list, lost...)
}

// firstDone says that the first unit of a release is back.
func (p *planner) firstDone(r *release) bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.Phase == PhaseDone })
}

// migratingFlows are the flows of members that are told to leave.
func (p *planner) migratingFlows() int {
	n := 0
	for i := range p.record.Releases {
		for j := range p.record.Releases[i].Units {
			u := &p.record.Releases[i].Units[j]
			if m := p.members[u.currentName()]; u.Kind == KindMember && u.Phase == PhaseLeaving && m != nil {
				n += m.totalFlows()
			}
		}
	}
	return n
}

// migrateOverMS is over how many ms so many flows are moved: by the new flows a second that the rest takes, where it is known; else by what a
// cold member takes until it bears all.
func (p *planner) migrateOverMS(flows int) int64 {
	rate, known := 0.0, true
	covered := p.record.coveredNames(KindMember)
	for i := range p.view.Members {
		if m := &p.view.Members[i]; !covered[m.Name] && !p.allowances[KindMember].granted[m.Name] && p.usableCapacity(&Unit{Name: m.Name, Kind: KindMember}) > 0 {
			rate, known = rate+m.NewFlowsPerSecond, known && m.NewFlowsPerSecond > 0
		}
	}
	if !known || rate <= 0 {
		rate = p.allowances[KindMember].summary.RemainingCapacity / (float64(max(p.budgets.WarmupMS, 1)) / 1000)
	}
	if flows == 0 || rate <= 0 {
		return 0
	}
	return min(int64(float64(flows)/rate*1000)+1, p.budgets.DrainMS)
}
