package gossip

import "time"

// Times are for an awareness of 0.
const (
	probeInterval     = 500 * time.Millisecond // one peer is pinged in each
	pingReqDelay      = 200 * time.Millisecond // without an answer by then, others are asked to ping it
	reconnectInterval = 2 * time.Second        // how often a peer that looks down is pinged

	fanout            = 3   // peers drawn for a ping request or a round of gossip
	maxIndirectProbes = 256 // pings on behalf of others that are under way
)

// indirectProbe is a ping that another relay has asked for.
type indirectProbe struct {
	requester string
	seq       uint64 // the requester's
	expires   time.Duration
}

// probe ends the last probe, which makes its target a suspect if it has not answered, and begins the next.
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

// startProbeRound draws the order in which every peer is probed once.
func (m *Membership) startProbeRound() {
	for _, p := range m.Peers() {
		m.probeOrder = append(m.probeOrder, p.Name)
	}
	m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// probeFailed suspects a peer. It is the first to be sent the suspicion, so that it can refute it, and its port is dialled:
// a refusal there ends all doubt.
func (m *Membership) probeFailed(now time.Duration, p *Peer, out []Outbound) []Outbound {
	m.lowerHealth() // the fault may be this relay's own
	if p.State == Suspect {
		m.confirmSuspicion(now, p, m.self.Name)
	} else {
		m.declare(now, p, Suspect)
	}
	return append(out,
		Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(Message{Kind: Ping, Seq: 0}, []Update{p.Update})},
		Outbound{Name: p.Name, Addr: p.Addr, DialProbe: true, Message: Message{Updates: []Update{p.Update}}})
}

// probeIndirectly has other relays ping the target, and pings it once more: the first ping may have been lost.
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

// handlePingReq pings a relay on behalf of another.
func (m *Membership) handlePingReq(now time.Duration, from string, msg Message, out []Outbound) []Outbound {
	if len(m.indirectProbes) >= maxIndirectProbes || msg.TargetAddr == "" {
		return out
	}
	m.seq++
	m.indirectProbes[m.seq] = indirectProbe{from, msg.Seq, now + 4*probeInterval}
	return append(out, Outbound{Name: msg.Target, Addr: msg.TargetAddr, Message: m.piggyback(Message{Kind: Ping, Seq: m.seq}, nil)})
}

// handleAck ends the probe that it answers, or passes the answer on to the relay that asked for an indirect probe.
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

// probeUnreachable pings one peer that looks down. A relay that was cut off, or is back at its old address and knows no
// peer, learns so what the group holds of it, and answers with a higher incarnation.
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
