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

// The model runs the core, applier and encodings of a Node on a simulated network and simulated disks in
// virtual time. It injects lost, delayed and reordered messages, one-way cuts, pauses, kills during a
// write, lost directories and clocks that drift.

// register is a machine that holds one value. Each write returns the previous value; the hash covers all
// writes that the register has applied.
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

// event is a call of do at a virtual time. Events of the same time run by order.
type event struct {
	at          time.Duration
	order       int
	node        int // index of the node, or -1 for none: an event of a paused node waits until the node resumes
	incarnation int // the event is dropped if the node was started or killed since
	do          func()
}

type modelNode struct {
	i                  int
	name               string
	voter              bool
	incarnation        int
	up, paused         bool
	pausedEvents       []event       // events that came due during the pause
	tick               time.Duration // interval of the node's ticks, up to 10 % off tickInterval
	id                 uint64
	core               *core
	machine            *register
	applier            *applier
	pendingCalls       *pendingCalls
	disk               storedState
	writing            *diskWrite    // the write in progress; nil if there is none
	writeDelay         time.Duration // maximum random part of a write's duration
	verifiedBy         map[int]bool  // indexes of the voters that have answered the verification of the directory
	startedAt          time.Duration
	callbacks          map[proposalID]func(callResult) // of the calls in callsByID
	callsByID          map[proposalID]*pendingCall     // at this node's core
	ownSnapshot        *recordSnapshot
	ownSnapshotEncoded []byte
}

// world is the state of the model. It draws all random numbers from one seed.
type world struct {
	now                 time.Duration
	rng                 *rand.Rand
	queue               []event // in descending order of time: the next event is the last
	order               int
	nodes               []*modelNode
	voters              int             // the first of the nodes
	cut                 map[[2]int]bool // by sender and receiver
	loss                float64
	delay               time.Duration
	trace               uint64            // hash of all events, to compare two runs of a seed
	stateHashes         map[uint64]uint64 // by index: hash of the machine's state and of the voters' index
	committedIndexes    map[proposalID]uint64
	ackedIndexes        map[proposalID]uint64
	rejected            map[proposalID]bool // proposals that must never be committed
	ops                 []porcupine.Operation
	nextID              uint64
	noFaults            bool // injectFault does nothing any more
	ending              bool // clients make no more calls
	failure             string
	answersBeforeCommit bool // planted fault: a write is answered before it is committed
	reusesIdentity      bool // planted fault: a voter that lost its directory keeps its identity
	discardLog          logrus.FieldLogger
	counts              map[string]int
}

// fail records the first failure.
func (w *world) fail(format string, a ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, a...)
	}
}

// schedule runs do after a delay, at node n if that is not nil.
func (w *world) schedule(delay time.Duration, n *modelNode, do func()) {
	w.order++
	e := event{at: w.now + delay, order: w.order, node: -1, do: do}
	if n != nil {
		e.node, e.incarnation = n.i, n.incarnation
	}
	w.insertEvent(e)
}

func (w *world) insertEvent(e event) {
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order)) })
	w.queue = slices.Insert(w.queue, i, e)
}

// run runs the events up to a time, or until the first failure.
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

// send runs do at the receiver after a random delay, unless the message is lost.
func (w *world) send(from, to *modelNode, do func()) {
	if w.cut[[2]int{from.i, to.i}] || w.rng.Float64() < w.loss {
		return
	}
	d := time.Millisecond/2 + time.Duration(w.rng.Float64()*float64(w.delay))
	w.order++
	incarnation := to.incarnation
	w.insertEvent(event{at: w.now + d, order: w.order, node: to.i, incarnation: incarnation, do: func() {
		if to.up {
			do()
		}
	}})
}

