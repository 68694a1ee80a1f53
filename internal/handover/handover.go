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
	"maps"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/pool"
)

// Versions of the notes. Processes speak the lower one of theirs.
const (
	versionUnconfirmed = 1 // notes that carry a connection are not confirmed
	versionConfirmed   = 2 // they are
	version            = versionConfirmed
)

// Message is what one process tells the other. Exactly one field is set, beside Transfer.
type Message struct {
	Transfer  uint64 `json:"transfer,omitempty"`  // the number of a note that carries a connection, if it is to be confirmed
	Confirmed uint64 `json:"confirmed,omitempty"` // what that note carried has been taken over

	Hello            int               `json:"hello,omitempty"` // the second's version
	State            *State            `json:"state,omitempty"` // the first's answer, with the listening sockets
	Serving          bool              `json:"serving,omitempty"`
	Stopping         bool              `json:"leaving,omitempty"`  // the sender was told to stop
	TakingOver       bool              `json:"relieves,omitempty"` // the sender takes clients in, and the other may end
	EjectionsChanged bool              `json:"bans,omitempty"`     // the file of bans has changed
	Drain            *bool             `json:"drain,omitempty"`    // an operator has drained the relay, or resumed
	OpenRequests     *OpenRequests     `json:"open,omitempty"`     // the requests that the first holds
	Flow             *line.FlowHandoff `json:"flow,omitempty"`     // an open flow, with the client's socket and the member's
	Client           *line.IdleConn    `json:"client,omitempty"`   // a client that has asked for nothing yet, with its socket
}

// OpenRequests is what the first holds: clients' ids of the line front, and how many
// descriptors it may hold from now on.
type OpenRequests struct {
	IDs   []uint64 `json:"ids"`
	Limit int      `json:"limit"`
}

// State is what the second starts with.
type State struct {
	Version       int                `json:"version"`
	Fronts        []string           `json:"fronts"` // whose listening sockets come with it, in that order
	Limit         int                `json:"limit"`
	Pool          *pool.EndpointList `json:"pool"`
	DiscoveryAddr string             `json:"watched"` // at which discovery that list goes on; empty if at none
	Learned       core.LearnedState  `json:"learned"`
}

// NewState is a state for a second process of that version.
func NewState(l core.LearnedState, hello int) *State {
	return &State{Version: min(version, hello), Learned: l}
}

// Path is where a process waits for its successor.
func Path(dir string) string { return filepath.Join(dir, "upgrade.sock") }

// dialTimeout is how long a start waits for the first process to answer.
const dialTimeout = 2 * time.Second

// maxFrame bounds one message on the socket; a note may need several. The first
// byte of each says whether more follow.
const maxFrame = 60 << 10

const (
	frameContinues = '+'
	frameFinal     = '.'
)

// retryInterval is how long after a reset the first process is asked anew.
const retryInterval = 20 * time.Millisecond

// RequestState asks the process that serves in this directory for its state. Without one all
// results are zero. The descriptors are in the order of State.Fronts. A process that was killed just now
// may still take a connection in and reset it: it is asked again, or its successor would not start.
func RequestState(dir string) (fd int, state *State, fds []int, err error) {
	for end := time.Now().Add(dialTimeout); ; time.Sleep(retryInterval) {
		fd, state, fds, err = requestStateOnce(dir)
		if !errors.Is(err, unix.ECONNRESET) && !errors.Is(err, unix.EPIPE) || time.Now().After(end) {
			return fd, state, fds, err
		}
	}
}

