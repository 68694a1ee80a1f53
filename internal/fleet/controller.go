package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// controller is the leader's view of the fleet. It compares what relays report with the record, and
// plans changes of intent. It does no I/O and takes the time as an argument; a new leader starts with
// an empty controller. Service.mu guards it.
type controller struct {
	record       *Record
	fleet        *fleetStatus
	driftMonitor *drift.Monitor
	voters       drift.Item // the current set of voters, as the leader's consensus node has it

	// Derived from the record by refresh, when its count of changes was recordChanges.
	recordChanges   uint64
	recordItems     recordItems
	intent          *intent
	pendingReleases map[string]relayRelease // by relay
	unadopted       []rollout.ReleaseStatus // releases that are over and whose outcome intent does not reflect yet
	quarantined     map[string]rollout.Quarantine

	// Derived from the record and from reports, at each evaluateDrift.

	// releaseSections has, by release, the items of its configuration as reported by relays that run it.
	releaseSections map[string]map[string]string
	// acceptAnyValue has the section items without intent that at least half of the relays have. Any
	// value of them is accepted.
	acceptAnyValue map[string]bool
	// blockReason is the drift that blocks all releases except those that repair it; "" if none.
	blockReason string
	// blockReasons is the drift that blocks a release, by release. The key "" is for releases that
	// repair nothing.
	blockReasons map[string]string

	candidates map[string]candidateValue // by name of an item without intent
}

func newController(r *Record) *controller {
	return &controller{record: r, fleet: newFleetStatus(), candidates: map[string]candidateValue{},
		driftMonitor: drift.NewMonitor(drift.Settings{ReportInterval: reportInterval.Milliseconds(), UnmeasuredGroups: []string{drift.ItemEndpointList}})}
}

// refresh updates the fields that depend only on the record, if the record has changed.
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

// receive processes a relay's status report. It returns the encoded reply, nil if there is none.
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
