package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

const (
	maxPermitMS        = 7 * 24 * 3600 * 1000 // ms that a permit may be asked for
	permitRetryMS      = 1000                 // ms: ask again; the pilot looks several times a second
	permitForgetMS     = 30 * permitRetryMS   // ms after which one who waits and does not ask again is forgotten
	maxBaselineWindows = 4096                 // windows before a release
	maxWindowCount     = 1e15
)

// Apply changes the state by one command, and answers with an Answer as JSON. It is deterministic; an error changes nothing. The record's
// time never runs back.
func (s *State) Apply(at int64, by string, body []byte) []byte {
	var c Command
	a := Result{}
	if err := json.Unmarshal(body, &c); err != nil {
		a = reject("no command: %v", err)
	} else {
		a = s.record.apply(max(at, s.record.Time), truncate(by, MaxNameBytes), &c)
	}
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // an Answer is of strings and numbers
	}
	return b
}

func reject(format string, args ...any) Result { return Result{Error: fmt.Sprintf(format, args...)} }

func truncate[S ~string](text S, most int) S {
	if len(text) > most {
		return text[:most]
	}
	return text
}

// apply checks all before it changes anything.
func (d *record) apply(at int64, by string, c *Command) Result {
	c.Reason, c.Requester = truncate(c.Reason, MaxReasonBytes), cmp.Or(truncate(c.Requester, MaxNameBytes), by)
	if len(c.Name) > MaxNameBytes {
		return reject("a name of over %d bytes", MaxNameBytes)
	}
	var a Result
	switch c.Kind {
	case CommandOpen:
		a = d.openRelease(at, c)
	case CommandRequestPermit:
		a = d.requestPermit(at, c)
	case CommandBeginPermit, CommandReturnPermit:
		a = d.beginOrReturnPermit(at, c)
	case CommandHalt, CommandResume, CommandRollBack:
		a = d.steerRelease(at, by, c)
	case CommandEject, CommandReinstate:
		a = d.changeEjections(at, c)
	case CommandSetUnits:
		a = d.setUnits(at, c)
	case CommandStep:
		a = d.applyStep(at, c)
	case CommandObserve:
		a = d.observe(at, c)
	case CommandExpirePermits:
		a = d.expirePermits(at, c)
	case CommandQuarantine:
		a = d.quarantine(at, c)
	case CommandReadmit:
		a = d.readmit(c)
	default:
		a = reject("no such command: %q", truncate(c.Kind, MaxNameBytes))
	}
	if a.Error == "" {
		d.Time = at
		d.settleReleases(at)
	}
	return a
}

// openRelease takes a release up. It is laid out by the pilot, who knows what there is.
func (d *record) openRelease(at int64, c *Command) Result {
	w := c.Release
	if w == nil || c.Name == "" {
		return reject("a release has a name, and says what it releases")
	}
	if why := w.invalidReason(); why != "" {
		return reject("%s", why)
	}
	if d.findRelease(c.Name) != nil {
		return reject("there is a release %q", c.Name)
	}
	behind := ""
	for i := range d.Releases {
		if r := &d.Releases[i]; !r.ended() && r.Spec.overlaps(w) {
			behind = r.Name
			break
		}
	}
	if behind != "" && !w.Queue {
		return reject("release %q touches the same things", behind)
	}
	drop := -1
	if len(d.Releases) >= MaxReleases {
		drop = slices.IndexFunc(d.Releases, func(r release) bool {
			return r.ended() && !slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() })
		})
		if drop < 0 {
			return reject("%d releases are open or still hold something out", MaxReleases)
		}
		d.Releases = slices.Delete(d.Releases, drop, drop+1)
	}
	d.Releases = append(d.Releases, release{ReleaseStatus: ReleaseStatus{Name: c.Name, State: ReleaseQueued, Spec: *w, OpenedBy: c.Requester, OpenedAt: at, QueuedBehind: behind}, ProgressAt: at})
	d.Version++
	return Result{Name: c.Name, State: string(ReleaseQueued), Reason: behind}
}

