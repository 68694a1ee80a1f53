package consensus

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	duplicateWindow       = 5 * time.Second
	superviseInterval     = 200 * time.Millisecond // the supervisor's
	changeInterval        = time.Second
	reportInterval        = time.Second
	maxQueuedReports      = 256 // words that wait
	maxQueuedReportBytes  = 256 << 10
	reportQueueSize       = 1024
	replyQueueSize        = 256                    // answers that wait to be told
	maxReplyWaiters       = 256                    // requests that wait for answers to their words: half of what is served at a time
	replyTimeout          = 300 * time.Millisecond // less than reportInterval: who gave a word up would say it again elsewhere
	barrierAttemptTimeout = 2 * time.Second        // of a question that may be asked again
	retryDelay            = 50 * time.Millisecond
	leaderlessLimit       = 2 * time.Second // entriesAfter which a voter reads a stream too: it may have been replaced
	bootstrapReservation  = 10 * time.Second
	verifyTimeout         = time.Second // how long a voter that starts waits for all others; then enough for a majority do
)

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

type leadershipChange struct {
	leading bool
	term    uint64
}

type reportMessage struct {
	from    string
	content []byte
	reply   chan<- []byte // with room for its answer; nil in the ring of answers
}

// followState is what the stream last told.
type followStatus struct {
	source, leader string
	hasQuorum      bool
	updatedAt      time.Time
	commitIndex    uint64
}

