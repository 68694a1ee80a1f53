package consensus

import (
	"cmp"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The model plays the same core, applier and encodings as a Node, on a network and disks in virtual time: loss, delay, messages that overtake
// each other, cuts one way, stops, kills with a write under way, returns with nothing, clocks that drift.

// register answers each write with what stood before; its hash is over all that it ever applied.
type register struct{ value, hash uint64 }

func (g *register) Apply(index uint64, c []byte) []byte {
	old := g.value
	g.value = binary.BigEndian.Uint64(c)
	g.hash = (g.hash ^ g.value) * 1099511628211
	return binary.BigEndian.AppendUint64(nil, old)
}

func (g *register) Snapshot() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, g.value), g.hash)
}

func (g *register) Restore(_ uint64, b []byte) error {
	g.value, g.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

type event struct {
	at    time.Duration
	order int
	node  int // its life must be the same; -1: nobody's
	life  int
	do    func()
}

type vnode struct {
	i         int
	name      string
	voter     bool
	life      int
	up, still bool
	held      []event
	tick      time.Duration
	id        uint64
	c         *core
	g         *register
	ap        *applier
	pend      *pendingCalls
	disk      storedState
	writing   *diskWrite
	slow      time.Duration
	vouched   map[int]bool
	began     time.Duration
	waiting   map[[16]byte]func(callResult)
	waiters   map[[16]byte]*pendingCall
	snap      *recordSnapshot
	raw       []byte
}

type world struct {
	now    time.Duration
	rng    *rand.Rand
	q      []event // the next one last
	order  int
	nodes  []*vnode
	voters int
	cut    map[[2]int]bool
	loss   float64
	delay  time.Duration
	trace  uint64
	agreed map[uint64]uint64 // by index: the machine's hash after it, and since when these vote
	log    map[[16]byte]uint64
	acked  map[[16]byte]uint64
	never  map[[16]byte]bool // refused for good
	ops    []porcupine.Operation
	nextID uint64
	calm   bool
	ending bool
	bad    string
	early  bool // planted: answers before commit
	sameID bool // planted: a return with nothing keeps its identity
	quiet  logrus.FieldLogger
	counts map[string]int
}

func (w *world) fail(format string, a ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, a...)
	}
}

func (w *world) push(after time.Duration, n *vnode, do func()) {
	w.order++
	e := event{at: w.now + after, order: w.order, node: -1, do: do}
	if n != nil {
		e.node, e.life = n.i, n.life
	}
	w.put(e)
}

func (w *world) put(e event) {
	i, _ := slices.BinarySearchFunc(w.q, e, func(a, b event) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order)) })
	w.q = slices.Insert(w.q, i, e)
}

func (w *world) run(until time.Duration) {
	for last := len(w.q) - 1; last >= 0 && w.q[last].at <= until && w.bad == ""; last = len(w.q) - 1 {
		e := w.q[last]
		w.q = w.q[:last]
		w.now = e.at
		if e.node >= 0 {
			n := w.nodes[e.node]
			if n.life != e.life {
				continue
			}
			if n.still {
				n.held = append(n.held, e)
				continue
			}
		}
		w.trace = (w.trace ^ uint64(e.at) ^ uint64(e.node+7)<<40) * 1099511628211
		e.do()
	}
	w.now = until
}

// send brings something to a node, or not.
func (w *world) send(from, to *vnode, do func()) {
	if w.cut[[2]int{from.i, to.i}] || w.rng.Float64() < w.loss {
		return
	}
	d := time.Millisecond/2 + time.Duration(w.rng.Float64()*float64(w.delay))
	w.order++
	life := to.life
	w.put(event{at: w.now + d, order: w.order, node: to.i, life: life, do: func() {
		if to.up {
			do()
		}
	}})
}

func newModel(seed uint64, voters, followers int) *world {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	w := &world{rng: rand.New(rand.NewPCG(seed, 31)), voters: voters, cut: map[[2]int]bool{}, delay: 10 * time.Millisecond, agreed: map[uint64]uint64{},
		log: map[[16]byte]uint64{}, acked: map[[16]byte]uint64{}, never: map[[16]byte]bool{}, quiet: l, counts: map[string]int{}}
	ms := voterSet{}
	for i := range voters + followers {
		n := &vnode{i: i, name: fmt.Sprintf("n%d", i), voter: i < voters, id: w.rng.Uint64()>>2 | 1}
		n.tick = time.Duration((0.9 + 0.2*w.rng.Float64()) * float64(tickInterval))
		w.nodes = append(w.nodes, n)
		n.disk.identity = n.id
		if n.voter {
			ms[n.id] = voter{n.name, n.name}
		}
	}
	s, err := bootstrapSnapshot(77, ms, (&register{}).Snapshot())
	if err != nil {
		panic(err)
	}
	for _, n := range w.nodes {
		if n.voter {
			n.disk.snapshot, n.disk.hardState = s.encode(), &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}
		}
		w.start(n)
	}
	return w
}

