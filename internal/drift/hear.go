package drift

import (
	"fmt"
	"slices"
)

// ---- What is said ----

// sent is when a word was said, by this clock. The quickest word of the last half minute tells the difference of the clocks.
func (r *relay) sent(now, at int64, period int64) int64 {
	d := now - at
	if now-r.offsetAt > offsetFor*period {
		r.offset[1], r.offset[0], r.offsetAt = r.offset[0], d, now
	}
	r.offset[0] = min(r.offset[0], d)
	return max(now-(d-min(r.offset[0], r.offset[1])), r.said)
}

// HandleReply takes what a relay says it has applied and did.
func (w *Monitor) HandleReport(now int64, word Report) {
	r := w.relays[word.Relay]
	switch {
	case r == nil:
		w.counts.UnknownRelay++
		return
	case r.ever && word.Incarnation == r.start && word.Seq <= r.seq, r.ever && word.Incarnation < r.start && !r.quiet:
		w.counts.Stale++ // repeated, overtaken, or of a process that another one has replaced
		return
	}
	w.counts.Reports++
	restarted := !r.ever || word.Incarnation != r.start
	if restarted {
		r.offset, r.offsetAt, r.does = [2]int64{now - word.SentAt, now - word.SentAt}, now, r.does[:0]
	}
	said := r.sent(now, word.SentAt, w.set.ReportInterval)
	if restarted || r.quiet && w.flaw != cutIsDrift {
		w.begin(said, r, restarted)
	}
	if gap := said - r.said - w.set.ReportInterval; r.ever && 2*gap > 3*w.set.ReportInterval && w.flaw != cutIsDrift {
		r.missed(said, gap)
	}
	if r.quiet {
		if r.ever {
			w.tell(Change{At: now, Relay: r.name, From: Unknown, To: Propagating})
		}
		r.quiet = false
	}
	if r.life == Unreachable || r.life == Terminated {
		r.life, r.lifeAt = Alive, now // its own word is the better proof
	}
	r.ever, r.start, r.seq, r.heard, r.said = true, word.Incarnation, word.Seq, now, said
	w.details(said, r, word.Items)
	for _, g := range r.groups {
		w.compare(said, r, g, word)
	}
	for _, d := range word.Activities {
		w.did(said, r, d)
	}
}

// missed takes the time in which words are missing off what its pairs had: only time in which a relay was heard makes it late, so that one that was
// stopped or cut off for less than it takes to be not heard is no drift either.
func (r *relay) missed(said, gap int64) {
	for _, g := range r.groups {
		if g.settled {
			continue
		}
		for _, p := range g.pairs {
			if p.behind > 0 {
				p.moved = min(said, max(p.moved, p.behind)+gap)
			}
		}
	}
}

// begin starts all clocks of a relay anew: it restarted, or was not heard for a while. What it says from here on counts, within the bound for those
// that come back.
func (w *Monitor) begin(said int64, r *relay, restarted bool) {
	why := "heard again"
	if restarted {
		why = "restarted"
	}
	for _, g := range r.groups {
		g.settled = false
		for _, p := range g.pairs {
			p.behind, p.moved, p.returned = said, said, said
			p.claim, p.words, p.pends, p.clean = 0, 0, 0, false
			if restarted {
				p.known, p.toldBy, p.has = false, 0, Applied{Item: Item{Name: p.intent.Name}}
			}
			if p.trouble != nil {
				p.trouble.accused, p.trouble.saw = false, 0
			}
			w.enter(said, r, p, Propagating, why)
		}
	}
}

// details takes what a word tells of single items.
func (w *Monitor) details(said int64, r *relay, items []Applied) {
	for _, a := range items {
		g := r.group(GroupOf(a.Name))
		if g == nil {
			continue
		}
		p := g.find(a.Name)
		if p == nil && a.none() {
			continue
		}
		if p == nil {
			n := 0
			for _, g := range r.groups {
				n += len(g.pairs)
			}
			if n >= 2*MaxItems { // as many as are agreed, and as many that are not
				w.counts.OverLimit++
				continue
			}
			p = g.add(a.Name, said)
			p.behind, p.moved, g.settled = said, said, false
		}
		if p.known && (a.Version > p.has.Version && a.Version <= p.top || a.Item == p.has.Item && a.Progress > p.has.Progress) {
			p.moved = said
		}
		if p.known && a.Version > p.has.Version && a.Item != p.intent && p.behind > 0 && p.returned == 0 {
			if i := slices.IndexFunc(p.marks[:], func(m mark) bool { return m.version > a.Version }); i >= 0 {
				p.behind = max(p.behind, p.marks[i].at) // it has taken all that was agreed before that
			}
		}
		p.has, p.known, p.told, p.toldBy = a, true, said, r.seq
	}
}

