package nats

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// link is a client's connection to a member: one for each feed, since abandoning what is out on
// it means ending it, and one for all subscriptions there. What is done on it is acknowledged by
// the PONG to a PING that follows.
type link struct {
	front         *Front
	conn          *netloop.Conn
	client        *client
	member        *core.Member
	publisher     *publisher // nil for one that holds subscriptions
	ready         bool       // the member has taken CONNECT
	infoReceived  bool
	written       uint64   // bytes handed to the connection
	onReady       []func() // for ready
	pongHandlers  []func() // one for each PING that is out
	fences        []*fence
	subscriptions map[int]*subscription
	lastSID       int           // the newest sid
	batchedAcks   []func()      // wait for the PING at the end of this round
	pingSentAt    time.Duration // when the PING of the sweep went out; 0 if none is
	lastPingAt    time.Duration // when the last one did
	readPaused    bool          // it was not read for a while since asked
	idleTimer     *netloop.Timer
	closed        bool
}

// dial makes a link.
func (c *client) dial(to *core.Member, p *publisher) *link {
	l := &link{front: c.front, client: c, member: to, publisher: p}
	c.links = append(c.links, l)
	l.conn = c.front.Loop.Dial(to.Addr, c.front.Core.PolicySettings().ConnectTimeout, l)
	l.conn.SetBufferLimits(c.front.MaxPayload+maxInfo+2, 2*c.front.MaxPayload+4*clientHighWater+c.front.WindowBytes)
	if c.front.Loop.DescriptorsLow() {
		c.front.Loop.After(0, func() { l.fail(netloop.ErrNoDescriptors) })
	}
	return l
}

// subscriptionLink finds or makes the link that holds the client's subscriptions at a member.
func (c *client) subscriptionLink(to *core.Member) *link {
	for _, l := range c.links {
		if l.publisher == nil && l.member.ID == to.ID && !l.closed {
			return l
		}
	}
	l := c.dial(to, nil)
	l.subscriptions = map[int]*subscription{}
	return l
}

// whenReady runs f once the link is ready.
func (l *link) whenReady(f func()) {
	l.idleTimer.Stop()
	if l.ready {
		f()
		return
	}
	l.onReady = append(l.onReady, f)
}

// commit is Commit of the connection, and counts.
func (l *link) commit(out []byte) {
	before := l.conn.Unsent()
	l.conn.Commit(out)
	l.written += uint64(l.conn.Unsent() - before)
}

func (l *link) write(b []byte) { l.commit(append(l.conn.Buffer(len(b)), b...)) }

// afterPing has f run when the member has taken what was written so far.
func (l *link) afterPing(f func()) {
	l.write([]byte("PING\r\n"))
	l.pongHandlers = append(l.pongHandlers, f)
}

// afterBatchedPing does the same with one PING for all that is written in this round of the loop.
func (l *link) afterBatchedPing(f func()) {
	if l.batchedAcks = append(l.batchedAcks, f); len(l.batchedAcks) > 1 {
		return
	}
	l.front.Loop.After(0, func() {
		all := l.batchedAcks
		l.batchedAcks = nil
		if !l.closed {
			l.afterPing(func() {
				for _, f := range all {
					f()
				}
			})
		}
	})
}

// addFence has a barrier told when the member's answers are past this point, or the link is gone.
func (l *link) addFence(b *fence) {
	l.fences = append(l.fences, b)
	l.afterBatchedPing(func() { l.passFence(b) })
}

func (l *link) passFence(b *fence) {
	if i := slices.Index(l.fences, b); i >= 0 {
		l.fences = slices.Delete(l.fences, i, i+1)
		b.linkPassed()
	}
}

func (l *link) addSubscription(s *subscription) int {
	l.lastSID++
	l.subscriptions[l.lastSID] = s
	return l.lastSID
}

// removeSubscription forgets a sid.
func (l *link) removeSubscription(sid int) {
	delete(l.subscriptions, sid)
	l.startIdleTimer()
}

// startIdleTimer gives a link back that holds no subscription for a while.
func (l *link) startIdleTimer() {
	l.idleTimer.Stop()
	if l.closed || l.publisher != nil || len(l.subscriptions) > 0 {
		return
	}
	l.idleTimer = l.front.Loop.After(linkIdleTimeout, func() {
		if len(l.subscriptions) == 0 && len(l.onReady) == 0 {
			l.close()
		}
	})
}

// Drained is told by the loop.
func (l *link) Drained() {
	if l.publisher != nil && l.ready {
		l.publisher.feed.OnWritable()
	}
}

// Data is told by the loop.
func (l *link) Data(b []byte) int {
	used := 0
	for !l.closed {
		if l.client.overHighWater() {
			l.conn.PauseReading() // the client's Drained goes on
			l.readPaused = true
			return used
		}
		m, n, err := parseCommand(b[used:], 2*maxControl, l.front.MaxPayload+maxInfo)
		if err != nil {
			l.fail(err)
			break
		}
		if n == 0 {
			return used
		}
		used += n
		l.handle(&m)
	}
	return len(b)
}

