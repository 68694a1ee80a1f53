package drift

import "slices"

const (
	delayWindowIntervals = 30 // the fastest report in such a window tells how late another one is

	// detailIntervals is after how many intervals an item of a requested group that was not reported is taken to be gone: 64 items take 10
	// reports at most.
	detailTimeoutIntervals = 15

	maxTrackedItems = 2 * MaxItems // of one relay: as many as are agreed, and as many that are not
)

// estimateSentAt returns when a report was sent, by this clock. The fastest report of the last windows tells the difference of the clocks.
func (r *relayState) estimateSentAt(now, sentAt, interval int64) int64 {
	delay := now - sentAt
	if now-r.delayWindowAt > delayWindowIntervals*interval {
		r.minDelay[1], r.minDelay[0], r.delayWindowAt = r.minDelay[0], delay, now
	}
	r.minDelay[0] = min(r.minDelay[0], delay)
	return max(now-(delay-min(r.minDelay[0], r.minDelay[1])), r.sentAt)
}

// HandleReport takes a relay's report.
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
		r.liveness = Alive // its own report is the better proof
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

// stale reports whether a report is repeated, overtaken, or of a process that another one has replaced.
func (r *relayState) stale(report Report) bool {
	if !r.everReported {
		return false
	}
	return report.Incarnation == r.incarnation && report.Seq <= r.seq || report.Incarnation < r.incarnation && !r.silent
}

// excuseGap takes the time in which reports are missing off what its items had: only time in which a relay reports makes it late, so that one
// that was stopped or partitioned for less than it takes to be silent does not drift either.
func (r *relayState) discountReportGap(sentAt, gap int64) {
	for g, i := range r.allItems() {
		if !g.settled && i.outOfSyncSince > 0 {
			i.progressedAt = min(sentAt, max(i.progressedAt, i.outOfSyncSince)+gap)
		}
	}
}

// restartClocks restarts all clocks of a relay that restarted or was silent. What it reports from here on counts, within the bound for relays
// that come back.
func (m *Monitor) restartClocks(sentAt int64, r *relayState, restarted bool) {
	reason := "heard again"
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

// takeDetail takes what a report says of a single item.
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

// noteProgress compares what an item runs now with what it ran before.
func (i *trackedItem) noteProgress(sentAt int64, a Applied) {
	newer := a.Version > i.applied.Version
	if newer && a.Version <= i.highestAgreedVersion || a.Item == i.applied.Item && a.Progress > i.applied.Progress {
		i.progressedAt = sentAt
	}
	if newer && a.Item != i.agreed && i.outOfSyncSince > 0 && i.returnedAt == 0 {
		if k := slices.IndexFunc(i.recentVersions[:], func(v agreedVersion) bool { return v.version > a.Version }); k >= 0 {
			i.outOfSyncSince = max(i.outOfSyncSince, i.recentVersions[k].at) // it has taken all that was agreed before that
		}
	}
}

func (r *relayState) itemCount() (n int) {
	for _, g := range r.groups {
		n += len(g.items)
	}
	return n
}

// compareGroup compares a group by its digest, and classifies each of its items of which the report says anything.
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
	complete := true // all items of the group are known
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

// applyAgreed notes that a relay runs all that is agreed of a group and nothing else, as its digest says.
func (m *Monitor) assumeAgreedApplied(sentAt int64, r *relayState, g *groupState, relayClock int64) {
	g.items = slices.DeleteFunc(g.items, func(i *trackedItem) bool {
		if !i.isAgreed {
			m.setState(sentAt, r, i, InSync, "gone")
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

// applyReported reports whether the digest is that of the items reported so far: then all that the relay runs of the group is known, and of
// the other items it runs none. Items that were not reported though they were asked for are gone.
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
