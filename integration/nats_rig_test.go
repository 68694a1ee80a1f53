package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// cluster is the stand-in for NATS servers that share one space of subjects,
// written from the public description of the client protocol.
type cluster struct {
	mu    sync.Mutex
	nodes []*node
	tries *tries // of publications, by their payload
	turn  int    // of queue groups
}

// node is one server of it.
type node struct {
	*cluster
	id    string
	l     net.Listener
	mode  string // "" works, "err" refuses publications, "silent" takes them and says nothing
	conns map[*natsConn]bool
}

type natsConn struct {
	node *node
	c    net.Conn
	mu   sync.Mutex // of writing
	subs map[string]*natsSub
	out  []string // publications that are not acknowledged
}

type natsSub struct {
	subject, queue string
	left           int // messages until it ends; 0 for no end
}

func newCluster(t *testing.T, n int) *cluster {
	k := &cluster{tries: newTries()}
	for i := range n {
		o := &node{cluster: k, id: fmt.Sprintf("s-%08x", 0x71000000+i*0x0234567), conns: map[*natsConn]bool{}}
		k.nodes = append(k.nodes, o)
		o.l = listen(t, o.serve)
	}
	return k
}

func (k *cluster) members() []member {
	var list []member
	for _, o := range k.nodes {
		list = append(list, member{ID: o.id, Addr: o.l.Addr().String(), Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1})
	}
	return list
}

func (k *cluster) set(i int, mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nodes[i].mode = mode
}

// subscriptions is how many on that pattern each node holds.
func (k *cluster) subscriptions(pattern string) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]int, len(k.nodes))
	for i, o := range k.nodes {
		for c := range o.conns {
			for _, s := range c.subs {
				if s.subject == pattern {
					out[i]++
				}
			}
		}
	}
	return out
}

func (o *node) serve(conn net.Conn) {
	c := &natsConn{node: o, c: conn, subs: map[string]*natsSub{}}
	defer conn.Close()
	c.say("INFO {\"server_id\":\"%s\",\"version\":\"2.10.0\",\"proto\":1,\"headers\":true,\"max_payload\":1048576}\r\n", o.id)
	o.mu.Lock()
	o.conns[c] = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.conns, c)
		for _, id := range c.out {
			o.tries.end(id)
		}
		o.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) == 0 || !c.command(in, w) {
			return
		}
	}
}

func (c *natsConn) say(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.c, format, args...)
}

func (c *natsConn) command(in *bufio.Reader, w []string) bool {
	k := c.node.cluster
	switch w[0] {
	case "CONNECT", "PONG":
	case "PING":
		k.mu.Lock()
		silent := c.node.mode == "silent" && len(c.out) > 0
		if !silent {
			for _, id := range c.out {
				k.tries.end(id)
			}
			c.out = nil
		}
		k.mu.Unlock()
		if !silent {
			c.say("PONG\r\n")
		}
	case "SUB":
		s := &natsSub{subject: w[1]}
		if len(w) == 4 {
			s.queue = w[2]
		}
		k.mu.Lock()
		c.subs[w[len(w)-1]] = s
		k.mu.Unlock()
	case "UNSUB":
		k.mu.Lock()
		if len(w) == 3 {
			if s := c.subs[w[1]]; s != nil {
				s.left, _ = strconv.Atoi(w[2])
			}
		} else {
			delete(c.subs, w[1])
		}
		k.mu.Unlock()
	case "PUB", "HPUB":
		size, _ := strconv.Atoi(w[len(w)-1])
		payload := make([]byte, size+2)
		if _, err := io.ReadFull(in, payload); err != nil {
			return false
		}
		header, rest := 0, w[1:len(w)-1]
		if w[0] == "HPUB" {
			header, _ = strconv.Atoi(rest[len(rest)-1])
			rest = rest[:len(rest)-1]
		}
		reply := ""
		if len(rest) == 2 {
			reply = rest[1]
		}
		c.publish(rest[0], reply, header, payload[:size])
	default:
		c.say("-ERR 'Unknown Protocol Operation'\r\n")
		return false
	}
	return true
}

func (c *natsConn) publish(subject, reply string, header int, payload []byte) {
	k := c.node.cluster
	if subject == "node.load" {
		k.mu.Lock()
		n := 0
		for o := range c.node.conns {
			n += len(o.subs)
		}
		k.mu.Unlock()
		c.send(reply, "", 0, fmt.Appendf(nil, `{"x0":%.2f,"x1":0,"inflight":%d}`, 0.1+0.01*float64(n), n))
		return
	}
	id := string(payload)
	k.mu.Lock()
	mode := c.node.mode
	k.tries.begin(id)
	c.out = append(c.out, id)
	k.mu.Unlock()
	switch mode {
	case "err":
		k.mu.Lock()
		k.tries.end(id)
		c.out = c.out[:len(c.out)-1]
		k.mu.Unlock()
		c.say("-ERR 'Permissions Violation for Publish to \"%s\"'\r\n", subject)
		return
	case "silent":
		return
	}
	if k.deliver(subject, reply, header, payload) == 0 && reply != "" {
		c.send(reply, "", 16, []byte("NATS/1.0 503\r\n\r\n"))
	}
}

// deliver hands a message to every subscription, and to one of each queue group.
func (k *cluster) deliver(subject, reply string, header int, payload []byte) int {
	k.mu.Lock()
	groups := map[string][]func(){}
	var each []func()
	for _, o := range k.nodes {
		for c := range o.conns {
			for sid, s := range c.subs {
				if !subjectMatches(s.subject, subject) {
					continue
				}
				f := func() { c.message(sid, subject, reply, header, payload) }
				if s.queue == "" {
					each = append(each, f)
				} else {
					groups[s.queue] = append(groups[s.queue], f)
				}
				if s.left > 0 {
					if s.left--; s.left == 0 {
						delete(c.subs, sid)
					}
				}
			}
		}
	}
	for _, g := range groups {
		k.turn++
		each = append(each, g[k.turn%len(g)])
	}
	k.mu.Unlock()
	for _, f := range each {
		f()
	}
	return len(each)
}

// send hands a message to this connection's own subscriptions.
func (c *natsConn) send(subject string, reply string, header int, payload []byte) {
	c.node.mu.Lock()
	var sids []string
	for sid, s := range c.subs {
		if subjectMatches(s.subject, subject) {
			sids = append(sids, sid)
		}
	}
	c.node.mu.Unlock()
	for _, sid := range sids {
		c.message(sid, subject, reply, header, payload)
	}
}

func (c *natsConn) message(sid, subject, reply string, header int, payload []byte) {
	if reply != "" {
		reply += " "
	}
	if header > 0 {
		c.say("HMSG %s %s %s%d %d\r\n%s\r\n", subject, sid, reply, header, len(payload), payload)
		return
	}
	c.say("MSG %s %s %s%d\r\n%s\r\n", subject, sid, reply, len(payload), payload)
}

func subjectMatches(pattern, subject string) bool {
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
