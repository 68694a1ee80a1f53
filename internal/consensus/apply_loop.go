package consensus

const (
	applyQueueSize = 64 // batches that wait to be applied
)

// requestSnapshot makes a snapshot on the apply thread, through its queue.
func (a *applier) requestSnapshot(n *Node) (*recordSnapshot, []byte) {
	a.mu.Lock()
	a.lastSnapshot = nil // so that one is due
	a.mu.Unlock()
	c := make(chan struct{})
	select {
	case n.snapshotRequests <- c:
		select {
		case <-c:
		case <-n.quit:
		}
	case <-n.quit:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSnapshot, a.lastEncoded
}

// completeApplied is what the apply thread gets: a snapshot, or entries.
type applyBatch struct {
	snapshot *recordSnapshot
	entries  []committedEntry
	done     chan error // nil if nobody waits
}

// applyLoop is the only one that calls the machine.
func (n *Node) applyLoop() {
	for {
		select {
		case <-n.quit:
			return
		case c := <-n.snapshotRequests:
			if n.applier.snapshotDue() {
				n.applier.takeSnapshot()
			}
			close(c)
		case a := <-n.applyQueue:
			var err error
			if a.snapshot != nil {
				if _, err = n.applier.restore(*a.snapshot); err != nil {
					n.log().WithField("error", err.Error()).Error("accord: the machine refused a snapshot")
				}
			}
			for _, it := range a.entries {
				answer, ok := n.applier.apply(it)
				if ok {
					n.pendingCalls.completeApplied(it.index, it.proposalID, answer)
				} else {
					n.pendingCalls.completeSkipped(it.index, it.proposalID)
				}
			}
			if a.done != nil {
				a.done <- err
			}
			if e := n.engine(); e != nil && n.applier.snapshotDue() {
				if s, raw := n.applier.takeSnapshot(); s != nil {
					n.onEngine(func(e *engine) { e.ownSnapshot, e.ownSnapshotEncoded = s, raw })
				} else {
					n.log().Error("accord: the machine's snapshot is too large: the log is not truncated")
				}
			}
		}
	}
}

// applyAndWait gives something to the apply thread, and waits.
func (n *Node) applyAndWait(a applyBatch) error {
	a.done = make(chan error, 1)
	select {
	case n.applyQueue <- a:
	case <-n.quit:
		return ErrClosed
	}
	select {
	case err := <-a.done:
		return err
	case <-n.quit:
		return ErrClosed
	}
}
