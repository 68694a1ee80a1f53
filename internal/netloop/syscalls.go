package netloop

import "golang.org/x/sys/unix"

// Syscalls is the system calls by which a loop reaches the kernel. Tests put calls that fail in the place of some of them.
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

// KernelSyscalls is the calls of the system itself.
func KernelSyscalls() Syscalls {
	return Syscalls{EpollWait: unix.EpollWait, EpollCtl: unix.EpollCtl, Socket: unix.Socket, Bind: unix.Bind, Listen: unix.Listen,
		Accept: unix.Accept4, Connect: unix.Connect, Read: unix.Read, Write: unix.Write, SetsockoptInt: unix.SetsockoptInt}
}

// DefaultSyscalls is the calls of the loops that are made from now on. Only tests change it.
var DefaultSyscalls = KernelSyscalls()
