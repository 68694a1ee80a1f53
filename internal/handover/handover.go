// Package handover is how two processes of one relay speak while the second takes
// the first one's place: by notes on a Unix socket, with descriptors. It decides
// nothing; what the notes lead to is in cmd/dahliarudder. See docs/design.md,
// "Upgrades".
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/pool"
)

// version is that of the notes. Processes that differ do not take over from each other.
const version = 1

// Note is what one process tells the other. Exactly one field is set.
type Note struct {
	Hello   int        `json:"hello,omitempty"` // the second's version
	State   *State     `json:"state,omitempty"` // the first's answer, with the listening sockets
	Serving bool       `json:"serving,omitempty"`
	Bans    bool       `json:"bans,omitempty"`   // the file of bans has changed
	Drain   *bool      `json:"drain,omitempty"`  // an operator has drained the relay, or resumed
	Open    *Open      `json:"open,omitempty"`   // the requests that the first holds
	Flow    *line.Flow `json:"flow,omitempty"`   // an open flow, with the client's socket and the member's
	Client  *Client    `json:"client,omitempty"` // a client that has asked for nothing yet, with its socket
}

// Open is what the first holds: clients' ids of the line front, and how many
// descriptors it may hold from now on.
type Open struct {
	IDs   []uint64 `json:"ids"`
	Limit int      `json:"limit"`
}

// State is what the second starts with.
type State struct {
	Version int          `json:"version"`
	Fronts  []string     `json:"fronts"` // whose listening sockets come with it, in that order
	Limit   int          `json:"limit"`
	Pool    *pool.List   `json:"pool"`
	Watched string       `json:"watched"` // at which discovery that list goes on; empty if at none
	Learned core.Learned `json:"learned"`
}

// NewState is a state in this process's version.
func NewState(l core.Learned) *State { return &State{Version: version, Learned: l} }

// Client is a connection on which no request has come.
type Client struct {
	Unread []byte `json:"unread"`
}

// Path is where a process waits for its successor.
func Path(dir string) string { return filepath.Join(dir, "upgrade.sock") }

// within is how long a start waits for the first process to answer.
const within = 2 * time.Second

// frameMost bounds one message on the socket; a note may need several. The first
// byte of each says whether more follow.
const frameMost = 60 << 10

const (
	more = '+'
	last = '.'
)

// again is how long after a reset the first process is asked anew.
const again = 20 * time.Millisecond

// Find asks the process that serves in this directory for its state. Without one all
// results are zero. The descriptors are in the order of State.Fronts. A process that was killed just now
// may still take a connection in and reset it: it is asked again, or its successor would not start.
func Find(dir string) (fd int, state *State, fds []int, err error) {
	for end := time.Now().Add(within); ; time.Sleep(again) {
		fd, state, fds, err = ask(dir)
		if !errors.Is(err, unix.ECONNRESET) && !errors.Is(err, unix.EPIPE) || time.Now().After(end) {
			return fd, state, fds, err
		}
	}
}

func ask(dir string) (fd int, state *State, fds []int, err error) {
	fd, err = netloop.DialChannel(Path(dir), within)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, unix.ECONNREFUSED): // none, or one that is dead
		return -1, nil, nil, nil
	case err != nil:
		return -1, nil, nil, fmt.Errorf("handover: %w", err)
	}
	text, err := json.Marshal(Note{Hello: version})
	if err == nil {
		err = netloop.Say(fd, append([]byte{last}, text...))
	}
	var p parts
	for err == nil && state == nil {
		var frame []byte
		var some []int
		if frame, some, err = netloop.Hear(fd); err != nil {
			break
		}
		fds = append(fds, some...)
		var n *Note
		if n, err = p.add(frame); err == nil && n != nil {
			if state = n.State; state == nil || state.Version != version || len(state.Fronts) != len(fds) {
				err = errors.New("the first process speaks otherwise")
			}
		}
	}
	if err != nil {
		closeAll(append(fds, fd))
		return -1, nil, nil, fmt.Errorf("handover: %w", err)
	}
	return fd, state, fds, nil
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// parts puts a note together.
type parts struct{ text []byte }

func (p *parts) add(frame []byte) (*Note, error) {
	p.text = append(p.text, frame[1:]...)
	if frame[0] == more {
		return nil, nil
	}
	n := &Note{}
	err := json.Unmarshal(p.text, n)
	p.text = nil
	return n, err
}

// Peer is the other process.
type Peer struct {
	channel *netloop.Channel
	parts   parts
	fds     []int
}

// Join speaks with the other process on a connected socket. Heard must take the
// descriptors over; end is called once, when that process is gone or says what is no
// note.
func Join(loop *netloop.Loop, fd int, heard func(n *Note, fds []int), end func(error)) (*Peer, error) {
	p := &Peer{}
	var err error
	p.channel, err = loop.Channel(fd, func(frame []byte, fds []int) {
		p.fds = append(p.fds, fds...)
		n, err := p.parts.add(frame)
		if err != nil {
			p.Leave()
			end(err)
		} else if n != nil {
			fds, p.fds = p.fds, nil
			heard(n, fds)
		}
	}, func(err error) {
		closeAll(p.fds)
		p.fds = nil
		end(err)
	})
	return p, err
}

// Tell hands a note over. The descriptors stay the caller's.
func (p *Peer) Tell(n Note, fds ...int) error {
	text, err := json.Marshal(n)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	for err == nil && len(text) > frameMost {
		err = p.channel.Send(append([]byte{more}, text[:frameMost]...))
		text = text[frameMost:]
	}
	if err == nil {
		err = p.channel.Send(append([]byte{last}, text...), fds...)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Quiet says that all that was told has left.
func (p *Peer) Quiet() bool { return p.channel.Quiet() }

// Leave ends the conversation; nobody here is told.
func (p *Peer) Leave() {
	closeAll(p.fds)
	p.fds = nil
	p.channel.Close()
}
