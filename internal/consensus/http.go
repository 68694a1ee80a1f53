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
	requestMessages   = 'r' // messages of the engine
	requestPropose    = 'p'
	requestBarrier    = 'b'
	requestReport     = 's'
	requestPeerStatus = 'h'
	requestChange     = 'w'
	requestFollow     = 'f'
)

// How an answer begins.
const (
	codeOK             = 0
	codeWrongEpoch     = 1 // sealed for an earlier process; the right epoch follows
	codeStaleStart     = 2 // the sender's start is too low; the lowest that was refused follows
	codeNoLeader       = 3 // nothing was done
	codeFull           = 4 // nothing was done
	codeNoQuorum       = 5 // nothing was agreed, nor will be
	codeOutcomeUnknown = 6
	codeRejected       = 7 // a text follows
)

const (
	endpointPath    = "/accord"
	maxSmallRequest = 2 << 20 // bytes of a request that is no snapshot
	maxLargeRequest = MaxSnapshotSize + 1<<20
	maxRequests     = 512 // served at a time, beside streams
	maxStreams      = 1024
	dialTimeout     = time.Second
	forwardTimeout  = time.Second // of what is passed on to the leader and may be lost
	readTimeout     = 10 * time.Second
	messagesTimeout = 800 * time.Millisecond // for messages of the engine: what is late is worth nothing
	snapshotTimeout = 30 * time.Second
	peerQueueSize   = 512
	maxMessagesSize = 1 << 20
)

var errNotSent = errors.New("not sent")

// countingConn counts bytes of connections.
type countingConn struct {
	net.Conn
	bytesIn, bytesOut *atomic.Uint64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesOut.Add(uint64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytesIn, bytesOut *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.bytesIn, l.bytesOut}, nil
}

// client makes requests to other relays.
type client struct {
	node     *Node
	http     *http.Client
	mu       sync.Mutex
	start    uint64 // with random low bits: two relays of one name never have the same, or they would share numbers unseen
	sequence uint64
	epochs   map[string]uint64 // by name; as many as relays are asked
}

func newClient(n *Node) *client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &n.bytesIn, &n.bytesOut}, nil
		}}
	return &client{node: n, http: &http.Client{Transport: t}, start: uint64(time.Now().UnixMilli())<<20 + randomID()>>42, epochs: map[string]uint64{}}
}

// response is a request that was answered; the answer is unread.
type response struct {
	io.ReadCloser
	tag   []byte
	start uint64
}

