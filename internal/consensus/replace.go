package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Replace makes the relay newName, at address, a voter in the place of oldName. The new relay has to run already. It returns when the
// record has the change; it is rejected unless all other voters are healthy, or while another change is in progress. If both names are
// equal, only the address changes.
func (n *Node) Replace(ctx context.Context, oldName, newName, address string) error {
	return n.replaceVoter(ctx, oldName, newName, address)
}

const (
	changeInterval = time.Second
)

// replaceVoter asks the leader for a change of voters and waits until the record here has it.
func (n *Node) replaceVoter(ctx context.Context, old, new, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	var identity uint64
	if old == new {
		identity = n.applier.voterSet().idOf(old)
		if identity == 0 {
			return errUnknownVoter
		}
	} else {
		if new == n.options.Name {
			n.mu.Lock()
			identity = n.identity
			n.mu.Unlock()
		} else {
			h, err := n.queryPeer(voter{new, address}, 0, 0)
			if err != nil {
				return fmt.Errorf("accord: %s at %s: %w", new, address, err)
			}
			identity = h.identity
		}
		if identity == 0 {
			return fmt.Errorf("accord: %s has no identity yet", new)
		}
	}
	w := changeProposal{oldName: old, newName: new, address: address, newID: identity, byOperator: true}
	if err := n.submitChange(ctx, append(putUints(nil, 0), w.encode()...)); err != nil {
		return err
	}
	for {
		record, _, changed := n.applier.position()
		if m, ok := n.applier.voterSet()[identity]; ok && record != 0 && m == (voter{new, address}) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-n.quit:
			return ErrClosed
		}
	}
}

func (n *Node) submitChange(ctx context.Context, body []byte) error {
	for {
		var list []voter
		if m, here, ok := n.knownLeader(); here {
			a := n.handleChange(ctx, body)
			if a[0] == codeOK {
				return nil
			}
			return errors.New(string(a[1:]))
		} else if ok {
			list = append(list, m)
		}
		for _, m := range append(list, n.otherVoters()...) {
			a, err := n.client.call(ctx, m.Name, m.Addr, requestChange, body)
			switch {
			case errors.Is(err, errNotSent):
			case err != nil:
				return ErrOutcomeUnknown
			case a[0] == codeOK:
				return nil
			case a[0] == codeRejected:
				return errors.New(string(a[1:]))
			}
		}
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-n.quit:
			return ErrClosed
		case <-time.After(retryDelay):
		}
	}
}

// sendChange has the leader know that this relay is to be taken in.
func (n *Node) sendChange(w changeProposal) {
	for _, m := range n.leaderCandidates() {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		b, err := n.client.call(ctx, m.Name, m.Addr, requestChange, append(putUints(nil, 0), w.encode()...))
		cancel()
		if err == nil && b[0] == codeOK {
			return
		}
	}
}

// handleChange takes a change of voters at the leader. One that was ordered is refused if it is not allowed now; a newcomer's waits.
func (n *Node) handleChange(ctx context.Context, body []byte) []byte {
	return n.atLeader(ctx, requestChange, body, func(r reader) []byte {
		w := changeProposal{byOperator: r.uint() == 1, newID: r.uint(), oldName: r.string(), newName: r.string(), address: r.string()}
		if r.finish() != nil || w.newID == 0 || w.newName == "" {
			return rejection(errMalformed)
		}
		done := make(chan error, 1)
		n.onEngine(func(e *engine) {
			var err error
			if w.byOperator {
				_, err = e.core.checkChange(w)
			}
			if err == nil {
				e.core.addProposal(w)
			}
			done <- err
		})
		select {
		case err := <-done:
			if err != nil {
				return rejection(err)
			}
			return []byte{codeOK}
		case <-ctx.Done():
		case <-n.quit:
		}
		return []byte{codeNoLeader}
	})
}
