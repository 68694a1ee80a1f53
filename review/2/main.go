// Command 2 is a case of the review: NATS clients that publish and subscribe, and a relay that gets
// SIGTERM while one of four servers hangs.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/review/standin"
)

const (
	clients  = 8
	interval = 50 * time.Millisecond  // between a client's publications
	calm     = 2 * time.Second        // before the disruption
	after    = 6 * time.Second        // from the disruption to the end
	crossing = 500 * time.Millisecond // publications later than this before the end of their connection are excused
)

// publication is one message that a client has sent.
type publication struct {
	subject string
	sent    time.Time
	failed  bool // answered by -ERR
}

// client is a NATS client with one subscription, which publishes and asks for an answer to each
// publication (verbose).
type client struct {
	*standin.Case
	name string
	conn net.Conn

	mu        sync.Mutex
	published []*publication
	taken     int // publications answered by +OK
	ended     time.Time
	gone      chan struct{}
}

func (c *client) connect(addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	c.Must(err)
	c.conn, c.gone = conn, make(chan struct{})
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "CONNECT {\"verbose\":true,\"pedantic\":false,\"headers\":true,\"protocol\":1}\r\nSUB status.%s 1\r\nPING\r\n", c.name)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		line, err := in.ReadString('\n')
		c.Must(err)
		if line == "PONG\r\n" {
			break
		}
	}
	conn.SetReadDeadline(time.Time{})
	go c.read(in)
}

// read counts the answers until the relay ends the connection.
func (c *client) read(in *bufio.Reader) {
	defer close(c.gone)
	for {
		line, err := in.ReadString('\n')
		line = strings.TrimSpace(line)
		c.mu.Lock()
		switch {
		case err != nil:
			c.ended = time.Now()
			c.Logf("%s: its connection ended: %v", c.name, err)
			c.mu.Unlock()
			return
		case line == "+OK":
			c.taken++
			c.Logf("%s: +OK, %d in all", c.name, c.taken)
		case strings.HasPrefix(line, "-ERR"):
			c.Logf("%s: %s", c.name, line)
			for _, p := range c.published {
				if strings.Contains(line, `"`+p.subject+`"`) {
					p.failed = true
				}
			}
		case line == "PING":
			c.conn.Write([]byte("PONG\r\n"))
		case strings.HasPrefix(line, "INFO"):
			c.Logf("%s: %s", c.name, line)
		}
		c.mu.Unlock()
	}
}

// publish publishes until the connection or the time is over.
func (c *client) publish(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		p := &publication{subject: fmt.Sprintf("pay.%s.%d", c.name, n)}
		c.mu.Lock()
		p.sent = time.Now()
		c.published = append(c.published, p)
		c.mu.Unlock()
		c.Logf("%s publishes %s", c.name, p.subject)
		if _, err := fmt.Fprintf(c.conn, "PUB %s 8\r\npayment!\r\n", p.subject); err != nil {
			return
		}
		select {
		case <-c.gone:
			return
		case <-time.After(interval):
		}
	}
}

// judge checks that each publication has been answered. The relay answers in order: an -ERR names its
// subject, each +OK is for the oldest publication without an answer.
func (c *client) judge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken, lost := c.taken, []string{}
	failed := 0
	for _, p := range c.published {
		switch {
		case p.failed:
			failed++
		case taken > 0:
			taken--
		case !c.ended.IsZero() && c.ended.Sub(p.sent) < crossing:
		default:
			lost = append(lost, fmt.Sprintf("%s, sent %.2f s before the connection's end", p.subject, c.ended.Sub(p.sent).Seconds()))
		}
	}
	c.Logf("%s: %d published, %d answered +OK, %d answered -ERR, %d without an answer", c.name, len(c.published), c.taken, failed, len(lost))
	for _, text := range lost {
		c.Logf("%s: no answer to %s", c.name, text)
	}
	if len(lost) > 0 {
		c.Broken("%s: the relay ended the connection with no answer to %d publications, the oldest %s", c.name, len(lost), lost[0])
	}
}

func main() {
	c := standin.New("2")
	hangs, restarts := c.Trouble, c.Trouble
	switch os.Getenv("TROUBLE") { // one of the two disruptions alone
	case "hang":
		restarts = false
	case "restart":
		hangs = false
	}
	cluster, err := fakes.NewNATSCluster(4)
	c.Must(err)
	cluster.Attempts, cluster.LoadSubject = fakes.NewAttemptCounter(), "node.load"
	cluster.LoadReport = func(n *fakes.NATSNode) string { return `{"x0":0.1,"x1":0,"inflight":10}` }
	cluster.Watch(func(subject, _ string) { c.Logf("a server accepts %s", subject) })
	var entries []fakes.Entry
	links := map[*fakes.NATSNode]*fakes.TCPProxy{}
	for _, n := range cluster.Nodes {
		links[n], err = fakes.NewTCPProxy(n.Addr)
		c.Must(err)
		entries = append(entries, fakes.Entry{ID: n.ID, Addr: links[n].Addr(), Zone: "kirkton", Kind: "fast-pair", Lifecycle: fakes.Serving, Weight: 1})
	}
	discovery := fakes.NewDiscovery(entries...)
	at, err := discovery.Open("relay", nil)
	c.Must(err)
	config := c.Config("deploy/nats.json")
	listen := c.FreeAddr()
	config["discovery"], config["operator"], config["known"] = at, "", discovery.Snapshot(nil)
	delete(config, "store")
	front := config["fronts"].(map[string]any)["nats"].(map[string]any)
	front["listen"] = listen
	delete(front, "tls")
	delete(front, "auth")
	delete(front, "connect_urls")
	relay := c.StartRelay("relay", c.WriteConfig("relay", config), "")
	if !standin.WaitFor(10*time.Second, func() bool {
		conn, err := net.Dial("tcp", listen)
		if err == nil {
			conn.Close()
		}
		return err == nil
	}) {
		c.NotRun("the relay does not listen")
	}
	time.Sleep(500 * time.Millisecond)
	var all []*client
	var running sync.WaitGroup
	until := time.Now().Add(calm + after)
	for n := range clients {
		one := &client{Case: c, name: fmt.Sprintf("c%d", n)}
		one.connect(listen)
		all = append(all, one)
	}
	for _, one := range all {
		running.Go(func() { one.publish(until) })
	}
	time.Sleep(calm)
	if hangs {
		// The one that has got the most.
		busiest := slices.MaxFunc(cluster.Nodes, func(a, b *fakes.NATSNode) int { return a.Published() - b.Published() })
		c.Logf("server %s hangs", busiest.ID)
		silent := fakes.Impairment{Cut: true}
		links[busiest].SetImpairment(silent, silent)
	}
	if restarts {
		relay.Signal(syscall.SIGTERM)
		if relay.WaitEnd(3700 * time.Millisecond) {
			c.Logf("the relay has ended before the earliest SIGKILL")
		} else {
			relay.Signal(syscall.SIGKILL)
		}
	}
	running.Wait()
	time.Sleep(4 * time.Second) // the last publications are answered within their deadline of 3 s
	for _, one := range all {
		one.judge()
	}
	c.Finish()
}
