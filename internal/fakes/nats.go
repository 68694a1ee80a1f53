// Package fakes implements fake versions of the outside systems that the relay talks to (discovery, pool members, NATS
// servers), for tests, benchmarks and rehearsals; each is written from the protocol's public description. This file is a
// cluster of servers of the NATS client protocol: its nodes share one space of subjects.
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
	"sync/atomic"
	"time"
)

// NodeMode is how a node takes publications.
type NodeMode int32

// The modes. In Silent it takes them and acknowledges nothing from then on.
const (
	NodeHealthy NodeMode = iota
	NodeRefuses
	NodeSilent
	NodeResets    // ends the connection at the first byte of a publication
	NodeTruncates // ends it after half of a delivered message
)

// NATSCluster is nodes that share one space of subjects.
type NATSCluster struct {
	Nodes    []*NATSNode
	Attempts *AttemptCounter // of publications by their payload; nil while nothing is counted
	// Load answers requests on that subject with what the function says of the node.
	LoadSubject string
	LoadReport  func(n *NATSNode) string
	// Authorize says whether CONNECT may enter; nil lets all in.
	Authorize func(connect map[string]any) bool
	// TLS is asked of clients if it is set.
	TLS *tls.Config

	mu        sync.RWMutex
	exact     map[string]map[*subscription]bool
	wild      map[*subscription]bool
	queueTurn atomic.Int64 // of queue groups
	onPublish func(subject, payload string)
}

// NATSNode is one server.
type NATSNode struct {
	*NATSCluster
	ID        string
	Addr      string
	Info      map[string]any // more fields of its INFO
	l         net.Listener
	down      bool
	mode      NodeMode
	published int // publications
	conns     map[*natsConn]bool
	info      map[string]any // more fields of its INFO
}

type subscription struct {
	conn           *natsConn
	sid            string
	subject, queue string
	delivered      atomic.Int64
	maxMessages    int // 0 is without end
}

type natsConn struct {
	node           *NATSNode
	conn           net.Conn
	subscriptions  map[string]*subscription
	headers        bool
	noResponders   bool
	echo           bool
	unacknowledged []*CountedAttempt // counted publications that are not acknowledged
	acksStopped    bool              // acknowledges nothing any more

	mu     sync.Mutex // of what is written
	ready  *sync.Cond
	buffer []byte
	full   *sync.Cond
	closed bool
}

// maxUnsent is what a connection may have unsent before who writes to it waits.
const maxUnsent = 4 << 20

// NewNATSCluster starts so many nodes on the loopback.
func NewNATSCluster(n int) (*NATSCluster, error) {
	k := &NATSCluster{exact: map[string]map[*subscription]bool{}, wild: map[*subscription]bool{}}
	for i := range n {
		o := &NATSNode{NATSCluster: k, ID: fmt.Sprintf("s-%08x", 0x71000000+i*0x0234567), conns: map[*natsConn]bool{}}
		k.Nodes = append(k.Nodes, o)
		if err := o.listen("127.0.0.1:0"); err != nil {
			k.Close()
			return nil, err
		}
	}
	return k, nil
}

// Close ends all nodes.
func (k *NATSCluster) Close() {
	for _, o := range k.Nodes {
		o.Kill()
	}
}

func (o *NATSNode) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.l, o.Addr, o.down = l, l.Addr().String(), false
	o.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(c)
		}
	}()
	return nil
}

// Kill resets all connections of a node and has it take none in.
func (o *NATSNode) Kill() {
	o.mu.Lock()
	if o.l != nil {
		o.l.Close()
	}
	o.down = true
	conns := o.connections()
	o.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

func (o *NATSNode) connections() (conns []*natsConn) {
	for c := range o.conns {
		conns = append(conns, c)
	}
	return conns
}

// Restart has a killed node serve again at its address.
func (o *NATSNode) Restart() error { return o.listen(o.Addr) }

// SetMode sets how a node takes publications.
func (o *NATSNode) SetMode(m NodeMode) {
	o.mu.Lock()
	o.mode = m
	o.mu.Unlock()
}

// SetInfo sets more fields of a node's INFO, for those who connect from then on.
func (o *NATSNode) SetInfo(more map[string]any) {
	o.mu.Lock()
	o.info = more
	o.mu.Unlock()
}

// ResetConnections resets all connections of a node, which takes new ones in.
func (o *NATSNode) ResetConnections() {
	o.mu.Lock()
	conns := o.connections()
	o.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Published is how many publications a node has taken.
func (o *NATSNode) Published() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.published
}

// Connections is how many connections a node holds.
func (o *NATSNode) Connections() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.conns)
}

// Subscriptions is how many on that pattern each node holds.
func (k *NATSCluster) Subscriptions(pattern string) []int {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]int, len(k.Nodes))
	for i, o := range k.Nodes {
		for c := range o.conns {
			for _, s := range c.subscriptions {
				if s.subject == pattern {
					out[i]++
				}
			}
		}
	}
	return out
}