func newModel(seed uint64, voters, followers int) *world {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	discardLog.SetLevel(logrus.PanicLevel)
	w := &world{rng: rand.New(rand.NewPCG(seed, 31)), voters: voters, cut: map[[2]int]bool{}, delay: 10 * time.Millisecond, stateHashes: map[uint64]uint64{},
		committedIndexes: map[proposalID]uint64{}, ackedIndexes: map[proposalID]uint64{}, rejected: map[proposalID]bool{}, discardLog: discardLog, counts: map[string]int{}}
	initialVoters := voterSet{}
	for i := range voters + followers {
		n := &modelNode{i: i, name: fmt.Sprintf("n%d", i), voter: i < voters, id: w.rng.Uint64()>>2 | 1}
		n.tick = time.Duration((0.9 + 0.2*w.rng.Float64()) * float64(tickInterval))
		w.nodes = append(w.nodes, n)
		n.disk.identity = n.id
		if n.voter {
			initialVoters[n.id] = voter{n.name, n.name}
		}
	}
	s, err := bootstrapSnapshot(77, initialVoters, (&register{}).Snapshot())
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

// start starts a node from the content of its disk.
func (w *world) start(n *modelNode) {
	n.incarnation++
	n.up, n.paused, n.pausedEvents, n.writing, n.core = true, false, nil, nil, nil
	n.machine, n.pendingCalls = &register{}, &pendingCalls{}
	n.applier = newApplier(n.machine)
	n.applier.snapshotInterval = 12
	n.writeDelay = time.Duration(w.rng.Float64() * 8 * float64(time.Millisecond))
	n.callbacks, n.callsByID, n.ownSnapshot = map[proposalID]func(callResult){}, map[proposalID]*pendingCall{}, nil
	if n.disk.snapshot != nil {
		s, err := decodeSnapshot(n.disk.snapshot)
		if err != nil {
			panic(err)
		}
		w.restore(n, s)
		hardState := proto.Clone(n.disk.hardState).(*pb.HardState)
		if hardState.GetCommit() < s.index {
			hardState.Commit = new(s.index)
		}
		entries := n.disk.entries
		for len(entries) > 0 && entries[0].GetIndex() <= s.index {
			entries = entries[1:]
		}
		storage, err := newStorage(s, n.disk.snapshot, hardState, append([]*pb.Entry(nil), entries...))
		if err != nil {
			panic(err)
		}
		w.startCore(n, storage, s, w.now > 0 && !w.reusesIdentity)
		for id, m := range n.disk.acknowledged {
			n.core.noteAcknowledged(id, m)
		}
	}
	w.schedule(time.Duration(w.rng.Float64()*float64(n.tick)), n, func() { w.tick(n) })
	w.schedule(time.Duration(w.rng.Float64()*100)*time.Millisecond, n, func() { w.followStream(n) })
	if n.voter {
		w.schedule(100*time.Millisecond, n, func() { w.supervise(n) })
	}
}

func (w *world) startCore(n *modelNode, storage *raft.MemoryStorage, s recordSnapshot, unverified bool) {
	c, err := newCore(n.id, storage, s, unverified, raftLogger{w.discardLog})
	if err != nil {
		w.fail("newCore for %s: %v", n.name, err)
		return
	}
	n.core, n.verifiedBy, n.startedAt = c, map[int]bool{}, w.now
}

func (w *world) restore(n *modelNode, s recordSnapshot) {
	if _, err := n.applier.restore(s); err != nil {
		w.fail("restore at %s: %v", n.name, err)
	}
	w.checkAgreement(n)
}

// checkAgreement compares a node's state with the state that other nodes had at the same index.
func (w *world) checkAgreement(n *modelNode) {
	_, index, _ := n.applier.position()
	_, voters := n.applier.voterSetAt()
	hash := n.machine.hash ^ voters<<32
	if h, ok := w.stateHashes[index]; ok && h != hash {
		w.fail("state of %s at index %d differs from another node's", n.name, index)
	}
	w.stateHashes[index] = hash
}

func (w *world) apply(n *modelNode, entry committedEntry) {
	result, ok := n.applier.apply(entry)
	if !ok {
		return
	}
	w.checkAgreement(n)
	if entry.kind == entryCommand {
		w.committedIndexes[entry.proposalID] = entry.index
	}
	n.pendingCalls.completeApplied(entry.index, entry.proposalID, result)
	if n.core != nil && n.applier.snapshotDue() {
		n.ownSnapshot, n.ownSnapshotEncoded = n.applier.takeSnapshot()
	}
}

// tick runs a tick of a node, and schedules the next one by the node's own clock.
func (w *world) tick(n *modelNode) {
	w.schedule(n.tick, n, func() { w.tick(n) })
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
					w.fail("compact at %s: %v", n.name, err)
					return
				}
				first, _ := n.core.storage.FirstIndex()
				w.write(n, diskWrite{compaction: n.ownSnapshotEncoded, compactedIndex: first - 1}, func() {})
				return
			}
		}
		ready := n.core.nextReady()
		if ready == nil {
			break
		}
		for _, e := range ready.entries {
			if id, c, ok := decodeCommand(e.GetData()); ok && e.GetType() == pb.EntryNormal {
				n.pendingCalls.assignIndex(id, e.GetIndex())
				if w.answersBeforeCommit && n.callsByID[id] != nil {
					n.pendingCalls.completeApplied(e.GetIndex(), id, binary.BigEndian.AppendUint64(nil, n.machine.value))
					_ = c
				}
			}
		}
		w.sendMessages(n, ready.beforeSync)
		if !ready.mustSync() {
			w.completeReady(n, ready)
			continue
		}
		write := diskWrite{hardState: ready.hardState, entries: ready.entries, acknowledged: maps.Clone(ready.acknowledged)}
		if ready.snapshot != nil {
			write.snapshot = ready.snapshot.GetData()
		}
		w.write(n, write, func() { w.completeReady(n, ready) })
	}
	w.deliverResults(n)
}

