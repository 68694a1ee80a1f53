package policy

import (
	"math/rand/v2"
	"slices"
)

// Events and actions are declared in api.go, the state of a Balancer in state.go, and each kind of
// decision has a file of its own; the deploy file lists them. docs/design.md says which rules
// follow the thresholds of the SERES paper, and which depart from them and when.
//
// The fill of a member is its load divided by its capacity. Each member is owned by one tenant, and
// the members that a tenant owns are its home slice. Connections with an affinity key have a home
// slice of their own: the members that rank highest for the key. A connection outside its home slice
// is foreign: the owner of the member lends it capacity, up to the owner's lending threshold.

// These constants have no unit; durations are derived from the settings.
const (
	// The fill levels that placement tries in turn: the fractions of a member's capacity up to
	// which the member counts as having spare capacity. The load of a connection varies while it is
	// open, so the first level leaves a third of a member for variation. The last is the k of the
	// SERES paper, just below the fill at which messages begin to wait.
	fillLow, fillMedium, fillHigh = 0.65, 0.75, 0.85
	// overloadFill is the fill above which a single report causes migrations; a load above
	// stallLoad may come from a member that stalled for a moment. lowValueFill is the fill level
	// for classes whose value per load is less than lowValueRatio of the best class's. See
	// docs/design.md, "Shortage".
	overloadFill, stallLoad, lowValueFill, lowValueRatio = 0.95, 2.0, 0.8, 0.5
	// lendTolerance is the fraction of the owners' connections that may find their home slice full
	// (SERES paper, 5.4). lendStep scales how far one connection moves the lending threshold, as a
	// fraction of the capacity: small enough to average some tens of connections.
	lendTolerance, lendStep = 0.1, 0.1
	// lendMin is the lowest lending threshold: even the members of a busy owner accept foreign
	// connections up to it while they have spare capacity.
	lendMin = 0.2
	// shrinkage is the number of connections on one member at which a relay weights its foreign
	// share there as much as its foreign share over all members.
	shrinkage = 4.0
	// probeBudget is the cost of probing that is allowed, as a fraction of the total value.
	// maxProbes and probesPerTier limit the probes that a request may cause in total and in one
	// tier: choosing among a few members gives most of the gain.
	probeBudget, maxProbes, probesPerTier = 0.007, 8.0, 3
	// crossZoneFill converts the price of crossing zones into fill: a member in a zone that costs
	// more to reach must be emptier.
	crossZoneFill = 4.0
	// memberFailureThreshold and zoneFailureThreshold are the consecutive failures that eject a
	// member or a zone.
	memberFailureThreshold, zoneFailureThreshold = 2, 4
	// maxBackoffDoublings limits the exponential backoff before an ejected member is tried again.
	maxBackoffDoublings = 5
	// groupSlice is the number of members in the home slice of a group. The members that rank next
	// for the group, up to groupReach, each have to repeat its shared work. They are used only up to
	// groupSpillFill, so that each has capacity for many connections of the group. Members beyond
	// groupReach are not used: each relay has reports of different ones and would scatter the group.
	// groupTaper is the spare fraction of a member below which fewer of a group's connections go
	// there. See docs/design/fleet.md, "Groups".
	groupSlice, groupReach, groupSpillFill, groupTaper = 1, 1 + 2*probesPerTier, 0.5, 0.35
	// groupDemand is the assumed number of relays that have connections for a member that is
	// warming up, as a multiple of the connections that the member has once it is warm: most relays
	// with a connection have one of a large group, and all those want the same member. See
	// docs/design/fleet.md, "Slow start".
	groupDemand = 4.0
	// admissionBackoff is the factor by which a failure to establish a connection reduces the
	// fraction of its requests that a relay sends. minAdmissionRate is the fraction that it always
	// sends, to detect recovery.
	admissionBackoff, minAdmissionRate = 0.8, 0.03
	// concurrentPolls is how many relays may poll the endpoint list within a twentieth of
	// MaxPollInterval.
	concurrentPolls = 6.0
	// learningRate is the weight of one new report in a running mean.
	learningRate = 0.1
	// minLearningLoad is the load above which a report is used to learn a capacity: an idle member
	// shows none.
	minLearningLoad = 0.05
	// slowStartMargin is the fraction of OverloadFactor that is used; the rest allows for random
	// variation and for relays that exceed their share.
	slowStartMargin = 0.75
	// priorReports is the number of reports at which a member's own capacity weighs as much as its
	// kind's.
	priorReports = 8.0
)

// New makes a Balancer. It replaces invalid settings with safe values.
func New(set Settings, seed uint64, executor Executor) *Balancer {
	set = normalize(set)
	b := &Balancer{
		cfg:               set,
		executor:          executor,
		rng:               rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID:              map[MemberID]*member{},
		requests:          map[RequestID]*request{},
		zones:             slices.Repeat([]zone{{fill: fillLow}}, set.Zones), // assumed until reports arrive
		probeWaiters:      map[MemberID][]RequestID{},
		kinds:             map[int]*kind{},
		lendingThresholds: slices.Repeat([]float64{1}, len(set.Tenants)),
		openByTenant:      make([]float64, len(set.Tenants)),
		classLoad:         make([]float64, len(set.Classes)),
		admissionRate:     1,
		activeRelays:      float64(set.Balancers),
	}
	first := set.Classes[0]
	b.minObjective, b.maxDeadline, b.minMessageObjective =
		first.LatencyObjective, first.Deadline, first.MessageLatencyObjective
	for _, c := range set.Classes {
		b.minMessageObjective = min(b.minMessageObjective, c.MessageLatencyObjective)
		b.minObjective, b.maxDeadline = min(b.minObjective, c.LatencyObjective), max(b.maxDeadline, c.Deadline)
	}
	b.probeTokens = 3 * b.probeAllowance()
	return b
}