// completeApplied is what the apply thread gets: a snapshot, or entries.
type applyBatch struct {
	snapshot *recordSnapshot
	entries  []committedEntry
	done     chan error // nil if nobody waits
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
func (n *Node) countDropped(what string)  { n.increment(n.dropped, what) }
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

func (n *Node) announceLeadership(leading bool, term uint64) {
	for {
		select {
		case n.leadership <- leadershipChange{leading, term}:
			return
		default:
		}
		select { // the oldest makes room: the last state is always told
		case <-n.leadership:
			n.countDropped("led")
		default:
		}
	}
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

// handleReport has a word heard, and gives the answer to who waits for it.
func (n *Node) handleReport(s reportMessage) {
	var a []byte
	if n.options.OnReport != nil {
		a = n.options.OnReport(s.from, s.content)
	}
	if len(a) > MaxReplySize {
		n.countDropped("answersize")
		a = nil
	}
	s.reply <- a
}

// applyLoop is the only one that calls the machine.
func (n *Node) applyLoop() {
	for {
		select {
		case <-n.quit:
			return
		case c := <-n.snapshotRequests:
			if n.applier.snapshotDue() {
				n.applier.takeSnapshot()
			}
			close(c)
		case a := <-n.applyQueue:
			var err error
			if a.snapshot != nil {
				if _, err = n.applier.restore(*a.snapshot); err != nil {
					n.log().WithField("error", err.Error()).Error("accord: the machine refused a snapshot")
				}
			}
			for _, it := range a.entries {
				answer, ok := n.applier.apply(it)
				if ok {
					n.pendingCalls.completeApplied(it.index, it.proposalID, answer)
				} else {
					n.pendingCalls.completeSkipped(it.index, it.proposalID)
				}
			}
			if a.done != nil {
				a.done <- err
			}
			if e := n.engine(); e != nil && n.applier.snapshotDue() {
				if s, raw := n.applier.takeSnapshot(); s != nil {
					n.onEngine(func(e *engine) { e.ownSnapshot, e.ownSnapshotEncoded = s, raw })
				} else {
					n.log().Error("accord: the machine's snapshot is too large: the log is not truncated")
				}
			}
		}
	}
}

// setRole notes what this node is.
func (n *Node) setRole(r string) {
	n.mu.Lock()
	n.role = r
	n.mu.Unlock()
}

// startEngine starts an engine.
func (n *Node) startEngine(c *core, d *disk) {
	e := newEngine(n, c, d)
	n.mu.Lock()
	n.current, n.engineError, n.leaderlessSince = e, "", time.Now()
	n.mu.Unlock()
	n.transport.setPeers(c.voters, c.id)
	e.start()
	if c.unverified {
		n.wg.Go(func() { n.verifyDirectory(e) })
	}
}

// supervise decides what this node is: voter, founder, newcomer, follower.
func (n *Node) supervise() {
	defer func() {
		if e := n.engine(); e != nil {
			e.stop()
		}
		if d := n.currentDisk(); d != nil {
			if err := d.close(); err != nil {
				n.log().WithField("error", err.Error()).Error("accord: closing the directory")
			}
		}
	}()
	n.openDirectory()
	look := time.NewTicker(superviseInterval)
	defer look.Stop()
	var wished, opened time.Time
	twinsAt := time.Now()
	for {
		e := n.engine()
		var ended <-chan struct{}
		if e != nil {
			ended = e.ended
		}
		select {
		case <-n.quit:
			return
		case <-ended:
			n.engineEnded(e)
			continue
		case <-look.C:
		}
		n.updateQuorum()
		if n.updateDuplicateNames(time.Since(twinsAt) > duplicateWindow) {
			twinsAt = time.Now()
		}
		if e != nil {
			continue
		}
		n.mu.Lock()
		id, disk, bad, gave := n.identity, n.disk, n.diskError, n.engineError
		n.mu.Unlock()
		if n.options.Dir != "" && (disk == nil || bad != "") {
			n.setRole(RoleFollower)
			if n.isVoter() {
				n.setRole(RoleDiskFailed)
			}
			if time.Since(opened) > 5*time.Second {
				opened = time.Now()
				n.openDirectory()
			}
			continue
		}
		if gave != "" {
			n.setRole(RoleDiskFailed)
			continue
		}
		record, _, _ := n.applier.position()
		ms := n.applier.voterSet()
		if m, ok := ms[id]; ok && record != 0 && m.Name == n.options.Name {
			n.joinAsVoter()
			continue
		}
		switch {
		case !n.isVoter():
			n.setRole(RoleFollower)
		case record == 0:
			n.setRole(RoleJoining)
			n.bootstrap(id)
		default:
			n.setRole(RoleJoining)
			if time.Since(wished) > changeInterval {
				wished = time.Now()
				n.sendChange(changeProposal{oldName: n.options.Name, newName: n.options.Name, address: n.ownAddress(ms), newID: id})
			}
		}
	}
}

// isVoter says whether this relay's name votes: as the record has it, or at first as the settings have it.
func (n *Node) isVoter() bool {
	if ms := n.applier.voterSet(); len(ms) > 0 {
		return ms.idOf(n.options.Name) != 0
	}
	_, ok := n.options.Voters[n.options.Name]
	return ok
}

func (n *Node) ownAddress(ms voterSet) string {
	if a, ok := n.options.Voters[n.options.Name]; ok {
		return a
	}
	if id := ms.idOf(n.options.Name); id != 0 {
		return ms[id].Addr
	}
	return n.address
}

func (n *Node) currentDisk() *disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disk
}

// openDirectory reads the directory and starts the engine, if it held a voter's log.
func (n *Node) openDirectory() {
	if n.options.Dir == "" {
		n.mu.Lock()
		if n.identity == 0 {
			n.identity = randomID()
		}
		n.mu.Unlock()
		return
	}
	d := &disk{directory: n.options.Dir, injectFault: n.injectFault}
	h, note, err := d.open(randomID())
	n.mu.Lock()
	if err != nil {
		n.diskError = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the directory cannot be used: this relay does not vote")
		return
	}
	n.disk, n.identity, n.diskError = d, h.identity, ""
	if note != "" {
		n.identityReason = note
	}
	n.mu.Unlock()
	if note != "" {
		n.log().Warn("accord: " + note + ": it comes back as a new voter")
	}
	if h.snapshot == nil {
		return
	}
	if err := n.resumeEngine(h, d); err != nil {
		n.mu.Lock()
		n.engineError = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the engine does not start from its directory")
	}
}

// applyAndWait gives something to the apply thread, and waits.
func (n *Node) applyAndWait(a applyBatch) error {
	a.done = make(chan error, 1)
	select {
	case n.applyQueue <- a:
	case <-n.quit:
		return ErrClosed
	}
	select {
	case err := <-a.done:
		return err
	case <-n.quit:
		return ErrClosed
	}
}

func (n *Node) resumeEngine(h storedState, d *disk) error {
	s, err := decodeSnapshot(h.snapshot)
	if err != nil {
		return err
	}
	st, err := newStorage(s, h.snapshot, h.hardState, h.entries)
	if err != nil {
		return err
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return err
	}
	c, err := newCore(h.identity, st, s, len(s.voters) > 1, raftLog{n.log()})
	if err != nil {
		return err
	}
	for id, m := range h.acknowledged {
		c.noteAcknowledged(id, m)
	}
	n.startEngine(c, d)
	return nil
}

// joinAsVoter starts the engine of a relay that the record has taken in, from what it has applied as a follower.
func (n *Node) joinAsVoter() {
	s, raw := n.applier.requestSnapshot(n)
	n.mu.Lock()
	id, d := n.identity, n.disk
	n.mu.Unlock()
	if s == nil || s.voters[id].Name != n.options.Name {
		return
	}
	if err := n.startFromSnapshot(id, d, *s, raw, false); err != nil {
		n.mu.Lock()
		n.engineError = err.Error()
		n.mu.Unlock()
	}
}

// startFromSnapshot starts an engine whose log begins with a snapshot.
func (n *Node) startFromSnapshot(id uint64, d *disk, s recordSnapshot, raw []byte, unsure bool) error {
	hard := &pb.HardState{Term: new(s.term), Commit: new(s.index)}
	st, err := newStorage(s, raw, hard, nil)
	if err != nil {
		return err
	}
	if d != nil {
		if err := d.write(diskWrite{snapshot: raw, hardState: hard}); err != nil {
			n.diskFailed(err)
			return nil
		}
	}
	c, err := newCore(id, st, s, unsure, raftLog{n.log()})
	if err != nil {
		return err
	}
	n.startEngine(c, d)
	return nil
}

func (n *Node) diskFailed(err error) {
	n.mu.Lock()
	d := n.disk
	n.disk, n.diskError = nil, err.Error()
	n.mu.Unlock()
	if d != nil {
		if err := d.close(); err != nil {
			n.log().WithField("error", err.Error()).Error("accord: closing the directory")
		}
	}
}

// engineEnded is when the engine has ended by itself: removed, on an older directory, or given up.
func (n *Node) engineEnded(e *engine) {
	n.mu.Lock()
	n.current = nil
	d := n.disk
	n.mu.Unlock()
	n.announceLeadership(false, 0)
	n.transport.setPeers(nil, 0)
	n.pendingCalls.failAll(ErrOutcomeUnknown)
	switch {
	case e.removed:
		n.resetIdentity(d, "replaced as a voter")
	case errors.Is(e.err, errOutdatedDirectory):
		n.resetIdentity(d, e.err.Error())
	default:
		n.mu.Lock()
		n.engineError = fmt.Sprint(e.err)
		n.mu.Unlock()
		n.log().WithField("error", fmt.Sprint(e.err)).Error("accord: the engine gave up: this relay does not vote until it is started again")
	}
}

// resetIdentity gives this relay a new identity and an empty log: what it may have voted for is forgotten with the old one.
func (n *Node) resetIdentity(d *disk, why string) {
	id := randomID()
	if d != nil {
		if err := d.rewrite(storedState{identity: id}, nil); err != nil {
			n.diskFailed(err)
			return
		}
	}
	n.mu.Lock()
	n.identity, n.identityReason = id, why
	n.mu.Unlock()
	n.log().Warn("accord: " + why + ": a new identity")
}

// tasks are the voters to ask, the likeliest first: the leader, then from a place that differs by name, so that followers spread.
func (n *Node) otherVoters() (list []voter) {
	ms := n.applier.voterSet()
	addr := map[string]string{}
	for _, id := range ms.ids() {
		addr[ms[id].Name] = ms[id].Addr
	}
	for name, a := range n.options.Voters {
		if _, ok := addr[name]; !ok {
			addr[name] = a
		}
	}
	delete(addr, n.options.Name)
	names := slices.Sorted(maps.Keys(addr))
	h := fnv.New32a()
	h.Write([]byte(n.options.Name))
	for i := range names {
		name := names[(i+int(h.Sum32()%uint32(len(names))))%len(names)]
		list = append(list, voter{name, addr[name]})
	}
	return list
}

// knownLeader is the leader as far as is known here: by the engine, or by the stream.
func (n *Node) knownLeader() (m voter, here, known bool) {
	if e := n.engine(); e != nil {
		v := e.view.Load()
		if v.isLeader {
			return voter{n.options.Name, n.address}, true, true
		}
		if m, ok := v.voters[v.leader]; ok && v.diskError == nil {
			return m, false, true
		}
	}
	n.mu.Lock()
	f := n.followState
	n.mu.Unlock()
	if f.leader != "" && time.Since(f.updatedAt) < streamTimeout && f.leader != n.options.Name {
		for _, m := range n.otherVoters() {
			if m.Name == f.leader {
				return m, false, true
			}
		}
	}
	return m, false, false
}

// callLocally has this node's own engine do it.
func (n *Node) callLocally(ctx context.Context, w *pendingCall) callResult {
	e := n.engine()
	if e == nil {
		return callResult{err: errNoLeader}
	}
	if !n.pendingCalls.add(w) {
		n.countDropped("pending")
		return callResult{err: ErrQueueFull}
	}
	select {
	case e.calls <- w:
	default:
		n.countDropped("calls")
		n.pendingCalls.fail(w, ErrQueueFull)
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-e.ended:
	case <-n.quit:
	}
	n.pendingCalls.fail(w, ErrOutcomeUnknown)
	return <-w.done
}

// routeCall brings a call to the leader. Hops is how often it was passed on already.
func (n *Node) routeCall(ctx context.Context, w *pendingCall, hops int) callResult {
	m, here, known := n.knownLeader()
	switch {
	case here:
		return n.callLocally(ctx, w)
	case !known || hops >= 2:
		return callResult{err: errNoLeader}
	}
	return n.forwardCall(ctx, m, w, hops+1)
}

func (n *Node) forwardCall(ctx context.Context, m voter, w *pendingCall, hops int) callResult {
	left := ProposeTimeout
	if t, ok := ctx.Deadline(); ok {
		left = time.Until(t)
	}
	kind := byte(requestPropose)
	if w.barrier {
		kind = requestBarrier
	}
	body := putBytes(putBytes(putUints(nil, uint64(hops), uint64(max(0, left.Milliseconds()))), w.id[:]), w.command)
	b, err := n.client.call(ctx, m.Name, m.Addr, kind, body)
	switch {
	case errors.Is(err, errNotSent):
		return callResult{err: errNoLeader}
	case err != nil:
		return callResult{err: ErrOutcomeUnknown}
	}
	switch b[0] {
	case codeOK:
		r := reader{rest: b[1:]}
		res := callResult{index: r.uint(), answer: r.bytes()}
		if r.finish() != nil {
			res.err = ErrOutcomeUnknown
		}
		return res
	case codeNoLeader:
		return callResult{err: errNoLeader}
	case codeFull:
		return callResult{err: ErrQueueFull}
	case codeNoQuorum, codeRejected:
		return callResult{err: ErrNoQuorum}
	}
	return callResult{err: ErrOutcomeUnknown}
}

// startCall tries until something was sent on, or the time is over.
func (n *Node) callWithRetry(ctx context.Context, data []byte, read bool) callResult {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	for {
		try := func(f func(context.Context, *pendingCall) callResult) (callResult, bool) {
			w := &pendingCall{command: data, barrier: read, done: make(chan callResult, 1)}
			copy(w.id[:8], n.proposalIDBase[:])
			binary.BigEndian.PutUint64(w.id[8:], n.proposalSequence.Add(1))
			c := ctx
			if read {
				var end context.CancelFunc
				c, end = context.WithTimeout(ctx, barrierAttemptTimeout)
				defer end()
			}
			r := f(c, w)
			return r, !errors.Is(r.err, errNoLeader) && !(read && errors.Is(r.err, ErrOutcomeUnknown))
		}
		if r, ok := try(func(c context.Context, w *pendingCall) callResult { return n.routeCall(c, w, 0) }); ok {
			return r
		}
		for _, m := range n.otherVoters() { // nobody known to lead: a voter may know
			if ctx.Err() != nil {
				break
			}
			if r, ok := try(func(c context.Context, w *pendingCall) callResult { return n.forwardCall(c, m, w, 1) }); ok {
				return r
			}
		}
		select {
		case <-ctx.Done():
			return callResult{err: ErrNoQuorum}
		case <-n.quit:
			return callResult{err: ErrClosed}
		case <-time.After(retryDelay):
		}
	}
}

func (n *Node) propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if len(command) > MaxCommandSize {
		return nil, 0, ErrTooLarge
	}
	r := n.callWithRetry(ctx, command, false)
	return r.answer, r.index, r.err
}

