package policy

import (
	"math"
	"slices"
	"time"
)

// This file is what servers and connections report.

// ProbeResult takes the answer to a probe.
func (b *Balancer) ProbeResult(now time.Duration, id ServerID, result Result, report Report) {
	s := b.byID[id]
	if s != nil {
		s.probing = false
		switch result {
		case OK:
			b.answers(s)
			b.take(now, s, report)
			// A message waits for what is piled up, or where that is not told for what is asked beyond capacity.
			full := report.Backlog > b.messageAim.Seconds()/2 || report.Backlog < 0 && report.Load > over
			if full && now-s.relieved >= b.lag() {
				b.relieve(now, s)
			}
		case Full: // it answers, but too many ask: not a failure
			b.answers(s)
		case NotSent: // it was not asked
		default:
			if b.fail(now, s); s.bad && result == Timeout {
				b.empty(s) // it says nothing at all, and so nothing to its clients
			}
		}
	}
	waiters := b.waiters[id]
	delete(b.waiters, id)
	for _, w := range waiters {
		if r := b.requests[w]; r != nil && r.waiting > 0 {
			if r.waiting--; r.waiting == 0 {
				b.place(now, r)
			}
		}
	}
}

// take learns from a report. Any field may be missing.
func (b *Balancer) take(now time.Duration, s *server, p Report) {
	if !(p.Load >= 0) {
		p.Load = p.Util
	}
	if !(p.Load >= 0) || math.IsInf(p.Load, 0) {
		return
	}
	if !s.has || p != s.report {
		s.since = now
	}
	if p != s.told {
		s.told, s.before, s.toldAt = p, s.told.Load, now
	}
	s.recent = slices.DeleteFunc(s.recent, func(x placement) bool { return now-x.at >= 2*b.horizon })
	s.report, s.reported, s.has = p, now, true
	b.zones[s.Zone].fill += learn * (min(p.Load, 2) - b.zones[s.Zone].fill)
	if p.Connections > 0 && p.Load > 0.05 && b.warmth(now, s) == 1 { // an idle server tells nothing of k
		// Connections against load over capacity: pooled over the kind, and for the server itself.
		k := b.kinds[s.Kind]
		if k == nil {
			k = &kind{}
			b.kinds[s.Kind] = k
		}
		k.inflight = k.inflight*(1-learn/4) + p.Connections
		k.capacity = k.capacity*(1-learn/4) + p.Load*s.Weight
		s.capacity = (s.capacity*s.reports + p.Connections/p.Load) / (s.reports + 1)
		s.reports = min(s.reports+1, 4*priorReports)
	}
}

// UpdateLoad says what load an open connection has now.
func (b *Balancer) UpdateLoad(now time.Duration, id RequestID, load float64) {
	if r := b.requests[id]; r != nil && load > 0 && !math.IsInf(load, 0) {
		if b.classLoad[r.Class] == 0 {
			b.classLoad[r.Class] = load
		}
		b.classLoad[r.Class] += learn / 4 * (load - b.classLoad[r.Class])
		r.load = load
	}
}

// ObserveLatency says how long a message takes at the server of an open connection.
func (b *Balancer) ObserveLatency(now time.Duration, id RequestID, message time.Duration) {
	r := b.requests[id]
	if r == nil || r.at == nil {
		return
	}
	s := r.at
	if aim := b.set.Classes[r.Class].MessageLatencyObjective; message > aim {
		s.report.Load, s.since = max(s.report.Load, 1), now
	} else if message < aim/2 {
		return
	}
	b.relieve(now, s)
}
