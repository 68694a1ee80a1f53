package line

import (
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// rig is a front with fake members that the test controls. Tests check from outside what each member
// and each client receives and how many descriptors are open.
type rig struct {
	*looptest.Relay
	front       *Front
	addr        string // the address that clients connect to
	fakeMembers []*looptest.Server
	initialFree int // free descriptors before the first connection
}

// newRig returns a rig with the given number of members.
func newRig(t testing.TB, members int) *rig {
	r := looptest.NewRelay(t, 0)
	g := &rig{Relay: r, front: New(r.Loop, r.Core, r.Log)}
	for range members {
		s := r.Listen()
		g.fakeMembers = append(g.fakeMembers, s)
		g.addMember(s.Addr())
	}
	g.addr = r.Serve(g.front.Accept)
	g.initialFree = r.FreeDescriptors()
	return g
}

// addMember adds a ready member to the endpoint list and passes the list to the core.
func (g *rig) addMember(addr string) {
	n := len(g.Members) + 1
	m := core.Member{Name: "s-" + strings.Repeat("0", 7) + string(rune('0'+n)), Addr: addr}
	m.ID, m.State, m.Weight = policy.MemberID(n), policy.Ready, 1
	g.Members = append(g.Members, m)
	g.Core.UpdateMembers(policy.ListFull, g.Members)
}

// sendRequest sends a request and waits until the core has counted it.
func (g *rig) sendRequest(line string) *looptest.Peer {
	g.T.Helper()
	c, before := g.Dial(g.addr), g.Core.Counts.Requests
	c.Send(line + "\r\n")
	g.WaitFor("the core to count the request", func() bool { return g.Core.Counts.Requests > before })
	return c
}

// acceptAttempt accepts the next connection to a member and reads the first line from it.
func (g *rig) acceptAttempt(member int) *looptest.Peer {
	g.T.Helper()
	m := g.fakeMembers[member].Accept()
	m.ReadLine()
	return m
}

// openFlow opens a flow at the first member and returns its client and its member.
func (g *rig) openFlow() (c, m *looptest.Peer) {
	g.T.Helper()
	c = g.sendRequest(firstLine)
	m = g.acceptAttempt(0)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	return c, m
}

// setMemberState passes a new state of a member to the core as an endpoint list update.
func (g *rig) setMemberState(member int, state policy.MemberState) {
	g.Members[member].State = state
	g.Core.UpdateMembers(policy.ListDelta, g.Members[member:member+1])
}

// pendingConn accepts a connection that is waiting at a member, or returns nil if there is none.
func (g *rig) pendingConn(member int) (c net.Conn) {
	g.T.Helper()
	raw, err := g.fakeMembers[member].Listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			if connFD, _, err := unix.Accept4(int(fd), unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK); err == nil {
				file := os.NewFile(uintptr(connFD), "")
				defer file.Close()
				c, _ = net.FileConn(file)
			}
		})
	}
	if err != nil {
		g.T.Fatal(err)
	}
	if c != nil {
		g.T.Cleanup(func() { c.Close() })
	}
	return c
}

// readAvailable appends to got what can be read from a connection without waiting. It returns true
// if the connection has ended.
func readAvailable(c net.Conn, got *[]byte) (ended bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	buf := make([]byte, 16<<10)
	err = raw.Control(func(fd uintptr) {
		for {
			n, err := unix.Read(int(fd), buf)
			if n > 0 {
				*got = append(*got, buf[:n]...)
				continue
			}
			ended = n == 0 || err != unix.EAGAIN && err != unix.EINTR
			return
		}
	})
	return ended || err != nil
}

// expectNothingSent lets 3 s pass and checks that no member receives anything on a new connection.
func (g *rig) expectNothingSent() {
	g.T.Helper()
	for range 30 {
		g.Advance(100 * time.Millisecond)
	}
	for i := range g.fakeMembers {
		for c := g.pendingConn(i); c != nil; c = g.pendingConn(i) {
			var sent []byte
			if readAvailable(c, &sent); len(sent) > 0 {
				g.T.Errorf("member %d received %q, want nothing", i, sent)
			}
			c.Close()
		}
	}
}

// expectNoLeaks checks that no request, connection or descriptor is left.
func (g *rig) expectNoLeaks() {
	g.T.Helper()
	if active := g.Core.ActiveRequests(); active != 0 {
		g.T.Errorf("ActiveRequests() = %d, want 0", active)
	}
	if len(g.front.flows)+len(g.front.idle)+len(g.front.requests) != 0 {
		g.T.Errorf("front has %d open flows, %d idle connections and %d request ids, want none",
			len(g.front.flows), len(g.front.idle), len(g.front.requests))
	}
	g.Advance(time.Second) // a finished connection may stay open for this long
	g.RunOnce()
	if open := g.initialFree - g.FreeDescriptors(); open != 0 {
		g.T.Errorf("%d descriptors are still open, want 0", open)
	}
}

// closeMethods are the ways in which a client can close its connection.
var closeMethods = map[string]func(*looptest.Peer){
	"closes":      func(c *looptest.Peer) { c.Close() },
	"resets":      func(c *looptest.Peer) { c.Reset() },
	"half-closes": func(c *looptest.Peer) { c.CloseWrite() },
}

// forEachClose runs a test for each of closeMethods.
func forEachClose(t *testing.T, members int, test func(t *testing.T, g *rig, closeConn func(*looptest.Peer))) {
	for name, closeConn := range closeMethods {
		t.Run(name, func(t *testing.T) { test(t, newRig(t, members), closeConn) })
	}
}

// fullBacklogAddr returns the address of a listener whose backlog is full: a connection to it is
// neither established nor refused.
func fullBacklogAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	c, err := net.Dial("tcp", addr) // a backlog of 0 takes one connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return addr
}

const healthCheckSettings = `{"balancers":1,"zones":["a"],
 "classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"}],
 "tenants":[{"name":"water","share":1}],
 "limits":{"max-attempts":3,"cancel":true,"probes":true,"connect-timeout-ms":250},
 "report":{"names":["x0"],"source":"on_probe"},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// enableHealthChecks replaces the rig's core with one whose settings allow health checks.
func (g *rig) enableHealthChecks() {
	g.T.Helper()
	set, err := settings.Decode([]byte(healthCheckSettings))
	if err != nil {
		g.T.Fatal(err)
	}
	var next *netloop.Timer
	g.Core = core.New(core.Options{Settings: set, Seed: 7, Clock: g.Now, Watch: func() {},
		Probe: func(to *core.Member) { g.front.CheckHealth(to) },
		Wake: func(at time.Duration) {
			next.Stop()
			if at < math.MaxInt64 {
				next = g.After(at-g.Now(), func() { g.Core.Tick() })
			}
		}})
	g.front.Core = g.Core
	g.Core.UpdateMembers(policy.ListCached, g.Members)
}
