package nats

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// link is a connection to a member on behalf of one client. Each feed has a link of its own, since
// closing the connection is the only way to abandon messages in flight; all subscriptions at the
// member share another link. The member acknowledges what was sent by its PONG to a following PING.
type link struct {
	front         *Front
	conn          *netloop.Conn
	client        *client
	member        *core.Member
	publisher     *publisher // nil for a link with subscriptions
	ready         bool       // the member has accepted CONNECT
	infoReceived  bool
	written       uint64         // bytes handed to the connection
	onReady       map[int]func() // called once the link is ready, by the sid of the subscription that waits
	pongHandlers  []func()       // one for each pending PING
	fences        []*fence
	subscriptions map[int]*subscription
	lastSID       int           // the sid that was assigned last
	pendingAcks   int           // callbacks of afterBatchedPing that have not been called
	batchedAcks   []func()      // the callbacks of the shared PING at the end of this loop iteration
	pingSentAt    time.Duration // when checkLiveness sent the pending PING; 0 if none is pending
	lastPingAt    time.Duration // when checkLiveness last sent a PING
	readPaused    bool          // reading has been paused since lastPingAt
	idleTimer     *netloop.Timer
	closed        bool
}

// dial opens a link to a member.
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

// subscriptionLink returns the link for the client's subscriptions at a member, and opens it if needed.
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

// whenReady calls f when the link is ready, at once if it already is, unless the subscription with that
// sid has been removed before.
func (l *link) whenReady(sid int, f func()) {
	l.idleTimer.Stop()
	if l.ready {
		f()
		return
	}
	if l.onReady == nil {
		l.onReady = map[int]func(){}
	}
	l.onReady[sid] = f
}

// commit queues a buffer obtained from conn.Buffer, and counts its bytes.
func (l *link) commit(out []byte) {
	before := l.conn.Unsent()
	l.conn.Commit(out)
	l.written += uint64(l.conn.Unsent() - before)
}

func (l *link) write(b []byte) { l.commit(append(l.conn.Buffer(len(b)), b...)) }

// afterPing calls f when the member has processed what was written so far.
func (l *link) afterPing(f func()) {
	l.write([]byte(pingLine))
	l.pongHandlers = append(l.pongHandlers, f)
}

// afterBatchedPing is like afterPing, but all calls in the same loop iteration share one PING.
func (l *link) afterBatchedPing(f func()) {
	l.pendingAcks++
	if l.batchedAcks = append(l.batchedAcks, f); len(l.batchedAcks) > 1 {
		return
	}
	l.front.Loop.After(0, func() {
		acks := l.batchedAcks
		l.batchedAcks = nil
		if !l.closed {
			l.afterPing(func() {
				l.pendingAcks -= len(acks)
				for _, f := range acks {
					f()
				}
				l.client.scheduleResume() // commands may have waited for the acknowledgements
			})
		}
	})
}

// addFence calls the fence's linkDone when the member has processed what was written so far, or when
// the link is closed.
func (l *link) addFence(f *fence) {
	l.fences = append(l.fences, f)
	l.afterBatchedPing(func() { l.completeFence(f) })
}

func (l *link) completeFence(f *fence) {
	if i := slices.Index(l.fences, f); i >= 0 {
		l.fences = slices.Delete(l.fences, i, i+1)
		f.linkDone()
	}
}

func (l *link) addSubscription(s *subscription) int {
	l.lastSID++
	l.subscriptions[l.lastSID] = s
	return l.lastSID
}

// removeSubscription removes the subscription with the given sid.
func (l *link) removeSubscription(sid int) {
	delete(l.subscriptions, sid)
	delete(l.onReady, sid)
	l.startIdleTimer()
}

// startIdleTimer closes the link once it has had no subscriptions for linkIdleTimeout.
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

// Drained implements netloop's handler.
func (l *link) Drained() {
	if l.publisher != nil && l.ready {
		l.publisher.feed.OnWritable()
	}
}

