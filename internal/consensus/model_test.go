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

// The model runs the same core, applier and encodings as a Node, on a network and disks in virtual time: loss, delay, reordered messages,
// one-way cuts, pauses, kills with a write in progress, lost directories, clocks that drift.

// register returns the previous value for each write; its hash is over all that it ever applied.
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
	at          time.Duration
	order       int
	node        int // its incarnation must be the same; -1: of no node
	incarnation int
	do          func()
}

type modelNode struct {
	i                  int
	name               string
	voter              bool
	incarnation        int
	up, paused         bool
	pausedEvents       []event
	tick               time.Duration
	id                 uint64
	core               *core
	machine            *register
	applier            *applier
	pendingCalls       *pendingCalls
	disk               storedState
	writing            *diskWrite
	writeDelay         time.Duration
	verifiedBy         map[int]bool
	startedAt          time.Duration
	waiting            map[proposalID]func(callResult)
	waiters            map[proposalID]*pendingCall
	ownSnapshot        *recordSnapshot
	ownSnapshotEncoded []byte
}

type world struct {
	now           time.Duration
	rng           *rand.Rand
	queue         []event // the next one last
	order         int
	nodes         []*modelNode
	voters        int
	cut           map[[2]int]bool
	loss          float64
	delay         time.Duration
	trace         uint64
	agreed        map[uint64]uint64 // by index: the machine's hash after it, with the voters' index
	log           map[proposalID]uint64
	acked         map[proposalID]uint64
	rejected      map[proposalID]bool // it must never be committed
	ops           []porcupine.Operation
	nextID        uint64
	noFaults      bool
	ending        bool
	failure       string
	earlyAnswers  bool // planted fault: answers before commit
	keepsIdentity bool // planted fault: a lost directory keeps its identity
	quiet         logrus.FieldLogger
	counts        map[string]int
}

func (w *world) fail(format string, a ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, a...)
	}
}

func (w *world) push(after time.Duration, n *modelNode, do func()) {
	w.order++
	e := event{at: w.now + after, order: w.order, node: -1, do: do}
	if n != nil {
		e.node, e.incarnation = n.i, n.incarnation
	}
	w.put(e)
}

func (w *world) put(e event) {
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order)) })
	w.queue = slices.Insert(w.queue, i, e)
}

func (w *world) run(until time.Duration) {
	for last := len(w.queue) - 1; last >= 0 && w.queue[last].at <= until && w.failure == ""; last = len(w.queue) - 1 {
		e := w.queue[last]
		w.queue = w.queue[:last]
		w.now = e.at
		if e.node >= 0 {
			n := w.nodes[e.node]
			if n.incarnation != e.incarnation {
				continue
			}
			if n.paused {
				n.pausedEvents = append(n.pausedEvents, e)
				continue
			}
		}
		w.trace = (w.trace ^ uint64(e.at) ^ uint64(e.node+7)<<40) * 1099511628211
		e.do()
	}
	w.now = until
}

