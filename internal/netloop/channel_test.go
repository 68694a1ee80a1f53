package netloop_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// channelEnd is one end of a channel. It records the messages, descriptors and the end that it
// receives.
type channelEnd struct {
	channel  *netloop.Channel
	messages [][]byte
	fds      []int
	endErr   error
}

// serve serves fd as this end of the channel.
func (e *channelEnd) serve(b *looptest.Harness, fd int) {
	b.T.Helper()
	var err error
	e.channel, err = b.ServeChannel(fd, func(text []byte, fds []int) { e.messages, e.fds = append(e.messages, text), append(e.fds, fds...) },
		func(err error) { e.endErr = err })
	if err != nil {
		b.T.Fatal(err)
	}
}

// connectChannel returns both ends of a channel. Its path is longer than a Unix socket address can
// hold.
func connectChannel(b *looptest.Harness) (near, far *channelEnd) {
	b.T.Helper()
	dir := filepath.Join(b.T.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(dir, 0o700); err != nil {
		b.T.Fatal(err)
	}
	path := filepath.Join(dir, "sock")
	if _, err := netloop.DialChannel(path, looptest.Timeout); !os.IsNotExist(err) {
		b.T.Errorf("DialChannel without a listener = %v, want a not-exist error", err)
	}
	near, far = &channelEnd{}, &channelEnd{}
	for range 2 { // the second listener replaces the socket file of the first
		l, err := b.ListenChannel(path, func(fd int) { near.serve(b, fd) })
		if err != nil {
			b.T.Fatal(err)
		}
		b.T.Cleanup(l.Close)
	}
	fd, err := netloop.DialChannel(path, looptest.Timeout)
	if err != nil {
		b.T.Fatal(err)
	}
	far.serve(b, fd)
	b.WaitFor("the channel to be accepted", func() bool { return near.channel != nil })
	return near, far
}

// TestChannel: messages arrive complete, in order and with their descriptors, even when the kernel
// cannot take all of them at once. When one end closes, the other end's onEnd is called and its own
// is not.
func TestChannel(t *testing.T) {
	b := looptest.New(t, 32)
	near, far := connectChannel(b)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	const count = 300
	for n := range count {
		text := bytes.Repeat([]byte(fmt.Sprintf("%03d", n)), 1000)
		if err := near.channel.Send(text, int(w.Fd())); err != nil {
			t.Fatal(err)
		}
		if n%100 == 99 { // the kernel limits the number of descriptors in flight
			b.WaitFor("all messages sent so far", func() bool { return len(far.messages) == n+1 })
		}
	}
	for n, text := range far.messages {
		if !bytes.Equal(text, bytes.Repeat([]byte(fmt.Sprintf("%03d", n)), 1000)) {
			t.Fatalf("message %d = %.20q with %d bytes, want %q with 3000 bytes",
				n, text, len(text), fmt.Sprintf("%03d...", n))
		}
	}
	w.Close()
	if len(far.fds) != count {
		t.Fatalf("received %d descriptors, want %d", len(far.fds), count)
	}
	unix.Write(far.fds[0], []byte("by the passed end"))
	for _, fd := range far.fds {
		unix.Close(fd)
	}
	if text, err := io.ReadAll(r); err != nil || string(text) != "by the passed end" {
		t.Errorf("pipe read = %q, %v, want %q and EOF: a write end is still open or was not passed",
			text, err, "by the passed end")
	}
	if near.channel.Send(make([]byte, 1<<20)) == nil {
		t.Error("Send of a 1 MiB message succeeded, want an error: it is over the limit")
	}
	near.channel.Close()
	b.WaitFor("the end of the channel at the far end", func() bool { return far.endErr != nil })
	if far.channel.Send([]byte("more")) == nil || near.endErr != nil {
		t.Errorf("after Close of the near end: Send at the far end succeeded, or the near end's onEnd was called (%v)",
			near.endErr)
	}
}

// TestDetach: a connection that is detached from the loop and attached again loses no bytes, not
// even those that its handler has not consumed, and its peer notices nothing. A connection that is
// ending cannot be detached.
func TestDetach(t *testing.T) {
	b := looptest.New(t, 16)
	e, p := pair(b)
	p.Send("hello, ")
	b.WaitFor("the first bytes", func() bool { return e.lastOffered == len("hello, ") })
	fd, unread := e.conn.Detach()
	if b.RunOnce(); fd < 0 || string(unread) != "hello, " || b.OpenDescriptors() != 0 {
		t.Fatalf("Detach = descriptor %d, unread %q, with %d descriptors still open; want a descriptor, %q, 0",
			fd, unread, b.OpenDescriptors(), "hello, ")
	}
	p.Send("world")
	attached := &recordingHandler{consumable: 1 << 10}
	c := b.Attach(fd, unread, attached)
	c.ResumeReading()
	b.WaitFor("all bytes at the new handler", func() bool { return string(attached.received) == "hello, world" })
	c.Write([]byte("back"))
	p.Expect("back")
	c.Finish()
	if fd, _ := c.Detach(); fd >= 0 {
		t.Error("Detach succeeded on a connection that is ending")
	}
	p.ExpectEOF()
	if len(e.endErrs) > 0 {
		t.Errorf("End called on the first handler with %v, want no call", e.endErrs)
	}
}

// TestInherit: when two listeners share a socket, connections in its backlog survive if one
// listener is closed while both are paused; the other accepts them. Guards against closing the last
// copy of a socket, which resets the connections in its backlog.
func TestInherit(t *testing.T) {
	b := looptest.New(t, 32)
	var acceptedBy []string
	recordAccept := func(name string) func(*netloop.Conn) {
		return func(c *netloop.Conn) { acceptedBy = append(acceptedBy, name); c.SetHandler(&recordingHandler{}) }
	}
	original, err := b.Loop.Listen("127.0.0.1:0", recordAccept("original"))
	if err != nil {
		t.Fatal(err)
	}
	duplicate, err := unix.FcntlInt(uintptr(original.FD()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !netloop.IsBoundTo(duplicate, original.Addr()) || netloop.IsBoundTo(duplicate, "127.0.0.1:1") || !netloop.IsBoundTo(duplicate, "127.0.0.1:0") {
		t.Errorf("IsBoundTo does not match the listening address %s correctly", original.Addr())
	}
	inherited, err := b.ListenInherited(duplicate, recordAccept("inherited"))
	if err != nil {
		t.Fatal(err)
	}
	original.SetPaused(true)
	inherited.SetPaused(true)
	for range 5 {
		b.Dial(original.Addr())
	}
	b.RunOnce()
	if len(acceptedBy) > 0 {
		t.Errorf("connections accepted by %v while both listeners were paused", acceptedBy)
	}
	original.Close()
	b.RunOnce()
	inherited.SetPaused(false)
	b.WaitFor("the connections in the backlog", func() bool { return len(acceptedBy) == 5 })
	if strings.Join(acceptedBy, "") != strings.Repeat("inherited", 5) {
		t.Errorf("connections accepted by %v, want the inherited listener for all", acceptedBy)
	}
}

// TestChannelResetAfterMessages: messages that the other process sent before it exited are
// received, even if it left messages to it unread. In that case the kernel reports a reset ahead of
// the messages.
func TestChannelResetAfterMessages(t *testing.T) {
	for name, sendAfterClose := range map[string]bool{"end detected by receiving": false, "end detected by sending": true} {
		b := looptest.New(t, 32)
		near := &channelEnd{}
		path := filepath.Join(t.TempDir(), "sock")
		l, err := b.ListenChannel(path, func(fd int) { near.serve(b, fd) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		far, err := netloop.DialChannel(path, looptest.Timeout)
		if err != nil {
			t.Fatal(err)
		}
		b.WaitFor("the channel to be accepted", func() bool { return near.channel != nil })
		if err := near.channel.Send([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		for n := range 3 {
			if err := netloop.SendBlocking(far, fmt.Append(nil, "note ", n)); err != nil {
				t.Fatal(err)
			}
		}
		unix.Close(far) // before the loop runs a round
		if sendAfterClose {
			near.channel.Send([]byte("more"))
		}
		b.WaitFor("the end of the channel", func() bool { return near.endErr != nil })
		if got := string(bytes.Join(near.messages, []byte(","))); got != "note 0,note 1,note 2" {
			t.Errorf("%s: received %q before the end (%v), want all three notes", name, got, near.endErr)
		}
	}
}
