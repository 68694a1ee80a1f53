package consensus

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// leaderCandidates is whom to ask for the leader: itself if it is known, then the voters.
func (n *Node) leaderCandidates() []voter {
	list := n.otherVoters()
	if m, here, ok := n.knownLeader(); ok && !here {
		list = append([]voter{m}, list...)
	}
	return list
}

const (
	forwardTimeout = time.Second // of what is passed on to the leader and may be lost
)

type leadershipChange struct {
	leading bool
	term    uint64
}

func (n *Node) announceLeadership(leading bool, term uint64) {
	for {
		select {
		case n.leadership <- leadershipChange{leading, term}:
			return
		default:
		}
		select { // the oldest makes room: the last state is always told
		case <-n.leadership:
			n.countDropped("led")
		default:
		}
	}
}

// tasks are the voters to ask, the likeliest first: the leader, then from a place that differs by name, so that followers spread.
func (n *Node) otherVoters() (list []voter) {
	ms := n.applier.voterSet()
	addr := map[string]string{}
	for _, id := range ms.ids() {
		addr[ms[id].Name] = ms[id].Addr
	}
	for name, a := range n.options.Voters {
		if _, ok := addr[name]; !ok {
			addr[name] = a
		}
	}
	delete(addr, n.options.Name)
	names := slices.Sorted(maps.Keys(addr))
	h := fnv.New32a()
	h.Write([]byte(n.options.Name))
	for i := range names {
		name := names[(i+int(h.Sum32()%uint32(len(names))))%len(names)]
		list = append(list, voter{name, addr[name]})
	}
	return list
}

// knownLeader is the leader as far as is known here: by the engine, or by the stream.
func (n *Node) knownLeader() (m voter, here, known bool) {
	if e := n.engine(); e != nil {
		v := e.view.Load()
		if v.isLeader {
			return voter{n.options.Name, n.address}, true, true
		}
		if m, ok := v.voters[v.leader]; ok && v.diskError == nil {
			return m, false, true
		}
	}
	n.mu.Lock()
	f := n.followState
	n.mu.Unlock()
	if f.leader != "" && time.Since(f.updatedAt) < streamTimeout && f.leader != n.options.Name {
		for _, m := range n.otherVoters() {
			if m.Name == f.leader {
				return m, false, true
			}
		}
	}
	return m, false, false
}

// atLeader has the leader do what a request asks for: here, or by passing it on, once. A body begins with how often that was done.
func (n *Node) atLeader(ctx context.Context, kind byte, body []byte, here func(reader) []byte) []byte {
	r := reader{rest: body}
	hops := r.uint()
	m, leads, known := n.knownLeader()
	switch {
	case r.err != nil:
		return rejection(r.err)
	case leads:
		return here(r)
	case !known || hops > 0:
		return []byte{codeNoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	b, err := n.client.call(ctx, m.Name, m.Addr, kind, append(putUints(nil, hops+1), r.rest...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return b
}
