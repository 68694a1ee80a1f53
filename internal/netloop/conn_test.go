package netloop_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// recordingHandler is a handler that records its events.
type recordingHandler struct {
	conn        *netloop.Conn
	consumable  int // bytes that it will still consume
	received    []byte
	lastOffered int // bytes passed to the last call of Data
	opened      bool
	endErrs     []error
}

func (e *recordingHandler) Open()    { e.opened = true }
func (e *recordingHandler) Drained() {}
func (e *recordingHandler) Data(b []byte) int {
	e.lastOffered = len(b)
	n := min(e.consumable, len(b))
	e.consumable -= n
	e.received = append(e.received, b[:n]...)
	return n
}
func (e *recordingHandler) End(err error) { e.endErrs = append(e.endErrs, err) }

// pair connects a peer to the loop and returns the handler of the loop's connection and the peer.
func pair(b *looptest.Harness) (*recordingHandler, *looptest.Peer) {
	e := &recordingHandler{}
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { e.conn = c; c.SetHandler(e) })
	if err != nil {
		b.T.Fatal(err)
	}
	p := b.Dial(l.Addr())
	b.WaitFor("a connection to be accepted", func() bool { return e.conn != nil })
	l.Close()
	b.RunOnce()
	return e, p
}

// FuzzConn takes random steps on a connection and checks it against a model of its states. While
// the connection is up, bytes arrive in order and none is lost. End is called at most once, and not
// after the handler's own Finish or Reset. The descriptor is closed in the end.
func FuzzConn(f *testing.F) {
	f.Add([]byte{0, 9, 1, 4, 2, 200, 5, 0, 3, 255, 7, 0})
	f.Add([]byte{0, 255, 0, 255, 1, 9, 6, 0, 2, 9, 7, 0})
	f.Add([]byte{2, 255, 2, 255, 2, 255, 8, 0, 4, 0})
	f.Add([]byte{0, 40, 4, 0, 1, 255, 7, 0})
	f.Add([]byte{3, 99, 0, 1, 5, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := looptest.New(t, 16)
		free := b.FreeDescriptors()
		e, p := pair(b)
		var sentByPeer, writtenByLoop []byte
		peerClosed, loopClosed, reset := false, false, false
		for i := 0; i+1 < len(steps) && i < 128; i += 2 {
			n := int(steps[i+1])
			chunk := bytes.Repeat([]byte{byte(i)}, n*16)
			switch steps[i] % 9 {
			case 0: // the peer sends, unless that could block
				if !peerClosed && !reset && len(sentByPeer)-len(e.received)+len(chunk) < netloop.DefaultReadLimit {
					p.Send(string(chunk))
					sentByPeer = append(sentByPeer, chunk...)
				}
			case 1: // the handler consumes more
				e.consumable += n * 16
				e.conn.ResumeReading()
			case 2: // the loop writes
				if !loopClosed && len(e.endErrs) == 0 && e.conn.WriteCapacity() >= len(chunk) {
					e.conn.Write(chunk)
					writtenByLoop = append(writtenByLoop, chunk...)
				}
			case 3:
				p.Poll()
			case 4:
				if !peerClosed {
					p.CloseWrite()
					peerClosed = true
				}
			case 5:
				p.Reset()
				peerClosed, reset = true, true
			case 6:
				e.conn.Finish()
				loopClosed = true
			case 7:
				b.RunOnce()
			case 8:
				e.conn.Reset()
				loopClosed, reset = true, true
			}
			if !bytes.HasPrefix(sentByPeer, e.received) {
				t.Fatalf("step %d: handler received %d bytes that are not a prefix of the %d sent",
					i, len(e.received), len(sentByPeer))
			}
			if len(e.endErrs) > 1 {
				t.Fatalf("step %d: End called %d times, want at most 1", i, len(e.endErrs))
			}
		}
		endsBeforeFinish := len(e.endErrs)
		if !reset {
			e.consumable = 1 << 20
			e.conn.ResumeReading()
			if !loopClosed {
				b.WaitFor("all bytes sent by the peer", func() bool { return bytes.Equal(e.received, sentByPeer) })
			}
			e.conn.Finish()
			if !peerClosed {
				b.WaitFor("all bytes written by the loop", func() bool { p.Poll(); return p.EndErr != nil })
				if p.EndErr != io.EOF || !bytes.Equal(p.Received, writtenByLoop) {
					t.Fatalf("peer received %d of %d bytes, then %v, want all bytes and EOF",
						len(p.Received), len(writtenByLoop), p.EndErr)
				}
			}
		}
		e.conn.Finish()
		p.Close()
		b.WaitFor("the descriptor to be closed", func() bool { b.Advance(time.Second); return b.FreeDescriptors() == free })
		if loopClosed && endsBeforeFinish == 0 && len(e.endErrs) > 0 {
			t.Fatal("End called after Finish or Reset")
		}
	})
}

