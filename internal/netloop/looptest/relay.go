package looptest

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

const settingsText = `{"balancers":1,"zones":["a"],
 "classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"}],
 "tenants":[{"name":"water","share":1}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// Relay is a core on an event loop, with members that the test acts for.
type Relay struct {
	*Harness
	Core    *core.Core
	Log     *logrus.Logger
	Members []core.Member
	servers []*Server
}

// NewRelay returns a Relay with the given number of members, on a harness of its own.
func NewRelay(t testing.TB, members int) *Relay {
	return NewRelayOn(New(t, 1024), members)
}

// NewRelayOn is like NewRelay on an existing harness.
func NewRelayOn(b *Harness, members int) *Relay {
	t := b.T
	r := &Relay{Harness: b, Log: logrus.New()}
	r.Log.SetOutput(t.Output())
	set, err := settings.Decode([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	var next *netloop.Timer
	r.Core = core.New(core.Options{Settings: set, Seed: 7, Clock: b.Loop.Now, Probe: func(*core.Member) {}, Watch: func() {},
		Wake: func(at time.Duration) {
			next.Stop()
			if at < math.MaxInt64 {
				next = b.Loop.After(at-b.Loop.Now(), func() { r.Core.Tick() })
			}
		}})
	for i := range members {
		s := b.Listen()
		m := core.Member{Name: fmt.Sprintf("s-%08x", i+1), Addr: s.Addr()}
		m.ID, m.State, m.Weight = policy.MemberID(i+1), policy.Ready, 1
		r.Members, r.servers = append(r.Members, m), append(r.servers, s)
	}
	r.Core.UpdateMembers(policy.ListCached, r.Members)
	return r
}

// Serve listens on the loop, passes each connection to accept, which is usually a front's, and
// returns the address.
func (r *Relay) Serve(accept func(*netloop.Conn)) string {
	r.T.Helper()
	l, err := r.Loop.Listen("127.0.0.1:0", accept)
	if err != nil {
		r.T.Fatal(err)
	}
	return l.Addr()
}

// Drain updates the member list so that member i is draining.
func (r *Relay) Drain(i int) {
	r.Members[i].State = policy.Draining
	r.Core.UpdateMembers(policy.ListDelta, r.Members[i:i+1])
}

// AcceptAny accepts the next connection to any member, and returns the member's index and the
// connection. It advances the clock by step before each attempt.
func (r *Relay) AcceptAny(step time.Duration) (int, *Peer) {
	r.T.Helper()
	member, c := -1, net.Conn(nil)
	r.WaitFor("a connection to a member", func() bool {
		r.Advance(step)
		for i, s := range r.servers {
			s.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
			if got, err := s.Listener.Accept(); err == nil {
				member, c = i, got
				return true
			}
		}
		return false
	})
	return member, r.peer(c)
}

// ReadLine waits for a line, removes it from Received and returns it without its line end.
func (p *Peer) ReadLine() string {
	p.harness.T.Helper()
	end := -1
	p.harness.WaitFor("a line", func() bool {
		p.Poll()
		end = bytes.IndexByte(p.Received, '\n')
		return end >= 0 || p.EndErr != nil
	})
	if end < 0 {
		p.harness.T.Fatalf("connection ended with %v after bytes %q, want a line", p.EndErr, p.Received)
	}
	line := string(bytes.TrimSuffix(p.Received[:end], []byte("\r")))
	p.Received = p.Received[end+1:]
	return line
}

// ExpectLines waits for the given lines, in this order.
func (p *Peer) ExpectLines(want ...string) {
	p.harness.T.Helper()
	for _, w := range want {
		if got := p.ReadLine(); got != w {
			p.harness.T.Fatalf("peer received line %q, want %q", got, w)
		}
	}
}
