package looptest

import (
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
)

// Fault is what befalls some of the calls of one kind.
type Fault struct {
	Syscall     string     // as the field of netloop.Calls
	Errno       unix.Errno // 0: the call is made
	Short       bool       // of Read and Write: one byte alone is moved
	Probability float64    // of the calls, drawn; 0: all
	MaxCount    int        // after so many it is over; 0: it goes on
}

// Faults makes system calls fail by a plan and a seed. It may be used from any goroutine.
type Faults struct {
	mu     sync.Mutex
	rng    *rand.Rand
	plan   []planned
	struck map[string]int
}

// planned is a fault and how many calls it has met.
type planned struct {
	Fault
	met int
}

// NewFaults lets all calls through until Set.
func NewFaults(seed uint64) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, 0)), struck: map[string]int{}}
}

// Set puts a plan in the place of the one before.
func (f *Faults) Set(plan ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = nil
	for _, p := range plan {
		f.plan = append(f.plan, planned{Fault: p})
	}
}

// Injected is how many calls of a kind have met a fault.
func (f *Faults) Injected(call string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.struck[call]
}

// meets draws what befalls a call.
func (f *Faults) meets(call string) (errno unix.Errno, short bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.plan {
		p := &f.plan[i]
		if p.Syscall != call || p.MaxCount > 0 && p.met >= p.MaxCount || p.Probability > 0 && f.rng.Float64() >= p.Probability {
			continue
		}
		p.met++
		f.struck[call]++
		return p.Errno, p.Short
	}
	return 0, false
}

// err is what befalls a call that moves no bytes.
func (f *Faults) err(call string) error {
	if errno, _ := f.meets(call); errno != 0 {
		return errno
	}
	return nil
}

// Syscalls are the kernel's, but for those that meet a fault.
func (f *Faults) Syscalls() netloop.Syscalls {
	k := netloop.KernelSyscalls()
	moves := func(call string, move func(int, []byte) (int, error)) func(int, []byte) (int, error) {
		return func(fd int, p []byte) (int, error) {
			errno, short := f.meets(call)
			if errno != 0 {
				return -1, errno
			}
			if short && len(p) > 1 {
				p = p[:1]
			}
			return move(fd, p)
		}
	}
	c := k
	c.Read, c.Write = moves("Read", k.Read), moves("Write", k.Write)
	c.EpollWait = func(poll int, events []unix.EpollEvent, ms int) (int, error) {
		if err := f.err("EpollWait"); err != nil {
			return -1, err
		}
		return k.EpollWait(poll, events, ms)
	}
	c.EpollCtl = func(poll, op, fd int, event *unix.EpollEvent) error {
		if op != unix.EPOLL_CTL_DEL { // which takes no memory
			if err := f.err("EpollCtl"); err != nil {
				return err
			}
		}
		return k.EpollCtl(poll, op, fd, event)
	}
	c.Socket = func(domain, kind, protocol int) (int, error) {
		if err := f.err("Socket"); err != nil {
			return -1, err
		}
		return k.Socket(domain, kind, protocol)
	}
	c.Bind = func(fd int, at unix.Sockaddr) error {
		if err := f.err("Bind"); err != nil {
			return err
		}
		return k.Bind(fd, at)
	}
	c.Listen = func(fd, backlog int) error {
		if err := f.err("Listen"); err != nil {
			return err
		}
		return k.Listen(fd, backlog)
	}
	c.Accept = func(fd, flags int) (int, unix.Sockaddr, error) {
		if err := f.err("Accept"); err != nil {
			return -1, nil, err
		}
		return k.Accept(fd, flags)
	}
	c.Connect = func(fd int, to unix.Sockaddr) error {
		errno, _ := f.meets("Connect")
		if errno == unix.EINTR { // the connection goes on to be set up
			k.Connect(fd, to)
		}
		if errno != 0 {
			return errno
		}
		return k.Connect(fd, to)
	}
	c.SetsockoptInt = func(fd, level, option, value int) error {
		if err := f.err("SetsockoptInt"); err != nil {
			return err
		}
		return k.SetsockoptInt(fd, level, option, value)
	}
	return c
}