func (w *world) write(n *modelNode, write diskWrite, then func()) {
	n.writing = &write
	w.schedule(time.Millisecond/4+time.Duration(w.rng.Float64()*float64(n.writeDelay)), n, func() {
		w.completeWrite(n)
		then()
		w.processReady(n)
	})
}

// completeWrite performs the write in progress atomically, as a transaction of the file does.
func (w *world) completeWrite(n *modelNode) {
	write := n.writing
	n.writing = nil
	if write == nil {
		return
	}
	stored := &n.disk
	if write.snapshot != nil {
		stored.snapshot, stored.entries = write.snapshot, nil
	}
	if write.compaction != nil {
		stored.snapshot = write.compaction
		for len(stored.entries) > 0 && stored.entries[0].GetIndex() <= write.compactedIndex {
			stored.entries = stored.entries[1:]
		}
	}
	if write.hardState != nil {
		stored.hardState = write.hardState
	}
	if len(write.entries) > 0 {
		firstIndex := write.entries[0].GetIndex()
		for len(stored.entries) > 0 && stored.entries[len(stored.entries)-1].GetIndex() >= firstIndex {
			stored.entries = stored.entries[: len(stored.entries)-1 : len(stored.entries)-1]
		}
		stored.entries = append(stored.entries, write.entries...)
	}
	if write.acknowledged != nil {
		stored.acknowledged = write.acknowledged
	}
}

