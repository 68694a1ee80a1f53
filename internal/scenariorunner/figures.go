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
	{"worst 10 s", func(r *Result) float64 { return 100 * r.Worst }, "%", false},
	{"full service again after", recoveredAfter, "s", false},
	{"set-up p50", func(r *Result) float64 { return r.SetupTimes["p50"] }, "ms", false},
	{"set-up p99", func(r *Result) float64 { return r.SetupTimes["p99"] }, "ms", false},
	{"tries a client", func(r *Result) float64 { return r.AttemptsPerClient }, "", false},
	{"new connections of a member, peak", func(r *Result) float64 { return r.PeakMemberLoad }, "x", false},
	{"list calls in 100 ms, peak", func(r *Result) float64 { return r.PeakListCalls }, "", false},
	{"probes", func(r *Result) float64 { return r.Probes }, "/s", false},
	{"processor time of a relay", func(r *Result) float64 { return r.mean(func(n RelayUsage) float64 { return n.CPU }) / r.Seconds * 100 }, "% of a core", false},
	{"memory of a relay", func(r *Result) float64 { return r.mean(func(n RelayUsage) float64 { return n.Memory }) }, "MB", false},
	{"bytes from relay to relay", func(r *Result) float64 {
		return r.mean(func(n RelayUsage) float64 { return float64(n.Peers) }) / r.Seconds
	}, "/s each", false},
	{"an end noticed by a relay, p50", func(r *Result) float64 { return r.peers().P50 }, "s", true},
	{"an end noticed by a relay, p99", func(r *Result) float64 { return r.peers().P99 }, "s", true},
	{"live relays suspected", func(r *Result) float64 { return float64(r.peers().Suspected) }, "", true},
	{"live relays held for dead", func(r *Result) float64 { return float64(r.peers().Dead) }, "", true},
	{"relays out at once", func(r *Result) float64 { return float64(r.Unavailable.Relays) }, "", false},
	{"members down or cold at once", func(r *Result) float64 { return float64(r.Unavailable.Members) }, "", false},
	{"least that members bore, of all", func(r *Result) float64 { return 100 * r.Unavailable.Cores }, "%", false},
	{"releases done after", releasesDone, "s", false},
	{"drift shown", func(r *Result) float64 { return float64(len(r.Drift)) }, "", false},
	{"rules broken", func(r *Result) float64 { return float64(len(r.Violations)) }, "", false},
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