func (l *link) handle(m *command) {
	switch m.op {
	case opMsg, opHMsg:
		if l.publisher != nil {
			l.publisher.handleStatus(m)
		} else if sid, ok := parseNumber(m.sid); ok {
			if s := l.subscriptions[sid]; s != nil {
				s.deliver(m)
			}
		}
	case opPong:
		if len(l.pongHandlers) > 0 {
			f := l.pongHandlers[0]
			l.pongHandlers = l.pongHandlers[1:]
			f()
		}
	case opInfo:
		l.front.updateMemberInfo(l.member.ID, m.args)
		if !l.infoReceived {
			l.infoReceived = true
			l.handleInfo(append([]byte(nil), m.args...))
		}
	case opPing:
		l.write([]byte("PONG\r\n"))
	case opErr:
		l.handleError(m.args)
	}
}

// Open is told by the loop; the member speaks first, but where TLS does.
func (l *link) Open() {
	if cfg := l.front.memberTLS(l.member.Addr); cfg != nil && l.front.MemberTLS.HandshakeFirst {
		l.conn.StartTLS(cfg, true, l.front.Core.PolicySettings().ConnectTimeout, func(tls.ConnectionState) {})
	}
}

// handleInfo answers the member's INFO, by TLS if that is configured.
func (l *link) handleInfo(info []byte) {
	cfg := l.front.memberTLS(l.member.Addr)
	if cfg == nil || l.conn.IsTLS() {
		l.sendConnect(info)
		return
	}
	l.conn.PauseReading()
	l.front.Loop.After(0, func() {
		l.conn.StartTLS(cfg, true, l.front.Core.PolicySettings().ConnectTimeout, func(tls.ConnectionState) { l.sendConnect(info) })
	})
}

// sendConnect says CONNECT with what the client said, but for what is the relay's own.
func (l *link) sendConnect(info []byte) {
	options := map[string]any{}
	err := errors.Join(json.Unmarshal(l.client.connect, &options), l.front.addCredentials(options, info))
	options["verbose"], options["pedantic"], options["headers"], options["no_responders"] = false, false, true, true
	options["echo"] = true // see origin
	if _, ok := options["lang"]; !ok {
		options["lang"], options["version"] = "dahliarudder", "1"
	}
	text, bad := json.Marshal(options)
	if err = errors.Join(err, bad); err != nil {
		l.fail(err)
		return
	}
	l.write(fmt.Appendf(nil, "CONNECT %s\r\n", text))
	l.afterPing(func() {
		l.ready = true
		if l.publisher != nil {
			l.publisher.linkReady()
			return
		}
		waiting := l.onReady
		l.onReady = nil
		for _, f := range waiting {
			f()
		}
	})
}

// handleError is the member's -ERR. One that concerns a publication ends that
// attempt; any other that matters is followed by the end of the connection.
func (l *link) handleError(text []byte) {
	l.front.Log.WithField("member", l.member.Name).WithField("error", string(text)).Debug("member refused")
	if l.publisher != nil {
		l.publisher.linkError(text)
		return
	}
	for sid, s := range l.subscriptions { // its subject stands in the text, or none does
		if !s.active && s.link == l && s.linkSID == sid && l.ready && errorConcerns(text, s.subject) {
			delete(l.subscriptions, sid)
			s.linkLost(policy.Error)
		}
	}
}

// errorConcerns says whether an error's text names that subject, or none.
func errorConcerns(text []byte, subject string) bool {
	_, rest, ok := bytes.Cut(text, []byte(`"`))
	if !ok {
		return bytes.Contains(bytes.ToLower(text), []byte("subscription"))
	}
	named, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(named) == subject
}

// End is told by the loop.
func (l *link) End(err error) { l.fail(err) }

// fail ends a link that broke and tells those who used it.
func (l *link) fail(err error) {
	if l.closed {
		return
	}
	result := policy.Reset
	if !l.ready && (!l.infoReceived || l.conn.Unsent() > 0) || l.conn.Unsent() > 0 && err != nil {
		result = policy.ConnectFailed
	}
	if l.infoReceived && !l.ready && err == io.EOF {
		result = policy.Error // it did not take CONNECT
	}
	if errors.Is(err, netloop.ErrNoDescriptors) { // the relay's own want, not the member's failure
		result = policy.NotSent
	}
	left := l.written - min(l.written, uint64(l.conn.Unsent()))
	l.reset()
	if l.publisher != nil {
		l.publisher.linkLost(result, left)
		return
	}
	for sid, s := range l.subscriptions {
		delete(l.subscriptions, sid)
		if s.oldLink == l {
			s.finishDrain()
		}
		if s.link == l {
			s.linkLost(result)
		}
	}
}

// reset ends the link at once.
func (l *link) reset() {
	if !l.closed {
		l.release()
		l.conn.Reset()
	}
}

// close ends a link politely that nobody needs.
func (l *link) close() {
	if !l.closed {
		l.release()
		l.conn.Finish()
	}
}

// release gives back what the link holds besides its connection.
func (l *link) release() {
	l.closed = true
	l.idleTimer.Stop()
	l.pongHandlers, l.onReady = nil, nil
	fences := l.fences
	l.fences = nil
	for _, b := range fences {
		b.linkPassed()
	}
	for i, x := range l.client.links {
		if x == l {
			l.client.links = append(l.client.links[:i], l.client.links[i+1:]...)
			return
		}
	}
}
