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

// Limits of a channel: bytes and descriptors in one message, and messages that wait to be sent.
const (
	maxMessageSize     = 128 << 10
	maxMessageFDs      = 8
	maxPendingMessages = 4096
)

// Channel is a connection to another process on the same host. It carries messages, and descriptors
// along with them.
type Channel struct {
	loop       *Loop
	fd         int // -1 once closed
	pending    []message
	sendErr    error  // why sending failed; messages already received by the kernel are delivered first
	retryTimer *Timer // runs updateInterest again after epoll_ctl has failed
	onMessage  func(text []byte, fds []int)
	onEnd      func(error)
}

type message struct {
	text []byte
	fds  []int // duplicates of the sender's descriptors, closed once the message is sent
}

// ServeChannel serves a connected socket and takes ownership of it, also on an error. onMessage owns
// the descriptors that it is passed. onEnd is called at most once, when the other process has closed
// the channel or the channel has failed.
func (l *Loop) ServeChannel(fd int, onMessage func(text []byte, fds []int), onEnd func(error)) (*Channel, error) {
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 2*maxMessageSize)
	c := &Channel{loop: l, fd: fd, onMessage: onMessage, onEnd: onEnd}
	err := unix.SetNonblock(fd, true)
	if err == nil {
		err = l.register(fd, unix.EPOLLIN, c, &l.descriptorBudget)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("channel: serving socket: %w", err)
	}
	return c, nil
}

// Send sends a message, or queues it if the socket's buffer is full. The caller keeps ownership of
// the descriptors.
func (c *Channel) Send(text []byte, fds ...int) error {
	if c.fd < 0 {
		return io.ErrClosedPipe
	}
	if len(text) > maxMessageSize || len(fds) > maxMessageFDs || len(c.pending) >= maxPendingMessages {
		return fmt.Errorf("channel: cannot send %d bytes with %d descriptors, %d messages pending; limits are %d, %d and %d",
			len(text), len(fds), len(c.pending), maxMessageSize, maxMessageFDs, maxPendingMessages)
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
			return fmt.Errorf("channel: duplicating descriptor %d: %w", fd, err)
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

// Close closes the channel without calling onEnd.
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
			c.sendErr = err // reported after the messages that are still in the receive queue
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
			c.sendErr = err // the kernel reports a reset once, ahead of the messages in the receive queue
			continue
		case err != nil:
			c.fail(cmp.Or(c.sendErr, err))
			return
		}
		c.onMessage(text, fds)
	}
}

// updateInterest makes epoll watch for messages to receive and, while messages are pending, for space
// to send them. If epoll_ctl fails, the call is repeated after resourceRetryDelay.
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
	// Buffers for the largest possible message; the result is cut to the received size.
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
		return nil, nil, fmt.Errorf("channel: received message truncated; limits are %d bytes and %d descriptors",
			maxMessageSize, maxMessageFDs)
	}
	return text[:n], fds, nil
}

// unixAddr returns the socket address of a path. The address refers to the path's directory by a
// descriptor under /proc/self/fd, because a Unix socket address holds at most 107 bytes. closeDir
// closes that descriptor.
func unixAddr(path string) (sockaddr unix.Sockaddr, closeDir func(), err error) {
	dir, err := unix.Open(filepath.Dir(path), unix.O_PATH|unix.O_DIRECTORY|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return &unix.SockaddrUnix{Name: fmt.Sprintf("/proc/self/fd/%d/%s", dir, filepath.Base(path))}, func() { unix.Close(dir) }, nil
}

// DialChannel connects to the process that listens at path and returns the socket, which is in
// blocking mode. SendBlocking and ReceiveBlocking on it block for at most timeout. It is meant for
// the start of a process, before the loop runs.
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
		for err == unix.EINTR {
			err = unix.Connect(fd, sockaddr)
		}
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// SendBlocking sends a message on a socket returned by DialChannel.
func SendBlocking(fd int, text []byte) error { return send(fd, text, nil) }

// ReceiveBlocking waits for a message on a socket returned by DialChannel. The caller owns fds.
func ReceiveBlocking(fd int) (text []byte, fds []int, err error) {
	for {
		text, fds, err = receive(fd, 0)
		if !errors.Is(err, unix.EINTR) { // the kernel does not restart calls on sockets with a timeout
			return text, fds, err
		}
	}
}

// ListenChannel listens at path and calls accept with the socket of each process that connects. It
// replaces a socket file left at path by an earlier process.
func (l *Loop) ListenChannel(path string, accept func(fd int)) (*Listener, error) {
	sockaddr, closeDir, err := unixAddr(path)
	if err != nil {
		return nil, fmt.Errorf("channel: opening the directory of %s: %w", path, err)
	}
	defer closeDir()
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("channel: creating socket: %w", err)
	}
	os.Remove(path)
	s := &Listener{loop: l, fd: fd, onAcceptFD: accept, budget: &l.descriptorBudget}
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = s.start(1)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("channel: listening at %s: %w", path, err)
	}
	return s, nil
}

// Idle reports whether no message is waiting to be sent.
func (c *Channel) Idle() bool { return len(c.pending) == 0 }
