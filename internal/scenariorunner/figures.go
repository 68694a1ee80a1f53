package scenariorunner

// figure is a measured value by which variants are compared: one row of the table.
type figure struct {
	name           string
	value          func(*Result) float64
	unit           string
	needsPeerViews bool // measured only if the runner polls the relays' views of each other
}

// figures are the rows of the table, in order.
var figures = []figure{
	{"well served", func(r *Result) float64 { return 100 * r.Service }, "%", false},
	{"well served, worst 10 s", func(r *Result) float64 { return 100 * r.Worst }, "%", false},
	{"service recovered after", recoveredAfter, "s", false},
	{"set-up time p50", func(r *Result) float64 { return r.SetupTimes["p50"] }, "ms", false},
	{"set-up time p99", func(r *Result) float64 { return r.SetupTimes["p99"] }, "ms", false},
	{"attempts per client", func(r *Result) float64 { return r.AttemptsPerClient }, "", false},
	{"work of new connections over a member's capacity, peak", func(r *Result) float64 { return r.PeakMemberLoad }, "x", false},
	{"discovery calls in 100 ms, peak", func(r *Result) float64 { return r.PeakListCalls }, "", false},
	{"health checks at members", func(r *Result) float64 { return r.Probes }, "/s", false},
	{"CPU time of a relay", func(r *Result) float64 { return r.mean(func(n RelayUsage) float64 { return n.CPU }) / r.Seconds * 100 }, "% of a core", false},
	{"peak memory of a relay", func(r *Result) float64 { return r.mean(func(n RelayUsage) float64 { return n.Memory }) }, "MB", false},
	{"gossip bytes sent by a relay", func(r *Result) float64 {
		return r.mean(func(n RelayUsage) float64 { return float64(n.GossipBytes) }) / r.Seconds
	}, "/s", false},
	{"failed relay noticed by a peer after, p50", func(r *Result) float64 { return r.peers().P50 }, "s", true},
	{"failed relay noticed by a peer after, p99", func(r *Result) float64 { return r.peers().P99 }, "s", true},
	{"live relays suspected by a peer", func(r *Result) float64 { return float64(r.peers().Suspected) }, "", true},
	{"live relays reported as dead by a peer", func(r *Result) float64 { return float64(r.peers().Dead) }, "", true},
	{"relays not admitted, peak", func(r *Result) float64 { return float64(r.Unavailable.Relays) }, "", false},
	{"members down or in slow start, peak", func(r *Result) float64 { return float64(r.Unavailable.Members) }, "", false},
	{"capacity of all members, lowest", func(r *Result) float64 { return 100 * r.Unavailable.Cores }, "%", false},
	{"releases finished after", releasesDone, "s", false},
	{"drifts reported", func(r *Result) float64 { return float64(len(r.Drift)) }, "", false},
	{"rule violations", func(r *Result) float64 { return float64(len(r.Violations)) }, "", false},
}

// releasesDone returns the seconds from the first accepted operator call until all releases had
// ended. It returns 0 if there were no releases, and the length of the run if one did not end.
func releasesDone(r *Result) float64 {
	switch {
	case r.ReleasesDoneAfter != nil:
		return *r.ReleasesDoneAfter
	case len(r.Releases) == 0:
		return 0
	}
	return r.Seconds
}

// recoveredAfter returns the seconds from the last fault until service recovered. It returns 0
// without faults, and the time from the last fault to the end of the run if service never recovered.
func recoveredAfter(r *Result) float64 {
	if r.RecoveredAfter != nil {
		return *r.RecoveredAfter
	}
	if len(r.Faults) == 0 {
		return 0
	}
	return max(r.Seconds-r.Faults[len(r.Faults)-1].At, 0)
}

// peers returns the measured peer views, or zeros if they were not measured.
func (r *Result) peers() PeerViews {
	if r.Peers == nil {
		return PeerViews{}
	}
	return *r.Peers
}

// mean returns the mean of a value over all relays.
func (r *Result) mean(value func(RelayUsage) float64) float64 {
	sum := 0.0
	for _, n := range r.Relays {
		sum += value(n) / float64(len(r.Relays))
	}
	return sum
}