func (w *world) start(n *vnode) {
	n.life++
	n.up, n.still, n.held, n.writing, n.c = true, false, nil, nil, nil
	n.g, n.pend = &register{}, &pendingCalls{}
	n.ap = newApplier(n.g)
	n.ap.snapshotInterval = 12
	n.slow = time.Duration(w.rng.Float64() * 8 * float64(time.Millisecond))
	n.waiting, n.waiters, n.snap = map[[16]byte]func(callResult){}, map[[16]byte]*pendingCall{}, nil
	if n.disk.snapshot != nil {
		s, err := decodeSnapshot(n.disk.snapshot)
		if err != nil {
			panic(err)
		}
		w.restore(n, s)
		hard := proto.Clone(n.disk.hardState).(*pb.HardState)
		if hard.GetCommit() < s.index {
			hard.Commit = new(s.index)
		}
		entries := n.disk.entries
		for len(entries) > 0 && entries[0].GetIndex() <= s.index {
			entries = entries[1:]
		}
		st, err := newStorage(s, n.disk.snapshot, hard, append([]*pb.Entry(nil), entries...))
		if err != nil {
			panic(err)
		}
		w.engine(n, st, s, w.now > 0 && !w.sameID)
		for id, m := range n.disk.acknowledged {
			n.c.noteAcknowledged(id, m)
		}
	}
	w.push(time.Duration(w.rng.Float64()*float64(n.tick)), n, func() { w.beat(n) })
	w.push(time.Duration(w.rng.Float64()*100)*time.Millisecond, n, func() { w.pull(n) })
	if n.voter {
		w.push(100*time.Millisecond, n, func() { w.look(n) })
	}
}

func (w *world) engine(n *vnode, st *raft.MemoryStorage, s recordSnapshot, unsure bool) {
	c, err := newCore(n.id, st, s, unsure, raftLogger{w.quiet})
	if err != nil {
		w.fail("engine of %s: %v", n.name, err)
		return
	}
	n.c, n.vouched, n.began = c, map[int]bool{}, w.now
}

func (w *world) restore(n *vnode, s recordSnapshot) {
	if _, err := n.ap.restore(s); err != nil {
		w.fail("restore: %v", err)
	}
	w.check(n)
}

// check holds what a node has applied against what any other had at that index.
func (w *world) check(n *vnode) {
	_, index, _ := n.ap.position()
	_, voters := n.ap.voterSetAt()
	hash := n.g.hash ^ voters<<32
	if h, ok := w.agreed[index]; ok && h != hash {
		w.fail("%s differs at %d", n.name, index)
	}
	w.agreed[index] = hash
}

func (w *world) apply(n *vnode, it committedEntry) {
	answer, ok := n.ap.apply(it)
	if !ok {
		return
	}
	w.check(n)
	if it.kind == entryCommand {
		w.log[it.proposalID] = it.index
	}
	n.pend.completeApplied(it.index, it.proposalID, answer)
	if n.c != nil && n.ap.snapshotDue() {
		n.snap, n.raw = n.ap.takeSnapshot()
	}
}

// beat is a tick, by this node's own clock.
func (w *world) beat(n *vnode) {
	w.push(n.tick, n, func() { w.beat(n) })
	if n.c != nil {
		n.c.tick()
		w.pump(n)
	}
}

