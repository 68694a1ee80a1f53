package policy

import (
	"math/rand/v2"
	"slices"
)

// The events and actions are in policy/api.go, what a Balancer keeps is in policy/state.go, and each
// kind of decision is in a file of its name; the deploy file lists them all. What follows the SERES
// thresholds, and what departs from them and when, is in docs/design.md.

// The constants are dimensionless; times are derived from the settings.
const (
	// The fill levels at which a server counts as having room, tried in turn, as parts of its capacity.
	// Load swings while a connection lives, so the first keeps a third of a server for that and the
	// last is the k of the paper, just short of where messages begin to wait.
	fillLow, fillMedium, fillHigh = 0.65, 0.75, 0.85
	// overloadFill is the fill above which a report alone has connections moved off; one of over jolt may be a
	// server that stood still for a moment. Up to cheap goes what earns under lowValueRatio of what others do
	// for its load. docs/design.md, "Shortage", has the measurements.
	overloadFill, stallLoad, lowValueFill, lowValueRatio = 0.95, 2.0, 0.8, 0.5
	// lendTolerance is the part of the owners' connections that may find their home full (paper 5.4), and
	// lendStep how far one such event moves h, as a part of k: slow enough to average some tens of events.
	lendTolerance, lendStep = 0.1, 0.1
	// lendMin is the part of k always lent: even a busy owner's slice takes a guest while it has room.
	lendMin = 0.2
	// shrinkage is how many connections a proxy must hold on one server before it believes its own foreign
	// share there as much as its share over all servers.
	shrinkage = 4.0
	// probeBudget is what probing may cost, as a part of all worth; maxProbes and probesPerTier bound the
	// probes a request may cause in all and for one kind of candidate: choosing among a few gives most
	// of the gain.
	probeBudget, maxProbes, probesPerTier = 0.007, 8.0, 3
	// crossZoneFill turns the price of crossing zones into fill: a server across a priced border must be
	// emptier.
	crossZoneFill = 4.0
	// serverFailureThreshold and zoneFailureThreshold are the failures in a row that condemn a server or a zone; one is no
	// verdict.
	serverFailureThreshold, zoneFailureThreshold = 2, 4
	// maxBackoffDoublings bounds the doubling of the pause before a condemned server is tried again.
	maxBackoffDoublings = 5
	// groupSlice is how many servers a group has for its home. What comes next in its order, up to groupReach,
	// pays for the group again and opens only where filled no more than opening, room for many; further on each
	// proxy knows others and would scatter the group. ramp is the part of a server over which fewer of a group
	// go there as it fills. docs/design/fleet.md has the measurements.
	groupSlice, groupReach, groupSpillFill, groupTaper = 1, 1 + 2*probesPerTier, 0.5, 0.35
	// groupDemand is how many times the connections of a warm server may want a cold one together: who holds a
	// connection is mostly of a large group, which all want the same server. docs/design/fleet.md.
	groupDemand = 4.0
	// admissionBackoff is what one failure to set up leaves of the part of its requests that a proxy dares to send, and
	// minAdmissionRate what it always sends, to see whether setting up works again.
	admissionBackoff, minAdmissionRate = 0.8, 0.03
	// concurrentPolls is how many proxies may ask for the list within a twentieth of MaxPollInterval.
	concurrentPolls = 6.0
	// learningRate is the weight of one new report in what is learned from reports.
	learningRate = 0.1
	// slowStartMargin of the stated multiple is used; the rest is for chance and for proxies that do not keep to it.
	slowStartMargin = 0.75
	// priorReports is how many reports a server's own capacity needs to weigh as much as its kind's.
	priorReports = 8.0
)

// New makes a Balancer. It puts safe values in place of senseless settings.
func New(set Settings, seed uint64, actions Executor) *Balancer {
	set = normalize(set)
	b := &Balancer{cfg: set, executor: actions, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{},
		zones:        slices.Repeat([]zone{{fill: fillLow}}, set.Zones), // until reports say otherwise
		probeWaiters: map[ServerID][]RequestID{}, kinds: map[int]*kind{},
		lendingThresholds: slices.Repeat([]float64{1}, len(set.Tenants)), openByTenant: make([]float64, len(set.Tenants)),
		classLoad: make([]float64, len(set.Classes))}
	b.minObjective, b.maxDeadline, b.minMessageObjective = set.Classes[0].LatencyObjective, set.Classes[0].Deadline, set.Classes[0].MessageLatencyObjective
	for _, c := range set.Classes {
		b.minMessageObjective = min(b.minMessageObjective, c.MessageLatencyObjective)
		b.minObjective, b.maxDeadline = min(b.minObjective, c.LatencyObjective), max(b.maxDeadline, c.Deadline)
	}
	b.probeTokens, b.admissionRate, b.activeRelays = 3*b.probeAllowance(), 1, float64(set.Balancers)
	return b
}
