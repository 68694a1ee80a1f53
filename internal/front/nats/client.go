package nats

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"dahliarudder/internal/auth"
	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
)

// client is the connection of a NATS client. Its commands take effect in order and do not wait
// for each other, except that publications wait for the subscriptions before them.
type client struct {
	front   *Front
	conn    *netloop.Conn
	id      uint64
	local   string // the relay's address that it has connected to
	remote  string // its own address, without the port
	options struct {
		Verbose      bool  `json:"verbose"`
		Pedantic     bool  `json:"pedantic"`
		Headers      bool  `json:"headers"`
		NoResponders bool  `json:"no_responders"`
		Protocol     int   `json:"protocol"`
		Echo         *bool `json:"echo"`
	}
	connect        []byte // the options of CONNECT; nil before it
	subscriptions  map[string]*subscription
	links          []*link
	publishers     []*publisher
	publisherCache map[string]*publisher // by subject, for the subjects that were published to
	lastPublisher  *publisher            // of lastSubject
	proxied        map[core.ID]*proxiedRequest

	lastSubject       string     // the subject published to last
	publishSeq        uint64     // sequence number of the newest publication
	responses         []response // not sent yet, in order
	pendingSubscribes int        // subscriptions and unsubscriptions that publications wait for
	pingsOut          int        // without an answer
	timer             *netloop.Timer
	nonce             string             // the challenge for its signature
	permissions       *auth.Permissions  // nil allows everything
	replies           *auth.ReplyTracker // reply subjects that it may publish to in addition; nil for none
	expiryTimer       *netloop.Timer     // ends it when its credentials expire
	tlsChecked        bool               // its first byte has been inspected
	authenticating    bool               // a worker checks its password
	slowSince         time.Duration      // since when its links are not read; 0 if they are
	resumeScheduled   bool               // a call of scheduleResume is pending
	fenceActive       bool               // a fence is pending
	fencedSeq         uint64             // what all links have delivered the effects of
	halfClosed        bool               // the client has closed its sending side, and some of its commands are pending
	closed            bool
}

// maxCachedSubjects bounds a client's publisherCache.
const maxCachedSubjects = 256

func (c *client) write(b []byte) { c.conn.Queue(b) }

// Open implements netloop's handler.
func (c *client) Open() {}

// Drained implements netloop's handler.
func (c *client) Drained() {
	c.slowSince = 0
	for _, l := range c.links {
		l.conn.ResumeReading()
	}
}

// overHighWater reports whether the client is slow to read; its links are then not read until it has caught up.
func (c *client) overHighWater() bool {
	if c.conn.Unsent() <= c.front.unsentLimit(clientHighWater) {
		return false
	}
	if c.slowSince == 0 {
		c.slowSince = c.front.Loop.Now()
	}
	return true
}

// Data implements netloop's handler.
func (c *client) Data(b []byte) int {
	if !c.tlsChecked && !c.checkTLS(b[0]) {
		return 0
	}
	used := 0
	for !c.closed {
		m, n, err := parseCommand(b[used:], c.front.MaxControlLine, c.front.MaxPayload)
		if err != nil {
			c.fail(err)
			break
		}
		if n == 0 {
			return used
		}
		if !c.execute(&m) {
			c.conn.PauseReading() // scheduleResume resumes it
			return used
		}
		used += n
	}
	return len(b)
}

// End implements netloop's handler.
func (c *client) End(err error) {
	if errors.Is(err, io.EOF) && !c.isQuiescent() {
		c.halfClosed = true
		return
	}
	c.close()
}

// execute executes a command; it returns false if the command has to wait.
func (c *client) execute(m *command) bool {
	if c.authenticating {
		return false
	}
	if c.connect == nil && m.op != opConnect {
		c.fail(errAuthorization)
		return true
	}
	if len(c.responses) > c.front.MaxSubscriptions+c.front.WindowMessages {
		return false // bounds the memory of a client that sends commands without end
	}
	switch m.op {
	case opConnect:
		c.handleConnect(m.args)
	case opPing:
		c.respond(response{text: pongLine, fence: true})
	case opPong:
		c.pingsOut = 0
	case opPub, opHPub:
		return c.publish(m)
	case opSub:
		c.subscribe(m)
	case opUnsub:
		c.unsubscribe(m)
	case opOK, opErr:
	default:
		c.fail(errProtocol)
	}
	return true
}

// handleConnect handles CONNECT.
func (c *client) handleConnect(text []byte) {
	var object map[string]any
	if json.Unmarshal(text, &object) != nil || json.Unmarshal(text, &c.options) != nil {
		c.fail(errParse)
		return
	}
	if c.connect != nil { // a repeated CONNECT changes options, not the identity
		c.respondOK()
		return
	}
	connect := append([]byte(nil), text...)
	c.authenticate(connect, func() {
		c.connect = connect
		c.conn.SetEvictable(nil)
		c.schedulePing()
		c.respondOK()
	})
}

// wantsEcho reports whether the client receives its own publications.
func (c *client) wantsEcho() bool { return c.options.Echo == nil || *c.options.Echo }

// schedulePing pings the client at intervals, and closes it when it no longer answers.
func (c *client) schedulePing() {
	c.timer.Stop()
	c.timer = c.front.Loop.After(c.front.pingInterval(), func() {
		if c.pingsOut++; c.pingsOut > c.front.MaxPingsOut {
			c.fail(errStaleConnection)
			return
		}
		c.write([]byte(pingLine))
		c.schedulePing()
	})
}

// isIdle reports whether the client has no pending request and no subscription, so that closing it loses nothing.
func (c *client) isIdle() bool {
	for _, s := range c.subscriptions {
		if !s.local {
			return false
		}
	}
	return c.isQuiescent() && len(c.proxied) == 0
}

// sendError sends -ERR without closing the connection.
func (c *client) sendError(text string) { c.write(fmt.Appendf(nil, "-ERR '%s'\r\n", text)) }

// fail sends -ERR and closes the connection.
func (c *client) fail(err error) {
	c.sendError(err.Error())
	c.close()
}

// close ends the client with its publishers, subscriptions, proxied requests and links. Each path that ends one leads
// here.
func (c *client) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.front.clients, c)
	c.timer.Stop()
	c.expiryTimer.Stop()
	for _, p := range c.publishers {
		p.feed.Close()
	}
	for _, s := range c.subscriptions {
		s.end()
	}
	for id, p := range c.proxied {
		p.remove()
		c.front.Core.ClientGone(id)
	}
	for _, l := range append([]*link(nil), c.links...) {
		l.close()
	}
	c.conn.Finish()
}

// deliverLocal delivers a message from the relay itself to the client's subscription for its subject.
func (c *client) deliverLocal(m command) {
	for _, s := range c.subscriptions {
		if subjectMatches(s.subject, m.subject) {
			c.conn.Commit(m.appendMessage(c.conn.Buffer(m.encodedSize(s.sid)), s.sid))
			s.countDelivered()
			return
		}
	}
}

// deliverStatus delivers a status from the relay itself on a reply subject.
func (c *client) deliverStatus(reply []byte, status string) {
	head := "NATS/1.0 " + status + "\r\n\r\n"
	c.deliverLocal(command{subject: reply, headerLen: len(head), payload: []byte(head)})
}

// wantsStatus reports whether the client takes the status of a lost publication on its reply subject.
func (c *client) wantsStatus(reply []byte) bool { return len(reply) > 0 && c.options.NoResponders }
