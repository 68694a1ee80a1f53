package policy

import (
	"math/rand/v2"
	"slices"
)

// Events and actions are in api.go, the state of a Balancer is in state.go, and each kind of decision is in
// a file of its name; the deploy file lists those. What follows the SERES thresholds, and what departs from
// them and when, is in docs/design.md.

// The constants are dimensionless; times are derived from the settings.
const (
	// The fill levels, as parts of a server's capacity, up to which a server counts as having spare capacity,
	// tried in turn. Load swings while a connection lives, so the first keeps a third of a server for that and
	// the last is the k of the paper, just short of where messages begin to wait.
	fillLow, fillMedium, fillHigh = 0.65, 0.75, 0.85
	// overloadFill is the fill above which a report alone has connections migrated; one above stallLoad may be
	// of a server that stalled for a moment. lowValueFill is the level for classes whose value for their load
	// is under lowValueRatio of the best one. docs/design.md, "Shortage", has the measurements.
	overloadFill, stallLoad, lowValueFill, lowValueRatio = 0.95, 2.0, 0.8, 0.5
	// lendTolerance is the part of the owners' connections that may find their home slice full (paper 5.4),
	// and lendStep how far one such event moves the lending threshold, as a part of the capacity: slow enough
	// to average some tens of events.
	lendTolerance, lendStep = 0.1, 0.1
	// lendMin is the part of the capacity that is always lent: even a busy owner's slice takes a foreign
	// connection while it has spare capacity.
	lendMin = 0.2
	// shrinkage is how many connections a proxy must hold on one server before it gives its own foreign share
	// there as much weight as its share over all servers.
	shrinkage = 4.0
	// probeBudget is what probing may cost, as a part of all value; maxProbes and probesPerTier bound the
	// probes that a request may cause in all and in one tier: choosing among a few gives most of the gain.
	probeBudget, maxProbes, probesPerTier = 0.007, 8.0, 3
	// crossZoneFill turns the price of crossing zones into fill: a server across a priced border must be
	// emptier.
	crossZoneFill = 4.0
	// memberFailureThreshold and zoneFailureThreshold are the failures in a row that eject a server or a zone.
	memberFailureThreshold, zoneFailureThreshold = 2, 4
	// maxBackoffDoublings bounds the exponential backoff before an ejected server is tried again.
	maxBackoffDoublings = 5
	// groupSlice is how many servers form the home slice of a group. Those that come next in its order, up to
	// groupReach, bear its shared work again and are used only up to groupSpillFill, so that they have
	// capacity for many of it; further on each proxy knows other servers and would scatter the group.
	// groupTaper is the part of a server over which fewer of a group go there as it fills.
	// docs/design/fleet.md has the measurements.
	groupSlice, groupReach, groupSpillFill, groupTaper = 1, 1 + 2*probesPerTier, 0.5, 0.35
	// groupDemand is how many times the connections of a warmed-up server may want one that is warming up:
	// most proxies that hold a connection hold one of a large group, and all those want the same server. See
	// docs/design/fleet.md.
	groupDemand = 4.0
	// admissionBackoff is the factor by which one failure to set up reduces the part of its requests that a
	// proxy sends, and minAdmissionRate the part that it always sends, to see whether setting up works again.
	admissionBackoff, minAdmissionRate = 0.8, 0.03
	// concurrentPolls is how many proxies may poll the server list within a twentieth of MaxPollInterval.
	concurrentPolls = 6.0
	// learningRate is the weight of one new report in what is learned from reports.
	learningRate = 0.1
	// minLearningLoad is the load above which a report teaches a capacity: an idle server shows none.
	minLearningLoad = 0.05
	// slowStartMargin is the part of OverloadFactor that is used; the rest is for chance and for proxies that
	// exceed their part.
	slowStartMargin = 0.75
	// priorReports is how many reports a server's own capacity needs to weigh as much as its kind's.
	priorReports = 8.0
)

// New makes a Balancer. It puts safe values in place of senseless settings.
func New(set Settings, seed uint64, executor Executor) *Balancer {
	set = normalize(set)
	b := &Balancer{
		cfg:               set,
		executor:          executor,
		rng:               rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID:              map[MemberID]*member{},
		requests:          map[RequestID]*request{},
		zones:             slices.Repeat([]zone{{fill: fillLow}}, set.Zones), // until reports say otherwise
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
