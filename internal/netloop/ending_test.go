package netloop_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// TestEarlyEOF: the peer has sent more bytes than the read limit, then EOF. With SetEarlyEOF, EOF
// is reported while the bytes are unread, and only once. Without it, EOF is reported after the
// bytes.
func TestEarlyEOF(t *testing.T) {
	for _, early := range []bool{true, false} {
		b := looptest.New(t, 8)
		e, p := pair(b)
		e.conn.SetEarlyEOF(early)
		p.Send(string(bytes.Repeat([]byte("x"), 2*netloop.DefaultReadLimit)))
		p.CloseWrite()
		b.WaitFor("a full read buffer", func() bool { return e.lastOffered == netloop.DefaultReadLimit })
		for range 10 {
			b.RunOnce()
		}
		if early {
			b.WaitFor("the early end", func() bool { return len(e.endErrs) > 0 })
		} else if len(e.endErrs) > 0 {
			t.Fatalf("End called with %v while bytes are unread, want no call yet", e.endErrs)
		}
		e.consumable = 1 << 20
		e.conn.ResumeReading()
		b.WaitFor("the end", func() bool { return len(e.endErrs) > 0 })
		if b.RunOnce(); len(e.endErrs) != 1 || e.endErrs[0] != io.EOF {
			t.Errorf("End called with %v, want one call with EOF", e.endErrs)
		}
		if !early && len(e.received) != 2*netloop.DefaultReadLimit {
			t.Errorf("received %d bytes before the end, want %d", len(e.received), 2*netloop.DefaultReadLimit)
		}
		e.conn.Reset()
	}
}

// TestListenerCloseAcceptsBacklog: Close of a listener accepts the connections in its backlog, and
// they can be answered.
func TestListenerCloseAcceptsBacklog(t *testing.T) {
	b := looptest.New(t, 8)
	var accepted []*netloop.Conn
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { c.SetHandler(&recordingHandler{}); accepted = append(accepted, c) })
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Dial(l.Addr()), b.Dial(l.Addr()) // the loop runs no round before Close
	second.Send("a request")
	l.Close()
	for _, c := range accepted {
		c.Write([]byte("answer"))
		c.Finish()
	}
	b.RunOnce()
	for _, p := range []*looptest.Peer{first, second} {
		p.Expect("answer")
		p.ExpectEOF()
	}
}

// TestNoResetAfterAnswer: bytes that arrive after the last answer and are unread when the
// connection is closed, after lingering or with the loop, do not reset the connection. A reset
// could destroy the answer.
func TestNoResetAfterAnswer(t *testing.T) {
	for name, closeConn := range map[string]func(*looptest.Harness, func()){
		"linger timeout": func(b *looptest.Harness, sendMore func()) {
			b.Loop.After(0, sendMore) // runs after the round's events and before the linger timeout
			b.Advance(time.Hour)
		},
		"loop closed": func(b *looptest.Harness, sendMore func()) {
			sendMore()
			b.Loop.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := looptest.New(t, 8)
			e, p := pair(b)
			e.conn.Write([]byte("answer"))
			e.conn.Finish()
			b.RunOnce()
			closeConn(b, func() { p.Send("more of the request") })
			p.Expect("answer")
			p.ExpectEOF()
			if state := tcpState(t, p); state != closeWait {
				t.Errorf("TCP state of the peer = %d, want %d (CLOSE_WAIT): the connection was reset", state, closeWait)
			}
		})
	}
}

// closeWait is TCP_CLOSE_WAIT: the other side has closed its sending side gracefully.
const closeWait = 8

// tcpState returns the kernel's state of the peer's TCP connection.
func tcpState(t *testing.T, p *looptest.Peer) (state uint8) {
	raw, err := p.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// TestDescriptorReserve: a dial within a reserve succeeds even if the loop has no descriptor left,
// and fails if the reserve is exhausted. A connection that lingers after Finish is closed to make
// room for a new one.
func TestDescriptorReserve(t *testing.T) {
	b := looptest.New(t, 1)
	server := b.Listen()
	b.Loop.Dial(server.Addr(), time.Second, &recordingHandler{})
	rejected := &recordingHandler{}
	b.Loop.Dial(server.Addr(), time.Second, rejected)
	b.WaitFor("a dial to fail at the loop's limit", func() bool { return len(rejected.endErrs) == 1 })
	reserve := b.Loop.NewDescriptorReserve(1)
	first := &recordingHandler{}
	c := reserve.Dial(server.Addr(), time.Second, first)
	b.WaitFor("the first connection of the reserve", func() bool { return first.opened })
	overLimit := &recordingHandler{}
	reserve.Dial(server.Addr(), time.Second, overLimit)
	b.WaitFor("a dial to fail at the reserve's limit", func() bool { return len(overLimit.endErrs) == 1 && overLimit.endErrs[0] == netloop.ErrNoDescriptors })
	c.Finish()
	reserve.Dial(server.Addr(), time.Second, &recordingHandler{}) // fails, and closes the lingering connection
	b.RunOnce()
	second := &recordingHandler{}
	reserve.Dial(server.Addr(), time.Second, second)
	b.WaitFor("the second connection of the reserve", func() bool { return second.opened })
}
