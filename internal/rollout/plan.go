package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// planner is one look of the leader.
type planner struct {
	d       *record
	now     int64
	v       View
	b       Budgets
	relays  map[string]*Relay
	members map[string]*Member
	gone    map[string]bool // units that this look sees further, by release and name
	used    map[string]bool // newcomers that stand for something by now
	rooms   map[string]*room
}

// Plan says what to propose next, in this order: a few commands, the same for the same state and view. What others saw comes first, then a halt
// (a successor that is not yet known to be one would count as a cold member beside the empty one), then who is admitted and who is shut, then what goes out. Each is reckoned as if those before it were agreed, and names the version that they make: if one of them is
// not, the rest is refused and the next look plans anew. A relay that was never heard is to have the age of the view as ReportAgeMS, else
// nothing of it is ever past its time.
func (s *State) Plan(now int64, v View, b Budgets) []Command {
	p := s.record.planner(now, v, b)
	saw := p.seen()
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
		gone := p.gone
		p = next.record.planner(now, v, b)
		p.gone = gone
	}
	_, stalled := p.step()
	p.reset()
	if c := p.halt(stalled); c != nil {
		add(*c)
	}
	if numbers := p.void(); len(numbers) > 0 {
		add(Command{Kind: CommandExpirePermits, PermitNumbers: numbers})
	}
	if len(s.record.Quarantines)+len(v.Unfit) > 0 {
		p = next.record.planner(now, v, b)
		for _, c := range append(p.admits(), p.shuts()...) {
			c.BaseVersion = next.Version()
			add(c)
		}
	}
	if len(list) > 0 {
		if c, _ := next.record.planner(now, v, b).step(); c != nil {
			list = append(list, *c)
		}
		return list
	}
	if c := p.resume(); c != nil {
		return []Command{*c}
	}
	if c := p.lay(); c != nil {
		return []Command{*c}
	}
	if c, _ := p.step(); c != nil {
		return []Command{*c}
	}
	return nil
}

// BlockReasons says, by release, why nothing of it may go out now, where nothing is. For operators, at the leader.
func (s *State) BlockReasons(now int64, v View, b Budgets) map[string]string {
	p := s.record.planner(now, v, b)
	_, why := p.step()
	return why
}

func (d *record) planner(now int64, v View, b Budgets) *planner {
	p := &planner{d: d, now: now, v: v, b: b, relays: map[string]*Relay{}, members: map[string]*Member{}, gone: map[string]bool{}, used: map[string]bool{}}
	p.v.Relays, p.v.Members = slices.Clone(v.Relays), slices.Clone(v.Members)
	slices.SortFunc(p.v.Relays, func(x, y Relay) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(p.v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	for i := range p.v.Relays {
		p.relays[p.v.Relays[i].Name] = &p.v.Relays[i]
	}
	for i := range p.v.Members {
		p.members[p.v.Members[i].Name] = &p.v.Members[i]
	}
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			u := &d.Releases[i].Units[j]
			p.used[u.Name], p.used[u.name()] = true, true
		}
	}
	p.reset()
	return p
}

func (p *planner) reset() {
	p.rooms = map[string]*room{KindRelay: p.d.room(KindRelay, p.d.relays(&p.v, p.b), p.b), KindMember: p.d.room(KindMember, p.d.members(&p.v), p.b)}
}

// ---- What others saw ----

func (p *planner) seen() []Observation {
	var list []Observation
	for i := range p.d.Releases {
		r := &p.d.Releases[i]
		for j := range r.Units {
			u := &r.Units[j]
			s, ok := p.look(r, u)
			if !ok && r.State == ReleaseRollingBack && p.late(r, u) && !u.Stranded {
				s, ok = Observation{Stranded: true}, true
			}
			if ok {
				s.Release, s.Unit, s.OrderVersion = r.Name, u.Name, u.OrderVersion
				if m := p.members[s.Successor]; m != nil && s.Phase == PhaseReplaced {
					s.Zone = m.Zone
				}
				list = append(list, s)
				p.gone[r.Name+"\n"+u.Name] = true
			}
		}
	}
	for i := range p.d.Permits {
		if x := &p.d.Permits[i]; x.State == PermitBegun && p.returned(x) {
			list = append(list, Observation{Permit: x.Number})
		}
	}
	for i := range p.d.Quarantines {
		x := &p.d.Quarantines[i]
		r := p.relays[x.Name]
		switch _, unfit := p.v.Unfit[x.Name]; {
		case x.ReadmittedVersion == 0:
		case r == nil || x.InService && r.live(p.b) && (!unfit || r.StartNumber > x.StartNumber):
			list = append(list, Observation{Quarantine: x.Number, Phase: PhaseMissing})
		case !x.InService && r.sound(p.b) && r.AppliedVersion >= x.ReadmittedVersion: // before that it may yet heed the order that was taken back
			list = append(list, Observation{Quarantine: x.Number, Phase: PhaseDone})
		}
	}
	return list
}