// invalidReason says what cannot be released.
func (w *ReleaseSpec) invalidReason() string {
	named := len(w.Names)
	if w.Kind == KindEject {
		if named+len(w.Zones) > 0 || w.All || w.Drain {
			return "a change of bans names them in ban and allow alone"
		}
		named = len(w.Eject) + len(w.Reinstate)
	} else if len(w.Eject)+len(w.Reinstate) > 0 {
		return "ban and allow are of a change of bans"
	}
	switch {
	case w.Kind != KindRelay && w.Kind != KindMember && w.Kind != KindEject:
		return "a release is of relays, members or bans"
	case named == 0 && len(w.Zones) == 0 && !w.All:
		return "it names nothing"
	case named+len(w.Zones) > MaxUnits:
		return fmt.Sprintf("over %d things", MaxUnits)
	case len(w.Program) > MaxNameBytes || len(w.Config) > MaxNameBytes:
		return fmt.Sprintf("a version of over %d bytes", MaxNameBytes)
	}
	all := slices.Concat(w.Names, w.Eject, w.Reinstate)
	slices.Sort(all)
	for i, n := range all {
		if n == "" || len(n) > MaxNameBytes || i > 0 && all[i-1] == n {
			return fmt.Sprintf("%q is no name, or stands twice", truncate(n, MaxNameBytes))
		}
	}
	for _, z := range w.Zones {
		if len(z) > MaxNameBytes {
			return fmt.Sprintf("a zone of over %d bytes", MaxNameBytes)
		}
	}
	return ""
}

// requestPermit notes who wants a permit; the pilot grants. The same by the same asker for the same thing is the same permit.
func (d *record) requestPermit(at int64, c *Command) Result {
	if c.TargetKind != KindRelay && c.TargetKind != KindMember || c.Name == "" || c.DurationMS <= 0 || c.DurationMS > maxPermitMS {
		return reject("a permit is for a relay or a member, by name, for up to %d ms", maxPermitMS)
	}
	for i := range d.Permits {
		p := &d.Permits[i]
		if p.Kind != c.TargetKind || p.Name != c.Name {
			continue
		}
		if p.Holder != c.Requester {
			return Result{State: string(PermitWaiting), RetryAfterMS: permitRetryMS, Reason: fmt.Sprintf("%s holds permit %d for it", p.Holder, p.Number)}
		}
		a := Result{State: string(p.State), Number: p.Number}
		switch {
		case p.State == PermitWaiting:
			p.RequestedAt, a.RetryAfterMS, a.Reason = at, permitRetryMS, d.permitWaitReason(p)
		case p.State == PermitGranted && at < p.StateSince+p.WindowMS:
			a.RemainingMS = p.StateSince + p.WindowMS - at
		case p.State == PermitGranted: // about to be void
			a.State, a.RetryAfterMS, a.Reason = string(PermitWaiting), permitRetryMS, "it was not begun in time"
		}
		return a
	}
	if len(d.Permits) >= MaxPermits {
		return reject("%d permits are asked for or in force", MaxPermits)
	}
	d.LastNumber++
	d.Permits = append(d.Permits, Permit{Number: d.LastNumber, Kind: c.TargetKind, Name: c.Name, Holder: c.Requester, Reason: c.Reason, DurationMS: c.DurationMS, State: PermitWaiting, RequestedAt: at})
	return Result{State: string(PermitWaiting), Number: d.LastNumber, RetryAfterMS: permitRetryMS, Reason: d.permitWaitReason(&d.Permits[len(d.Permits)-1])}
}

// permitWaitReason says why a permit waits, as far as the record knows: who is out by plan, and who waits before it.
func (d *record) permitWaitReason(p *Permit) string {
	var names []string
	for _, x := range d.plannedOut(p.Kind) {
		if len(names) < 8 {
			names = append(names, x.Name)
		}
	}
	before := 0
	for i := range d.Permits {
		if x := &d.Permits[i]; x.State == PermitWaiting && x.Kind == p.Kind && x.Number < p.Number {
			before++
		}
	}
	return fmt.Sprintf("out by plan: %d %v; waiting before it: %d", len(d.plannedOut(p.Kind)), names, before)
}

