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
	twinEvery  = 5 * time.Second
	lookEvery  = 200 * time.Millisecond // the supervisor's
	wishEvery  = time.Second
	sayEvery   = time.Second
	saidMost   = 256 // words that wait
	saidBytes  = 256 << 10
	heardMost  = 1024
	toldMost   = 256                    // answers that wait to be told
	awaitMost  = 256                    // requests that wait for answers to their words: half of what is served at a time
	awaitFor   = 300 * time.Millisecond // less than sayEvery: who gave a word up would say it again elsewhere
	tryMost    = 2 * time.Second        // of a question that may be asked again
	tryPause   = 50 * time.Millisecond
	leaderless = 2 * time.Second // after which a voter reads a stream too: it may have been replaced
	bindFor    = 10 * time.Second
	vouchFor   = time.Second // how long a voter that starts waits for all others; then enough for a majority do
)

// Node is one relay's part in the record.
type Node struct {
	o      Options
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
	quit   chan struct{}
	wg     sync.WaitGroup
	once   sync.Once
	closed error

	caller  *caller
	peers   *links
	fresh   fresh
	srv     *http.Server
	serving chan struct{}
	large   chan struct{}
	streams atomic.Int64

	ap      *applier
	applies chan applied
	ask     chan chan struct{} // for a snapshot, by streams
	pend    pending
	idBase  [8]byte
	idNext  atomic.Uint64

	bytesIn, bytesOut atomic.Uint64

	mu        sync.Mutex
	eng       *engine
	identity  uint64
	disk      *disk
	diskSays  string
	engSays   string
	taken     string
	twins     []string
	role      string
	bound     uint64 // the record that a founder is about to begin with this relay
	boundAt   time.Time
	dropped   map[string]uint64
	refusals  map[string]uint64
	said      [][]byte
	saidSize  int
	followed  followed
	majority  bool
	since     time.Time
	noLeader  time.Time // since when the engine has none; zero: it has
	led       chan ledNews
	heard     chan saidWord
	await     chan struct{}
	told      chan saidWord
	faultHook func(op string) error
}

type ledNews struct {
	leading bool
	term    uint64
}

type saidWord struct {
	from string
	word []byte
	back chan<- []byte // with room for its answer; nil in the ring of answers
}

// followed is what the stream last told.
type followed struct {
	voter, leader string
	majority      bool
	at            time.Time
	committed     uint64
}

// applied is what the apply thread gets: a snapshot, or entries.
type applied struct {
	snap  *state
	items []item
	done  chan error // nil if nobody waits
}

func random() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails: the process ends before
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

func startWith(o Options, fault func(string) error) (*Node, error) {
	switch {
	case o.Name == "" || len(o.Name) > nameMost:
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
	n := &Node{o: o, quit: make(chan struct{}), applies: make(chan applied, appliesMost), ask: make(chan chan struct{}, 16),
		serving: make(chan struct{}, requestsMost), large: make(chan struct{}, 1), dropped: map[string]uint64{}, refusals: map[string]uint64{},
		led: make(chan ledNews, 16), heard: make(chan saidWord, heardMost),
		await: make(chan struct{}, awaitMost), told: make(chan saidWord, toldMost), since: time.Now(), role: RoleFollower, faultHook: fault}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.fresh.epoch = random()
	binary.BigEndian.PutUint64(n.idBase[:], random())
	n.caller = newCaller(n)
	n.peers = &links{n: n, by: map[uint64]*lane{}}
	n.ap = newApplier(o.Machine)
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		n.cancel()
		return nil, err
	}
	n.addr = ln.Addr().String()
	n.srv = &http.Server{Handler: http.HandlerFunc(n.serveHTTP), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10}
	if o.Dir == "" {
		n.log().Warn("accord: no directory: this relay forgets the record when it ends, and a voter comes back as a new one; if a majority of voters end at once, the record is lost")
	}
	n.wg.Go(n.applyThread)
	n.wg.Go(n.supervise)
	n.wg.Go(n.followThread)
	n.wg.Go(n.sayThread)
	each(n, n.heard, n.answer)
	each(n, n.told, func(s saidWord) {
		if o.OnReply != nil {
			o.OnReply(s.from, s.word)
		}
	})
	each(n, n.led, func(l ledNews) {
		if o.OnLeadership != nil {
			o.OnLeadership(l.leading, l.term)
		}
	})
	n.wg.Go(func() {
		if err := n.srv.Serve(&countedListener{ln, &n.bytesIn, &n.bytesOut}); !errors.Is(err, http.ErrServerClosed) {
			n.log().WithField("error", err.Error()).Error("accord: the listener ended")
		}
	})
	return n, nil
}

