package rollout

import "fmt"

// applyStep applies all grants of a step, or none of them.
func (rec *record) applyStep(at int64, c *Command) Result {
	if c.ViewSummary == nil || len(c.Grants) == 0 || len(c.Grants) > MaxGrantsPerStep {
		// ViewSummary or Grants is missing, or there are too many grants.
		return reject("a step names one to %d things, and what it was reckoned from", MaxGrantsPerStep)
	}
	if reason := rec.stalePlanReason(at, c); reason != "" {
		return reject("%s", reason)
	}
	summary := c.ViewSummary
	allowances := map[Kind]*allowance{
		KindRelay:  rec.allowance(KindRelay, summary.Relays, summary.Budgets),
		KindMember: rec.allowance(KindMember, summary.Members, summary.Budgets),
	}
	for i := range c.Grants {
		if reason := rec.reserveGrant(&c.Grants[i], allowances, len(c.Grants)); reason != "" {
			return reject("%s", reason)
		}
	}
	rec.Version++
	for i := range c.Grants {
		rec.applyGrant(at, &c.Grants[i], &summary.Budgets)
	}
	return Result{}
}

// reserveGrant counts a grant against the allowances, or returns why it does not fit. It does not
// change the record.
func (rec *record) reserveGrant(g *Grant, allowances map[Kind]*allowance, grants int) string {
	if len(g.Zone) > MaxNameBytes {
		return fmt.Sprintf("a zone of over %d bytes", MaxNameBytes)
	}
	if g.Permit != 0 {
		p := rec.findPermit(g.Permit)
		if p == nil || p.State != PermitWaiting {
			return fmt.Sprintf("permit %d does not wait", g.Permit)
		}
		return allowances[budgetKind(p.Kind)].reserve(p.Name, g.Zone, g.Capacity)
	}
	r := rec.findRelease(g.Release)
	if r == nil || r.findUnit(g.Unit) == nil {
		return fmt.Sprintf("no unit %q of release %q", truncate(g.Unit, MaxNameBytes), truncate(g.Release, MaxNameBytes))
	}
	u := r.findUnit(g.Unit)
	if !r.grantable(u) {
		return fmt.Sprintf("unit %q of release %q may not go out now", u.Name, r.Name)
	}
	change := u.ejectionChange()
	if change < 0 {
		return "" // it puts a member back into service
	}
	if reason := allowances[budgetKind(u.Kind)].reserve(u.currentName(), u.Zone, g.Capacity); reason != "" {
		return reason
	}
	if change > 0 && len(rec.Ejections)+grants > MaxEjections {
		return fmt.Sprintf("over %d bans", MaxEjections)
	}
	return ""
}

func (rec *record) applyGrant(at int64, g *Grant, b *Budgets) {
	if p := rec.findPermit(g.Permit); p != nil {
		p.State, p.StateSince, p.Zone = PermitGranted, at, g.Zone
		p.WindowMS, p.ClockDrift = b.PermitWindowMS, b.ClockDrift
		p.ExpiresAt = at + onSlowestClock(b.PermitWindowMS, b.ClockDrift)
		return
	}
	r := rec.findRelease(g.Release)
	u := r.findUnit(g.Unit)
	u.Reverting = u.Updated
	u.Phase, u.OrderNumber, u.OrderVersion, u.OrderedAt = PhaseLeaving, rec.nextNumber(), rec.Version, at
	u.SeenStart, u.MigrateOverMS = g.SeenStart, g.MigrateOverMS
	if change := u.ejectionChange(); change != 0 {
		rec.setEjected(at, u.Name, "release "+r.Name, r.OpenedBy, change > 0)
	}
	r.ProgressAt = at
}