// beginOrReturnPermit and give: by number, so that an old one does nothing.
func (d *record) beginOrReturnPermit(at int64, c *Command) Result {
	p := d.findPermit(c.PermitNumber)
	if p == nil {
		return reject("there is no permit %d, or no more", c.PermitNumber)
	}
	switch {
	case c.Kind == CommandReturnPermit && p.State == PermitBegun && p.ReturnedAt > 0:
		return Result{Number: p.Number, State: string(p.State)}
	case c.Kind == CommandReturnPermit && p.State == PermitBegun:
		p.ReturnedAt = at
	case c.Kind == CommandReturnPermit:
		d.Permits = slices.DeleteFunc(d.Permits, func(p Permit) bool { return p.Number == c.PermitNumber })
		d.Version++
		return Result{Number: c.PermitNumber, State: "given"}
	case p.State == PermitWaiting:
		return reject("permit %d is not granted", c.PermitNumber)
	case p.State == PermitGranted && at > p.ExpiresAt:
		return reject("permit %d was not begun in time", c.PermitNumber)
	case p.State == PermitGranted:
		p.State, p.StateSince, p.ExpiresAt = PermitBegun, at, at+onSlowestClock(p.WindowMS, p.ClockDrift)
	}
	d.Version++
	return Result{Number: p.Number, State: string(p.State)}
}

// onSlowestClock is a time as the slowest clock would count it.
func onSlowestClock(ms int64, part float64) int64 { return ms + int64(math.Ceil(float64(ms)*part)) }

// steerRelease halts a release, resumes it or sends it back.
func (d *record) steerRelease(at int64, by string, c *Command) Result {
	r := d.findRelease(c.Name)
	itself := c.Cause != "" && c.Cause != HaltByOperator
	switch {
	case r == nil:
		return reject("there is no release %q", c.Name)
	case itself && c.BaseVersion != d.Version:
		return reject("it was reckoned from version %d, this is %d", c.BaseVersion, d.Version)
	case c.Kind != CommandRollBack && r.ended():
		return reject("release %q has ended", c.Name)
	case c.Kind == CommandRollBack && r.ended() && !r.Spec.Drain && r.Spec.Kind != KindEject && d.conflictingRelease(r) != "":
		return reject("release %q touches the same things, and is not through", d.conflictingRelease(r))
	}
	switch c.Kind {
	case CommandHalt:
		if r.Halt != nil && (r.Halt.NeedsOperator || itself && c.Cause != HaltVerdict) {
			return reject("release %q is halted: %s %s", c.Name, r.Halt.Cause, r.Halt.Reason)
		}
		again := slices.Contains(r.HaltCauses, c.Cause)
		if itself && !again && len(r.HaltCauses) < 8 {
			r.HaltCauses = append(r.HaltCauses, truncate(c.Cause, MaxNameBytes))
		}
		r.Halt = &HaltInfo{Cause: truncate(cmp.Or(c.Cause, HaltByOperator), MaxNameBytes), Reason: c.Reason, HaltedBy: c.Requester, HaltedAt: at}
		r.Halt.NeedsOperator = !itself || c.Cause == HaltVerdict || again && (c.Cause == HaltServiceDegraded || c.Cause == HaltOverdue)
		r.State = ReleaseHalted
		d.Version++
		r.revokeOrders(d.Version)
	case CommandResume:
		if r.Halt == nil {
			return reject("release %q is not halted", c.Name)
		}
		if itself && (r.Halt.NeedsOperator || r.Halt.Cause != c.Cause) {
			return reject("release %q is resumed by an operator alone", c.Name)
		}
		r.Halt, r.ResumedAt, r.ProgressAt = nil, at, at
		r.State = r.activeState()
		d.Version++
	case CommandRollBack:
		r.Halt, r.ResumedAt, r.ProgressAt, r.RollingBack, r.EndedAt = nil, at, at, true, 0
		r.State = r.activeState()
		d.Version++
		r.revokeOrders(d.Version)
		for i := range r.Units {
			r.Units[i].cancelDrain(r, d.Version)
		}
	}
	d.settleReleases(at)
	return Result{Name: r.Name, State: string(r.State)}
}

