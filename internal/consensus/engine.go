package consensus

import (
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	tickInterval      = 50 * time.Millisecond
	diskRetryInterval = time.Second // how often a failed disk is tried anew
	messageQueueSize  = 1024        // messages that wait for the engine
	callQueueSize     = 256
	applyQueueSize    = 64   // batches that wait to be applied
	retainedEntries   = 1024 // entries kept behind a snapshot, for voters that are a little behind
	retainedBytes     = 1 << 20
	maxCatchUpTicks   = 4 // tickCount made up for after a pause
)

// engine runs a core on a goroutine of its own, and its disk on another.
type engine struct {
	node               *Node
	id                 uint64
	core               *core
	disk               *disk // nil: memory only
	messages           chan peerMessages
	calls              chan *pendingCall
	tasks              chan func() // from this node's own threads
	writes             chan func() error
	writeResults       chan error
	quit               chan struct{}
	ended              chan struct{}
	err                error // afterWrite ended: nil when asked to, or removed
	removed            bool
	pending            *pendingReady
	writeInProgress    bool
	afterWrite         func()
	diskError          error
	diskRetryAt        time.Time
	silentUntilTick    int // tick until which this voter, back from a failed disk, does not say that it leads: others may long have another
	announcedLeading   bool
	announcedTerm      uint64
	ownSnapshot        *recordSnapshot // of this voter's own, to be written
	ownSnapshotEncoded []byte
	view               atomic.Pointer[engineView]
}

// peerMessages is what another voter sent.
type peerMessages struct {
	from         uint64
	acknowledged map[uint64]logPosition
	messages     []*pb.Message
}

// engineView is what the engine shows of itself.
type engineView struct {
	isLeader, unverified, inJointConfig bool
	leader, term, committed             uint64
	firstIndex, lastIndex               uint64
	snapshotIndex                       uint64
	snapshotBytes                       int
	diskError                           error
	voters                              voterSet
	acknowledged                        map[uint64]logPosition
	changeBlocked                       string
	at                                  time.Time
}

func newEngine(n *Node, c *core, d *disk) *engine {
	e := &engine{node: n, id: c.id, core: c, disk: d, messages: make(chan peerMessages, messageQueueSize), calls: make(chan *pendingCall, callQueueSize), tasks: make(chan func(), callQueueSize),
		writes: make(chan func() error), writeResults: make(chan error, 1), quit: make(chan struct{}), ended: make(chan struct{})}
	e.publishView()
	return e
}

func (e *engine) start() {
	go func() {
		for f := range e.writes {
			e.writeResults <- f()
		}
	}()
	go e.run()
}

// stop ends it and waits, until the disk's last write is through too.
func (e *engine) stop() {
	select {
	case <-e.quit:
	default:
		close(e.quit)
	}
	<-e.ended
}

func (e *engine) run() {
	defer close(e.ended)
	defer close(e.writes)
	defer func() {
		if e.writeInProgress {
			<-e.writeResults
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			e.err = fmt.Errorf("engine: %v", p)
		}
	}()
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	last := time.Now()
	for e.err == nil && !e.removed {
		select {
		case <-e.quit:
			return
		case s := <-e.messages:
			e.stepAll(s)
			for range min(len(e.messages), 64) {
				e.stepAll(<-e.messages)
			}
		case w := <-e.calls:
			e.startCall(w)
			for range min(len(e.calls), 64) { // one write for many
				e.startCall(<-e.calls)
			}
		case f := <-e.tasks:
			f()
		case err := <-e.writeResults:
			e.writeInProgress = false
			e.writeDone(err)
		case now := <-ticks.C:
			n := min(max(1, int(now.Sub(last)/tickInterval)), maxCatchUpTicks)
			last = now
			for range n {
				if e.diskError == nil {
					e.core.tick()
				}
			}
			if e.diskError != nil && !e.writeInProgress && now.After(e.diskRetryAt) {
				e.rewriteDisk()
			}
			e.publishView()
		}
		e.processReady()
	}
	e.publishView()
}

func (e *engine) stepAll(s peerMessages) {
	if e.diskError != nil {
		return
	}
	for id, m := range s.acknowledged {
		if id != e.id {
			e.core.noteAcknowledged(id, m)
		}
	}
	for _, m := range s.messages {
		if m.GetFrom() != s.from {
			e.node.countDropped("sender")
			continue
		}
		if err := e.core.step(m); err == errOutdatedDirectory {
			e.err = err
			return
		}
	}
}

func (e *engine) startCall(w *pendingCall) {
	if e.diskError != nil || e.core.tickCount < e.silentUntilTick {
		e.node.pendingCalls.fail(w, errNoLeader)
		return
	}
	var err error
	if w.barrier {
		err = e.core.readIndex(w.id[:])
	} else {
		err = e.core.propose(encodeCommand(w.id, w.command))
	}
	if err != nil {
		e.node.pendingCalls.fail(w, err)
	}
}

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

func (e *engine) publishView() {
	b := e.core.status()
	v := &engineView{isLeader: b.RaftState == raft.StateLeader && e.diskError == nil && e.core.tickCount >= e.silentUntilTick, unverified: e.core.unverified, inJointConfig: e.core.inJointConfig(), leader: b.Lead, term: b.GetTerm(), committed: b.GetCommit(),
		voters: e.core.voters, acknowledged: maps.Clone(e.core.acknowledged), changeBlocked: e.core.changeBlocked, diskError: e.diskError, at: time.Now()}
	v.firstIndex, _ = e.core.storage.FirstIndex()
	v.lastIndex = e.core.lastIndex()
	v.snapshotIndex, v.snapshotBytes = e.core.snapshotIndex, e.core.snapshotSize
	if e.diskError != nil || b.RaftState == raft.StateLeader && !v.isLeader {
		v.leader = 0
	}
	e.view.Store(v)
	if v.isLeader != e.announcedLeading || v.isLeader && v.term != e.announcedTerm {
		e.announcedLeading, e.announcedTerm = v.isLeader, v.term
		e.node.announceLeadership(v.isLeader, v.term)
	}
}
