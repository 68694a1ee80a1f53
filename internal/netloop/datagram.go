package netloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// datagramBurst is how many datagrams one socket reads before other sockets have their turn.
const datagramBurst = 64

// UDPSocket is a UDP socket.
type UDPSocket struct {
	loop       *Loop
	fd         int // -1 once closed
	onDatagram func(from string, b []byte)
	Dropped    int // datagrams that could not be sent; they are not retried
}

// ListenUDP opens a UDP socket bound to addr and calls onDatagram for each datagram. b is valid only
// during the call. Datagrams arrive whole: the read buffer is larger than any of them.
func (l *Loop) ListenUDP(addr string, onDatagram func(from string, b []byte)) (*UDPSocket, error) {
	sockaddr, family, err := parseSockaddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("UDP socket at %s: %w", addr, err)
	}
	d := &UDPSocket{loop: l, fd: fd, onDatagram: onDatagram}
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = l.register(fd, unix.EPOLLIN, d, &l.descriptorBudget)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("UDP socket at %s: %w", addr, err)
	}
	return d, nil
}

// Addr is the address that the socket is bound to.
func (d *UDPSocket) Addr() string { return localAddr(d.fd) }

// Send sends a datagram to an IP address with a port. Nothing is buffered: if the socket does not
// accept the datagram at once, it is dropped and counted in Dropped.
func (d *UDPSocket) Send(to string, b []byte) {
	sockaddr, _, err := parseSockaddr(to)
	if err == nil && d.fd >= 0 {
		err = unix.Sendto(d.fd, b, unix.MSG_DONTWAIT, sockaddr)
	}
	if err != nil {
		d.Dropped++
	}
}

// Close closes the socket. A nil UDPSocket may be closed.
func (d *UDPSocket) Close() {
	if d != nil && d.fd >= 0 {
		d.loop.unregister(d.fd, &d.loop.descriptorBudget)
		d.fd = -1
	}
}

func (d *UDPSocket) ready(uint32) {
	for range datagramBurst {
		if d.fd < 0 {
			return
		}
		n, from, err := unix.Recvfrom(d.fd, d.loop.readBuffer, unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR || err == unix.ECONNREFUSED: // ECONNREFUSED refers to an earlier Send
			continue
		case err != nil:
			return
		}
		d.onDatagram(formatSockaddr(from), d.loop.readBuffer[:n])
	}
}
