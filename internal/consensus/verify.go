package consensus

import (
	"time"
)

// verifyDirectory asks the other voters what they remember of this one, before it votes again.
func (n *Node) verifyDirectory(e *engine) {
	began := time.Now()
	for {
		v := e.view.Load()
		heard, need := 0, len(v.voters)/2
		for _, id := range v.voters.ids() {
			if id == e.id {
				continue
			}
			h, err := n.queryPeer(v.voters[id], e.id, 0)
			if err != nil {
				continue
			}
			if h.recordID == e.core.recordID && h.index > v.committed && h.voters[e.id].Name != n.options.Name {
				n.onEngine(func(e *engine) { e.removed = true })
				return
			}
			if !h.knowsVoter || h.recordID != e.core.recordID {
				continue
			}
			heard++
			n.onEngine(func(e *engine) { // there, since it writes on meanwhile
				if e.core.isOutdatedBy(h.acknowledged) {
					e.err = errOutdatedDirectory
				}
			})
		}
		if heard == len(v.voters)-1 || heard >= need && time.Since(began) > verifyTimeout {
			n.onEngine(func(e *engine) { e.core.unverified = false; e.publishView() })
			return
		}
		select {
		case <-e.ended:
			return
		case <-n.quit:
			return
		case <-time.After(superviseInterval):
		}
	}
}

const (
	verifyTimeout = time.Second // how long a voter that starts waits for all others; then enough for a majority do
)
