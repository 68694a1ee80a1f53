package consensus

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	tickInterval     = 50 * time.Millisecond
	messageQueueSize = 1024 // batches of messages that wait for the engine
	callQueueSize    = 256
	maxBatch         = 64 // messages or calls taken at once: one write for many
	maxCatchUpTicks  = 4  // ticks made up for after a pause
)

// engine runs a core on one goroutine, and its disk's writes on another.
type engine struct {
	node         *Node
	id           uint64
	core         *core
	disk         *disk // nil: memory only
	messages     chan peerMessages
	calls        chan *pendingCall
	tasks        chan func() // of the node's other goroutines
	writes       chan func() error
	writeResults chan error
	writer       sync.WaitGroup
	quit         chan struct{}
	ended        chan struct{}

	// Owned by run; err and removed are read by others once ended is closed.
	err                   error // why it ended; nil if it was stopped or removed
	removed               bool  // this voter is not in the configuration any more
	ready                 *pendingReady
	writing               bool
	afterWrite            func()
	diskError             error // the disk fails: the voter neither votes nor sends until it is rewritten
	diskRetryAt           time.Time
	noLeadershipUntilTick int // a voter whose disk failed does not claim to lead before: others may long have elected another leader
	announcedLeading      bool
	announcedTerm         uint64
	ownSnapshot           *recordSnapshot // to compact the log with
	ownSnapshotEncoded    []byte

	view atomic.Pointer[engineView]
}

func newEngine(n *Node, c *core, d *disk) *engine {
	e := &engine{node: n, id: c.id, core: c, disk: d, messages: make(chan peerMessages, messageQueueSize), calls: make(chan *pendingCall, callQueueSize), tasks: make(chan func(), callQueueSize),
		writes: make(chan func() error), writeResults: make(chan error, 1), quit: make(chan struct{}), ended: make(chan struct{})}
	e.publishView()
	return e
}

func (e *engine) start() {
	e.writer.Go(func() {
		for write := range e.writes {
			e.writeResults <- write()
		}
	})
	go e.run()
}

// stop ends the engine and waits for it, the disk's last write included.
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
	defer e.writer.Wait()
	defer close(e.writes)
	defer func() {
		if e.writing {
			<-e.writeResults
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			e.err = fmt.Errorf("engine: %v", p)
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for e.err == nil && !e.removed {
		select {
		case <-e.quit:
			return
		case p := <-e.messages:
			e.step(p)
			for range min(len(e.messages), maxBatch) {
				e.step(<-e.messages)
			}
		case call := <-e.calls:
			e.startCall(call)
			for range min(len(e.calls), maxBatch) {
				e.startCall(<-e.calls)
			}
		case task := <-e.tasks:
			task()
		case err := <-e.writeResults:
			e.writing = false
			e.writeDone(err)
		case now := <-ticker.C:
			e.tick(now, min(max(1, int(now.Sub(last)/tickInterval)), maxCatchUpTicks))
			last = now
		}
		e.processReady()
	}
	e.publishView()
}

// tick advances the core, or retries a failed disk.
func (e *engine) tick(now time.Time, ticks int) {
	for range ticks {
		if e.diskError == nil {
			e.core.tick()
		}
	}
	if e.diskError != nil && !e.writing && now.After(e.diskRetryAt) {
		e.rewriteDisk()
	}
	e.publishView()
}

// step takes messages from another voter.
func (e *engine) step(p peerMessages) {
	if e.diskError != nil {
		return
	}
	for id, position := range p.acknowledged {
		if id != e.id {
			e.core.noteAcknowledged(id, position)
		}
	}
	for _, m := range p.messages {
		if m.GetFrom() != p.from {
			e.node.countDropped(droppedSender)
			continue
		}
		// Any other error is of a message that does not count: raft allows for lost messages.
		if err := e.core.step(m); errors.Is(err, errOutdatedDirectory) {
			e.err = err
			return
		}
	}
}

// startCall proposes a call's command, or requests its read index.
func (e *engine) startCall(call *pendingCall) {
	if e.diskError != nil || e.core.tickCount < e.noLeadershipUntilTick {
		e.node.pendingCalls.fail(call, errNoLeader)
		return
	}
	var err error
	if call.barrier {
		err = e.core.readIndex(call.id[:])
	} else {
		err = e.core.propose(encodeCommand(call.id, call.command))
	}
	if err != nil {
		e.node.pendingCalls.fail(call, err)
	}
}

// noteProposals notes the indexes of the proposals in entries that this node's calls wait for.
func (e *engine) noteProposals(entries []*pb.Entry) {
	for _, entry := range entries {
		if id, _, ok := decodeCommand(entry.GetData()); ok && entry.GetType() == pb.EntryNormal {
			e.node.pendingCalls.assignIndex(id, entry.GetIndex())
		}
	}
}