func (n *Node) barrier(ctx context.Context) (uint64, error) {
	r := n.callWithRetry(ctx, nil, true)
	if r.err != nil {
		return 0, r.err
	}
	return r.index, n.waitApplied(ctx, r.index)
}

func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	for {
		_, at, changed := n.applier.position()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.quit:
			return ErrClosed
		}
	}
}

// updateQuorum notes whether a leader with a majority is heard, and for how long a voter has had none.
func (n *Node) updateQuorum() {
	ok := false
	role := ""
	e := n.engine()
	if e != nil {
		v := e.view.Load()
		ok = v.leader != 0 && v.diskError == nil
		switch {
		case v.diskError != nil:
			role = RoleDiskFailed
		case v.isLeader:
			role = RoleLeader
		default:
			role = RoleVoter
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case e == nil || ok:
		n.leaderlessSince = time.Time{}
	case n.leaderlessSince.IsZero():
		n.leaderlessSince = time.Now()
	}
	if !ok && n.followState.hasQuorum && time.Since(n.followState.updatedAt) < streamTimeout {
		ok = true
	}
	if role != "" {
		n.role = role
	}
	if ok != n.hasQuorum {
		n.hasQuorum, n.quorumSince = ok, time.Now()
	}
}

// updateDuplicateNames notes which names two relays seem to send under, at once; at the end of a while, which do no longer.
func (n *Node) updateDuplicateNames(ends bool) bool {
	names := n.replayGuard.duplicateNames(ends)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(n.duplicateNames, name) {
			n.duplicateNames = append(n.duplicateNames, name)
			n.log().WithField("relay", name).Error("accord: two relays seem to have this name, or one starts over and over")
		}
	}
	if ends {
		n.duplicateNames = names
	}
	return ends
}

