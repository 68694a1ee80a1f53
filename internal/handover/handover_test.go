package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/internal/pool"
)

// serveOlderProcess acts as the older process: it answers Hello with the state and one descriptor.
// It returns the messages that it receives.
func serveOlderProcess(h *looptest.Harness, dir string, state *State) (received *[]*Message) {
	received = &[]*Message{}
	_, err := h.ListenChannel(Path(dir), func(fd int) {
		var p *Peer
		p, _ = NewPeer(h.Loop, fd, func(m *Message, _ []int) {
			*received = append(*received, m)
			if m.Hello > 0 {
				if err := p.Send(Message{State: state}, 0); err != nil {
					h.T.Error(err)
				}
			}
		}, func(error) {})
	})
	if err != nil {
		h.T.Fatal(err)
	}
	return received
}

// requestState calls RequestState while the event loop of the older process runs.
func requestState(h *looptest.Harness, dir string) (fd int, state *State, fds []int, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fd, state, fds, err = RequestState(dir)
	}()
	h.WaitFor("RequestState to return", func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return fd, state, fds, err
}

// TestRequestStateDyingProcess: a process that is being killed resets connections to it until its
// socket is closed. RequestState retries and then reports that there is no older process, so that
// the newer one starts without its state.
func TestRequestStateDyingProcess(t *testing.T) {
	h := looptest.New(t, 16)
	dir := t.TempDir()
	requests := 0
	var l *netloop.Listener
	l, err := h.ListenChannel(Path(dir), func(fd int) {
		unix.Close(fd) // with unread data, which resets the connection
		if requests++; requests == 3 {
			l.Close()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if fd, state, _, err := requestState(h, dir); fd >= 0 || state != nil || err != nil || requests != 3 {
		t.Errorf("RequestState = fd %d, state %v, error %v after %d requests; want fd -1, no state, no error after 3",
			fd, state, err, requests)
	}
}

// TestRequestStateNoProcess: RequestState returns no state and no error if the socket does not
// exist, or is left over from a process that has ended.
func TestRequestStateNoProcess(t *testing.T) {
	dir := t.TempDir()
	if fd, state, _, err := RequestState(dir); fd >= 0 || state != nil || err != nil {
		t.Errorf("RequestState without a socket = fd %d, state %v, error %v; want fd -1, no state, no error",
			fd, state, err)
	}
	addr := &unix.SockaddrUnix{Name: filepath.Join(dir, filepath.Base(Path(dir)))}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
	if err == nil {
		err = unix.Bind(fd, addr)
	}
	if unix.Close(fd); err != nil {
		t.Fatal(err)
	}
	if fd, state, _, err := RequestState(dir); fd >= 0 || state != nil || err != nil {
		t.Errorf("RequestState with the socket of a dead process = fd %d, state %v, error %v; want fd -1, no state, no error",
			fd, state, err)
	}
	os.Remove(Path(dir))
}

// TestRequestState: a state larger than one frame arrives complete, with its descriptor, and
// further messages can be sent on the same socket.
func TestRequestState(t *testing.T) {
	h, dir := looptest.New(t, 16), t.TempDir()
	state := NewState(core.LearnedState{}, version)
	state.Fronts, state.Limit, state.Pool = []string{"line"}, 77, &pool.EndpointList{Generation: 9}
	for n := range 3000 {
		state.Pool.Instances = append(state.Pool.Instances, pool.Instance{ID: fmt.Sprint("s-", n), Addr: "127.0.0.1:9", Zone: "a"})
	}
	received := serveOlderProcess(h, dir, state)
	fd, got, fds, err := requestState(h, dir)
	if err != nil || got == nil || len(fds) != 1 || got.Limit != 77 || len(got.Pool.Instances) != 3000 || got.Pool.Instances[2999].ID != "s-2999" {
		t.Fatalf("RequestState = state %v, %d descriptors, error %v; want the state that was sent, with 1 descriptor",
			got, len(fds), err)
	}
	closeAll(fds)
	p, err := NewPeer(h.Loop, fd, func(*Message, []int) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Send(Message{Serving: true}); err != nil {
		t.Fatal(err)
	}
	h.WaitFor("the Serving message", func() bool { return len(*received) == 2 })
	if !(*received)[1].Serving {
		t.Errorf("second message = %+v, want Serving", (*received)[1])
	}
	p.Close()
}

// TestUnsupportedVersion: RequestState returns an error for a state of a later protocol version.
func TestUnsupportedVersion(t *testing.T) {
	h, dir := looptest.New(t, 16), t.TempDir()
	serveOlderProcess(h, dir, &State{Version: version + 1, Fronts: []string{"line"}})
	if fd, state, _, err := requestState(h, dir); err == nil || fd >= 0 || state != nil {
		t.Errorf("RequestState = fd %d, state %v, error %v; want fd -1, no state, an error", fd, state, err)
	}
}

// peerPair is a connected pair of peers on one loop.
type peerPair struct {
	harness          *looptest.Harness
	sender, receiver *Peer
	received         []*Message
	senderEnded      bool
}

func newPeerPair(t *testing.T, version int) *peerPair {
	t.Helper()
	p := &peerPair{harness: looptest.New(t, 16)}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.sender, err = NewPeer(p.harness.Loop, pair[0], func(*Message, []int) {}, func(error) { p.senderEnded = true })
	if err == nil {
		p.receiver, err = NewPeer(p.harness.Loop, pair[1], func(m *Message, fds []int) {
			p.received = append(p.received, m)
			closeAll(fds)
		}, func(error) {})
	}
	if err != nil {
		t.Fatal(err)
	}
	p.sender.SetVersion(version)
	p.receiver.SetVersion(version)
	return p
}

// sendPipe transfers the write end of a pipe to the receiver. It returns the read end, for which
// isClosed reports whether every process has closed the write end.
func (p *peerPair) sendPipe(name string) (readEnd int) {
	ends := make([]int, 2)
	if err := unix.Pipe2(ends, unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		p.harness.T.Fatal(err)
	}
	p.harness.T.Cleanup(func() { unix.Close(ends[0]) })
	if err := p.sender.SendConnection(Message{Client: &line.IdleConn{Unread: []byte(name)}}, ends[1]); err != nil {
		p.harness.T.Error(err)
	}
	return ends[0]
}

// isClosed reports whether no process has the write end of a pipe open.
func isClosed(fd int) bool {
	n, err := unix.Read(fd, make([]byte, 1))
	return n == 0 && err == nil
}

// TestTransferConfirmed: the sender keeps a transferred descriptor open until the other process has
// confirmed the transfer.
func TestTransferConfirmed(t *testing.T) {
	p := newPeerPair(t, version)
	readEnd := p.sendPipe("a")
	if p.sender.Pending() != 1 || p.sender.PendingFDs() != 1 || p.sender.Idle() || isClosed(readEnd) {
		t.Fatalf("before the confirmation: %d transfers pending with %d descriptors, want 1 with 1, and the connection open",
			p.sender.Pending(), p.sender.PendingFDs())
	}
	p.harness.WaitFor("the confirmation", func() bool { return p.sender.Idle() })
	if len(p.received) != 1 || p.sender.Pending() != 0 || !isClosed(readEnd) {
		t.Errorf("after the confirmation: %d messages received, %d transfers pending, connection closed %v; want 1, 0, true",
			len(p.received), p.sender.Pending(), isClosed(readEnd))
	}
}

// TestTransferUnconfirmed: connections that the other process did not confirm before it ended are
// returned once, in the order sent and still open, so that their clients are not disconnected.
func TestTransferUnconfirmed(t *testing.T) {
	p := newPeerPair(t, version)
	readEnds := []int{p.sendPipe("a"), p.sendPipe("b")}
	p.receiver.Close() // before it has read anything
	p.harness.WaitFor("the sender to notice that the receiver is gone", func() bool { return p.senderEnded })
	unconfirmed := p.sender.Unconfirmed()
	if len(unconfirmed) != 2 || string(unconfirmed[0].Message.Client.Unread) != "a" || string(unconfirmed[1].Message.Client.Unread) != "b" {
		t.Fatalf("Unconfirmed() = %+v, want the connections a and b", unconfirmed)
	}
	for i, transfer := range unconfirmed {
		if isClosed(readEnds[i]) {
			t.Errorf("connection %d is closed, want it open", i)
		}
		closeAll(transfer.FDs)
	}
	if p.sender.Pending() != 0 || len(p.sender.Unconfirmed()) != 0 {
		t.Errorf("after Unconfirmed(): %d transfers pending, want 0, and none returned again", p.sender.Pending())
	}
}

// TestTransferWithoutConfirmation: if the other process speaks the version without confirmations,
// a transfer has no number, is complete once sent, and its descriptors are closed at once.
func TestTransferWithoutConfirmation(t *testing.T) {
	p := newPeerPair(t, versionUnconfirmed)
	readEnd := p.sendPipe("a")
	if p.sender.Pending() != 0 || !p.sender.Idle() {
		t.Errorf("%d transfers pending, Idle() = %v; want 0, true", p.sender.Pending(), p.sender.Idle())
	}
	p.harness.WaitFor("the message", func() bool { return len(p.received) == 1 })
	if p.received[0].Transfer != 0 || !isClosed(readEnd) {
		t.Errorf("transfer number %d, connection closed %v; want 0, true", p.received[0].Transfer, isClosed(readEnd))
	}
}

// TestEarlierVersion: the newer process accepts a state of the earlier protocol version, and the
// older process sends its state in that version to a newer process that speaks it.
func TestEarlierVersion(t *testing.T) {
	h, dir := looptest.New(t, 16), t.TempDir()
	serveOlderProcess(h, dir, &State{Version: versionUnconfirmed, Fronts: []string{"line"}})
	fd, state, fds, err := requestState(h, dir)
	if err != nil || state == nil || state.Version != versionUnconfirmed {
		t.Fatalf("RequestState = state %v, error %v; want a state of version %d", state, err, versionUnconfirmed)
	}
	closeAll(append(fds, fd))
	if state := NewState(core.LearnedState{}, versionUnconfirmed); state.Version != versionUnconfirmed {
		t.Errorf("NewState(_, %d) has version %d, want the same", versionUnconfirmed, state.Version)
	}
}
