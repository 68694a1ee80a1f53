package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	beatEvery  = 500 * time.Millisecond // on a stream that has nothing to say
	silence    = 2 * time.Second        // after which a follower takes another voter
	streamMost = 256 << 10              // bytes of entries in a frame
	frameMost  = largeMost
	homeAfter  = 10 * time.Second // a follower that took another voter looks so often whether its own is well again
)

const (
	frameBeat  = 'b'
	frameWhole = 's'
	frameItems = 'i'
)

// size is what the ring holds.
func (a *applier) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// snapshotNow makes a snapshot on the apply thread, through its queue.
func (a *applier) snapshotNow(n *Node) (*state, []byte) {
	a.mu.Lock()
	a.last = nil // so that one is due
	a.mu.Unlock()
	c := make(chan struct{})
	select {
	case n.ask <- c:
		select {
		case <-c:
		case <-n.quit:
		}
	case <-n.quit:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.raw
}

// serveStream sends a follower what is agreed, as long as it listens.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, req request) {
	r := reader{b: req.body}
	record, index := r.uint(), r.uint()
	defer n.streams.Add(-1)
	if n.streams.Add(1) > streamsMost || r.end() != nil {
		n.drop("streams")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Date"] = nil
	part := uint64(0)
	frame := func(kind byte, body []byte) bool {
		limit := silence
		if len(body) > smallMost {
			limit = snapMost
		}
		if rc.SetWriteDeadline(time.Now().Add(limit)) != nil {
			return false
		}
		b := sealAnswer(req.key, req.tag, part, append([]byte{kind}, body...))
		part++
		if _, err := w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b)))); err != nil {
			return false
		}
		if _, err := w.Write(b); err != nil {
			return false
		}
		return rc.Flush() == nil
	}
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	if e := n.engine(); e == nil || !frame(frameBeat, n.beat(e)) {
		return
	}
	for {
		e := n.engine()
		if e == nil { // no voter any more
			return
		}
		whole, at, items, changed := n.ap.after(record, index, streamMost)
		if whole != nil {
			if !frame(frameWhole, whole) {
				return
			}
			record, _, _ = n.ap.at()
		}
		if len(items) > 0 {
			b := put(nil, uint64(len(items)))
			for _, it := range items {
				b = putItem(b, it)
			}
			if !frame(frameItems, b) {
				return
			}
		}
		if whole != nil || len(items) > 0 {
			index = at
			continue
		}
		select {
		case <-n.quit:
			return
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			if !frame(frameBeat, n.beat(e)) {
				return
			}
			if n.ap.due() {
				select {
				case n.ask <- make(chan struct{}):
				default:
				}
			}
		}
	}
}

// beat is what a stream says of the whole.
func (n *Node) beat(e *engine) []byte {
	v := e.view.Load()
	return putBytes(put(nil, v.committed, flag(v.leader != 0 && v.mute == nil)), v.members[v.leader].Name)
}

// followThread reads a stream whenever this node has no engine that hears a leader.
func (n *Node) followThread() {
	next := 0
	for {
		n.mu.Lock()
		e, lost := n.eng, n.noLeader
		n.mu.Unlock()
		idle := e != nil && (lost.IsZero() || time.Since(lost) < leaderless)
		list := n.others()
		if idle || len(list) == 0 {
			select {
			case <-n.quit:
				return
			case <-time.After(lookEvery):
			}
			continue
		}
		m := list[next%len(list)]
		err := n.follow(m, list[0])
		n.mu.Lock()
		n.followed = followed{}
		n.mu.Unlock()
		if errors.Is(err, errIdle) || errors.Is(err, errAgain) {
			continue
		}
		if errors.Is(err, errHome) {
			next = 0
			continue
		}
		next++
		select {
		case <-n.quit:
			return
		case <-time.After(time.Duration(50+next%len(list)*50) * time.Millisecond):
		}
	}
}

var (
	errIdle  = errors.New("not needed any more")
	errAgain = errors.New("refused unread: it is sent again with the right numbers")
	errHome  = errors.New("the voter that is this relay's by name is well again")
	errAlone = errors.New("it hears no leader")
)