// TestDial: a failed dial calls End, never from within Dial, and closes its descriptor whatever the
// failure.
func TestDial(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	tests := []struct {
		name, addr string
		limit      int
		want       func(error) bool
	}{
		{"refused", refused.Addr().String(), 8, func(err error) bool { return err != nil && err != io.EOF }},
		{"no address", "nowhere", 8, func(err error) bool { return err != nil }},
		{"no descriptors", refused.Addr().String(), 0, func(err error) bool { return errors.Is(err, netloop.ErrNoDescriptors) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := looptest.New(t, tt.limit)
			e := &recordingHandler{}
			e.conn = b.Loop.Dial(tt.addr, time.Second, e)
			if len(e.endErrs) > 0 {
				t.Fatal("End called from within Dial")
			}
			b.WaitFor("End after a failed dial", func() bool { return len(e.endErrs) > 0 })
			if !tt.want(e.endErrs[0]) || e.opened || b.FreeDescriptors() != tt.limit {
				t.Errorf("dial to %q: End errors %v, Open called %v, %d free descriptors, want %d",
					tt.addr, e.endErrs, e.opened, b.FreeDescriptors(), tt.limit)
			}
		})
	}
}

// TestDialAbandoned: if the handler calls Finish on a dial that has already failed, End is not
// called.
func TestDialAbandoned(t *testing.T) {
	b := looptest.New(t, 8)
	e := &recordingHandler{}
	b.Loop.Dial("nowhere", time.Second, e).Finish()
	b.RunOnce()
	b.RunOnce()
	if len(e.endErrs) > 0 {
		t.Errorf("End called with %v after Finish, want no call", e.endErrs)
	}
}

// TestListenerPausesWithoutDescriptors: a listener without a free descriptor pauses, and accepts
// the waiting connection once a descriptor is free.
func TestListenerPausesWithoutDescriptors(t *testing.T) {
	b := looptest.New(t, 2)
	var accepted []*netloop.Conn
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) { c.SetHandler(&recordingHandler{conn: c}); accepted = append(accepted, c) })
	if err != nil {
		t.Fatal(err)
	}
	b.Dial(l.Addr())
	b.Dial(l.Addr())
	b.WaitFor("the first connection", func() bool { return len(accepted) == 1 })
	b.RunOnce()
	b.Advance(time.Second)
	if len(accepted) != 1 || b.FreeDescriptors() != 0 {
		t.Fatalf("accepted %d connections with %d free descriptors, want 1 and 0", len(accepted), b.FreeDescriptors())
	}
	accepted[0].Reset()
	b.WaitFor("the second connection", func() bool { b.Advance(time.Second); return len(accepted) == 2 })
}

