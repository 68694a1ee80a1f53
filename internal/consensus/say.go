package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// queueReport puts a word into the ring for the leader.
func (n *Node) queueReport(word []byte) error {
	if len(word) > MaxReportSize {
		return ErrTooLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queuedReports) >= maxQueuedReports || n.queuedReportBytes+len(word) > maxQueuedReportBytes {
		n.dropped["said"]++
		return ErrQueueFull
	}
	n.queuedReports = append(n.queuedReports, bytes.Clone(word))
	n.queuedReportBytes += len(word)
	return nil
}

// reportLoop brings what was said to the leader, once a second. What does not arrive is lost, and counted.
func (n *Node) reportLoop() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-n.quit:
			return
		case <-t.C:
		}
		n.mu.Lock()
		words := n.queuedReports
		n.queuedReports, n.queuedReportBytes = nil, 0
		n.mu.Unlock()
		if len(words) > 0 && !n.deliverReports(words) {
			n.countDropped("unheard")
		}
	}
}

func (n *Node) deliverReports(words [][]byte) bool {
	if _, here, _ := n.knownLeader(); here {
		n.queueReplies(n.options.Name, n.processReports(n.ctx, n.options.Name, words))
		return true
	}
	b := putBytes(putUints(nil, 0), n.options.Name)
	b = putList(b, words)
	// By the voter whose stream is read, else by the leader: a voter has its way to the leader open.
	list := n.leaderCandidates()
	n.mu.Lock()
	via := n.followState.source
	n.mu.Unlock()
	for i, m := range list {
		if m.Name == via {
			list[0], list[i] = list[i], list[0]
		}
	}
	for _, m := range list {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		a, err := n.client.call(ctx, m.Name, m.Addr, requestReport, b)
		cancel()
		if err == nil && a[0] == codeOK {
			r := reader{rest: a[1:]}
			leader, answers := r.string(), r.list(len(words))
			if r.finish() == nil {
				n.queueReplies(leader, answers)
			}
			return true
		}
		if n.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// processReports puts words into the leader's ring, and waits for the answers: not for long, and not if many wait already. The words count in any case.
func (n *Node) processReports(ctx context.Context, from string, words [][]byte) (answers [][]byte) {
	back := make(chan []byte, len(words))
	wait := 0
	for _, w := range words {
		select {
		case n.incomingReports <- reportMessage{from, w, back}:
			wait++
		default:
			n.countDropped("heard")
		}
	}
	select {
	case n.replyWaiters <- struct{}{}:
		defer func() { <-n.replyWaiters }()
	default:
		n.countDropped("unanswered")
		return nil
	}
	late := time.NewTimer(replyTimeout)
	defer late.Stop()
	for range wait {
		select {
		case a := <-back:
			if len(a) > 0 {
				answers = append(answers, a)
			}
			continue
		case <-late.C:
			n.countDropped("unanswered")
		case <-ctx.Done():
		case <-n.quit:
		}
		break
	}
	return answers
}

func (n *Node) queueReplies(leader string, answers [][]byte) {
	for _, a := range answers {
		select {
		case n.incomingReplies <- reportMessage{from: leader, content: a}:
		default:
			n.countDropped("told")
		}
	}
}

func (n *Node) handleReports(ctx context.Context, body []byte) []byte {
	return n.atLeader(ctx, requestReport, body, func(r reader) []byte {
		from, words := r.string(), r.list(maxQueuedReports)
		if err := r.finish(); err != nil {
			return rejection(err)
		}
		return putList(putBytes([]byte{codeOK}, n.options.Name), n.processReports(ctx, from, words))
	})
}

// atLeader has the leader do what a request asks for: here, or by passing it on, once. A body begins with how often that was done.
func (n *Node) atLeader(ctx context.Context, kind byte, body []byte, here func(reader) []byte) []byte {
	r := reader{rest: body}
	hops := r.uint()
	m, leads, known := n.knownLeader()
	switch {
	case r.err != nil:
		return rejection(r.err)
	case leads:
		return here(r)
	case !known || hops > 0:
		return []byte{codeNoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	b, err := n.client.call(ctx, m.Name, m.Addr, kind, append(putUints(nil, hops+1), r.rest...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return b
}

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