// conflictingRelease is a release that goes on at the same things as one that has ended.
func (d *record) conflictingRelease(r *release) string {
	for i := range d.Releases {
		if o := &d.Releases[i]; o.Name != r.Name && !o.ended() && o.QueuedBehind == "" && o.Spec.overlaps(&r.Spec) {
			return o.Name
		}
	}
	return ""
}

// activeState is the state of a release that is not halted.
func (r *release) activeState() ReleaseState {
	switch {
	case r.RollingBack:
		return ReleaseRollingBack
	case !r.UnitsSet:
		return ReleaseQueued
	}
	return ReleaseRunning
}

// cancelDrain ends the drain of a member that was to stay out.
func (u *Unit) cancelDrain(r *release, version uint64) bool {
	if !r.Spec.Drain || u.Kind != KindMember || u.Phase == PhasePending || u.Phase == PhaseRevoked || u.Phase == PhaseMissing {
		return false
	}
	if u.Phase == PhaseDone { // it is not even there
		u.Phase, u.Updated = PhasePending, false
		return true
	}
	u.Phase, u.OrderVersion = PhaseRevoked, version
	return true
}

// revokeOrders takes back what can be: a relay that has not begun to end, a member that is not empty. They count as out until they are seen.
func (r *release) revokeOrders(version uint64) {
	for i := range r.Units {
		if u := &r.Units[i]; u.Phase == PhaseLeaving && (u.Kind == KindRelay || u.Kind == KindMember) {
			if plantedDefect == "half forgotten" && r.RollingBack {
				u.Phase, u.Reverting = PhasePending, false
				continue
			}
			u.Phase, u.OrderVersion = PhaseRevoked, version
		}
	}
}

// changeEjections and allow by operators need no budget: they are not held back, and what is banned counts as lost.
func (d *record) changeEjections(at int64, c *Command) Result {
	if len(c.Names) == 0 || len(c.Names) > MaxEjections {
		return reject("no names, or over %d", MaxEjections)
	}
	for _, n := range c.Names {
		if n == "" || len(n) > MaxNameBytes {
			return reject("%q is no name", truncate(n, MaxNameBytes))
		}
	}
	if c.Kind == CommandEject && len(d.Ejections)+len(c.Names) > MaxEjections {
		return reject("over %d bans", MaxEjections)
	}
	changed := false
	for _, n := range c.Names {
		changed = d.setEjected(at, n, c.Reason, c.Requester, c.Kind == CommandEject) || changed
		for i := range d.Releases {
			r := &d.Releases[i]
			for j := range r.Units {
				u := &r.Units[j]
				switch {
				case c.Kind != CommandReinstate || u.currentName() != n:
				case u.cancelDrain(r, d.Version+1):
					r.RollingBack, r.ResumedAt, r.ProgressAt, r.EndedAt, r.Halt, changed = true, at, at, 0, nil, true
					r.State = r.activeState()
				case u.Stranded && u.Kind == KindMember && r.ended() && u.isOut(): // an operator takes it as it is: nothing else ever might
					u.Phase, changed = PhaseMissing, true
				}
			}
		}
	}
	if changed {
		d.Version++
	}
	return Result{}
}

func (d *record) setEjected(at int64, name, why, by string, on bool) bool {
	i, is := d.findEjection(name)
	switch {
	case is == on:
		return false
	case !on:
		d.Ejections = slices.Delete(d.Ejections, i, i+1)
	default:
		d.LastNumber++
		d.Ejections = slices.Insert(d.Ejections, i, Ejection{Name: name, Reason: why, EjectedBy: by, Since: at, Number: d.LastNumber})
	}
	return true
}

