package netloop

import "golang.org/x/sys/unix"

// Syscalls holds the system calls that a loop makes. Tests replace some of them to inject failures.
type Syscalls struct {
	EpollWait     func(epollFD int, events []unix.EpollEvent, milliseconds int) (int, error)
	EpollCtl      func(epollFD, op, fd int, event *unix.EpollEvent) error
	Socket        func(domain, kind, protocol int) (int, error)
	Bind          func(fd int, addr unix.Sockaddr) error
	Listen        func(fd, backlog int) error
	Accept        func(fd, flags int) (int, unix.Sockaddr, error)
	Connect       func(fd int, addr unix.Sockaddr) error
	Read          func(fd int, p []byte) (int, error)
	Write         func(fd int, p []byte) (int, error)
	SetsockoptInt func(fd, level, option, value int) error
}

// KernelSyscalls returns the real system calls.
func KernelSyscalls() Syscalls {
	return Syscalls{EpollWait: unix.EpollWait, EpollCtl: unix.EpollCtl, Socket: unix.Socket, Bind: unix.Bind, Listen: unix.Listen,
		Accept: unix.Accept4, Connect: unix.Connect, Read: unix.Read, Write: unix.Write, SetsockoptInt: unix.SetsockoptInt}
}

// DefaultSyscalls is used by loops that New creates from now on. Only tests change it.
var DefaultSyscalls = KernelSyscalls()
