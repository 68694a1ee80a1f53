package consensus

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	diskRetryInterval = time.Second // how often a failed disk is tried anew
	retainedEntries   = 1024        // entries kept behind a snapshot, for voters that are a little behind
	retainedBytes     = 1 << 20
)

func (e *engine) startWrite(f func() error, after func()) {
	e.writeInProgress, e.afterWrite = true, after
	e.writes <- f
}

func (e *engine) writeDone(err error) {
	if err != nil {
		if e.diskError == nil {
			e.node.log().WithFields(logrus.Fields{"error": err.Error()}).Error("accord: the disk failed: this voter does not vote until it is mended")
		}
		e.diskError, e.diskRetryAt = err, time.Now().Add(diskRetryInterval)
		e.publishView()
		return
	}
	if e.diskError != nil {
		e.node.log().Warn("accord: the disk is well again: this voter votes")
		e.diskError, e.silentUntilTick = nil, e.core.tickCount+electionTicks+1
	}
	if f := e.afterWrite; f != nil {
		e.afterWrite = nil
		f()
	}
	e.publishView()
}

// rewriteDisk writes all that this voter has acknowledged into a new file, and what it was about to.
func (e *engine) rewriteDisk() {
	h, err := stateToStore(e.id, e.core.storage, maps.Clone(e.core.acknowledged))
	if err != nil {
		e.err = err
		return
	}
	var more *diskWrite
	if w := e.pending; w != nil {
		more = &diskWrite{hardState: w.hardState, entries: w.entries}
		if w.snapshot != nil {
			more.snapshot = w.snapshot.GetData()
		}
	}
	e.writeInProgress = true
	e.writes <- func() error { return e.disk.rewrite(h, more) }
}

// compaction writes a snapshot of this voter's own and drops what it holds.
func (e *engine) compact(s recordSnapshot) {
	raw := e.ownSnapshotEncoded
	e.ownSnapshot, e.ownSnapshotEncoded = nil, nil
	if s.recordID != e.core.recordID || s.index > e.core.status().Applied || s.index > e.core.lastIndex() {
		return
	}
	if e.core.snapshotIndex >= s.index {
		return
	}
	if err := e.core.compact(s, raw, retainedEntries); err != nil {
		e.err = err
		return
	}
	if e.disk != nil {
		first, _ := e.core.storage.FirstIndex()
		e.startWrite(func() error { return e.disk.write(diskWrite{compaction: raw, compactedIndex: first - 1}) }, nil)
	}
}

func (n *Node) diskFailed(err error) {
	n.mu.Lock()
	d := n.disk
	n.disk, n.diskError = nil, err.Error()
	n.mu.Unlock()
	if d != nil {
		if err := d.close(); err != nil {
			n.log().WithField("error", err.Error()).Error("accord: closing the directory")
		}
	}
}
