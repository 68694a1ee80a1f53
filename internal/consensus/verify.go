package consensus

import "time"

// verifyTimeout is how long a starting voter waits for answers from all other voters. After that, the
// answers of enough voters for a majority with itself suffice.
const verifyTimeout = time.Second

// verifyDirectory asks the other voters which position this voter has acknowledged, before this voter
// votes again: its directory may be outdated.
func (n *Node) verifyDirectory(e *engine) {
	start := time.Now()
	for {
		v := e.view.Load()
		replies, enough := 0, len(v.voters)/2
		for _, id := range v.voters.ids() {
			if id == e.id {
				continue
			}
			status, err := n.queryPeer(v.voters[id], e.id, 0)
			if err != nil {
				continue
			}
			if status.recordID == e.core.recordID && status.index > v.commitIndex && status.voters[e.id].name != n.options.Name {
				n.onEngine(func(e *engine) { e.removed = true })
				return
			}
			if !status.knowsVoter || status.recordID != e.core.recordID {
				continue
			}
			replies++
			n.onEngine(func(e *engine) { // compared on the engine's goroutine, since the engine keeps writing
				if e.core.isOutdatedBy(status.acknowledged) {
					e.err = errOutdatedDirectory
				}
			})
		}
		if replies == len(v.voters)-1 || replies >= enough && time.Since(start) > verifyTimeout {
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
