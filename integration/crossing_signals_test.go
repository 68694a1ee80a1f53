package integration

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// blockingFile is a configuration file that is a FIFO, like one on a disk that does not answer: a
// reader blocks until the test writes.
type blockingFile struct {
	t    testing.TB
	path string
	text string
}

// newBlockingFile replaces the file at path by a blocking file with the same text.
func newBlockingFile(t testing.TB, path string) *blockingFile {
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
	return &blockingFile{t, path, string(text)}
}

// waitReader waits until a process has opened the file for reading. The process blocks until the test
// writes to the returned file or closes it.
func (s *blockingFile) waitReader() *os.File {
	s.t.Helper()
	var f *os.File
	waitFor(s.t, "a process to read the configuration", func() bool {
		fd, err := syscall.Open(s.path, syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
		if err == nil {
			f = os.NewFile(uintptr(fd), s.path)
		}
		return err == nil
	})
	s.t.Cleanup(func() { f.Close() })
	return f
}

// TestSignals sends several signals at different times in the life of a process. SIGTERM must take
// effect at once, even if a reload hangs and many SIGHUPs came before it; SIGHUP must never end the process.
func TestSignals(t *testing.T) {
	t.Parallel()
	t.Run("SIGTERM while a reload hangs", func(t *testing.T) {
		t.Parallel()
		s := newScriptedRig(t, 2, nil)
		c, _ := s.newFlow(1)
		file := newBlockingFile(t, s.configPath)
		s.cmd.Process.Signal(syscall.SIGHUP)
		file.waitReader()
		for range 40 { // more than the program's signal queue can hold
			s.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Millisecond)
		}
		since := s.terminate()
		s.cmd.Process.Signal(syscall.SIGHUP)
		wantMoved(c)
		s.wantTimelyExit(since)
	})
	t.Run("SIGHUP, SIGTERM, SIGTERM, SIGHUP during shutdown", func(t *testing.T) {
		t.Parallel()
		s := newScriptedRig(t, 2, nil)
		c, _ := s.newFlow(1)
		pending := s.openFlow(2, "")
		a := s.nextAttempt()
		s.cmd.Process.Signal(syscall.SIGHUP)
		since := s.terminate()
		for range 5 {
			s.cmd.Process.Signal(syscall.SIGTERM)
			s.cmd.Process.Signal(syscall.SIGHUP)
			s.cmd.Process.Signal(syscall.SIGINT)
		}
		a.accept()
		pending.wantLine("UP ")
		wantMoved(c, pending)
		s.wantTimelyExit(since)
	})
	t.Run("SIGHUP before the configuration is read", func(t *testing.T) {
		t.Parallel()
		b := newFakeMember(t, "s-00000001", nil)
		file := newBlockingFile(t, configure(t, newDiscovery(t, b.entry()), nil))
		r := launch(t, file.path)
		f := file.waitReader()
		r.cmd.Process.Signal(syscall.SIGHUP)
		if _, err := f.WriteString(file.text); err != nil {
			t.Fatal(err)
		}
		f.Close()
		r.waitServing(1)
		r.openFlow(1, "").wantLine("UP ")
		r.stop()
	})
	t.Run("SIGTERM before the configuration is read", func(t *testing.T) {
		t.Parallel()
		file := newBlockingFile(t, configure(t, newDiscovery(t), nil))
		r := launch(t, file.path)
		file.waitReader()
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.waitExit()
	})
}

// TestStartAddressInUse: a relay whose listen address is in use by another process waits until it is
// free, and then serves.
func TestStartAddressInUse(t *testing.T) {
	t.Parallel()
	b := newFakeMember(t, "s-00000001", nil)
	addr := reservePort(t)
	holder, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	r := launch(t, configure(t, newDiscovery(t, b.entry()), map[string]any{"listen": addr}))
	waitFor(t, "the relay to log something while its address is in use", func() bool {
		select {
		case err := <-r.done:
			t.Fatalf("the relay exited with %v while its address was in use, want it to wait", err)
		default:
		}
		c, err := net.Dial("tcp", addr) // reaches the test's listener, not the relay
		if err == nil {
			c.Close()
		}
		return len(r.log.String()) > 0
	})
	holder.Close()
	r.waitServing(1)
	r.openFlow(1, "").wantLine("UP ")
	r.stop()
}
