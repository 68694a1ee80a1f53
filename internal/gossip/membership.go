// Package gossip implements the protocol with which the relays of one installation track each
// other: which relays are alive, and the status that each one publishes. It is a state machine that
// follows SWIM with the Lifeguard extensions. It does no I/O and reads no clock: received messages,
// the time and the randomness are passed in, and messages to send are returned.
// docs/design/peers.md describes where it departs from SWIM; docs/peers.md is for operators.
package gossip

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxPeers is the maximum number of relays that are tracked, even if other relays report more.
const MaxPeers = 1024

// never is the due time of a task that is not scheduled.
const never time.Duration = math.MaxInt64

// Outbound is a message to send to Addr. Name is the relay's name, empty if it is not known.
type Outbound struct {
	Name, Addr string
	Message    Message
	// DialProbe asks for a TCP connection instead of a message. If the connection is refused, the
	// caller calls ConnectionRefused.
	DialProbe bool
}

// Peer is this relay's view of another one.
type Peer struct {
	Update
	Since       time.Duration // when it entered its state
	LastContact time.Duration // when the last datagram from it was received; 0 if none was
	Observed    Digest        // the observations that it last sent
	ObservedAt  time.Duration // when they were received; 0 if none were

	suspectedAt       time.Duration
	suspicionDeadline time.Duration // when a suspect is declared dead
	accusers          []string      // the relays that suspect it
	transmits         int           // how often its update was passed on since it changed
}

// Membership is one relay's view of the group. All calls must come from one goroutine.
type Membership struct {
	// OnUserData receives the user data of other relays, if set.
	OnUserData func(from string, userData []byte)
	// NameConflicts counts datagrams that another relay sent under this relay's name.
	NameConflicts int
	// RejectedPeers counts updates about new relays that were dropped because of MaxPeers.
	RejectedPeers int

	self          Update
	selfTransmits int // how often self was sent since it changed
	observed      Digest
	userData      []byte
	leaving       bool

	peers      map[string]*Peer
	suspects   map[string]*Peer // the peers in state Suspect
	broadcasts map[string]*Peer // the peers with an update that is still to be passed on
	seeds      []string         // configured addresses

	probeOrder     []string // names of the peers that are still to be probed in this round
	probeTarget    *Peer    // the peer being probed; nil once it has answered
	probeSeq       uint64
	indirectProbes map[uint64]indirectProbe
	seq            uint64
	syncCount      int

	awareness int // Lifeguard's local health: how slow this relay considers itself, 0 to maxAwareness
	lastTick  time.Duration
	due       schedule
	rng       *rand.Rand
}

// maxFirstSeq is the limit of the first sequence number of probes.
const maxFirstSeq = 1 << 32

// New returns a Membership. Self must have Name, Addr, Zone and an incarnation higher than any that
// this relay used before, such as the wall clock in milliseconds. If the group has a higher one, the
// relay exceeds it as soon as it receives it.
func New(now time.Duration, self Update, seeds []string, rng *rand.Rand) *Membership {
	self.State, self.Phase = Alive, cmp.Or(self.Phase, Starting)
	m := &Membership{self: self, seeds: seeds, rng: rng, peers: map[string]*Peer{}, suspects: map[string]*Peer{},
		broadcasts: map[string]*Peer{}, indirectProbes: map[uint64]indirectProbe{}, lastTick: now,
		seq: rng.Uint64N(maxFirstSeq)} // an ack for a probe of an earlier process of this relay must not match
	m.due.probe = now + m.jitter(probeInterval)
	m.due.sync = now // at once, since no peer is known yet
	m.due.reconnect, m.due.expire = now+reconnectInterval, now+goneRetention
	m.due.pingReq, m.due.gossip = never, never
	return m
}

// Self returns this relay's own update.
func (m *Membership) Self() Update { return m.self }

// Observations returns the digest that this relay publishes.
func (m *Membership) Observations() Digest { return m.observed }

// Peers returns all other tracked relays, sorted by name.
func (m *Membership) Peers() []*Peer {
	return slices.SortedFunc(maps.Values(m.peers), func(x, y *Peer) int { return cmp.Compare(x.Name, y.Name) })
}

// Counts returns how many relays are alive or suspect, this one included, and how many are certain to
// be down. A relay is certain to be down if this relay has received a datagram from it before, and it
// has announced that it leaves or its address has refused a connection.
func (m *Membership) Counts() (live, down int) {
	live = 1
	for _, p := range m.peers {
		switch {
		case p.State <= Suspect:
			live++
		case p.State >= Gone && p.LastContact > 0:
			down++
		}
	}
	return live, down
}

// randomLivePeers returns up to n randomly chosen peers that are alive or suspect, without the peer
// named by except.
func (m *Membership) randomLivePeers(n int, except string) []*Peer {
	var live []*Peer
	for _, p := range m.Peers() {
		if p.State <= Suspect && p.Name != except {
			live = append(live, p)
		}
	}
	m.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// merge applies an update if it is newer than the current one. An update of the same incarnation and
// state can still confirm a suspicion or, if fromItself is true, change the generation, flows and rate.
// fromItself is true if the update was sent by the relay that it is about.
func (m *Membership) merge(now time.Duration, u Update, fromItself bool) {
	if u.Name == m.self.Name {
		m.refute(now, u)
		return
	}
	if u.Addr == "" {
		return
	}
	p := m.peers[u.Name]
	switch {
	case p == nil:
		if len(m.peers) >= MaxPeers {
			m.RejectedPeers++
			return
		}
		p = &Peer{Update: u}
		m.peers[u.Name] = p
		m.setState(now, p, u)
	case u.Incarnation > p.Incarnation || u.Incarnation == p.Incarnation && u.State > p.State:
		m.setState(now, p, u)
	case u.Incarnation == p.Incarnation && u.State == Suspect && p.State == Suspect:
		m.confirmSuspicion(now, p, u.Accuser)
	case fromItself && u.Incarnation == p.Incarnation && u.State == p.State:
		p.Generation, p.Flows, p.Rate = u.Generation, u.Flows, u.Rate
	}
}

// setState stores an update with a new state or incarnation and queues it for broadcast.
func (m *Membership) setState(now time.Duration, p *Peer, u Update) {
	p.Update, p.Since, p.accusers = u, now, nil
	delete(m.suspects, p.Name)
	m.broadcasts[p.Name] = p
	if u.State == Suspect {
		m.suspects[p.Name], p.suspectedAt = p, now
		m.confirmSuspicion(now, p, u.Accuser)
	}
	m.queueBroadcast(now, &p.transmits)
}

// declare sets a peer's state to the one that this relay has determined.
func (m *Membership) declare(now time.Duration, p *Peer, state State) {
	u := p.Update
	u.State, u.Accuser = state, m.self.Name
	m.setState(now, p, u)
}

const (
	// goneRetention is how long a relay that left or is gone stays in the table, so that an old
	// update does not add it again.
	goneRetention = 2 * time.Minute
	// deadRetention is the same for a dead relay, which may be partitioned away.
	deadRetention = 10 * time.Minute
)

// removeExpired drops peers that have been down longer than their retention time, and indirect
// probes that were not answered.
func (m *Membership) removeExpired(now time.Duration) {
	m.due.expire = now + goneRetention
	for name, p := range m.peers {
		if p.State >= Gone && now-p.Since > goneRetention || p.State == Dead && now-p.Since > deadRetention {
			delete(m.peers, name)
			delete(m.broadcasts, name)
		}
	}
	for seq, probe := range m.indirectProbes {
		if now >= probe.expires {
			delete(m.indirectProbes, seq)
		}
	}
}
