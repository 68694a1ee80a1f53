// Package looptest is the harness for tests of network code: it runs a loop round by round, on a clock that the test sets, and
// plays the peers of its connections.
package looptest

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"dahliarudder/internal/netloop"
)

// Timeout is how long a test waits for what must come; only a failing test waits that long.
const Timeout = 20 * time.Second

// Harness is a loop and its clock.
type Harness struct {
	*netloop.Loop
	T   testing.TB
	now time.Duration
}

// New makes a loop that may have limit descriptors open.
func New(t testing.TB, limit int) *Harness {
	t.Helper()
	return NewWithSyscalls(t, limit, netloop.KernelSyscalls())
}

// NewWithSyscalls makes one with other system calls than the kernel's.
func NewWithSyscalls(t testing.TB, limit int, calls netloop.Syscalls) *Harness {
	t.Helper()
	b := &Harness{T: t, now: time.Hour}
	previous := netloop.DefaultSyscalls
	netloop.DefaultSyscalls = calls
	l, err := netloop.New(func() time.Duration { return b.now }, limit)
	netloop.DefaultSyscalls = previous
	if err != nil {
		t.Fatal(err)
	}
	b.Loop = l
	t.Cleanup(l.Close)
	return b
}

// Advance moves the clock on and runs one round.
func (b *Harness) Advance(d time.Duration) {
	b.T.Helper()
	b.now += d
	b.RunOnce()
}

// RunOnce runs one round without waiting.
func (b *Harness) RunOnce() {
	b.T.Helper()
	if err := b.Loop.RunOnce(0); err != nil {
		b.T.Fatal(err)
	}
}

// WaitFor runs rounds until ok, without moving the clock.
func (b *Harness) WaitFor(description string, done func() bool) {
	b.T.Helper()
	for end := time.Now().Add(Timeout); !done(); {
		if time.Now().After(end) {
			b.T.Fatalf("timed out waiting for: %s", description)
		}
		b.RunOnce()
	}
}

// Peer is the other end of a connection.
type Peer struct {
	net.Conn
	harness  *Harness
	Received []byte // what has come and was not expected yet
	EndErr   error  // how it ended; nil while it has not
}

// Dial connects a peer to a listener of the loop.
func (b *Harness) Dial(addr string) *Peer {
	b.T.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.T.Fatal(err)
	}
	return b.peer(c)
}

func (b *Harness) peer(c net.Conn) *Peer {
	b.T.Cleanup(func() { c.Close() })
	return &Peer{Conn: c, harness: b}
}

// Server is a listener of the test's own.
type Server struct {
	net.Listener
	harness *Harness
}

// Listen makes one on a loopback address.
func (b *Harness) Listen() *Server {
	b.T.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.T.Fatal(err)
	}
	b.T.Cleanup(func() { l.Close() })
	return &Server{l, b}
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// Accept accepts the next connection, running the loop meanwhile.
func (s *Server) Accept() *Peer {
	s.harness.T.Helper()
	var c net.Conn
	s.harness.WaitFor("a connection", func() bool {
		s.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
		got, err := s.Listener.Accept()
		c = got
		return err == nil
	})
	return s.harness.peer(c)
}

// Poll reads what has come.
func (p *Peer) Poll() {
	buf := make([]byte, 64<<10)
	for p.EndErr == nil {
		p.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := p.Read(buf)
		p.Received = append(p.Received, buf[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		p.EndErr = err
	}
}

// Send sends text.
func (p *Peer) Send(text string) {
	p.harness.T.Helper()
	if _, err := p.Write([]byte(text)); err != nil {
		p.harness.T.Fatalf("sending %q: %v", text, err)
	}
}

// Expect waits until text, and no more, has come, and clears Received.
func (p *Peer) Expect(text string) {
	p.harness.T.Helper()
	p.harness.WaitFor("bytes", func() bool { p.Poll(); return len(p.Received) >= len(text) || p.EndErr != nil })
	if string(p.Received) != text {
		p.harness.T.Fatalf("got %q (ended: %v), want %q", p.Received, p.EndErr, text)
	}
	p.Received = nil
}

// ExpectEOF waits for an orderly end.
func (p *Peer) ExpectEOF() {
	p.harness.T.Helper()
	p.harness.WaitFor("the end", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr != io.EOF || len(p.Received) > 0 {
		p.harness.T.Fatalf("ended with %v after %q, want an orderly end", p.EndErr, p.Received)
	}
}

// ExpectReset waits for a reset.
func (p *Peer) ExpectReset() {
	p.harness.T.Helper()
	p.harness.WaitFor("the reset", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr == io.EOF {
		p.harness.T.Fatal("ended in order, want a reset")
	}
}

// Reset ends the connection by a reset.
func (p *Peer) Reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Conn.Close()
}

// CloseWrite closes the peer's side; it still reads.
func (p *Peer) CloseWrite() { p.Conn.(*net.TCPConn).CloseWrite() }
