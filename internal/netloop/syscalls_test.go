package netloop_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// resourceErrors are errors that the system returns while it is out of resources.
var resourceErrors = []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}

// recoveryTimeout is the time by the loop's clock within which the loop has to recover from a
// transient fault.
const recoveryTimeout = time.Second

// newFaultyHarness returns a harness whose system calls fail according to the plan set on the
// returned Faults.
func newFaultyHarness(t *testing.T) (*looptest.Harness, *looptest.Faults) {
	f := looptest.NewFaults(1)
	return looptest.NewWithSyscalls(t, 64, f.Syscalls()), f
}

// listenAndGreet returns a listener that writes "hello" to each connection and closes it.
func listenAndGreet(b *looptest.Harness) *netloop.Listener {
	b.T.Helper()
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) {
		c.SetHandler(&recordingHandler{consumable: 1 << 20})
		c.Write([]byte("hello"))
		c.Finish()
	})
	if err != nil {
		b.T.Fatal(err)
	}
	return l
}

// advanceUntil advances the clock until done returns true, for at most recoveryTimeout.
func advanceUntil(b *looptest.Harness, description string, done func() bool) {
	b.T.Helper()
	for range int(recoveryTimeout / time.Millisecond) {
		if done() {
			return
		}
		b.Advance(time.Millisecond)
	}
	b.T.Fatalf("not within %v of the loop's clock: %s", recoveryTimeout, description)
}

// expectGreetings checks that each peer receives "hello" and EOF within recoveryTimeout by the
// loop's clock.
func expectGreetings(b *looptest.Harness, peers ...*looptest.Peer) {
	b.T.Helper()
	advanceUntil(b, "an answer for each peer", func() bool {
		for _, p := range peers {
			if p.Poll(); string(p.Received) != "hello" && p.EndErr == nil {
				return false
			}
		}
		return true
	})
	for _, p := range peers {
		p.Expect("hello")
		p.ExpectEOF()
	}
}

// acceptErrors are the errors that accept(2) can return, its own and those of the network below.
var acceptErrors = append([]unix.Errno{unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
	unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EINVAL}, resourceErrors...)

// TestAcceptFails: transient errors of accept do not stop a listener, neither in normal operation
// nor during Close. While the errors last, accept is retried, but the number of calls is limited.
func TestAcceptFails(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			b, f := newFaultyHarness(t)
			l := listenAndGreet(b)
			first, second := b.Dial(l.Addr()), b.Dial(l.Addr())
			f.Set(looptest.Fault{Syscall: "Accept", Errno: errno, MaxCount: 5})
			expectGreetings(b, first, second)
			f.Set(looptest.Fault{Syscall: "Accept", Errno: errno})
			before, third := f.Injected("Accept"), b.Dial(l.Addr())
			const rounds = 200
			for range rounds {
				b.Advance(time.Millisecond)
			}
			maxCalls := rounds * 16 // acceptBurst calls in each round
			if slices.Contains(resourceErrors, errno) {
				maxCalls = rounds / 10 // a pause follows each call while the system is out of resources
			}
			if calls := f.Injected("Accept") - before; calls < 2 || calls > maxCalls {
				t.Errorf("accept called %d times in %d ms, want 2 to %d", calls, rounds, maxCalls)
			}
			f.Set()
			expectGreetings(b, third)
		})
		t.Run(unix.ErrnoName(errno)+" during Close", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			l := listenAndGreet(b)
			first, second := b.Dial(l.Addr()), b.Dial(l.Addr())
			f.Set(looptest.Fault{Syscall: "Accept", Errno: errno, MaxCount: 5})
			l.Close()
			expectGreetings(b, first, second)
			advanceUntil(b, "the listener to be closed", l.Closed)
		})
	}
}