// Watch has f called with every publication that a node takes, in the order in which it does.
func (k *NATSCluster) Watch(f func(subject, payload string)) {
	k.mu.Lock()
	k.onPublish = f
	k.mu.Unlock()
}

func (o *NATSNode) serve(conn net.Conn) {
	c := &natsConn{node: o, conn: conn, subscriptions: map[string]*subscription{}, echo: true}
	c.ready, c.full = sync.NewCond(&c.mu), sync.NewCond(&c.mu)
	o.mu.Lock()
	if o.down {
		o.mu.Unlock()
		conn.Close()
		return
	}
	info := map[string]any{"server_id": o.ID, "version": "2.10.0", "proto": 1, "headers": true, "max_payload": 1 << 20}
	for key, v := range o.info {
		info[key] = v
	}
	if o.TLS != nil {
		info["tls_required"] = true
	}
	o.conns[c] = true
	o.mu.Unlock()
	text, _ := json.Marshal(info)
	fmt.Fprintf(conn, "INFO %s\r\n", text)
	if o.TLS != nil {
		c.conn = tls.Server(conn, o.TLS)
	}
	go c.write()
	c.read()
	o.mu.Lock()
	delete(o.conns, c)
	for _, s := range c.subscriptions {
		o.remove(s)
	}
	for _, try := range c.unacknowledged {
		try.End()
	}
	o.mu.Unlock()
	c.close()
}

func (c *natsConn) close() {
	c.mu.Lock()
	c.closed = true
	c.ready.Broadcast()
	c.full.Broadcast()
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

// write sends what is buffered, all that has come since at once.
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
		c.full.Broadcast()
		c.mu.Unlock()
		if _, err := c.conn.Write(b); err != nil {
			c.close()
			return
		}
		spare = b
	}
}

// enqueue has a text sent; append gets the buffer.
func (c *natsConn) enqueue(add func(b []byte) []byte) {
	c.mu.Lock()
	for len(c.buffer) > maxUnsent && !c.closed {
		c.full.Wait()
	}
	if !c.closed {
		c.buffer = add(c.buffer)
		c.ready.Signal()
	}
	c.mu.Unlock()
}

func (c *natsConn) line(text string) {
	c.enqueue(func(b []byte) []byte { return append(append(b, text...), "\r\n"...) })
}

func (c *natsConn) read() {
	in := bufio.NewReaderSize(c.conn, 64<<10)
	k := c.node.NATSCluster
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		w := strings.Fields(string(line))
		if len(w) == 0 {
			return
		}
		switch strings.ToUpper(w[0]) {
		case "CONNECT":
			if !c.connect(line[len("CONNECT"):]) {
				c.line("-ERR 'Authorization Violation'")
				time.Sleep(10 * time.Millisecond) // let it leave
				return
			}
		case "PONG":
		case "PING":
			c.ping()
		case "SUB":
			s := &subscription{conn: c, subject: w[1], sid: w[len(w)-1]}
			if len(w) == 4 {
				s.queue = w[2]
			}
			k.mu.Lock()
			c.subscriptions[s.sid] = s
			k.add(s)
			k.mu.Unlock()
		case "UNSUB":
			k.mu.Lock()
			if s := c.subscriptions[w[1]]; s != nil {
				if len(w) == 3 {
					s.maxMessages, _ = strconv.Atoi(w[2])
				}
				if len(w) == 2 || int(s.delivered.Load()) >= s.maxMessages {
					delete(c.subscriptions, s.sid)
					k.remove(s)
				}
			}
			k.mu.Unlock()
		case "PUB", "HPUB":
			size, err := strconv.Atoi(w[len(w)-1])
			if err != nil || len(w) < 3 {
				return
			}
			payload := make([]byte, size+2)
			if _, err := io.ReadFull(in, payload); err != nil {
				return
			}
			header, rest := 0, w[1:len(w)-1]
			if len(w[0]) == 4 {
				header, _ = strconv.Atoi(rest[len(rest)-1])
				rest = rest[:len(rest)-1]
			}
			reply := ""
			if len(rest) == 2 {
				reply = rest[1]
			}
			if !c.publish(rest[0], reply, header, payload[:size]) {
				return
			}
		default:
			c.line("-ERR 'Unknown Protocol Operation'")
			return
		}
	}
}

func (c *natsConn) connect(text []byte) bool {
	o := map[string]any{}
	if json.Unmarshal(text, &o) != nil {
		return false
	}
	c.headers, _ = o["headers"].(bool)
	c.noResponders, _ = o["no_responders"].(bool)
	if echo, ok := o["echo"].(bool); ok {
		c.echo = echo
	}
	return c.node.Authorize == nil || c.node.Authorize(o)
}

// ping acknowledges what came before it.
func (c *natsConn) ping() {
	k := c.node.NATSCluster
	if k.Attempts != nil {
		k.mu.Lock()
		if c.node.mode == NodeSilent && len(c.unacknowledged) > 0 {
			c.acksStopped = true
		}
		if !c.acksStopped {
			for _, try := range c.unacknowledged {
				try.End()
			}
			c.unacknowledged = nil
		}
		k.mu.Unlock()
	}
	if !c.acksStopped {
		c.line("PONG")
	}
}

