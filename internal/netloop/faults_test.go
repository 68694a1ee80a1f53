package netloop_test

import (
	"bytes"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// transientErrors are what read and write may return on a connection that is intact.
var transientErrors = []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM}

// TestBytesFail: a connection on which reads and writes fail for a moment, or move a byte at a time, stays intact: all bytes pass,
// in order, both ways, and its end after them.
func TestBytesFail(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 16)
	plans := map[string][]looptest.Fault{
		"short": {{Syscall: "Read", Short: true}, {Syscall: "Write", Short: true}},
	}
	for _, errno := range transientErrors {
		plans["read "+unix.ErrnoName(errno)] = []looptest.Fault{{Syscall: "Read", Errno: errno, MaxCount: 5}}
		plans["write "+unix.ErrnoName(errno)] = []looptest.Fault{{Syscall: "Write", Errno: errno, MaxCount: 5}}
		plans["often "+unix.ErrnoName(errno)] = []looptest.Fault{{Syscall: "Read", Errno: errno, Probability: 0.3}, {Syscall: "Write", Errno: errno, Probability: 0.3},
			{Syscall: "Read", Short: true, Probability: 0.3}, {Syscall: "Write", Short: true, Probability: 0.3}}
	}
	for name, plan := range plans {
		for how, write := range map[string]func(*netloop.Conn, []byte){"Write": (*netloop.Conn).Write, "Queue": (*netloop.Conn).Queue} {
			t.Run(name+" "+how, func(t *testing.T) {
				b, f := faulty(t)
				e, p := pair(b)
				e.take = 1 << 20
				f.Set(plan...)
				p.Send(string(text))
				write(e.c, text[:100])
				write(e.c, text[100:])
				e.c.Finish()
				passUntil(b, "all bytes and the end", func() bool { p.Poll(); return p.EndErr != nil || len(e.over) > 0 })
				if !bytes.Equal(p.Received, text) {
					t.Errorf("%d of %d bytes came", len(p.Received), len(text))
				}
				p.Received = nil
				p.ExpectEOF()

				e, p = pair(b)
				e.take = 1 << 20
				f.Set(plan...)
				p.Send(string(text))
				p.CloseWrite()
				passUntil(b, "the end", func() bool { return len(e.over) > 0 })
				if !bytes.Equal(e.got, text) {
					t.Errorf("%d of %d bytes came, ended with %v", len(e.got), len(text), e.over)
				}
			})
		}
	}
}

// TestConnectionBreaks: a broken connection is reported once, whatever the error, and gives its descriptor back.
func TestConnectionBreaks(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EPIPE, unix.ECONNABORTED} {
		for _, call := range []string{"Read", "Write"} {
			t.Run(call+" "+unix.ErrnoName(errno), func(t *testing.T) {
				b, f := faulty(t)
				free := b.FreeDescriptors()
				e, p := pair(b)
				e.take = 1 << 20
				f.Set(looptest.Fault{Syscall: call, Errno: errno})
				p.Send("x")
				e.c.Write([]byte("y"))
				passUntil(b, "its end", func() bool { return len(e.over) > 0 })
				b.Advance(moment)
				if b.RunOnce(); len(e.over) != 1 || e.over[0] != errno || b.FreeDescriptors() != free {
					t.Errorf("ended with %v, %d descriptors left", e.over, free-b.FreeDescriptors())
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
	f.Set(looptest.Fault{Syscall: "EpollWait", Errno: unix.EINTR, Probability: 0.7})
	fired := 0
	for range 20 {
		b.Loop.After(0, func() { fired++ })
		p.Send("x")
		b.Advance(1)
	}
	passUntil(b, "all bytes", func() bool { return len(e.got) == 20 })
	if fired != 20 {
		t.Errorf("%d of 20 timers", fired)
	}
}

// TestNoDelay: small writes leave at once on every kind of connection: one that the kernel still delayed would be lost by a reset.
func TestNoDelay(t *testing.T) {
	calls := netloop.KernelSyscalls()
	set := map[int]bool{} // descriptors
	calls.SetsockoptInt = func(fd, level, option, value int) error {
		if level == unix.IPPROTO_TCP && option == unix.TCP_NODELAY && value == 1 {
			set[fd] = true
		}
		return unix.SetsockoptInt(fd, level, option, value)
	}
	b := looptest.NewWithSyscalls(t, 16, calls)
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
	b.RunOnce()
	b.Loop.Attach(fd, nil, e)
	wants("attached", 1)
	s := b.Listen()
	b.Loop.Dial(s.Addr(), moment, &end{})
	wants("dialled", 1)
}