// Data implements netloop's handler.
func (l *link) Data(b []byte) int {
	used := 0
	for !l.closed {
		if l.client.overHighWater() {
			l.conn.PauseReading() // the client's Drained resumes it
			l.readPaused = true
			return used
		}
		m, n, err := parseCommand(b[used:], 2*maxControlLine, l.front.MaxPayload+maxInfo)
		if err != nil {
			l.fail(err)
			break
		}
		if n == 0 {
			return used
		}
		used += n
		l.handle(&m)
		if l.conn.YieldIfTurnOver() {
			return used
		}
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
		l.write([]byte(pongLine))
	case opErr:
		l.handleError(m.args)
	}
}

// Open implements netloop's handler. It starts TLS if the handshake comes before the member's INFO.
func (l *link) Open() {
	l.front.startTLSFirst(l.conn, l.member.Addr, l.front.Core.PolicySettings().ConnectTimeout)
}

// handleInfo answers the member's INFO with CONNECT, after a TLS handshake if one is configured.
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

// sendConnect sends CONNECT with the client's options, except those that the relay sets itself.
func (l *link) sendConnect(info []byte) {
	options := map[string]any{}
	err := errors.Join(json.Unmarshal(l.client.connect, &options), l.front.addCredentials(options, info))
	options["verbose"], options["pedantic"], options["headers"], options["no_responders"] = false, false, true, true
	options["echo"] = true // the relay drops echoes itself, see originHeader
	if _, ok := options["lang"]; !ok {
		options["lang"], options["version"] = "dahliarudder", "1"
	}
	text, marshalErr := json.Marshal(options)
	if err = errors.Join(err, marshalErr); err != nil {
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
		callbacks := l.onReady
		l.onReady = nil
		for _, sid := range slices.Sorted(maps.Keys(callbacks)) {
			callbacks[sid]()
		}
	})
}

// handleError handles the member's -ERR. An error about a publication or a subscription ends that
// attempt; after any other serious error the member closes the connection itself.
func (l *link) handleError(text []byte) {
	l.front.Log.WithField("member", l.member.Name).WithField("error", string(text)).Debug("member returned -ERR")
	if l.publisher != nil {
		l.publisher.linkError(text)
		return
	}
	for sid, s := range l.subscriptions {
		if !s.active && s.link == l && s.linkSID == sid && l.ready && errorConcerns(text, s.subject) {
			delete(l.subscriptions, sid)
			s.linkLost(policy.Error)
		}
	}
}

// errorConcerns reports whether an error text concerns the subscription to a subject: it names that
// subject in quotes, or it names no subject but mentions a subscription.
func errorConcerns(text []byte, subject string) bool {
	_, rest, ok := bytes.Cut(text, []byte(`"`))
	if !ok {
		return bytes.Contains(bytes.ToLower(text), []byte("subscription"))
	}
	named, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(named) == subject
}

// End implements netloop's handler.
func (l *link) End(err error) { l.fail(err) }

// fail closes the link after its connection has failed, and notifies its publisher or subscriptions.
func (l *link) fail(err error) {
	if l.closed {
		return
	}
	result := policy.Reset
	if !l.ready && (!l.infoReceived || l.conn.Unsent() > 0) || l.conn.Unsent() > 0 && err != nil {
		result = policy.ConnectFailed
	}
	if l.infoReceived && !l.ready && errors.Is(err, io.EOF) {
		result = policy.Error // the member rejected CONNECT
	}
	if errors.Is(err, netloop.ErrNoDescriptors) { // the relay is out of descriptors; the member did not fail
		result = policy.NotSent
	}
	sent := l.written - min(l.written, uint64(l.conn.Unsent()))
	l.reset()
	if l.publisher != nil {
		l.publisher.linkLost(result, sent)
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

// reset closes the link at once.
func (l *link) reset() {
	if !l.closed {
		l.release()
		l.conn.Reset()
	}
}

// close closes the link gracefully.
func (l *link) close() {
	if !l.closed {
		l.release()
		l.conn.Finish()
	}
}

// release releases everything that the link owns except its connection.
func (l *link) release() {
	l.closed = true
	l.idleTimer.Stop()
	l.pongHandlers, l.onReady, l.pendingAcks = nil, nil, 0
	l.client.scheduleResume()
	fences := l.fences
	l.fences = nil
	for _, f := range fences {
		f.linkDone()
	}
	for i, x := range l.client.links {
		if x == l {
			l.client.links = append(l.client.links[:i], l.client.links[i+1:]...)
			return
		}
	}
}
