package handover

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/netloop"
)

// Transfer is a connection that was sent and is not confirmed yet, with this process's own descriptors of it.
type Transfer struct {
	Message Message
	FDs     []int
}

// Peer is the other process.
type Peer struct {
	channel           *netloop.Channel
	assembler         messageAssembler
	fds               []int
	confirmsTransfers bool // both speak the version in which transfers are confirmed
	lastTransfer      uint64
	unconfirmed       map[uint64]Transfer // not confirmed yet
}

// NewPeer exchanges messages with the other process on a connected socket. onMessage owns the descriptors that it gets; onEnd is called
// once, when the other process is gone or sends what is no message.
func NewPeer(loop *netloop.Loop, fd int, onMessage func(m *Message, fds []int), onEnd func(error)) (*Peer, error) {
	p := &Peer{unconfirmed: map[uint64]Transfer{}}
	var err error
	p.channel, err = loop.ServeChannel(fd, func(frame []byte, fds []int) {
		p.fds = append(p.fds, fds...)
		m, err := p.assembler.add(frame)
		if err != nil {
			p.Close()
			onEnd(err)
		} else if m != nil {
			fds, p.fds = p.fds, nil
			p.dispatch(m, fds, onMessage)
		}
	}, func(err error) {
		closeAll(p.fds)
		p.fds = nil
		onEnd(err)
	})
	return p, err
}

// SetVersion sets the version of the other process; before that it is the first version.
func (p *Peer) SetVersion(version int) { p.confirmsTransfers = version >= versionConfirmed }

// ConfirmsTransfers reports whether transfers are confirmed.
func (p *Peer) ConfirmsTransfers() bool { return p.confirmsTransfers }

// dispatch handles confirmations, passes on all other messages, and confirms transfers.
func (p *Peer) dispatch(m *Message, fds []int, onMessage func(m *Message, fds []int)) {
	if m.Confirmed > 0 {
		closeAll(p.unconfirmed[m.Confirmed].FDs)
		delete(p.unconfirmed, m.Confirmed)
		return
	}
	onMessage(m, fds)
	if m.Transfer > 0 {
		p.Send(Message{Confirmed: m.Transfer}) // if that fails, the other process has gone
	}
}

// SendConnection sends a connection and takes over its descriptors. They stay open until the other process confirms the transfer;
// transfers that are not confirmed when it is gone come back by Unconfirmed. On an error the descriptors stay the caller's.
func (p *Peer) SendConnection(m Message, fds ...int) error {
	if !p.confirmsTransfers {
		err := p.Send(m, fds...)
		if err == nil {
			closeAll(fds)
		}
		return err
	}
	p.lastTransfer++
	m.Transfer = p.lastTransfer
	if err := p.Send(m, fds...); err != nil {
		return err
	}
	p.unconfirmed[m.Transfer] = Transfer{m, fds}
	return nil
}

// Pending is the number of transfers that are not confirmed.
func (p *Peer) Pending() int { return len(p.unconfirmed) }

// PendingFDs is the number of their descriptors.
func (p *Peer) PendingFDs() (count int) {
	for _, t := range p.unconfirmed {
		count += len(t.FDs)
	}
	return count
}

// Unconfirmed takes back the transfers that are not confirmed, in the order in which they were sent.
func (p *Peer) Unconfirmed() (all []Transfer) {
	for _, number := range slices.Sorted(maps.Keys(p.unconfirmed)) {
		all = append(all, p.unconfirmed[number])
	}
	clear(p.unconfirmed)
	return all
}

// Send sends a message. The descriptors stay the caller's.
func (p *Peer) Send(m Message, fds ...int) error {
	text, err := json.Marshal(m)
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

// Idle reports whether all messages have left and all transfers are confirmed.
func (p *Peer) Idle() bool { return p.channel.Idle() && len(p.unconfirmed) == 0 }

// Close closes the channel without a call of onEnd.
func (p *Peer) Close() {
	closeAll(p.fds)
	p.fds = nil
	p.channel.Close()
}
