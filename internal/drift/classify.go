package drift

import (
	"fmt"
	"slices"
)

const (
	minFleetToCompare   = 3 // with fewer reporting relays, a relay cannot be compared with the others
	fixedBoundIntervals = 5 // lag bound with the injected defect fixedBound
)

// reportedState returns the state that follows from the last report on the item alone, without regard
// to the time that has passed or to activities.
func (i *trackedItem) reportedState() State {
	switch {
	case i.applied.LocalOverride:
		return Overridden
	case i.applied.Item == i.agreed:
		return InSync
	case i.applied.RejectedVersion == i.agreed.Version && i.applied.RejectedVersion != 0:
		return Rejected
	case i.applied.Version > i.highestAgreedVersion, i.applied.Version == i.agreed.Version && i.applied.Digest != i.agreed.Digest:
		return Ahead
	case i.applied.Version < i.lastInSyncVersion:
		return Regressed
	}
	return Lagging
}

// classify updates the state of an item after a report that says something about it.
func (m *Monitor) classify(sentAt int64, r *relayState, g *groupState, i *trackedItem) {
	reported := i.reportedState()
	if reported != i.lastReportedState {
		i.lastReportedState, i.reportedStateCount = reported, 0
	}
	i.reportedStateCount++
	if reported == InSync {
		m.recordArrival(sentAt, r, g, i)
	} else {
		i.inSyncSince = 0
		if i.outOfSyncSince == 0 {
			i.outOfSyncSince, i.progressedAt, i.lagMeasurable = sentAt, sentAt, false
		}
	}
	lagClockPaused := (r.liveness == Restarting || r.liveness == Upgrading) && (i.returnedAt > 0 || appliedAtRestart(g.name))
	if lagClockPaused && reported != InSync { // the lag counts from the end of the restart
		i.outOfSyncSince, i.progressedAt, i.lagMeasurable = sentAt, sentAt, false
	}
	next := m.nextState(sentAt, g, i, reported)
	// nextState decides when there is enough evidence for a finding. A finding ends or changes only when
	// several reports in a row (confirmations) say so.
	if i.state >= Lagging && next != i.state {
		if i.reportsAgainstState++; i.reportsAgainstState < confirmations {
			return
		}
	}
	i.reportsAgainstState = 0
	if next != i.state {
		m.setState(sentAt, r, i, next, m.explain(sentAt, g, i, next))
	}
}

// nextState returns the state that follows from the reported one, the time that has passed and the
// relay's activities.
func (m *Monitor) nextState(sentAt int64, g *groupState, i *trackedItem, reported State) State {
	next := Propagating
	switch reported {
	case InSync, Rejected, Overridden:
		next = reported
	case Regressed:
		if i.returnedAt == 0 || m.overdue(sentAt, g, i) {
			next = reported
		}
	default:
		if i.reportedStateCount >= confirmations && m.overdue(sentAt, g, i) {
			next = reported
		}
	}
	if i.suspicion != nil && i.suspicion.contradicted && next <= Propagating {
		next = Contradicting
	}
	return next
}

// recordArrival records that a relay reports an item in sync, and samples the lag if it tells how long
// propagation takes.
func (m *Monitor) recordArrival(sentAt int64, r *relayState, g *groupState, i *trackedItem) {
	if i.outOfSyncSince > 0 {
		lag := sentAt - i.outOfSyncSince
		slowFleet := i.arrival != nil && i.arrival.live >= minFleetToCompare && 2*i.arrival.arrived <= i.arrival.live
		switch {
		case i.returnedAt > 0:
			// A lag of 0 means that the item was in sync in the relay's first report, which says nothing
			// about the recovery time.
			if i.state < Lagging && lag > 0 {
				m.recoveryLag.add(lag)
			}
		case i.lagMeasurable && (i.state < Lagging || slowFleet) && !slices.Contains(m.settings.UnmeasuredGroups, g.name):
			g.lag.add(lag)
			if g.lag != m.fleetLag {
				m.fleetLag.add(lag)
			}
		}
	}
	if i.inSyncSince == 0 {
		i.inSyncSince, i.inSyncReceivedAt = sentAt, r.receivedAt
	}
	i.outOfSyncSince, i.returnedAt, i.lagMeasurable = 0, 0, false
	i.lastInSyncVersion = i.agreed.Version
}

