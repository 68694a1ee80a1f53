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
	for _, first := range []bool{true, false} {
		b := looptest.New(t, 8)
		e, p := pair(b)
		e.c.SetEarlyEOF(first)
		p.Send(string(bytes.Repeat([]byte("x"), 2*netloop.DefaultReadLimit)))
		p.CloseWrite()
		b.WaitFor("a full buffer", func() bool { return e.offers == netloop.DefaultReadLimit })
		for range 10 {
			b.RunOnce()
		}
		if first {
			b.WaitFor("the end", func() bool { return len(e.over) > 0 })
		} else if len(e.over) > 0 {
			t.Fatalf("told of the end before the bytes: %v", e.over)
		}
		e.take = 1 << 20
		e.c.ResumeReading()
		b.WaitFor("the end", func() bool { return len(e.over) > 0 })
		if b.RunOnce(); len(e.over) != 1 || e.over[0] != io.EOF {
			t.Errorf("ended with %v", e.over)
		}
		if !first && len(e.got) != 2*netloop.DefaultReadLimit {
			t.Errorf("%d bytes before the end", len(e.got))
		}
		e.c.Reset()
	}
}

// TestListenerCloseAcceptsBacklog: connections in the backlog when listening ends are accepted and can be answered.
func TestListenerCloseAcceptsBacklog(t *testing.T) {
	b := looptest.New(t, 8)
	var taken []*netloop.Conn
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { c.SetHandler(&end{}); taken = append(taken, c) })
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Dial(l.Addr()), b.Dial(l.Addr()) // no round of the loop until Close
	second.Send("a request")
	l.Close()
	for _, c := range taken {
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
	for name, over := range map[string]func(*looptest.Harness, func()){
		"time": func(b *looptest.Harness, say func()) {
			b.Loop.After(0, say) // after the round's events, before the connection has lingered long enough
			b.Advance(time.Hour)
		},
		"loop end": func(b *looptest.Harness, say func()) {
			say()
			b.Loop.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := looptest.New(t, 8)
			e, p := pair(b)
			e.c.Write([]byte("answer"))
			e.c.Finish()
			b.RunOnce()
			over(b, func() { p.Send("more of the request") })
			p.Expect("answer")
			p.ExpectEOF()
			if state := tcpState(t, p); state != closeWait {
				t.Errorf("TCP state %d: reset", state)
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
	other := b.Listen()
	b.Loop.Dial(other.Addr(), time.Second, &end{})
	full := &end{}
	b.Loop.Dial(other.Addr(), time.Second, full)
	b.WaitFor("exhaustion", func() bool { return len(full.over) == 1 })
	reserve := b.Loop.NewDescriptorReserve(1)
	kept := &end{}
	c := reserve.Dial(other.Addr(), time.Second, kept)
	b.WaitFor("a connection", func() bool { return kept.opened })
	over := &end{}
	reserve.Dial(other.Addr(), time.Second, over)
	b.WaitFor("the reserve's end", func() bool { return len(over.over) == 1 && over.over[0] == netloop.ErrNoDescriptors })
	c.Finish()
	reserve.Dial(other.Addr(), time.Second, &end{}) // closes the one that lingers
	b.RunOnce()
	again := &end{}
	reserve.Dial(other.Addr(), time.Second, again)
	b.WaitFor("a connection again", func() bool { return again.opened })
}