func requestStateOnce(dir string) (fd int, state *State, fds []int, err error) {
	fd, err = netloop.DialChannel(Path(dir), dialTimeout)
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, unix.ECONNREFUSED): // none, or one that is dead
		return -1, nil, nil, nil
	case err != nil:
		return -1, nil, nil, fmt.Errorf("handover: %w", err)
	}
	text, err := json.Marshal(Message{Hello: version})
	if err == nil {
		err = netloop.SendBlocking(fd, append([]byte{frameFinal}, text...))
	}
	var p noteAssembler
	for err == nil && state == nil {
		var frame []byte
		var some []int
		if frame, some, err = netloop.ReceiveBlocking(fd); err != nil {
			break
		}
		fds = append(fds, some...)
		var n *Message
		if n, err = p.add(frame); err == nil && n != nil {
			if state = n.State; state == nil || state.Version < versionUnconfirmed || state.Version > version || len(state.Fronts) != len(fds) {
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

// assembler puts a note together.
type noteAssembler struct{ text []byte }

func (p *noteAssembler) add(frame []byte) (*Message, error) {
	p.text = append(p.text, frame[1:]...)
	if frame[0] == frameContinues {
		return nil, nil
	}
	n := &Message{}
	err := json.Unmarshal(p.text, n)
	p.text = nil
	return n, err
}

// Transfer is a connection on its way to the other process, with this process's own descriptors of it.
type Transfer struct {
	Note Message
	FDs  []int
}

// Peer is the other process.
type Peer struct {
	channel           *netloop.Channel
	assembler         noteAssembler
	fds               []int
	confirmsTransfers bool // both speak the version in which transfers are confirmed
	lastTransfer      uint64
	unconfirmed       map[uint64]Transfer // not confirmed yet
}

// NewPeer speaks with the other process on a connected socket. Heard must take the
// descriptors over; end is called once, when that process is gone or says what is no
// note.
func NewPeer(loop *netloop.Loop, fd int, heard func(n *Message, fds []int), end func(error)) (*Peer, error) {
	p := &Peer{unconfirmed: map[uint64]Transfer{}}
	var err error
	p.channel, err = loop.Channel(fd, func(frame []byte, fds []int) {
		p.fds = append(p.fds, fds...)
		n, err := p.assembler.add(frame)
		if err != nil {
			p.Close()
			end(err)
		} else if n != nil {
			fds, p.fds = p.fds, nil
			p.dispatch(n, fds, heard)
		}
	}, func(err error) {
		closeAll(p.fds)
		p.fds = nil
		end(err)
	})
	return p, err
}

// SetVersion says which version the other process speaks; until then it is the first.
func (p *Peer) SetVersion(version int) { p.confirmsTransfers = version >= versionConfirmed }

// ConfirmsTransfers says whether transfers are confirmed.
func (p *Peer) ConfirmsTransfers() bool { return p.confirmsTransfers }

// dispatch takes confirmations itself, and confirms what was taken over.
func (p *Peer) dispatch(n *Message, fds []int, heard func(n *Message, fds []int)) {
	if n.Confirmed > 0 {
		closeAll(p.unconfirmed[n.Confirmed].FDs)
		delete(p.unconfirmed, n.Confirmed)
		return
	}
	heard(n, fds)
	if n.Transfer > 0 {
		p.Send(Message{Confirmed: n.Transfer}) // if that fails, the other process has gone
	}
}

// SendConnection hands a connection over, and the descriptors are this package's then. They stay open until the other process has confirmed
// it; what it has not confirmed when it is gone comes back by Unconfirmed. On an error the descriptors are the caller's again.
func (p *Peer) SendConnection(n Message, fds ...int) error {
	if !p.confirmsTransfers {
		err := p.Send(n, fds...)
		if err == nil {
			closeAll(fds)
		}
		return err
	}
	p.lastTransfer++
	n.Transfer = p.lastTransfer
	if err := p.Send(n, fds...); err != nil {
		return err
	}
	p.unconfirmed[n.Transfer] = Transfer{n, fds}
	return nil
}

// Pending is how many transfers are not confirmed.
func (p *Peer) Pending() int { return len(p.unconfirmed) }

// PendingFDs is how many descriptors these hold.
func (p *Peer) PendingFDs() (count int) {
	for _, t := range p.unconfirmed {
		count += len(t.FDs)
	}
	return count
}

// Unconfirmed takes back what the other process has not confirmed, in the order in which it was given.
func (p *Peer) Unconfirmed() (all []Transfer) {
	for _, number := range slices.Sorted(maps.Keys(p.unconfirmed)) {
		all = append(all, p.unconfirmed[number])
	}
	clear(p.unconfirmed)
	return all
}

// Send hands a note over. The descriptors stay the caller's.
func (p *Peer) Send(n Message, fds ...int) error {
	text, err := json.Marshal(n)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	for err == nil && len(text) > maxFrame {
		err = p.channel.Send(append([]byte{frameContinues}, text[:maxFrame]...))
		text = text[maxFrame:]
	}
	if err == nil {
		err = p.channel.Send(append([]byte{frameFinal}, text...), fds...)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Idle says that all that was told has left, and all that was given is confirmed.
func (p *Peer) Idle() bool { return p.channel.Idle() && len(p.unconfirmed) == 0 }

// Close ends the conversation; nobody here is told.
func (p *Peer) Close() {
	closeAll(p.fds)
	p.fds = nil
	p.channel.Close()
}