func (w *world) pump(n *vnode) {
	for n.c != nil && n.writing == nil && w.bad == "" {
		if s := n.snap; s != nil {
			n.snap = nil
			if s.index <= n.c.status().Applied && s.index <= n.c.lastIndex() && s.index > n.c.snapshotIndex {
				if err := n.c.compact(*s, n.raw, 3); err != nil {
					w.fail("compact: %v", err)
					return
				}
				first, _ := n.c.storage.FirstIndex()
				w.write(n, diskWrite{compaction: n.raw, compactedIndex: first - 1}, func() {})
				return
			}
		}
		k := n.c.nextReady()
		if k == nil {
			break
		}
		for _, e := range k.entries {
			if id, c, ok := decodeCommand(e.GetData()); ok && e.GetType() == pb.EntryNormal {
				n.pend.assignIndex(id, e.GetIndex())
				if w.early && n.waiters[id] != nil {
					n.pend.completeApplied(e.GetIndex(), id, binary.BigEndian.AppendUint64(nil, n.g.value))
					_ = c
				}
			}
		}
		w.mail(n, k.beforeSync)
		if !k.mustSync() {
			w.finish(n, k)
			continue
		}
		dw := diskWrite{hardState: k.hardState, entries: k.entries, acknowledged: maps.Clone(k.acknowledged)}
		if k.snapshot != nil {
			dw.snapshot = k.snapshot.GetData()
		}
		w.write(n, dw, func() { w.finish(n, k) })
	}
	w.settle(n)
}

func (w *world) write(n *vnode, dw diskWrite, then func()) {
	n.writing = &dw
	w.push(time.Millisecond/4+time.Duration(w.rng.Float64()*float64(n.slow)), n, func() {
		w.store(n)
		then()
		w.pump(n)
	})
}

// store is the write that was under way, done: whole, as the file's transactions are.
func (w *world) store(n *vnode) {
	dw := n.writing
	n.writing = nil
	if dw == nil {
		return
	}
	h := &n.disk
	if dw.snapshot != nil {
		h.snapshot, h.entries = dw.snapshot, nil
	}
	if dw.compaction != nil {
		h.snapshot = dw.compaction
		for len(h.entries) > 0 && h.entries[0].GetIndex() <= dw.compactedIndex {
			h.entries = h.entries[1:]
		}
	}
	if dw.hardState != nil {
		h.hardState = dw.hardState
	}
	if len(dw.entries) > 0 {
		at := dw.entries[0].GetIndex()
		for len(h.entries) > 0 && h.entries[len(h.entries)-1].GetIndex() >= at {
			h.entries = h.entries[: len(h.entries)-1 : len(h.entries)-1]
		}
		h.entries = append(h.entries, dw.entries...)
	}
	if dw.acknowledged != nil {
		h.acknowledged = dw.acknowledged
	}
}

func (w *world) finish(n *vnode, k *pendingReady) {
	snap, items, err := n.c.advance()
	if err != nil {
		w.fail("%s: %v", n.name, err)
		return
	}
	w.mail(n, k.afterSync)
	if snap != nil {
		w.counts["snapshots"]++
		w.restore(n, *snap)
	}
	for _, it := range items {
		w.apply(n, it)
	}
	for _, rs := range k.rd.ReadStates {
		var id [16]byte
		copy(id[:], rs.RequestCtx)
		n.pend.completeBarrier(id, rs.Index)
	}
}

func (w *world) byID(id uint64) *vnode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) mail(n *vnode, ms []*pb.Message) {
	for _, m := range ms {
		to := w.byID(m.GetTo())
		if to == nil {
			continue
		}
		b, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		var marks map[uint64]logPosition
		if m.GetType() == pb.MsgHeartbeat {
			marks = maps.Clone(n.c.acknowledged)
			marks[n.id] = n.c.ownPosition()
		}
		body := encodeMessages(n.id, marks, [][]byte{b})
		w.send(n, to, func() { w.take(to, body) })
		if m.GetType() == pb.MsgSnap {
			how := raft.SnapshotFinish
			if w.rng.IntN(3) == 0 {
				how = raft.SnapshotFailure
			}
			id := m.GetTo()
			w.push(50*time.Millisecond, n, func() {
				if n.c != nil {
					n.c.node.ReportSnapshot(id, how)
				}
			})
		}
	}
}

func (w *world) take(n *vnode, body []byte) {
	if n.c == nil {
		return
	}
	p, err := decodeMessages(body)
	if err != nil {
		w.fail("batch: %v", err)
		return
	}
	for id, m := range p.acknowledged {
		if id != n.id {
			n.c.noteAcknowledged(id, m)
		}
	}
	for _, m := range p.messages {
		if err := n.c.step(m); errors.Is(err, errOutdatedDirectory) {
			if !w.sameID {
				w.fail("%s was held for older, with a whole directory", n.name)
			}
			w.kill(n)
			w.start(n)
			return
		}
	}
	w.pump(n)
}