// forwardCall sends a request. An error that is errNotSent says that nobody acted on it.
func (c *client) send(ctx context.Context, name, addr string, kind byte, body []byte) (*response, error) {
	if reach, ok := c.node.options.DialAddresses[name]; ok {
		addr = reach
	}
	c.mu.Lock()
	c.sequence++
	s := &response{start: c.start}
	b, tag := sealRequest(c.node.options.Keys[0], c.epochs[name], c.start, c.sequence, kind, c.node.options.Name, name, body)
	c.mu.Unlock()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+endpointPath, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected {
			err = errors.Join(errNotSent, err)
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

// updateFreshness takes an answer that refuses an epoch or a start; the request may then be sent again, since it was not read.
func (c *client) updateFreshness(name string, s *response, answer []byte) bool {
	if len(answer) != 9 || answer[0] != codeWrongEpoch && answer[0] != codeStaleStart {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := binary.BigEndian.Uint64(answer[1:])
	if answer[0] == codeWrongEpoch {
		if len(c.epochs) >= maxSenders {
			clear(c.epochs)
		}
		c.epochs[name] = v
	} else if v >= c.start && s.start == c.start { // else it was raised since
		c.start, c.sequence = v+1+randomID()>>42, 0
		c.node.replayGuard.noteOwnRestart(c.node.options.Name)
	}
	return true
}

// callWithRetry sends a request and returns its answer, from the code on.
func (c *client) call(ctx context.Context, name, addr string, kind byte, body []byte) ([]byte, error) {
	for range 4 {
		s, err := c.send(ctx, name, addr, kind, body)
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(io.LimitReader(s, maxSmallRequest))
		s.Close()
		if err != nil {
			return nil, err
		}
		b, err = verifyAnswer(c.node.options.Keys[0], s.tag, 0, b)
		if err != nil || len(b) == 0 {
			return nil, fmt.Errorf("answer of %s: %w", name, errTag)
		}
		if !c.updateFreshness(name, s, b) {
			return b, nil
		}
	}
	return nil, errNotSent
}

// transport are the ways to the other voters, a queue and a goroutine each.
type transport struct {
	node  *Node
	mu    sync.Mutex
	peers map[uint64]*peer
}

type peer struct {
	name, address       string
	messages, snapshots chan *pb.Message
	quit                chan struct{}
	acknowledged        atomic.Pointer[map[uint64]logPosition]
}

// setPeers has lanes to these and no others.
func (l *transport) setPeers(m voterSet, self uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, la := range l.peers {
		if m[id] != (voter{la.name, la.address}) {
			close(la.quit)
			delete(l.peers, id)
		}
	}
	for id, v := range m {
		if l.peers[id] == nil && id != self {
			la := &peer{name: v.Name, address: v.Addr, messages: make(chan *pb.Message, peerQueueSize), snapshots: make(chan *pb.Message, 1), quit: make(chan struct{})}
			l.peers[id] = la
			l.node.wg.Go(func() { l.node.sendMessages(self, id, la) })
			l.node.wg.Go(func() { l.node.sendSnapshots(self, id, la) })
		}
	}
}

func (l *transport) send(c *core, ms []*pb.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var marks map[uint64]logPosition
	for _, m := range ms {
		la := l.peers[m.GetTo()]
		if la == nil {
			continue
		}
		if m.GetType() == pb.MsgHeartbeat {
			if marks == nil {
				marks = maps.Clone(c.acknowledged)
				marks[c.id] = c.ownPosition()
			}
			la.acknowledged.Store(&marks)
		}
		ch := la.messages
		if m.GetType() == pb.MsgSnap {
			ch = la.snapshots
		}
		select {
		case ch <- m:
		default:
			l.node.countDropped("engine")
			if m.GetType() == pb.MsgSnap {
				id := m.GetTo()
				l.node.onEngine(func(e *engine) { e.core.node.ReportSnapshot(id, raft.SnapshotFailure) })
			}
		}
	}
}

func (n *Node) sendMessages(self, id uint64, la *peer) {
	for {
		var ms [][]byte
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.messages:
			size := 0
			for m != nil {
				b, err := proto.Marshal(m)
				if err != nil {
					n.countDropped("marshal")
				} else {
					ms = append(ms, b)
				}
				if size += len(b); size > maxMessagesSize {
					break
				}
				select {
				case m = <-la.messages:
				default:
					m = nil
				}
			}
		}
		var marks map[uint64]logPosition
		if p := la.acknowledged.Swap(nil); p != nil {
			marks = *p
		}
		ctx, cancel := context.WithTimeout(n.ctx, messagesTimeout)
		if _, err := n.client.call(ctx, la.name, la.address, requestMessages, encodeMessages(self, marks, ms)); err != nil {
			n.countDropped("unreachable")
			n.tryOnEngine(func(e *engine) { e.core.node.ReportUnreachable(id) })
		}
		cancel()
	}
}

func (n *Node) sendSnapshots(self, id uint64, la *peer) {
	for {
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.snapshots:
			b, err := proto.Marshal(m)
			if err == nil {
				ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
				var a []byte
				if a, err = n.client.call(ctx, la.name, la.address, requestMessages, encodeMessages(self, nil, [][]byte{b})); err == nil && a[0] != codeOK {
					err = errNotSent
				}
				cancel()
			}
			how := raft.SnapshotFinish
			if err != nil {
				how = raft.SnapshotFailure
			}
			n.onEngine(func(e *engine) { e.core.node.ReportSnapshot(id, how) })
		}
	}
}

// ServeHTTP takes what other relays send.
func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != endpointPath {
		n.countRejected("path")
		http.NotFound(w, r)
		return
	}
	select {
	case n.requestSlots <- struct{}{}:
	default:
		n.countDropped("requests")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	free := sync.OnceFunc(func() { <-n.requestSlots })
	defer free()
	if r.ContentLength < 0 || r.ContentLength > maxLargeRequest {
		n.countRejected("size")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.ContentLength > maxSmallRequest { // of unknown senders still: one at a time
		select {
		case n.largeSlot <- struct{}{}:
			defer func() { <-n.largeSlot }()
		default:
			n.countDropped("large")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	rc := http.NewResponseController(w)
	limit := readTimeout
	if r.ContentLength > maxSmallRequest {
		limit = snapshotTimeout
	}
	if err := rc.SetReadDeadline(time.Now().Add(limit)); err != nil {
		n.countRejected("deadline")
		return
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		n.countRejected("read")
		return
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		n.countRejected("deadline")
		return
	}
	req, err := verifyRequest(n.options.Keys, n.options.Name, b)
	if err != nil {
		n.countRejected(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	answer := func(b []byte) {
		out := sealAnswer(req.key, req.tag, 0, b)
		if req.kind == requestFollow { // its answer is frames
			out = append(binary.BigEndian.AppendUint32(nil, uint32(len(out))), out...)
		}
		w.Header()["Date"] = nil
		if _, err := w.Write(out); err != nil {
			n.countDropped("answers")
		}
	}
	switch start, err := n.replayGuard.admit(req); err {
	case nil:
	case errWrongEpoch:
		answer(binary.BigEndian.AppendUint64([]byte{codeWrongEpoch}, n.replayGuard.epoch))
		return
	case errStaleStart:
		answer(binary.BigEndian.AppendUint64([]byte{codeStaleStart}, start))
		return
	default:
		n.countRejected(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if req.kind == requestFollow {
		free()
		n.serveStream(r.Context(), w, rc, req)
		return
	}
	answer(n.handle(r.Context(), req))
}

func rejection(err error) []byte { return append([]byte{codeRejected}, err.Error()...) }

func (n *Node) handle(ctx context.Context, req envelope) []byte {
	r := reader{rest: req.body}
	switch req.kind {
	case requestMessages:
		from, marks, ms, err := decodeMessages(req.body)
		e := n.engine()
		if err != nil || e == nil {
			return []byte{codeNoLeader}
		}
		select {
		case e.messages <- peerMessages{from, marks, ms}:
			return []byte{codeOK}
		default:
			n.countDropped("steps")
			return []byte{codeFull}
		}
	case requestPropose, requestBarrier:
		hops, ms := r.uint(), r.uint()
		w := &pendingCall{barrier: req.kind == requestBarrier, done: make(chan callResult, 1)}
		copy(w.id[:], r.bytes())
		w.command = r.bytes()
		if r.finish() != nil || len(w.command) > MaxCommandSize {
			return rejection(errMalformed)
		}
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(ms)*time.Millisecond, ProposeTimeout))
		defer cancel()
		res := n.routeCall(ctx, w, int(hops))
		switch {
		case res.err == nil:
			return putBytes(putUints([]byte{codeOK}, res.index), res.answer)
		case errors.Is(res.err, errNoLeader):
			return []byte{codeNoLeader}
		case errors.Is(res.err, ErrQueueFull):
			return []byte{codeFull}
		case errors.Is(res.err, ErrNoQuorum):
			return []byte{codeNoQuorum}
		}
		return []byte{codeOutcomeUnknown}
	case requestReport:
		return n.handleReports(ctx, req.body)
	case requestPeerStatus:
		return n.handlePeerStatus(req.from, req.body)
	case requestChange:
		return n.handleChange(ctx, req.body)
	}
	return rejection(errMalformed)
}
