package drift

import (
	"cmp"
	"slices"
)

const (
	// confirmations is the number of reports in a row needed for the states Lagging and Ahead and for the end of
	// a finding, and the number of sightings or violations needed for the state Contradicting.
	confirmations = 2

	maxRecentVersions = 4    // agreed versions remembered per item, for a relay that applies them one by one
	maxPendingChanges = 8192 // between two calls of Tick
	maxLagEstimates   = 4 * MaxGroups
	defaultInterval   = 1000 // ms
	defaultGrace      = 5000 // ms
	defaultPrior      = 15   // intervals
	defaultMaxBound   = 300  // intervals
	defaultSlowFactor = 8

	// silentAfterIntervals is the number of intervals without a report after which a relay is silent. At
	// 5% loss, four reports in a row are lost 6 times in a million. Silence does not count as drift.
	silentAfterIntervals = 4

	// unreachableSilentAfterIntervals replaces silentAfterIntervals if the relay is Unreachable or Terminated.
	unreachableSilentAfterIntervals = 2
)

// Monitor is the leader's view of all relays. It is not safe for concurrent use.
type Monitor struct {
	settings Settings
	relays   map[string]*relayState
	sorted   []*relayState // by name

	lags     map[string]*lagEstimate // by group
	fleetLag *lagEstimate            // over all groups; the prior for groups with few samples
	// recoveryLag is for relays that restarted or were silent: the time from their next report until an
	// item was in sync.
	recoveryLag *lagEstimate
	arrivals    map[Item]*arrivalCount // by name and version

	pendingChanges []Change // since the last Tick
	history        []Change
	counts         Counts
	defect         defect
}

// defect selects a fault that tests inject into the Monitor to check that they detect it.
type defect uint8

const (
	noDefect         defect = iota
	fixedBound              // the lag bound is fixedBoundIntervals, whatever the fleet's lag is
	noGrace                 // violations count without InFlightGrace
	partitionIsDrift        // time without reports counts towards the lag bound
)

// arrivalCount counts the relays that have arrived at an agreed version of an item, that is, report the
// item in sync.
type arrivalCount struct {
	version          Item // without the digest
	refs             int  // tracked items that have this version as the agreed one
	live, arrived    int  // relays that send reports, and how many of these have arrived, as of the last Tick
	agreedAt         int64
	halfArrivedAfter int64 // time from agreedAt until half of the relays had arrived; 0 until then
}

// halfArrived reports whether at least half of the reporting relays have arrived.
func (c *arrivalCount) halfArrived() bool { return 2*c.arrived >= c.live }

type relayState struct {
	name             string
	liveness         Liveness
	everReported     bool  // since this Monitor was created
	receivedAt       int64 // when the last report was received
	sentAt           int64 // when the last report was sent, by the Monitor's clock
	incarnation, seq uint64
	minDelay         [2]int64 // least delay plus clock difference of a report, in this window and the previous one
	delayWindowAt    int64    // start of this window
	silent           bool
	silentSince      int64
	groups           []*groupState // by name
	activities       []trackedActivity
}

type groupState struct {
	name           string
	items          []*trackedItem // by name
	lag            *lagEstimate
	agreedDigest   uint64
	reportedDigest uint64 // last reported digest that differs from agreedDigest
	reportedSince  int64
	digestMatches  bool // the last report had the agreed digest
	settled        bool // all items are confirmed in sync: reports are not examined further while the digest matches
}

// trackedItem is the Monitor's view of an item of a relay.
type trackedItem struct {
	agreed               Item
	isAgreed             bool // false if only the relay reports the item
	arrival              *arrivalCount
	recentVersions       [maxRecentVersions]agreedVersion // oldest first
	highestAgreedVersion uint64                           // highest version ever agreed for this relay

	applied      Applied
	appliedKnown bool   // applied is what the current process runs
	detailedAt   int64  // when the item was last in a report
	detailedSeq  uint64 // Seq of that report

	inSyncSince       int64 // since when all reports say that the item is in sync; 0 if the last one does not
	inSyncReceivedAt  int64 // when the first of these reports was received
	lastInSyncVersion uint64
	outOfSyncSince    int64 // 0 if the item is in sync
	progressedAt      int64 // when the relay last got closer to the agreed version
	returnedAt        int64 // when the relay restarted or reported again, if the item was not in sync since; else 0
	lagMeasurable     bool  // the lag of this item will be sampled

	state               State
	stateSince          int64
	lastReportedState   State      // reportedState of the last report
	reportedStateCount  int        // number of reports in a row with lastReportedState
	reportsAgainstState int        // number of reports in a row that do not support the finding in state
	suspicion           *suspicion // nil unless the item drifts or contradictions were seen
}

