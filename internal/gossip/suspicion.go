package gossip

import (
	"math"
	"slices"
	"time"
)

const (
	// minSuspicion times log10 of the group is how long a suspect has to refute when maxAccusers suspect it.
	minSuspicion = 800 * time.Millisecond
	// maxSuspicionFactor times that is how long it has with one accuser.
	maxSuspicionFactor = 2.5
	maxAccusers        = 3
	maxAwareness       = 4
)

// scaleByAwareness lengthens a timeout by how slow this relay takes itself to be (Lifeguard's local health).
func (m *Membership) scaleByAwareness(d time.Duration) time.Duration {
	return d * time.Duration(1+m.awareness)
}

func (m *Membership) lowerHealth() { m.awareness = min(m.awareness+1, maxAwareness) }
func (m *Membership) raiseHealth() { m.awareness = max(m.awareness-1, 0) }

// confirmSuspicion adds an accuser of a suspect: the more there are, the sooner it is declared dead.
func (m *Membership) confirmSuspicion(now time.Duration, p *Peer, accuser string) {
	if slices.Contains(p.accusers, accuser) || len(p.accusers) > maxAccusers {
		return
	}
	p.accusers = append(p.accusers, accuser)
	live, _ := m.Counts()
	shortest := minSuspicion.Seconds() * max(1, math.Log10(float64(live)))
	progress := 1.0 // from the longest timeout to the shortest
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

// expireSuspicions declares dead whoever has not refuted a suspicion in time.
func (m *Membership) expireSuspicions(now time.Duration) {
	for _, p := range m.suspects {
		if now >= p.suspicionDeadline {
			m.declare(now, p, Dead)
		}
	}
}

// refute answers an update about this relay that is not its own by a higher incarnation.
func (m *Membership) refute(now time.Duration, u Update) {
	if u.Incarnation < m.self.Incarnation || u.Incarnation == m.self.Incarnation && (u.State == Alive || m.leaving) {
		return
	}
	if u.State == Suspect {
		m.lowerHealth() // others found this relay slow
	}
	m.self.Incarnation = u.Incarnation + 1
	m.queueBroadcast(now, &m.selfTransmits)
}

// ConnectionRefused says that a relay's address refused a connection: no process is there.
func (m *Membership) ConnectionRefused(now time.Duration, name string, incarnation uint64) {
	if p := m.peers[name]; p != nil && p.Incarnation == incarnation && (p.State == Suspect || p.State == Dead) {
		m.declare(now, p, Gone)
	}
}
