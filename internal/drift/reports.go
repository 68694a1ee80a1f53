package drift

import "slices"

const (
	delayWindowIntervals = 30 // window in which the fastest report is the reference for the delay of the others

	// detailTimeoutIntervals is the number of intervals after which an item of a requested group that was
	// in no report is taken to be no longer run. Reporting 64 items takes at most 10 reports.
	detailTimeoutIntervals = 15

	maxTrackedItems = 2 * MaxItems // per relay: room for as many items that are not agreed as are agreed
)

// estimateSentAt returns when a report was sent, by the Monitor's clock. The fastest report of the current
// and the previous window gives the difference between the clocks; it is assumed to have had no delay.
func (r *relayState) estimateSentAt(now, sentAt, interval int64) int64 {
	delay := now - sentAt
	if now-r.delayWindowAt > delayWindowIntervals*interval {
		r.minDelay[1], r.minDelay[0], r.delayWindowAt = r.minDelay[0], delay, now
	}
	r.minDelay[0] = min(r.minDelay[0], delay)
	return max(now-(delay-min(r.minDelay[0], r.minDelay[1])), r.sentAt)
}

// HandleReport processes a relay's report.
func (m *Monitor) HandleReport(now int64, report Report) {
	r := m.relays[report.Relay]
	switch {
	case r == nil:
		m.counts.UnknownRelay++
		return
	case r.stale(report):
		m.counts.Stale++
		return
	}
	m.counts.Reports++
	restarted := !r.everReported || report.Incarnation != r.incarnation
	if restarted {
		delay := now - report.SentAt
		r.minDelay, r.delayWindowAt, r.activities = [2]int64{delay, delay}, now, r.activities[:0]
	}
	sentAt := r.estimateSentAt(now, report.SentAt, m.settings.ReportInterval)
	if restarted || r.silent && m.defect != partitionIsDrift {
		m.restartClocks(sentAt, r, restarted)
	}
	gap := sentAt - r.sentAt - m.settings.ReportInterval
	if r.everReported && 2*gap > 3*m.settings.ReportInterval && m.defect != partitionIsDrift {
		r.discountReportGap(sentAt, gap)
	}
	if r.silent {
		if r.everReported {
			m.recordChange(Change{At: now, Relay: r.name, From: Unknown, To: Propagating})
		}
		r.silent = false
	}
	if r.liveness == Unreachable || r.liveness == Terminated {
		r.liveness = Alive // a report from the relay itself outweighs what others say
	}
	r.everReported, r.incarnation, r.seq, r.receivedAt, r.sentAt = true, report.Incarnation, report.Seq, now, sentAt
	for _, a := range report.Items {
		m.handleItem(sentAt, r, a)
	}
	for _, g := range r.groups {
		m.compareGroup(sentAt, r, g, report)
	}
	for _, a := range report.Activities {
		m.handleActivity(sentAt, r, a)
	}
}

// stale reports whether a report is repeated, out of order, or from a process that has been replaced.
func (r *relayState) stale(report Report) bool {
	if !r.everReported {
		return false
	}
	return report.Incarnation == r.incarnation && report.Seq <= r.seq || report.Incarnation < r.incarnation && !r.silent
}

// discountReportGap extends the time allowed to out-of-sync items by a gap between reports. Only time in which
// the relay reports counts towards the lag bound, so a relay that is stopped or partitioned too briefly to be
// marked silent does not drift because of that.
func (r *relayState) discountReportGap(sentAt, gap int64) {
	for g, i := range r.allItems() {
		if !g.settled && i.outOfSyncSince > 0 {
			i.progressedAt = min(sentAt, max(i.progressedAt, i.outOfSyncSince)+gap)
		}
	}
}

// restartClocks restarts the times of all items of a relay that restarted or was silent. From then on its
// reports count again, and its items may take until the recovery lag bound if that is the longer one.
func (m *Monitor) restartClocks(sentAt int64, r *relayState, restarted bool) {
	reason := "heard again" // shown in logs: the relay reports again after a silence
	if restarted {
		reason = "restarted"
	}
	for g, i := range r.allItems() {
		g.settled = false
		i.outOfSyncSince, i.progressedAt, i.returnedAt = sentAt, sentAt, sentAt
		i.inSyncSince, i.reportedStateCount, i.reportsAgainstState, i.lagMeasurable = 0, 0, 0, false
		if restarted {
			i.appliedKnown, i.detailedSeq, i.applied = false, 0, Applied{Item: Item{Name: i.agreed.Name}}
		}
		if i.suspicion != nil {
			i.suspicion.clear()
		}
		m.setState(sentAt, r, i, Propagating, reason)
	}
}