// follow reads one voter's stream until it fails, falls silent, or hears no leader for long; or until home, the voter that this relay would
// take first, is well again: else all would stay with the one that was up first.
func (n *Node) follow(m, home member) error {
	looked := time.Now()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	alive := time.AfterFunc(silence, cancel)
	defer alive.Stop()
	record, index, _ := n.ap.at()
	s, err := n.caller.open(ctx, m.Name, m.Addr, kindFollow, put(nil, record, index))
	if err != nil {
		return err
	}
	defer s.Close()
	var alone time.Time
	for part := uint64(0); ; part++ {
		var head [4]byte
		if _, err := io.ReadFull(s, head[:]); err != nil {
			return err
		}
		size := binary.BigEndian.Uint32(head[:])
		if size < tagSize+1 || size > frameMost {
			return errSize
		}
		if size > smallMost {
			alive.Reset(snapMost)
		}
		b, err := readN(s, int(size))
		if err != nil {
			return err
		}
		if b, err = openAnswer(n.o.Keys[0], s.tag, part, b); err != nil || len(b) == 0 {
			return errTag
		}
		if part == 0 && n.caller.learn(m.Name, s, b) {
			return errAgain
		}
		alive.Reset(silence)
		n.mu.Lock()
		n.followed.voter, n.followed.at = m.Name, time.Now()
		hasEngine, lost, bound, boundAt := n.eng != nil, n.noLeader, n.bound, n.boundAt
		n.mu.Unlock()
		if hasEngine && lost.IsZero() {
			return errIdle
		}
		switch b[0] {
		case frameBeat:
			r := reader{b: b[1:]}
			committed, majority, leader := r.uint(), r.uint() == 1, r.string()
			if err := r.end(); err != nil {
				return err
			}
			n.mu.Lock()
			n.followed.committed, n.followed.majority, n.followed.leader = committed, majority, leader
			n.mu.Unlock()
			if m.Name != home.Name && time.Since(looked) > homeAfter {
				looked = time.Now()
				record, _, _ := n.ap.at()
				if h, err := n.greet(home, 0, 0); err == nil && h.record == record && h.majority {
					return errHome
				}
			}
			switch {
			case majority:
				alone = time.Time{}
			case alone.IsZero():
				alone = time.Now()
			case time.Since(alone) > silence:
				return errAlone
			}
		case frameWhole:
			s, err := decodeState(b[1:])
			if err != nil {
				return err
			}
			record, _, _ := n.ap.at()
			if hasEngine && record != s.record || bound != 0 && bound != s.record && time.Since(boundAt) < bindFor {
				return fmt.Errorf("of another record")
			}
			if err := n.hand(applied{snap: &s}); err != nil {
				return err
			}
		case frameItems:
			r := reader{b: b[1:]}
			var items []item
			for range r.count() {
				items = append(items, r.item())
			}
			if err := r.end(); err != nil {
				return err
			}
			if err := n.hand(applied{items: items}); err != nil {
				return err
			}
		default:
			return errShort
		}
		if hasEngine { // a voter without a leader: it looks whether it was replaced
			id := n.engineID()
			if ms := n.ap.membersNow(); ms[id].Name != n.o.Name {
				n.soon(func(e *engine) {
					if _, ok := e.n.ap.membersNow()[e.id]; !ok {
						e.removed = true
					}
				})
			}
		}
	}
}

func (n *Node) engineID() uint64 {
	if e := n.engine(); e != nil {
		return e.id
	}
	return 0
}

