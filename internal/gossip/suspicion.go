package gossip

import (
	"math"
	"slices"
	"time"
)

const (
	// minSuspicion, times the log10 of the number of live relays (at least 1), is how long a suspect
	// has to refute the suspicion once maxAccusers further relays have confirmed it. A group of
	// fewer than six live relays needs fewer confirmations, one of up to three needs none.
	minSuspicion = 800 * time.Millisecond
	// maxSuspicionFactor times as long is the time that a suspect has before any further relay has
	// confirmed the suspicion, if confirmations are needed.
	maxSuspicionFactor = 2.5
	maxAccusers        = 3 // besides the first one
	maxAwareness       = 4
)

// scaleByAwareness extends a timeout according to how slow this relay considers itself (Lifeguard's
// local health).
func (m *Membership) scaleByAwareness(d time.Duration) time.Duration {
	return d * time.Duration(1+m.awareness)
}

func (m *Membership) lowerHealth() { m.awareness = min(m.awareness+1, maxAwareness) }
func (m *Membership) raiseHealth() { m.awareness = max(m.awareness-1, 0) }

// confirmSuspicion adds an accuser to a suspect. The more accusers, the sooner it is declared dead.
func (m *Membership) confirmSuspicion(now time.Duration, p *Peer, accuser string) {
	if slices.Contains(p.accusers, accuser) || len(p.accusers) > maxAccusers {
		return
	}
	p.accusers = append(p.accusers, accuser)
	live, _ := m.Counts()
	shortest := minSuspicion.Seconds() * max(1, math.Log10(float64(live)))
	progress := 1.0 // 0 for the longest timeout, 1 for the shortest
	if needed := min(maxAccusers, live-3); needed > 0 {
		progress = min(math.Log(float64(len(p.accusers)))/math.Log(float64(needed+1)), 1)
	}
	timeout := shortest * (maxSuspicionFactor - (maxSuspicionFactor-1)*progress)
	p.suspicionDeadline = p.suspectedAt + m.scaleByAwareness(time.Duration(timeout*float64(time.Second)))
	if len(p.accusers) > 1 {
		m.broadcasts[p.Name] = p
		m.queueBroadcast(now, &p.transmits)
	}
}

// expireSuspicions declares the suspects dead that have not refuted the suspicion in time.
func (m *Membership) expireSuspicions(now time.Duration) {
	for _, p := range m.suspects {
		if now >= p.suspicionDeadline {
			m.declare(now, p, Dead)
		}
	}
}

// refute handles an update about this relay in a message of another relay. If the update would
// override this relay's own, refute publishes a higher incarnation.
func (m *Membership) refute(now time.Duration, u Update) {
	if u.Incarnation < m.self.Incarnation || u.Incarnation == m.self.Incarnation && (u.State == Alive || m.leaving) {
		return
	}
	if u.State == Suspect {
		m.lowerHealth() // other relays did not get answers in time
	}
	m.self.Incarnation = u.Incarnation + 1
	m.queueBroadcast(now, &m.selfTransmits)
}

// ConnectionRefused reports that a relay's address refused a connection, so no process is running
// there. It is ignored if the relay's incarnation has changed meanwhile.
func (m *Membership) ConnectionRefused(now time.Duration, name string, incarnation uint64) {
	if p := m.peers[name]; p != nil && p.Incarnation == incarnation && (p.State == Suspect || p.State == Dead) {
		m.declare(now, p, Gone)
	}
}
