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

// first plays the process that serves: it answers a hello with its state, and a
// descriptor for each front named there.
func first(b *looptest.Harness, dir string, state *State) (heard *[]*Message) {
	heard = &[]*Message{}
	_, err := b.ListenChannel(Path(dir), func(fd int) {
		var p *Peer
		p, _ = NewPeer(b.Loop, fd, func(n *Message, fds []int) {
			*heard = append(*heard, n)
			if n.Hello > 0 {
				if err := p.Send(Message{State: state}, 0); err != nil {
					b.T.Error(err)
				}
			}
		}, func(error) {})
	})
	if err != nil {
		b.T.Fatal(err)
	}
	return heard
}

// find asks for the state, while the loop turns.
func find(b *looptest.Harness, dir string) (fd int, state *State, fds []int, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fd, state, fds, err = RequestState(dir)
	}()
	b.WaitFor("an answer", func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return fd, state, fds, err
}

// TestFindDying: a process that is being killed resets who asks it, and then is gone: the next one starts like any other.
func TestFindDying(t *testing.T) {
	b := looptest.New(t, 16)
	dir := t.TempDir()
	asked := 0
	var l *netloop.Listener
	l, err := b.ListenChannel(Path(dir), func(fd int) {
		unix.Close(fd) // what it said is unread: a reset
		if asked++; asked == 3 {
			l.Close()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if fd, state, _, err := find(b, dir); fd >= 0 || state != nil || err != nil || asked != 3 {
		t.Errorf("%d, %v, %v after %d", fd, state, err, asked)
	}
}

// TestFind: a start without another process, or with one that died, is a start like
// any other. Guards against a relay that a leftover socket keeps from starting.
func TestFind(t *testing.T) {
	dir := t.TempDir()
	if fd, state, _, err := RequestState(dir); fd >= 0 || state != nil || err != nil {
		t.Errorf("alone: %d, %v, %v", fd, state, err)
	}
	at := &unix.SockaddrUnix{Name: filepath.Join(dir, filepath.Base(Path(dir)))}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
	if err == nil {
		err = unix.Bind(fd, at)
	}
	if unix.Close(fd); err != nil {
		t.Fatal(err)
	}
	if fd, state, _, err := RequestState(dir); fd >= 0 || state != nil || err != nil {
		t.Errorf("beside a dead one: %d, %v, %v", fd, state, err)
	}
	os.Remove(Path(dir))
}

// TestState: a state larger than one message arrives whole, with its descriptors, and
// notes pass both ways after it.
func TestState(t *testing.T) {
	b, dir := looptest.New(t, 16), t.TempDir()
	state := NewState(core.LearnedState{}, version)
	state.Fronts, state.Limit, state.Pool = []string{"line"}, 77, &pool.EndpointList{Generation: 9}
	for n := range 3000 {
		state.Pool.Instances = append(state.Pool.Instances, pool.Instance{ID: fmt.Sprint("s-", n), Addr: "127.0.0.1:9", Zone: "a"})
	}
	heard := first(b, dir, state)
	fd, got, fds, err := find(b, dir)
	if err != nil || got == nil || len(fds) != 1 || got.Limit != 77 || len(got.Pool.Instances) != 3000 || got.Pool.Instances[2999].ID != "s-2999" {
		t.Fatalf("%v, %d descriptors, %v", got, len(fds), err)
	}
	closeAll(fds)
	p, err := NewPeer(b.Loop, fd, func(*Message, []int) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Send(Message{Serving: true}); err != nil {
		t.Fatal(err)
	}
	b.WaitFor("the note", func() bool { return len(*heard) == 2 })
	if !(*heard)[1].Serving {
		t.Errorf("heard %+v", (*heard)[1])
	}
	p.Close()
}

// TestOtherVersion: a process that speaks otherwise is not succeeded, and says so.
func TestOtherVersion(t *testing.T) {
	b, dir := looptest.New(t, 16), t.TempDir()
	first(b, dir, &State{Version: version + 1, Fronts: []string{"line"}})
	if fd, state, _, err := find(b, dir); err == nil || fd >= 0 || state != nil {
		t.Errorf("%d, %v, %v", fd, state, err)
	}
}

// peers are two ends of one conversation, on one loop.
type peers struct {
	b           *looptest.Harness
	first, next *Peer
	taken       []*Message
	ended       bool
}

func newPeers(t *testing.T, version int) *peers {
	p := &peers{b: looptest.New(t, 16)}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.first, err = NewPeer(p.b.Loop, pair[0], func(*Message, []int) {}, func(error) { p.ended = true })
	if err == nil {
		p.next, err = NewPeer(p.b.Loop, pair[1], func(n *Message, fds []int) {
			p.taken = append(p.taken, n)
			closeAll(fds)
		}, func(error) {})
	}
	if err != nil {
		t.Fatal(err)
	}
	p.first.SetVersion(version)
	p.next.SetVersion(version)
	return p
}

// give hands a pipe's end over, and returns the other, which reads the end once nobody holds the first.
func (p *peers) give(name string) (other int) {
	ends := make([]int, 2)
	if err := unix.Pipe2(ends, unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		p.b.T.Fatal(err)
	}
	p.b.T.Cleanup(func() { unix.Close(ends[0]) })
	if err := p.first.SendConnection(Message{Client: &line.IdleConn{Unread: []byte(name)}}, ends[1]); err != nil {
		p.b.T.Error(err)
	}
	return ends[0]
}

// closed says that nobody holds the other end of a pipe.
func closed(fd int) bool {
	n, err := unix.Read(fd, make([]byte, 1))
	return n == 0 && err == nil
}

// TestGive: what is given stays open here until the other process has confirmed it.
func TestGive(t *testing.T) {
	p := newPeers(t, version)
	end := p.give("a")
	if p.first.Pending() != 1 || p.first.PendingFDs() != 1 || p.first.Idle() || closed(end) {
		t.Fatalf("%d pending with %d descriptors", p.first.Pending(), p.first.PendingFDs())
	}
	p.b.WaitFor("the confirmation", func() bool { return p.first.Idle() })
	if len(p.taken) != 1 || p.first.Pending() != 0 || !closed(end) {
		t.Errorf("%d taken, %d pending", len(p.taken), p.first.Pending())
	}
}

// TestGiveBack: what a process that has ended did not confirm comes back, in order and open. Guards against clients that are cut off.
func TestGiveBack(t *testing.T) {
	p := newPeers(t, version)
	ends := []int{p.give("a"), p.give("b")}
	p.next.Close() // it has read nothing
	p.b.WaitFor("the end", func() bool { return p.ended })
	back := p.first.Unconfirmed()
	if len(back) != 2 || string(back[0].Message.Client.Unread) != "a" || string(back[1].Message.Client.Unread) != "b" {
		t.Fatalf("back came %+v", back)
	}
	for i, transfer := range back {
		if closed(ends[i]) {
			t.Errorf("%d is closed", i)
		}
		closeAll(transfer.FDs)
	}
	if p.first.Pending() != 0 || len(p.first.Unconfirmed()) != 0 {
		t.Error("it comes back twice")
	}
}

// TestGivePlain: a process of the version before confirms nothing, and nothing waits for that.
func TestGivePlain(t *testing.T) {
	p := newPeers(t, versionUnconfirmed)
	end := p.give("a")
	if p.first.Pending() != 0 || !p.first.Idle() {
		t.Errorf("%d pending", p.first.Pending())
	}
	p.b.WaitFor("the note", func() bool { return len(p.taken) == 1 })
	if p.taken[0].Transfer != 0 || !closed(end) {
		t.Errorf("transfer %d", p.taken[0].Transfer)
	}
}

// TestVersions: a process succeeds one of the version before, and is succeeded by one.
func TestVersions(t *testing.T) {
	b, dir := looptest.New(t, 16), t.TempDir()
	first(b, dir, &State{Version: versionUnconfirmed, Fronts: []string{"line"}})
	fd, state, fds, err := find(b, dir)
	if err != nil || state == nil || state.Version != versionUnconfirmed {
		t.Fatalf("%v, %v", state, err)
	}
	closeAll(append(fds, fd))
	if told := NewState(core.LearnedState{}, versionUnconfirmed); told.Version != versionUnconfirmed {
		t.Errorf("told version %d", told.Version)
	}
}
