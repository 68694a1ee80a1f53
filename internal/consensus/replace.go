package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// changeInterval is how often a voter under a new identity repeats its change proposal.
const changeInterval = time.Second

// Replace makes the relay newName, at address, a voter in the place of oldName. The new relay has to run already. It returns when the
// record has the change; it is rejected unless all other voters are healthy, or while another change is in progress. If both names are
// equal, only the address changes.
func (n *Node) Replace(ctx context.Context, oldName, newName, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	identity, err := n.replacementIdentity(oldName, newName, address)
	if err != nil {
		return err
	}
	proposal := changeProposal{oldName: oldName, newName: newName, address: address, newID: identity, byOperator: true}
	if err := n.submitChange(ctx, append(putUints(nil, 0), proposal.encode()...)); err != nil {
		return err
	}
	for {
		recordID, _, changed := n.applier.position()
		if v, ok := n.applier.voterSet()[identity]; ok && recordID != 0 && v == (voter{newName, address}) {
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

// replacementIdentity is the identity of the relay that becomes a voter.
func (n *Node) replacementIdentity(oldName, newName, address string) (identity uint64, err error) {
	switch newName {
	case oldName:
		if identity = n.applier.voterSet().idOf(oldName); identity == 0 {
			return 0, errUnknownVoter
		}
		return identity, nil
	case n.options.Name:
		n.mu.Lock()
		identity = n.identity
		n.mu.Unlock()
	default:
		status, err := n.queryPeer(voter{newName, address}, 0, 0)
		if err != nil {
			return 0, fmt.Errorf("consensus: %s at %s: %w", newName, address, err)
		}
		identity = status.identity
	}
	if identity == 0 {
		return 0, fmt.Errorf("consensus: %s has no identity yet", newName)
	}
	return identity, nil
}

// submitChange has the leader take an operator's change proposal. It makes attempts until a relay has acted on one.
func (n *Node) submitChange(ctx context.Context, body []byte) error {
	for {
		var candidates []voter
		if leader, isSelf, ok := n.knownLeader(); isSelf {
			response := n.handleChange(ctx, body)
			if response[0] == codeOK {
				return nil
			}
			return errors.New(string(response[1:]))
		} else if ok {
			candidates = append(candidates, leader)
		}
		for _, v := range append(candidates, n.otherVoters()...) {
			response, err := n.client.call(ctx, v, requestChange, body)
			switch {
			case errors.Is(err, errNotSent):
			case err != nil:
				return ErrOutcomeUnknown
			case response[0] == codeOK:
				return nil
			case response[0] == codeRejected:
				return errors.New(string(response[1:]))
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

// sendChange asks the leader to add this voter under its new identity.
func (n *Node) sendChange(p changeProposal) {
	for _, v := range n.leaderCandidates() {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		response, err := n.client.call(ctx, v, requestChange, append(putUints(nil, 0), p.encode()...))
		cancel()
		if err == nil && response[0] == codeOK {
			return
		}
	}
}

// handleChange takes a change proposal at the leader. An operator's is rejected if it is not allowed now; a voter's own waits.
func (n *Node) handleChange(ctx context.Context, body []byte) []byte {
	return n.handleAtLeader(ctx, requestChange, body, func(r reader) []byte {
		p := r.changeProposal()
		if r.finish() != nil || p.newID == 0 || p.newName == "" {
			return rejection(errMalformed)
		}
		done := make(chan error, 1)
		n.onEngine(func(e *engine) {
			var err error
			if p.byOperator {
				_, err = e.core.checkChange(p)
			}
			if err == nil {
				e.core.addProposal(p)
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