// setUnits fixes a release's things, their order, and how they were before.
func (d *record) setUnits(at int64, c *Command) Result {
	r := d.findRelease(c.Name)
	if r == nil || r.UnitsSet || r.State != ReleaseQueued || r.QueuedBehind != "" {
		return reject("release %q is not to be laid out", c.Name)
	}
	total := len(c.Units)
	for i := range d.Releases {
		total += len(d.Releases[i].Units)
	}
	if total > MaxUnits || len(c.Baseline) > maxBaselineWindows {
		return reject("over %d things in all, or %d windows", MaxUnits, maxBaselineWindows)
	}
	names := map[string]bool{}
	for _, u := range c.Units {
		fits := u.Kind == r.Spec.Kind || r.Spec.Kind == KindEject && u.Kind == KindReinstate
		if u.Name == "" || max(len(u.Name), len(u.Zone), len(u.PreviousProgram), len(u.PreviousConfig)) > MaxNameBytes || names[u.Name] || !fits {
			return reject("unit %q is no thing of this release, or stands twice", truncate(u.Name, MaxNameBytes))
		}
		names[u.Name] = true
	}
	for _, w := range c.Baseline {
		if !(w.Requested >= 0 && w.Served >= 0 && w.Served <= w.Requested && w.Requested <= maxWindowCount) {
			return reject("a window that served more than was asked")
		}
	}
	for _, u := range c.Units {
		_, banned := d.findEjection(u.Name)
		phase := PhasePending
		if u.Phase == PhaseMissing {
			phase = PhaseMissing
		}
		r.Units = append(r.Units, Unit{Name: u.Name, Zone: u.Zone, Kind: u.Kind, Capacity: u.Capacity, PreviousProgram: u.PreviousProgram, PreviousConfig: u.PreviousConfig,
			PreviouslyEjected: banned, Phase: phase})
	}
	r.BaselineRequested, r.BaselineServed, r.BaselineDispersion = baseline(c.Baseline)
	r.UnitsSet, r.UnitsSetAt, r.ProgressAt, r.State = true, at, at, ReleaseRunning
	d.Version++
	return Result{Name: r.Name, State: string(r.State)}
}

// staleBasis says why what a command was reckoned from does not hold any more.
func (d *record) staleBasis(at int64, c *Command) string {
	v, b := c.Basis, c.Basis.Budgets
	switch {
	case c.BaseVersion != d.Version && plantedDefect != "no fencing":
		return fmt.Sprintf("it was reckoned from version %d, this is %d", c.BaseVersion, d.Version)
	case at-v.At > b.ViewMaxAgeMS:
		return fmt.Sprintf("what it was reckoned from is %d ms old", at-v.At)
	case b.PermitWindowMS <= 0 || b.PermitWindowMS > maxPermitMS || !(b.ClockDrift >= 0 && b.ClockDrift < 1):
		return "a sight without window or clock"
	}
	return ""
}

