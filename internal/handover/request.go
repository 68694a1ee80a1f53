package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
)

// dialTimeout limits each blocking call on the socket to the older process, and the time during
// which a reset connection is retried.
const dialTimeout = 2 * time.Second

// retryInterval is the pause before a retry after a connection reset.
const retryInterval = 20 * time.Millisecond

// ErrSilent is returned if a process accepts the connection but sends no state, or ends the connection
// before it has sent its state. It may be suspended, or be busy with another connection.
var ErrSilent = errors.New("the older process sent no state")

// RequestState requests the state from the process of the relay that serves with this state
// directory. If there is none, state is nil and fd is -1. Otherwise fd is the connected socket and
// fds are the listening sockets in the order of State.Fronts; the caller owns all of them. A
// process that was just killed may still accept a connection and then reset it, so a reset is
// retried.
func RequestState(dir string) (fd int, state *State, fds []int, err error) {
	for end := time.Now().Add(dialTimeout); ; time.Sleep(retryInterval) {
		fd, state, fds, err = requestStateOnce(dir)
		if !errors.Is(err, unix.ECONNRESET) && !errors.Is(err, unix.EPIPE) || time.Now().After(end) {
			return fd, state, fds, markSilent(err)
		}
	}
}

// markSilent wraps the errors of a process that did not answer in ErrSilent.
func markSilent(err error) error {
	for _, silent := range []error{unix.EAGAIN, unix.ECONNRESET, unix.EPIPE, io.EOF} {
		if errors.Is(err, silent) {
			return fmt.Errorf("%w: %w", ErrSilent, err)
		}
	}
	return err
}

// errIncompatible is returned for an answer without a state, a state of an unsupported version, or
// one whose fronts do not match the descriptors that came with it.
var errIncompatible = errors.New("the older process speaks an unsupported version of the handover protocol, or sent an incomplete state")

func requestStateOnce(dir string) (fd int, state *State, fds []int, err error) {
	fd, err = netloop.DialChannel(Path(dir), dialTimeout)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, unix.ECONNREFUSED): // no process, or the socket of a dead one
		return -1, nil, nil, nil
	case err != nil:
		return -1, nil, nil, fmt.Errorf("handover: %w", err)
	}
	text, err := json.Marshal(Message{Hello: version})
	if err == nil {
		err = netloop.SendBlocking(fd, append([]byte{frameFinal}, text...))
	}
	var assembler messageAssembler
	for err == nil && state == nil {
		var frame []byte
		var frameFDs []int
		if frame, frameFDs, err = netloop.ReceiveBlocking(fd); err != nil {
			break
		}
		fds = append(fds, frameFDs...)
		var m *Message
		if m, err = assembler.add(frame); err == nil && m != nil {
			if state = m.State; state == nil || state.Version < versionUnconfirmed || state.Version > version || len(state.Fronts) != len(fds) {
				err = errIncompatible
			}
		}
	}
	if err != nil {
		closeAll(append(fds, fd))
		return -1, nil, nil, fmt.Errorf("handover: %w", err)
	}
	return fd, state, fds, nil
}
