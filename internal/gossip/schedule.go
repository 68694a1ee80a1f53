package gossip

import "time"

// schedule holds the times at which the periodic tasks are due.
type schedule struct{ probe, pingReq, gossip, sync, reconnect, expire time.Duration }

// stallThreshold is how late a tick may be before the process is assumed to have been stopped or
// starved of CPU. Tick adds one probe interval, scaled by awareness.
const stallThreshold = 2 * probeInterval

// jitter returns a random duration between d/2 and 3*d/2, so that relays do not act in lockstep.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.rng.Float64()))
}

// NextTick returns the time at which Tick is due.
func (m *Membership) NextTick() time.Duration {
	next := min(m.due.probe, m.due.pingReq, m.due.gossip, m.due.sync, m.due.reconnect, m.due.expire)
	for _, p := range m.suspects {
		next = min(next, p.suspicionDeadline)
	}
	return next
}

// Tick runs all tasks that are due and returns the messages to send.
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

// recoverFromStall drops the current probe, restarts the deadlines of all suspicions and schedules a
// sync at once. While this process was not running, missing answers say nothing about other relays,
// and its own view has become outdated.
func (m *Membership) recoverFromStall(now time.Duration) {
	m.awareness, m.probeTarget, m.due.pingReq = maxAwareness, nil, never
	for _, p := range m.suspects {
		p.suspicionDeadline = now + m.scaleByAwareness(minSuspicion)
	}
	m.due.sync = now
}