// look says how a unit is seen further.
func (p *planner) look(r *release, u *Unit) (Observation, bool) {
	none := Observation{}
	if u.Kind == KindEject || u.Kind == KindReinstate {
		return Observation{Phase: PhaseDone}, u.Phase == PhaseLeaving && p.heeded(u.OrderVersion)
	}
	if u.Phase == PhasePending && r.State == ReleaseRunning && p.there(u) == nil && p.alone(r, u) && !p.rooms[side(u.Kind)].planned[u.name()] &&
		p.now-max(r.ProgressAt, r.ResumedAt) > p.b.StartMS+p.b.SilentAfterMS { // longer than one that fell over takes
		return Observation{Phase: PhaseMissing}, true
	}
	if u.Phase == PhaseDone && u.Stranded {
		return Observation{Phase: PhasePending}, p.there(u) != nil && !p.rooms[side(u.Kind)].planned[u.name()]
	}
	if u.Stranded && u.isOut() && r.ended() && p.there(u) == nil {
		return Observation{Phase: PhaseMissing}, true // nobody knows of it any more
	}
	if u.Phase == PhaseDone && r.Spec.Drain && u.Kind == KindMember {
		return Observation{Phase: PhaseDrained, SeenStart: u.SeenStart}, p.there(u) != nil
	}
	switch {
	case !u.isOut():
		return none, false
	case u.Kind == KindRelay:
		return p.lookRelay(r, u)
	}
	return p.lookMember(r, u)
}

func (p *planner) lookRelay(r *release, u *Unit) (Observation, bool) {
	x := p.relays[u.Name]
	if x == nil {
		return Observation{}, false
	}
	sound := x.sound(p.b)
	if planted == "own word" {
		sound = x.Phase == "serving"
	}
	// One that is shut serves nobody, and counts as shut: that it is not about to leave is enough.
	if shut := p.d.shutting(u.Name); u.Phase == PhaseRevoked && shut != nil && !shut.InService {
		sound = x.live(p.b) && (x.Phase == "serving" || x.Phase == "shut")
	}
	if !sound {
		return Observation{}, false
	}
	program, config := r.wants(u, u.Reverting)
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

func (p *planner) lookMember(r *release, u *Unit) (Observation, bool) {
	m := p.members[u.name()]
	program, _ := r.wants(u, u.Reverting)
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
		return s, p.empty(u, m)
	case r.Spec.Drain && u.Phase != PhaseRevoked:
		return Observation{Phase: PhaseDone}, m == nil // gone for good: no member any more, so not out
	case m == nil && r.Spec.Drain:
		return Observation{}, false
	case m == nil:
		name := p.newcomer(u, fits)
		return Observation{Phase: PhaseReplaced, Successor: name}, name != ""
	case u.Phase == PhaseDrained: // one that fell over and came back as it was is still to be replaced
		return Observation{Phase: PhaseReplaced, Successor: m.Name}, m.Started > u.SeenStart && fits(m)
	case !p.full(m) || u.Phase == PhaseRevoked && !p.heeded(u.OrderVersion):
		return Observation{}, false
	case u.Phase == PhaseRevoked && !(program != "" && program == m.Program):
		return Observation{Phase: PhasePending}, true
	case program != "" && m.Program != "" && program != m.Program: // not what was wanted. It is in service all the same, once nobody waits for it
		return Observation{Phase: PhasePending}, !u.Reverting && r.State != ReleaseRunning
	}
	return Observation{Phase: PhaseDone}, true
}

// there is the thing of a unit, if it is in the view.
func (p *planner) there(u *Unit) any {
	if u.Kind == KindRelay {
		if x := p.relays[u.Name]; x != nil {
			return x
		}
		return nil
	}
	if m := p.members[u.name()]; m != nil {
		return m
	}
	return nil
}