// readN reads without believing a size before the bytes have come.
func readN(r io.Reader, size int) ([]byte, error) {
	var b bytes.Buffer
	if m, err := io.CopyN(&b, r, int64(size)); err != nil || m != int64(size) {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return b.Bytes(), nil
}

// hello tells who this relay is; a founder's also binds the other to the record that it is about to begin.
const (
	helloFresh   = 0 // no record is known, and no log held
	helloFounded = 1
	helloOther   = 2 // neither: bound to another, or no voter
)

type hello struct {
	state, identity, record, index uint64
	members                        members
	mark                           mark // of who asks, as it is remembered
	voter                          bool // it has an engine that knows who asks
	majority                       bool // it has one that hears a leader
}

func (n *Node) answerHello(from string, body []byte) []byte {
	r := reader{b: body}
	asker, bind := r.uint(), r.uint()
	if err := r.end(); err != nil {
		return refused(err)
	}
	h := hello{}
	h.record, h.index, _ = n.ap.at()
	h.members = n.ap.membersNow()
	e := n.engine()
	n.mu.Lock()
	h.identity = n.identity
	switch {
	case h.record != 0:
		h.state = helloFounded
	case n.identity == 0 || e != nil || n.diskSays != "":
		h.state = helloOther
	case bind != 0 && n.bound != 0 && n.bound != bind && time.Since(n.boundAt) < bindFor:
		h.state = helloOther
	case bind != 0:
		n.bound, n.boundAt = bind, time.Now()
	}
	n.mu.Unlock()
	if e != nil {
		v := e.view.Load()
		h.mark = v.marks[asker]
		_, h.voter = v.members[asker]
		h.majority = v.leader != 0 && v.mute == nil
	}
	b := put([]byte{codeOK}, h.state, h.identity, h.record, h.index)
	return put(putMembers(b, h.members), h.mark.term, h.mark.index, flag(h.voter), flag(h.majority))
}

func decodeHello(b []byte) (h hello, err error) {
	if len(b) == 0 || b[0] != codeOK {
		return h, errShort
	}
	r := reader{b: b[1:]}
	h = hello{state: r.uint(), identity: r.uint(), record: r.uint(), index: r.uint(), members: r.members(), mark: mark{r.uint(), r.uint()}, voter: r.uint() == 1, majority: r.uint() == 1}
	return h, r.end()
}

func (n *Node) greet(m member, identity, bind uint64) (h hello, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	b, err := n.caller.ask(ctx, m.Name, m.Addr, kindHello, put(nil, identity, bind))
	if err != nil {
		return h, err
	}
	return decodeHello(b)
}

// found begins a record, if this relay is the first by name of the voters and all of them are up and hold nothing. Who holds a record, or
// has a log, is told from who is new by the answers: so a voter that comes back with nothing never begins a second one.
func (n *Node) found(identity uint64) {
	names := slices.Sorted(maps.Keys(n.o.Voters))
	if names[0] != n.o.Name {
		return
	}
	record := random()
	ms := members{identity: {n.o.Name, n.o.Voters[n.o.Name]}}
	for _, bind := range []uint64{0, record} {
		for _, name := range names[1:] {
			h, err := n.greet(member{name, n.o.Voters[name]}, identity, bind)
			if err != nil || h.state != helloFresh || h.identity == 0 {
				return
			}
			if bind != 0 {
				ms[h.identity] = member{name, n.o.Voters[name]}
			}
		}
	}
	if len(ms) != len(names) {
		return
	}
	if r, _, _ := n.ap.at(); r != 0 {
		return
	}
	s, err := foundation(record, ms, n.ap.blank)
	if err != nil {
		return
	}
	if err := n.hand(applied{snap: &s}); err != nil {
		return
	}
	if err := n.begin(identity, n.diskNow(), s, s.encode(), false); err != nil {
		n.log().WithField("error", err.Error()).Error("accord: founding")
	}
}

// vouch asks the other voters what they remember of this one, before it votes again.
func (n *Node) vouch(e *engine) {
	began := time.Now()
	for {
		v := e.view.Load()
		heard, need := 0, len(v.members)/2
		for _, id := range v.members.ids() {
			if id == e.id {
				continue
			}
			h, err := n.greet(v.members[id], e.id, 0)
			if err != nil {
				continue
			}
			if h.record == e.c.record && h.index > v.committed && h.members[e.id].Name != n.o.Name {
				n.later(func(e *engine) { e.removed = true })
				return
			}
			if !h.voter || h.record != e.c.record {
				continue
			}
			heard++
			n.later(func(e *engine) { // there, since it writes on meanwhile
				if e.c.older(h.mark) {
					e.why = errOlder
				}
			})
		}
		if heard == len(v.members)-1 || heard >= need && time.Since(began) > vouchFor {
			n.later(func(e *engine) { e.c.unsure = false; e.show() })
			return
		}
		select {
		case <-e.ended:
			return
		case <-n.quit:
			return
		case <-time.After(lookEvery):
		}
	}
}

// toLeader is whom to ask for the leader: itself if it is known, then the voters.
func (n *Node) toLeader() []member {
	list := n.others()
	if m, here, ok := n.leaderNow(); ok && !here {
		list = append([]member{m}, list...)
	}
	return list
}
