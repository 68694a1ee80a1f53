package consensus

import (
	"bytes"
	"maps"
	"sync"
)

const (
	// A snapshot is taken after so many entries, or bytes of entries.
	snapshotEntries = 4096
	snapshotBytes   = 1 << 20
	// The recent entries for followers are at most twice snapshotEntries and maxRecentBytes, so that the last snapshot and what follows it are
	// always at hand.
	maxRecentBytes = 4 << 20
)

// applier applies committed entries to the machine and keeps the recent ones for followers. Calls that change it come from one goroutine,
// or from the model.
type applier struct {
	machine             Machine
	snapshotInterval    int    // in entries: snapshotEntries
	initialMachineState []byte // the machine's snapshot when the process started

	mu                   sync.Mutex
	current              recordSnapshot   // without the machine's state
	recent               []committedEntry // without gaps, up to current.index
	recentBytes          int
	lastSnapshot         *recordSnapshot // recent has all entries after it
	lastSnapshotEncoded  []byte          // lastSnapshot, encoded
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

// restore replaces the whole state by a snapshot, if that is newer or of another record.
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

// apply applies the next entry. An entry that is already applied is skipped: raft and a stream may both deliver it.
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

// snapshotDue says whether a snapshot has to be taken.
func (a *applier) snapshotDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID != 0 && (a.entriesSinceSnapshot >= a.snapshotInterval || a.bytesSinceSnapshot >= snapshotBytes || a.lastSnapshot == nil)
}

// takeSnapshot returns a snapshot of the current state, or nil if the machine's part is too large.
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

// expireSnapshot makes a snapshot due.
func (a *applier) expireSnapshot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSnapshot = nil
}

// latestSnapshot returns the last snapshot and its encoding.
func (a *applier) latestSnapshot() (s *recordSnapshot, encoded []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSnapshot, a.lastSnapshotEncoded
}

// position returns the record and the index of the last applied entry; changed is closed when they change.
func (a *applier) position() (recordID, index uint64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID, a.current.index, a.changed
}

func (a *applier) voterSet() voterSet {
	voters, _ := a.voterSetAt()
	return voters
}

// voterSetAt returns the voters, and the index at which they were committed.
func (a *applier) voterSetAt() (voterSet, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.voters, a.current.votersIndex
}

// logBytes is the size of the recent entries.
func (a *applier) logBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recentBytes
}

// streamBatch is what a follower is sent next.
type streamBatch struct {
	snapshot []byte // encoded; nil if the follower needs none
	entries  []committedEntry
	index    uint64 // the follower's position after both
}

func (b streamBatch) empty() bool { return b.snapshot == nil && len(b.entries) == 0 }

// entriesAfter returns what a follower at an index of a record is sent next: entries of about maxBytes, with a snapshot before them if the
// recent entries do not reach back to its index. It is empty if there is nothing, or no snapshot yet; changed is closed at the next change.
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
			return streamBatch{}, a.changed // snapshotDue has the apply loop take one soon
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