// alone says that all else of a release is through, so that one that is not there holds it up.
func (p *planner) alone(r *release, u *Unit) bool {
	for i := range r.Units {
		if x := &r.Units[i]; x.isOut() || x.Phase == PhasePending && p.there(x) != nil {
			return false
		}
	}
	return true
}

// heeded says that every relay that lives has applied a version.
func (p *planner) heeded(version uint64) bool {
	for i := range p.v.Relays {
		if x := &p.v.Relays[i]; x.live(p.b) && x.AppliedVersion < version {
			return false
		}
	}
	return len(p.v.Relays) > 0
}

// empty says that no relay holds a flow at a member: each that lives has said so after it heeded the order, each silent one is
// past the time in which it still could.
func (p *planner) empty(u *Unit, m *Member) bool {
	if !p.heeded(u.OrderVersion) {
		return false
	}
	for i := range p.v.Relays {
		x := &p.v.Relays[i]
		switch {
		case x.Exited:
		case !x.live(p.b):
			if x.ReportAgeMS <= p.b.FlowHoldMS {
				return false
			}
		case m != nil && m.FlowsByRelay[x.Name].Flows > 0:
			return false
		}
	}
	return true
}

// full says that a member takes its whole share.
func (p *planner) full(m *Member) bool {
	_, banned := p.d.banned(m.Name)
	return m.sound() && !banned
}

