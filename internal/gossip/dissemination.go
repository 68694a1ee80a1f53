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
	gossipInterval = 100 * time.Millisecond // between rounds of gossip, while there are updates to pass on
	retransmitMult = 3                      // times log2 of the group: how often an update is passed on
	maxPiggybacked = 8                      // updates that ride on one message
)

// SetStatus changes the status that this relay publishes. A new phase is passed on at once; the figures travel with this
// relay's own messages alone.
func (m *Membership) SetStatus(now time.Duration, phase Phase, generation, flows, rate uint64) {
	m.self.Generation, m.self.Flows, m.self.Rate = generation, flows, rate
	if phase != m.self.Phase {
		m.self.Phase = phase
		m.self.Incarnation++
		m.queueBroadcast(now, &m.selfTransmits)
	}
}

// SetObservations changes the digest that this relay publishes. It rides on pings and acks, so to one relay or two in each
// probe interval: its size bounds its bytes a second.
func (m *Membership) SetObservations(d Digest) { m.observed = d }

// SetUserData changes the user data that rides on all that this relay sends. New data spreads as fast as an update.
func (m *Membership) SetUserData(now time.Duration, userData []byte) {
	if len(userData) > MaxUserData || bytes.Equal(userData, m.userData) {
		return
	}
	if m.userData = userData; len(userData) > 0 {
		m.queueBroadcast(now, &m.selfTransmits)
	}
}

// queueBroadcast has a changed update passed on: its count of transmits starts anew, and gossip is due soon.
func (m *Membership) queueBroadcast(now time.Duration, transmits *int) {
	*transmits = 0
	m.due.gossip = min(m.due.gossip, now+m.jitter(gossipInterval)/2)
}

// transmitLimit is how often an update is passed on.
func (m *Membership) transmitLimit() int {
	return retransmitMult * int(math.Ceil(math.Log2(float64(len(m.peers)+2))))
}

// gossip passes updates on to a few peers, until each was passed on often enough.
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

// piggyback completes a message by this relay's own update, the given ones, and those that were passed on least.
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

// appendMessage appends a message to a peer, with what rides on it.
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
