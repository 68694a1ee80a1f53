package fakes

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxUnsent is how many bytes may wait to be written to a connection before publishers to it block.
	maxUnsent      = 4 << 20
	natsReadBuffer = 64 << 10 // bytes
	// rejectLinger is how long a connection stays open after its CONNECT was rejected, so that the
	// error reaches the client.
	rejectLinger = 10 * time.Millisecond
)

// natsConn is one client connection of a node.
type natsConn struct {
	node           *NATSNode
	conn           net.Conn
	subscriptions  map[string]*subscription // by sid; guarded by the cluster's lock
	noResponders   bool                     // the client asked for a 503 message when its request has no subscriber
	echo           bool                     // the client receives its own publications
	unacknowledged []*CountedAttempt        // guarded by the cluster's lock
	acksStopped    bool                     // the connection never acknowledges publications again

	mu     sync.Mutex // guards buffer and closed
	ready  *sync.Cond // buffer is not empty, or the connection is closed
	buffer []byte
	space  *sync.Cond // buffer is not full, or the connection is closed
	closed bool
}

func newNATSConn(node *NATSNode, conn net.Conn) *natsConn {
	c := &natsConn{node: node, conn: conn, subscriptions: map[string]*subscription{}, echo: true}
	c.ready, c.space = sync.NewCond(&c.mu), sync.NewCond(&c.mu)
	return c
}

func (c *natsConn) close() {
	c.mu.Lock()
	c.closed = true
	c.ready.Broadcast()
	c.space.Broadcast()
	c.mu.Unlock()
	c.conn.Close()
}

func (c *natsConn) reset() {
	raw := c.conn
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if t, ok := raw.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.close()
}

// write sends the queued bytes until the connection is closed.
func (c *natsConn) write() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.buffer) == 0 && !c.closed {
			c.ready.Wait()
		}
		if c.closed && len(c.buffer) == 0 {
			c.mu.Unlock()
			c.conn.Close()
			return
		}
		b := c.buffer
		c.buffer = spare[:0]
		c.space.Broadcast()
		c.mu.Unlock()
		if _, err := c.conn.Write(b); err != nil {
			c.close()
			return
		}
		spare = b
	}
}

// enqueue calls add to append bytes to the buffer. It blocks while more than maxUnsent bytes wait.
func (c *natsConn) enqueue(add func(b []byte) []byte) {
	c.mu.Lock()
	for len(c.buffer) > maxUnsent && !c.closed {
		c.space.Wait()
	}
	if !c.closed {
		c.buffer = add(c.buffer)
		c.ready.Signal()
	}
	c.mu.Unlock()
}

func (c *natsConn) enqueueLine(text string) {
	c.enqueue(func(b []byte) []byte { return append(append(b, text...), "\r\n"...) })
}

// read handles the client's operations until one of them or an error ends the connection.
func (c *natsConn) read() {
	in := bufio.NewReaderSize(c.conn, natsReadBuffer)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(string(line))
		if len(fields) == 0 || !c.operation(in, line, fields) {
			return
		}
	}
}

// operation handles one operation. It returns false if the connection must be closed.
func (c *natsConn) operation(in *bufio.Reader, line []byte, fields []string) bool {
	switch strings.ToUpper(fields[0]) {
	case "CONNECT":
		if !c.connect(line[len("CONNECT"):]) {
			c.enqueueLine("-ERR 'Authorization Violation'")
			time.Sleep(rejectLinger)
			return false
		}
	case "PONG":
	case "PING":
		c.ping()
	case "SUB":
		c.subscribe(fields)
	case "UNSUB":
		c.unsubscribe(fields)
	case "PUB", "HPUB":
		return c.readPublication(in, fields)
	default:
		c.enqueueLine("-ERR 'Unknown Protocol Operation'")
		return false
	}
	return true
}

func (c *natsConn) connect(text []byte) bool {
	options := map[string]any{}
	if json.Unmarshal(text, &options) != nil {
		return false
	}
	c.noResponders, _ = options["no_responders"].(bool)
	if echo, ok := options["echo"].(bool); ok {
		c.echo = echo
	}
	return c.node.Authorize == nil || c.node.Authorize(options)
}

