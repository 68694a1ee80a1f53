package scenariorunner

import (
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// updateDeadline is how long a relay may take, after its link to discovery is healed, to receive an
// update that was written during the cut. After that the judge assumes that the relay has received
// it.
const updateDeadline = 6 * time.Second

// recordMemberUpdates records the entries that discovery has written to a relay. While the link is
// cut, only the proxy has received them: they are stored until deliverPendingUpdates.
func (r *run) recordMemberUpdates(relay string, entries []fakes.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		key := relayMember{relay, e.ID}
		r.updatesWritten[key]++
		if r.isCutOff(relay) {
			r.pendingUpdates[key] = e
			continue
		}
		delete(r.pendingUpdates, key)
		r.reportMemberUpdate(relay, e)
	}
}

// deliverPendingUpdates handles stored updates when the link between a relay and discovery is
// healed. A serving member may be used from then on. Any other change counts as delivered after
// updateDeadline, unless a newer one was written. The caller holds the lock.
func (r *run) deliverPendingUpdates(relay string) {
	for key, e := range r.pendingUpdates {
		if key.relay != relay {
			continue
		}
		delete(r.pendingUpdates, key)
		if e.Lifecycle == fakes.Serving {
			r.reportMemberUpdate(relay, e)
			continue
		}
		written := r.updatesWritten[key]
		time.AfterFunc(updateDeadline, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.updatesWritten[key] == written {
				r.reportMemberUpdate(relay, e)
			}
		})
	}
}

// isCutOff reports whether the link between a relay and discovery is cut. The caller holds the lock.
func (r *run) isCutOff(relay string) bool {
	l := r.links[scenario.Link{From: relay, To: "discovery"}]
	return l != nil && (l.forward.Cut || l.backward.Cut) && !r.closing
}

func (r *run) reportMemberUpdate(relay string, e fakes.Entry) {
	r.judge.MemberUpdateSent(r.now(), relay, e.ID, e.Lifecycle, r.sinceStart(e.Started))
}