func (w *world) completeReady(n *modelNode, ready *pendingReady) {
	snapshot, entries, err := n.core.advance()
	if err != nil {
		w.fail("advance at %s: %v", n.name, err)
		return
	}
	w.sendMessages(n, ready.afterSync)
	if snapshot != nil {
		w.counts["snapshots"]++
		w.restore(n, *snapshot)
	}
	for _, entry := range entries {
		w.apply(n, entry)
	}
	for _, rs := range ready.rd.ReadStates {
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

func (w *world) sendMessages(n *modelNode, messages []*pb.Message) {
	for _, m := range messages {
		to := w.byID(m.GetTo())
		if to == nil {
			continue
		}
		b, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		var acknowledged map[uint64]logPosition
		if m.GetType() == pb.MsgHeartbeat {
			acknowledged = maps.Clone(n.core.acknowledged)
			acknowledged[n.id] = n.core.ownPosition()
		}
		body := encodeMessages(n.id, acknowledged, [][]byte{b})
		w.send(n, to, func() { w.step(to, body) })
		if m.GetType() == pb.MsgSnap {
			status := raft.SnapshotFinish
			if w.rng.IntN(3) == 0 {
				status = raft.SnapshotFailure
			}
			id := m.GetTo()
			w.schedule(50*time.Millisecond, n, func() {
				if n.core != nil {
					n.core.rawNode.ReportSnapshot(id, status)
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
		w.fail("decodeMessages at %s: %v", n.name, err)
		return
	}
	for id, m := range p.acknowledged {
		if id != n.id {
			n.core.noteAcknowledged(id, m)
		}
	}
	for _, m := range p.messages {
		if err := n.core.step(m); errors.Is(err, errOutdatedDirectory) {
			if !w.reusesIdentity {
				w.fail("step at %s reported an outdated directory, but the directory is complete", n.name)
			}
			w.kill(n)
			w.start(n)
			return
		}
	}
	w.processReady(n)
}

// deliverResults schedules the callbacks of the calls that are complete, in the order of their ids.
func (w *world) deliverResults(n *modelNode) {
	var ids []uint64
	for id := range n.callsByID {
		ids = append(ids, binary.BigEndian.Uint64(id[8:]))
	}
	slices.Sort(ids)
	for _, v := range ids {
		var id proposalID
		binary.BigEndian.PutUint64(id[8:], v)
		select {
		case r := <-n.callsByID[id].done:
			f := n.callbacks[id]
			delete(n.callsByID, id)
			delete(n.callbacks, id)
			w.schedule(0, n, func() { f(r) })
		default:
		}
	}
}

// followStream models the stream of a follower or a joining voter. It requests one batch at a time from
// a random voter.
func (w *world) followStream(n *modelNode) {
	w.schedule(time.Duration(20+w.rng.IntN(80))*time.Millisecond, n, func() { w.followStream(n) })
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
					w.fail("decode a streamed snapshot at %s: %v", n.name, err)
					return
				}
				w.restore(n, s)
			}
			entries, err := decodeEntries(b)
			if err != nil {
				w.fail("decode streamed entries at %s: %v", n.name, err)
			}
			for _, e := range entries {
				w.apply(n, e)
			}
			w.deliverResults(n)
		})
	})
}

