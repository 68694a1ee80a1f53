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

// Bounds of a channel: one message, the descriptors that go with it, and the messages that may wait for the other process.
const (
	maxMessageSize     = 128 << 10
	maxMessageFDs      = 8
	maxPendingMessages = 4096
)

// Channel is a connection to another process of this machine, which carries messages and descriptors with them.
type Channel struct {
	loop       *Loop
	fd         int // -1 once given back
	pending    []message
	sendErr    error  // how sending ended, while messages that came before are still received
	retryTimer *Timer // until updateInterest is tried again
	onMessage  func(text []byte, fds []int)
	onEnd      func(error)
}

type message struct {
	text []byte
	fds  []int // duplicates, closed once sent
}

// ServeChannel serves a connected socket. OnMessage must take the descriptors that come over or close them; onEnd is called once, when
// the other process is gone.
func (l *Loop) ServeChannel(fd int, onMessage func(text []byte, fds []int), onEnd func(error)) (*Channel, error) {
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 2*maxMessageSize)
	c := &Channel{loop: l, fd: fd, onMessage: onMessage, onEnd: onEnd}
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

// Send sends a message. The descriptors stay the caller's.
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
		duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			m.closeFDs()
			return fmt.Errorf("channel: %w", err)
		}
		m.fds = append(m.fds, duplicate)
	}
	c.pending = append(c.pending, m)
	c.updateInterest()
	return nil
}

func (m *message) closeFDs() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
}

// Close closes the channel without a call of onEnd.
func (c *Channel) Close() {
	if c.fd < 0 {
		return
	}
	for _, m := range c.pending {
		m.closeFDs()
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
			c.sendErr = err // messages that came before it are received first
			break
		}
		m.closeFDs()
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
			c.sendErr = err // the kernel reports it once, before the messages that wait
			continue
		case err != nil:
			c.fail(cmp.Or(c.sendErr, err))
			return
		}
		c.onMessage(text, fds)
	}
}

// updateInterest has epoll watch for messages, and while some are pending for space to send them. If the system is out of resources
// it is tried again.
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
	n, controlLen, receivedFlags, _, err := unix.Recvmsg(fd, text, rights, flags|unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return nil, nil, err
	}
	var fds []int
	if controlMessages, err := unix.ParseSocketControlMessage(rights[:controlLen]); err == nil {
		for i := range controlMessages {
			if passed, err := unix.ParseUnixRights(&controlMessages[i]); err == nil {
				fds = append(fds, passed...)
			}
		}
	}
	if n == 0 {
		return nil, nil, io.EOF
	}
	if receivedFlags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		(&message{fds: fds}).closeFDs()
		return nil, nil, errors.New("channel: a message came cut short")
	}
	return text[:n], fds, nil
}

// unixAddr is a path as a socket's address. It goes by a descriptor of its directory, since an address has at most 107 bytes.
// Done closes that.
func unixAddr(path string) (sockaddr unix.Sockaddr, closeDir func(), err error) {
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))}, func() { unix.Close(dir) }, nil
}

// DialChannel connects to the process that listens at a path. SendBlocking and ReceiveBlocking on the socket block for at most
// the timeout; that is meant for a start, before the loop runs.
func DialChannel(path string, timeout time.Duration) (int, error) {
	sockaddr, closeDir, err := unixAddr(path)
	if err != nil {
		return -1, err
	}
	defer closeDir()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	limit := unix.NsecToTimeval(timeout.Nanoseconds())
	for _, option := range []int{unix.SO_RCVTIMEO, unix.SO_SNDTIMEO} {
		if err == nil {
			err = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, option, &limit)
		}
	}
	if err == nil {
		err = unix.Connect(fd, sockaddr)
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// SendBlocking sends a message on a socket of DialChannel's.
func SendBlocking(fd int, text []byte) error { return send(fd, text, nil) }

// ReceiveBlocking waits for a message on a socket of DialChannel's.
func ReceiveBlocking(fd int) (text []byte, fds []int, err error) { return receive(fd, 0) }

// ListenChannel accepts processes that connect at a path. A socket that a process left behind there is replaced.
func (l *Loop) ListenChannel(path string, accept func(fd int)) (*Listener, error) {
	sockaddr, closeDir, err := unixAddr(path)
	if err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	defer closeDir()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	os.Remove(path)
	s := &Listener{loop: l, fd: fd, onAcceptFD: accept, budget: &l.descriptorBudget}
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = s.start(1)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("channel: %w", err)
	}
	return s, nil
}

// Idle reports whether no message waits to be sent.
func (c *Channel) Idle() bool { return len(c.pending) == 0 }