// ping answers a PING, which acknowledges the publications before it. A silent node does not answer.
func (c *natsConn) ping() {
	k := c.node.NATSCluster
	if k.Attempts != nil {
		k.mu.Lock()
		if c.node.mode == NodeSilent && len(c.unacknowledged) > 0 {
			c.acksStopped = true
		}
		if !c.acksStopped {
			for _, attempt := range c.unacknowledged {
				attempt.End()
			}
			c.unacknowledged = nil
		}
		k.mu.Unlock()
	}
	if !c.acksStopped {
		c.enqueueLine("PONG")
	}
}

// subscribe handles SUB <subject> [queue group] <sid>.
func (c *natsConn) subscribe(fields []string) {
	s := &subscription{conn: c, subject: fields[1], id: fields[len(fields)-1]}
	if len(fields) == 4 {
		s.queue = fields[2]
	}
	k := c.node.NATSCluster
	k.mu.Lock()
	defer k.mu.Unlock()
	c.subscriptions[s.id] = s
	k.addSubscription(s)
}

// unsubscribe handles UNSUB <sid> [max messages].
func (c *natsConn) unsubscribe(fields []string) {
	k := c.node.NATSCluster
	k.mu.Lock()
	defer k.mu.Unlock()
	s := c.subscriptions[fields[1]]
	if s == nil {
		return
	}
	if len(fields) == 3 {
		s.maxMessages, _ = strconv.Atoi(fields[2])
	}
	if len(fields) == 2 || int(s.delivered.Load()) >= s.maxMessages {
		delete(c.subscriptions, s.id)
		k.removeSubscription(s)
	}
}

// readPublication reads the payload of PUB <subject> [reply] <size> or
// HPUB <subject> [reply] <header size> <size> and publishes it. It returns false if the connection
// must be closed.
func (c *natsConn) readPublication(in *bufio.Reader, fields []string) bool {
	size, err := strconv.Atoi(fields[len(fields)-1])
	if err != nil || len(fields) < 3 {
		return false
	}
	payload := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(in, payload); err != nil {
		return false
	}
	headerSize, rest := 0, fields[1:len(fields)-1]
	if len(fields[0]) == len("HPUB") {
		headerSize, _ = strconv.Atoi(rest[len(rest)-1])
		rest = rest[:len(rest)-1]
	}
	reply := ""
	if len(rest) == 2 {
		reply = rest[1]
	}
	return c.publish(rest[0], reply, headerSize, payload[:size])
}

// publish handles a publication according to the node's mode. It returns false if the connection
// must be closed.
func (c *natsConn) publish(subject, reply string, headerSize int, payload []byte) bool {
	k := c.node.NATSCluster
	if subject == k.LoadSubject && subject != "" {
		k.deliver(c, reply, "", 0, []byte(k.LoadReport(c.node)))
		return true
	}
	k.mu.RLock()
	mode, onPublish := c.node.mode, k.onPublish
	k.mu.RUnlock()
	if c.acksStopped {
		mode = NodeSilent
	}
	if k.Attempts != nil {
		attempt := k.Attempts.Begin(string(payload[headerSize:]), c.conn)
		k.mu.Lock()
		c.node.published++
		if mode == NodeRefuses {
			attempt.End()
		} else {
			c.unacknowledged = append(c.unacknowledged, attempt)
		}
		k.mu.Unlock()
	}
	switch mode {
	case NodeRefuses:
		c.enqueueLine(fmt.Sprintf("-ERR 'Permissions Violation for Publish to \"%s\"'", subject))
		return true
	case NodeSilent: // permanently: a later publication must not be accepted after an earlier one was lost
		c.acksStopped = true
		return true
	case NodeResets:
		c.reset()
		return false
	}
	if onPublish != nil {
		onPublish(subject, string(payload[headerSize:]))
	}
	if k.deliver(c, subject, reply, headerSize, payload) == 0 && reply != "" && c.noResponders {
		k.sendNoResponders(c, reply)
	}
	return true
}
