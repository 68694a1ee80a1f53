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
	tickEvery   = 50 * time.Millisecond
	mendEvery   = time.Second // how often a failed disk is tried anew
	stepsMost   = 1024        // messages that wait for the engine
	callsMost   = 256
	appliesMost = 64   // batches that wait to be applied
	keepItems   = 1024 // entries kept behind a snapshot, for voters that are a little behind
	keepBytes   = 1 << 20
	tickJumps   = 4 // ticks made up for after a pause
)

// engine runs a core on a goroutine of its own, and its disk on another.
type engine struct {
	n       *Node
	id      uint64
	c       *core
	disk    *disk // nil: memory only
	steps   chan step
	calls   chan *waiter
	others  chan func() // from this node's own threads
	writes  chan func() error
	written chan error
	quit    chan struct{}
	ended   chan struct{}
	why     error // after ended: nil when asked to, or removed
	removed bool
	w       *work
	writing bool
	after   func()
	mute    error
	tryAt   time.Time
	stale   int // tick until which this voter, back from a failed disk, does not say that it leads: others may long have another
	led     bool
	ledTerm uint64
	snap    *state // of this voter's own, to be written
	raw     []byte
	view    atomic.Pointer[view]
}

// step is what another voter sent.
type step struct {
	from  uint64
	marks map[uint64]mark
	ms    []*pb.Message
}

// view is what the engine shows of itself.
type view struct {
	leads, unsure, joint    bool
	leader, term, committed uint64
	first, last             uint64
	snapIndex               uint64
	snapBytes               int
	mute                    error
	members                 members
	marks                   map[uint64]mark
	held                    string
	at                      time.Time
}

func newEngine(n *Node, c *core, d *disk) *engine {
	e := &engine{n: n, id: c.id, c: c, disk: d, steps: make(chan step, stepsMost), calls: make(chan *waiter, callsMost), others: make(chan func(), callsMost),
		writes: make(chan func() error), written: make(chan error, 1), quit: make(chan struct{}), ended: make(chan struct{})}
	e.show()
	return e
}

