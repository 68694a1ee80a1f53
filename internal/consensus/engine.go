package consensus

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	tickInterval     = 50 * time.Millisecond
	messageQueueSize = 1024 // messages that wait for the engine
	callQueueSize    = 256
	maxCatchUpTicks  = 4 // tickCount made up for after a pause
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
