package drift

import (
	"fmt"
	"slices"
)

// reading is what a pair's words say, whatever time it took.
func (p *pair) reading() State {
	switch {
	case p.has.LocalOverride:
		return Overridden
	case p.has.Item == p.intent:
		return InSync
	case p.has.RejectedVersion == p.intent.Version && p.has.RejectedVersion != 0:
		return Rejected
	case p.has.Version > p.top, p.has.Version == p.intent.Version && p.has.Digest != p.intent.Digest:
		return Ahead
	case p.has.Version < p.best:
		return Regressed
	}
	return Lagging
}

// judge takes one more word on a pair.
func (w *Monitor) judge(said int64, r *relay, g *group, p *pair) {
	cond := p.reading()
	if cond != p.cond {
		p.cond, p.words = cond, 0
	}
	p.words++
	if cond == InSync {
		w.arrive(said, r, g, p)
	} else {
		p.claim = 0
		if p.behind == 0 {
			p.behind, p.moved, p.clean = said, said, false
		}
	}
	held := (r.life == Restarting || r.life == Upgrading) && (p.returned > 0 || byRestart(g.name))
	if held && cond != InSync { // it is being seen to, and its time begins when that is over
		p.behind, p.moved, p.clean = said, said, false
	}
	next := Propagating
	switch cond {
	case InSync, Rejected, Overridden:
		next = cond
	case Regressed:
		if p.returned == 0 || w.overdue(said, g, p) {
			next = cond
		}
	default:
		if p.words >= twice && w.overdue(said, g, p) {
			next = cond
		}
	}
	if p.trouble != nil && p.trouble.accused && next <= Propagating {
		next = Contradicting
	}
	// A claim is taken back, or changed, on the second word that says so. It is made on the evidence above.
	if p.state >= Lagging && next != p.state {
		if p.pends++; p.pends < twice {
			return
		}
	}
	p.pends = 0
	if next != p.state {
		w.enter(said, r, p, next, w.why(said, g, p, next))
	}
}

// arrive notes that a relay says it runs what is agreed.
func (w *Monitor) arrive(said int64, r *relay, g *group, p *pair) {
	if p.behind > 0 {
		slow := p.tally != nil && p.tally.live >= 3 && 2*p.tally.there <= p.tally.live // so it was for most
		switch {
		case p.returned > 0:
			if p.state < Lagging && said > p.behind { // who was in step by its first word tells nothing of how long it takes
				w.back.add(said - p.behind)
			}
		case p.clean && (p.state < Lagging || slow) && !slices.Contains(w.set.UnmeasuredGroups, g.name):
			g.pace.add(said - p.behind)
			if g.pace != w.all {
				w.all.add(said - p.behind)
			}
		}
	}
	if p.claim == 0 {
		p.claim, p.claimed = said, r.heard
	}
	p.behind, p.returned, p.clean = 0, 0, false
	p.best = p.intent.Version
}

// byRestart is whether a group's items are taken by a process that begins, so that their time is that of the restart.
func byRestart(group string) bool { return group == ItemProgram || group == ItemConfig }

// overdue is whether a pair had all the time that propagation takes in this fleet.
func (w *Monitor) overdue(said int64, g *group, p *pair) bool {
	bound := g.pace.bound
	if p.returned > 0 {
		bound = max(bound, w.back.bound)
	}
	if w.flaw == fixedBound {
		return said-p.behind > 5*w.set.ReportInterval
	}
	switch t := p.tally; {
	case t == nil || t.live == 1 || t.live == 2: // nobody to be compared with
	case 2*t.there < t.live || t.live == 0: // most of the fleet has not arrived (or it was agreed just now): it is slow, not the relay
		bound = int64(w.set.SlowFleetFactor * float64(bound))
	case g.pace.n < paceHeld: // little is known but how long half of them took
		bound = max(bound, int64(w.set.SlowFleetFactor*float64(t.half)))
	}
	return said-max(p.behind, p.moved) > bound || said-p.behind > max(w.set.MaxBound, bound) // who moves has a slow disk, yet not for ever
}

func (w *Monitor) why(now int64, g *group, p *pair, to State) string {
	switch to {
	case Lagging:
		return fmt.Sprintf("runs %d for %.1f s, %d is agreed; the bound is %.1f s", p.has.Version, float64(now-p.behind)/1000, p.intent.Version,
			float64(g.pace.bound)/1000)
	case Rejected:
		return fmt.Sprintf("refused %d: %s", p.has.RejectedVersion, p.has.RejectReason)
	case Regressed:
		return fmt.Sprintf("runs %d, ran %d before", p.has.Version, p.best)
	case Ahead:
		if !p.agreed {
			return fmt.Sprintf("runs %d, no such item is agreed", p.has.Version)
		}
		return fmt.Sprintf("runs %d/%x, which nobody agreed on; %d/%x is", p.has.Version, p.has.Digest, p.intent.Version, p.intent.Digest)
	case Overridden:
		return "changed by a call at this relay: " + p.has.Source
	case Contradicting:
		return p.trouble.evidence[len(p.trouble.evidence)-1]
	}
	return ""
}

// enter puts a pair into a state. What goes between in step and on its way is not told: that is every change of every item.
func (w *Monitor) enter(now int64, r *relay, p *pair, to State, why string) {
	if p.state == to {
		return
	}
	from := p.state
	p.state, p.since, p.pends = to, now, 0
	if to >= Lagging {
		if p.trouble == nil {
			p.trouble = &trouble{}
		}
		p.trouble.why = cut(why, MaxReasonBytes)
		if to != Contradicting {
			p.trouble.note(why)
		}
	}
	if from >= Lagging || to >= Lagging {
		w.tell(Change{At: now, Relay: r.name, Item: p.intent.Name, From: from, To: to, Reason: cut(why, MaxReasonBytes)})
	}
	if to == InSync {
		p.trouble = nil
	}
}

// note keeps a piece of evidence: the first ones, and the newest.
func (t *trouble) note(evidence string) {
	if len(t.evidence) == MaxEvidence {
		t.evidence = t.evidence[:MaxEvidence-1]
	}
	t.evidence = append(t.evidence, cut(evidence, MaxReasonBytes))
}

func (w *Monitor) tell(c Change) {
	if len(w.history) >= MaxHistory {
		w.history = slices.Delete(w.history, 0, 1)
	}
	w.history = append(w.history, c)
	if len(w.changes) >= unsaidMost {
		w.counts.OverLimit++
		return
	}
	w.changes = append(w.changes, c)
}