// settle tells those whose calls have ended.
func (w *world) settle(n *vnode) {
	var ids []uint64
	for id := range n.waiters {
		ids = append(ids, binary.BigEndian.Uint64(id[8:]))
	}
	slices.Sort(ids)
	for _, v := range ids {
		var id [16]byte
		binary.BigEndian.PutUint64(id[8:], v)
		select {
		case r := <-n.waiters[id].done:
			f := n.waiting[id]
			delete(n.waiters, id)
			delete(n.waiting, id)
			w.push(0, n, func() { f(r) })
		default:
		}
	}
}

// pull is a follower's stream, or a newcomer's: a piece at a time.
func (w *world) pull(n *vnode) {
	w.push(time.Duration(20+w.rng.IntN(80))*time.Millisecond, n, func() { w.pull(n) })
	if n.c != nil {
		return
	}
	v := w.nodes[w.rng.IntN(w.voters)]
	if v == n {
		return
	}
	record, index, _ := n.ap.position()
	w.send(n, v, func() {
		if v.c == nil {
			return
		}
		batch, _ := v.ap.entriesAfter(record, index, 2000)
		b := encodeEntries(batch.entries)
		w.send(v, n, func() {
			if n.c != nil {
				return
			}
			if batch.snapshot != nil {
				w.counts["streamed snapshots"]++
				s, err := decodeSnapshot(batch.snapshot)
				if err != nil {
					w.fail("streamed snapshot: %v", err)
					return
				}
				w.restore(n, s)
			}
			entries, err := decodeEntries(b)
			if err != nil {
				w.fail("entries: %v", err)
			}
			for _, e := range entries {
				w.apply(n, e)
			}
			w.settle(n)
		})
	})
}

// look is what a Node's supervisor does: it joins, wishes, vouches.
func (w *world) look(n *vnode) {
	w.push(superviseInterval, n, func() { w.look(n) })
	record, index, _ := n.ap.position()
	switch {
	case n.c == nil && record != 0 && n.ap.voterSet()[n.id].Name == n.name:
		s, raw := n.ap.takeSnapshot()
		hard := &pb.HardState{Term: new(s.term), Commit: new(index)}
		st, err := newStorage(*s, raw, hard, nil)
		if err != nil {
			panic(err)
		}
		n.disk = storedState{identity: n.id, snapshot: raw, hardState: hard}
		w.counts["taken in"]++
		w.engine(n, st, *s, false)
	case n.c == nil:
		c := voterChange{newID: n.id, newName: n.name, address: n.name}
		for _, v := range w.nodes[:w.voters] {
			if v != n {
				w.send(n, v, func() {
					if v.c != nil && v.c.isLeader() {
						v.c.addProposal(changeProposal{oldName: c.newName, newName: c.newName, address: c.address, newID: c.newID})
					}
				})
			}
		}
	case n.c.unverified:
		for _, v := range w.nodes[:w.voters] {
			if v == n {
				continue
			}
			w.send(n, v, func() {
				if v.c == nil {
					return
				}
				m, id := v.c.acknowledged[n.id], v.i
				w.send(v, n, func() {
					if n.c == nil || !n.c.unverified {
						return
					}
					if n.c.isOutdatedBy(m) {
						w.fail("%s was vouched older with a whole directory: %v of %v", n.name, m, n.c.ownPosition())
					}
					n.vouched[id] = true
					if len(n.vouched) == w.voters-1 || len(n.vouched) >= w.voters/2 && w.now-n.began > verifyTimeout {
						n.c.unverified = false
					}
				})
			})
		}
	}
}

// kill ends a node. A write under way may have come through whole, or not at all.
func (w *world) kill(n *vnode) {
	if n.writing != nil && w.rng.IntN(2) == 0 {
		w.store(n)
	}
	n.up, n.still, n.c, n.writing = false, false, nil, nil
	n.life++
}

// whole says whether the loss of one more voter's directory is to be borne: all are up and know of the same voters. One that is down and
// has not yet heard of the last change counts, by its own old configuration, as a second loss.
func (w *world) whole() bool {
	for _, n := range w.nodes[:w.voters] {
		for _, v := range w.nodes[:w.voters] {
			if !v.up || v.c == nil || v.c.voters[n.id].Name != n.name || v.c.inJointConfig() {
				return false
			}
		}
	}
	return true
}

