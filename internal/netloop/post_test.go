package netloop_test

import (
	"testing"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop/looptest"
)

// TestPostAfterClose: Post after Close neither runs the function nor writes to the closed wake-up
// descriptor, whose number may belong to another file by then. Guards against goroutines that
// outlive the loop.
func TestPostAfterClose(t *testing.T) {
	b := looptest.New(t, 16)
	b.Post(func() { t.Error("a function posted before Close ran") })
	b.Close()
	var pairs [][2]int
	for range 8 { // one of these sockets gets the number of the wake-up descriptor
		p, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		pairs = append(pairs, p)
	}
	b.Post(func() { t.Error("a function posted after Close ran") })
	for _, p := range pairs {
		for _, fd := range p {
			if n, err := unix.Read(fd, make([]byte, 16)); err != unix.EAGAIN {
				t.Errorf("read from a new socket = %d bytes, %v, want EAGAIN: Post wrote to the closed wake-up descriptor",
					n, err)
			}
			defer unix.Close(fd)
		}
	}
}
