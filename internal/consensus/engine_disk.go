package consensus

import (
	"maps"
	"time"
)

const (
	diskRetryInterval = time.Second // between attempts to rewrite the file after a failed write
	retainedEntries   = 1024        // entries kept before a snapshot, for voters that lag a little
	retainedBytes     = 1 << 20
)

// startWrite passes a write to the disk's goroutine. onSuccess, if not nil, is called once it has succeeded.
func (e *engine) startWrite(write func() error, onSuccess func()) {
	e.writing, e.afterWrite = true, onSuccess
	e.writes <- write
}

func (e *engine) writeDone(err error) {
	if err != nil {
		if e.diskError == nil {
			e.node.log().WithField("error", err.Error()).
				Error("consensus: writing to the disk failed: this voter does not vote until its file is rewritten")
		}
		e.diskError, e.diskRetryAt = err, time.Now().Add(diskRetryInterval)
		e.publishView()
		return
	}
	if e.diskError != nil {
		e.node.log().Warn("consensus: the file is rewritten after a disk failure: this voter votes again")
		e.diskError, e.noLeadershipUntilTick = nil, e.core.tickCount+electionTicks+1
	}
	if onSuccess := e.afterWrite; onSuccess != nil {
		e.afterWrite = nil
		onSuccess()
	}
	e.publishView()
}

// rewriteDisk writes everything that this voter has acknowledged, and the write that failed, to a new file.
func (e *engine) rewriteDisk() {
	stored, err := stateToStore(e.id, e.core.storage, maps.Clone(e.core.acknowledged))
	if err != nil {
		e.err = err
		return
	}
	var failed *diskWrite
	if ready := e.ready; ready != nil {
		failed = &diskWrite{hardState: ready.hardState, entries: ready.entries}
		if ready.snapshot != nil {
			failed.snapshot = ready.snapshot.GetData()
		}
	}
	e.startWrite(func() error { return e.disk.rewrite(stored, failed) }, e.afterWrite)
}

// compact compacts the log with ownSnapshot, unless the snapshot is of another record, not newer than the
// last one, or ahead of the core.
func (e *engine) compact() {
	s, encoded := e.ownSnapshot, e.ownSnapshotEncoded
	e.ownSnapshot, e.ownSnapshotEncoded = nil, nil
	if s.recordID != e.core.recordID || s.index > e.core.status().Applied || s.index > e.core.lastIndex() || s.index <= e.core.snapshotIndex {
		return
	}
	if err := e.core.compact(*s, encoded, retainedEntries); err != nil {
		e.err = err
		return
	}
	if e.disk != nil {
		first, _ := e.core.storage.FirstIndex()
		e.startWrite(func() error { return e.disk.write(diskWrite{compaction: encoded, compactedIndex: first - 1}) }, nil)
	}
}
