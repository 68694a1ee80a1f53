package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What a request is.
const (
	kindBatch   = 'r' // messages of the engine
	kindPropose = 'p'
	kindBarrier = 'b'
	kindSay     = 's'
	kindHello   = 'h'
	kindWish    = 'w'
	kindFollow  = 'f'
)

// How an answer begins.
const (
	codeOK       = 0
	codeEpoch    = 1 // sealed for an earlier process; the right epoch follows
	codeOld      = 2 // the sender's start is too low; the lowest that was refused follows
	codeNoLeader = 3 // nothing was done
	codeFull     = 4 // nothing was done
	codeLost     = 5 // nothing was agreed, nor will be
	codeDoubt    = 6
	codeRefused  = 7 // a text follows
)

const (
	path         = "/accord"
	smallMost    = 2 << 20 // bytes of a request that is no snapshot
	largeMost    = MaxSnapshotSize + 1<<20
	requestsMost = 512 // served at a time, beside streams
	streamsMost  = 1024
	dialMost     = time.Second
	passMost     = time.Second // of what is passed on to the leader and may be lost
	readMost     = 10 * time.Second
	batchMost    = 800 * time.Millisecond // for messages of the engine: what is late is worth nothing
	snapMost     = 30 * time.Second
	laneMost     = 512
	laneBytes    = 1 << 20
)

var errUnsent = errors.New("not sent")

// counted counts bytes of connections.
type counted struct {
	net.Conn
	in, out *atomic.Uint64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(uint64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	in, out *atomic.Uint64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{c, l.in, l.out}, nil
}

// caller makes requests to other relays.
type caller struct {
	n      *Node
	client *http.Client
	mu     sync.Mutex
	start  uint64 // with random low bits: two relays of one name never have the same, or they would share numbers unseen
	seq    uint64
	epochs map[string]uint64 // by name; as many as relays are asked
}

func newCaller(n *Node) *caller {
	d := &net.Dialer{Timeout: dialMost}
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &counted{c, &n.bytesIn, &n.bytesOut}, nil
		}}
	return &caller{n: n, client: &http.Client{Transport: t}, start: uint64(time.Now().UnixMilli())<<20 + random()>>42, epochs: map[string]uint64{}}
}

// sent is a request that was answered; the answer is unread.
type sent struct {
	io.ReadCloser
	tag   []byte
	start uint64
}

