package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/internal/pool"
)

// first plays the process that serves: it answers a hello with its state, and a
// descriptor for each front named there.
func first(b *looptest.Bench, dir string, state *State) (heard *[]*Note) {
	heard = &[]*Note{}
	_, err := b.ListenChannel(Path(dir), func(fd int) {
		var p *Peer
		p, _ = Join(b.Loop, fd, func(n *Note, fds []int) {
			*heard = append(*heard, n)
			if n.Hello > 0 {
				if err := p.Tell(Note{State: state}, 0); err != nil {
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
func find(b *looptest.Bench, dir string) (fd int, state *State, fds []int, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fd, state, fds, err = Find(dir)
	}()
	b.Until("an answer", func() bool {
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
	if fd, state, _, err := Find(dir); fd >= 0 || state != nil || err != nil {
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
	if fd, state, _, err := Find(dir); fd >= 0 || state != nil || err != nil {
		t.Errorf("beside a dead one: %d, %v, %v", fd, state, err)
	}
	os.Remove(Path(dir))
}

// TestState: a state larger than one message arrives whole, with its descriptors, and
// notes pass both ways after it.
func TestState(t *testing.T) {
	b, dir := looptest.New(t, 16), t.TempDir()
	state := NewState(core.Learned{})
	state.Fronts, state.Limit, state.Pool = []string{"line"}, 77, &pool.List{Generation: 9}
	for n := range 3000 {
		state.Pool.Instances = append(state.Pool.Instances, pool.Entry{ID: fmt.Sprint("s-", n), Addr: "127.0.0.1:9", Zone: "a"})
	}
	heard := first(b, dir, state)
	fd, got, fds, err := find(b, dir)
	if err != nil || got == nil || len(fds) != 1 || got.Limit != 77 || len(got.Pool.Instances) != 3000 || got.Pool.Instances[2999].ID != "s-2999" {
		t.Fatalf("%v, %d descriptors, %v", got, len(fds), err)
	}
	closeAll(fds)
	p, err := Join(b.Loop, fd, func(*Note, []int) {}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Tell(Note{Serving: true}); err != nil {
		t.Fatal(err)
	}
	b.Until("the note", func() bool { return len(*heard) == 2 })
	if !(*heard)[1].Serving {
		t.Errorf("heard %+v", (*heard)[1])
	}
	p.Leave()
}

// TestOtherVersion: a process that speaks otherwise is not succeeded, and says so.
func TestOtherVersion(t *testing.T) {
	b, dir := looptest.New(t, 16), t.TempDir()
	first(b, dir, &State{Version: version + 1, Fronts: []string{"line"}})
	if fd, state, _, err := find(b, dir); err == nil || fd >= 0 || state != nil {
		t.Errorf("%d, %v, %v", fd, state, err)
	}
}
