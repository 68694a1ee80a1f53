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

// client is the connection of a NATS client. Its commands take effect in order and do not wait for
// each other, except that a publication waits until the subscriptions before it are acknowledged.
type client struct {
	front   *Front
	conn    *netloop.Conn
	id      uint64
	local   string // address of the relay that the client connected to
	remote  string // IP address of the client, without the port
	options struct {
		Verbose      bool  `json:"verbose"`
		Pedantic     bool  `json:"pedantic"`
		Headers      bool  `json:"headers"`
		NoResponders bool  `json:"no_responders"`
		Protocol     int   `json:"protocol"`
		Echo         *bool `json:"echo"`
	}
	connect        []byte // the JSON options of CONNECT; nil until the client is authenticated
	subscriptions  map[string]*subscription
	links          []*link
	publishers     []*publisher
	publisherCache map[string]*publisher // by subject; has at most maxCachedSubjects entries
	lastPublisher  *publisher            // the publisher for lastSubject
	proxied        map[core.ID]*proxiedRequest
	loginDigest    string // see login; empty until it is needed
	siblingCalls   int    // calls that wait for the other process of a hot restart
	calledSibling  bool   // the other process may have requests of this client

	lastSubject       string     // the subject that was added to publisherCache last
	publishSeq        uint64     // sequence number of the newest publication
	responses         []response // not sent yet, in the order of their commands
	pendingSubscribes int        // number of SUB and UNSUB commands that publications wait for
	pingsOut          int        // number of unanswered PINGs
	timer             *netloop.Timer
	nonce             string             // the challenge that the client signs to authenticate
	permissions       *auth.Permissions  // nil allows everything
	replies           *auth.ReplyTracker // further subjects that the client may reply to; nil for none
	expiryTimer       *netloop.Timer     // closes the connection when the credentials expire
	tlsChecked        bool               // checkTLS has inspected the first byte
	authenticating    bool               // a worker is checking the password
	slowSince         time.Duration      // when the unsent bytes exceeded the high-water mark; 0 if they do not
	resumeScheduled   bool               // a call of scheduleResume is pending
	fenceActive       bool               // a fence is pending
	fencedSeq         uint64             // the messages of publications up to this one have arrived on all links
	halfClosed        bool               // the client has closed its sending side while commands were pending
	closing           bool               // it is closed once each command that was read has its answer
	closingTimer      *netloop.Timer     // of closingGrace
	departureTimer    *netloop.Timer     // of departureGrace
	rejecting         bool               // publications and calls of the processor are rejected
	failure           error              // sent before it is closed; what is read from now on is discarded; nil for none
	closed            bool
}

// maxCachedSubjects is the maximum size of a client's publisherCache. A full cache is emptied.
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

// overHighWater reports whether the client reads too slowly. Its links are then not read until it
// has caught up.
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
	for !c.closed && c.failure == nil {
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
		if c.conn.YieldIfTurnOver() {
			return used
		}
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

// execute executes a command. It returns false if the command has to wait.
func (c *client) execute(m *command) bool {
	if c.authenticating {
		return false
	}
	if c.connect == nil && m.op != opConnect {
		c.fail(errAuthorization)
		return true
	}
	if len(c.responses) > c.front.MaxSubscriptions+c.front.WindowMessages && !(c.rejecting && m.isPublication()) {
		return false // limits the memory for a client that keeps sending commands while responses are pending
	}
	if m.op == opSub && c.pendingAcks() > c.front.MaxSubscriptions {
		return false // the same for subscriptions that members have not acknowledged
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

// pendingAcks returns how many callbacks wait for members to acknowledge subscriptions and their ends.
func (c *client) pendingAcks() (count int) {
	for _, l := range c.links {
		count += l.pendingAcks
	}
	return count
}

// handleConnect handles CONNECT, which authenticates the client and sets its options.
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

// schedulePing pings the client at intervals, and closes it when MaxPingsOut PINGs are unanswered.
func (c *client) schedulePing() {
	c.timer.Stop()
	c.timer = c.front.Loop.After(c.front.pingInterval(), func() {
		if c.pingsOut++; c.pingsOut > c.front.MaxPingsOut {
			c.abort(errStaleConnection)
			return
		}
		c.write([]byte(pingLine))
		c.schedulePing()
	})
}

// isIdle reports whether the client has no pending request and no subscription, so that closing it
// loses nothing.
func (c *client) isIdle() bool {
	for _, s := range c.subscriptions {
		if !s.local {
			return false
		}
	}
	return c.isAnswered()
}

// sendError sends -ERR without closing the connection.
func (c *client) sendError(text string) { c.write(fmt.Appendf(nil, "-ERR '%s'\r\n", text)) }

// deliverLocal delivers a message from the relay itself to a subscription of the client that
// matches its subject.
func (c *client) deliverLocal(m command) {
	for _, s := range c.subscriptions {
		if subjectMatches(s.subject, m.subject) {
			c.conn.Commit(m.appendMessage(c.conn.Buffer(m.encodedSize(s.sid)), s.sid))
			s.countDelivered()
			return
		}
	}
}

// deliverStatus delivers a status message from the relay itself on a reply subject.
func (c *client) deliverStatus(reply []byte, status string) {
	head := "NATS/1.0 " + status + "\r\n\r\n"
	c.deliverLocal(command{subject: reply, headerLen: len(head), payload: []byte(head)})
}

// wantsStatus reports whether the client receives a status message on the reply subject if its
// publication is not delivered.
func (c *client) wantsStatus(reply []byte) bool { return len(reply) > 0 && c.options.NoResponders }