func (w *world) chaos() {
	if w.calm {
		return
	}
	w.push(time.Duration(100+w.rng.IntN(900))*time.Millisecond, nil, w.chaos)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(9) {
	case 0, 1:
		if n.up {
			w.kill(n)
		} else {
			w.start(n)
		}
	case 2, 3:
		for _, n := range w.nodes {
			if !n.up {
				w.start(n)
			}
		}
	case 4:
		w.cut[[2]int{w.rng.IntN(len(w.nodes)), w.rng.IntN(len(w.nodes))}] = true
		for o := range w.nodes {
			if w.rng.IntN(3) == 0 {
				w.cut[[2]int{n.i, o}] = true
			}
		}
	case 5:
		clear(w.cut)
		w.loss, w.delay = 0, 10*time.Millisecond
		if w.rng.IntN(2) == 0 {
			w.loss, w.delay = w.rng.Float64()*0.3, time.Duration(w.rng.IntN(200))*time.Millisecond
		}
	case 6:
		if n.up && !n.still {
			n.still = true
			life := n.life
			w.push(time.Duration(w.rng.IntN(3000))*time.Millisecond, nil, func() {
				if n.life == life {
					w.wakeUp(n)
				}
			})
		}
	case 7: // back with nothing: one at a time, else the record is lost by rights
		n = w.nodes[w.rng.IntN(w.voters)]
		if w.whole() {
			w.counts["emptied"]++
			w.kill(n)
			if !w.sameID {
				n.id = w.rng.Uint64()>>2 | 1
				n.disk = storedState{identity: n.id}
			} else {
				s, _ := decodeSnapshot(n.disk.snapshot)
				s.index, s.term, s.machineState = 1, 1, (&register{}).Snapshot()
				n.disk = storedState{identity: n.id, snapshot: s.encode(), hardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}}
			}
			w.start(n)
		}
	case 8:
		if w.rng.IntN(4) == 0 { // all at once
			for _, n := range w.nodes {
				if n.up {
					w.kill(n)
				}
				w.start(n)
			}
		}
	}
}

func (w *world) wakeUp(n *vnode) {
	n.still = false
	for _, e := range n.held {
		w.order++
		w.put(event{at: w.now, order: w.order, node: e.node, life: e.life, do: e.do})
	}
	n.held = nil
}

type opIn struct {
	write bool
	value uint64
}

type opOut struct {
	known bool
	value uint64
}

const patience = 3 * time.Second

