package netloop_test

import (
	"bytes"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// transientErrors are errors that read and write may return on an intact connection.
var transientErrors = []unix.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM}

// TestTransientReadWriteErrors: a connection stays intact while reads and writes fail for a moment
// or transfer one byte at a time. All bytes arrive in order in both directions, then EOF.
func TestTransientReadWriteErrors(t *testing.T) {
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
		for method, write := range map[string]func(*netloop.Conn, []byte){"Write": (*netloop.Conn).Write, "Queue": (*netloop.Conn).Queue} {
			t.Run(name+" "+method, func(t *testing.T) {
				b, f := newFaultyHarness(t)
				e, p := pair(b)
				e.consumable = 1 << 20
				f.Set(plan...)
				p.Send(string(text))
				write(e.conn, text[:100])
				write(e.conn, text[100:])
				e.conn.Finish()
				advanceUntil(b, "all bytes and EOF at the peer", func() bool { p.Poll(); return p.EndErr != nil || len(e.endErrs) > 0 })
				if !bytes.Equal(p.Received, text) {
					t.Errorf("peer received %d bytes, want the %d bytes sent", len(p.Received), len(text))
				}
				p.Received = nil
				p.ExpectEOF()

				e, p = pair(b)
				e.consumable = 1 << 20
				f.Set(plan...)
				p.Send(string(text))
				p.CloseWrite()
				advanceUntil(b, "End at the handler", func() bool { return len(e.endErrs) > 0 })
				if !bytes.Equal(e.received, text) {
					t.Errorf("handler received %d bytes, then End with %v, want the %d bytes sent",
						len(e.received), e.endErrs, len(text))
				}
			})
		}
	}
}

// TestConnectionBreaks: End is called once for a broken connection, whatever the error, and its
// descriptor is closed.
func TestConnectionBreaks(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EPIPE, unix.ECONNABORTED} {
		for _, call := range []string{"Read", "Write"} {
			t.Run(call+" "+unix.ErrnoName(errno), func(t *testing.T) {
				b, f := newFaultyHarness(t)
				free := b.FreeDescriptors()
				e, p := pair(b)
				e.consumable = 1 << 20
				f.Set(looptest.Fault{Syscall: call, Errno: errno})
				p.Send("x")
				e.conn.Write([]byte("y"))
				advanceUntil(b, "End at the handler", func() bool { return len(e.endErrs) > 0 })
				b.Advance(recoveryTimeout)
				if b.RunOnce(); len(e.endErrs) != 1 || e.endErrs[0] != errno || b.FreeDescriptors() != free {
					t.Errorf("End called with %v, want one call with %v; %d descriptors still open, want 0",
						e.endErrs, errno, free-b.FreeDescriptors())
				}
			})
		}
	}
}

// TestWaitInterrupted: no event and no timer is lost when signals interrupt epoll_wait.
func TestWaitInterrupted(t *testing.T) {
	b, f := newFaultyHarness(t)
	e, p := pair(b)
	e.consumable = 1 << 20
	f.Set(looptest.Fault{Syscall: "EpollWait", Errno: unix.EINTR, Probability: 0.7})
	fired := 0
	for range 20 {
		b.Loop.After(0, func() { fired++ })
		p.Send("x")
		b.Advance(1)
	}
	advanceUntil(b, "all bytes at the handler", func() bool { return len(e.received) == 20 })
	if fired != 20 {
		t.Errorf("%d timers ran, want 20", fired)
	}
}

// TestNoDelay: every kind of connection has TCP_NODELAY set. Without it the kernel may hold back a
// small write, and a reset would then discard it.
func TestNoDelay(t *testing.T) {
	calls := netloop.KernelSyscalls()
	noDelayFDs := map[int]bool{}
	calls.SetsockoptInt = func(fd, level, option, value int) error {
		if level == unix.IPPROTO_TCP && option == unix.TCP_NODELAY && value == 1 {
			noDelayFDs[fd] = true
		}
		return unix.SetsockoptInt(fd, level, option, value)
	}
	b := looptest.NewWithSyscalls(t, 16, calls)
	expectNoDelay := func(kind string, n int) {
		t.Helper()
		if len(noDelayFDs) != n {
			t.Errorf("%s: TCP_NODELAY set on %d connections, want %d", kind, len(noDelayFDs), n)
		}
		clear(noDelayFDs)
	}
	e, _ := pair(b)
	expectNoDelay("accepted", 1)
	fd, _ := e.conn.Detach()
	b.RunOnce()
	b.Loop.Attach(fd, nil, e)
	expectNoDelay("attached", 1)
	s := b.Listen()
	b.Loop.Dial(s.Addr(), recoveryTimeout, &recordingHandler{})
	expectNoDelay("dialled", 1)
}