// stepCommand gives things out: all of it, or nothing.
func (d *record) applyStep(at int64, c *Command) Result {
	if c.Basis == nil || len(c.Grants) == 0 || len(c.Grants) > MaxGrantsPerStep {
		return reject("a step names one to %d things, and what it was reckoned from", MaxGrantsPerStep)
	}
	if why := d.staleBasis(at, c); why != "" {
		return reject("%s", why)
	}
	v, b := c.Basis, c.Basis.Budgets
	rooms := map[Kind]*allowance{KindRelay: d.allowance(KindRelay, v.Relays, b), KindMember: d.allowance(KindMember, v.Members, b)}
	for _, g := range c.Grants {
		if len(g.Zone) > MaxNameBytes {
			return reject("a zone of over %d bytes", MaxNameBytes)
		}
		kind, name, zone := Kind(""), "", g.Zone
		if g.Permit != 0 {
			p := d.findPermit(g.Permit)
			if p == nil || p.State != PermitWaiting {
				return reject("permit %d does not wait", g.Permit)
			}
			kind, name = p.Kind, p.Name
		} else {
			r := d.findRelease(g.Release)
			if r == nil || r.findUnit(g.Unit) == nil {
				return reject("no unit %q of release %q", truncate(g.Unit, MaxNameBytes), truncate(g.Release, MaxNameBytes))
			}
			u := r.findUnit(g.Unit)
			if !r.grantable(u) {
				return reject("unit %q of release %q may not go out now", u.Name, r.Name)
			}
			if u.ejectionChange() != 0 {
				kind = KindEject
			}
			kind, name, zone = cmp.Or(kind, u.Kind), u.currentName(), u.Zone
			if u.ejectionChange() < 0 {
				continue // gives back
			}
		}
		if why := rooms[budgetKind(kind)].reserve(name, zone, g.Capacity); why != "" {
			return reject("%s", why)
		}
		if kind == KindEject && len(d.Ejections)+len(c.Grants) > MaxEjections {
			return reject("over %d bans", MaxEjections)
		}
	}
	d.Version++
	for _, g := range c.Grants {
		if p := d.findPermit(g.Permit); p != nil {
			p.State, p.StateSince, p.WindowMS, p.ExpiresAt, p.ClockDrift, p.Zone = PermitGranted, at, b.PermitWindowMS,
				at+onSlowestClock(b.PermitWindowMS, b.ClockDrift), b.ClockDrift, g.Zone
			continue
		}
		r := d.findRelease(g.Release)
		u := r.findUnit(g.Unit)
		d.LastNumber++
		u.Reverting = u.Updated
		u.Phase, u.OrderNumber, u.OrderVersion, u.OrderedAt, u.SeenStart, u.MigrateOverMS = PhaseLeaving, d.LastNumber, d.Version, at, g.SeenStart, g.MigrateOverMS
		if ban := u.ejectionChange(); ban != 0 {
			d.setEjected(at, u.Name, "release "+r.Name, r.OpenedBy, ban > 0)
		}
		r.ProgressAt = at
	}
	return Result{}
}

// grantable says whether a unit may be given out: the new thing, or back what it had.
func (r *release) grantable(u *Unit) bool {
	switch r.State {
	case ReleaseRunning:
		return u.Phase == PhasePending && !u.Updated
	case ReleaseRollingBack:
		return u.Phase == PhaseDone && r.revertible(u)
	}
	return false
}

// ejectionChange says what giving the unit out does to the bans: 1 sets, -1 lifts. Its undoing is the reverse.
func (u *Unit) ejectionChange() int {
	switch {
	case u.Kind == KindEject && !u.Updated, u.Kind == KindReinstate && u.Updated:
		return 1
	case u.Kind == KindReinstate, u.Kind == KindEject:
		return -1
	}
	return 0
}

// observations takes over what others saw. What does not fit the state any more is left aside.
func (d *record) observe(at int64, c *Command) Result {
	if len(c.Observations) > MaxUnits+MaxPermits {
		return reject("over %d sights", MaxUnits+MaxPermits)
	}
	changed := false
	for _, s := range c.Observations {
		if max(len(s.Successor), len(s.Zone)) > MaxNameBytes {
			continue
		}
		if s.Quarantine != 0 {
			changed = d.confirmReadmitted(s) || changed
			continue
		}
		if p := d.findPermit(s.Permit); s.Permit != 0 {
			if p != nil && p.State == PermitBegun {
				d.Permits = slices.DeleteFunc(d.Permits, func(p Permit) bool { return p.Number == s.Permit })
				changed = true
			}
			continue
		}
		r := d.findRelease(s.Release)
		if r == nil {
			continue
		}
		u := r.findUnit(s.Unit)
		if u == nil || u.OrderVersion != s.OrderVersion || !d.advanceUnit(at, r, u, s) {
			continue
		}
		r.ProgressAt, changed = at, true
	}
	if !changed {
		return reject("nothing of this is so any more")
	}
	d.Version++
	return Result{}
}