func (n *Node) status() Status {
	n.updateQuorum()
	s := Status{Name: n.options.Name, Voters: map[string]string{}, BytesIn: n.bytesIn.Load(), BytesOut: n.bytesOut.Load()}
	s.RecordID, s.Applied, _ = n.applier.position()
	ms, at := n.applier.voterSetAt()
	s.VotersIndex = at
	for _, m := range ms {
		s.Voters[m.Name] = m.Addr
	}
	if m, _, ok := n.knownLeader(); ok {
		s.Leader = m.Name
	}
	e := n.engine()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Role, s.Identity, s.HasQuorum, s.QuorumSince, s.DiskError, s.EngineError, s.IdentityReason = n.role, n.identity, n.hasQuorum, n.quorumSince, n.diskError, n.engineError, n.identityReason
	s.Committed = n.followState.commitIndex
	s.StreamSource, s.DuplicateNames = n.followState.source, slices.Clone(n.duplicateNames)
	if e != nil {
		v := e.view.Load()
		s.Term, s.Committed, s.LogFirst, s.LogLast, s.SnapshotIndex, s.SnapshotBytes = v.term, v.committed, v.firstIndex, v.lastIndex, v.snapshotIndex, v.snapshotBytes
		s.EngineError = v.changeBlocked
		if v.diskError != nil {
			s.DiskError = v.diskError.Error()
		}
	}
	s.Dropped, s.Rejected = maps.Clone(n.dropped), maps.Clone(n.rejected)
	s.LogBytes = n.applier.logBytes()
	return s
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

// raftLog is where the engine's library writes. What it panics with ends the engine, never the process.
type raftLog struct{ logrus.FieldLogger }

func (r raftLog) Info(v ...any)               { r.Debug(v...) }
func (r raftLog) Infof(f string, v ...any)    { r.Debugf(f, v...) }
func (r raftLog) Warningf(f string, v ...any) { r.Debugf(f, v...) }
func (r raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (r raftLog) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (r raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (r raftLog) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
