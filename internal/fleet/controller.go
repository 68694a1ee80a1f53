package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// controller is what the leader knows of all relays, and reckons from that and the record. No I/O, no clock; a new leader begins with an empty one.
type controller struct {
	record     *Record
	fleet      *fleetStatus
	driftWatch *drift.Monitor
	voters     drift.Item // in force

	// Derived from the record at its change count.
	recordChanges   uint64
	recordItems     recordItems
	intent          *intent
	pendingReleases map[string]relayRelease
	unadopted       []rollout.ReleaseStatus // releases that are over, and what is meant does not follow them yet
	quarantined     map[string]rollout.Quarantine

	releaseSections map[string]map[string]string // by release: the new configuration, from the relays that run it
	blockReason     string                       // why no release may step on, but one that mends it
	blockReasons    map[string]string            // by release, where one mends what holds up others; "" is for all that mend nothing
	candidates      map[string]candidateValue    // by item that nobody agreed on
	contested       map[string]bool              // sections that nobody agreed on, and half of the relays have: any will do. A rarer one is too much
}

func newController(r *Record) *controller {
	return &controller{record: r, fleet: newFleetStatus(), driftWatch: drift.NewMonitor(drift.Settings{ReportInterval: reportInterval.Milliseconds(), UnmeasuredGroups: []string{drift.ItemEndpointList}}), candidates: map[string]candidateValue{}}
}

// refresh takes over what the record has become.
func (h *controller) refresh() {
	r := h.record
	r.mu.RLock()
	defer r.mu.RUnlock()
	if h.intent != nil && h.recordChanges == r.changes {
		return
	}
	h.recordChanges, h.recordItems, h.intent = r.changes, r.items, r.intent
	all := r.rollout.Releases()
	h.pendingReleases, h.unadopted, h.quarantined = unsettledReleases(all, r.intent), nil, map[string]rollout.Quarantine{}
	for _, x := range r.rollout.Quarantines() {
		h.quarantined[x.Name] = x
	}
	for _, a := range all {
		if _, settled := r.intent.releaseAdoption(&a); !settled && a.Spec.Kind == rollout.KindRelay && a.Spec.Program+a.Spec.Config != "" &&
			(a.State == rollout.ReleaseCompleted || a.State == rollout.ReleaseRolledBack) {
			h.unadopted = append(h.unadopted, a)
		}
	}
}

// receive takes a relay's word. What it answers is encoded; nil: nothing.
func (h *controller) receive(now int64, from string, w statusReport) []byte {
	h.refresh()
	h.fleet.receive(now, from, w)
	d, ok := w.driftReport(from)
	if !ok || h.fleet.relays[from] == nil {
		return nil
	}
	h.fleet.updateLists(now)
	h.updateExpected(now, from)
	h.driftWatch.HandleReport(now, d)
	if reply, ok := h.driftWatch.Reply(from); ok {
		return reply.Encode()
	}
	return nil
}
