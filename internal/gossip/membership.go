// Package gossip is the membership protocol by which the relays of one installation know of each other: who is alive, and
// the status that each publishes. It is a state machine in the manner of SWIM with Lifeguard. It does no I/O and reads no
// clock: received messages, the time and the randomness are passed in, messages to send are returned. docs/design/peers.md
// says what it follows and where it departs; docs/peers.md is for operators.
package gossip

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxPeers bounds the relays that are tracked, whatever is claimed.
const MaxPeers = 1024

// never is the due time of what is not scheduled.
const never time.Duration = math.MaxInt64

// Outbound is something to send: to a relay by its name, or to an address where no name is known.
type Outbound struct {
	Name, Addr string
	Message    Message
	// DialProbe asks for a TCP connection in place of a message: call ConnectionRefused if it is refused.
	DialProbe bool
}

// Peer is this relay's view of another one.
type Peer struct {
	Update
	Since       time.Duration // when it entered its state
	LastContact time.Duration // when a datagram of its own last came; 0 for never
	Observed    Digest        // the observations that it last sent
	ObservedAt  time.Duration // when it sent them; 0 for never

	suspectedAt       time.Duration
	suspicionDeadline time.Duration // when a suspect is declared dead
	accusers          []string      // the relays that suspect it
	transmits         int           // how often its update was passed on since it changed
}

// Membership is one relay's view of the group. All calls come from one goroutine.
type Membership struct {
	// OnUserData receives the user data of other relays, if set.
	OnUserData func(from string, userData []byte)
	// NameConflicts counts datagrams that another relay sent under this one's name.
	NameConflicts int
	// RejectedPeers counts relays that were claimed beyond MaxPeers.
	RejectedPeers int

	self          Update
	selfTransmits int // how often self was sent since it changed
	observed      Digest
	userData      []byte
	leaving       bool

	peers      map[string]*Peer
	suspects   map[string]*Peer // those of peers that are suspects
	broadcasts map[string]*Peer // those of peers whose update is still to be passed on
	seeds      []string         // configured addresses

	probeOrder     []string // names still to be probed in this round
	probeTarget    *Peer    // the one being probed; nil once it has answered
	probeSeq       uint64
	indirectProbes map[uint64]indirectProbe
	seq            uint64
	syncCount      int

	awareness int // how slow this relay takes itself to be: 0 to maxAwareness
	lastTick  time.Duration
	due       schedule
	rng       *rand.Rand
}

// New makes a Membership. Self has Name, Addr, Zone and an incarnation above all that this relay ever used, such as a wall
// clock in milliseconds; if the group knows a higher one, the relay goes above that as soon as it learns of it.
func New(now time.Duration, self Update, seeds []string, rng *rand.Rand) *Membership {
	self.State, self.Phase = Alive, cmp.Or(self.Phase, Starting)
	m := &Membership{self: self, seeds: seeds, rng: rng, peers: map[string]*Peer{}, suspects: map[string]*Peer{},
		broadcasts: map[string]*Peer{}, indirectProbes: map[uint64]indirectProbe{}, lastTick: now}
	m.due.probe = now + m.jitter(probeInterval)
	m.due.sync = now // at once: no peer is known
	m.due.reconnect, m.due.expire = now+reconnectInterval, now+goneRetention
	m.due.pingReq, m.due.gossip = never, never
	return m
}

// Self is this relay's own update.
func (m *Membership) Self() Update { return m.self }

// Observations is the digest that this relay publishes.
func (m *Membership) Observations() Digest { return m.observed }

// Peers is every other relay that is tracked, ordered by name.
func (m *Membership) Peers() []*Peer {
	return slices.SortedFunc(maps.Values(m.peers), func(x, y *Peer) int { return cmp.Compare(x.Name, y.Name) })
}

// Counts is how many relays are alive, this one included, and how many are known for certain to be down: this relay has had
// a datagram of theirs, and they said that they leave or their address refused a connection.
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

// randomLivePeers draws up to n peers that are alive, without the named one.
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

// merge takes an update over if it is newer than the current one. FromItself says that its subject has sent it.
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

// setState replaces a peer's update by one of a new state or incarnation, and has it passed on.
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

// declare is setState by this relay's own verdict.
func (m *Membership) declare(now time.Duration, p *Peer, state State) {
	u := p.Update
	u.State, u.Accuser = state, m.self.Name
	m.setState(now, p, u)
}

const (
	goneRetention = 2 * time.Minute // a relay that left or is gone is remembered so long, so that an old update does not revive it
	deadRetention = 10 * time.Minute
)

// removeExpired forgets peers that have been down for long, and indirect probes that nobody answered.
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
