package consensus

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/latelisten"
)

const (
	snapshotRequestQueueSize = 16
	leadershipQueueSize      = 16
)

// Node runs one relay's copy of the record, as a voter or as a follower.
type Node struct {
	options   Options
	address   string
	ctx       context.Context
	cancel    context.CancelFunc
	quit      chan struct{}
	wg        sync.WaitGroup // all goroutines of the node
	closeOnce sync.Once
	closeErr  error

	client       *client
	transport    *transport
	replayGuard  replayGuard
	server       *http.Server
	requestSlots chan struct{} // holds one element for each request being served, except streams
	largeSlot    chan struct{} // holds one element while a large request is served
	streamCount  atomic.Int64

	applier          *applier
	applyQueue       chan applyBatch
	snapshotRequests chan chan struct{} // each is closed once the snapshot is taken
	pendingCalls     pendingCalls
	proposalIDBase   [8]byte
	proposalSequence atomic.Uint64

	leadership      chan leadershipChange
	incomingReports chan incomingReport
	incomingReplies chan incomingReply
	replyWaiters    chan struct{} // holds one element for each request that waits for replies

	bytesIn, bytesOut atomic.Uint64
	injectFault       func(op string) error // of the disk, for tests; nil otherwise

	mu                  sync.Mutex
	currentEngine       *engine // nil while this relay does not vote
	identity            uint64
	disk                *disk
	diskError           string
	engineError         string
	identityReason      string
	duplicateNames      []string
	role                string
	bootstrapID         uint64 // the record for whose bootstrap another voter has reserved this relay; 0 for none
	bootstrapReservedAt time.Time
	dropped             map[string]uint64
	rejected            map[string]uint64
	queuedReports       [][]byte
	queuedReportBytes   int
	followState         followStatus
	hasQuorum           bool
	quorumSince         time.Time
	// leaderlessSince is when the engine started or lost its leader. It is zero if the engine knows a
	// leader, and without an engine.
	leaderlessSince time.Time
}

// randomID returns a random, non-zero number of at most 62 bits.
func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // returns no error: crypto/rand ends the process instead
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

// Start starts a node. It fails if the options are invalid. A node whose address is in use listens
// once the address is free. A directory that cannot be used is not an error: the node starts without a vote and reports it in Status.
func Start(o Options) (*Node, error) { return startWithFaults(o, nil) }

// startWithFaults starts a node whose disk fails where injectFault returns an error.
func startWithFaults(o Options, injectFault func(op string) error) (*Node, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		o.Log = l
	}
	listener, err := latelisten.Listen("tcp", o.Listen, o.Log, func(net.Addr) {})
	if err != nil {
		return nil, err
	}
	n := newNode(o, injectFault)
	n.address = listener.Addr().String()
	if o.Dir == "" {
		n.log().Warn("consensus: no directory is configured: this relay loses the record when its process ends, " +
			"and a voter restarts under a new identity; if a majority of voters end at once, the record is lost")
	}
	n.startGoroutines(&countingListener{listener, &n.bytesIn, &n.bytesOut})
	return n, nil
}

func (o Options) check() error {
	switch {
	case o.Name == "" || len(o.Name) > maxNameSize:
		return fmt.Errorf("consensus: relay name has %d bytes, want 1 to %d", len(o.Name), maxNameSize)
	case len(o.Keys) == 0:
		return errors.New("consensus: no key is configured")
	case o.Machine == nil:
		return errors.New("consensus: Options.Machine is not set")
	case len(o.Voters)%2 == 0 || len(o.Voters) > 5:
		return fmt.Errorf("consensus: %d voters: 1, 3 or 5 are required", len(o.Voters))
	}
	return nil
}

func newNode(o Options, injectFault func(op string) error) *Node {
	n := &Node{options: o, quit: make(chan struct{}), injectFault: injectFault, role: RoleFollower, quorumSince: time.Now(),
		requestSlots: make(chan struct{}, maxRequests), largeSlot: make(chan struct{}, 1), dropped: map[string]uint64{}, rejected: map[string]uint64{},
		applyQueue: make(chan applyBatch, applyQueueSize), snapshotRequests: make(chan chan struct{}, snapshotRequestQueueSize),
		leadership: make(chan leadershipChange, leadershipQueueSize), incomingReports: make(chan incomingReport, reportQueueSize),
		incomingReplies: make(chan incomingReply, replyQueueSize), replyWaiters: make(chan struct{}, maxReplyWaiters)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replayGuard.epoch = randomID()
	binary.BigEndian.PutUint64(n.proposalIDBase[:], randomID())
	n.client = newClient(n)
	n.transport = &transport{node: n, peers: map[uint64]*peer{}}
	n.applier = newApplier(o.Machine)
	n.server = &http.Server{Handler: http.HandlerFunc(n.serveHTTP), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10}
	return n
}

func (n *Node) startGoroutines(listener net.Listener) {
	n.wg.Go(n.applyLoop)
	n.wg.Go(n.supervise)
	n.wg.Go(n.followLoop)
	n.wg.Go(n.reportLoop)
	consume(n, n.incomingReports, n.callOnReport)
	consume(n, n.incomingReplies, func(r incomingReply) {
		if n.options.OnReply != nil {
			n.options.OnReply(r.leader, r.content)
		}
	})
	consume(n, n.leadership, func(c leadershipChange) {
		if n.options.OnLeadership != nil {
			n.options.OnLeadership(c.leading, c.term)
		}
	})
	n.wg.Go(func() {
		if err := n.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log().WithField("error", err.Error()).Error("consensus: the HTTP server stopped: other relays cannot reach this one")
		}
	})
}

// consume calls f with each element of a queue, on a goroutine of its own.
func consume[T any](n *Node, queue <-chan T, f func(T)) {
	n.wg.Go(func() {
		for {
			select {
			case <-n.quit:
				return
			case v := <-queue:
				f(v)
			}
		}
	})
}

// Close stops the node, waits for its goroutines, and closes its connections and files.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		close(n.quit)
		n.cancel()
		n.closeErr = n.server.Close()
		n.wg.Wait()
		n.client.http.CloseIdleConnections()
	})
	return n.closeErr
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.address }

func (n *Node) log() logrus.FieldLogger { return n.options.Log }

// engine returns this voter's engine, or nil while this relay does not vote.
func (n *Node) engine() *engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentEngine
}

// tryOnEngine queues f to run on the engine's goroutine. If the queue is full, f is dropped and
// counted.
func (n *Node) tryOnEngine(f func(*engine)) {
	if e := n.engine(); e != nil {
		select {
		case e.tasks <- func() { f(e) }:
		default:
			n.countDropped(droppedTasks)
		}
	}
}

// onEngine queues f to run on the engine's goroutine once the queue has capacity. It does not block.
func (n *Node) onEngine(f func(*engine)) {
	e := n.engine()
	if e == nil {
		return
	}
	n.wg.Go(func() {
		select {
		case e.tasks <- func() { f(e) }:
		case <-e.ended:
		case <-n.quit:
		}
	})
}