// agreedVersion is a version with the time at which it was agreed.
type agreedVersion struct {
	version uint64
	at      int64
}

// NewMonitor returns a Monitor that tracks no relays.
func NewMonitor(s Settings) *Monitor {
	s.ReportInterval = cmp.Or(s.ReportInterval, defaultInterval)
	s.InFlightGrace = cmp.Or(s.InFlightGrace, defaultGrace)
	s.PriorBound = cmp.Or(s.PriorBound, defaultPrior*s.ReportInterval)
	s.MaxBound = cmp.Or(s.MaxBound, defaultMaxBound*s.ReportInterval)
	s.SlowFleetFactor = cmp.Or(s.SlowFleetFactor, defaultSlowFactor)
	m := &Monitor{settings: s, relays: map[string]*relayState{}, lags: map[string]*lagEstimate{}, arrivals: map[Item]*arrivalCount{},
		fleetLag: &lagEstimate{}, recoveryLag: &lagEstimate{}}
	m.updateBounds()
	return m
}

// SetLiveness sets what gossip and the record say about a relay's process.
func (m *Monitor) SetLiveness(relay string, l Liveness) {
	if r := m.relays[relay]; r != nil {
		r.liveness = l
	}
}

// Tick must be called once per interval. It returns the changes since the previous call.
func (m *Monitor) Tick(now int64) []Change {
	m.updateBounds()
	for _, a := range m.arrivals {
		a.live, a.arrived = 0, 0
	}
	for _, r := range m.sorted {
		m.checkSilence(now, r)
		for _, g := range r.groups {
			for _, i := range g.items {
				if i.arrival != nil && !r.silent {
					i.arrival.live++
					if i.state == InSync || i.state == Contradicting || i.inSyncSince > 0 {
						i.arrival.arrived++
					}
				}
				if i.suspicion != nil && (i.suspicion.contradicted || i.suspicion.sightings > 0) {
					m.expireSuspicion(now, r, g, i)
				}
			}
		}
	}
	for _, a := range m.arrivals {
		if a.halfArrivedAfter == 0 && a.live > 0 && a.halfArrived() {
			a.halfArrivedAfter = max(now-a.agreedAt, 1)
		}
	}
	changes := m.pendingChanges
	m.pendingChanges = nil
	return changes
}

// checkSilence marks a relay as silent if its reports are missing. A silent relay has no findings about its
// items.
func (m *Monitor) checkSilence(now int64, r *relayState) {
	limit := silentAfterIntervals * m.settings.ReportInterval
	if r.liveness == Unreachable || r.liveness == Terminated {
		limit = unreachableSilentAfterIntervals * m.settings.ReportInterval
	}
	if r.silent || now-r.receivedAt <= limit {
		return
	}
	if m.defect == partitionIsDrift {
		for g, i := range r.allItems() {
			if i.state == Propagating && m.overdue(now, g, i) {
				m.setState(now, r, i, Lagging, "")
			}
		}
		return
	}
	r.silent, r.silentSince = true, r.receivedAt
	m.recordChange(Change{At: now, Relay: r.name, From: Propagating, To: Unknown, Reason: r.silenceReason()})
}

// silenceReason returns why a relay may be silent. The texts are shown in GET /-/drift and logs, and in
// reasons that block releases, so they stay as they are. "gone" means that the process has ended, "others do
// not hear it either" that no other relay receives anything from it, and "says nothing" that the process is
// believed to be alive but sends no reports.
func (r *relayState) silenceReason() string {
	switch r.liveness {
	case Terminated:
		return "gone"
	case Restarting:
		return "restarting"
	case Upgrading:
		return "upgrading"
	case Unreachable:
		return "others do not hear it either"
	}
	return "says nothing"
}

// recordChange adds a change to the result of the next Tick and to the history.
func (m *Monitor) recordChange(c Change) {
	if len(m.history) >= MaxHistory {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.history = append(m.history, c)
	if len(m.pendingChanges) >= maxPendingChanges {
		m.counts.OverLimit++
		return
	}
	m.pendingChanges = append(m.pendingChanges, c)
}

// History returns the last changes, at most MaxHistory, the oldest first.
func (m *Monitor) History() []Change { return slices.Clone(m.history) }

// Counts returns how many reports were processed and how much input was discarded.
func (m *Monitor) Counts() Counts { return m.counts }
