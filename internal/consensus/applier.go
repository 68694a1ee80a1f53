package consensus

import (
	"bytes"
	"maps"
	"sync"
)

// How much of the log is held, in the engine's storage, on disk and for followers: a snapshot is made after so much.
const (
	snapshotEntries = 4096
	snapshotBytes   = 1 << 20
	// The ring for followers holds twice that, so that the last snapshot and what follows it are always at hand.
	maxRecentBytes = 4 << 20
)

// applier holds what a relay has applied, and what it hands to followers. Calls that change it come from one goroutine, or from the model.
type applier struct {
	machine          Machine
	snapshotInterval int    // items after which a snapshot is due: snapshotEntries
	initialMachine   []byte // of the machine when the process began

	mu                   sync.Mutex
	current              recordSnapshot   // but for the machine's part
	recent               []committedEntry // without gaps, up to now.index
	recentBytes          int
	lastSnapshot         *recordSnapshot // the newest snapshot; the ring has all that follows it
	lastEncoded          []byte          // last, encoded
	entriesSinceSnapshot int             // items since last
	bytesSinceSnapshot   int
	changed              chan struct{} // closed and renewed at each change
	oversized            bool          // the machine's snapshot is: nothing is truncated
}

func newApplier(m Machine) *applier {
	return &applier{machine: m, snapshotInterval: snapshotEntries, initialMachine: m.Snapshot(), changed: make(chan struct{})}
}

func (a *applier) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// restore takes a snapshot in place of all that is held, if it is newer or of another record.
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
	a.lastSnapshot, a.lastEncoded = &s, s.encode()
	a.notifyChanged()
	return true, nil
}

// withChange applies the next entry. What was applied before is passed over: the engine and a stream may both bring it.
func (a *applier) apply(it committedEntry) (answer []byte, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if it.index != a.current.index+1 {
		return nil, false
	}
	if it.kind == entryCommand {
		answer = a.machine.Apply(it.index, it.command)
		answer = answer[:min(len(answer), MaxResultSize)]
	}
	if it.kind == entryVoters {
		if !maps.Equal(it.voters, a.current.voters) { // the end of a change has an entry too
			a.current.votersIndex = it.index
		}
		a.current.voters, a.current.confState = it.voters, it.confState
	}
	a.current.index, a.current.term = it.index, it.term
	a.recent = append(a.recent, it)
	a.recentBytes += it.size()
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += it.size()
	for len(a.recent) > 2*a.snapshotInterval || a.recentBytes > maxRecentBytes && len(a.recent) > 1 {
		a.recentBytes -= a.recent[0].size()
		a.recent[0] = committedEntry{}
		a.recent = a.recent[1:]
	}
	a.notifyChanged()
	return answer, true
}

// snapshotDue says whether a snapshot is to be made.
func (a *applier) snapshotDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID != 0 && (a.entriesSinceSnapshot >= a.snapshotInterval || a.bytesSinceSnapshot >= snapshotBytes || a.lastSnapshot == nil)
}

// takeSnapshot makes one of now. It is nil if the machine's part is too large.
func (a *applier) takeSnapshot() (s *recordSnapshot, raw []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.current
	c.machineState = bytes.Clone(a.machine.Snapshot())
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	if a.oversized = len(c.machineState) > MaxSnapshotSize; a.oversized {
		return nil, nil
	}
	a.lastSnapshot, a.lastEncoded = &c, c.encode()
	return &c, a.lastEncoded
}

// at is the index applied and the record.
func (a *applier) position() (record, index uint64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.recordID, a.current.index, a.changed
}

func (a *applier) voterSet() voterSet {
	ms, _ := a.voterSetAt()
	return ms
}

// voterSetAt is who votes, and the index at which that was agreed.
func (a *applier) voterSetAt() (voterSet, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current.voters, a.current.votersIndex
}

// entriesAfter is what a follower gets that has applied index of record: entries, or the whole snapshot first.
func (a *applier) entriesAfter(record, index uint64, most int) (whole []byte, at uint64, items []committedEntry, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed = a.changed
	if a.current.recordID == 0 {
		return nil, 0, nil, changed
	}
	first := a.current.index + 1
	if len(a.recent) > 0 {
		first = a.recent[0].index
	}
	if record != a.current.recordID || index+1 < first {
		if a.lastSnapshot == nil || a.lastSnapshot.index+1 < first {
			return nil, 0, nil, changed // the apply thread makes one soon: due says so
		}
		whole, index = a.lastEncoded, a.lastSnapshot.index
	}
	at = index
	if index >= a.current.index {
		return whole, at, nil, changed
	}
	size := 0
	for _, it := range a.recent[index+1-first:] {
		if size += it.size(); size > most && len(items) > 0 {
			break
		}
		items = append(items, it)
		at = it.index
	}
	return whole, at, items, changed
}

// logBytes is what the ring holds.
func (a *applier) logBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recentBytes
}
