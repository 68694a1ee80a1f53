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

// TestEarlyEOF: the end of a peer that has sent more than is read is reported while its bytes are unread, once, to a handler that
// has asked for that, and to others only after the bytes.
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

// TestListenerCloseAcceptsBacklog: connections in the backlog when listening ends are accepted and can be answered.
func TestListenerCloseAcceptsBacklog(t *testing.T) {
	b := looptest.New(t, 8)
	var accepted []*netloop.Conn
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { c.SetHandler(&recordingHandler{}); accepted = append(accepted, c) })
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Dial(l.Addr()), b.Dial(l.Addr()) // no round of the loop until Close
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

// TestNoResetAfterAnswer: bytes that come after the last answer, and are unread when the connection is closed after lingering or as
// the loop ends, do not reset it.
func TestNoResetAfterAnswer(t *testing.T) {
	for name, closeConn := range map[string]func(*looptest.Harness, func()){
		"linger timeout": func(b *looptest.Harness, sendMore func()) {
			b.Loop.After(0, sendMore) // after the round's events, before the connection has lingered long enough
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

// closeWait is the state of a TCP connection that the other side has closed in order.
const closeWait = 8

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

// TestDescriptorReserve: connections of a reserve are dialled however many the rest of the loop has open, and no more than the
// reserve allows; one that has ended and lingers is closed for a new one.
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
	reserve.Dial(server.Addr(), time.Second, &recordingHandler{}) // closes the one that lingers
	b.RunOnce()
	second := &recordingHandler{}
	reserve.Dial(server.Addr(), time.Second, second)
	b.WaitFor("the second connection of the reserve", func() bool { return second.opened })
}
