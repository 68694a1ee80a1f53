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
)

// ProposeTimeout bounds Propose, Barrier and Replace if the context has no earlier deadline.
const ProposeTimeout = 10 * time.Second

// Start starts a node. An unusable directory is no error: the node starts without a vote and reports it in Status.
func Start(o Options) (*Node, error) { return startWithFaults(o, nil) }

// Addr is the address that it listens on.
func (n *Node) Addr() string { return n.address }

// Close stops the node and waits for its goroutines; it closes its connections and files.
func (n *Node) Close() error { return n.close() }

// Node is one relay's part in the record.
type Node struct {
	options   Options
	address   string
	ctx       context.Context
	cancel    context.CancelFunc
	quit      chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
	closeErr  error

	client       *client
	transport    *transport
	replayGuard  replayGuard
	server       *http.Server
	requestSlots chan struct{}
	largeSlot    chan struct{}
	streamCount  atomic.Int64

	applier          *applier
	applyQueue       chan applyBatch
	snapshotRequests chan chan struct{} // for a snapshot, by streams
	pendingCalls     pendingCalls
	proposalIDBase   [8]byte
	proposalSequence atomic.Uint64

	bytesIn, bytesOut atomic.Uint64

	mu                  sync.Mutex
	current             *engine
	identity            uint64
	disk                *disk
	diskError           string
	engineError         string
	identityReason      string
	duplicateNames      []string
	role                string
	bootstrapID         uint64 // the record that a founder is about to begin with this relay
	bootstrapReservedAt time.Time
	dropped             map[string]uint64
	rejected            map[string]uint64
	queuedReports       [][]byte
	queuedReportBytes   int
	followState         followStatus
	hasQuorum           bool
	quorumSince         time.Time
	leaderlessSince     time.Time // entriesSinceSnapshot when the engine has none; zero: it has
	leadership          chan leadershipChange
	incomingReports     chan reportMessage
	replyWaiters        chan struct{}
	incomingReplies     chan reportMessage
	injectFault         func(op string) error
}

func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails: the process ends before
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

func startWithFaults(o Options, fault func(string) error) (*Node, error) {
	switch {
	case o.Name == "" || len(o.Name) > maxNameSize:
		return nil, fmt.Errorf("accord: name of %d bytes", len(o.Name))
	case len(o.Keys) == 0:
		return nil, errors.New("accord: no key")
	case o.Machine == nil:
		return nil, errors.New("accord: no machine")
	case len(o.Voters)%2 == 0 || len(o.Voters) > 5:
		return nil, fmt.Errorf("accord: %d voters: 1, 3 or 5 are wanted", len(o.Voters))
	}
	if o.Log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		o.Log = l
	}
	n := &Node{options: o, quit: make(chan struct{}), applyQueue: make(chan applyBatch, applyQueueSize), snapshotRequests: make(chan chan struct{}, 16),
		requestSlots: make(chan struct{}, maxRequests), largeSlot: make(chan struct{}, 1), dropped: map[string]uint64{}, rejected: map[string]uint64{},
		leadership: make(chan leadershipChange, 16), incomingReports: make(chan reportMessage, reportQueueSize),
		replyWaiters: make(chan struct{}, maxReplyWaiters), incomingReplies: make(chan reportMessage, replyQueueSize), quorumSince: time.Now(), role: RoleFollower, injectFault: fault}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.replayGuard.epoch = randomID()
	binary.BigEndian.PutUint64(n.proposalIDBase[:], randomID())
	n.client = newClient(n)
	n.transport = &transport{node: n, peers: map[uint64]*peer{}}
	n.applier = newApplier(o.Machine)
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		n.cancel()
		return nil, err
	}
	n.address = ln.Addr().String()
	n.server = &http.Server{Handler: http.HandlerFunc(n.serveHTTP), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10}
	if o.Dir == "" {
		n.log().Warn("accord: no directory: this relay forgets the record when it ends, and a voter comes back as a new one; if a majority of voters end at once, the record is lost")
	}
	n.wg.Go(n.applyLoop)
	n.wg.Go(n.supervise)
	n.wg.Go(n.followLoop)
	n.wg.Go(n.reportLoop)
	consume(n, n.incomingReports, n.handleReport)
	consume(n, n.incomingReplies, func(s reportMessage) {
		if o.OnReply != nil {
			o.OnReply(s.from, s.content)
		}
	})
	consume(n, n.leadership, func(l leadershipChange) {
		if o.OnLeadership != nil {
			o.OnLeadership(l.leading, l.term)
		}
	})
	n.wg.Go(func() {
		if err := n.server.Serve(&countingListener{ln, &n.bytesIn, &n.bytesOut}); !errors.Is(err, http.ErrServerClosed) {
			n.log().WithField("error", err.Error()).Error("accord: the listener ended")
		}
	})
	return n, nil
}

func (n *Node) log() logrus.FieldLogger { return n.options.Log }

func (n *Node) increment(m map[string]uint64, what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[what]++
}

// countDropped counts what a full ring or a failed link lost; refuse counts what the envelope did not let in. The names are this package's own: a few.
func (n *Node) countDropped(what string) { n.increment(n.dropped, what) }

func (n *Node) countRejected(what string) { n.increment(n.rejected, what) }

func (n *Node) engine() *engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// tryOnEngine has the engine do something, or not if it is busy; later waits for room.
func (n *Node) tryOnEngine(f func(*engine)) {
	if e := n.engine(); e != nil {
		select {
		case e.tasks <- func() { f(e) }:
		default:
			n.countDropped("others")
		}
	}
}

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

// consume hands what a ring brings to f, on a goroutine of its own.
func consume[T any](n *Node, ring <-chan T, f func(T)) {
	n.wg.Go(func() {
		for {
			select {
			case <-n.quit:
				return
			case v := <-ring:
				f(v)
			}
		}
	})
}

func (n *Node) close() error {
	n.closeOnce.Do(func() {
		close(n.quit)
		n.cancel()
		n.closeErr = n.server.Close()
		n.wg.Wait()
		n.client.http.CloseIdleConnections()
	})
	return n.closeErr
}
