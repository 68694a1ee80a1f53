package drift

import (
	"cmp"
	"slices"
)

const (
	confirmations        = 2    // how often something must be seen before it is claimed, and before a claim is taken back
	maxRecentVersions    = 4    // agreed versions remembered for an item that follows them slowly
	maxPendingChanges    = 8192 // between two Ticks
	maxLagEstimates      = 4 * MaxGroups
	defaultInterval      = 1000 // ms
	defaultGrace         = 5000 // ms
	defaultPrior         = 15   // intervals
	defaultMaxBound      = 300  // intervals
	defaultSlowFactor    = 8
	silentAfterIntervals = 4 // without a report: four lost in a row are 6 in a million at 5% loss, and claim no drift

	// intervalsIfUnreachable is intervalsOfSilence where others receive nothing from the relay either.
	unreachableSilentAfterIntervals = 2
)

// Monitor is the leader's view of all relays. It is for one goroutine.
type Monitor struct {
	settings Settings
	relays   map[string]*relayState
	sorted   []*relayState // by name

	lags        map[string]*lagEstimate // by group
	fleetLag    *lagEstimate            // of all groups: what is expected of one of which little is known
	recoveryLag *lagEstimate            // of relays that came back: from their first report until each item was in sync
	arrivals    map[Item]*arrivalCount  // by name and version

	pendingChanges []Change // since the last Tick
	history        []Change
	counts         Counts
	defect         defect
}

// defect is a fault that tests inject, to see that they find it.
type defect uint8

const (
	noDefect defect = iota
	fixedBound
	noGrace
	partitionIsDrift
)

// arrivalCount is how many of the relays that report have arrived at a version.
type arrivalCount struct {
	version          Item // without its digest
	refs             int  // items that are to arrive at it
	live, arrived    int  // relays that report, and those of them that arrived, at the last Tick
	agreedAt         int64
	halfArrivedAfter int64 // how long half of them took; 0 while they have not arrived
}

// mostArrived reports whether at least half of the relays arrived.
func (c *arrivalCount) halfArrived() bool { return 2*c.arrived >= c.live }

type relayState struct {
	name             string
	liveness         Liveness
	everReported     bool  // since this Monitor began
	receivedAt       int64 // when its last report came
	sentAt           int64 // when that was sent, by this clock
	incarnation, seq uint64
	minDelay         [2]int64 // least delay of reports by the difference of the clocks, in this window and the last
	delayWindowAt    int64    // when this window began
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
	reportedDigest uint64 // the last one that differs from agreedDigest
	reportedSince  int64
	digestMatches  bool // the last report had the agreed digest
	settled        bool // and nothing remains to be looked at while it does
}

// trackedItem is an item of a relay.
type trackedItem struct {
	agreed               Item
	isAgreed             bool // it is agreed for this relay; else only the relay reports it
	arrival              *arrivalCount
	recentVersions       [maxRecentVersions]agreedVersion // oldest first
	highestAgreedVersion uint64                           // highest version ever agreed

	applied      Applied
	appliedKnown bool   // applied is of the present process
	detailedAt   int64  // when it was last reported in detail
	detailedSeq  uint64 // in which report

	inSyncSince       int64 // since when it reports without a break to be in sync; 0 if it does not
	inSyncReceivedAt  int64 // when the first such report came
	lastInSyncVersion uint64
	outOfSyncSince    int64 // 0 if it is in sync
	progressedAt      int64 // when it last came nearer
	returnedAt        int64 // when the relay came back and was not in sync since; 0 otherwise
	lagMeasurable     bool  // its arrival will tell how long propagation takes

	state               State
	stateSince          int64
	lastReportedState   State      // what the last reports say
	reportedStateCount  int        // how many of them in a row
	reportsAgainstState int        // how many of them in a row would have ended the present claim
	suspicion           *suspicion // of an item that drifts or was seen to contradict its reports
}

// agreedVersion is when a version was agreed.
type agreedVersion struct {
	version uint64
	at      int64
}

// NewMonitor returns a monitor that knows nothing.
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

// SetLiveness notes what others know of a relay's process.
func (m *Monitor) SetLiveness(relay string, l Liveness) {
	if r := m.relays[relay]; r != nil {
		r.liveness = l
	}
}

// Tick is due once in an interval. It returns the changes since the last one.
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

// checkSilence notes that a relay sends no reports. Then nothing is claimed of it.
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

// recordChange stores a change for the next Tick and for operators.
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

// History returns the last changes, oldest first.
func (m *Monitor) History() []Change { return slices.Clone(m.history) }

// Counts returns how many reports were received, and what could not be used.
func (m *Monitor) Counts() Counts { return m.counts }