// TestEpollCtlFails: if epoll_ctl fails for a moment, the descriptor is added to epoll afterwards. No
// connection is lost or waits forever.
func TestEpollCtlFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.ENOSPC} {
		transientFault := looptest.Fault{Syscall: "EpollCtl", Errno: errno, MaxCount: 5}
		t.Run(unix.ErrnoName(errno)+" accepted connection", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			e := &recordingHandler{consumable: 1 << 20}
			l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { e.conn = c; c.SetHandler(e) })
			if err != nil {
				t.Fatal(err)
			}
			p := b.Dial(l.Addr())
			p.Send("a request")
			f.Set(transientFault)
			advanceUntil(b, "the request", func() bool { return string(e.received) == "a request" })
		})
		t.Run(unix.ErrnoName(errno)+" dialled connection", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			s := b.Listen()
			e := &recordingHandler{consumable: 1 << 20}
			f.Set(transientFault)
			e.conn = b.Loop.Dial(s.Addr(), recoveryTimeout, e)
			p := s.Accept()
			advanceUntil(b, "the dial to complete", func() bool { return e.opened || len(e.endErrs) > 0 })
			if len(e.endErrs) > 0 {
				t.Fatalf("dial ended with %v, want a connection", e.endErrs)
			}
			e.conn.Write([]byte("a line"))
			p.Expect("a line")
		})
		t.Run(unix.ErrnoName(errno)+" reading resumed", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			e, p := pair(b)
			p.Send("x")
			b.WaitFor("the first byte", func() bool { return e.lastOffered == 1 })
			e.conn.PauseReading()
			p.Send("more")
			b.RunOnce() // from here on no epoll_ctl call is needed
			b.RunOnce()
			f.Set(transientFault)
			e.consumable = 1 << 20
			e.conn.ResumeReading()
			advanceUntil(b, "all bytes", func() bool { return string(e.received) == "xmore" })
		})
		t.Run(unix.ErrnoName(errno)+" listener resumed", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			l := listenAndGreet(b)
			l.SetPaused(true)
			p := b.Dial(l.Addr())
			f.Set(transientFault)
			l.SetPaused(false)
			expectGreetings(b, p)
		})
		t.Run(unix.ErrnoName(errno)+" attached connection", func(t *testing.T) {
			b, f := newFaultyHarness(t)
			e, p := pair(b)
			fd, unread := e.conn.Detach()
			attached := &recordingHandler{consumable: 1 << 20}
			f.Set(transientFault)
			b.Loop.Attach(fd, unread, attached)
			p.Send("more")
			advanceUntil(b, "bytes sent after the attach", func() bool { return string(attached.received) == "more" })
		})
	}
}

// TestConnectFails: a dial that fails for a reason on this host ends with ErrNoDescriptors, and one
// that fails because of the peer does not. A connect that a signal has interrupted continues.
func TestConnectFails(t *testing.T) {
	for _, c := range []struct {
		call          string
		errnos        []unix.Errno
		localShortage bool
	}{
		{"Socket", resourceErrors, true},
		{"Connect", []unix.Errno{unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.ECONNABORTED, unix.EPERM, unix.EACCES, unix.EADDRINUSE}, true},
		{"Connect", []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH}, false},
	} {
		for _, errno := range c.errnos {
			t.Run(fmt.Sprint(c.call, " ", unix.ErrnoName(errno)), func(t *testing.T) {
				b, f := newFaultyHarness(t)
				s, free := b.Listen(), b.FreeDescriptors()
				f.Set(looptest.Fault{Syscall: c.call, Errno: errno, MaxCount: 1})
				e := &recordingHandler{}
				b.Loop.Dial(s.Addr(), recoveryTimeout, e)
				advanceUntil(b, "the dial to fail", func() bool { return len(e.endErrs) > 0 })
				if err := e.endErrs[0]; errors.Is(err, netloop.ErrNoDescriptors) != c.localShortage || !errors.Is(err, errno) {
					t.Errorf("dial failed with %v, want it to wrap %v, and ErrNoDescriptors: %v",
						err, errno, c.localShortage)
				}
				if b.RunOnce(); b.FreeDescriptors() != free {
					t.Errorf("%d descriptors still open after the dial, want 0", free-b.FreeDescriptors())
				}
			})
		}
	}
	t.Run("EINTR", func(t *testing.T) {
		b, f := newFaultyHarness(t)
		s := b.Listen()
		f.Set(looptest.Fault{Syscall: "Connect", Errno: unix.EINTR, MaxCount: 1})
		e := &recordingHandler{}
		b.Loop.Dial(s.Addr(), recoveryTimeout, e)
		advanceUntil(b, "the dial to complete", func() bool { return e.opened || len(e.endErrs) > 0 })
		if len(e.endErrs) > 0 {
			t.Errorf("dial ended with %v, want a connection", e.endErrs)
		}
	})
}
