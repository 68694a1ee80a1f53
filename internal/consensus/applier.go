package consensus

import (
	"bytes"
	"maps"
	"sync"
)

const (
	// A snapshot is due after this many entries, or this many bytes of entries.
	snapshotEntries = 4096
	snapshotBytes   = 1 << 20
	// The recent entries kept for followers are limited to 2*snapshotEntries entries and
	// maxRecentBytes, so that they normally reach back to the last snapshot.
	maxRecentBytes = 4 << 20
)

// applier applies committed entries to the machine and keeps recent ones for followers. The methods
// that change it are called from one goroutine: the apply loop's, or the model test's.
type applier struct {
	machine             Machine
	snapshotInterval    int    // in entries; snapshotEntries except in tests
	initialMachineState []byte // the machine's snapshot at the start of the process

	mu                   sync.Mutex
	current              recordSnapshot   // state after the last applied entry, without the machine's part
	recent               []committedEntry // last applied entries without gaps, up to current.index
	recentBytes          int
	lastSnapshot         *recordSnapshot // recent normally has all entries after it; nil: a snapshot is due
	lastSnapshotEncoded  []byte
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	changed              chan struct{} // closed and replaced at each change
}

func newApplier(m Machine) *applier {
	return &applier{machine: m, snapshotInterval: snapshotEntries, initialMachineState: m.Snapshot(), changed: make(chan struct{})}
}

func (a *applier) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// restore replaces the whole state with a snapshot if that is newer or of another record. It reports
// whether it did.
func (a *applier) restore(s recordSnapshot) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.recordID == a.current.recordID && s.index <= a.current.index {
		return false, nil
	}
	if err := a.machine.Restore(s.index, s.machineState); err != nil {
		return false, err
	}
	a.current, a.recent, a.recentBytes, a.entriesSinceSnapshot, a.bytesSinceSnapshot = s, nil, 0, 0, 0
	a.current.machineState = nil
	a.lastSnapshot, a.lastSnapshotEncoded = &s, s.encode()
	a.notifyChanged()
	return true, nil
}

// apply applies the next entry. It skips an entry that is already applied, since raft and a stream may
// both deliver it.
func (a *applier) apply(e committedEntry) (result []byte, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.index != a.current.index+1 {
		return nil, false
	}
	switch e.kind {
	case entryCommand:
		result = a.machine.Apply(e.index, e.command)
		result = result[:min(len(result), MaxResultSize)]
	case entryVoters:
		if !maps.Equal(e.voters, a.current.voters) { // the entry that leaves the joint configuration changes nothing
			a.current.votersIndex = e.index
		}
		a.current.voters, a.current.confState = e.voters, e.confState
	}
	a.current.index, a.current.term = e.index, e.term
	a.recent = append(a.recent, e)
	a.recentBytes += e.size()
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += e.size()
	for len(a.recent) > 2*a.snapshotInterval || a.recentBytes > maxRecentBytes && len(a.recent) > 1 {
		a.recentBytes -= a.recent[0].size()
		a.recent[0] = committedEntry{}
		a.recent = a.recent[1:]
	}
	a.notifyChanged()
	return result, true
}

// snapshotDue reports whether a snapshot has to be taken.
func (a *applier) snapshotDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID != 0 && (a.entriesSinceSnapshot >= a.snapshotInterval || a.bytesSinceSnapshot >= snapshotBytes || a.lastSnapshot == nil)
}

// takeSnapshot takes a snapshot of the current state and makes it the latest one. It returns nil if
// the machine's part exceeds MaxSnapshotSize.
func (a *applier) takeSnapshot() (s *recordSnapshot, encoded []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.current
	taken.machineState = bytes.Clone(a.machine.Snapshot())
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	if len(taken.machineState) > MaxSnapshotSize {
		return nil, nil
	}
	a.lastSnapshot, a.lastSnapshotEncoded = &taken, taken.encode()
	return &taken, a.lastSnapshotEncoded
}

// expireSnapshot discards the latest snapshot, so that a new one is due.
func (a *applier) expireSnapshot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSnapshot = nil
}

// latestSnapshot returns the latest snapshot and its encoding.
func (a *applier) latestSnapshot() (s *recordSnapshot, encoded []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSnapshot, a.lastSnapshotEncoded
}

// position returns the record's ID and the index of the last applied entry. The channel is closed when
// either changes.
func (a *applier) position() (recordID, index uint64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID, a.current.index, a.changed
}

func (a *applier) voterSet() voterSet {
	voters, _ := a.voterSetAt()
	return voters
}

// voterSetAt returns the voters and the index at which they were committed.
func (a *applier) voterSetAt() (voterSet, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.voters, a.current.votersIndex
}

// logBytes returns the size of the recent entries.
func (a *applier) logBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recentBytes
}

// streamBatch is the next part of a follower's stream: a snapshot, entries after it, or both.
type streamBatch struct {
	snapshot []byte // encoded; nil if the follower needs none
	entries  []committedEntry
	index    uint64 // the follower's position after both
}

func (b streamBatch) empty() bool { return b.snapshot == nil && len(b.entries) == 0 }

// entriesAfter returns the next batch for a follower that has applied the given index of the given
// record. The batch has about maxBytes of entries, preceded by a snapshot if the recent entries do not
// reach back to the index. It is empty if there is nothing new, or if a snapshot is needed and none
// exists yet. The channel is closed at the next change.
func (a *applier) entriesAfter(recordID, index uint64, maxBytes int) (b streamBatch, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.recordID == 0 {
		return streamBatch{}, a.changed
	}
	first := a.current.index + 1
	if len(a.recent) > 0 {
		first = a.recent[0].index
	}
	if recordID != a.current.recordID || index+1 < first {
		if a.lastSnapshot == nil || a.lastSnapshot.index+1 < first {
			return streamBatch{}, a.changed // snapshotDue makes the apply loop take one soon
		}
		b.snapshot, index = a.lastSnapshotEncoded, a.lastSnapshot.index
	}
	b.index = index
	if index >= a.current.index {
		return b, a.changed
	}
	size := 0
	for _, e := range a.recent[index+1-first:] {
		if size += e.size(); size > maxBytes && len(b.entries) > 0 {
			break
		}
		b.entries = append(b.entries, e)
		b.index = e.index
	}
	return b, a.changed
}

// encodeEntries encodes committed entries for a stream.
func encodeEntries(entries []committedEntry) []byte {
	b := putUints(nil, uint64(len(entries)))
	for _, e := range entries {
		b = putEntry(b, e)
	}
	return b
}

func decodeEntries(b []byte) (entries []committedEntry, err error) {
	r := reader{rest: b}
	for range r.count() {
		entries = append(entries, r.entry())
	}
	return entries, r.finish()
}