// advanceUnit is one transition of a unit. Order is the version that this command makes.
func (d *record) advanceUnit(at int64, r *release, u *Unit, s Observation) bool {
	next := d.Version + 1
	switch {
	case s.Stranded:
		if !r.RollingBack || u.Stranded || !u.isOut() && !(u.Phase == PhaseDone && r.revertible(u)) {
			return false
		}
		u.Stranded = true
		if u.Phase == PhaseLeaving {
			u.Phase, u.OrderVersion = PhaseRevoked, next
		}
	case s.Phase == PhaseMissing && (u.Phase == PhasePending || u.Stranded && u.isOut() && r.ended()):
		u.Phase = PhaseMissing
	case s.Phase == PhaseDrained && u.Kind == KindMember && (u.Phase == PhaseLeaving || u.Phase == PhaseDone && r.Spec.Drain):
		u.Phase, u.SeenStart = PhaseDrained, s.SeenStart
	case s.Phase == PhaseReplaced && u.Kind == KindMember && (u.Phase == PhaseDrained || u.Phase == PhaseRevoked || u.Phase == PhaseReplaced && u.currentName() != cmp.Or(s.Successor, u.Name)) && !r.Spec.Drain:
		u.Phase, u.OrderVersion, u.Successor, u.Zone = PhaseReplaced, next, s.Successor, s.Zone
		if u.Successor == u.Name {
			u.Successor = ""
		}
	case s.Phase == PhaseDone && u.isOut():
		if u.Phase != PhaseRevoked && !u.Stranded && !r.Spec.Drain {
			d.recordDuration(u.Kind, at-u.OrderedAt)
		}
		u.Phase, u.Updated = PhaseDone, !r.Spec.Drain
		if u.Reverting {
			u.Phase, u.Updated = PhasePending, false
		}
		u.Reverting, u.Stranded, u.OrderVersion = false, false, next
	case s.Phase == PhasePending && (u.Phase == PhaseRevoked || u.Phase == PhaseReplaced && !u.Reverting):
		u.Phase = PhasePending
		if u.Updated {
			u.Phase = PhaseDone
		}
		u.Reverting, u.Stranded, u.OrderVersion = false, false, next
	case s.Phase == PhasePending && u.Phase == PhaseDone && u.Stranded: // it is there again, to be undone after all
		u.Stranded = false
	default:
		return false
	}
	return true
}

func (d *record) recordDuration(kind Kind, took int64) {
	list := &d.MemberDurationsMS
	switch kind {
	case KindRelay:
		list = &d.RelayDurationsMS
	case KindEject, KindReinstate:
		return
	}
	*list = append(*list, max(took, 0))
	if len(*list) > maxDurations {
		*list = slices.Delete(*list, 0, len(*list)-maxDurations)
	}
}

// expiredPermits forgets permits whose time is over, and askers who are gone.
func (d *record) expirePermits(at int64, c *Command) Result {
	n := len(d.Permits)
	d.Permits = slices.DeleteFunc(d.Permits, func(p Permit) bool { return slices.Contains(c.PermitNumbers, p.Number) && p.expired(at) })
	if len(d.Permits) == n {
		return reject("none of these is void")
	}
	d.Version++
	return Result{}
}

func (p *Permit) expired(at int64) bool {
	return p.State == PermitGranted && at > p.ExpiresAt || p.State == PermitWaiting && at-p.RequestedAt > permitForgetMS
}

// reserveQuarantine takes a relay that drifted out of the service, within the budget: drift at half of the fleet must not empty it.
func (d *record) quarantine(at int64, c *Command) Result {
	if c.Basis == nil || c.Name == "" || len(c.Zone) > MaxNameBytes {
		return reject("who is shut has a name and a zone, and what it was reckoned from")
	}
	if why := d.staleBasis(at, c); why != "" {
		return reject("%s", why)
	}
	s := d.findQuarantine(c.Name)
	switch {
	case s != nil && s.ReadmittedVersion == 0:
		return reject("%s is shut", s.Name)
	case s != nil && s.OperatorOverride:
		return reject("an operator admitted %s as it is", s.Name)
	case s == nil && len(d.Quarantines) >= MaxQuarantines:
		return reject("%d relays are shut", MaxQuarantines)
	}
	if why := d.allowance(KindRelay, c.Basis.Relays, c.Basis.Budgets).reserveQuarantine(c.Name, c.Zone, c.Capacity); why != "" {
		return reject("%s", why)
	}
	d.Version++
	d.LastNumber++
	d.Quarantines = slices.DeleteFunc(d.Quarantines, func(x Quarantine) bool { return x.Name == c.Name })
	d.Quarantines = append(d.Quarantines, Quarantine{Name: c.Name, Zone: c.Zone, Reason: c.Reason, Since: at, StartNumber: c.StartNumber, Number: d.LastNumber})
	return Result{Name: c.Name, State: string(CommandQuarantine), Number: d.LastNumber}
}

