package consensus

import (
	"context"
	"time"
)

const peerStatusTimeout = time.Second

// The states that a relay reports to a voter that wants to bootstrap a record.
const (
	peerEmpty       = 0 // it has no record, and its directory holds no log
	peerHasRecord   = 1
	peerUnavailable = 2 // it is reserved for another bootstrap, or cannot vote
)

// peerStatus is a relay's status as it reports it to another relay.
type peerStatus struct {
	state, identity, recordID, index uint64
	voters                           voterSet
	acknowledged                     logPosition // of the asking voter, as this relay knows it
	knowsVoter                       bool        // this relay runs an engine whose voters include the asking one
	hasQuorum                        bool        // this relay runs an engine that knows a leader
}

// handlePeerStatus answers a request for this relay's status. A bootstrap ID other than 0 also
// reserves this relay for that bootstrap.
func (n *Node) handlePeerStatus(body []byte) []byte {
	r := reader{rest: body}
	identity, bootstrapID := r.uint(), r.uint()
	if err := r.finish(); err != nil {
		return rejection(err)
	}
	var status peerStatus
	status.recordID, status.index, _ = n.applier.position()
	status.voters = n.applier.voterSet()
	e := n.engine()
	status.state, status.identity = n.reserveForBootstrap(bootstrapID, status.recordID, e)
	if e != nil {
		v := e.view.Load()
		status.acknowledged = v.acknowledged[identity]
		_, status.knowsVoter = v.voters[identity]
		status.hasQuorum = v.hasLeader()
	}
	return status.encode()
}

// reserveForBootstrap returns this relay's state and identity. If the relay is empty and bootstrapID
// is not 0, the relay is reserved for that bootstrap.
func (n *Node) reserveForBootstrap(bootstrapID, recordID uint64, e *engine) (state, identity uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case recordID != 0:
		return peerHasRecord, n.identity
	case n.identity == 0 || e != nil || n.diskError != "":
		return peerUnavailable, n.identity
	case bootstrapID != 0 && n.bootstrapID != 0 && n.bootstrapID != bootstrapID && time.Since(n.bootstrapReservedAt) < bootstrapReservation:
		return peerUnavailable, n.identity
	case bootstrapID != 0:
		n.bootstrapID, n.bootstrapReservedAt = bootstrapID, time.Now()
	}
	return peerEmpty, n.identity
}

func (s peerStatus) encode() []byte {
	b := putUints([]byte{codeOK}, s.state, s.identity, s.recordID, s.index)
	return putUints(putVoterSet(b, s.voters), s.acknowledged.term, s.acknowledged.index, boolToUint(s.knowsVoter), boolToUint(s.hasQuorum))
}

func decodePeerStatus(b []byte) (s peerStatus, err error) {
	if len(b) == 0 || b[0] != codeOK {
		return s, errMalformed
	}
	r := reader{rest: b[1:]}
	s = peerStatus{state: r.uint(), identity: r.uint(), recordID: r.uint(), index: r.uint(), voters: r.voterSet(), acknowledged: logPosition{r.uint(), r.uint()}, knowsVoter: r.uint() == 1, hasQuorum: r.uint() == 1}
	return s, r.finish()
}

// queryPeer asks a relay for its status. The identity is that of the asking voter, or 0. A
// bootstrapID other than 0 also reserves the relay for that bootstrap.
func (n *Node) queryPeer(to voter, identity, bootstrapID uint64) (s peerStatus, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, peerStatusTimeout)
	defer cancel()
	b, err := n.client.call(ctx, to, requestPeerStatus, putUints(nil, identity, bootstrapID))
	if err != nil {
		return s, err
	}
	return decodePeerStatus(b)
}
