package gossip

import "time"

// schedule is when each periodic duty is due.
type schedule struct{ probe, pingReq, gossip, sync, reconnect, expire time.Duration }

// stallThreshold is how late a tick may be before this process is taken to have been stopped, or starved of CPU.
const stallThreshold = 2 * probeInterval

// jitter is a duration drawn from half to one and a half of d, so that relays do not act in step.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.rng.Float64()))
}

// NextTick is when Tick is due.
func (m *Membership) NextTick() time.Duration {
	next := min(m.due.probe, m.due.pingReq, m.due.gossip, m.due.sync, m.due.reconnect, m.due.expire)
	for _, p := range m.suspects {
		next = min(next, p.suspicionDeadline)
	}
	return next
}

// Tick runs every duty that is due.
func (m *Membership) Tick(now time.Duration) (out []Outbound) {
	if now-m.lastTick > stallThreshold+m.scaleByAwareness(probeInterval) {
		m.recoverFromStall(now)
	}
	m.lastTick = now
	m.expireSuspicions(now)
	if now >= m.due.pingReq {
		m.due.pingReq = never
		out = m.probeIndirectly(out)
	}
	if now >= m.due.probe {
		out = m.probe(now, out)
		m.due.probe = now + m.scaleByAwareness(probeInterval)
	}
	if now >= m.due.sync {
		out = m.sync(now, out)
	}
	if now >= m.due.reconnect {
		out = m.probeUnreachable(now, out)
	}
	if now >= m.due.gossip {
		out = m.gossip(now, out)
	}
	if now >= m.due.expire {
		m.removeExpired(now)
	}
	return out
}

// recoverFromStall drops the verdicts that were pending while this process stood still: that no answer came then says
// nothing of the others, and its own view is old.
func (m *Membership) recoverFromStall(now time.Duration) {
	m.awareness, m.probeTarget, m.due.pingReq = maxAwareness, nil, never
	for _, p := range m.suspects {
		p.suspicionDeadline = now + m.scaleByAwareness(minSuspicion)
	}
	m.due.sync = now
}
