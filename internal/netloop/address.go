package netloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// parseSockaddr parses an IP address and port for the system calls, with the address family.
func parseSockaddr(addr string) (unix.Sockaddr, int, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := at.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(at.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}, unix.AF_INET6, nil
}

func localAddr(fd int) string {
	at, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	return formatSockaddr(at)
}

func formatSockaddr(at unix.Sockaddr) string {
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(at.Addr), uint16(at.Port)).String()
	}
	return ""
}

// IsBoundTo reports whether a socket is bound to an address.
func IsBoundTo(fd int, addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	is, err := netip.ParseAddrPort(localAddr(fd))
	return err == nil && is.Addr().Unmap() == at.Addr().Unmap() && (at.Port() == 0 || is.Port() == at.Port())
}