// open sends a request. An error that is errUnsent says that nobody acted on it.
func (c *caller) open(ctx context.Context, name, addr string, kind byte, body []byte) (*sent, error) {
	if reach, ok := c.n.o.DialAddresses[name]; ok {
		addr = reach
	}
	c.mu.Lock()
	c.seq++
	s := &sent{start: c.start}
	b, tag := sealRequest(c.n.o.Keys[0], c.epochs[name], c.start, c.seq, kind, c.n.o.Name, name, body)
	c.mu.Unlock()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Join(errUnsent, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := c.client.Do(req)
	if err != nil {
		if !connected {
			err = errors.Join(errUnsent, err)
		}
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		// Not sealed, so it may be anyone's word: it does not prove that nobody acted.
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	s.ReadCloser, s.tag = resp.Body, tag
	return s, nil
}

// learn takes an answer that refuses an epoch or a start; the request may then be sent again, since it was not read.
func (c *caller) learn(name string, s *sent, answer []byte) bool {
	if len(answer) != 9 || answer[0] != codeEpoch && answer[0] != codeOld {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := binary.BigEndian.Uint64(answer[1:])
	if answer[0] == codeEpoch {
		if len(c.epochs) >= sendersMost {
			clear(c.epochs)
		}
		c.epochs[name] = v
	} else if v >= c.start && s.start == c.start { // else it was raised since
		c.start, c.seq = v+1+random()>>42, 0
		c.n.fresh.raiseOwn(c.n.o.Name)
	}
	return true
}

// ask sends a request and returns its answer, from the code on.
func (c *caller) ask(ctx context.Context, name, addr string, kind byte, body []byte) ([]byte, error) {
	for range 4 {
		s, err := c.open(ctx, name, addr, kind, body)
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(io.LimitReader(s, smallMost))
		s.Close()
		if err != nil {
			return nil, err
		}
		b, err = openAnswer(c.n.o.Keys[0], s.tag, 0, b)
		if err != nil || len(b) == 0 {
			return nil, fmt.Errorf("answer of %s: %w", name, errTag)
		}
		if !c.learn(name, s, b) {
			return b, nil
		}
	}
	return nil, errUnsent
}

// links are the ways to the other voters, a queue and a goroutine each.
type links struct {
	n  *Node
	mu sync.Mutex
	by map[uint64]*lane
}

type lane struct {
	name, addr string
	ch, snaps  chan *pb.Message
	quit       chan struct{}
	marks      atomic.Pointer[map[uint64]mark]
}

// know has lanes to these and no others.
func (l *links) know(m members, self uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, la := range l.by {
		if m[id] != (member{la.name, la.addr}) {
			close(la.quit)
			delete(l.by, id)
		}
	}
	for id, v := range m {
		if l.by[id] == nil && id != self {
			la := &lane{name: v.Name, addr: v.Addr, ch: make(chan *pb.Message, laneMost), snaps: make(chan *pb.Message, 1), quit: make(chan struct{})}
			l.by[id] = la
			l.n.wg.Go(func() { l.n.carry(self, id, la) })
			l.n.wg.Go(func() { l.n.carrySnaps(self, id, la) })
		}
	}
}

func (l *links) send(c *core, ms []*pb.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var marks map[uint64]mark
	for _, m := range ms {
		la := l.by[m.GetTo()]
		if la == nil {
			continue
		}
		if m.GetType() == pb.MsgHeartbeat {
			if marks == nil {
				marks = maps.Clone(c.marks)
				marks[c.id] = c.own()
			}
			la.marks.Store(&marks)
		}
		ch := la.ch
		if m.GetType() == pb.MsgSnap {
			ch = la.snaps
		}
		select {
		case ch <- m:
		default:
			l.n.drop("engine")
			if m.GetType() == pb.MsgSnap {
				id := m.GetTo()
				l.n.later(func(e *engine) { e.c.rn.ReportSnapshot(id, raft.SnapshotFailure) })
			}
		}
	}
}

func (n *Node) carry(self, id uint64, la *lane) {
	for {
		var ms [][]byte
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.ch:
			size := 0
			for m != nil {
				b, err := proto.Marshal(m)
				if err != nil {
					n.drop("marshal")
				} else {
					ms = append(ms, b)
				}
				if size += len(b); size > laneBytes {
					break
				}
				select {
				case m = <-la.ch:
				default:
					m = nil
				}
			}
		}
		var marks map[uint64]mark
		if p := la.marks.Swap(nil); p != nil {
			marks = *p
		}
		ctx, cancel := context.WithTimeout(n.ctx, batchMost)
		if _, err := n.caller.ask(ctx, la.name, la.addr, kindBatch, encodeBatch(self, marks, ms)); err != nil {
			n.drop("unreachable")
			n.soon(func(e *engine) { e.c.rn.ReportUnreachable(id) })
		}
		cancel()
	}
}

func (n *Node) carrySnaps(self, id uint64, la *lane) {
	for {
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.snaps:
			b, err := proto.Marshal(m)
			if err == nil {
				ctx, cancel := context.WithTimeout(n.ctx, snapMost)
				var a []byte
				if a, err = n.caller.ask(ctx, la.name, la.addr, kindBatch, encodeBatch(self, nil, [][]byte{b})); err == nil && a[0] != codeOK {
					err = errUnsent
				}
				cancel()
			}
			how := raft.SnapshotFinish
			if err != nil {
				how = raft.SnapshotFailure
			}
			n.later(func(e *engine) { e.c.rn.ReportSnapshot(id, how) })
		}
	}
}

// ServeHTTP takes what other relays send.
func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != path {
		n.refuse("path")
		http.NotFound(w, r)
		return
	}
	select {
	case n.serving <- struct{}{}:
	default:
		n.drop("requests")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	free := sync.OnceFunc(func() { <-n.serving })
	defer free()
	if r.ContentLength < 0 || r.ContentLength > largeMost {
		n.refuse("size")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.ContentLength > smallMost { // of unknown senders still: one at a time
		select {
		case n.large <- struct{}{}:
			defer func() { <-n.large }()
		default:
			n.drop("large")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	rc := http.NewResponseController(w)
	limit := readMost
	if r.ContentLength > smallMost {
		limit = snapMost
	}
	if err := rc.SetReadDeadline(time.Now().Add(limit)); err != nil {
		n.refuse("deadline")
		return
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		n.refuse("read")
		return
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		n.refuse("deadline")
		return
	}
	req, err := openRequest(n.o.Keys, n.o.Name, b)
	if err != nil {
		n.refuse(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	answer := func(b []byte) {
		out := sealAnswer(req.key, req.tag, 0, b)
		if req.kind == kindFollow { // its answer is frames
			out = append(binary.BigEndian.AppendUint32(nil, uint32(len(out))), out...)
		}
		w.Header()["Date"] = nil
		if _, err := w.Write(out); err != nil {
			n.drop("answers")
		}
	}
	switch start, err := n.fresh.check(req); err {
	case nil:
	case errEpoch:
		answer(binary.BigEndian.AppendUint64([]byte{codeEpoch}, n.fresh.epoch))
		return
	case errOld:
		answer(binary.BigEndian.AppendUint64([]byte{codeOld}, start))
		return
	default:
		n.refuse(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if req.kind == kindFollow {
		free()
		n.serveStream(r.Context(), w, rc, req)
		return
	}
	answer(n.serve(r.Context(), req))
}

func refused(err error) []byte { return append([]byte{codeRefused}, err.Error()...) }

func (n *Node) serve(ctx context.Context, req request) []byte {
	r := reader{b: req.body}
	switch req.kind {
	case kindBatch:
		from, marks, ms, err := decodeBatch(req.body)
		e := n.engine()
		if err != nil || e == nil {
			return []byte{codeNoLeader}
		}
		select {
		case e.steps <- step{from, marks, ms}:
			return []byte{codeOK}
		default:
			n.drop("steps")
			return []byte{codeFull}
		}
	case kindPropose, kindBarrier:
		hops, ms := r.uint(), r.uint()
		w := &waiter{read: req.kind == kindBarrier, done: make(chan result, 1)}
		copy(w.id[:], r.bytes())
		w.data = r.bytes()
		if r.end() != nil || len(w.data) > MaxCommandSize {
			return refused(errShort)
		}
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(ms)*time.Millisecond, ProposeTimeout))
		defer cancel()
		res := n.passOn(ctx, w, int(hops))
		switch {
		case res.err == nil:
			return putBytes(put([]byte{codeOK}, res.index), res.answer)
		case errors.Is(res.err, errNoLeader):
			return []byte{codeNoLeader}
		case errors.Is(res.err, ErrQueueFull):
			return []byte{codeFull}
		case errors.Is(res.err, ErrNoQuorum):
			return []byte{codeLost}
		}
		return []byte{codeDoubt}
	case kindSay:
		return n.hearSaid(ctx, req.body)
	case kindHello:
		return n.answerHello(req.from, req.body)
	case kindWish:
		return n.hearWish(ctx, req.body)
	}
	return refused(errShort)
}
