package drift

import (
	"fmt"
	"slices"
)

// ---- What is said ----

// estimateSentAt is when a word was said, by this clock. The quickest word of the last half minute tells the difference of the clocks.
func (r *relayState) estimateSentAt(now, at int64, period int64) int64 {
	d := now - at
	if now-r.delayWindowAt > delayWindowPeriods*period {
		r.minDelay[1], r.minDelay[0], r.delayWindowAt = r.minDelay[0], d, now
	}
	r.minDelay[0] = min(r.minDelay[0], d)
	return max(now-(d-min(r.minDelay[0], r.minDelay[1])), r.sentAt)
}

// HandleReply takes what a relay says it has applied and did.
func (w *Monitor) HandleReport(now int64, word Report) {
	r := w.relays[word.Relay]
	switch {
	case r == nil:
		w.counts.UnknownRelay++
		return
	case r.everReported && word.Incarnation == r.incarnation && word.Seq <= r.seq, r.everReported && word.Incarnation < r.incarnation && !r.silent:
		w.counts.Stale++ // repeated, overtaken, or of a process that another one has replaced
		return
	}
	w.counts.Reports++
	restarted := !r.everReported || word.Incarnation != r.incarnation
	if restarted {
		r.minDelay, r.delayWindowAt, r.activities = [2]int64{now - word.SentAt, now - word.SentAt}, now, r.activities[:0]
	}
	said := r.estimateSentAt(now, word.SentAt, w.settings.ReportInterval)
	if restarted || r.silent && w.defect != partitionIsDrift {
		w.restartClocks(said, r, restarted)
	}
	if gap := said - r.sentAt - w.settings.ReportInterval; r.everReported && 2*gap > 3*w.settings.ReportInterval && w.defect != partitionIsDrift {
		r.excuseGap(said, gap)
	}
	if r.silent {
		if r.everReported {
			w.recordChange(Change{At: now, Relay: r.name, From: Unknown, To: Propagating})
		}
		r.silent = false
	}
	if r.liveness == Unreachable || r.liveness == Terminated {
		r.liveness, r.livenessAt = Alive, now // its own word is the better proof
	}
	r.everReported, r.incarnation, r.seq, r.receivedAt, r.sentAt = true, word.Incarnation, word.Seq, now, said
	w.takeDetails(said, r, word.Items)
	for _, g := range r.groups {
		w.compareGroup(said, r, g, word)
	}
	for _, d := range word.Activities {
		w.takeActivity(said, r, d)
	}
}

// excuseGap takes the time in which words are missing off what its pairs had: only time in which a relay was heard makes it late, so that one that was
// stopped or cut off for less than it takes to be not heard is no drift either.
func (r *relayState) excuseGap(said, gap int64) {
	for _, g := range r.groups {
		if g.settled {
			continue
		}
		for _, p := range g.items {
			if p.outOfSyncSince > 0 {
				p.progressedAt = min(said, max(p.progressedAt, p.outOfSyncSince)+gap)
			}
		}
	}
}

// restartClocks starts all clocks of a relay anew: it restarted, or was not heard for a while. What it says from here on counts, within the bound for those
// that come back.
func (w *Monitor) restartClocks(said int64, r *relayState, restarted bool) {
	why := "heard again"
	if restarted {
		why = "restarted"
	}
	for _, g := range r.groups {
		g.settled = false
		for _, p := range g.items {
			p.outOfSyncSince, p.progressedAt, p.returnedAt = said, said, said
			p.inSyncSince, p.readingCount, p.leavingCount, p.measurable = 0, 0, 0, false
			if restarted {
				p.appliedKnown, p.detailedSeq, p.applied = false, 0, Applied{Item: Item{Name: p.agreed.Name}}
			}
			if p.suspicion != nil {
				p.suspicion.contradicted, p.suspicion.sightings = false, 0
			}
			w.setState(said, r, p, Propagating, why)
		}
	}
}

// takeDetails takes what a word tells of single items.
func (w *Monitor) takeDetails(said int64, r *relayState, items []Applied) {
	for _, a := range items {
		g := r.group(GroupOf(a.Name))
		if g == nil {
			continue
		}
		p := g.find(a.Name)
		if p == nil && a.empty() {
			continue
		}
		if p == nil {
			n := 0
			for _, g := range r.groups {
				n += len(g.items)
			}
			if n >= 2*MaxItems { // as many as are agreed, and as many that are not
				w.counts.OverLimit++
				continue
			}
			p = g.add(a.Name, said)
			p.outOfSyncSince, p.progressedAt, g.settled = said, said, false
		}
		if p.appliedKnown && (a.Version > p.applied.Version && a.Version <= p.highestAgreed || a.Item == p.applied.Item && a.Progress > p.applied.Progress) {
			p.progressedAt = said
		}
		if p.appliedKnown && a.Version > p.applied.Version && a.Item != p.agreed && p.outOfSyncSince > 0 && p.returnedAt == 0 {
			if i := slices.IndexFunc(p.recentVersions[:], func(m agreedVersion) bool { return m.version > a.Version }); i >= 0 {
				p.outOfSyncSince = max(p.outOfSyncSince, p.recentVersions[i].at) // it has taken all that was agreed before that
			}
		}
		p.applied, p.appliedKnown, p.detailedAt, p.detailedSeq = a, true, said, r.seq
	}
}