// readmit lets a relay serve again. It counts as out until it is seen to.
func (d *record) readmit(c *Command) Result {
	s, itself := d.findQuarantine(c.Name), c.Cause != ""
	switch {
	case s == nil || s.ReadmittedVersion != 0 && (itself || s.OperatorOverride):
		return reject("%q is not shut", c.Name)
	case itself && c.BaseVersion != d.Version:
		return reject("it was reckoned from version %d, this is %d", c.BaseVersion, d.Version)
	}
	d.Version++
	s.ReadmittedVersion, s.OperatorOverride = cmp.Or(s.ReadmittedVersion, d.Version), !itself
	return Result{Name: s.Name, State: string(CommandReadmit)}
}

// confirmReadmitted takes over that one that was admitted serves, or is nothing to be spoken of any more.
func (d *record) confirmReadmitted(saw Observation) bool {
	i := slices.IndexFunc(d.Quarantines, func(x Quarantine) bool { return x.Number == saw.Quarantine && x.ReadmittedVersion != 0 })
	switch {
	case i < 0:
		return false
	case saw.Phase == PhaseMissing || saw.Phase == PhaseDone && !d.Quarantines[i].OperatorOverride:
		d.Quarantines = slices.Delete(d.Quarantines, i, i+1)
	case saw.Phase == PhaseDone && !d.Quarantines[i].InService:
		d.Quarantines[i].InService = true
	default:
		return false
	}
	return true
}

// settleReleases ends what is through, then lets go on what waited for it: first an ended one that has something left to undo, else the next.
func (d *record) settleReleases(at int64) {
	for i := range d.Releases {
		if r := &d.Releases[i]; r.finished() {
			r.State, r.EndedAt = map[ReleaseState]ReleaseState{ReleaseRunning: ReleaseCompleted, ReleaseRollingBack: ReleaseRolledBack}[r.State], at
		}
	}
	for i := range d.Releases {
		r := &d.Releases[i]
		if r.State == ReleaseRolledBack && d.conflictingRelease(r) == "" && slices.ContainsFunc(r.Units, func(u Unit) bool { return u.Phase == PhaseDone && !u.Stranded && r.revertible(&u) }) {
			r.State, r.EndedAt, r.ResumedAt, r.ProgressAt = ReleaseRollingBack, 0, at, at // one that was stranded came back with the new thing
		}
		if r.QueuedBehind == "" {
			continue
		}
		was := r.QueuedBehind
		r.QueuedBehind = ""
		for j := range i {
			if o := &d.Releases[j]; !o.ended() && o.Spec.overlaps(&r.Spec) {
				r.QueuedBehind = o.Name
				break
			}
		}
		if r.QueuedBehind != was {
			r.ProgressAt = at
		}
	}
}

// finished says that a release has nothing left to do.
func (r *release) finished() bool {
	for i := range r.Units {
		u := &r.Units[i]
		if r.State == ReleaseRunning && u.Phase != PhaseDone && u.Phase != PhaseMissing && !(r.Spec.Drain && u.Phase == PhaseDrained) ||
			r.State == ReleaseRollingBack && !u.Stranded && (u.isOut() || u.Phase == PhaseDone && r.revertible(u)) {
			return false
		}
	}
	return r.State == ReleaseRunning || r.State == ReleaseRollingBack
}
