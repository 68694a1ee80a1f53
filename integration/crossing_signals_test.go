package integration

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// slowFile is a configuration on a disk that does not answer: whoever reads it waits until the test goes on.
type slowFile struct {
	t    testing.TB
	path string
	text string
}

// newSlowFile puts one in the place of a file.
func newSlowFile(t testing.TB, path string) *slowFile {
	t.Helper()
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.Remove(path)
	}
	if err == nil {
		err = syscall.Mkfifo(path, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return &slowFile{t, path, string(text)}
}

// read waits until somebody reads it, who goes on waiting for what the test writes to the file returned.
func (s *slowFile) read() *os.File {
	s.t.Helper()
	var f *os.File
	until(s.t, "a read of the configuration", func() bool {
		fd, err := syscall.Open(s.path, syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
		if err == nil {
			f = os.NewFile(uintptr(fd), s.path)
		}
		return err == nil
	})
	s.t.Cleanup(func() { f.Close() })
	return f
}

// TestSignals: signals in series, and at any time of a process's life. SIGTERM is heeded at once, whatever a reload
// waits for and however many SIGHUP came before; SIGHUP never ends the process.
func TestSignals(t *testing.T) {
	t.Parallel()
	t.Run("SIGTERM while a reload hangs", func(t *testing.T) {
		t.Parallel()
		s := newCrossing(t, 2, nil)
		c, _ := s.flow(1)
		file := newSlowFile(t, s.path)
		s.cmd.Process.Signal(syscall.SIGHUP)
		file.read()
		for range 40 { // more than any queue of signals holds
			s.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Millisecond)
		}
		since := s.terminate()
		s.cmd.Process.Signal(syscall.SIGHUP)
		moved(c)
		s.gone(since)
	})
	t.Run("HUP, TERM, TERM, HUP while it ends", func(t *testing.T) {
		t.Parallel()
		s := newCrossing(t, 2, nil)
		c, _ := s.flow(1)
		held := s.open(2, "")
		a := s.attempt()
		s.cmd.Process.Signal(syscall.SIGHUP)
		since := s.terminate()
		for range 5 {
			s.cmd.Process.Signal(syscall.SIGTERM)
			s.cmd.Process.Signal(syscall.SIGHUP)
			s.cmd.Process.Signal(syscall.SIGINT)
		}
		a.up()
		held.want("UP ")
		moved(c, held)
		s.gone(since)
	})
	t.Run("SIGHUP before the configuration is read", func(t *testing.T) {
		t.Parallel()
		b := newBackend(t, "s-00000001", nil)
		file := newSlowFile(t, configure(t, newDiscovery(t, b.member()), nil))
		r := launch(t, file.path)
		f := file.read()
		r.cmd.Process.Signal(syscall.SIGHUP)
		if _, err := f.WriteString(file.text); err != nil {
			t.Fatal(err)
		}
		f.Close()
		r.serves(1)
		r.open(1, "").want("UP ")
		r.stop()
	})
	t.Run("SIGTERM before the configuration is read", func(t *testing.T) {
		t.Parallel()
		file := newSlowFile(t, configure(t, newDiscovery(t), nil))
		r := launch(t, file.path)
		file.read()
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.ends()
	})
}

// TestStartAddressHeld: a relay whose address is still another's for a moment waits for it and serves.
func TestStartAddressHeld(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "s-00000001", nil)
	addr := ownPort(t)
	holder, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	r := launch(t, configure(t, newDiscovery(t, b.member()), map[string]any{"listen": addr}))
	until(t, "the relay to find its address held", func() bool {
		select {
		case err := <-r.done:
			t.Fatalf("the relay has ended: %v", err)
		default:
		}
		c, err := net.Dial("tcp", addr) // whoever takes it, the relay does not
		if err == nil {
			c.Close()
		}
		return len(r.log.String()) > 0
	})
	holder.Close()
	r.serves(1)
	r.open(1, "").want("UP ")
	r.stop()
}