// compareGroup looks at a group by its digest, and at each of its items of which the word tells anything.
func (w *Monitor) compareGroup(said int64, r *relayState, g *groupState, word Report) {
	digest := DigestOf(nil)
	for _, d := range word.Groups {
		if d.Name == g.name {
			digest = d.Digest
		}
	}
	g.matched = digest == g.agreedDigest
	if g.matched && g.settled {
		return
	}
	whole := g.matched
	if g.matched {
		g.items = slices.DeleteFunc(g.items, func(p *trackedItem) bool {
			if !p.isAgreed {
				w.setState(said, r, p, InSync, "gone")
			}
			return !p.isAgreed
		})
		for _, p := range g.items {
			if p.applied.Item != p.agreed || p.applied.LocalOverride || p.applied.RejectedVersion != 0 {
				p.applied = Applied{Item: p.agreed, Since: word.SentAt, Source: p.applied.Source}
			}
			p.appliedKnown = true
		}
	} else {
		var list []Applied
		for _, p := range g.items {
			list = append(list, p.applied)
		}
		whole = DigestOf(list) == digest // all that it has was told; of the rest it has nothing
		if digest != g.reportedDigest {
			g.reportedDigest, g.reportedSince = digest, said
		}
		for _, p := range g.items { // what is not told though it was asked for is there no more
			if !whole && said-max(p.detailedAt, g.reportedSince) > detailPeriods*w.settings.ReportInterval {
				p.applied = Applied{Item: Item{Name: p.agreed.Name}}
			}
		}
	}
	g.settled = g.matched
	for _, p := range g.items {
		if whole {
			p.appliedKnown = true
		}
		if !whole && p.detailedSeq != r.seq {
			p.inSyncSince = 0
			continue
		}
		w.classify(said, r, g, p)
		if p.state != InSync || p.readingCount < confirmations {
			g.settled = false
		}
	}
}

// ---- What it does ----

// takeActivity takes one of a relay's counts. What was under way when it applied an item may still be counted for as long as an attempt takes, so the count
// of the first word after that is where astray begins. By both clocks: a word may be late, and a relay's clock may be set.
func (w *Monitor) takeActivity(said int64, r *relayState, d Activity) {
	i := slices.IndexFunc(r.activities, func(x trackedActivity) bool { return x.Item == d.Item && x.Kind == d.Kind })
	if i < 0 {
		if len(r.activities) >= MaxActivities {
			w.counts.OverLimit++
			return
		}
		r.activities = append(r.activities, trackedActivity{Activity: d, base: d.Violations, sentAt: said, receivedAt: r.receivedAt})
		return
	}
	x := &r.activities[i]
	p, grace := r.item(d.Item), w.settings.InFlightGrace
	if w.defect == noGrace {
		grace = 0
	}
	switch {
	case p == nil || p.inSyncSince == 0 || min(x.sentAt-p.inSyncSince, x.receivedAt-p.inSyncReceivedAt) < grace || d.Violations < x.base:
		x.base = d.Violations
	case d.Violations == x.Violations && said-x.grewAt > grace+r.group(GroupOf(d.Item)).lag.bound:
		x.base = d.Violations // one send astray in a long time is chance: an attempt that hung, a race
	case d.Violations > x.Violations && d.Violations-x.base >= confirmations:
		w.contradict(said, r, p, fmt.Sprintf("%d sends of %q astray by its own count since it said that it runs %d", d.Violations-x.base, d.Kind, p.applied.Version))
	}
	if d.Violations != x.Violations {
		x.grewAt = said
	}
	x.Activity, x.sentAt, x.receivedAt = d, said, r.receivedAt
}

// RecordSighting takes that others saw a relay do otherwise than an item asks, each time that it is seen anew. What they say may have been under way, and took
// its time to get here.
func (w *Monitor) RecordSighting(now int64, relay, item, evidence string) {
	r := w.relays[relay]
	if r == nil {
		w.counts.UnknownRelay++
		return
	}
	p, g := r.item(item), r.group(GroupOf(item))
	if p == nil || p.inSyncSince == 0 || now < p.inSyncReceivedAt+w.settings.InFlightGrace+g.lag.bound {
		return
	}
	if p.suspicion == nil {
		p.suspicion = &suspicion{}
	}
	p.suspicion.sightings++
	p.suspicion.lastSeenAt = now
	p.suspicion.addEvidence(evidence)
	if p.suspicion.sightings >= confirmations {
		w.contradict(now, r, p, evidence)
	}
}

func (w *Monitor) contradict(now int64, r *relayState, p *trackedItem, evidence string) {
	if p.suspicion == nil {
		p.suspicion = &suspicion{}
	}
	p.suspicion.lastSeenAt = now
	if len(p.suspicion.evidence) == 0 || p.suspicion.evidence[len(p.suspicion.evidence)-1] != sanitize(evidence, MaxReasonBytes) {
		p.suspicion.addEvidence(evidence)
	}
	if !p.suspicion.contradicted {
		p.suspicion.contradicted = true
		r.group(GroupOf(p.agreed.Name)).settled = false
		if p.state <= Propagating {
			w.setState(now, r, p, Contradicting, evidence)
		}
	}
}
