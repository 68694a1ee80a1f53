package gossip

import "time"

const (
	syncInterval      = 15 * time.Second // between state exchanges, in a group of up to syncIntervalPeers
	syncIntervalPeers = 20               // in larger groups the interval grows in proportion, to limit bandwidth
	joinInterval      = time.Second      // between attempts to reach the seeds while no peer is known
	seedSyncRatio     = 8                // every eighth exchange also includes a seed
)

// sync exchanges the full state with one peer, and in every seedSyncRatio-th call with a seed too.
// Without a live peer it exchanges it with all seeds.
func (m *Membership) sync(now time.Duration, out []Outbound) []Outbound {
	live := m.randomLivePeers(1, "")
	m.syncCount++
	m.due.sync = now + time.Duration(float64(m.jitter(syncInterval))*max(1, float64(len(m.peers))/syncIntervalPeers))
	if len(live) == 0 {
		m.due.sync = now + m.jitter(joinInterval)
		for _, addr := range m.seeds {
			out = m.appendFullState(out, "", addr, Sync)
		}
	} else {
		out = m.appendFullState(out, live[0].Name, live[0].Addr, Sync)
		if len(m.seeds) > 0 && m.syncCount%seedSyncRatio == 0 {
			out = m.appendFullState(out, "", m.seeds[m.rng.IntN(len(m.seeds))], Sync)
		}
	}
	return out
}

// appendFullState appends messages with all updates, in as many datagrams as needed. Each datagram is
// self-contained: if one is lost, only its updates are missing until the next exchange. Only the
// first one has the given kind, so that a Sync is answered once.
func (m *Membership) appendFullState(out []Outbound, name, addr string, kind Kind) []Outbound {
	updates := []Update{m.self}
	for _, p := range m.Peers() {
		updates = append(updates, p.Update)
	}
	const maxContent = MaxDatagramSize - Overhead
	for len(updates) > 0 {
		msg := Message{Kind: kind, Updates: updates[:min(len(updates), maxUpdates)]}
		if kind = Gossip; updates[0].Name != m.self.Name {
			msg.Updates = append([]Update{m.self}, msg.Updates[:min(len(msg.Updates), maxUpdates-1)]...)
		}
		_, fit := msg.Append(nil, maxContent)
		msg.Updates = msg.Updates[:max(fit, 1)]
		out = append(out, Outbound{Name: name, Addr: addr, Message: msg})
		if used := len(msg.Updates); msg.Updates[0].Name == m.self.Name && updates[0].Name != m.self.Name {
			updates = updates[max(used-1, 1):]
		} else {
			updates = updates[used:]
		}
	}
	return out
}
