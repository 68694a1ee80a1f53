package consensus

import (
	"bytes"
	"maps"
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// How much of the log is held, in the engine's storage, on disk and for followers: a snapshot is made after so much.
const (
	snapshotItems = 4096
	snapshotBytes = 1 << 20
	// The ring for followers holds twice that, so that the last snapshot and what follows it are always at hand.
	ringBytes = 4 << 20
)

// applier holds what a relay has applied, and what it hands to followers. Calls that change it come from one goroutine, or from the model.
type applier struct {
	machine Machine
	every   int    // items after which a snapshot is due: snapshotItems
	blank   []byte // of the machine when the process began

	mu      sync.Mutex
	now     state  // but for the machine's part
	ring    []item // without gaps, up to now.index
	bytes   int
	last    *state // the newest snapshot; the ring has all that follows it
	raw     []byte // last, encoded
	since   int    // items since last
	sinceB  int
	changed chan struct{} // closed and renewed at each change
	tooBig  bool          // the machine's snapshot is: nothing is truncated
}

func newApplier(m Machine) *applier {
	return &applier{machine: m, every: snapshotItems, blank: m.Snapshot(), changed: make(chan struct{})}
}

func (a *applier) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// restore takes a snapshot in place of all that is held, if it is newer or of another record.
func (a *applier) restore(s state) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.record == a.now.record && s.index <= a.now.index {
		return false, nil
	}
	if err := a.machine.Restore(s.index, s.machine); err != nil {
		return false, err
	}
	a.now, a.ring, a.bytes, a.since, a.sinceB = s, nil, 0, 0, 0
	a.now.machine = nil
	a.last, a.raw = &s, s.encode()
	a.wake()
	return true, nil
}

// apply applies the next entry. What was applied before is passed over: the engine and a stream may both bring it.
func (a *applier) apply(it item) (answer []byte, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if it.index != a.now.index+1 {
		return nil, false
	}
	if it.kind == entryCommand {
		answer = a.machine.Apply(it.index, it.data)
		answer = answer[:min(len(answer), MaxResultSize)]
	}
	if it.kind == entryVoters {
		if !maps.Equal(it.members, a.now.members) { // the end of a change has an entry too
			a.now.votersAt = it.index
		}
		a.now.members, a.now.conf = it.members, it.conf
	}
	a.now.index, a.now.term = it.index, it.term
	a.ring = append(a.ring, it)
	a.bytes += it.size()
	a.since++
	a.sinceB += it.size()
	for len(a.ring) > 2*a.every || a.bytes > ringBytes && len(a.ring) > 1 {
		a.bytes -= a.ring[0].size()
		a.ring[0] = item{}
		a.ring = a.ring[1:]
	}
	a.wake()
	return answer, true
}

// due says whether a snapshot is to be made.
func (a *applier) due() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now.record != 0 && (a.since >= a.every || a.sinceB >= snapshotBytes || a.last == nil)
}

// snapshot makes one of now. It is nil if the machine's part is too large.
func (a *applier) snapshot() (s *state, raw []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.now
	c.machine = bytes.Clone(a.machine.Snapshot())
	a.since, a.sinceB = 0, 0
	if a.tooBig = len(c.machine) > MaxSnapshotSize; a.tooBig {
		return nil, nil
	}
	a.last, a.raw = &c, c.encode()
	return &c, a.raw
}

// at is the index applied and the record.
func (a *applier) at() (record, index uint64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now.record, a.now.index, a.changed
}

func (a *applier) membersNow() members {
	ms, _ := a.votersNow()
	return ms
}

// votersNow is who votes, and the index at which that was agreed.
func (a *applier) votersNow() (members, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now.members, a.now.votersAt
}

// after is what a follower gets that has applied index of record: entries, or the whole snapshot first.
func (a *applier) after(record, index uint64, most int) (whole []byte, at uint64, items []item, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed = a.changed
	if a.now.record == 0 {
		return nil, 0, nil, changed
	}
	first := a.now.index + 1
	if len(a.ring) > 0 {
		first = a.ring[0].index
	}
	if record != a.now.record || index+1 < first {
		if a.last == nil || a.last.index+1 < first {
			return nil, 0, nil, changed // the apply thread makes one soon: due says so
		}
		whole, index = a.raw, a.last.index
	}
	at = index
	if index >= a.now.index {
		return whole, at, nil, changed
	}
	size := 0
	for _, it := range a.ring[index+1-first:] {
		if size += it.size(); size > most && len(items) > 0 {
			break
		}
		items = append(items, it)
		at = it.index
	}
	return whole, at, items, changed
}

// foundation is how a record begins: at index 1, agreed by those who found it.
func foundation(record uint64, m members, blank []byte) (state, error) {
	conf, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ConfState{Voters: m.ids(), AutoLeave: new(false)})
	return state{record: record, index: 1, term: 1, conf: conf, members: m, machine: blank}, err
}

// pending is the proposals of this relay that wait for their answers.
type pending struct {
	mu      sync.Mutex
	byID    map[[16]byte]*waiter
	byIndex map[uint64]*waiter
}

const pendingMost = 1024

type waiter struct {
	id    [16]byte
	data  []byte
	index uint64
	read  bool
	done  chan result // holds one
}

type result struct {
	answer []byte
	index  uint64
	err    error
}

func (p *pending) add(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byID) >= pendingMost {
		return false
	}
	if p.byID == nil {
		p.byID, p.byIndex = map[[16]byte]*waiter{}, map[uint64]*waiter{}
	}
	p.byID[w.id] = w
	return true
}

// placed notes where in the log a proposal stands.
func (p *pending) placed(id [16]byte, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byID[id]; w != nil && w.index == 0 {
		w.index = index
		p.byIndex[index] = w
	}
}

// applied answers whoever waits for this proposal. One that stood at this index and is another's now will never be agreed.
func (p *pending) applied(index uint64, id [16]byte, answer []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byIndex[index]; w != nil && w.id != id {
		p.end(w, result{err: ErrNoQuorum})
	}
	if w := p.byID[id]; w != nil {
		p.end(w, result{answer: answer, index: index})
	}
}

// passed is of an entry that was applied before this node knew that it waits for it, by a stream: it has no answer any more.
func (p *pending) passed(index uint64, id [16]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byIndex[index]; w != nil && w.id != id {
		p.end(w, result{err: ErrNoQuorum})
	}
	if w := p.byID[id]; w != nil {
		p.end(w, result{err: ErrOutcomeUnknown})
	}
}

// readAt answers a barrier.
func (p *pending) readAt(id [16]byte, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byID[id]; w != nil && w.read {
		p.end(w, result{index: index})
	}
}

func (p *pending) fail(w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(w, result{err: err})
}

func (p *pending) end(w *waiter, r result) {
	if p.byID[w.id] != w {
		return
	}
	delete(p.byID, w.id)
	if p.byIndex[w.index] == w {
		delete(p.byIndex, w.index)
	}
	w.done <- r
}

func (p *pending) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		p.end(w, result{err: err})
	}
}