func (c *natsConn) publish(subject, reply string, header int, payload []byte) bool {
	k := c.node.NATSCluster
	if subject == k.LoadSubject && subject != "" {
		k.deliver(c, reply, "", 0, []byte(k.LoadReport(c.node)))
		return true
	}
	k.mu.RLock()
	mode, watch := c.node.mode, k.onPublish
	k.mu.RUnlock()
	if c.acksStopped {
		mode = NodeSilent
	}
	if k.Attempts != nil {
		try := k.Attempts.Begin(string(payload[header:]), c.conn)
		k.mu.Lock()
		c.node.published++
		if mode == NodeRefuses {
			try.End()
		} else {
			c.unacknowledged = append(c.unacknowledged, try)
		}
		k.mu.Unlock()
	}
	switch mode {
	case NodeRefuses:
		c.line(fmt.Sprintf("-ERR 'Permissions Violation for Publish to \"%s\"'", subject))
		return true
	case NodeSilent: // for good: what comes after a hole must not be taken before what fell into it
		c.acksStopped = true
		return true
	case NodeResets:
		c.reset()
		return false
	}
	if watch != nil {
		watch(subject, string(payload[header:]))
	}
	if k.deliver(c, subject, reply, header, payload) == 0 && reply != "" && c.noResponders {
		k.deliverTo(c, reply)
	}
	return true
}

// deliverTo tells the publishing connection alone that nobody listens.
func (k *NATSCluster) deliverTo(c *natsConn, reply string) {
	k.mu.RLock()
	var to *subscription
	for _, s := range c.subscriptions {
		if SubjectMatches(s.subject, reply) {
			to = s
		}
	}
	k.mu.RUnlock()
	if to != nil {
		to.send(reply, "", 16, []byte("NATS/1.0 503\r\n\r\n"))
	}
}

func (k *NATSCluster) add(s *subscription) {
	if strings.ContainsAny(s.subject, "*>") {
		k.wild[s] = true
		return
	}
	if k.exact[s.subject] == nil {
		k.exact[s.subject] = map[*subscription]bool{}
	}
	k.exact[s.subject][s] = true
}

func (k *NATSCluster) remove(s *subscription) {
	delete(k.wild, s)
	if m := k.exact[s.subject]; m != nil {
		if delete(m, s); len(m) == 0 {
			delete(k.exact, s.subject)
		}
	}
}

// deliver hands a message to every subscription, and to one of each queue group. Who has much
// unsent holds up the publisher, and nobody else.
func (k *NATSCluster) deliver(from *natsConn, subject, reply string, header int, payload []byte) int {
	var buffer [16]*subscription
	to := buffer[:0]
	var groups map[string][]*subscription
	take := func(s *subscription) {
		switch {
		case s.conn == from && !from.echo:
		case s.queue == "":
			to = append(to, s)
		default:
			if groups == nil {
				groups = map[string][]*subscription{}
			}
			groups[s.queue] = append(groups[s.queue], s)
		}
	}
	k.mu.RLock()
	for s := range k.exact[subject] {
		take(s)
	}
	for s := range k.wild {
		if SubjectMatches(s.subject, subject) {
			take(s)
		}
	}
	for _, g := range groups {
		to = append(to, g[int(k.queueTurn.Add(1))%len(g)])
	}
	k.mu.RUnlock()
	for _, s := range to {
		s.send(subject, reply, header, payload)
	}
	return len(to)
}

func (s *subscription) send(subject, reply string, header int, payload []byte) {
	c, k := s.conn, s.conn.node.NATSCluster
	got := int(s.delivered.Add(1))
	k.mu.RLock()
	most, cut := s.maxMessages, c.node.mode == NodeTruncates
	k.mu.RUnlock()
	if most > 0 && got > most {
		return
	}
	c.enqueue(func(b []byte) []byte {
		start := len(b)
		if header > 0 {
			b = append(b, "HMSG "...)
		} else {
			b = append(b, "MSG "...)
		}
		b = append(append(append(append(b, subject...), ' '), s.sid...), ' ')
		if reply != "" {
			b = append(append(b, reply...), ' ')
		}
		if header > 0 {
			b = append(strconv.AppendInt(b, int64(header), 10), ' ')
		}
		b = append(strconv.AppendInt(b, int64(len(payload)), 10), "\r\n"...)
		b = append(append(b, payload...), "\r\n"...)
		if cut {
			b = b[:start+(len(b)-start)/2]
			c.closed = true
		}
		return b
	})
	if most > 0 && got == most {
		k.mu.Lock()
		delete(c.subscriptions, s.sid)
		k.remove(s)
		k.mu.Unlock()
	}
}

// SubjectMatches says whether a subscription's pattern takes a subject.
func SubjectMatches(pattern, subject string) bool {
	p, s := strings.Split(pattern, "."), strings.Split(subject, ".")
	for i, t := range p {
		if t == ">" {
			return len(s) > i
		}
		if i >= len(s) || t != "*" && t != s[i] {
			return false
		}
	}
	return len(p) == len(s)
}