// newcomer is a member that has come in the place of one that is gone: the earliest of its zone; one of another only once its own has
// had the time to come.
func (p *planner) newcomer(u *Unit, fits func(*Member) bool) string {
	var best *Member
	for i := range p.v.Members {
		m := &p.v.Members[i]
		if p.used[m.Name] || m.Started <= u.OrderedAt || !fits(m) || m.Zone != u.Zone && p.now-u.OrderedAt < p.b.DrainMS+p.b.StartMS {
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
	p.used[best.Name] = true
	return best.Name
}

// returned says that others see the thing of a begun permit in full service, when its asker may not take it down any more: its time for that is
// over, or it gave the permit back; and so long ago that what is seen is of after that. A later start proves nothing: it may have fallen over
// by itself just before. One that is not back in the time that a thing may take is lost, and counts as that; if it is not even in the view it
// would count nowhere, so its permit has to be given back.
func (p *planner) returned(x *Permit) bool {
	over := cmp.Or(x.ReturnedAt, x.ExpiresAt) + p.b.SilentAfterMS
	if p.now <= over && planted != "own word" {
		return false
	}
	late := p.now > over+p.d.bound(x.Kind, p.b)
	if x.Kind == KindRelay {
		r := p.relays[x.Name]
		return r == nil && x.ReturnedAt > 0 && late || r != nil && (late || r.sound(p.b) || planted == "own word" && r.Phase == "serving")
	}
	if m := p.members[x.Name]; m != nil {
		return late || p.full(m)
	}
	name := p.newcomer(&Unit{Zone: x.Zone, OrderedAt: x.StateSince}, func(*Member) bool { return true })
	return x.ReturnedAt > 0 && late || name != "" && p.full(p.members[name])
}

func (p *planner) void() []uint64 {
	var list []uint64
	for i := range p.d.Permits {
		if p.d.Permits[i].void(p.now) {
			list = append(list, p.d.Permits[i].Number)
		}
	}
	return list
}

// late says that a unit is out for longer than its kind takes.
func (p *planner) late(r *release, u *Unit) bool {
	if !u.isOut() {
		// Not there, or held out by another release or a permit.
		kept := p.there(u) == nil || p.rooms[side(u.Kind)].planned[u.name()]
		return r.State == ReleaseRollingBack && u.Phase == PhaseDone && r.undoable(u) && kept && p.now-max(r.ProgressAt, r.ResumedAt) > p.d.bound(u.Kind, p.b)
	}
	if r.Spec.Drain && u.Phase == PhaseDrained {
		return false
	}
	return p.now-max(u.OrderedAt, r.ResumedAt) > p.d.bound(u.Kind, p.b)
}

// ---- Drift ----

// admits are the relays that need not be shut any more. One that is silent may be as it was.
func (p *planner) admits() []Command {
	var list []Command
	for i := range p.d.Quarantines {
		s := &p.d.Quarantines[i]
		r, cause := p.relays[s.Name], ""
		_, unfit := p.v.Unfit[s.Name]
		switch {
		case s.ReadmittedVersion != 0 || r != nil && !r.live(p.b):
		case r == nil:
			cause = "gone"
		case r.StartNumber > s.StartNumber:
			cause = "started"
		case !unfit && p.now-s.Since >= p.b.SilentAfterMS: // one that comes and goes is not let in and out at each look
			cause = "fit"
		}
		if cause != "" {
			list = append(list, Command{Kind: CommandReadmit, Name: s.Name, Cause: cause})
		}
	}
	return list
}

// shuts are the relays that drifted, the worst first, as far as the budget bears it.
func (p *planner) shuts() []Command {
	var list []Command
	if p.now-p.v.At > p.b.ViewMaxAgeMS {
		return nil
	}
	seen := map[string]bool{}
	for _, n := range slices.Concat(p.v.UnfitOrder, slices.Sorted(maps.Keys(p.v.Unfit))) {
		why, unfit := p.v.Unfit[n]
		r, s := p.relays[n], p.d.shutting(n)
		if !unfit || seen[n] || r == nil || !r.live(p.b) || s != nil && (s.ReadmittedVersion == 0 || s.OperatorOverride) || len(list) >= MaxGrantsPerStep {
			continue
		}
		seen[n] = true
		c := Command{Kind: CommandQuarantine, Name: n, Reason: cut(why, MaxReasonBytes), Zone: r.Zone, Capacity: p.bears(&Unit{Name: n, Kind: KindRelay}), StartNumber: r.StartNumber,
			Basis: p.sight()}
		if p.rooms[KindRelay].shut(n, r.Zone, c.Capacity) == "" {
			list = append(list, c)
		}
	}
	return list
}

// sight is what a command rests on that gives something out.
func (p *planner) sight() *ViewSummary {
	return &ViewSummary{At: p.v.At, Budgets: p.b, Relays: p.rooms[KindRelay].side, Members: p.rooms[KindMember].side}
}

// ---- Halts ----

// halt is the first release that is to halt, with the cause.
func (p *planner) halt(stalled map[string]string) *Command {
	for i := range p.d.Releases {
		r := &p.d.Releases[i]
		verdict := p.v.Degraded != "" && (p.v.DegradedRelease == "" || p.v.DegradedRelease == r.Name)
		if r.State != ReleaseRunning && r.State != ReleaseRollingBack && !(r.State == ReleaseHalted && verdict && !r.Halt.NeedsOperator && !r.RollingBack) {
			continue
		}
		cause, why := p.cause(r, verdict, stalled)
		if cause != "" {
			return &Command{Kind: CommandHalt, Name: r.Name, Cause: cause, Reason: cut(why, MaxReasonBytes), BaseVersion: p.d.Version}
		}
	}
	return nil
}

// cause is why a release is to halt. One on its way back does so only where nothing of it can go: what is bad about the fleet then may be
// what it undoes.
func (p *planner) cause(r *release, verdict bool, stalled map[string]string) (cause, why string) {
	if !r.RollingBack {
		cause, why = p.bad(r, verdict)
	}
	if cause == "" && stalled[r.Name] != "" && p.now-max(r.ProgressAt, r.ResumedAt) > p.d.bound(r.Spec.Kind, p.b) {
		return HaltStalled, stalled[r.Name]
	}
	return cause, why
}

func (p *planner) bad(r *release, verdict bool) (cause, why string) {
	if verdict {
		return HaltVerdict, p.v.Degraded
	}
	if p.v.Drift != "" && p.v.DriftMS > p.b.DriftHaltMS {
		return HaltDrift, p.v.Drift
	}
	room := p.rooms[side(r.Spec.Kind)]
	if over := room.over(); over != "" {
		return HaltOverBudget, over
	}
	if short := room.short(); short != "" {
		return HaltOverBudget, short
	}
	for j := range r.Units {
		if u := &r.Units[j]; u.isOut() && p.late(r, u) && !p.gone[r.Name+"\n"+u.Name] {
			return HaltOverdue, fmt.Sprintf("%s %s is %s for %d ms", u.Kind, u.name(), u.Phase, p.now-u.OrderedAt)
		}
	}
	if worse(r.BaselineRequested, r.BaselineServed, r.BaselineDispersion, p.b.ServiceTolerance, p.v.Service, max(r.UnitsSetAt, r.ResumedAt)) {
		return HaltServiceDegraded, fmt.Sprintf("it was %.4f before", r.BaselineServed/r.BaselineRequested)
	}
	return "", ""
}

// resume lets a release go on whose halt's cause is gone, if it may by itself. The cause has to be gone for as long as a silence takes to be one.
func (p *planner) resume() *Command {
	for i := range p.d.Releases {
		r := &p.d.Releases[i]
		if r.State != ReleaseHalted || r.Halt.NeedsOperator || p.now-r.Halt.HaltedAt < p.b.SilentAfterMS {
			continue
		}
		out := slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() && !(r.Spec.Drain && u.Phase == PhaseDrained) })
		room, gone := p.rooms[side(r.Spec.Kind)], false
		switch r.Halt.Cause {
		case HaltOverBudget:
			gone = room.over() == "" && room.short() == ""
		case HaltOverdue:
			gone = !out
		case HaltServiceDegraded:
			gone = !out && !worse(r.BaselineRequested, r.BaselineServed, r.BaselineDispersion, p.b.ServiceTolerance, p.v.Service, r.Halt.HaltedAt)
		case HaltDrift:
			gone = p.v.Drift == ""
		case HaltStalled:
			gone = p.could(r)
		}
		if gone {
			return &Command{Kind: CommandResume, Name: r.Name, Cause: r.Halt.Cause, BaseVersion: p.d.Version}
		}
	}
	return nil
}

