package consensus

import (
	"sync"
)

// pendingCalls is the proposals of this relay that wait for their answers.
type pendingCalls struct {
	mu      sync.Mutex
	byID    map[[16]byte]*pendingCall
	byIndex map[uint64]*pendingCall
}

const maxPendingCalls = 1024

type pendingCall struct {
	id      [16]byte
	command []byte
	index   uint64
	barrier bool
	done    chan callResult // holds one
}

type callResult struct {
	answer []byte
	index  uint64
	err    error
}

func (p *pendingCalls) add(w *pendingCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byID) >= maxPendingCalls {
		return false
	}
	if p.byID == nil {
		p.byID, p.byIndex = map[[16]byte]*pendingCall{}, map[uint64]*pendingCall{}
	}
	p.byID[w.id] = w
	return true
}

// assignIndex notes where in the log a proposal stands.
func (p *pendingCalls) assignIndex(id [16]byte, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byID[id]; w != nil && w.index == 0 {
		w.index = index
		p.byIndex[index] = w
	}
}

// completeApplied answers whoever waits for this proposal. One that stood at this index and is another's now will never be agreed.
func (p *pendingCalls) completeApplied(index uint64, id [16]byte, answer []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byIndex[index]; w != nil && w.id != id {
		p.complete(w, callResult{err: ErrNoQuorum})
	}
	if w := p.byID[id]; w != nil {
		p.complete(w, callResult{answer: answer, index: index})
	}
}

// completeSkipped is of an entry that was applied before this node knew that it waits for it, by a stream: it has no answer any more.
func (p *pendingCalls) completeSkipped(index uint64, id [16]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byIndex[index]; w != nil && w.id != id {
		p.complete(w, callResult{err: ErrNoQuorum})
	}
	if w := p.byID[id]; w != nil {
		p.complete(w, callResult{err: ErrOutcomeUnknown})
	}
}

// completeBarrier answers a barrier.
func (p *pendingCalls) completeBarrier(id [16]byte, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.byID[id]; w != nil && w.barrier {
		p.complete(w, callResult{index: index})
	}
}

func (p *pendingCalls) fail(w *pendingCall, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete(w, callResult{err: err})
}

func (p *pendingCalls) complete(w *pendingCall, r callResult) {
	if p.byID[w.id] != w {
		return
	}
	delete(p.byID, w.id)
	if p.byIndex[w.index] == w {
		delete(p.byIndex, w.index)
	}
	w.done <- r
}

func (p *pendingCalls) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		p.complete(w, callResult{err: err})
	}
}