// supervise models a Node's supervisor: it joins as a voter, proposes a change of voters, or verifies
// the directory.
func (w *world) supervise(n *modelNode) {
	w.schedule(superviseInterval, n, func() { w.supervise(n) })
	record, index, _ := n.applier.position()
	switch {
	case n.core == nil && record != 0 && n.applier.voterSet()[n.id].name == n.name:
		s, encoded := n.applier.takeSnapshot()
		hardState := &pb.HardState{Term: new(s.term), Commit: new(index)}
		storage, err := newStorage(*s, encoded, hardState, nil)
		if err != nil {
			panic(err)
		}
		n.disk = storedState{identity: n.id, snapshot: encoded, hardState: hardState}
		w.counts["joined"]++
		w.startCore(n, storage, *s, false)
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
						w.fail("verification found the directory of %s outdated, but it is complete: another voter knows %v, the directory holds %v",
							n.name, m, n.core.ownPosition())
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

// kill ends a node. A write in progress either completes or does not happen at all.
func (w *world) kill(n *modelNode) {
	if n.writing != nil && w.rng.IntN(2) == 0 {
		w.completeWrite(n)
	}
	n.up, n.paused, n.core, n.writing = false, false, nil, nil
	n.incarnation++
}

// mayLoseVoter reports whether the record survives the loss of one more voter's directory: all voters
// are up and have the same voter set. A voter that is down and lacks the last change of voters would
// count as a second loss, by its own old configuration.
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

// injectFault injects a random fault, or repairs some, and schedules the next call of itself.
func (w *world) injectFault() {
	if w.noFaults {
		return
	}
	w.schedule(time.Duration(100+w.rng.IntN(900))*time.Millisecond, nil, w.injectFault)
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
			w.schedule(time.Duration(w.rng.IntN(3000))*time.Millisecond, nil, func() {
				if n.incarnation == incarnation {
					w.resume(n)
				}
			})
		}
	case 7: // a lost directory: one at a time, since the loss of a majority loses the record
		n = w.nodes[w.rng.IntN(w.voters)]
		if w.mayLoseVoter() {
			w.counts["emptied"]++
			w.kill(n)
			if !w.reusesIdentity {
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
		if w.rng.IntN(4) == 0 { // restart all nodes at once
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
		w.insertEvent(event{at: w.now, order: w.order, node: e.node, incarnation: e.incarnation, do: e.do})
	}
	n.pausedEvents = nil
}

// opIn is the input of a call: a write of value, or a read.
type opIn struct {
	write bool
	value uint64
}

// opOut is the result of a call: the previous value for a write, the current one for a read.
type opOut struct {
	answered bool
	value    uint64
}

const callTimeout = 3 * time.Second

// runClient makes one call after another, each at a random node.
func (w *world) runClient(id int) {
	callNext := func() { w.schedule(time.Duration(w.rng.IntN(250))*time.Millisecond, nil, func() { w.runClient(id) }) }
	if w.ending {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.paused {
		w.schedule(50*time.Millisecond, nil, func() { w.runClient(id) })
		return
	}
	w.nextID++
	var pid proposalID
	binary.BigEndian.PutUint64(pid[8:], w.nextID)
	in := opIn{write: w.rng.IntN(3) > 0, value: w.nextID}
	call, ended := w.now, false
	finish := func(out opOut, record bool) {
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
		callNext()
	}
	w.schedule(callTimeout, nil, func() { finish(opOut{}, in.write) })
	w.call(n, pid, in, 0, func(r callResult) {
		switch {
		case ended:
		case r.err == nil && in.write:
			w.counts["acked"]++
			w.ackedIndexes[pid] = r.index
			finish(opOut{true, binary.BigEndian.Uint64(r.result)}, true)
		case r.err == nil: // a read: it waits until this node has applied the barrier's index, and reads here
			incarnation := n.incarnation
			var wait func()
			wait = func() {
				if _, index, _ := n.applier.position(); index >= r.index {
					w.counts["reads"]++
					finish(opOut{true, n.machine.value}, true)
				} else if !ended && n.incarnation == incarnation && n.up {
					w.schedule(20*time.Millisecond, n, wait)
				}
			}
			wait()
		case r.err == errNoLeader || r.err == ErrNoQuorum || r.err == ErrQueueFull:
			if in.write {
				w.rejected[pid] = true
			}
			finish(opOut{}, false)
		}
	})
}

// call makes a call at the leader, either at n itself or by forwarding it. hops is how many times the
// call has been forwarded so far.
func (w *world) call(n *modelNode, pid proposalID, in opIn, hops int, reply func(callResult)) {
	if n.core != nil && n.core.isLeader() {
		call := &pendingCall{id: pid, barrier: !in.write, done: make(chan callResult, 1)}
		n.pendingCalls.add(call)
		n.callsByID[pid], n.callbacks[pid] = call, reply
		var err error
		if in.write {
			err = n.core.propose(encodeCommand(pid, binary.BigEndian.AppendUint64(nil, in.value)))
		} else {
			err = n.core.readIndex(pid[:])
		}
		if err != nil {
			n.pendingCalls.fail(call, err)
		}
		w.processReady(n)
		return
	}
	to := w.nodes[w.rng.IntN(w.voters)]
	if n.core != nil {
		if to = w.byID(n.core.status().Lead); to == nil {
			reply(callResult{err: errNoLeader})
			return
		}
	}
	if hops >= 2 || to == n {
		reply(callResult{err: errNoLeader})
		return
	}
	w.send(n, to, func() {
		w.call(to, pid, in, hops+1, func(r callResult) { w.send(to, n, func() { reply(r) }) })
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

// runModel runs the model with a seed. The failure of the returned world is empty if all checks pass.
func runModel(seed uint64, configure func(*world)) (w *world) {
	old := crand.Reader
	// raft draws its election timeouts from crypto/rand.
	crand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), 1})
	defer func() { crand.Reader = old }()
	w = newModel(seed, 3+2*int(seed%2), 2)
	if configure != nil {
		configure(w)
	}
	defer func() {
		if p := recover(); p != nil {
			w.fail("panic: %v", p)
		}
	}()
	w.schedule(time.Second, nil, w.injectFault)
	for i := range 4 {
		w.schedule(time.Duration(i)*100*time.Millisecond, nil, func() { w.runClient(i) })
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
	ackedBefore := w.counts["acked"]
	w.run(32 * time.Second)
	w.ending = true
	w.run(32*time.Second + 2*callTimeout) // until all calls have ended
	if w.counts["acked"] == ackedBefore {
		w.fail("no write was committed after 30 s, although the faults ended at 20 s")
	}
	if !w.mayLoseVoter() && !w.reusesIdentity {
		w.fail("not all voters run and have all others in their voter set: a voter with a new identity may not have joined")
	}
	for pid := range w.ackedIndexes {
		if at := w.committedIndexes[pid]; at != w.ackedIndexes[pid] {
			w.fail("a write was acknowledged at index %d, but the log has it at index %d (0: nowhere)", w.ackedIndexes[pid], at)
		}
	}
	for pid := range w.rejected {
		if w.committedIndexes[pid] != 0 {
			w.fail("a rejected write was committed at index %d", w.committedIndexes[pid])
		}
	}
	if w.failure == "" {
		// A write of unknown outcome is part of the history only if the log has it.
		ops := w.ops[:0:0]
		for _, o := range w.ops {
			if in := o.Input.(opIn); !o.Output.(opOut).answered {
				var pid proposalID
				binary.BigEndian.PutUint64(pid[8:], in.value)
				if w.committedIndexes[pid] == 0 {
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
	fmt.Fprint(h, w.trace, len(w.ops), len(w.stateHashes), w.counts)
	w.trace = h.Sum64()
	return w
}

// seedRange returns the first seed and the number of seeds, from CONSENSUS_FIRST and CONSENSUS_SEEDS if
// they are set.
func seedRange(defaultCount int) (first, n uint64) {
	n = uint64(defaultCount)
	if v, err := strconv.ParseUint(os.Getenv("CONSENSUS_SEEDS"), 10, 64); err == nil {
		n = v
	}
	first, _ = strconv.ParseUint(os.Getenv("CONSENSUS_FIRST"), 10, 64)
	return first, n
}

// TestModel runs the model with a range of seeds, and some seeds twice to check that a run is
// deterministic.
func TestModel(t *testing.T) {
	first, n := seedRange(30)
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
			if replay := runModel(seed, nil); replay.trace != w.trace {
				t.Errorf("seed %d: two runs of the model differ: trace %x, then %x", seed, w.trace, replay.trace)
			}
		}
	}
	t.Log(total)
}

// TestPlantedFaults checks that the model finds faults that are planted in it.
func TestPlantedFaults(t *testing.T) {
	for name, configure := range map[string]func(*world){
		"an answer before commit":       func(w *world) { w.answersBeforeCommit = true },
		"a vote after a lost directory": func(w *world) { w.reusesIdentity = true },
	} {
		found := 0
		for seed := range uint64(60) {
			if w := runModel(seed, configure); w.failure != "" {
				if found++; found == 1 {
					t.Logf("%s: seed %d: %s", name, seed, w.failure)
				}
				if found == 2 {
					break
				}
			}
		}
		if found == 0 {
			t.Errorf("%s: the model did not find this fault in 60 seeds", name)
		}
	}
}