// could says whether a halted release could give something out.
func (p *planner) could(r *release) bool {
	x := *r
	x.State = x.going()
	room := p.d.room(side(r.Spec.Kind), p.rooms[side(r.Spec.Kind)].side, p.b)
	for _, u := range p.candidates(&x) {
		if u.bans() < 0 || p.there(u) != nil && room.take(u.name(), u.Zone, p.bears(u)) == "" {
			return true
		}
	}
	return false
}

// ---- Laying out ----

// lay lays the first release out that waits for it: from the smallest risk up, zone by zone where the budget lets no more than one zone's
// things out anyway, else spread over the zones.
func (p *planner) lay() *Command {
	i := slices.IndexFunc(p.d.Releases, func(r release) bool {
		return r.State == ReleaseQueued && !r.UnitsSet && r.QueuedBehind == "" && !p.unknown(&r)
	})
	if i < 0 || len(p.v.Relays) == 0 {
		return nil
	}
	r := &p.d.Releases[i]
	w := &r.Spec
	var units []Unit
	risk := map[string]float64{}
	there := map[string]bool{}
	switch w.Kind {
	case KindEject:
		for _, n := range slices.Sorted(slices.Values(w.Reinstate)) {
			units = append(units, p.place(Unit{Name: n, Kind: KindReinstate}))
		}
		for _, n := range slices.Sorted(slices.Values(w.Eject)) {
			units = append(units, p.place(Unit{Name: n, Kind: KindEject}))
		}
		return &Command{Kind: CommandSetUnits, Name: r.Name, Units: units, Baseline: p.before()}
	case KindRelay:
		for _, x := range p.v.Relays {
			if w.of(x.Name, x.Zone) {
				units = append(units, Unit{Name: x.Name, Zone: x.Zone, Kind: w.Kind, Capacity: x.Capacity, PreviousProgram: x.Program, PreviousConfig: x.Config})
				risk[x.Name] = float64(x.Flows)
				there[x.Name] = true
			}
		}
	default:
		for _, m := range p.v.Members {
			if w.of(m.Name, m.Zone) {
				units = append(units, Unit{Name: m.Name, Zone: m.Zone, Kind: w.Kind, Capacity: m.Capacity, PreviousProgram: m.Program})
				risk[m.Name] = m.UsableCapacity
				there[m.Name] = true
			}
		}
	}
	if planted != "a map's order" {
		slices.SortFunc(units, func(x, y Unit) int {
			return cmp.Or(cmp.Compare(risk[x.Name], risk[y.Name]), cmp.Compare(x.Name, y.Name))
		})
	}
	units = spread(units, p.zonal(w), risk)
	for _, n := range w.Names {
		if !there[n] {
			units = append(units, Unit{Name: n, Kind: w.Kind, Phase: PhaseMissing})
		}
	}
	return &Command{Kind: CommandSetUnits, Name: r.Name, Units: units, Baseline: p.before()}
}

