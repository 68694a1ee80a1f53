package consensus

import "sync"

const maxPendingCalls = 1024

// pendingCalls holds the proposals and barriers at this relay's engine that wait for their results.
type pendingCalls struct {
	mu      sync.Mutex
	byID    map[proposalID]*pendingCall
	byIndex map[uint64]*pendingCall
}

// pendingCall is a proposal or a barrier.
type pendingCall struct {
	id      proposalID
	command []byte
	index   uint64 // of the proposal's log entry; 0 before it is assigned
	barrier bool
	done    chan callResult // has capacity for the result
}

// callResult is the outcome of a call: an error, the machine's result and the index of the proposal's
// entry, or the read index of a barrier.
type callResult struct {
	result []byte
	index  uint64
	err    error
}

func (p *pendingCalls) add(call *pendingCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byID) >= maxPendingCalls {
		return false
	}
	if p.byID == nil {
		p.byID, p.byIndex = map[proposalID]*pendingCall{}, map[uint64]*pendingCall{}
	}
	p.byID[call.id] = call
	return true
}

// assignIndex records the index of a proposal's log entry.
func (p *pendingCalls) assignIndex(id proposalID, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call := p.byID[id]; call != nil && call.index == 0 {
		call.index = index
		p.byIndex[index] = call
	}
}

// completeApplied completes the call of an applied proposal with its result.
func (p *pendingCalls) completeApplied(index uint64, id proposalID, result []byte) {
	p.completeCommitted(index, id, callResult{result: result, index: index})
}

// completeSkipped completes the call of a proposal whose entry was already applied from a stream
// before the call was registered: its result is lost.
func (p *pendingCalls) completeSkipped(index uint64, id proposalID) {
	p.completeCommitted(index, id, callResult{err: ErrOutcomeUnknown})
}

// completeCommitted completes the call of a committed proposal. A different proposal that had the
// same index can no longer be committed, and fails with ErrNoQuorum.
func (p *pendingCalls) completeCommitted(index uint64, id proposalID, r callResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call := p.byIndex[index]; call != nil && call.id != id {
		p.complete(call, callResult{err: ErrNoQuorum})
	}
	if call := p.byID[id]; call != nil {
		p.complete(call, r)
	}
}

// completeBarrier completes a barrier with its read index.
func (p *pendingCalls) completeBarrier(id proposalID, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call := p.byID[id]; call != nil && call.barrier {
		p.complete(call, callResult{index: index})
	}
}

// fail completes a call with an error, unless the call is already complete.
func (p *pendingCalls) fail(call *pendingCall, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete(call, callResult{err: err})
}

func (p *pendingCalls) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, call := range p.byID {
		p.complete(call, callResult{err: err})
	}
}

// complete removes a call and delivers its result, unless the call is already complete. The caller
// holds p.mu.
func (p *pendingCalls) complete(call *pendingCall, r callResult) {
	if p.byID[call.id] != call {
		return
	}
	delete(p.byID, call.id)
	if p.byIndex[call.index] == call {
		delete(p.byIndex, call.index)
	}
	call.done <- r
}
