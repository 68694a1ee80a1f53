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
	maxBatch         = 64 // messages or calls handled together, so that one write serves many
	maxCatchUpTicks  = 4  // maximum number of missed ticks that are made up for after a pause of the process
)

// engine runs a core on one goroutine and the writes to its disk on another.
type engine struct {
	node         *Node
	id           uint64 // this voter's identity
	core         *core
	disk         *disk // nil if nothing is stored
	messages     chan peerMessages
	calls        chan *pendingCall
	tasks        chan func() // functions to run on the engine's goroutine
	writes       chan func() error
	writeResults chan error
	writer       sync.WaitGroup
	quit         chan struct{}
	ended        chan struct{}

	// The following fields are used by run's goroutine only, except that others read err and removed
	// after ended is closed.
	err         error // why the engine ended; nil if it was stopped or removed
	removed     bool  // this voter is no longer in the configuration
	ready       *pendingReady
	writing     bool
	afterWrite  func() // called when the write has succeeded; nil if there is nothing to do
	diskError   error  // of the last write; until the file is rewritten, the voter neither votes nor sends
	diskRetryAt time.Time
	// Before this tick, a voter whose disk had failed does not act as leader even if raft says it is
	// one: the other voters may have elected another leader in the meantime.
	noLeadershipUntilTick int
	announcedLeading      bool
	announcedTerm         uint64
	ownSnapshot           *recordSnapshot // to compact the log with; nil if there is none
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

// stop ends the engine and waits for it and for a write in progress.
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

// tick advances the core, or retries a disk that failed.
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

// step handles messages from another voter. It drops them while the disk fails.
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
		// Other errors are ignored: the message is dropped, and raft tolerates lost messages.
		if err := e.core.step(m); errors.Is(err, errOutdatedDirectory) {
			e.err = err
			return
		}
	}
}

// startCall proposes a call's command or, for a barrier, requests a read index.
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

// noteProposals records the log indexes of the proposals that this node's calls wait for.
func (e *engine) noteProposals(entries []*pb.Entry) {
	for _, entry := range entries {
		if id, _, ok := decodeCommand(entry.GetData()); ok && entry.GetType() == pb.EntryNormal {
			e.node.pendingCalls.assignIndex(id, entry.GetIndex())
		}
	}
}