// unknown says that a relay of the release has not yet said what it runs: it could not be given back. One that is silent for good is not waited for.
func (p *planner) unknown(r *release) bool {
	w := &r.Spec
	return w.Kind == KindRelay && p.now-r.ProgressAt <= p.b.DrainMS+p.b.StartMS && slices.ContainsFunc(p.v.Relays, func(x Relay) bool {
		return w.of(x.Name, x.Zone) && (w.Program != "" && x.Program == "" || w.Config != "" && x.Config == "")
	})
}

func (p *planner) before() []ServiceWindow {
	var list []ServiceWindow
	for _, c := range p.v.Service[max(0, len(p.v.Service)-countsMost):] {
		if c.Requested >= 0 && c.Served >= 0 && c.Requested <= countMost {
			list = append(list, ServiceWindow{c.EndsAt, c.Requested, min(c.Served, c.Requested)})
		}
	}
	return list
}

func (p *planner) place(u Unit) Unit {
	if m := p.members[u.Name]; m != nil {
		u.Zone, u.Capacity = m.Zone, m.Capacity
	}
	return u
}

// zonal says that one zone's things come before the next: all that may be out at once fits into one zone.
func (p *planner) zonal(w *ReleaseSpec) bool {
	room := p.rooms[side(w.Kind)]
	if w.ZoneByZone || !room.budget.PerZone.set() {
		return w.ZoneByZone
	}
	for _, n := range room.side.CountByZone {
		if room.budget.zone(n) < room.budget.whole(room.total) {
			return false
		}
	}
	return len(room.side.CountByZone) > 1
}

// spread orders units: those of the zone with the smallest risk first, or one of each zone in turn.
func spread(units []Unit, zonal bool, risk map[string]float64) []Unit {
	zones, total, names := map[string][]Unit{}, map[string]float64{}, []string{}
	for _, u := range units {
		if zones[u.Zone] == nil {
			names = append(names, u.Zone)
		}
		zones[u.Zone] = append(zones[u.Zone], u)
		total[u.Zone] += risk[u.Name]
	}
	if planted == "a map's order" {
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

// step is what goes out now: permits first, whose askers wait outside, then releases as they were opened; releases first once one has waited
// for half of its bound, else askers who never rest would hold it up. It also says of which release nothing is out and nothing may go.
func (p *planner) step() (*Command, map[string]string) {
	c := Command{Kind: CommandStep, BaseVersion: p.d.Version, Basis: p.sight()}
	stalled := map[string]string{}
	if len(p.v.Relays) == 0 || p.now-p.v.At > p.b.ViewMaxAgeMS {
		return nil, stalled
	}
	starved := slices.ContainsFunc(p.d.Releases, func(r release) bool {
		return (r.State == ReleaseRunning || r.State == ReleaseRollingBack) && !slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() }) &&
			p.now-max(r.ProgressAt, r.ResumedAt) > p.d.bound(r.Spec.Kind, p.b)/2
	})
	if !starved {
		p.permits(&c)
	}
	moving := p.moving()
	for i := range p.d.Releases {
		r := &p.d.Releases[i]
		if r.State != ReleaseRollingBack && (r.State != ReleaseRunning || p.v.Drift != "") {
			continue
		}
		n, why := len(c.Grants), p.v.Drift
		for _, u := range p.candidates(r) {
			if len(c.Grants) >= MaxGrantsPerStep {
				break
			}
			g := p.gift(u)
			g.Release, g.Unit, g.Zone = r.Name, u.Name, ""
			if u.bans() >= 0 {
				if p.there(u) == nil && u.bans() == 0 {
					why = u.name() + " is not there"
					continue
				}
				if no := p.take(u, u.Zone, g.Capacity); no != "" {
					why = no
					continue
				}
			}
			if u.Kind == KindMember {
				moving += p.members[u.name()].flows()
				g.MigrateOverMS = p.pace(moving)
			}
			c.Grants = append(c.Grants, g)
			if r.Spec.FirstAlone && !p.proved(r) {
				break
			}
		}
		out := slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() && !u.Stranded })
		if len(c.Grants) == n && !out && why != "" {
			stalled[r.Name] = why
		}
	}
	if starved {
		p.permits(&c)
	}
	if len(c.Grants) == 0 {
		return nil, stalled
	}
	return &c, stalled
}

