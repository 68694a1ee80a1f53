package consensus

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// forwardTimeout limits one attempt to send reports or a change proposal to the leader. Both may be
// lost.
const forwardTimeout = time.Second

// leadershipChange holds the arguments of a queued call of Options.OnLeadership.
type leadershipChange struct {
	leading bool
	term    uint64
}

// announceLeadership queues a call of OnLeadership. If the queue is full, it drops the oldest call,
// so that the latest state is always delivered.
func (n *Node) announceLeadership(leading bool, term uint64) {
	for {
		select {
		case n.leadership <- leadershipChange{leading, term}:
			return
		default:
		}
		select {
		case <-n.leadership:
			n.countDropped(droppedLeadership)
		default:
		}
	}
}

// otherVoters returns the voters except this relay: those in the record, and those in the options
// that the record does not name. The list is rotated by a hash of this relay's name, so that the
// followers spread over the voters.
func (n *Node) otherVoters() (list []voter) {
	voters := n.applier.voterSet()
	addresses := map[string]string{}
	for _, id := range voters.ids() {
		addresses[voters[id].name] = voters[id].address
	}
	for name, address := range n.options.Voters {
		if _, ok := addresses[name]; !ok {
			addresses[name] = address
		}
	}
	delete(addresses, n.options.Name)
	names := slices.Sorted(maps.Keys(addresses))
	h := fnv.New32a()
	h.Write([]byte(n.options.Name))
	for i := range names {
		name := names[(i+int(h.Sum32()%uint32(len(names))))%len(names)]
		list = append(list, voter{name, addresses[name]})
	}
	return list
}

// knownLeader returns the leader that this relay knows, from its engine or else from the stream that
// it follows.
func (n *Node) knownLeader() (leader voter, isSelf, known bool) {
	if e := n.engine(); e != nil {
		v := e.view.Load()
		if v.isLeader {
			return voter{n.options.Name, n.address}, true, true
		}
		if leader, ok := v.voters[v.leader]; ok && v.diskError == nil {
			return leader, false, true
		}
	}
	n.mu.Lock()
	f := n.followState
	n.mu.Unlock()
	if f.leader != "" && time.Since(f.updatedAt) < streamTimeout && f.leader != n.options.Name {
		for _, v := range n.otherVoters() {
			if v.name == f.leader {
				return v, false, true
			}
		}
	}
	return voter{}, false, false
}

// leaderCandidates returns the relays to contact in order to reach the leader: the leader itself if
// it is known, then the voters.
func (n *Node) leaderCandidates() []voter {
	list := n.otherVoters()
	if leader, isSelf, ok := n.knownLeader(); ok && !isSelf {
		list = append([]voter{leader}, list...)
	}
	return list
}

// handleAtLeader handles a request here if this relay is the leader, and otherwise forwards it to
// the leader. The body begins with the number of times that the request was forwarded: it is
// forwarded once at most.
func (n *Node) handleAtLeader(ctx context.Context, kind requestKind, body []byte, handle func(reader) []byte) []byte {
	r := reader{rest: body}
	hops := r.uint()
	leader, isSelf, known := n.knownLeader()
	switch {
	case r.err != nil:
		return rejection(r.err)
	case isSelf:
		return handle(r)
	case !known || hops > 0:
		return []byte{codeNoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := n.client.call(ctx, leader, kind, append(putUints(nil, hops+1), r.rest...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return response
}
