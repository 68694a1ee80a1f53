package gossip

import "time"

// Receive processes a message from the relay named from and returns the answers.
func (m *Membership) Receive(now time.Duration, from string, msg Message) []Outbound {
	if from == m.self.Name {
		m.NameConflicts++
		return nil
	}
	wasDown := m.peers[from] != nil && m.peers[from].State >= Dead
	for _, u := range msg.Updates {
		m.merge(now, u, u.Name == from)
	}
	p := m.peers[from]
	if p == nil {
		return nil // MaxPeers is reached, or the message lacks an update about its sender
	}
	p.LastContact = now
	if len(msg.UserData) > 0 && m.OnUserData != nil {
		m.OnUserData(from, msg.UserData)
	}
	if msg.Kind == Ping || msg.Kind == Ack {
		p.Observed, p.ObservedAt = msg.Observed, now
	}
	var out []Outbound
	if wasDown && p.State == Alive {
		// The sender may know no peer, or may have the view of the other side of a partition.
		out = m.appendFullState(out, from, p.Addr, Sync)
	}
	switch msg.Kind {
	case Ping:
		out = m.appendMessage(out, p, Message{Kind: Ack, Seq: msg.Seq})
	case PingReq:
		out = m.handlePingReq(now, from, msg, out)
	case Ack:
		out = m.handleAck(from, msg, out)
	case Sync:
		out = m.appendFullState(out, from, p.Addr, Gossip)
	}
	if p.State != Alive && msg.Kind != Sync {
		// The sender is alive, but only its own refutation with a higher incarnation convinces the
		// other relays. This message tells it what to refute.
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.piggyback(Message{Kind: Gossip}, []Update{p.Update})})
	}
	return out
}
