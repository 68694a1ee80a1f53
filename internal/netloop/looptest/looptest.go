// Package looptest is a test harness for network code. It runs an event loop round by round, on a
// clock that the test sets, and acts as the peers of the loop's connections.
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

// Timeout is how long a test waits for an expected event. Only a failing test waits that long.
const Timeout = 20 * time.Second

// Harness is an event loop with a clock that the test sets.
type Harness struct {
	*netloop.Loop
	T   testing.TB
	now time.Duration
}

// New returns a harness whose loop may have limit descriptors open.
func New(t testing.TB, limit int) *Harness {
	t.Helper()
	return NewWithSyscalls(t, limit, netloop.KernelSyscalls())
}

// NewWithSyscalls is like New, with the given system calls in place of the kernel's.
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

// Advance advances the clock and runs one round.
func (b *Harness) Advance(d time.Duration) {
	b.T.Helper()
	b.now += d
	b.RunOnce()
}

// AdvanceClock advances the clock without running a round. A handler may call it: its work takes time.
func (b *Harness) AdvanceClock(d time.Duration) { b.now += d }

// RunOnce runs one round without waiting.
func (b *Harness) RunOnce() {
	b.T.Helper()
	if err := b.Loop.RunOnce(0); err != nil {
		b.T.Fatal(err)
	}
}

// WaitFor runs rounds until done returns true, without advancing the clock. description names the
// expected event in the failure message.
func (b *Harness) WaitFor(description string, done func() bool) {
	b.T.Helper()
	for end := time.Now().Add(Timeout); !done(); {
		if time.Now().After(end) {
			b.T.Fatalf("timed out waiting for: %s", description)
		}
		b.RunOnce()
	}
}

// Peer is the test's end of a connection with the loop.
type Peer struct {
	net.Conn
	harness  *Harness
	Received []byte // received bytes that no Expect call has consumed
	EndErr   error  // how the connection ended; nil while it is open
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

// peer returns a Peer for c, which is closed at the end of the test.
func (b *Harness) peer(c net.Conn) *Peer {
	b.T.Cleanup(func() { c.Close() })
	return &Peer{Conn: c, harness: b}
}

// Server is a listener that the test runs outside the loop.
type Server struct {
	net.Listener
	harness *Harness
}

// Listen starts a Server on a loopback address.
func (b *Harness) Listen() *Server {
	b.T.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.T.Fatal(err)
	}
	b.T.Cleanup(func() { l.Close() })
	return &Server{l, b}
}

// Addr is the address that the server listens at.
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// Accept accepts the next connection. It runs the loop while it waits.
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

// Poll appends the bytes that have arrived to Received, and sets EndErr if the connection has ended.
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

// Send writes text to the connection.
func (p *Peer) Send(text string) {
	p.harness.T.Helper()
	if _, err := p.Write([]byte(text)); err != nil {
		p.harness.T.Fatalf("Send(%q): %v", text, err)
	}
}

// Expect waits until text, and nothing else, has been received, and clears Received.
func (p *Peer) Expect(text string) {
	p.harness.T.Helper()
	p.harness.WaitFor("bytes for the peer", func() bool { p.Poll(); return len(p.Received) >= len(text) || p.EndErr != nil })
	if string(p.Received) != text {
		p.harness.T.Fatalf("peer received %q (connection error: %v), want %q", p.Received, p.EndErr, text)
	}
	p.Received = nil
}

// ExpectEOF waits until the connection ends with EOF, without further bytes.
func (p *Peer) ExpectEOF() {
	p.harness.T.Helper()
	p.harness.WaitFor("EOF at the peer", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr != io.EOF || len(p.Received) > 0 {
		p.harness.T.Fatalf("connection ended with %v after bytes %q, want EOF after no bytes", p.EndErr, p.Received)
	}
}

// ExpectReset waits until the connection ends with an error other than EOF.
func (p *Peer) ExpectReset() {
	p.harness.T.Helper()
	p.harness.WaitFor("a reset at the peer", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr == io.EOF {
		p.harness.T.Fatal("connection ended with EOF, want a reset")
	}
}

// Reset closes the connection with a TCP reset.
func (p *Peer) Reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Conn.Close()
}

// CloseWrite closes the peer's sending side; the peer can still receive.
func (p *Peer) CloseWrite() { p.Conn.(*net.TCPConn).CloseWrite() }
