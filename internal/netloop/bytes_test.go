package netloop_test

import (
	"bytes"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// passingErrors are what read and write may answer on a connection that is well.
var passingErrors = []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM}

// TestBytesFail: a connection on which reads and writes fail for a moment, or move a byte at a time, is well: all
// bytes pass, in order, both ways, and its polite end after them.
func TestBytesFail(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 16)
	plans := map[string][]looptest.Fault{
		"short": {{Call: "Read", Short: true}, {Call: "Write", Short: true}},
	}
	for _, errno := range passingErrors {
		plans["read "+unix.ErrnoName(errno)] = []looptest.Fault{{Call: "Read", Errno: errno, Times: 5}}
		plans["write "+unix.ErrnoName(errno)] = []looptest.Fault{{Call: "Write", Errno: errno, Times: 5}}
		plans["often "+unix.ErrnoName(errno)] = []looptest.Fault{{Call: "Read", Errno: errno, Part: 0.3}, {Call: "Write", Errno: errno, Part: 0.3},
			{Call: "Read", Short: true, Part: 0.3}, {Call: "Write", Short: true, Part: 0.3}}
	}
	for name, plan := range plans {
		for how, write := range map[string]func(*netloop.Conn, []byte){"Write": (*netloop.Conn).Write, "Queue": (*netloop.Conn).Queue} {
			t.Run(name+" "+how, func(t *testing.T) {
				b, f := faulty(t)
				e, p := pair(b)
				e.take = 1 << 20
				f.Set(plan...)
				p.Say(string(text))
				write(e.c, text[:100])
				write(e.c, text[100:])
				e.c.Finish()
				passUntil(b, "all bytes and the end", func() bool { p.Poll(); return p.Over != nil || len(e.over) > 0 })
				if !bytes.Equal(p.Got, text) {
					t.Errorf("%d of %d bytes came", len(p.Got), len(text))
				}
				p.Got = nil
				p.WantEnd()

				e, p = pair(b)
				e.take = 1 << 20
				f.Set(plan...)
				p.Say(string(text))
				p.Finish()
				passUntil(b, "the end", func() bool { return len(e.over) > 0 })
				if !bytes.Equal(e.got, text) {
					t.Errorf("%d of %d bytes came, ended with %v", len(e.got), len(text), e.over)
				}
			})
		}
	}
}

// TestConnectionBreaks: a broken connection is told once, whatever it shows as, and gives its descriptor back.
func TestConnectionBreaks(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EPIPE, unix.ECONNABORTED} {
		for _, call := range []string{"Read", "Write"} {
			t.Run(call+" "+unix.ErrnoName(errno), func(t *testing.T) {
				b, f := faulty(t)
				free := b.Free()
				e, p := pair(b)
				e.take = 1 << 20
				f.Set(looptest.Fault{Call: call, Errno: errno})
				p.Say("x")
				e.c.Write([]byte("y"))
				passUntil(b, "its end", func() bool { return len(e.over) > 0 })
				b.Pass(moment)
				if b.Turn(); len(e.over) != 1 || e.over[0] != errno || b.Free() != free {
					t.Errorf("ended with %v, %d descriptors left", e.over, free-b.Free())
				}
			})
		}
	}
}

// TestWaitInterrupted: waits that signals interrupt lose no event and no timer.
func TestWaitInterrupted(t *testing.T) {
	b, f := faulty(t)
	e, p := pair(b)
	e.take = 1 << 20
	f.Set(looptest.Fault{Call: "EpollWait", Errno: unix.EINTR, Part: 0.7})
	fired := 0
	for range 20 {
		b.Loop.After(0, func() { fired++ })
		p.Say("x")
		b.Pass(1)
	}
	passUntil(b, "all bytes", func() bool { return len(e.got) == 20 })
	if fired != 20 {
		t.Errorf("%d of 20 timers", fired)
	}
}

// TestNoDelay: small writes leave at once on every kind of connection: one the system still held back would go with a reset.
func TestNoDelay(t *testing.T) {
	calls := netloop.Kernel()
	set := map[int]bool{} // descriptors
	calls.SetsockoptInt = func(fd, level, option, value int) error {
		if level == unix.IPPROTO_TCP && option == unix.TCP_NODELAY && value == 1 {
			set[fd] = true
		}
		return unix.SetsockoptInt(fd, level, option, value)
	}
	b := looptest.NewFaulty(t, 16, calls)
	wants := func(what string, n int) {
		t.Helper()
		if len(set) != n {
			t.Errorf("%s: held back on all but %d connections, want %d", what, len(set), n)
		}
		clear(set)
	}
	e, _ := pair(b)
	wants("accepted", 1)
	fd, _ := e.c.Detach()
	b.Turn()
	b.Loop.Attach(fd, nil, e)
	wants("attached", 1)
	s := b.Listen()
	b.Loop.Dial(s.Addr(), moment, &end{})
	wants("dialled", 1)
}