// client makes one call after another, at any node.
func (w *world) client(id int) {
	again := func() { w.push(time.Duration(w.rng.IntN(250))*time.Millisecond, nil, func() { w.client(id) }) }
	if w.ending {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.still {
		w.push(50*time.Millisecond, nil, func() { w.client(id) })
		return
	}
	w.nextID++
	var pid [16]byte
	binary.BigEndian.PutUint64(pid[8:], w.nextID)
	in := opIn{write: w.rng.IntN(3) > 0, value: w.nextID}
	call, ended := w.now, false
	end := func(out opOut, record bool) {
		if ended {
			return
		}
		ended = true
		if record {
			ret := int64(w.now)
			if !out.known {
				ret = 1 << 60
			}
			w.ops = append(w.ops, porcupine.Operation{ClientId: id, Input: in, Call: int64(call), Output: out, Return: ret})
		}
		again()
	}
	w.push(patience, nil, func() { end(opOut{}, in.write) })
	w.ask(n, pid, in, 0, func(r callResult) {
		switch {
		case ended:
		case r.err == nil && in.write:
			w.counts["acked"]++
			w.acked[pid] = r.index
			end(opOut{true, binary.BigEndian.Uint64(r.answer)}, true)
		case r.err == nil: // a barrier: it waits here, and reads here
			life := n.life
			var wait func()
			wait = func() {
				if _, index, _ := n.ap.position(); index >= r.index {
					w.counts["reads"]++
					end(opOut{true, n.g.value}, true)
				} else if !ended && n.life == life && n.up {
					w.push(20*time.Millisecond, n, wait)
				}
			}
			wait()
		case r.err == errNoLeader || r.err == ErrNoQuorum || r.err == ErrQueueFull:
			if in.write {
				w.never[pid] = true
			}
			end(opOut{}, false)
		}
	})
}

func (w *world) ask(n *vnode, pid [16]byte, in opIn, hops int, back func(callResult)) {
	if n.c != nil && n.c.isLeader() {
		k := &pendingCall{id: pid, barrier: !in.write, done: make(chan callResult, 1)}
		n.pend.add(k)
		n.waiters[pid], n.waiting[pid] = k, back
		var err error
		if in.write {
			err = n.c.propose(encodeCommand(pid, binary.BigEndian.AppendUint64(nil, in.value)))
		} else {
			err = n.c.readIndex(pid[:])
		}
		if err != nil {
			n.pend.fail(k, err)
		}
		w.pump(n)
		return
	}
	to := w.nodes[w.rng.IntN(w.voters)]
	if n.c != nil {
		if to = w.byID(n.c.status().Lead); to == nil {
			back(callResult{err: errNoLeader})
			return
		}
	}
	if hops >= 2 || to == n {
		back(callResult{err: errNoLeader})
		return
	}
	w.send(n, to, func() {
		w.ask(to, pid, in, hops+1, func(r callResult) { w.send(to, n, func() { back(r) }) })
	})
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(s, in, out any) (bool, any) {
		i, o := in.(opIn), out.(opOut)
		if o.known && o.value != s.(uint64) {
			return false, s
		}
		if i.write {
			return true, i.value
		}
		return true, s
	},
}

// play runs a seed and says what was wrong.
func play(seed uint64, plant func(*world)) (w *world) {
	old := crand.Reader
	crand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), 1}) // the engine draws its election times from it
	defer func() { crand.Reader = old }()
	w = newModel(seed, 3+2*int(seed%2), 2)
	if plant != nil {
		plant(w)
	}
	defer func() {
		if p := recover(); p != nil {
			w.fail("panic: %v", p)
		}
	}()
	w.push(time.Second, nil, w.chaos)
	for i := range 4 {
		w.push(time.Duration(i)*100*time.Millisecond, nil, func() { w.client(i) })
	}
	w.run(20 * time.Second)
	w.calm, w.loss, w.delay = true, 0, 10*time.Millisecond
	clear(w.cut)
	for _, n := range w.nodes {
		switch {
		case n.still:
			w.wakeUp(n)
		case !n.up:
			w.start(n)
		}
	}
	w.run(30 * time.Second)
	had := w.counts["acked"]
	w.run(32 * time.Second)
	w.ending = true
	w.run(32*time.Second + 2*patience) // expiryTick every call has ended
	if w.counts["acked"] == had {
		w.fail("nothing is agreed any more")
	}
	if !w.whole() && !w.sameID {
		w.fail("a newcomer was not taken in")
	}
	for pid := range w.acked {
		if at := w.log[pid]; at != w.acked[pid] {
			w.fail("acknowledged at %d, in the log at %d", w.acked[pid], at)
		}
	}
	for pid := range w.never {
		if w.log[pid] != 0 {
			w.fail("refused for good, and agreed")
		}
	}
	if w.bad == "" {
		// A write in doubt that is in no log was never made, and one that is has an effect: both are tried by the checker.
		ops := w.ops[:0:0]
		for _, o := range w.ops {
			if in := o.Input.(opIn); !o.Output.(opOut).known {
				var pid [16]byte
				binary.BigEndian.PutUint64(pid[8:], in.value)
				if w.log[pid] == 0 {
					continue
				}
			}
			ops = append(ops, o)
		}
		if r := porcupine.CheckOperationsTimeout(registerModel, ops, 20*time.Second); r != porcupine.Ok {
			w.fail("history of %d calls is not linearizable: %v", len(ops), r)
		}
	}
	h := fnv.New64a()
	fmt.Fprint(h, w.trace, len(w.ops), len(w.agreed), w.counts)
	w.trace = h.Sum64()
	return w
}

func seeds(short int) (first, n uint64) {
	n = uint64(short)
	if v, err := strconv.ParseUint(os.Getenv("ACCORD_SEEDS"), 10, 64); err == nil {
		n = v
	}
	first, _ = strconv.ParseUint(os.Getenv("ACCORD_FIRST"), 10, 64)
	return first, n
}

func TestModel(t *testing.T) {
	first, n := seeds(30)
	total := map[string]int{}
	for seed := first; seed < first+n; seed++ {
		w := play(seed, nil)
		if w.bad != "" {
			t.Errorf("seed %d: %s", seed, w.bad)
		}
		for k, v := range w.counts {
			total[k] += v
		}
		if seed%50 == 0 {
			if again := play(seed, nil); again.trace != w.trace {
				t.Errorf("seed %d: two plays differ", seed)
			}
		}
	}
	t.Log(total)
}

// TestPlanted has the model find what it has to find.
func TestPlanted(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"an answer before commit":           func(w *world) { w.early = true },
		"a vote after an emptied directory": func(w *world) { w.sameID = true },
	} {
		found := 0
		for seed := range uint64(60) {
			if w := play(seed, plant); w.bad != "" {
				if found++; found == 1 {
					t.Logf("%s: seed %d: %s", name, seed, w.bad)
				}
				if found == 2 {
					break
				}
			}
		}
		if found == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
