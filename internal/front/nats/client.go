package nats

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"dahliarudder/internal/auth"
	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
)

// client is the connection of a NATS client. Its commands take effect in their order and do
// not wait for each other, but for publications, which wait for the subscriptions before them.
type client struct {
	f       *Front
	c       *netloop.Conn
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
	connect  []byte // what CONNECT said; nil before it
	subs     map[string]*sub
	links    []*link
	feeds    []*publisher
	subjects map[string]*publisher // where subjects belong that were published to before
	latest   *publisher            // that of latestSubject, the one published to last
	asked    map[core.ID]*asked

	latestSubject string
	mark          uint64   // of the newest publication
	answers       []ticket // what is still to be said, in order
	placing       int      // subscriptions that publications wait for
	pings         int      // that the client has not answered
	timer         *netloop.Timer
	nonce         string             // that it may sign
	may           *auth.Permissions  // nil for all
	replies       *auth.ReplyTracker // what it may answer to besides; nil for nothing
	expires       *netloop.Timer     // when its login does
	sniffed       bool               // its first byte was looked at
	entering      bool               // its password is being checked
	slowSince     time.Duration      // since when its links rest; 0 if they do not
	later         bool               // goOn is on its way
	fencing       bool
	fenced        uint64 // the mark that all links are past
	leftBytes     bool   // the client has ended its sending, but what it sent is not done yet
	over          bool
}

// subjectsMost bounds the memory of where subjects belong.
const subjectsMost = 256

// ticket is the answer to a command, given when what stands before it is done.
type ticket struct {
	mark uint64 // publications up to this one have their final answer
	sub  *sub   // that this subscription stands or was refused; or has ended, if ends
	ends bool
	// What members have sent to the client by then comes first: a publication and the
	// subscription that takes it are on links of their own.
	fence bool
	text  string
	then  func()
}

// fence is a PING on every link that holds subscriptions. Publications up to its mark were taken
// before it.
type fence struct {
	c    *client
	mark uint64
	left int
}

func (b *fence) step() {
	if b.left--; b.left == 0 {
		b.c.fenced, b.c.fencing = b.mark, false
		b.c.goOn()
	}
}

// behind says whether all links are past what the publications up to a mark have brought, and if
// not has them say so.
func (c *client) behind(mark uint64) bool {
	if c.fenced >= mark {
		return true
	}
	if c.fencing {
		return false
	}
	b := &fence{c: c, mark: mark, left: 1}
	c.fencing = true
	for _, l := range c.links {
		if l.feed == nil && l.ready {
			b.left++
			l.fence(b)
		}
	}
	if b.left == 1 {
		c.fenced, c.fencing = mark, false
		return true
	}
	b.left--
	return false
}

func (c *client) write(b []byte) { c.c.Queue(b) }

// Open is told by the loop.
func (c *client) Open() {}

// OnWritable is told by the loop.
func (c *client) Drained() {
	c.slowSince = 0
	for _, l := range c.links {
		l.c.ResumeReading()
	}
}

// crowded says that the client has not taken what it was sent; its links rest until it has.
func (c *client) crowded() bool {
	if c.c.Unsent() <= c.f.water(highWater) {
		return false
	}
	if c.slowSince == 0 {
		c.slowSince = c.f.Loop.Now()
	}
	return true
}

// Data is told by the loop.
func (c *client) Data(b []byte) int {
	if !c.sniffed && !c.sniff(b[0]) {
		return 0
	}
	used := 0
	for !c.over {
		m, n, err := parse(b[used:], c.f.MaxControlLine, c.f.MaxPayload)
		if err != nil {
			c.fail(err.Error())
			break
		}
		if n == 0 {
			return used
		}
		if !c.do(&m) {
			c.c.PauseReading() // goOn resumes
			return used
		}
		used += n
	}
	return len(b)
}

// goOn gives the answers that are due and takes up the commands that waited.
func (c *client) goOn() {
	if c.later || c.over {
		return
	}
	c.later = true
	c.f.Loop.After(0, func() {
		c.later = false
		c.settle()
		c.c.ResumeReading()
		if c.leftBytes && c.quiet() {
			c.close()
		}
	})
}

// quiet says that everything the client has sent is done.
func (c *client) quiet() bool {
	return c.placing == 0 && len(c.answers) == 0 && c.oldest() > c.mark
}

// oldest is the mark of the oldest publication without a final answer, or one beyond all.
func (c *client) oldest() uint64 {
	least := c.mark + 1
	for _, p := range c.feeds {
		if mark, ok := p.feed.OldestSequence(); ok {
			least = min(least, mark)
		}
	}
	return least
}

// settle gives the answers that are due, in their order.
func (c *client) settle() {
	if len(c.answers) == 0 {
		return
	}
	oldest := c.oldest()
	for len(c.answers) > 0 && !c.over {
		t := c.answers[0]
		if t.mark >= oldest || t.sub != nil && !(t.sub.known && !t.ends || t.sub.over && !t.sub.draining) {
			return
		}
		if t.fence && !c.behind(t.mark) {
			return
		}
		c.answers = c.answers[1:]
		if t.text != "" {
			c.write([]byte(t.text))
		}
		if t.then != nil {
			t.then()
		}
	}
	if len(c.answers) == 0 {
		c.answers = nil
	}
}

