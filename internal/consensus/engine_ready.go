package consensus

import (
	"maps"

	pb "go.etcd.io/raft/v3/raftpb"
)

// processReady hands the next work on, if the apply thread has room and the disk is done.
func (e *engine) processReady() {
	for e.err == nil && e.pending == nil && e.diskError == nil && !e.writeInProgress {
		if s := e.ownSnapshot; s != nil {
			e.compact(*s)
			continue
		}
		if len(e.node.applyQueue) >= applyQueueSize-2 {
			return
		}
		w := e.core.nextReady()
		if w == nil {
			return
		}
		e.pending = w
		for _, en := range w.entries {
			if id, _, ok := decodeCommand(en.GetData()); ok && en.GetType() == pb.EntryNormal {
				e.node.pendingCalls.assignIndex(id, en.GetIndex())
			}
		}
		e.node.transport.send(e.core, w.beforeSync)
		if e.disk == nil || !w.mustSync() {
			e.completeReady()
			continue
		}
		dw := diskWrite{hardState: w.hardState, entries: w.entries, acknowledged: maps.Clone(w.acknowledged)}
		if w.snapshot != nil {
			dw.snapshot = w.snapshot.GetData()
		}
		e.startWrite(func() error { return e.disk.write(dw) }, e.completeReady)
	}
}

// completeReady is when the work is written.
func (e *engine) completeReady() {
	w := e.pending
	e.pending = nil
	was := e.core.voters
	snap, items, err := e.core.advance()
	if err != nil {
		e.err = err
		return
	}
	e.node.transport.send(e.core, w.afterSync)
	if snap != nil || len(items) > 0 {
		e.node.applyQueue <- applyBatch{snapshot: snap, entries: items}
	}
	for _, rs := range w.rd.ReadStates {
		var id [16]byte
		copy(id[:], rs.RequestCtx)
		e.node.pendingCalls.completeBarrier(id, rs.Index)
	}
	if !maps.Equal(was, e.core.voters) {
		e.node.transport.setPeers(e.core.voters, e.id)
	}
	_, member := e.core.voters[e.id]
	if !member && !e.core.inJointConfig() && (snap != nil || len(items) > 0) {
		e.removed = true
	}
	if w.rd.SoftState != nil {
		e.publishView()
	}
}
