package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// changeInterval is the interval at which a voter under a new identity repeats its change proposal.
const changeInterval = time.Second

// Replace makes the relay newName, at address, a voter in place of oldName, and returns once the
// record contains the change. The new relay must be running. The leader rejects the change if any
// other voter is unhealthy or another change is in progress. If both names are equal, only the
// address changes.
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

// replacementIdentity returns the identity of the relay that becomes a voter.
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

// submitChange sends an operator's change proposal to the leader. It makes attempts until a relay
// has accepted or rejected one, or may have acted on it.
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

// sendChange asks the leader to make this relay a voter under its new identity.
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

// handleChange adds a change proposal at the leader. An operator's proposal is rejected if the change
// is not allowed now; a voter's own proposal waits until it is.
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
