package looptest

import (
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
)

// Fault is how some calls of one kind fail.
type Fault struct {
	Syscall     string     // the name of its field in netloop.Syscalls
	Errno       unix.Errno // 0: the call is made
	Short       bool       // of Read and Write: only one byte is moved
	Probability float64    // for each call; 0: every call fails
	MaxCount    int        // the fault ends after so many; 0: it goes on
}

// Faults injects failures into system calls by a plan and a seed. It may be used from any goroutine.
type Faults struct {
	mu       sync.Mutex
	rng      *rand.Rand
	plan     []plannedFault
	injected map[string]int
}

// plannedFault is a fault and how many calls it was injected into.
type plannedFault struct {
	Fault
	count int
}

// NewFaults lets all calls through until Set.
func NewFaults(seed uint64) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, 0)), injected: map[string]int{}}
}

// Set replaces the plan.
func (f *Faults) Set(plan ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = nil
	for _, p := range plan {
		f.plan = append(f.plan, plannedFault{Fault: p})
	}
}

// Injected is how many calls of a kind a fault was injected into.
func (f *Faults) Injected(call string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[call]
}

// draw is the fault of a call: an error to return, or that it is cut short.
func (f *Faults) selectFault(call string) (errno unix.Errno, short bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.plan {
		p := &f.plan[i]
		if p.Syscall != call || p.MaxCount > 0 && p.count >= p.MaxCount || p.Probability > 0 && f.rng.Float64() >= p.Probability {
			continue
		}
		p.count++
		f.injected[call]++
		return p.Errno, p.Short
	}
	return 0, false
}

// fail is the error that a call which moves no bytes is to return; nil if it is to be made.
func (f *Faults) fail(call string) error {
	if errno, _ := f.selectFault(call); errno != 0 {
		return errno
	}
	return nil
}

// failOr makes a call unless it is to fail.
func (f *Faults) failOr(call string, invoke func() error) error {
	if err := f.fail(call); err != nil {
		return err
	}
	return invoke()
}

// failOrInt does the same with a call that returns a number, of a descriptor or of events.
func (f *Faults) failOrInt(call string, invoke func() (int, error)) (int, error) {
	if err := f.fail(call); err != nil {
		return -1, err
	}
	return invoke()
}

// transfer is Read or Write with faults.
func (f *Faults) transfer(call string, transferBytes func(int, []byte) (int, error)) func(int, []byte) (int, error) {
	return func(fd int, p []byte) (int, error) {
		errno, short := f.selectFault(call)
		if errno != 0 {
			return -1, errno
		}
		if short && len(p) > 1 {
			p = p[:1]
		}
		return transferBytes(fd, p)
	}
}

// Syscalls are those of the kernel, except for calls that a fault is drawn for.
func (f *Faults) Syscalls() netloop.Syscalls {
	kernel := netloop.KernelSyscalls()
	return netloop.Syscalls{
		Read:  f.transfer("Read", kernel.Read),
		Write: f.transfer("Write", kernel.Write),
		EpollWait: func(epollFD int, events []unix.EpollEvent, ms int) (int, error) {
			return f.failOrInt("EpollWait", func() (int, error) { return kernel.EpollWait(epollFD, events, ms) })
		},
		EpollCtl: func(epollFD, op, fd int, event *unix.EpollEvent) error {
			if op == unix.EPOLL_CTL_DEL { // which takes no memory, so that it does not fail
				return kernel.EpollCtl(epollFD, op, fd, event)
			}
			return f.failOr("EpollCtl", func() error { return kernel.EpollCtl(epollFD, op, fd, event) })
		},
		Socket: func(domain, kind, protocol int) (int, error) {
			return f.failOrInt("Socket", func() (int, error) { return kernel.Socket(domain, kind, protocol) })
		},
		Bind: func(fd int, addr unix.Sockaddr) error {
			return f.failOr("Bind", func() error { return kernel.Bind(fd, addr) })
		},
		Listen: func(fd, backlog int) error {
			return f.failOr("Listen", func() error { return kernel.Listen(fd, backlog) })
		},
		Accept: func(fd, flags int) (int, unix.Sockaddr, error) {
			if err := f.fail("Accept"); err != nil {
				return -1, nil, err
			}
			return kernel.Accept(fd, flags)
		},
		Connect: func(fd int, addr unix.Sockaddr) error {
			err := f.fail("Connect")
			if err == unix.EINTR { // the connection goes on to be set up
				kernel.Connect(fd, addr)
			}
			if err != nil {
				return err
			}
			return kernel.Connect(fd, addr)
		},
		SetsockoptInt: func(fd, level, option, value int) error {
			return f.failOr("SetsockoptInt", func() error { return kernel.SetsockoptInt(fd, level, option, value) })
		},
	}
}