func (e *engine) start() {
	go func() {
		for f := range e.writes {
			e.written <- f()
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
		if e.writing {
			<-e.written
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			e.why = fmt.Errorf("engine: %v", p)
		}
	}()
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	last := time.Now()
	for e.why == nil && !e.removed {
		select {
		case <-e.quit:
			return
		case s := <-e.steps:
			e.take(s)
			for range min(len(e.steps), 64) {
				e.take(<-e.steps)
			}
		case w := <-e.calls:
			e.call(w)
			for range min(len(e.calls), 64) { // one write for many
				e.call(<-e.calls)
			}
		case f := <-e.others:
			f()
		case err := <-e.written:
			e.writing = false
			e.wrote(err)
		case now := <-ticks.C:
			n := min(max(1, int(now.Sub(last)/tickEvery)), tickJumps)
			last = now
			for range n {
				if e.mute == nil {
					e.c.tick()
				}
			}
			if e.mute != nil && !e.writing && now.After(e.tryAt) {
				e.mend()
			}
			e.show()
		}
		e.pump()
	}
	e.show()
}

func (e *engine) take(s step) {
	if e.mute != nil {
		return
	}
	for id, m := range s.marks {
		if id != e.id {
			e.c.hear(id, m)
		}
	}
	for _, m := range s.ms {
		if m.GetFrom() != s.from {
			e.n.drop("sender")
			continue
		}
		if err := e.c.step(m); err == errOlder {
			e.why = err
			return
		}
	}
}

func (e *engine) call(w *waiter) {
	if e.mute != nil || e.c.ticks < e.stale {
		e.n.pend.fail(w, errNoLeader)
		return
	}
	var err error
	if w.read {
		err = e.c.read(w.id[:])
	} else {
		err = e.c.propose(encodeCommand(w.id, w.data))
	}
	if err != nil {
		e.n.pend.fail(w, err)
	}
}

// pump hands the next work on, if the apply thread has room and the disk is done.
func (e *engine) pump() {
	for e.why == nil && e.w == nil && e.mute == nil && !e.writing {
		if s := e.snap; s != nil {
			e.compact(*s)
			continue
		}
		if len(e.n.applies) >= appliesMost-2 {
			return
		}
		w := e.c.ready()
		if w == nil {
			return
		}
		e.w = w
		for _, en := range w.entries {
			if id, _, ok := decodeCommand(en.GetData()); ok && en.GetType() == pb.EntryNormal {
				e.n.pend.placed(id, en.GetIndex())
			}
		}
		e.n.peers.send(e.c, w.early)
		if e.disk == nil || !w.write() {
			e.finish()
			continue
		}
		dw := diskWrite{hard: w.hard, entries: w.entries, marks: maps.Clone(w.marks)}
		if w.snap != nil {
			dw.state = w.snap.GetData()
		}
		e.put(func() error { return e.disk.write(dw) }, e.finish)
	}
}

func (e *engine) put(f func() error, after func()) {
	e.writing, e.after = true, after
	e.writes <- f
}

func (e *engine) wrote(err error) {
	if err != nil {
		if e.mute == nil {
			e.n.log().WithFields(logrus.Fields{"error": err.Error()}).Error("accord: the disk failed: this voter does not vote until it is mended")
		}
		e.mute, e.tryAt = err, time.Now().Add(mendEvery)
		e.show()
		return
	}
	if e.mute != nil {
		e.n.log().Warn("accord: the disk is well again: this voter votes")
		e.mute, e.stale = nil, e.c.ticks+electionTicks+1
	}
	if f := e.after; f != nil {
		e.after = nil
		f()
	}
	e.show()
}

// mend writes all that this voter has acknowledged into a new file, and what it was about to.
func (e *engine) mend() {
	h, err := heldBy(e.id, e.c.st, maps.Clone(e.c.marks))
	if err != nil {
		e.why = err
		return
	}
	var more *diskWrite
	if w := e.w; w != nil {
		more = &diskWrite{hard: w.hard, entries: w.entries}
		if w.snap != nil {
			more.state = w.snap.GetData()
		}
	}
	e.writing = true
	e.writes <- func() error { return e.disk.rewrite(h, more) }
}

// finish is when the work is written.
func (e *engine) finish() {
	w := e.w
	e.w = nil
	was := e.c.members
	snap, items, err := e.c.done()
	if err != nil {
		e.why = err
		return
	}
	e.n.peers.send(e.c, w.late)
	if snap != nil || len(items) > 0 {
		e.n.applies <- applied{snap: snap, items: items}
	}
	for _, rs := range w.rd.ReadStates {
		var id [16]byte
		copy(id[:], rs.RequestCtx)
		e.n.pend.readAt(id, rs.Index)
	}
	if !maps.Equal(was, e.c.members) {
		e.n.peers.know(e.c.members, e.id)
	}
	_, member := e.c.members[e.id]
	if !member && !e.c.joint() && (snap != nil || len(items) > 0) {
		e.removed = true
	}
	if w.rd.SoftState != nil {
		e.show()
	}
}

// compact writes a snapshot of this voter's own and drops what it holds.
func (e *engine) compact(s state) {
	raw := e.raw
	e.snap, e.raw = nil, nil
	if s.record != e.c.record || s.index > e.c.basic().Applied || s.index > e.c.lastIndex() {
		return
	}
	if e.c.snapIndex >= s.index {
		return
	}
	if err := e.c.compact(s, raw, keepItems); err != nil {
		e.why = err
		return
	}
	if e.disk != nil {
		first, _ := e.c.st.FirstIndex()
		e.put(func() error { return e.disk.write(diskWrite{compact: raw, drop: first - 1}) }, nil)
	}
}

func (e *engine) show() {
	b := e.c.basic()
	v := &view{leads: b.RaftState == raft.StateLeader && e.mute == nil && e.c.ticks >= e.stale, unsure: e.c.unsure, joint: e.c.joint(), leader: b.Lead, term: b.GetTerm(), committed: b.GetCommit(),
		members: e.c.members, marks: maps.Clone(e.c.marks), held: e.c.said, mute: e.mute, at: time.Now()}
	v.first, _ = e.c.st.FirstIndex()
	v.last = e.c.lastIndex()
	v.snapIndex, v.snapBytes = e.c.snapIndex, e.c.snapBytes
	if e.mute != nil || b.RaftState == raft.StateLeader && !v.leads {
		v.leader = 0
	}
	e.view.Store(v)
	if v.leads != e.led || v.leads && v.term != e.ledTerm {
		e.led, e.ledTerm = v.leads, v.term
		e.n.tellLed(v.leads, v.term)
	}
}
