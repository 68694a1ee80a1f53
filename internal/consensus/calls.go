package consensus

import (
	"context"
	"encoding/binary"
	"errors"
	"time"
)

const (
	barrierAttemptTimeout = 2 * time.Second // per attempt of a barrier, which can safely be retried
	retryDelay            = 50 * time.Millisecond
	maxHops               = 2 // how many times a call may be forwarded
)

// Propose proposes a command; it may be called on any relay. It returns the machine's result and the
// entry's index once the relay that proposed it to raft has applied it. This relay's machine may still
// be behind (see WaitApplied). A command is never proposed twice: any error except ErrOutcomeUnknown
// means that nothing was committed.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	if len(command) > MaxCommandSize {
		return nil, 0, ErrTooLarge
	}
	r := n.callWithRetry(ctx, command, false)
	return r.result, r.index, r.err
}

// Barrier returns once this relay has applied everything that was committed before the call. It needs a
// quorum and adds nothing to the log.
func (n *Node) Barrier(ctx context.Context) (index uint64, err error) {
	r := n.callWithRetry(ctx, nil, true)
	if r.err != nil {
		return 0, r.err
	}
	return r.index, n.WaitApplied(ctx, r.index)
}

// WaitApplied returns once this relay's machine has applied the entries up to index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	for {
		_, applied, changed := n.applier.position()
		if applied >= index {
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

// callWithRetry makes attempts until one has a final result or the time is up.
func (n *Node) callWithRetry(ctx context.Context, command []byte, barrier bool) callResult {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	for {
		if r, final := n.attemptCall(ctx, command, barrier, func(ctx context.Context, call *pendingCall) callResult { return n.routeCall(ctx, call, 0) }); final {
			return r
		}
		for _, v := range n.otherVoters() { // this relay knows no leader, but a voter may
			if ctx.Err() != nil {
				break
			}
			if r, final := n.attemptCall(ctx, command, barrier, func(ctx context.Context, call *pendingCall) callResult { return n.forwardCall(ctx, v, call, 1) }); final {
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

// attemptCall makes one attempt under a new proposal ID. The result is final unless another attempt is
// safe: because no relay can have acted on this one, or because the call is a barrier.
func (n *Node) attemptCall(ctx context.Context, command []byte, barrier bool, send func(context.Context, *pendingCall) callResult) (r callResult, final bool) {
	call := &pendingCall{command: command, barrier: barrier, done: make(chan callResult, 1)}
	copy(call.id[:8], n.proposalIDBase[:])
	binary.BigEndian.PutUint64(call.id[8:], n.proposalSequence.Add(1))
	if barrier {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, barrierAttemptTimeout)
		defer cancel()
	}
	r = send(ctx, call)
	return r, !errors.Is(r.err, errNoLeader) && !(barrier && errors.Is(r.err, ErrOutcomeUnknown))
}

// routeCall makes a call at the leader, either locally or by forwarding it. hops is how many times the
// call has been forwarded so far.
func (n *Node) routeCall(ctx context.Context, call *pendingCall, hops int) callResult {
	leader, isSelf, known := n.knownLeader()
	switch {
	case isSelf:
		return n.callLocally(ctx, call)
	case !known || hops >= maxHops:
		return callResult{err: errNoLeader}
	}
	return n.forwardCall(ctx, leader, call, hops+1)
}

// callLocally makes a call at this node's engine and waits for its result.
func (n *Node) callLocally(ctx context.Context, call *pendingCall) callResult {
	e := n.engine()
	if e == nil {
		return callResult{err: errNoLeader}
	}
	if !n.pendingCalls.add(call) {
		n.countDropped(droppedPendingCalls)
		return callResult{err: ErrQueueFull}
	}
	select {
	case e.calls <- call:
	default:
		n.countDropped(droppedCalls)
		n.pendingCalls.fail(call, ErrQueueFull)
	}
	select {
	case r := <-call.done:
		return r
	case <-ctx.Done():
	case <-e.ended:
	case <-n.quit:
	}
	n.pendingCalls.fail(call, ErrOutcomeUnknown)
	return <-call.done
}

// forwardCall sends a call to another relay. If the request was sent but no valid response arrives, the
// outcome is unknown.
func (n *Node) forwardCall(ctx context.Context, to voter, call *pendingCall, hops int) callResult {
	remaining := ProposeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	kind := requestPropose
	if call.barrier {
		kind = requestBarrier
	}
	body := putBytes(putBytes(putUints(nil, uint64(hops), uint64(max(0, remaining.Milliseconds()))), call.id[:]), call.command)
	response, err := n.client.call(ctx, to, kind, body)
	switch {
	case errors.Is(err, errNotSent):
		return callResult{err: errNoLeader}
	case err != nil:
		return callResult{err: ErrOutcomeUnknown}
	}
	return decodeCallResult(response)
}

// handleCall serves a call that another relay has forwarded.
func (n *Node) handleCall(ctx context.Context, req envelope) []byte {
	r := reader{rest: req.body}
	hops, remaining := r.uint(), r.uint()
	call := &pendingCall{barrier: req.kind == requestBarrier, done: make(chan callResult, 1)}
	copy(call.id[:], r.bytes())
	call.command = r.bytes()
	if r.finish() != nil || len(call.command) > MaxCommandSize {
		return rejection(errMalformed)
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(remaining)*time.Millisecond, ProposeTimeout))
	defer cancel()
	return encodeCallResult(n.routeCall(ctx, call, int(hops)))
}

func encodeCallResult(r callResult) []byte {
	switch {
	case r.err == nil:
		return putBytes(putUints([]byte{codeOK}, r.index), r.result)
	case errors.Is(r.err, errNoLeader):
		return []byte{codeNoLeader}
	case errors.Is(r.err, ErrQueueFull):
		return []byte{codeQueueFull}
	case errors.Is(r.err, ErrNoQuorum):
		return []byte{codeNoQuorum}
	}
	return []byte{codeOutcomeUnknown}
}

// decodeCallResult decodes a response, which must not be empty.
func decodeCallResult(response []byte) callResult {
	switch response[0] {
	case codeOK:
		r := reader{rest: response[1:]}
		result := callResult{index: r.uint(), result: r.bytes()}
		if r.finish() != nil {
			result.err = ErrOutcomeUnknown
		}
		return result
	case codeNoLeader:
		return callResult{err: errNoLeader}
	case codeQueueFull:
		return callResult{err: ErrQueueFull}
	case codeNoQuorum, codeRejected:
		return callResult{err: ErrNoQuorum}
	}
	return callResult{err: ErrOutcomeUnknown}
}
