package consensus

import (
	"maps"

	"go.etcd.io/raft/v3"
)

// processReady handles Readys until there is none, a write is in progress, the disk has failed, or the apply
// queue is nearly full.
func (e *engine) processReady() {
	for e.err == nil && e.ready == nil && e.diskError == nil && !e.writing {
		if e.ownSnapshot != nil {
			e.compact()
			continue
		}
		if len(e.node.applyQueue) >= applyQueueSize-2 {
			return
		}
		ready := e.core.nextReady()
		if ready == nil {
			return
		}
		e.ready = ready
		e.noteProposals(ready.entries)
		e.node.transport.send(e.core, ready.beforeSync)
		if e.disk == nil || !ready.mustSync() {
			e.completeReady()
			continue
		}
		write := diskWrite{hardState: ready.hardState, entries: ready.entries, acknowledged: maps.Clone(ready.acknowledged)}
		if ready.snapshot != nil {
			write.snapshot = ready.snapshot.GetData()
		}
		e.startWrite(func() error { return e.disk.write(write) }, e.completeReady)
	}
}

// completeReady advances the Ready in progress after its write: it sends the remaining messages and queues
// the committed entries for the apply loop.
func (e *engine) completeReady() {
	ready := e.ready
	e.ready = nil
	votersBefore := e.core.voters
	snapshot, entries, err := e.core.advance()
	if err != nil {
		e.err = err
		return
	}
	e.node.transport.send(e.core, ready.afterSync)
	if snapshot != nil || len(entries) > 0 {
		e.node.applyQueue <- applyBatch{snapshot: snapshot, entries: entries}
	}
	e.completeBarriers(ready.rd.ReadStates)
	if !maps.Equal(votersBefore, e.core.voters) {
		e.node.transport.setPeers(e.core.voters, e.id)
	}
	_, isVoter := e.core.voters[e.id]
	if !isVoter && !e.core.inJointConfig() && (snapshot != nil || len(entries) > 0) {
		e.removed = true
	}
	if ready.rd.SoftState != nil {
		e.publishView()
	}
}

func (e *engine) completeBarriers(states []raft.ReadState) {
	for _, s := range states {
		var id proposalID
		copy(id[:], s.RequestCtx)
		e.node.pendingCalls.completeBarrier(id, s.Index)
	}
}