// TestEvict: when descriptors run short, evictable connections are ended in favour of new ones,
// beginning with the one that has been evictable for longest. Other connections stay. Guards
// against clients that lock out others by connections on which they send nothing.
func TestEvict(t *testing.T) {
	const limit = 16
	b := looptest.New(t, limit)
	var accepted []*netloop.Conn
	var evicted []int
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) {
		n := len(accepted)
		accepted = append(accepted, c)
		c.SetHandler(&recordingHandler{conn: c})
		c.SetEvictable(func() { evicted = append(evicted, n); c.Write([]byte("bye")) })
		if n == 0 {
			c.SetEvictable(nil)
		}
		if n == 3 {
			accepted[1].SetEvictable(func() { evicted = append(evicted, 1) })
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	var peers []*looptest.Peer
	for n := range 2 * limit {
		peers = append(peers, b.Dial(l.Addr()))
		b.WaitFor("a connection to be accepted", func() bool { return len(accepted) == n+1 })
		if b.FreeDescriptors() == 0 {
			t.Fatalf("no free descriptor after %d connections", n+1)
		}
	}
	if len(evicted) < limit || evicted[0] != 2 || evicted[1] != 3 || evicted[2] != 1 || evicted[3] != 4 {
		t.Errorf("evicted connections %v, want at least %d, beginning with 2, 3, 1, 4", evicted, limit)
	}
	peers[2].Expect("bye")
	peers[2].ExpectEOF()
	peers[0].Send("still here")
	accepted[0].Write([]byte("yes"))
	peers[0].Expect("yes")
}

// TestEvictNew: while descriptors are short and no other connection is evictable, a new connection
// is read before it can be evicted. Guards against a relay full of open flows that rejects every
// new client unread.
func TestEvictNew(t *testing.T) {
	const limit = 16
	b := looptest.New(t, limit)
	var last *recordingHandler
	full := false
	l, err := b.Loop.Listen("127.0.0.1:0", func(c *netloop.Conn) {
		last = &recordingHandler{conn: c, consumable: 100}
		c.SetHandler(last)
		if full {
			c.SetEvictable(func() { t.Error("a new connection was evicted before it was read") })
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for b.FreeDescriptors() >= limit/4 {
		b.Dial(l.Addr())
		b.RunOnce()
	}
	full = true
	p := b.Dial(l.Addr())
	p.Send("hello")
	b.WaitFor("the new connection's bytes", func() bool { return string(last.received) == "hello" })
}

// TestFlood: a peer that never stops sending is read only up to a limit in each round, and up to a
// limit in total after Finish. Guards against such a peer starving other connections.
func TestFlood(t *testing.T) {
	b := looptest.New(t, 8)
	e, p := pair(b)
	e.consumable = 1 << 30
	done := make(chan struct{})
	go func() {
		defer close(done)
		for chunk := make([]byte, 64<<10); ; {
			if _, err := p.Write(chunk); err != nil {
				return
			}
		}
	}()
	b.WaitFor("the first bytes", func() bool { return len(e.received) > 0 })
	for range 20 {
		before := len(e.received)
		b.RunOnce()
		if n := len(e.received) - before; n > 8*netloop.DefaultReadLimit {
			t.Fatalf("read %d bytes in one round, want at most %d", n, 8*netloop.DefaultReadLimit)
		}
	}
	e.conn.Finish()
	b.WaitFor("the descriptor to be closed", func() bool { return b.FreeDescriptors() == 8 }) // the clock does not advance
	<-done
}

// TestMemory: a single connection may buffer a large message. While all connections together exceed
// the memory limit, one that needs more buffer is ended, and one within its default share is not.
// Guards against memory exhaustion by large messages sent slowly over many connections.
func TestMemory(t *testing.T) {
	b := looptest.New(t, 16)
	b.SetMemoryLimit(128 << 10)
	largePair := func() (*recordingHandler, *looptest.Peer) {
		e, p := pair(b)
		e.conn.SetBufferLimits(1<<20, 1<<20)
		return e, p
	}
	var big []*recordingHandler
	for range 4 {
		e, p := largePair()
		big = append(big, e)
		p.Send(strings.Repeat("x", 60<<10))
		for range 40 {
			b.RunOnce()
		}
	}
	ended := 0
	for _, e := range big {
		if len(e.endErrs) > 0 && errors.Is(e.endErrs[0], netloop.ErrOverflow) {
			ended++
		}
	}
	if ended == 0 || ended == len(big) {
		t.Fatalf("%d of %d connections ended with ErrOverflow, want some but not all", ended, len(big))
	}
	small, p := largePair()
	p.Send("hello")
	small.consumable = 5
	b.WaitFor("a small message", func() bool { return string(small.received) == "hello" })
	for _, e := range big { // frees their memory
		e.conn.Reset()
	}
	e, p := largePair()
	p.Send(strings.Repeat("y", 60<<10))
	b.WaitFor("all bytes of a large message", func() bool { e.consumable = 1 << 20; e.conn.ResumeReading(); return len(e.received) == 60<<10 })
}

// TestTimers: timers run in order of their time, none early and none after Stop. A timer that
// reschedules itself at once runs only once in a round, so that the sockets are not starved.
func TestTimers(t *testing.T) {
	b := looptest.New(t, 1)
	var ran []int
	b.After(2*time.Second, func() { ran = append(ran, 2) })
	b.After(time.Second, func() { ran = append(ran, 1) })
	b.After(time.Second, func() { ran = append(ran, 9) }).Stop()
	var reschedule func()
	rounds := 0
	reschedule = func() { rounds++; b.After(0, reschedule) }
	reschedule()
	b.RunOnce()
	if len(ran) != 0 || rounds != 2 {
		t.Errorf("after one round: timers %v ran, want none; rescheduling timer ran %d times, want 2", ran, rounds)
	}
	b.Advance(3 * time.Second)
	if len(ran) != 2 || ran[0] != 1 || ran[1] != 2 {
		t.Errorf("timers ran in order %v, want [1 2]", ran)
	}
}

// TestPost: a function posted by another goroutine wakes the loop.
func TestPost(t *testing.T) {
	b := looptest.New(t, 1)
	go b.Post(b.Stop)
	if err := b.Run(); err != nil {
		t.Error(err)
	}
}
