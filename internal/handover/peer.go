package handover

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/netloop"
)

// Transfer is a connection that was sent to the other process and is not confirmed yet. FDs are
// this process's own descriptors of the connection.
type Transfer struct {
	Message Message
	FDs     []int
}

// Peer is the connection to the other process of the relay.
type Peer struct {
	channel      *netloop.Channel
	assembler    messageAssembler
	fds          []int               // descriptors of the message that is being received
	version      int                 // that the other process speaks
	lastTransfer uint64              // number of the last transfer sent
	unconfirmed  map[uint64]Transfer // transfers not confirmed yet, by number
}

// NewPeer exchanges messages with the other process on a connected socket. onMessage owns the
// descriptors that it receives. onEnd is called once, when the other process is gone or a message
// from it cannot be decoded; the connection is closed by then.
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

// SetVersion sets the protocol version that the other process speaks. Until it is called, the first
// version is assumed, in which transfers are not confirmed.
func (p *Peer) SetVersion(version int) { p.version = version }

// ConfirmsTransfers reports whether the two processes confirm transfers.
func (p *Peer) ConfirmsTransfers() bool { return p.version >= versionConfirmed }

// ConnectsProcessors reports whether the processors of the two processes ask each other.
func (p *Peer) ConnectsProcessors() bool { return p.version >= versionProcessor }

// dispatch handles a confirmation itself and passes any other message to onMessage. If the message
// has a transfer number, dispatch confirms it afterwards.
func (p *Peer) dispatch(m *Message, fds []int, onMessage func(m *Message, fds []int)) {
	if m.Confirmed > 0 {
		closeAll(p.unconfirmed[m.Confirmed].FDs)
		delete(p.unconfirmed, m.Confirmed)
		return
	}
	onMessage(m, fds)
	if m.Transfer > 0 {
		p.Send(Message{Confirmed: m.Transfer}) // the error is ignored: it means that the other process is gone
	}
}

// SendConnection sends a connection and takes ownership of its descriptors. They stay open until
// the other process confirms the transfer; if it ends before, Unconfirmed returns them. On an error
// the caller keeps ownership. If the other process does not confirm transfers, the descriptors are
// closed as soon as the message is sent.
func (p *Peer) SendConnection(m Message, fds ...int) error {
	if !p.ConfirmsTransfers() {
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

// Pending returns the number of transfers that are not confirmed yet.
func (p *Peer) Pending() int { return len(p.unconfirmed) }

// PendingFDs returns the number of descriptors of the transfers that are not confirmed yet.
func (p *Peer) PendingFDs() (count int) {
	for _, t := range p.unconfirmed {
		count += len(t.FDs)
	}
	return count
}

// Unconfirmed removes the transfers that are not confirmed and returns them in the order in which
// they were sent. The caller owns their descriptors.
func (p *Peer) Unconfirmed() (all []Transfer) {
	for _, number := range slices.Sorted(maps.Keys(p.unconfirmed)) {
		all = append(all, p.unconfirmed[number])
	}
	clear(p.unconfirmed)
	return all
}

// Send sends a message. The caller keeps ownership of the descriptors.
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

// Idle reports whether all messages have been sent and all transfers are confirmed.
func (p *Peer) Idle() bool { return p.channel.Idle() && len(p.unconfirmed) == 0 }

// Close closes the connection to the other process. It does not call onEnd.
func (p *Peer) Close() {
	closeAll(p.fds)
	p.fds = nil
	p.channel.Close()
}
