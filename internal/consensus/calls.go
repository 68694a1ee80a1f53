package consensus

import (
	"context"
	"encoding/binary"
	"errors"
	"time"
)

// Propose has a command committed, from any relay. It returns the machine's result and the index once a relay that knows has applied it;
// this relay's machine may still be behind (WaitApplied). A command is never proposed twice: an error other than ErrOutcomeUnknown says
// that nothing was committed.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	return n.propose(ctx, command)
}

// Barrier returns when all that was committed before the call is applied here. It needs a quorum, and adds nothing to the log.
func (n *Node) Barrier(ctx context.Context) (index uint64, err error) { return n.barrier(ctx) }

// WaitApplied returns when the machine here has applied the entries up to index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error { return n.waitApplied(ctx, index) }

const (
	barrierAttemptTimeout = 2 * time.Second // of a question that may be asked again
	retryDelay            = 50 * time.Millisecond
)

// callLocally has this node's own engine do it.
func (n *Node) callLocally(ctx context.Context, w *pendingCall) callResult {
	e := n.engine()
	if e == nil {
		return callResult{err: errNoLeader}
	}
	if !n.pendingCalls.add(w) {
		n.countDropped("pending")
		return callResult{err: ErrQueueFull}
	}
	select {
	case e.calls <- w:
	default:
		n.countDropped("calls")
		n.pendingCalls.fail(w, ErrQueueFull)
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-e.ended:
	case <-n.quit:
	}
	n.pendingCalls.fail(w, ErrOutcomeUnknown)
	return <-w.done
}

// routeCall brings a call to the leader. Hops is how often it was passed on already.
func (n *Node) routeCall(ctx context.Context, w *pendingCall, hops int) callResult {
	m, here, known := n.knownLeader()
	switch {
	case here:
		return n.callLocally(ctx, w)
	case !known || hops >= 2:
		return callResult{err: errNoLeader}
	}
	return n.forwardCall(ctx, m, w, hops+1)
}

func (n *Node) forwardCall(ctx context.Context, m voter, w *pendingCall, hops int) callResult {
	left := ProposeTimeout
	if t, ok := ctx.Deadline(); ok {
		left = time.Until(t)
	}
	kind := byte(requestPropose)
	if w.barrier {
		kind = requestBarrier
	}
	body := putBytes(putBytes(putUints(nil, uint64(hops), uint64(max(0, left.Milliseconds()))), w.id[:]), w.command)
	b, err := n.client.call(ctx, m.Name, m.Addr, kind, body)
	switch {
	case errors.Is(err, errNotSent):
		return callResult{err: errNoLeader}
	case err != nil:
		return callResult{err: ErrOutcomeUnknown}
	}
	switch b[0] {
	case codeOK:
		r := reader{rest: b[1:]}
		res := callResult{index: r.uint(), answer: r.bytes()}
		if r.finish() != nil {
			res.err = ErrOutcomeUnknown
		}
		return res
	case codeNoLeader:
		return callResult{err: errNoLeader}
	case codeFull:
		return callResult{err: ErrQueueFull}
	case codeNoQuorum, codeRejected:
		return callResult{err: ErrNoQuorum}
	}
	return callResult{err: ErrOutcomeUnknown}
}

// startCall tries until something was sent on, or the time is over.
func (n *Node) callWithRetry(ctx context.Context, data []byte, read bool) callResult {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	for {
		try := func(f func(context.Context, *pendingCall) callResult) (callResult, bool) {
			w := &pendingCall{command: data, barrier: read, done: make(chan callResult, 1)}
			copy(w.id[:8], n.proposalIDBase[:])
			binary.BigEndian.PutUint64(w.id[8:], n.proposalSequence.Add(1))
			c := ctx
			if read {
				var end context.CancelFunc
				c, end = context.WithTimeout(ctx, barrierAttemptTimeout)
				defer end()
			}
			r := f(c, w)
			return r, !errors.Is(r.err, errNoLeader) && !(read && errors.Is(r.err, ErrOutcomeUnknown))
		}
		if r, ok := try(func(c context.Context, w *pendingCall) callResult { return n.routeCall(c, w, 0) }); ok {
			return r
		}
		for _, m := range n.otherVoters() { // nobody known to lead: a voter may know
			if ctx.Err() != nil {
				break
			}
			if r, ok := try(func(c context.Context, w *pendingCall) callResult { return n.forwardCall(c, m, w, 1) }); ok {
				return r
			}
		}
		select {
		case <-ctx.Done():
			return callResult{err: ErrNoQuorum}
		case <-n.quit:
			return callResult{err: ErrClosed}
		case <-time.After(retryDelay):
		}
	}
}

func (n *Node) propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	if len(command) > MaxCommandSize {
		return nil, 0, ErrTooLarge
	}
	r := n.callWithRetry(ctx, command, false)
	return r.answer, r.index, r.err
}

func (n *Node) barrier(ctx context.Context) (uint64, error) {
	r := n.callWithRetry(ctx, nil, true)
	if r.err != nil {
		return 0, r.err
	}
	return r.index, n.waitApplied(ctx, r.index)
}

func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	for {
		_, at, changed := n.applier.position()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.quit:
			return ErrClosed
		}
	}
}
