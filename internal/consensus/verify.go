package consensus

import "time"

// verifyTimeout is how long a voter that starts waits for all others; after it, enough of them for a majority will do.
const verifyTimeout = time.Second

// verifyDirectory asks the other voters what this one has acknowledged, before it votes again: its directory may be an outdated one.
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
			n.onEngine(func(e *engine) { // compared there, since the engine writes on meanwhile
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