// permits adds to a step the permits that may be granted, as they were asked for.
func (p *planner) permits(c *Command) {
	for i := range p.d.Permits {
		x := &p.d.Permits[i]
		u := Unit{Name: x.Name, Kind: x.Kind}
		if x.State != PermitWaiting || p.now-x.RequestedAt > staleAfter || p.there(&u) == nil || len(c.Grants) >= MaxGrantsPerStep {
			continue
		}
		g := p.gift(&u)
		if p.take(&u, g.Zone, g.Capacity) == "" {
			g.Permit = x.Number
			c.Grants = append(c.Grants, g)
		}
	}
}

func (p *planner) take(u *Unit, zone string, bears float64) string {
	return p.rooms[side(u.Kind)].take(u.name(), zone, bears)
}

// gift is what goes with a thing, as it is seen now.
func (p *planner) gift(u *Unit) Grant {
	g := Grant{Capacity: p.bears(u)}
	if u.Kind == KindRelay {
		if x := p.relays[u.Name]; x != nil {
			g.Zone, g.SeenStart = x.Zone, int64(x.StartNumber)
		}
	} else if m := p.members[u.name()]; m != nil {
		g.Zone, g.SeenStart = m.Zone, m.Started
	}
	return g
}

// bears is what is lost to the rest when a thing goes out: nothing, if it is lost already.
func (p *planner) bears(u *Unit) float64 {
	if u.Kind == KindRelay {
		shut := p.d.shutting(u.Name)
		if x := p.relays[u.Name]; x != nil && x.sound(p.b) && (shut == nil || shut.InService) {
			return x.Capacity
		}
		return 0
	}
	m := p.members[u.name()]
	if m == nil || m.Failing {
		return 0
	}
	if _, banned := p.d.banned(m.Name); banned {
		return 0
	}
	return m.UsableCapacity
}

// candidates are the units of a release that may go out, in order: those that are sound first. The way back is in reverse.
func (p *planner) candidates(r *release) []*Unit {
	var list, lost []*Unit
	zone, found := "", false // of a zonal release: the first zone that is not through
	if r.Spec.FirstAlone && r.State == ReleaseRunning && !p.proved(r) && slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() }) {
		return nil
	}
	for i := range r.Units {
		u := &r.Units[i]
		if !found && r.Spec.ZoneByZone && r.State == ReleaseRunning && (u.Phase == PhasePending || u.isOut()) {
			zone, found = u.Zone, true
		}
		if !r.may(u) || u.Stranded || found && u.Zone != zone {
			continue
		}
		if p.rooms[side(u.Kind)].out[u.name()] && u.bans() >= 0 {
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

// proved says that the first unit of a release is back.
func (p *planner) proved(r *release) bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.Phase == PhaseDone })
}

// moving are the flows of members that are told to leave.
func (p *planner) moving() int {
	n := 0
	for i := range p.d.Releases {
		for j := range p.d.Releases[i].Units {
			u := &p.d.Releases[i].Units[j]
			if m := p.members[u.name()]; u.Kind == KindMember && u.Phase == PhaseLeaving && m != nil {
				n += m.flows()
			}
		}
	}
	return n
}

// pace is over how many ms so many flows are moved: by the new flows a second that the rest takes, where it is known; else by what a
// cold member takes until it bears all.
func (p *planner) pace(flows int) int64 {
	rate, known := 0.0, true
	covered := p.d.covered(KindMember)
	for i := range p.v.Members {
		if m := &p.v.Members[i]; !covered[m.Name] && !p.rooms[KindMember].planned[m.Name] && p.bears(&Unit{Name: m.Name, Kind: KindMember}) > 0 {
			rate, known = rate+m.NewFlowsPerSecond, known && m.NewFlowsPerSecond > 0
		}
	}
	if !known || rate <= 0 {
		rate = p.rooms[KindMember].side.RemainingCapacity / (float64(max(p.b.WarmupMS, 1)) / 1000)
	}
	if flows == 0 || rate <= 0 {
		return 0
	}
	return min(int64(float64(flows)/rate*1000)+1, p.b.DrainMS)
}