// compare looks at a group by its digest, and at each of its items of which the word tells anything.
func (w *Monitor) compare(said int64, r *relay, g *group, word Report) {
	digest := DigestOf(nil)
	for _, d := range word.Groups {
		if d.Name == g.name {
			digest = d.Digest
		}
	}
	g.matched = digest == g.intent
	if g.matched && g.settled {
		return
	}
	whole := g.matched
	if g.matched {
		g.pairs = slices.DeleteFunc(g.pairs, func(p *pair) bool {
			if !p.agreed {
				w.enter(said, r, p, InSync, "gone")
			}
			return !p.agreed
		})
		for _, p := range g.pairs {
			if p.has.Item != p.intent || p.has.LocalOverride || p.has.RejectedVersion != 0 {
				p.has = Applied{Item: p.intent, Since: word.SentAt, Source: p.has.Source}
			}
			p.known = true
		}
	} else {
		var list []Applied
		for _, p := range g.pairs {
			list = append(list, p.has)
		}
		whole = DigestOf(list) == digest // all that it has was told; of the rest it has nothing
		if digest != g.said {
			g.said, g.saidAt = digest, said
		}
		for _, p := range g.pairs { // what is not told though it was asked for is there no more
			if !whole && said-max(p.told, g.saidAt) > untoldFor*w.set.ReportInterval {
				p.has = Applied{Item: Item{Name: p.intent.Name}}
			}
		}
	}
	g.settled = g.matched
	for _, p := range g.pairs {
		if whole {
			p.known = true
		}
		if !whole && p.toldBy != r.seq {
			p.claim = 0
			continue
		}
		w.judge(said, r, g, p)
		if p.state != InSync || p.words < twice {
			g.settled = false
		}
	}
}

// ---- What it does ----

// did takes one of a relay's counts. What was under way when it applied an item may still be counted for as long as an attempt takes, so the count
// of the first word after that is where astray begins. By both clocks: a word may be late, and a relay's clock may be set.
func (w *Monitor) did(said int64, r *relay, d Activity) {
	i := slices.IndexFunc(r.does, func(x doing) bool { return x.Item == d.Item && x.Kind == d.Kind })
	if i < 0 {
		if len(r.does) >= MaxActivities {
			w.counts.OverLimit++
			return
		}
		r.does = append(r.does, doing{Activity: d, base: d.Violations, said: said, came: r.heard})
		return
	}
	x := &r.does[i]
	p, grace := r.pair(d.Item), w.set.InFlightGrace
	if w.flaw == noGrace {
		grace = 0
	}
	switch {
	case p == nil || p.claim == 0 || min(x.said-p.claim, x.came-p.claimed) < grace || d.Violations < x.base:
		x.base = d.Violations
	case d.Violations == x.Violations && said-x.grew > grace+r.group(GroupOf(d.Item)).pace.bound:
		x.base = d.Violations // one send astray in a long time is chance: an attempt that hung, a race
	case d.Violations > x.Violations && d.Violations-x.base >= twice:
		w.accuse(said, r, p, fmt.Sprintf("%d sends of %q astray by its own count since it said that it runs %d", d.Violations-x.base, d.Kind, p.has.Version))
	}
	if d.Violations != x.Violations {
		x.grew = said
	}
	x.Activity, x.said, x.came = d, said, r.heard
}

// RecordSighting takes that others saw a relay do otherwise than an item asks, each time that it is seen anew. What they say may have been under way, and took
// its time to get here.
func (w *Monitor) RecordSighting(now int64, relay, item, evidence string) {
	r := w.relays[relay]
	if r == nil {
		w.counts.UnknownRelay++
		return
	}
	p, g := r.pair(item), r.group(GroupOf(item))
	if p == nil || p.claim == 0 || now < p.claimed+w.set.InFlightGrace+g.pace.bound {
		return
	}
	if p.trouble == nil {
		p.trouble = &trouble{}
	}
	p.trouble.saw++
	p.trouble.grew = now
	p.trouble.note(evidence)
	if p.trouble.saw >= twice {
		w.accuse(now, r, p, evidence)
	}
}

func (w *Monitor) accuse(now int64, r *relay, p *pair, evidence string) {
	if p.trouble == nil {
		p.trouble = &trouble{}
	}
	p.trouble.grew = now
	if len(p.trouble.evidence) == 0 || p.trouble.evidence[len(p.trouble.evidence)-1] != cut(evidence, MaxReasonBytes) {
		p.trouble.note(evidence)
	}
	if !p.trouble.accused {
		p.trouble.accused = true
		r.group(GroupOf(p.intent.Name)).settled = false
		if p.state <= Propagating {
			w.enter(now, r, p, Contradicting, evidence)
		}
	}
}
