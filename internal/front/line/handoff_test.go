package line

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop/looptest"
)

// TestHandOffIdleAfterPong checks that a connection that was answered PONG keeps idleTimeout in the
// process that adopts it. With firstLineTimeout there, an idle client would be sent ERR and
// mistake it for the answer to its next line.
func TestHandOffIdleAfterPong(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f, next := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
	c := r.Dial(r.Serve(f.Accept))
	c.Send("PING\r\n")
	c.ExpectLines("PONG")
	f.HandOffIdle(1, func(p IdleConn, fd int) {
		next.AdoptIdle(p, fd)
	})
	r.Advance(firstLineTimeout + time.Second)
	c.Send("PING\r\n")
	c.ExpectLines("PONG")
	r.Advance(idleTimeout + time.Second)
	c.ExpectLines("BUSY")
	c.ExpectEOF()
}

// TestHandOffWithoutDescriptors checks that a flow continues in this process if there is a descriptor
// for one of its sides only. Otherwise its client would be cut off.
func TestHandOffWithoutDescriptors(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log)
	c, m := sendOpenTo(r, f)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	handedOff := 0
	withDescriptors(t, 1, func() {
		f.HandOffFlows(1, func(FlowHandoff, int, int) { handedOff++ })
	})
	if handedOff != 0 {
		t.Errorf("%d flows were handed off, want 0", handedOff)
	}
	c.Send("still here\r\n")
	m.ExpectLines("still here")
	m.Send("GOT\r\n")
	c.ExpectLines("GOT")
}

// withDescriptors runs f while the process may open only the given number of further descriptors.
func withDescriptors(t *testing.T, more uint64, f func()) {
	t.Helper()
	next, err := unix.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(next)
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next) + more, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	defer unix.Setrlimit(unix.RLIMIT_NOFILE, &before)
	f()
}
