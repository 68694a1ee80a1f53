package netloop

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a channel: one message, the descriptors that go with it, and the
// messages that may wait for the other process.
const (
	maxMessageSize     = 128 << 10
	maxMessageFDs      = 8
	maxPendingMessages = 4096
)

// Channel is a connection to another process of this machine. It carries messages,
// each whole, and descriptors with them.
type Channel struct {
	loop       *Loop
	fd         int // -1 once given back
	pending    []message
	sendErr    error  // how it ended, while what came before is still heard
	retryTimer *Timer // until epoll is asked again
	onMessage  func(text []byte, fds []int)
	onEnd      func(error)
}

type message struct {
	text []byte
	fds  []int // duplicates, closed once sent
}

// Channel serves a connected socket. Heard must take the descriptors that come over
// or close them; end is called once, when the other process is gone.
func (l *Loop) Channel(fd int, heard func(text []byte, fds []int), end func(error)) (*Channel, error) {
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 2*maxMessageSize)
	c := &Channel{loop: l, fd: fd, onMessage: heard, onEnd: end}
	err := unix.SetNonblock(fd, true)
	if err == nil {
		err = l.register(fd, unix.EPOLLIN, c, &l.descriptorBudget)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("channel: %w", err)
	}
	return c, nil
}

// Send hands a message over. The descriptors stay the caller's.
func (c *Channel) Send(text []byte, fds ...int) error {
	if c.fd < 0 {
		return io.ErrClosedPipe
	}
	if len(text) > maxMessageSize || len(fds) > maxMessageFDs || len(c.pending) >= maxPendingMessages {
		return fmt.Errorf("channel: %d bytes, %d descriptors, %d waiting", len(text), len(fds), len(c.pending))
	}
	if len(c.pending) == 0 {
		err := send(c.fd, text, fds)
		if !errors.Is(err, unix.EAGAIN) {
			return err
		}
	}
	m := message{text: text}
	for _, fd := range fds {
		twin, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			m.close()
			return fmt.Errorf("channel: %w", err)
		}
		m.fds = append(m.fds, twin)
	}
	c.pending = append(c.pending, m)
	c.updateInterest()
	return nil
}

func (m *message) close() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
}

// Close gives all back; nobody is told.
func (c *Channel) Close() {
	if c.fd < 0 {
		return
	}
	for _, m := range c.pending {
		m.close()
	}
	c.retryTimer.Stop()
	c.loop.unregister(c.fd, &c.loop.descriptorBudget)
	c.fd, c.pending = -1, nil
}

func (c *Channel) ready(events uint32) {
	for c.fd >= 0 && len(c.pending) > 0 && events&unix.EPOLLOUT != 0 {
		m := c.pending[0]
		err := send(c.fd, m.text, m.fds)
		if errors.Is(err, unix.EAGAIN) {
			break
		}
		if err != nil {
			c.sendErr = err // what has come before it is heard first
			break
		}
		m.close()
		if c.pending = c.pending[1:]; len(c.pending) == 0 {
			c.updateInterest()
		}
	}
	for range maxReadsPerEvent {
		if c.fd < 0 || events&^unix.EPOLLOUT == 0 {
			return
		}
		text, fds, err := receive(c.fd, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) && c.sendErr == nil:
			return
		case errors.Is(err, unix.ECONNRESET) && c.sendErr == nil:
			c.sendErr = err // the kernel shows it once, before the messages that wait
			continue
		case err != nil:
			c.fail(cmp.Or(c.sendErr, err))
			return
		}
		c.onMessage(text, fds)
	}
}

// updateInterest has epoll tell of what comes, and of room while messages wait. Where the system has no means for that now it is
// tried again.
func (c *Channel) updateInterest() {
	if c.fd < 0 {
		return
	}
	var want uint32 = unix.EPOLLIN
	if len(c.pending) > 0 {
		want |= unix.EPOLLOUT
	}
	if c.loop.epollCtl(unix.EPOLL_CTL_MOD, c.fd, want) != nil {
		c.retryTimer.Stop()
		c.retryTimer = c.loop.After(resourceRetryDelay, c.updateInterest)
	}
}

func (c *Channel) fail(err error) {
	c.Close()
	c.onEnd(err)
}

func send(fd int, text []byte, fds []int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	for {
		err := unix.Sendmsg(fd, text, rights, nil, unix.MSG_NOSIGNAL)
		if err != unix.EINTR {
			return err
		}
	}
}

func receive(fd, flags int) ([]byte, []int, error) {
	// Sized for the largest, and cut to what came.
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(4*maxMessageFDs))
	n, m, got, _, err := unix.Recvmsg(fd, text, rights, flags|unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return nil, nil, err
	}
	var fds []int
	if parts, err := unix.ParseSocketControlMessage(rights[:m]); err == nil {
		for i := range parts {
			if some, err := unix.ParseUnixRights(&parts[i]); err == nil {
				fds = append(fds, some...)
			}
		}
	}
	if n == 0 {
		return nil, nil, io.EOF
	}
	if got&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		(&message{fds: fds}).close()
		return nil, nil, errors.New("channel: a message came cut short")
	}
	return text[:n], fds, nil
}

// unixAddr is a path as a socket's address. The path goes by a descriptor of its
// directory, since an address has room for 107 bytes only. Done gives that back.
func unixAddr(path string) (at unix.Sockaddr, done func(), err error) {
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))}, func() { unix.Close(dir) }, nil
}

// DialChannel connects to the process that listens there. What is done on the socket
// by Say and Hear blocks, for so long at most; that is meant for a start, before the
// loop runs.
func DialChannel(path string, within time.Duration) (int, error) {
	at, done, err := unixAddr(path)
	if err != nil {
		return -1, err
	}
	defer done()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	limit := unix.NsecToTimeval(within.Nanoseconds())
	for _, option := range []int{unix.SO_RCVTIMEO, unix.SO_SNDTIMEO} {
		if err == nil {
			err = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, option, &limit)
		}
	}
	if err == nil {
		err = unix.Connect(fd, at)
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// SendBlocking sends a message on a socket of DialChannel's.
func SendBlocking(fd int, text []byte) error { return send(fd, text, nil) }

// ReceiveBlocking waits for one there.
func ReceiveBlocking(fd int) (text []byte, fds []int, err error) { return receive(fd, 0) }

// ListenChannel takes in processes that connect there. A socket that a process left
// behind there is replaced.
func (l *Loop) ListenChannel(path string, accept func(fd int)) (*Listener, error) {
	at, done, err := unixAddr(path)
	if err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	defer done()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	os.Remove(path)
	s := &Listener{loop: l, fd: fd, onAcceptFD: accept, budget: &l.descriptorBudget}
	if err = unix.Bind(fd, at); err == nil {
		err = s.start(1)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("channel: %w", err)
	}
	return s, nil
}

// Idle says that nothing waits to be sent.
func (c *Channel) Idle() bool { return len(c.pending) == 0 }