// answer has a text said once all before it is done.
func (c *client) answer(t ticket) {
	t.mark = c.mark
	if c.answers = append(c.answers, t); len(c.answers) == 1 {
		c.settle()
	}
}

func (c *client) ok() {
	if c.options.Verbose {
		c.answer(ticket{text: "+OK\r\n"})
	}
}

// End is told by the loop.
func (c *client) End(err error) {
	if err == io.EOF && !c.quiet() {
		c.leftBytes = true
		return
	}
	c.close()
}

// do carries a command out; false if it must wait.
func (c *client) do(m *command) bool {
	if c.entering {
		return false
	}
	if c.connect == nil && m.op != opConnect {
		c.fail("Authorization Violation")
		return true
	}
	if len(c.answers) > c.f.MaxSubscriptions+c.f.WindowMessages {
		return false // who asks without end waits for the answers
	}
	switch m.op {
	case opConnect:
		c.greet(m.rest)
	case opPing:
		c.answer(ticket{text: "PONG\r\n", fence: true})
	case opPong:
		c.pings = 0
	case opPub, opHPub:
		return c.publish(m)
	case opSub:
		c.subscribe(m)
	case opUnsub:
		if s := c.subs[string(m.sid)]; s != nil && !s.known && m.max == 0 {
			s.end() // given up before it ever stood
			c.ok()
		} else if s != nil {
			// What was published before it still counts for it.
			most := m.max
			c.placing++ // what is published after it is not
			c.answer(ticket{sub: s, fence: true, then: func() {
				c.placing--
				s.limit(most)
				c.goOn()
			}})
			if c.options.Verbose {
				c.answer(ticket{text: "+OK\r\n"})
			}
		} else {
			c.ok()
		}
	case opOK, opErr:
	default:
		c.fail(errProtocol.Error())
	}
	return true
}

// greet takes CONNECT in.
func (c *client) greet(text []byte) {
	var check map[string]any
	if json.Unmarshal(text, &check) != nil || json.Unmarshal(text, &c.options) != nil {
		c.fail(errParse.Error())
		return
	}
	if c.connect != nil { // said again, it changes options and not who the client is
		c.ok()
		return
	}
	connect := append([]byte(nil), text...)
	c.enter(connect, func() {
		c.connect = connect
		c.c.SetEvictable(nil)
		c.keepAlive()
		c.ok()
	})
}

// echo says whether the client takes its own publications.
func (c *client) echo() bool { return c.options.Echo == nil || *c.options.Echo }

// keepAlive pings the client, and ends it when it no longer answers.
func (c *client) keepAlive() {
	c.timer.Stop()
	c.timer = c.f.Loop.After(c.f.pingEvery(), func() {
		if c.pings++; c.pings > c.f.MaxPingsOut {
			c.fail("Stale Connection")
			return
		}
		c.write([]byte("PING\r\n"))
		c.keepAlive()
	})
}

// holdsNothing says that the client may be sent elsewhere: no request of its is on
// its way or open.
func (c *client) holdsNothing() bool {
	for _, s := range c.subs {
		if !s.local {
			return false
		}
	}
	return c.quiet() && len(c.asked) == 0
}

// warn tells of an error that does not end the connection.
func (c *client) warn(text string) { c.write(fmt.Appendf(nil, "-ERR '%s'\r\n", text)) }

// fail tells of an error and ends the connection.
func (c *client) fail(text string) {
	c.warn(text)
	c.close()
}

// close is the one end of a client; all that it holds ends with it.
func (c *client) close() {
	if c.over {
		return
	}
	c.over = true
	delete(c.f.clients, c)
	c.timer.Stop()
	c.expires.Stop()
	for _, p := range c.feeds {
		p.feed.Close()
	}
	for _, s := range c.subs {
		s.end()
	}
	for id, a := range c.asked {
		a.forget()
		c.f.Core.ClientGone(id)
	}
	for _, l := range append([]*link(nil), c.links...) {
		l.close()
	}
	c.c.Finish()
}

// deliver hands a message of the relay's own to the client's subscriptions.
func (c *client) deliver(m command) {
	for _, s := range c.subs {
		if matches(s.subject, m.subject) {
			c.c.Commit(m.appendMessage(c.c.Buffer(m.room(s.sid)), s.sid))
			s.counted()
			return
		}
	}
}

// notice delivers a status of the relay's own on a reply subject.
func (c *client) notice(reply []byte, status string) {
	head := "NATS/1.0 " + status + "\r\n\r\n"
	c.deliver(command{subject: reply, header: len(head), payload: []byte(head)})
}

// noticed says whether the client hears of a lost publication on its reply subject.
func (c *client) noticed(reply []byte) bool { return len(reply) > 0 && c.options.NoResponders }

// ownSubject says that a subject is the relay's.
func ownSubject(subject []byte) bool { return strings.HasPrefix(string(subject), reserved) }
