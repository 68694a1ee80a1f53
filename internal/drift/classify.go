package drift

import (
	"fmt"
	"slices"
)

// reading is what a pair's words say, whatever time it took.
func (p *trackedItem) reading() State {
	switch {
	case p.applied.LocalOverride:
		return Overridden
	case p.applied.Item == p.agreed:
		return InSync
	case p.applied.RejectedVersion == p.agreed.Version && p.applied.RejectedVersion != 0:
		return Rejected
	case p.applied.Version > p.highestAgreed, p.applied.Version == p.agreed.Version && p.applied.Digest != p.agreed.Digest:
		return Ahead
	case p.applied.Version < p.lastInSync:
		return Regressed
	}
	return Lagging
}

// classify takes one more word on a pair.
func (w *Monitor) classify(said int64, r *relayState, g *groupState, p *trackedItem) {
	cond := p.reading()
	if cond != p.lastReading {
		p.lastReading, p.readingCount = cond, 0
	}
	p.readingCount++
	if cond == InSync {
		w.recordArrival(said, r, g, p)
	} else {
		p.inSyncSince = 0
		if p.outOfSyncSince == 0 {
			p.outOfSyncSince, p.progressedAt, p.measurable = said, said, false
		}
	}
	held := (r.liveness == Restarting || r.liveness == Upgrading) && (p.returnedAt > 0 || appliedAtRestart(g.name))
	if held && cond != InSync { // it is being seen to, and its time begins when that is over
		p.outOfSyncSince, p.progressedAt, p.measurable = said, said, false
	}
	next := Propagating
	switch cond {
	case InSync, Rejected, Overridden:
		next = cond
	case Regressed:
		if p.returnedAt == 0 || w.overdue(said, g, p) {
			next = cond
		}
	default:
		if p.readingCount >= confirmations && w.overdue(said, g, p) {
			next = cond
		}
	}
	if p.suspicion != nil && p.suspicion.contradicted && next <= Propagating {
		next = Contradicting
	}
	// A claim is taken back, or changed, on the second word that says so. It is made on the evidence above.
	if p.state >= Lagging && next != p.state {
		if p.leavingCount++; p.leavingCount < confirmations {
			return
		}
	}
	p.leavingCount = 0
	if next != p.state {
		w.setState(said, r, p, next, w.explain(said, g, p, next))
	}
}

// recordArrival notes that a relay says it runs what is agreed.
func (w *Monitor) recordArrival(said int64, r *relayState, g *groupState, p *trackedItem) {
	if p.outOfSyncSince > 0 {
		slow := p.arrival != nil && p.arrival.live >= 3 && 2*p.arrival.arrived <= p.arrival.live // so it was for most
		switch {
		case p.returnedAt > 0:
			if p.state < Lagging && said > p.outOfSyncSince { // who was in step by its first word tells nothing of how long it takes
				w.recoveryLag.add(said - p.outOfSyncSince)
			}
		case p.measurable && (p.state < Lagging || slow) && !slices.Contains(w.settings.UnmeasuredGroups, g.name):
			g.lag.add(said - p.outOfSyncSince)
			if g.lag != w.fleetLag {
				w.fleetLag.add(said - p.outOfSyncSince)
			}
		}
	}
	if p.inSyncSince == 0 {
		p.inSyncSince, p.inSyncReceivedAt = said, r.receivedAt
	}
	p.outOfSyncSince, p.returnedAt, p.measurable = 0, 0, false
	p.lastInSync = p.agreed.Version
}

// appliedAtRestart is whether a group's items are taken by a process that begins, so that their time is that of the restart.
func appliedAtRestart(group string) bool { return group == ItemProgram || group == ItemConfig }

// overdue is whether a pair had all the time that propagation takes in this fleet.
func (w *Monitor) overdue(said int64, g *groupState, p *trackedItem) bool {
	bound := g.lag.bound
	if p.returnedAt > 0 {
		bound = max(bound, w.recoveryLag.bound)
	}
	if w.defect == fixedBound {
		return said-p.outOfSyncSince > 5*w.settings.ReportInterval
	}
	switch t := p.arrival; {
	case t == nil || t.live == 1 || t.live == 2: // nobody to be compared with
	case 2*t.arrived < t.live || t.live == 0: // most of the fleet has not arrived (or it was agreed just now): it is slow, not the relay
		bound = int64(w.settings.SlowFleetFactor * float64(bound))
	case g.lag.n < lagSamples: // little is known but how long half of them took
		bound = max(bound, int64(w.settings.SlowFleetFactor*float64(t.halfTime)))
	}
	return said-max(p.outOfSyncSince, p.progressedAt) > bound || said-p.outOfSyncSince > max(w.settings.MaxBound, bound) // who moves has a slow disk, yet not for ever
}

func (w *Monitor) explain(now int64, g *groupState, p *trackedItem, to State) string {
	switch to {
	case Lagging:
		return fmt.Sprintf("runs %d for %.1f s, %d is agreed; the bound is %.1f s", p.applied.Version, float64(now-p.outOfSyncSince)/1000, p.agreed.Version,
			float64(g.lag.bound)/1000)
	case Rejected:
		return fmt.Sprintf("refused %d: %s", p.applied.RejectedVersion, p.applied.RejectReason)
	case Regressed:
		return fmt.Sprintf("runs %d, ran %d before", p.applied.Version, p.lastInSync)
	case Ahead:
		if !p.isAgreed {
			return fmt.Sprintf("runs %d, no such item is agreed", p.applied.Version)
		}
		return fmt.Sprintf("runs %d/%x, which nobody agreed on; %d/%x is", p.applied.Version, p.applied.Digest, p.agreed.Version, p.agreed.Digest)
	case Overridden:
		return "changed by a call at this relay: " + p.applied.Source
	case Contradicting:
		return p.suspicion.evidence[len(p.suspicion.evidence)-1]
	}
	return ""
}

// setState puts a pair into a state. What goes between in step and on its way is not told: that is every change of every item.
func (w *Monitor) setState(now int64, r *relayState, p *trackedItem, to State, why string) {
	if p.state == to {
		return
	}
	from := p.state
	p.state, p.stateSince, p.leavingCount = to, now, 0
	if to >= Lagging {
		if p.suspicion == nil {
			p.suspicion = &suspicion{}
		}
		p.suspicion.reason = sanitize(why, MaxReasonBytes)
		if to != Contradicting {
			p.suspicion.addEvidence(why)
		}
	}
	if from >= Lagging || to >= Lagging {
		w.recordChange(Change{At: now, Relay: r.name, Item: p.agreed.Name, From: from, To: to, Reason: sanitize(why, MaxReasonBytes)})
	}
	if to == InSync {
		p.suspicion = nil
	}
}

// addEvidence keeps a piece of evidence: the first ones, and the newest.
func (t *suspicion) addEvidence(evidence string) {
	if len(t.evidence) == MaxEvidence {
		t.evidence = t.evidence[:MaxEvidence-1]
	}
	t.evidence = append(t.evidence, sanitize(evidence, MaxReasonBytes))
}

func (w *Monitor) recordChange(c Change) {
	if len(w.history) >= MaxHistory {
		w.history = slices.Delete(w.history, 0, 1)
	}
	w.history = append(w.history, c)
	if len(w.pendingChanges) >= maxPendingChanges {
		w.counts.OverLimit++
		return
	}
	w.pendingChanges = append(w.pendingChanges, c)
}