// appliedAtRestart reports whether processes apply the items of a group only when they start, so that a
// change takes as long as a restart.
func appliedAtRestart(group string) bool { return group == ItemProgram || group == ItemConfig }

// overdue reports whether an item has been out of sync for longer than propagation takes in this fleet.
func (m *Monitor) overdue(sentAt int64, g *groupState, i *trackedItem) bool {
	bound := g.lag.bound
	if i.returnedAt > 0 {
		bound = max(bound, m.recoveryLag.bound)
	}
	if m.defect == fixedBound {
		return sentAt-i.outOfSyncSince > fixedBoundIntervals*m.settings.ReportInterval
	}
	switch a := i.arrival; {
	case a == nil || a.live > 0 && a.live < minFleetToCompare: // too few relays to compare with
	case !a.halfArrived() || a.live == 0: // the whole fleet is slow, or the version was agreed after the last Tick
		bound = int64(m.settings.SlowFleetFactor * float64(bound))
	case g.lag.n < maxLagSamples: // with few samples, the best measure is how long half of the fleet took
		bound = max(bound, int64(m.settings.SlowFleetFactor*float64(a.halfArrivedAfter)))
	}
	// Progress, as with a slow disk, postpones the finding, but not beyond MaxBound.
	return sentAt-max(i.outOfSyncSince, i.progressedAt) > bound || sentAt-i.outOfSyncSince > max(m.settings.MaxBound, bound)
}

// explain returns the reason for a state. The texts are shown in GET /-/drift and logs, and block
// reasons and quarantine reasons contain them, so they stay as they are.
func (m *Monitor) explain(now int64, g *groupState, i *trackedItem, to State) string {
	switch to {
	case Lagging:
		return fmt.Sprintf("runs %d for %.1f s, %d is agreed; the bound is %.1f s", i.applied.Version, float64(now-i.outOfSyncSince)/1000, i.agreed.Version,
			float64(g.lag.bound)/1000)
	case Rejected:
		return fmt.Sprintf("refused %d: %s", i.applied.RejectedVersion, i.applied.RejectReason)
	case Regressed:
		return fmt.Sprintf("runs %d, ran %d before", i.applied.Version, i.lastInSyncVersion)
	case Ahead:
		if !i.isAgreed {
			return fmt.Sprintf("runs %d, no such item is agreed", i.applied.Version)
		}
		return fmt.Sprintf("runs %d/%x, which nobody agreed on; %d/%x is", i.applied.Version, i.applied.Digest, i.agreed.Version, i.agreed.Digest)
	case Overridden:
		return "changed by a call at this relay: " + i.applied.Source
	case Contradicting:
		return i.suspicion.evidence[len(i.suspicion.evidence)-1]
	}
	return ""
}

// setState changes the state of an item. Changes between InSync and Propagating are not recorded:
// every new version causes two of them per relay.
func (m *Monitor) setState(now int64, r *relayState, i *trackedItem, to State, reason string) {
	if i.state == to {
		return
	}
	from := i.state
	i.state, i.stateSince, i.reportsAgainstState = to, now, 0
	if to >= Lagging {
		s := i.ensureSuspicion()
		s.reason = sanitize(reason, MaxReasonBytes)
		if to != Contradicting {
			s.addEvidence(reason)
		}
	}
	if from >= Lagging || to >= Lagging {
		m.recordChange(Change{At: now, Relay: r.name, Item: i.agreed.Name, From: from, To: to, Reason: sanitize(reason, MaxReasonBytes)})
	}
	if to == InSync {
		i.suspicion = nil
	}
}