func (n *Node) log() logrus.FieldLogger { return n.o.Log }

func (n *Node) count(m map[string]uint64, what string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[what]++
}

// drop counts what a full ring or a failed link lost; refuse counts what the envelope did not let in. The names are this package's own: a few.
func (n *Node) drop(what string)   { n.count(n.dropped, what) }
func (n *Node) refuse(what string) { n.count(n.refusals, what) }

func (n *Node) engine() *engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.eng
}

// soon has the engine do something, or not if it is busy; later waits for room.
func (n *Node) soon(f func(*engine)) {
	if e := n.engine(); e != nil {
		select {
		case e.others <- func() { f(e) }:
		default:
			n.drop("others")
		}
	}
}

func (n *Node) later(f func(*engine)) {
	e := n.engine()
	if e == nil {
		return
	}
	n.wg.Go(func() {
		select {
		case e.others <- func() { f(e) }:
		case <-e.ended:
		case <-n.quit:
		}
	})
}

func (n *Node) tellLed(leading bool, term uint64) {
	for {
		select {
		case n.led <- ledNews{leading, term}:
			return
		default:
		}
		select { // the oldest makes room: the last state is always told
		case <-n.led:
			n.drop("led")
		default:
		}
	}
}

// each hands what a ring brings to f, on a goroutine of its own.
func each[T any](n *Node, ring <-chan T, f func(T)) {
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

// answer has a word heard, and gives the answer to who waits for it.
func (n *Node) answer(s saidWord) {
	var a []byte
	if n.o.OnReport != nil {
		a = n.o.OnReport(s.from, s.word)
	}
	if len(a) > MaxReplySize {
		n.drop("answersize")
		a = nil
	}
	s.back <- a
}

// applyThread is the only one that calls the machine.
func (n *Node) applyThread() {
	for {
		select {
		case <-n.quit:
			return
		case c := <-n.ask:
			if n.ap.due() {
				n.ap.snapshot()
			}
			close(c)
		case a := <-n.applies:
			var err error
			if a.snap != nil {
				if _, err = n.ap.restore(*a.snap); err != nil {
					n.log().WithField("error", err.Error()).Error("accord: the machine refused a snapshot")
				}
			}
			for _, it := range a.items {
				answer, ok := n.ap.apply(it)
				if ok {
					n.pend.applied(it.index, it.id, answer)
				} else {
					n.pend.passed(it.index, it.id)
				}
			}
			if a.done != nil {
				a.done <- err
			}
			if e := n.engine(); e != nil && n.ap.due() {
				if s, raw := n.ap.snapshot(); s != nil {
					n.later(func(e *engine) { e.snap, e.raw = s, raw })
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

// run starts an engine.
func (n *Node) run(c *core, d *disk) {
	e := newEngine(n, c, d)
	n.mu.Lock()
	n.eng, n.engSays, n.noLeader = e, "", time.Now()
	n.mu.Unlock()
	n.peers.know(c.members, c.id)
	e.start()
	if c.unsure {
		n.wg.Go(func() { n.vouch(e) })
	}
}

// supervise decides what this node is: voter, founder, newcomer, follower.
func (n *Node) supervise() {
	defer func() {
		if e := n.engine(); e != nil {
			e.stop()
		}
		if d := n.diskNow(); d != nil {
			if err := d.close(); err != nil {
				n.log().WithField("error", err.Error()).Error("accord: closing the directory")
			}
		}
	}()
	n.openDir()
	look := time.NewTicker(lookEvery)
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
			n.over(e)
			continue
		case <-look.C:
		}
		n.watchMajority()
		if n.watchTwins(time.Since(twinsAt) > twinEvery) {
			twinsAt = time.Now()
		}
		if e != nil {
			continue
		}
		n.mu.Lock()
		id, disk, bad, gave := n.identity, n.disk, n.diskSays, n.engSays
		n.mu.Unlock()
		if n.o.Dir != "" && (disk == nil || bad != "") {
			n.setRole(RoleFollower)
			if n.isVoter() {
				n.setRole(RoleDiskFailed)
			}
			if time.Since(opened) > 5*time.Second {
				opened = time.Now()
				n.openDir()
			}
			continue
		}
		if gave != "" {
			n.setRole(RoleDiskFailed)
			continue
		}
		record, _, _ := n.ap.at()
		ms := n.ap.membersNow()
		if m, ok := ms[id]; ok && record != 0 && m.Name == n.o.Name {
			n.join()
			continue
		}
		switch {
		case !n.isVoter():
			n.setRole(RoleFollower)
		case record == 0:
			n.setRole(RoleJoining)
			n.found(id)
		default:
			n.setRole(RoleJoining)
			if time.Since(wished) > wishEvery {
				wished = time.Now()
				n.wish(wish{old: n.o.Name, name: n.o.Name, addr: n.ownAddr(ms), id: id})
			}
		}
	}
}

// isVoter says whether this relay's name votes: as the record has it, or at first as the settings have it.
func (n *Node) isVoter() bool {
	if ms := n.ap.membersNow(); len(ms) > 0 {
		return ms.named(n.o.Name) != 0
	}
	_, ok := n.o.Voters[n.o.Name]
	return ok
}

func (n *Node) ownAddr(ms members) string {
	if a, ok := n.o.Voters[n.o.Name]; ok {
		return a
	}
	if id := ms.named(n.o.Name); id != 0 {
		return ms[id].Addr
	}
	return n.addr
}

func (n *Node) diskNow() *disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disk
}

// openDir reads the directory and starts the engine, if it held a voter's log.
func (n *Node) openDir() {
	if n.o.Dir == "" {
		n.mu.Lock()
		if n.identity == 0 {
			n.identity = random()
		}
		n.mu.Unlock()
		return
	}
	d := &disk{dir: n.o.Dir, fault: n.faultHook}
	h, note, err := d.open(random())
	n.mu.Lock()
	if err != nil {
		n.diskSays = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the directory cannot be used: this relay does not vote")
		return
	}
	n.disk, n.identity, n.diskSays = d, h.identity, ""
	if note != "" {
		n.taken = note
	}
	n.mu.Unlock()
	if note != "" {
		n.log().Warn("accord: " + note + ": it comes back as a new voter")
	}
	if h.state == nil {
		return
	}
	if err := n.resume(h, d); err != nil {
		n.mu.Lock()
		n.engSays = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the engine does not start from its directory")
	}
}

// hand gives something to the apply thread, and waits.
func (n *Node) hand(a applied) error {
	a.done = make(chan error, 1)
	select {
	case n.applies <- a:
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

func (n *Node) resume(h held, d *disk) error {
	s, err := decodeState(h.state)
	if err != nil {
		return err
	}
	st, err := storageOf(s, h.state, h.hard, h.entries)
	if err != nil {
		return err
	}
	if err := n.hand(applied{snap: &s}); err != nil {
		return err
	}
	c, err := newCore(h.identity, st, s, len(s.members) > 1, raftLog{n.log()})
	if err != nil {
		return err
	}
	for id, m := range h.marks {
		c.hear(id, m)
	}
	n.run(c, d)
	return nil
}

// join starts the engine of a relay that the record has taken in, from what it has applied as a follower.
func (n *Node) join() {
	s, raw := n.ap.snapshotNow(n)
	n.mu.Lock()
	id, d := n.identity, n.disk
	n.mu.Unlock()
	if s == nil || s.members[id].Name != n.o.Name {
		return
	}
	if err := n.begin(id, d, *s, raw, false); err != nil {
		n.mu.Lock()
		n.engSays = err.Error()
		n.mu.Unlock()
	}
}

// begin starts an engine whose log begins with a snapshot.
func (n *Node) begin(id uint64, d *disk, s state, raw []byte, unsure bool) error {
	hard := &pb.HardState{Term: new(s.term), Commit: new(s.index)}
	st, err := storageOf(s, raw, hard, nil)
	if err != nil {
		return err
	}
	if d != nil {
		if err := d.write(diskWrite{state: raw, hard: hard}); err != nil {
			n.diskFailed(err)
			return nil
		}
	}
	c, err := newCore(id, st, s, unsure, raftLog{n.log()})
	if err != nil {
		return err
	}
	n.run(c, d)
	return nil
}

func (n *Node) diskFailed(err error) {
	n.mu.Lock()
	d := n.disk
	n.disk, n.diskSays = nil, err.Error()
	n.mu.Unlock()
	if d != nil {
		if err := d.close(); err != nil {
			n.log().WithField("error", err.Error()).Error("accord: closing the directory")
		}
	}
}

// over is when the engine has ended by itself: removed, on an older directory, or given up.
func (n *Node) over(e *engine) {
	n.mu.Lock()
	n.eng = nil
	d := n.disk
	n.mu.Unlock()
	n.tellLed(false, 0)
	n.peers.know(nil, 0)
	n.pend.failAll(ErrOutcomeUnknown)
	switch {
	case e.removed:
		n.anew(d, "replaced as a voter")
	case errors.Is(e.why, errOlder):
		n.anew(d, e.why.Error())
	default:
		n.mu.Lock()
		n.engSays = fmt.Sprint(e.why)
		n.mu.Unlock()
		n.log().WithField("error", fmt.Sprint(e.why)).Error("accord: the engine gave up: this relay does not vote until it is started again")
	}
}

// anew gives this relay a new identity and an empty log: what it may have voted for is forgotten with the old one.
func (n *Node) anew(d *disk, why string) {
	id := random()
	if d != nil {
		if err := d.rewrite(held{identity: id}, nil); err != nil {
			n.diskFailed(err)
			return
		}
	}
	n.mu.Lock()
	n.identity, n.taken = id, why
	n.mu.Unlock()
	n.log().Warn("accord: " + why + ": a new identity")
}

// others are the voters to ask, the likeliest first: the leader, then from a place that differs by name, so that followers spread.
func (n *Node) others() (list []member) {
	ms := n.ap.membersNow()
	addr := map[string]string{}
	for _, id := range ms.ids() {
		addr[ms[id].Name] = ms[id].Addr
	}
	for name, a := range n.o.Voters {
		if _, ok := addr[name]; !ok {
			addr[name] = a
		}
	}
	delete(addr, n.o.Name)
	names := slices.Sorted(maps.Keys(addr))
	h := fnv.New32a()
	h.Write([]byte(n.o.Name))
	for i := range names {
		name := names[(i+int(h.Sum32()%uint32(len(names))))%len(names)]
		list = append(list, member{name, addr[name]})
	}
	return list
}

// leaderNow is the leader as far as is known here: by the engine, or by the stream.
func (n *Node) leaderNow() (m member, here, known bool) {
	if e := n.engine(); e != nil {
		v := e.view.Load()
		if v.leads {
			return member{n.o.Name, n.addr}, true, true
		}
		if m, ok := v.members[v.leader]; ok && v.mute == nil {
			return m, false, true
		}
	}
	n.mu.Lock()
	f := n.followed
	n.mu.Unlock()
	if f.leader != "" && time.Since(f.at) < silence && f.leader != n.o.Name {
		for _, m := range n.others() {
			if m.Name == f.leader {
				return m, false, true
			}
		}
	}
	return m, false, false
}

// local has this node's own engine do it.
func (n *Node) local(ctx context.Context, w *waiter) result {
	e := n.engine()
	if e == nil {
		return result{err: errNoLeader}
	}
	if !n.pend.add(w) {
		n.drop("pending")
		return result{err: ErrQueueFull}
	}
	select {
	case e.calls <- w:
	default:
		n.drop("calls")
		n.pend.fail(w, ErrQueueFull)
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-e.ended:
	case <-n.quit:
	}
	n.pend.fail(w, ErrOutcomeUnknown)
	return <-w.done
}

// passOn brings a call to the leader. Hops is how often it was passed on already.
func (n *Node) passOn(ctx context.Context, w *waiter, hops int) result {
	m, here, known := n.leaderNow()
	switch {
	case here:
		return n.local(ctx, w)
	case !known || hops >= 2:
		return result{err: errNoLeader}
	}
	return n.send(ctx, m, w, hops+1)
}

func (n *Node) send(ctx context.Context, m member, w *waiter, hops int) result {
	left := ProposeTimeout
	if t, ok := ctx.Deadline(); ok {
		left = time.Until(t)
	}
	kind := byte(kindPropose)
	if w.read {
		kind = kindBarrier
	}
	body := putBytes(putBytes(put(nil, uint64(hops), uint64(max(0, left.Milliseconds()))), w.id[:]), w.data)
	b, err := n.caller.ask(ctx, m.Name, m.Addr, kind, body)
	switch {
	case errors.Is(err, errUnsent):
		return result{err: errNoLeader}
	case err != nil:
		return result{err: ErrOutcomeUnknown}
	}
	switch b[0] {
	case codeOK:
		r := reader{b: b[1:]}
		res := result{index: r.uint(), answer: r.bytes()}
		if r.end() != nil {
			res.err = ErrOutcomeUnknown
		}
		return res
	case codeNoLeader:
		return result{err: errNoLeader}
	case codeFull:
		return result{err: ErrQueueFull}
	case codeLost, codeRefused:
		return result{err: ErrNoQuorum}
	}
	return result{err: ErrOutcomeUnknown}
}

// call tries until something was sent on, or the time is over.
func (n *Node) call(ctx context.Context, data []byte, read bool) result {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	for {
		try := func(f func(context.Context, *waiter) result) (result, bool) {
			w := &waiter{data: data, read: read, done: make(chan result, 1)}
			copy(w.id[:8], n.idBase[:])
			binary.BigEndian.PutUint64(w.id[8:], n.idNext.Add(1))
			c := ctx
			if read {
				var end context.CancelFunc
				c, end = context.WithTimeout(ctx, tryMost)
				defer end()
			}
			r := f(c, w)
			return r, !errors.Is(r.err, errNoLeader) && !(read && errors.Is(r.err, ErrOutcomeUnknown))
		}
		if r, ok := try(func(c context.Context, w *waiter) result { return n.passOn(c, w, 0) }); ok {
			return r
		}
		for _, m := range n.others() { // nobody known to lead: a voter may know
			if ctx.Err() != nil {
				break
			}
			if r, ok := try(func(c context.Context, w *waiter) result { return n.send(c, m, w, 1) }); ok {
				return r
			}
		}
		select {
		case <-ctx.Done():
			return result{err: ErrNoQuorum}
		case <-n.quit:
			return result{err: ErrClosed}
		case <-time.After(tryPause):
		}
	}
}

func (n *Node) propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if len(command) > MaxCommandSize {
		return nil, 0, ErrTooLarge
	}
	r := n.call(ctx, command, false)
	return r.answer, r.index, r.err
}

func (n *Node) barrier(ctx context.Context) (uint64, error) {
	r := n.call(ctx, nil, true)
	if r.err != nil {
		return 0, r.err
	}
	return r.index, n.waitApplied(ctx, r.index)
}

func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	for {
		_, at, changed := n.ap.at()
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

// watchMajority notes whether a leader with a majority is heard, and for how long a voter has had none.
func (n *Node) watchMajority() {
	ok := false
	role := ""
	e := n.engine()
	if e != nil {
		v := e.view.Load()
		ok = v.leader != 0 && v.mute == nil
		switch {
		case v.mute != nil:
			role = RoleDiskFailed
		case v.leads:
			role = RoleLeader
		default:
			role = RoleVoter
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case e == nil || ok:
		n.noLeader = time.Time{}
	case n.noLeader.IsZero():
		n.noLeader = time.Now()
	}
	if !ok && n.followed.majority && time.Since(n.followed.at) < silence {
		ok = true
	}
	if role != "" {
		n.role = role
	}
	if ok != n.majority {
		n.majority, n.since = ok, time.Now()
	}
}

// watchTwins notes which names two relays seem to send under, at once; at the end of a while, which do no longer.
func (n *Node) watchTwins(ends bool) bool {
	names := n.fresh.twins(ends)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(n.twins, name) {
			n.twins = append(n.twins, name)
			n.log().WithField("relay", name).Error("accord: two relays seem to have this name, or one starts over and over")
		}
	}
	if ends {
		n.twins = names
	}
	return ends
}

func (n *Node) status() Status {
	n.watchMajority()
	s := Status{Name: n.o.Name, Voters: map[string]string{}, BytesIn: n.bytesIn.Load(), BytesOut: n.bytesOut.Load()}
	s.RecordID, s.Applied, _ = n.ap.at()
	ms, at := n.ap.votersNow()
	s.VotersIndex = at
	for _, m := range ms {
		s.Voters[m.Name] = m.Addr
	}
	if m, _, ok := n.leaderNow(); ok {
		s.Leader = m.Name
	}
	e := n.engine()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Role, s.Identity, s.HasQuorum, s.QuorumSince, s.DiskError, s.EngineError, s.IdentityReason = n.role, n.identity, n.majority, n.since, n.diskSays, n.engSays, n.taken
	s.Committed = n.followed.committed
	s.StreamSource, s.DuplicateNames = n.followed.voter, slices.Clone(n.twins)
	if e != nil {
		v := e.view.Load()
		s.Term, s.Committed, s.LogFirst, s.LogLast, s.SnapshotIndex, s.SnapshotBytes = v.term, v.committed, v.first, v.last, v.snapIndex, v.snapBytes
		s.EngineError = v.held
		if v.mute != nil {
			s.DiskError = v.mute.Error()
		}
	}
	s.Dropped, s.Rejected = maps.Clone(n.dropped), maps.Clone(n.refusals)
	s.LogBytes = n.ap.size()
	return s
}

func (n *Node) close() error {
	n.once.Do(func() {
		close(n.quit)
		n.cancel()
		n.closed = n.srv.Close()
		n.wg.Wait()
		n.caller.client.CloseIdleConnections()
	})
	return n.closed
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
