package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// controller is the leader's picture of the fleet: it compares what relays report with the record, and plans changes of intent. It does no
// I/O and has no clock; a new leader starts with an empty one. Service.mu guards it.
type controller struct {
	record       *Record
	fleet        *fleetStatus
	driftMonitor *drift.Monitor
	voters       drift.Item // in force

	// Derived from the record when its change count was recordChanges.
	recordChanges   uint64
	recordItems     recordItems
	intent          *intent
	pendingReleases map[string]relayRelease // by relay
	unadopted       []rollout.ReleaseStatus // releases that are over and that intent does not follow yet
	quarantined     map[string]rollout.Quarantine

	// Derived from the record and from reports, at each evaluateDrift.
	releaseSections map[string]map[string]string // by release: its configuration's items, as reported by the relays that run it
	acceptAnyValue  map[string]bool              // sections without intent that at least half of the relays have: any value will do
	blockReason     string                       // drift that holds up all releases but those that repair it; "" if none
	blockReasons    map[string]string            // the drift that holds up a release, by release; "" stands for those that repair nothing

	candidates map[string]candidateValue // by item without intent
}

func newController(r *Record) *controller {
	return &controller{record: r, fleet: newFleetStatus(), candidates: map[string]candidateValue{},
		driftMonitor: drift.NewMonitor(drift.Settings{ReportInterval: reportInterval.Milliseconds(), UnmeasuredGroups: []string{drift.ItemEndpointList}})}
}

// refresh derives anew what depends on the record alone, if the record has changed.
func (c *controller) refresh() {
	r := c.record
	r.mu.RLock()
	defer r.mu.RUnlock()
	if c.intent != nil && c.recordChanges == r.changes {
		return
	}
	c.recordChanges, c.recordItems, c.intent = r.changes, r.items, r.intent
	releases := r.rollout.Releases()
	c.pendingReleases, c.unadopted, c.quarantined = unsettledReleases(releases, r.intent), nil, map[string]rollout.Quarantine{}
	for _, q := range r.rollout.Quarantines() {
		c.quarantined[q.Name] = q
	}
	for _, release := range releases {
		if _, settled := r.intent.releaseAdoption(&release); !settled && changesIntent(&release) && isOver(&release) {
			c.unadopted = append(c.unadopted, release)
		}
	}
}

// receive takes a relay's status report. The reply is encoded; nil if there is none.
func (c *controller) receive(now int64, from string, report statusReport) (reply []byte) {
	c.refresh()
	c.fleet.receive(now, from, report)
	driftReport, ok := report.driftReport(from)
	if !ok || c.fleet.relays[from] == nil {
		return nil
	}
	c.fleet.updateLists(now)
	c.updateExpected(now, from)
	c.driftMonitor.HandleReport(now, driftReport)
	if r, ok := c.driftMonitor.Reply(from); ok {
		return r.Encode()
	}
	return nil
}
