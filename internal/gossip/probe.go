package gossip

import "time"

// The durations apply at awareness 0; probeInterval and pingReqDelay grow with it.
const (
	probeInterval     = 500 * time.Millisecond // between probes; one peer is pinged in each interval
	pingReqDelay      = 200 * time.Millisecond // without an answer by then, other relays are asked to ping
	reconnectInterval = 2 * time.Second        // between pings of peers that look down

	fanout            = 3   // peers chosen for a ping request or a gossip round
	maxIndirectProbes = 256 // unanswered pings on behalf of other relays
)

// indirectProbe is a ping that another relay has requested.
type indirectProbe struct {
	requester string
	seq       uint64 // the sequence number of the requester's probe
	expires   time.Duration
}

// probe ends the previous probe and starts the next one. A target that has not answered becomes a
// suspect.
func (m *Membership) probe(now time.Duration, out []Outbound) []Outbound {
	if target := m.probeTarget; target != nil {
		m.probeTarget, m.due.pingReq = nil, never
		if target.State <= Suspect && m.peers[target.Name] == target {
			out = m.probeFailed(now, target, out)
		}
	}
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if p == nil || p.State > Suspect {
				continue
			}
			m.seq++
			m.probeTarget, m.probeSeq, m.due.pingReq = p, m.seq, now+m.scaleByAwareness(pingReqDelay)
			return m.appendMessage(out, p, Message{Kind: Ping, Seq: m.seq})
		}
		m.startProbeRound()
	}
	return out
}

// startProbeRound shuffles the peers into the order in which each is probed once.
func (m *Membership) startProbeRound() {
	for _, p := range m.Peers() {
		m.probeOrder = append(m.probeOrder, p.Name)
	}
	m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// probeFailed suspects a peer. The peer itself is sent the suspicion first, so that it can refute it,
// and its port is dialed: a refused connection proves that no process is running.
func (m *Membership) probeFailed(now time.Duration, p *Peer, out []Outbound) []Outbound {
	m.lowerHealth() // this relay itself may be the slow one
	if p.State == Suspect {
		m.confirmSuspicion(now, p, m.self.Name)
	} else {
		m.declare(now, p, Suspect)
	}
	return append(out,
		Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(Message{Kind: Ping, Seq: 0}, []Update{p.Update})},
		Outbound{Name: p.Name, Addr: p.Addr, DialProbe: true, Message: Message{Updates: []Update{p.Update}}})
}

// probeIndirectly asks other relays to ping the target, and pings it again in case the first ping
// was lost.
func (m *Membership) probeIndirectly(out []Outbound) []Outbound {
	target := m.probeTarget
	if target == nil {
		return out
	}
	out = m.appendMessage(out, target, Message{Kind: Ping, Seq: m.probeSeq})
	for _, other := range m.randomLivePeers(fanout, target.Name) {
		out = m.appendMessage(out, other, Message{Kind: PingReq, Seq: m.probeSeq, Target: target.Name, TargetAddr: target.Addr})
	}
	return out
}

// handlePingReq pings a relay on behalf of the relay named from.
func (m *Membership) handlePingReq(now time.Duration, from string, msg Message, out []Outbound) []Outbound {
	if len(m.indirectProbes) >= maxIndirectProbes || msg.TargetAddr == "" {
		return out
	}
	m.seq++
	m.indirectProbes[m.seq] = indirectProbe{from, msg.Seq, now + 4*probeInterval}
	return append(out, Outbound{Name: msg.Target, Addr: msg.TargetAddr, Message: m.piggyback(Message{Kind: Ping, Seq: m.seq}, nil)})
}

// handleAck ends the probe that is answered, or forwards the ack to the relay that requested an
// indirect probe.
func (m *Membership) handleAck(from string, msg Message, out []Outbound) []Outbound {
	if m.probeTarget != nil && msg.Seq == m.probeSeq && (from == m.probeTarget.Name || msg.Target == m.probeTarget.Name) {
		m.probeTarget, m.due.pingReq = nil, never
		m.raiseHealth()
	}
	if probe, ok := m.indirectProbes[msg.Seq]; ok {
		delete(m.indirectProbes, msg.Seq)
		if requester := m.peers[probe.requester]; requester != nil {
			out = m.appendMessage(out, requester, Message{Kind: Ack, Seq: probe.seq, Target: from})
		}
	}
	return out
}

// probeUnreachable pings one random peer that looks down. A relay that was partitioned away, or that
// restarted at its old address without any peers, learns from the ping how the group sees it and
// answers with a higher incarnation.
func (m *Membership) probeUnreachable(now time.Duration, out []Outbound) []Outbound {
	var down []*Peer
	for _, p := range m.Peers() {
		if p.State >= Dead {
			down = append(down, p)
		}
	}
	m.due.reconnect = now + m.jitter(reconnectInterval)
	if len(down) > 0 {
		p := down[m.rng.IntN(len(down))]
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(Message{Kind: Ping}, []Update{p.Update})})
	}
	return out
}
