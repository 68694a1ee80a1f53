package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// caller is a proxy that calls the external processor by the NATS client protocol, over one connection.
type caller struct {
	play *play
	name string
	conn net.Conn

	mu      sync.Mutex
	next    int
	waiting map[string]chan verdict // by reply subject
}

// verdict is an answer of the processor.
type verdict struct {
	Verdict string      `json:"verdict"`
	ID      json.Number `json:"id"`
	Attempt int         `json:"try"`
	Member  string      `json:"member"`
	Addr    string      `json:"addr"`
	WaitMS  int         `json:"wait_ms"`
	Error   string      `json:"error"`
}

// newCaller connects to a relay's NATS front.
func newCaller(p *play, name, addr string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, unusable("%v", err)
	}
	c := &caller{play: p, name: name, conn: conn, waiting: map[string]chan verdict{}}
	p.atEnd(func() { conn.Close() })
	fmt.Fprintf(conn, "CONNECT {\"verbose\":false,\"pedantic\":false,\"lang\":\"review\",\"version\":\"1\",\"protocol\":1}\r\nSUB _dahlia.inbox.%s.* 1\r\nPING\r\n", name)
	ready := make(chan struct{})
	go c.read(ready)
	select {
	case <-ready:
		return c, nil
	case <-time.After(3 * time.Second):
		return nil, unusable("the NATS front did not answer PING")
	}
}

// read handles what the relay sends.
func (c *caller) read(ready chan struct{}) {
	in := bufio.NewReader(c.conn)
	var once sync.Once
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.play.logf("%s: connection ended: %v", c.name, err)
			return
		}
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "PING":
			fmt.Fprint(c.conn, "PONG\r\n")
		case fields[0] == "PONG":
			once.Do(func() { close(ready) })
		case fields[0] == "MSG":
			var size int
			fmt.Sscan(fields[len(fields)-1], &size)
			body := make([]byte, size+2)
			for n := 0; n < len(body); {
				k, err := in.Read(body[n:])
				if err != nil {
					return
				}
				n += k
			}
			c.play.logf("%s got on %s: %s", c.name, fields[1], body[:size])
			var v verdict
			if err := json.Unmarshal(body[:size], &v); err != nil {
				continue
			}
			c.mu.Lock()
			waiter := c.waiting[fields[1]]
			c.mu.Unlock()
			if waiter != nil {
				waiter <- v
			}
		case fields[0] != "INFO":
			c.play.logf("%s got %s", c.name, strings.TrimSpace(line))
		}
	}
}

// call sends a call and returns the channel on which its answer arrives.
func (c *caller) call(subject string, body object) <-chan verdict {
	text, _ := json.Marshal(body)
	c.mu.Lock()
	c.next++
	reply := fmt.Sprintf("_dahlia.inbox.%s.%d", c.name, c.next)
	answer := make(chan verdict, 16)
	c.waiting[reply] = answer
	c.mu.Unlock()
	c.play.logf("%s calls %s with %s", c.name, subject, text)
	fmt.Fprintf(c.conn, "PUB %s %s %d\r\n%s\r\n", subject, reply, len(text), text)
	return answer
}

// await waits for an answer.
func await(answer <-chan verdict, timeout time.Duration) (verdict, bool) {
	select {
	case v := <-answer:
		return v, true
	case <-time.After(timeout):
		return verdict{}, false
	}
}
