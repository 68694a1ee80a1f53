package netloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// parseSockaddr parses an IP address with a port and returns it as a socket address, along with its
// address family.
func parseSockaddr(addr string) (unix.Sockaddr, int, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := addrPort.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(addrPort.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()}, unix.AF_INET6, nil
}

// localAddr returns the address that fd is bound to, or "" if the kernel does not report one.
func localAddr(fd int) string {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	return formatSockaddr(sockaddr)
}

// formatSockaddr returns an IP socket address as "host:port", or "" for other address families.
func formatSockaddr(sockaddr unix.Sockaddr) string {
	switch sockaddr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr), uint16(sockaddr.Port)).String()
	}
	return ""
}

// IsBoundTo reports whether a socket is bound to addr. Port 0 in addr matches any port.
func IsBoundTo(fd int, addr string) bool {
	want, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	bound, err := netip.ParseAddrPort(localAddr(fd))
	return err == nil && bound.Addr().Unmap() == want.Addr().Unmap() && (want.Port() == 0 || bound.Port() == want.Port())
}
