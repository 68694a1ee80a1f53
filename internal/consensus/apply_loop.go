package consensus

const applyQueueSize = 64 // batches

// applyBatch is work for the apply loop: a snapshot, entries, or a snapshot and the entries after it.
type applyBatch struct {
	snapshot *recordSnapshot
	entries  []committedEntry
	done     chan error // receives the outcome; buffered, or nil if nobody waits
}

// applyLoop applies batches and takes snapshots. While the node runs it is the machine's only caller.
func (n *Node) applyLoop() {
	for {
		select {
		case <-n.quit:
			return
		case done := <-n.snapshotRequests:
			if n.applier.snapshotDue() {
				n.applier.takeSnapshot()
			}
			close(done)
		case b := <-n.applyQueue:
			err := n.applyBatch(b)
			if b.done != nil {
				b.done <- err
			}
			n.snapshotIfDue()
		}
	}
}

// applyBatch applies a batch and completes the calls that wait for its entries.
func (n *Node) applyBatch(b applyBatch) (err error) {
	if b.snapshot != nil {
		if _, err = n.applier.restore(*b.snapshot); err != nil {
			n.log().WithField("error", err.Error()).Error("consensus: restoring the state machine from a snapshot failed")
		}
	}
	for _, e := range b.entries {
		if result, ok := n.applier.apply(e); ok {
			n.pendingCalls.completeApplied(e.index, e.proposalID, result)
		} else {
			n.pendingCalls.completeSkipped(e.index, e.proposalID)
		}
	}
	return err
}

// snapshotIfDue takes a snapshot if one is due and passes it to the engine, which compacts its log. It
// does nothing on a relay without an engine.
func (n *Node) snapshotIfDue() {
	if n.engine() == nil || !n.applier.snapshotDue() {
		return
	}
	s, encoded := n.applier.takeSnapshot()
	if s == nil {
		n.log().Error("consensus: the state machine's snapshot exceeds the size limit: the log is not compacted")
		return
	}
	n.onEngine(func(e *engine) { e.ownSnapshot, e.ownSnapshotEncoded = s, encoded })
}

// applyAndWait queues a batch for the apply loop and waits until it is applied.
func (n *Node) applyAndWait(b applyBatch) error {
	b.done = make(chan error, 1)
	select {
	case n.applyQueue <- b:
	case <-n.quit:
		return ErrClosed
	}
	select {
	case err := <-b.done:
		return err
	case <-n.quit:
		return ErrClosed
	}
}

// snapshotNow makes the apply loop take a snapshot of the current state, and returns it.
func (n *Node) snapshotNow() (*recordSnapshot, []byte) {
	n.applier.expireSnapshot()
	done := make(chan struct{})
	select {
	case n.snapshotRequests <- done:
		select {
		case <-done:
		case <-n.quit:
		}
	case <-n.quit:
	}
	return n.applier.latestSnapshot()
}

// requestSnapshot asks the apply loop to take a snapshot if one is due. It does not wait.
func (n *Node) requestSnapshot() {
	select {
	case n.snapshotRequests <- make(chan struct{}):
	default:
	}
}
