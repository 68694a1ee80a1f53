package consensus

import (
	"context"
	"time"
)

// peerStatus tells who this relay is; a founder's also binds the other to the record that it is about to begin.
const (
	peerEmpty       = 0 // no record is known, and no log held
	peerHasRecord   = 1
	peerUnavailable = 2 // neither: bound to another, or no voter
)

type peerStatus struct {
	state, identity, recordID, index uint64
	voters                           voterSet
	acknowledged                     logPosition // of who asks, as it is remembered
	knowsVoter                       bool        // it has an engine that knows who asks
	hasQuorum                        bool        // it has one that hears a leader
}

func (n *Node) handlePeerStatus(from string, body []byte) []byte {
	r := reader{rest: body}
	asker, bind := r.uint(), r.uint()
	if err := r.finish(); err != nil {
		return rejection(err)
	}
	h := peerStatus{}
	h.recordID, h.index, _ = n.applier.position()
	h.voters = n.applier.voterSet()
	e := n.engine()
	n.mu.Lock()
	h.identity = n.identity
	switch {
	case h.recordID != 0:
		h.state = peerHasRecord
	case n.identity == 0 || e != nil || n.diskError != "":
		h.state = peerUnavailable
	case bind != 0 && n.bootstrapID != 0 && n.bootstrapID != bind && time.Since(n.bootstrapReservedAt) < bootstrapReservation:
		h.state = peerUnavailable
	case bind != 0:
		n.bootstrapID, n.bootstrapReservedAt = bind, time.Now()
	}
	n.mu.Unlock()
	if e != nil {
		v := e.view.Load()
		h.acknowledged = v.acknowledged[asker]
		_, h.knowsVoter = v.voters[asker]
		h.hasQuorum = v.leader != 0 && v.diskError == nil
	}
	b := putUints([]byte{codeOK}, h.state, h.identity, h.recordID, h.index)
	return putUints(putVoterSet(b, h.voters), h.acknowledged.term, h.acknowledged.index, boolToUint(h.knowsVoter), boolToUint(h.hasQuorum))
}

func decodePeerStatus(b []byte) (h peerStatus, err error) {
	if len(b) == 0 || b[0] != codeOK {
		return h, errMalformed
	}
	r := reader{rest: b[1:]}
	h = peerStatus{state: r.uint(), identity: r.uint(), recordID: r.uint(), index: r.uint(), voters: r.voterSet(), acknowledged: logPosition{r.uint(), r.uint()}, knowsVoter: r.uint() == 1, hasQuorum: r.uint() == 1}
	return h, r.finish()
}

func (n *Node) queryPeer(m voter, identity, bind uint64) (h peerStatus, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	b, err := n.client.call(ctx, m.Name, m.Addr, requestPeerStatus, putUints(nil, identity, bind))
	if err != nil {
		return h, err
	}
	return decodePeerStatus(b)
}
