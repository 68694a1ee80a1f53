package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// member is a pool member that speaks the platform's line protocol. It serves everything at once.
type member struct {
	play     *play
	id       string
	flows    atomic.Int64
	report   atomic.Value                         // a string: its load report, if it is not to tell its connections
	capacity float64                              // in connections, if above 0
	quiet    bool                                 // its requests are not logged
	setUp    time.Duration                        // what it takes before it answers a request
	onOpen   func(relay, id string, at time.Time) // called when a request's line has arrived; may be nil
	onEnd    func(id string)                      // called when the connection of a request has ended; may be nil
}

func newMember(p *play, id string) (*member, error) { return &member{play: p, id: id}, nil }

// setReport sets what the member reports of its load from now on.
func (m *member) setReport(text string) { m.report.Store(text) }

// openFor returns an address of the member for one relay.
func (m *member) openFor(relay string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", unusable("%v", err)
	}
	m.play.atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c, relay)
		}
	}()
	return l.Addr().String(), nil
}

// serve answers health checks, or one request and the lines of its connection.
func (m *member) serve(c net.Conn, relay string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "STATS" && m.report.Load() != nil:
			fmt.Fprintf(c, "PONG %s\r\n", m.report.Load())
		case line == "STATS" && m.capacity > 0:
			fmt.Fprintf(c, "PONG x0=%.3f,x1=0,inflight=%d\r\n", float64(m.flows.Load())/m.capacity, m.flows.Load())
		case line == "STATS":
			fmt.Fprintf(c, "PONG x0=%.3f,x1=0,inflight=%d\r\n", 0.02+0.005*float64(m.flows.Load()), m.flows.Load())
		case line == "PING":
			fmt.Fprint(c, "PONG\r\n")
		case strings.HasPrefix(line, "OPEN "):
			m.serveFlow(c, in, relay, strings.Fields(line)[1])
			return
		default:
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

func (m *member) serveFlow(c net.Conn, in *bufio.Reader, relay, id string) {
	if !m.quiet {
		m.play.logf("%s got request %s from %s", m.id, id, relay)
	}
	if m.onOpen != nil {
		m.onOpen(relay, id, time.Now())
	}
	if m.onEnd != nil {
		defer m.onEnd(id)
	}
	time.Sleep(m.setUp)
	m.flows.Add(1)
	defer m.flows.Add(-1)
	fmt.Fprintf(c, "UP %s-%s\r\n", m.id, id)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "END\r\n" {
			fmt.Fprint(c, "BYE\r\n")
			return
		}
		fmt.Fprintf(c, "GOT %s", line)
	}
}
