package looptest

import (
	"math/rand/v2"
	"sync"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
)

// Fault describes how calls of one system call fail.
type Fault struct {
	Syscall     string     // name of the field in netloop.Syscalls
	Errno       unix.Errno // error to return; 0 makes the call
	Short       bool       // for Read and Write: transfer only one byte
	Probability float64    // probability for each call; 0 means every call
	MaxCount    int        // number of calls that fail; 0 means no limit
}

// Faults injects failures into system calls according to a plan. Random choices come from a seed.
// It may be used from any goroutine.
type Faults struct {
	mu       sync.Mutex
	rng      *rand.Rand
	plan     []plannedFault
	injected map[string]int
}

// plannedFault is a fault and the number of calls that it was injected into.
type plannedFault struct {
	Fault
	count int
}

// NewFaults returns Faults with an empty plan: every call succeeds until Set is called.
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

// Injected is the number of calls of one kind that a fault was injected into.
func (f *Faults) Injected(call string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[call]
}

// selectFault selects the fault for a call and counts it. errno is the error to return, or 0; short
// means that only one byte is transferred.
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

// fail returns the error to inject into a call that transfers no bytes, or nil if the call should
// be made.
func (f *Faults) fail(call string) error {
	if errno, _ := f.selectFault(call); errno != 0 {
		return errno
	}
	return nil
}

// failOr makes a call unless a fault is injected.
func (f *Faults) failOr(call string, invoke func() error) error {
	if err := f.fail(call); err != nil {
		return err
	}
	return invoke()
}

// failOrInt is like failOr for calls that return a number, such as a descriptor or a count of events.
func (f *Faults) failOrInt(call string, invoke func() (int, error)) (int, error) {
	if err := f.fail(call); err != nil {
		return -1, err
	}
	return invoke()
}

// transfer wraps Read or Write with injected errors and short transfers.
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

// Syscalls returns the kernel's system calls with faults injected according to the plan.
func (f *Faults) Syscalls() netloop.Syscalls {
	kernel := netloop.KernelSyscalls()
	return netloop.Syscalls{
		Read:  f.transfer("Read", kernel.Read),
		Write: f.transfer("Write", kernel.Write),
		EpollWait: func(epollFD int, events []unix.EpollEvent, ms int) (int, error) {
			return f.failOrInt("EpollWait", func() (int, error) { return kernel.EpollWait(epollFD, events, ms) })
		},
		EpollCtl: func(epollFD, op, fd int, event *unix.EpollEvent) error {
			if op == unix.EPOLL_CTL_DEL { // needs no memory, so it does not fail
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
			if err == unix.EINTR { // an interrupted connect continues in the background
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
