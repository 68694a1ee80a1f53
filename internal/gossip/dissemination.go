package gossip

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval = 100 * time.Millisecond // between gossip rounds while there are updates to pass on
	retransmitMult = 3                      // an update is sent retransmitMult*log2(group size) times
	maxPiggybacked = 8                      // updates attached to one message
)

// SetStatus changes the status that this relay publishes. A new phase is gossiped at once; the
// other values travel only with messages that this relay sends itself.
func (m *Membership) SetStatus(now time.Duration, phase Phase, generation, flows, rate uint64) {
	m.self.Generation, m.self.Flows, m.self.Rate = generation, flows, rate
	if phase != m.self.Phase {
		m.self.Phase = phase
		m.self.Incarnation++
		m.queueBroadcast(now, &m.selfTransmits)
	}
}

// SetObservations changes the digest that this relay publishes. It is attached only to pings and
// acks, so it is sent to one or two relays per probe interval and its size bounds its bandwidth.
func (m *Membership) SetObservations(d Digest) { m.observed = d }

// SetUserData changes the user data that is attached to every message of this relay, except for
// those that exchange the full state. New data spreads as fast as an update. Data longer than
// MaxUserData is ignored.
func (m *Membership) SetUserData(now time.Duration, userData []byte) {
	if len(userData) > MaxUserData || bytes.Equal(userData, m.userData) {
		return
	}
	if m.userData = userData; len(userData) > 0 {
		m.queueBroadcast(now, &m.selfTransmits)
	}
}

// queueBroadcast resets the transmit count of a changed update and schedules a gossip round.
func (m *Membership) queueBroadcast(now time.Duration, transmits *int) {
	*transmits = 0
	m.due.gossip = min(m.due.gossip, now+m.jitter(gossipInterval)/2)
}

// transmitLimit returns how many times an update is passed on.
func (m *Membership) transmitLimit() int {
	return retransmitMult * int(math.Ceil(math.Log2(float64(len(m.peers)+2))))
}

// gossip sends the queued updates to a few peers. It reschedules itself until each update has
// reached its transmit limit.
func (m *Membership) gossip(now time.Duration, out []Outbound) []Outbound {
	m.due.gossip = never
	for _, p := range m.randomLivePeers(fanout, "") {
		if msg := m.piggyback(Message{Kind: Gossip}, nil); len(msg.Updates) > 1 || m.selfTransmits <= m.transmitLimit() {
			out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: msg})
			m.due.gossip = now + m.jitter(gossipInterval)
		}
	}
	return out
}

// piggyback adds to msg this relay's own update, the updates in first, the queued updates with the
// fewest transmits, and the user data; to a ping or an ack also the observations.
func (m *Membership) piggyback(msg Message, first []Update) Message {
	msg.Updates, msg.UserData = append([]Update{m.self}, first...), m.userData
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.Observed = m.observed
	}
	m.selfTransmits++
	queued := slices.SortedFunc(maps.Values(m.broadcasts), func(x, y *Peer) int {
		return cmp.Or(cmp.Compare(x.transmits, y.transmits), cmp.Compare(x.Name, y.Name))
	})
	for _, p := range queued[:min(len(queued), maxPiggybacked)] {
		if p.transmits++; p.transmits >= m.transmitLimit() {
			delete(m.broadcasts, p.Name)
		}
		msg.Updates = append(msg.Updates, p.Update)
	}
	return msg
}

// appendMessage appends msg, addressed to p and with piggybacked updates, to out.
func (m *Membership) appendMessage(out []Outbound, p *Peer, msg Message) []Outbound {
	return append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(msg, nil)})
}

// Leave announces that this relay is about to stop.
func (m *Membership) Leave(now time.Duration) (out []Outbound) {
	m.leaving = true
	m.self.State, m.self.Phase = Left, Leaving
	m.self.Incarnation++
	m.selfTransmits = 0
	for _, p := range m.randomLivePeers(4*fanout, "") {
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(Message{Kind: Gossip}, nil)})
	}
	return out
}
