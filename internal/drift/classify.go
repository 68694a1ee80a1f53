package drift

import (
	"fmt"
	"slices"
)

const (
	minFleetToCompare   = 3 // relays that report: with fewer, a relay cannot be compared with the others
	fixedBoundIntervals = 5 // intervals, with the defect fixedBound
)

// reading returns what an item's reports say, whatever time it took.
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

// classify takes one more report on an item, and sets its state.
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
	if lagClockPaused && reported != InSync { // its time begins when the restart is over
		i.outOfSyncSince, i.progressedAt, i.lagMeasurable = sentAt, sentAt, false
	}
	next := m.nextState(sentAt, g, i, reported)
	// A claim is taken back, or changed, on the second report that says so. It is made on the evidence of nextState.
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

// nextState returns the state that a reading gives with the time it took and the relay's activities.
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

// recordArrival notes that a relay reports to run what is agreed.
func (m *Monitor) recordArrival(sentAt int64, r *relayState, g *groupState, i *trackedItem) {
	if i.outOfSyncSince > 0 {
		lag := sentAt - i.outOfSyncSince
		slowFleet := i.arrival != nil && i.arrival.live >= minFleetToCompare && 2*i.arrival.arrived <= i.arrival.live
		switch {
		case i.returnedAt > 0:
			if i.state < Lagging && lag > 0 { // a relay that was in sync by its first report tells nothing of how long it takes
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

// appliedAtRestart reports whether a group's items are applied by a process as it starts, so that they take as long as a restart.
func appliedAtRestart(group string) bool { return group == ItemProgram || group == ItemConfig }

// overdue reports whether an item had all the time that propagation takes in this fleet.
func (m *Monitor) overdue(sentAt int64, g *groupState, i *trackedItem) bool {
	bound := g.lag.bound
	if i.returnedAt > 0 {
		bound = max(bound, m.recoveryLag.bound)
	}
	if m.defect == fixedBound {
		return sentAt-i.outOfSyncSince > fixedBoundIntervals*m.settings.ReportInterval
	}
	switch a := i.arrival; {
	case a == nil || a.live > 0 && a.live < minFleetToCompare: // there is no fleet to compare it with
	case !a.halfArrived() || a.live == 0: // the fleet is slow and not the relay, or the version was agreed just now
		bound = int64(m.settings.SlowFleetFactor * float64(bound))
	case g.lag.n < maxLagSamples: // all that is known is how long half of the fleet took
		bound = max(bound, int64(m.settings.SlowFleetFactor*float64(a.halfArrivedAfter)))
	}
	// Progress (a slow disk) puts the bound off, but not forever.
	return sentAt-max(i.outOfSyncSince, i.progressedAt) > bound || sentAt-i.outOfSyncSince > max(m.settings.MaxBound, bound)
}

// explain returns the reason for a state, for operators.
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

// setState puts an item into a state. Changes between InSync and Propagating are not recorded: every change of an item makes two.
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
