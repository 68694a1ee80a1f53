package nats

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"dahliarudder/internal/auth"
	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
)

// client is the connection of a NATS client. Its commands take effect in their order and do
// not wait for each other, but for publications, which wait for the subscriptions before them.
type client struct {
	front   *Front
	conn    *netloop.Conn
	id      uint64
	local   string // the address it has reached
	remote  string // its own, without the port
	options struct {
		Verbose      bool  `json:"verbose"`
		Pedantic     bool  `json:"pedantic"`
		Headers      bool  `json:"headers"`
		NoResponders bool  `json:"no_responders"`
		Protocol     int   `json:"protocol"`
		Echo         *bool `json:"echo"`
	}
	connect        []byte // what CONNECT said; nil before it
	subscriptions  map[string]*subscription
	links          []*link
	publishers     []*publisher
	publisherCache map[string]*publisher // where subjects belong that were published to before
	lastPublisher  *publisher            // that of latestSubject, the one published to last
	proxied        map[core.ID]*proxiedRequest

	lastSubject       string
	publishSeq        uint64     // of the newest publication
	responses         []response // what is still to be said, in order
	pendingSubscribes int        // subscriptions that publications wait for
	pingsOut          int        // that the client has not answered
	timer             *netloop.Timer
	nonce             string             // that it may sign
	permissions       *auth.Permissions  // nil for all
	replies           *auth.ReplyTracker // what it may answer to besides; nil for nothing
	expiryTimer       *netloop.Timer     // when its login does
	tlsChecked        bool               // its first byte was looked at
	authenticating    bool               // its password is being checked
	slowSince         time.Duration      // since when its links rest; 0 if they do not
	resumeScheduled   bool               // goOn is on its way
	fenceActive       bool
	fencedSeq         uint64 // the mark that all links are past
	halfClosed        bool   // the client has ended its sending, but what it sent is not done yet
	closed            bool
}

// subjectsMost bounds the memory of where subjects belong.
const maxCachedSubjects = 256

func (c *client) write(b []byte) { c.conn.Queue(b) }

// Open is told by the loop.
func (c *client) Open() {}

// Drained is told by the loop.
func (c *client) Drained() {
	c.slowSince = 0
	for _, l := range c.links {
		l.conn.ResumeReading()
	}
}

// overHighWater says that the client has not taken what it was sent; its links rest until it has.
func (c *client) overHighWater() bool {
	if c.conn.Unsent() <= c.front.unsentLimit(clientHighWater) {
		return false
	}
	if c.slowSince == 0 {
		c.slowSince = c.front.Loop.Now()
	}
	return true
}

// Data is told by the loop.
func (c *client) Data(b []byte) int {
	if !c.tlsChecked && !c.checkTLS(b[0]) {
		return 0
	}
	used := 0
	for !c.closed {
		m, n, err := parseCommand(b[used:], c.front.MaxControlLine, c.front.MaxPayload)
		if err != nil {
			c.fail(err.Error())
			break
		}
		if n == 0 {
			return used
		}
		if !c.execute(&m) {
			c.conn.PauseReading() // goOn resumes
			return used
		}
		used += n
	}
	return len(b)
}

// End is told by the loop.
func (c *client) End(err error) {
	if err == io.EOF && !c.isQuiescent() {
		c.halfClosed = true
		return
	}
	c.close()
}

// execute carries a command out; false if it must wait.
func (c *client) execute(m *command) bool {
	if c.authenticating {
		return false
	}
	if c.connect == nil && m.op != opConnect {
		c.fail("Authorization Violation")
		return true
	}
	if len(c.responses) > c.front.MaxSubscriptions+c.front.WindowMessages {
		return false // who asks without end waits for the answers
	}
	switch m.op {
	case opConnect:
		c.handleConnect(m.args)
	case opPing:
		c.respond(response{text: "PONG\r\n", fence: true})
	case opPong:
		c.pingsOut = 0
	case opPub, opHPub:
		return c.publish(m)
	case opSub:
		c.subscribe(m)
	case opUnsub:
		if s := c.subscriptions[string(m.sid)]; s != nil && !s.acknowledged && m.maxMessages == 0 {
			s.end() // given up before it ever stood
			c.respondOK()
		} else if s != nil {
			// What was published before it still counts for it.
			most := m.maxMessages
			c.pendingSubscribes++ // what is published after it is not
			c.respond(response{subscription: s, fence: true, then: func() {
				c.pendingSubscribes--
				s.setMaxMessages(most)
				c.scheduleResume()
			}})
			if c.options.Verbose {
				c.respond(response{text: "+OK\r\n"})
			}
		} else {
			c.respondOK()
		}
	case opOK, opErr:
	default:
		c.fail(errProtocol.Error())
	}
	return true
}

// handleConnect takes CONNECT in.
func (c *client) handleConnect(text []byte) {
	var check map[string]any
	if json.Unmarshal(text, &check) != nil || json.Unmarshal(text, &c.options) != nil {
		c.fail(errParse.Error())
		return
	}
	if c.connect != nil { // said again, it changes options and not who the client is
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

// wantsEcho says whether the client takes its own publications.
func (c *client) wantsEcho() bool { return c.options.Echo == nil || *c.options.Echo }

// schedulePing pings the client, and ends it when it no longer answers.
func (c *client) schedulePing() {
	c.timer.Stop()
	c.timer = c.front.Loop.After(c.front.pingInterval(), func() {
		if c.pingsOut++; c.pingsOut > c.front.MaxPingsOut {
			c.fail("Stale Connection")
			return
		}
		c.write([]byte("PING\r\n"))
		c.schedulePing()
	})
}

// isIdle says that the client may be sent elsewhere: no request of its is on
// its way or open.
func (c *client) isIdle() bool {
	for _, s := range c.subscriptions {
		if !s.local {
			return false
		}
	}
	return c.isQuiescent() && len(c.proxied) == 0
}

// sendError tells of an error that does not end the connection.
func (c *client) sendError(text string) { c.write(fmt.Appendf(nil, "-ERR '%s'\r\n", text)) }

// fail tells of an error and ends the connection.
func (c *client) fail(text string) {
	c.sendError(text)
	c.close()
}

// close is the one end of a client; all that it holds ends with it.
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
	for id, a := range c.proxied {
		a.remove()
		c.front.Core.ClientGone(id)
	}
	for _, l := range append([]*link(nil), c.links...) {
		l.close()
	}
	c.conn.Finish()
}

// deliverLocal hands a message of the relay's own to the client's subscriptions.
func (c *client) deliverLocal(m command) {
	for _, s := range c.subscriptions {
		if subjectMatches(s.subject, m.subject) {
			c.conn.Commit(m.appendMessage(c.conn.Buffer(m.encodedSize(s.sid)), s.sid))
			s.countDelivered()
			return
		}
	}
}

// deliverStatus delivers a status of the relay's own on a reply subject.
func (c *client) deliverStatus(reply []byte, status string) {
	head := "NATS/1.0 " + status + "\r\n\r\n"
	c.deliverLocal(command{subject: reply, headerLen: len(head), payload: []byte(head)})
}

// wantsStatus says whether the client hears of a lost publication on its reply subject.
func (c *client) wantsStatus(reply []byte) bool { return len(reply) > 0 && c.options.NoResponders }