// handleItem stores what a report says about one item.
func (m *Monitor) handleItem(sentAt int64, r *relayState, a Applied) {
	g := r.group(GroupOf(a.Name))
	if g == nil {
		return
	}
	i := g.item(a.Name)
	if i == nil {
		if a.empty() {
			return
		}
		if r.itemCount() >= maxTrackedItems {
			m.counts.OverLimit++
			return
		}
		i = g.addItem(a.Name, sentAt)
		i.outOfSyncSince, i.progressedAt, g.settled = sentAt, sentAt, false
	}
	if i.appliedKnown {
		i.noteProgress(sentAt, a)
	}
	i.applied, i.appliedKnown, i.detailedAt, i.detailedSeq = a, true, sentAt, r.seq
}

// noteProgress compares what the relay runs of an item now with what it ran before.
func (i *trackedItem) noteProgress(sentAt int64, a Applied) {
	newer := a.Version > i.applied.Version
	if newer && a.Version <= i.highestAgreedVersion || a.Item == i.applied.Item && a.Progress > i.applied.Progress {
		i.progressedAt = sentAt
	}
	if newer && a.Item != i.agreed && i.outOfSyncSince > 0 && i.returnedAt == 0 {
		// The relay has applied every version agreed before the first one that is newer than a.
		if k := slices.IndexFunc(i.recentVersions[:], func(v agreedVersion) bool { return v.version > a.Version }); k >= 0 {
			i.outOfSyncSince = max(i.outOfSyncSince, i.recentVersions[k].at)
		}
	}
}

func (r *relayState) itemCount() (n int) {
	for _, g := range r.groups {
		n += len(g.items)
	}
	return n
}

// compareGroup compares the reported digest of a group with the agreed one, and classifies each item of the
// group about which the report says something.
func (m *Monitor) compareGroup(sentAt int64, r *relayState, g *groupState, report Report) {
	digest := DigestOf(nil)
	for _, d := range report.Groups {
		if d.Name == g.name {
			digest = d.Digest
		}
	}
	g.digestMatches = digest == g.agreedDigest
	if g.digestMatches && g.settled {
		return
	}
	complete := true // applied is known for all items of the group
	if g.digestMatches {
		m.assumeAgreedApplied(sentAt, r, g, report.SentAt)
	} else {
		complete = m.checkReportedItems(sentAt, g, digest)
	}
	g.settled = g.digestMatches
	for _, i := range g.items {
		if complete {
			i.appliedKnown = true
		}
		if !complete && i.detailedSeq != r.seq {
			i.inSyncSince = 0
			continue
		}
		m.classify(sentAt, r, g, i)
		if i.state != InSync || i.reportedStateCount < confirmations {
			g.settled = false
		}
	}
}

// assumeAgreedApplied records that a relay runs exactly the agreed items of a group, because the digest
// matches.
func (m *Monitor) assumeAgreedApplied(sentAt int64, r *relayState, g *groupState, relayClock int64) {
	g.items = slices.DeleteFunc(g.items, func(i *trackedItem) bool {
		if !i.isAgreed {
			m.setState(sentAt, r, i, InSync, "gone") // shown in logs: the relay no longer runs the item
		}
		return !i.isAgreed
	})
	for _, i := range g.items {
		if i.applied.Item != i.agreed || i.applied.LocalOverride || i.applied.RejectedVersion != 0 {
			i.applied = Applied{Item: i.agreed, Since: relayClock, Source: i.applied.Source}
		}
		i.appliedKnown = true
	}
}

// checkReportedItems reports whether the reported digest is that of the items reported so far. If it is, the
// relay runs nothing else of the group. Otherwise it takes items that were requested but not reported in time
// as no longer run.
func (m *Monitor) checkReportedItems(sentAt int64, g *groupState, digest uint64) (complete bool) {
	var list []Applied
	for _, i := range g.items {
		list = append(list, i.applied)
	}
	complete = DigestOf(list) == digest
	if digest != g.reportedDigest {
		g.reportedDigest, g.reportedSince = digest, sentAt
	}
	if complete {
		return true
	}
	for _, i := range g.items {
		if sentAt-max(i.detailedAt, g.reportedSince) > detailTimeoutIntervals*m.settings.ReportInterval {
			i.applied = Applied{Item: Item{Name: i.agreed.Name}}
		}
	}
	return false
}