// send delivers something to a node, or loses it.
func (w *world) send(from, to *modelNode, do func()) {
	if w.cut[[2]int{from.i, to.i}] || w.rng.Float64() < w.loss {
		return
	}
	d := time.Millisecond/2 + time.Duration(w.rng.Float64()*float64(w.delay))
	w.order++
	incarnation := to.incarnation
	w.put(event{at: w.now + d, order: w.order, node: to.i, incarnation: incarnation, do: func() {
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
		log: map[proposalID]uint64{}, acked: map[proposalID]uint64{}, rejected: map[proposalID]bool{}, quiet: l, counts: map[string]int{}}
	ms := voterSet{}
	for i := range voters + followers {
		n := &modelNode{i: i, name: fmt.Sprintf("n%d", i), voter: i < voters, id: w.rng.Uint64()>>2 | 1}
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

func (w *world) start(n *modelNode) {
	n.incarnation++
	n.up, n.paused, n.pausedEvents, n.writing, n.core = true, false, nil, nil, nil
	n.machine, n.pendingCalls = &register{}, &pendingCalls{}
	n.applier = newApplier(n.machine)
	n.applier.snapshotInterval = 12
	n.writeDelay = time.Duration(w.rng.Float64() * 8 * float64(time.Millisecond))
	n.waiting, n.waiters, n.ownSnapshot = map[proposalID]func(callResult){}, map[proposalID]*pendingCall{}, nil
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
		w.engine(n, st, s, w.now > 0 && !w.keepsIdentity)
		for id, m := range n.disk.acknowledged {
			n.core.noteAcknowledged(id, m)
		}
	}
	w.push(time.Duration(w.rng.Float64()*float64(n.tick)), n, func() { w.tick(n) })
	w.push(time.Duration(w.rng.Float64()*100)*time.Millisecond, n, func() { w.followStream(n) })
	if n.voter {
		w.push(100*time.Millisecond, n, func() { w.supervise(n) })
	}
}

func (w *world) engine(n *modelNode, st *raft.MemoryStorage, s recordSnapshot, unsure bool) {
	c, err := newCore(n.id, st, s, unsure, raftLogger{w.quiet})
	if err != nil {
		w.fail("engine of %s: %v", n.name, err)
		return
	}
	n.core, n.verifiedBy, n.startedAt = c, map[int]bool{}, w.now
}

func (w *world) restore(n *modelNode, s recordSnapshot) {
	if _, err := n.applier.restore(s); err != nil {
		w.fail("restore: %v", err)
	}
	w.check(n)
}

// check compares what a node has applied with what any other had at that index.
func (w *world) check(n *modelNode) {
	_, index, _ := n.applier.position()
	_, voters := n.applier.voterSetAt()
	hash := n.machine.hash ^ voters<<32
	if h, ok := w.agreed[index]; ok && h != hash {
		w.fail("%s differs at %d", n.name, index)
	}
	w.agreed[index] = hash
}

func (w *world) apply(n *modelNode, it committedEntry) {
	answer, ok := n.applier.apply(it)
	if !ok {
		return
	}
	w.check(n)
	if it.kind == entryCommand {
		w.log[it.proposalID] = it.index
	}
	n.pendingCalls.completeApplied(it.index, it.proposalID, answer)
	if n.core != nil && n.applier.snapshotDue() {
		n.ownSnapshot, n.ownSnapshotEncoded = n.applier.takeSnapshot()
	}
}

// tick is a tick, by this node's own clock.
func (w *world) tick(n *modelNode) {
	w.push(n.tick, n, func() { w.tick(n) })
	if n.core != nil {
		n.core.tick()
		w.processReady(n)
	}
}

func (w *world) processReady(n *modelNode) {
	for n.core != nil && n.writing == nil && w.failure == "" {
		if s := n.ownSnapshot; s != nil {
			n.ownSnapshot = nil
			if s.index <= n.core.status().Applied && s.index <= n.core.lastIndex() && s.index > n.core.snapshotIndex {
				if err := n.core.compact(*s, n.ownSnapshotEncoded, 3); err != nil {
					w.fail("compact: %v", err)
					return
				}
				first, _ := n.core.storage.FirstIndex()
				w.write(n, diskWrite{compaction: n.ownSnapshotEncoded, compactedIndex: first - 1}, func() {})
				return
			}
		}
		k := n.core.nextReady()
		if k == nil {
			break
		}
		for _, e := range k.entries {
			if id, c, ok := decodeCommand(e.GetData()); ok && e.GetType() == pb.EntryNormal {
				n.pendingCalls.assignIndex(id, e.GetIndex())
				if w.earlyAnswers && n.waiters[id] != nil {
					n.pendingCalls.completeApplied(e.GetIndex(), id, binary.BigEndian.AppendUint64(nil, n.machine.value))
					_ = c
				}
			}
		}
		w.sendMessages(n, k.beforeSync)
		if !k.mustSync() {
			w.completeReady(n, k)
			continue
		}
		dw := diskWrite{hardState: k.hardState, entries: k.entries, acknowledged: maps.Clone(k.acknowledged)}
		if k.snapshot != nil {
			dw.snapshot = k.snapshot.GetData()
		}
		w.write(n, dw, func() { w.completeReady(n, k) })
	}
	w.deliverResults(n)
}

func (w *world) write(n *modelNode, dw diskWrite, then func()) {
	n.writing = &dw
	w.push(time.Millisecond/4+time.Duration(w.rng.Float64()*float64(n.writeDelay)), n, func() {
		w.completeWrite(n)
		then()
		w.processReady(n)
	})
}

// completeWrite does the write that was in progress: atomically, as the file's transactions are.
func (w *world) completeWrite(n *modelNode) {
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

func (w *world) completeReady(n *modelNode, k *pendingReady) {
	snap, items, err := n.core.advance()
	if err != nil {
		w.fail("%s: %v", n.name, err)
		return
	}
	w.sendMessages(n, k.afterSync)
	if snap != nil {
		w.counts["snapshots"]++
		w.restore(n, *snap)
	}
	for _, it := range items {
		w.apply(n, it)
	}
	for _, rs := range k.rd.ReadStates {
		var id proposalID
		copy(id[:], rs.RequestCtx)
		n.pendingCalls.completeBarrier(id, rs.Index)
	}
}

func (w *world) byID(id uint64) *modelNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) sendMessages(n *modelNode, ms []*pb.Message) {
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
			marks = maps.Clone(n.core.acknowledged)
			marks[n.id] = n.core.ownPosition()
		}
		body := encodeMessages(n.id, marks, [][]byte{b})
		w.send(n, to, func() { w.step(to, body) })
		if m.GetType() == pb.MsgSnap {
			how := raft.SnapshotFinish
			if w.rng.IntN(3) == 0 {
				how = raft.SnapshotFailure
			}
			id := m.GetTo()
			w.push(50*time.Millisecond, n, func() {
				if n.core != nil {
					n.core.rawNode.ReportSnapshot(id, how)
				}
			})
		}
	}
}

func (w *world) step(n *modelNode, body []byte) {
	if n.core == nil {
		return
	}
	p, err := decodeMessages(body)
	if err != nil {
		w.fail("batch: %v", err)
		return
	}
	for id, m := range p.acknowledged {
		if id != n.id {
			n.core.noteAcknowledged(id, m)
		}
	}
	for _, m := range p.messages {
		if err := n.core.step(m); errors.Is(err, errOutdatedDirectory) {
			if !w.keepsIdentity {
				w.fail("%s was found outdated, with a complete directory", n.name)
			}
			w.kill(n)
			w.start(n)
			return
		}
	}
	w.processReady(n)
}

// deliverResults delivers the results of calls that have ended.
func (w *world) deliverResults(n *modelNode) {
	var ids []uint64
	for id := range n.waiters {
		ids = append(ids, binary.BigEndian.Uint64(id[8:]))
	}
	slices.Sort(ids)
	for _, v := range ids {
		var id proposalID
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

// followStream is a stream of a follower or a joining voter: one batch at a time.
func (w *world) followStream(n *modelNode) {
	w.push(time.Duration(20+w.rng.IntN(80))*time.Millisecond, n, func() { w.followStream(n) })
	if n.core != nil {
		return
	}
	v := w.nodes[w.rng.IntN(w.voters)]
	if v == n {
		return
	}
	record, index, _ := n.applier.position()
	w.send(n, v, func() {
		if v.core == nil {
			return
		}
		batch, _ := v.applier.entriesAfter(record, index, 2000)
		b := encodeEntries(batch.entries)
		w.send(v, n, func() {
			if n.core != nil {
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
			w.deliverResults(n)
		})
	})
}

// supervise is what a Node's supervisor does: it joins, proposes changes, verifies its directory.
func (w *world) supervise(n *modelNode) {
	w.push(superviseInterval, n, func() { w.supervise(n) })
	record, index, _ := n.applier.position()
	switch {
	case n.core == nil && record != 0 && n.applier.voterSet()[n.id].name == n.name:
		s, raw := n.applier.takeSnapshot()
		hard := &pb.HardState{Term: new(s.term), Commit: new(index)}
		st, err := newStorage(*s, raw, hard, nil)
		if err != nil {
			panic(err)
		}
		n.disk = storedState{identity: n.id, snapshot: raw, hardState: hard}
		w.counts["joined"]++
		w.engine(n, st, *s, false)
	case n.core == nil:
		c := voterChange{newID: n.id, newName: n.name, address: n.name}
		for _, v := range w.nodes[:w.voters] {
			if v != n {
				w.send(n, v, func() {
					if v.core != nil && v.core.isLeader() {
						v.core.addProposal(changeProposal{oldName: c.newName, newName: c.newName, address: c.address, newID: c.newID})
					}
				})
			}
		}
	case n.core.unverified:
		for _, v := range w.nodes[:w.voters] {
			if v == n {
				continue
			}
			w.send(n, v, func() {
				if v.core == nil {
					return
				}
				m, id := v.core.acknowledged[n.id], v.i
				w.send(v, n, func() {
					if n.core == nil || !n.core.unverified {
						return
					}
					if n.core.isOutdatedBy(m) {
						w.fail("%s was verified as outdated with a complete directory: %v of %v", n.name, m, n.core.ownPosition())
					}
					n.verifiedBy[id] = true
					if len(n.verifiedBy) == w.voters-1 || len(n.verifiedBy) >= w.voters/2 && w.now-n.startedAt > verifyTimeout {
						n.core.unverified = false
					}
				})
			})
		}
	}
}

// kill ends a node. A write in progress may have completed, or not at all.
func (w *world) kill(n *modelNode) {
	if n.writing != nil && w.rng.IntN(2) == 0 {
		w.completeWrite(n)
	}
	n.up, n.paused, n.core, n.writing = false, false, nil, nil
	n.incarnation++
}

// mayLoseVoter says whether the loss of one more voter's directory is tolerated: all are up and have the same voters. One that is down and
// does not have the last change yet counts, by its own old configuration, as a second loss.
func (w *world) mayLoseVoter() bool {
	for _, n := range w.nodes[:w.voters] {
		for _, v := range w.nodes[:w.voters] {
			if !v.up || v.core == nil || v.core.voters[n.id].name != n.name || v.core.inJointConfig() {
				return false
			}
		}
	}
	return true
}

func (w *world) chaos() {
	if w.noFaults {
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
		if n.up && !n.paused {
			n.paused = true
			incarnation := n.incarnation
			w.push(time.Duration(w.rng.IntN(3000))*time.Millisecond, nil, func() {
				if n.incarnation == incarnation {
					w.resume(n)
				}
			})
		}
	case 7: // a lost directory: one at a time, otherwise the record is rightly lost
		n = w.nodes[w.rng.IntN(w.voters)]
		if w.mayLoseVoter() {
			w.counts["emptied"]++
			w.kill(n)
			if !w.keepsIdentity {
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

func (w *world) resume(n *modelNode) {
	n.paused = false
	for _, e := range n.pausedEvents {
		w.order++
		w.put(event{at: w.now, order: w.order, node: e.node, incarnation: e.incarnation, do: e.do})
	}
	n.pausedEvents = nil
}

type opIn struct {
	write bool
	value uint64
}

type opOut struct {
	answered bool
	value    uint64
}

const callTimeout = 3 * time.Second

// client makes one call after another, at any node.
func (w *world) client(id int) {
	again := func() { w.push(time.Duration(w.rng.IntN(250))*time.Millisecond, nil, func() { w.client(id) }) }
	if w.ending {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.paused {
		w.push(50*time.Millisecond, nil, func() { w.client(id) })
		return
	}
	w.nextID++
	var pid proposalID
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
			if !out.answered {
				ret = 1 << 60
			}
			w.ops = append(w.ops, porcupine.Operation{ClientId: id, Input: in, Call: int64(call), Output: out, Return: ret})
		}
		again()
	}
	w.push(callTimeout, nil, func() { end(opOut{}, in.write) })
	w.call(n, pid, in, 0, func(r callResult) {
		switch {
		case ended:
		case r.err == nil && in.write:
			w.counts["acked"]++
			w.acked[pid] = r.index
			end(opOut{true, binary.BigEndian.Uint64(r.answer)}, true)
		case r.err == nil: // a barrier: it waits here, and reads here
			incarnation := n.incarnation
			var wait func()
			wait = func() {
				if _, index, _ := n.applier.position(); index >= r.index {
					w.counts["reads"]++
					end(opOut{true, n.machine.value}, true)
				} else if !ended && n.incarnation == incarnation && n.up {
					w.push(20*time.Millisecond, n, wait)
				}
			}
			wait()
		case r.err == errNoLeader || r.err == ErrNoQuorum || r.err == ErrQueueFull:
			if in.write {
				w.rejected[pid] = true
			}
			end(opOut{}, false)
		}
	})
}

func (w *world) call(n *modelNode, pid proposalID, in opIn, hops int, back func(callResult)) {
	if n.core != nil && n.core.isLeader() {
		k := &pendingCall{id: pid, barrier: !in.write, done: make(chan callResult, 1)}
		n.pendingCalls.add(k)
		n.waiters[pid], n.waiting[pid] = k, back
		var err error
		if in.write {
			err = n.core.propose(encodeCommand(pid, binary.BigEndian.AppendUint64(nil, in.value)))
		} else {
			err = n.core.readIndex(pid[:])
		}
		if err != nil {
			n.pendingCalls.fail(k, err)
		}
		w.processReady(n)
		return
	}
	to := w.nodes[w.rng.IntN(w.voters)]
	if n.core != nil {
		if to = w.byID(n.core.status().Lead); to == nil {
			back(callResult{err: errNoLeader})
			return
		}
	}
	if hops >= 2 || to == n {
		back(callResult{err: errNoLeader})
		return
	}
	w.send(n, to, func() {
		w.call(to, pid, in, hops+1, func(r callResult) { w.send(to, n, func() { back(r) }) })
	})
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(s, in, out any) (bool, any) {
		i, o := in.(opIn), out.(opOut)
		if o.answered && o.value != s.(uint64) {
			return false, s
		}
		if i.write {
			return true, i.value
		}
		return true, s
	},
}

// runModel runs a seed; the world's failure says what was wrong.
func runModel(seed uint64, plant func(*world)) (w *world) {
	old := crand.Reader
	crand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), 1}) // raft draws its election times from it
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
	w.noFaults, w.loss, w.delay = true, 0, 10*time.Millisecond
	clear(w.cut)
	for _, n := range w.nodes {
		switch {
		case n.paused:
			w.resume(n)
		case !n.up:
			w.start(n)
		}
	}
	w.run(30 * time.Second)
	had := w.counts["acked"]
	w.run(32 * time.Second)
	w.ending = true
	w.run(32*time.Second + 2*callTimeout) // until every call has ended
	if w.counts["acked"] == had {
		w.fail("nothing is committed any more")
	}
	if !w.mayLoseVoter() && !w.keepsIdentity {
		w.fail("a replaced voter did not join")
	}
	for pid := range w.acked {
		if at := w.log[pid]; at != w.acked[pid] {
			w.fail("acknowledged at %d, in the log at %d", w.acked[pid], at)
		}
	}
	for pid := range w.rejected {
		if w.log[pid] != 0 {
			w.fail("rejected, and committed")
		}
	}
	if w.failure == "" {
		// A write of unknown outcome counts if it is in the log, and was never made otherwise.
		ops := w.ops[:0:0]
		for _, o := range w.ops {
			if in := o.Input.(opIn); !o.Output.(opOut).answered {
				var pid proposalID
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
	if v, err := strconv.ParseUint(os.Getenv("CONSENSUS_SEEDS"), 10, 64); err == nil {
		n = v
	}
	first, _ = strconv.ParseUint(os.Getenv("CONSENSUS_FIRST"), 10, 64)
	return first, n
}

func TestModel(t *testing.T) {
	first, n := seeds(30)
	total := map[string]int{}
	for seed := first; seed < first+n; seed++ {
		w := runModel(seed, nil)
		if w.failure != "" {
			t.Errorf("seed %d: %s", seed, w.failure)
		}
		for k, v := range w.counts {
			total[k] += v
		}
		if seed%50 == 0 {
			if again := runModel(seed, nil); again.trace != w.trace {
				t.Errorf("seed %d: two plays differ", seed)
			}
		}
	}
	t.Log(total)
}

// TestPlantedFaults has the model find planted faults.
func TestPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"an answer before commit":       func(w *world) { w.earlyAnswers = true },
		"a vote after a lost directory": func(w *world) { w.keepsIdentity = true },
	} {
		found := 0
		for seed := range uint64(60) {
			if w := runModel(seed, plant); w.failure != "" {
				if found++; found == 1 {
					t.Logf("%s: seed %d: %s", name, seed, w.failure)
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
