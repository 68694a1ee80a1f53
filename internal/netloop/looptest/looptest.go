// Package looptest is the one helper of the tests of network code: it turns a
// loop by hand, on a clock that the test sets, and plays the other end of its
// sockets.
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

// Patience is how long a test waits for what must come; only a failing test
// waits that long.
const Patience = 20 * time.Second

// Bench is a loop and its clock.
type Bench struct {
	*netloop.Loop
	T   testing.TB
	now time.Duration
}

// New makes a loop that may hold limit descriptors.
func New(t testing.TB, limit int) *Bench {
	t.Helper()
	return NewFaulty(t, limit, netloop.Kernel())
}

// NewFaulty makes one that reaches the kernel by other calls.
func NewFaulty(t testing.TB, limit int, calls netloop.Calls) *Bench {
	t.Helper()
	b := &Bench{T: t, now: time.Hour}
	system := netloop.System
	netloop.System = calls
	l, err := netloop.New(func() time.Duration { return b.now }, limit)
	netloop.System = system
	if err != nil {
		t.Fatal(err)
	}
	b.Loop = l
	t.Cleanup(l.Close)
	return b
}

// Pass moves the clock on and runs what is due.
func (b *Bench) Pass(d time.Duration) {
	b.T.Helper()
	b.now += d
	b.Turn()
}

// Turn does one round without waiting.
func (b *Bench) Turn() {
	b.T.Helper()
	if err := b.Loop.Turn(0); err != nil {
		b.T.Fatal(err)
	}
}

// Until turns the loop until ok, the clock standing still.
func (b *Bench) Until(what string, ok func() bool) {
	b.T.Helper()
	for end := time.Now().Add(Patience); !ok(); {
		if time.Now().After(end) {
			b.T.Fatalf("waited in vain: %s", what)
		}
		b.Turn()
	}
}

// Peer is the other end of a connection.
type Peer struct {
	net.Conn
	b    *Bench
	Got  []byte // what has come
	Over error  // how it ended, nil while it has not
}

// Dial connects a peer to a listener of the loop.
func (b *Bench) Dial(addr string) *Peer {
	b.T.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.T.Fatal(err)
	}
	return b.peer(c)
}

func (b *Bench) peer(c net.Conn) *Peer {
	b.T.Cleanup(func() { c.Close() })
	return &Peer{Conn: c, b: b}
}

// Server is a listener of the test's.
type Server struct {
	net.Listener
	b *Bench
}

// Listen makes one on an address of the loopback.
func (b *Bench) Listen() *Server {
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

// Accept takes the next connection in, turning the loop meanwhile.
func (s *Server) Accept() *Peer {
	s.b.T.Helper()
	var c net.Conn
	s.b.Until("a connection", func() bool {
		s.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
		got, err := s.Listener.Accept()
		c = got
		return err == nil
	})
	return s.b.peer(c)
}

// Poll takes in what is there.
func (p *Peer) Poll() {
	buf := make([]byte, 64<<10)
	for p.Over == nil {
		p.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := p.Read(buf)
		p.Got = append(p.Got, buf[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		p.Over = err
	}
}

// Say sends text.
func (p *Peer) Say(text string) {
	p.b.T.Helper()
	if _, err := p.Write([]byte(text)); err != nil {
		p.b.T.Fatalf("sending %q: %v", text, err)
	}
}

// Want waits until text, and no more, has come, and forgets it.
func (p *Peer) Want(text string) {
	p.b.T.Helper()
	p.b.Until("bytes", func() bool { p.Poll(); return len(p.Got) >= len(text) || p.Over != nil })
	if string(p.Got) != text {
		p.b.T.Fatalf("got %q (ended: %v), want %q", p.Got, p.Over, text)
	}
	p.Got = nil
}

// WantEnd waits for a polite end.
func (p *Peer) WantEnd() {
	p.b.T.Helper()
	p.b.Until("the end", func() bool { p.Poll(); return p.Over != nil })
	if p.Over != io.EOF || len(p.Got) > 0 {
		p.b.T.Fatalf("ended with %v after %q, want a polite end", p.Over, p.Got)
	}
}

// WantReset waits for a reset.
func (p *Peer) WantReset() {
	p.b.T.Helper()
	p.b.Until("the reset", func() bool { p.Poll(); return p.Over != nil })
	if p.Over == io.EOF {
		p.b.T.Fatal("ended politely, want a reset")
	}
}

// Reset ends the connection by a reset.
func (p *Peer) Reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Conn.Close()
}

// Finish ends the peer's sending; it still reads.
func (p *Peer) Finish() { p.Conn.(*net.TCPConn).CloseWrite() }
