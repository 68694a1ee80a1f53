package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxExitAfterMoveMs is the longest time that a draining member takes to exit after it has sent MOVE
// to its clients, in milliseconds.
const maxExitAfterMoveMs = 1500

// boundedNumber is a number in the file with its inclusive bounds.
type boundedNumber struct {
	key              string
	value, low, high float64
}

// checkBounds returns an error about the first number that is out of its bounds. The prefix is put
// before each key.
func (f *File) checkBounds(prefix string, numbers []boundedNumber) error {
	for _, c := range numbers {
		if !(c.value >= c.low && c.value <= c.high) {
			return f.keyError(prefix+c.key, "%v is out of range: want %v to %v", c.value, c.low, c.high)
		}
	}
	return nil
}

// validate returns the first error in the file.
func (f *File) validate() error {
	if err := f.checkBounds("", []boundedNumber{
		{"seconds", f.Seconds, 1, 3600}, {"from_ms", f.MeasureFromMs, 0, f.Seconds * 1000},
		{"relays.count", float64(f.Relays.Count), 1, 900}, {"members.count", float64(f.Members.Count), 1, 3200},
		{"relays.views_ms", f.Relays.PollPeersMs, 0, 1e5}, {"relays.host_ms", f.Relays.RestartDelayMs, 0, 1e5},
		{"relays.voters", float64(f.Relays.Voters), 1, 5}, {"members.cores", f.Members.Cores[0], 0.01, f.Members.Cores[1]},
		{"members.most", float64(f.Members.MaxConnections), 0, 1e6}, {"members.open_ms", f.Members.ConnectionWorkMs, 0, 1e4},
		{"members.group_ms", f.Members.GroupWorkMs, 0, 1e4}, {"members.report_ms", f.Members.ReportAgeMs, 0, 1e5},
		{"members.rough", f.Members.ReportError, 0, 0.9}, {"members.leave_ms", f.Members.DrainMs, 0, 1e6},
		{"discovery.lag_ms", f.Discovery.PropagationDelayMs, 0, 1e5}, {"front.ping_ms", f.Front.PingMs, 10, 1e5},
		{"front.notice_ms", f.Front.FailureTimeoutMs, 10, 1e5}, {"clients.standing", float64(f.Clients.Initial), 0, 20000},
		{"clients.per_second", f.Clients.ArrivalsPerSecond, 0, 2000}, {"clients.stay_ms", f.Clients.MeanStayMs, 100, 1e8},
		{"clients.load", f.Clients.Load[0], 0, f.Clients.Load[1]}, {"clients.again_ms", f.Clients.ReconnectMs[0], 0, f.Clients.ReconnectMs[1]},
		{"clients.line_ms", f.Clients.LineIntervalMs, 20, 1e5}, {"clients.groups", float64(f.Clients.Groups), 1, 1e9},
		{"clients.well_ms", f.Clients.AnswerWithinMs, 1, 1e5}, {"repetitions", float64(f.Repetitions), 1, 100},
		{"seeds", float64(f.Seeds), 1, 1000}, {"clients.leave", f.Clients.AbandonRate, 0, 1},
	}); err != nil {
		return err
	}
	if err := f.validateDefect("members.flaw", &f.Members.Defect); err != nil {
		return err
	}
	if f.Config == "" {
		return f.keyError("config", "path of the relays' configuration is missing")
	}
	if err := f.validateVariants(); err != nil {
		return err
	}
	return f.validateFaults("faults", f.Faults)
}

func (f *File) validateVariants() error {
	names := map[string]bool{}
	for i, v := range f.Variants {
		key := fmt.Sprintf("variants[%d]", i)
		if v.Name == "" || names[v.Name] {
			return f.keyError(key+".name", "%q is empty or the name of another variant", v.Name)
		}
		names[v.Name] = true
		if err := f.validateDefect(key+".flaw", v.Defect); err != nil {
			return err
		}
		if err := f.validateFaults(key+".faults", v.Faults); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) validateDefect(key string, d *Defect) error {
	if d != nil && !(d.FailureRate >= 0 && d.FailureRate <= 1 && d.DelayMs >= 0 && d.DelayMs <= 1e4) {
		return f.keyError(key, "fail must be from 0 to 1 and delay_ms from 0 to 10000")
	}
	return nil
}

func (f *File) validateFaults(key string, faults []Fault) error {
	for i := range faults {
		if err := f.validateFault(fmt.Sprintf("%s[%d]", key, i), &faults[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) validateFault(key string, x *Fault) error {
	action, ok := actions[x.Action]
	if !ok {
		return f.keyError(key+".do", "unknown action %q, want one of %v", x.Action, slices.Sorted(maps.Keys(actions)))
	}
	if err := f.checkBounds(key+".", []boundedNumber{
		{"at_ms", x.AtMs, 0, f.Seconds * 1000}, {"for_ms", x.ForMs, 0, 1e8}, {"every_ms", x.EveryMs, 0, 1e7}, {"part", x.Fraction, 0, 1},
		{"count", float64(x.Count), 0, 1e4}, {"loss", x.Loss, 0, 1}, {"repeat", x.Duplication, 0, 1}, {"delay_ms", x.DelayMs, 0, 1e5},
		{"jitter_ms", x.JitterMs, 0, 1e5}, {"idle", float64(x.IdleConnections), 0, 10000}, {"kb_per_s", x.RateKBps, 0, 1e6},
		{"late_ms", x.AnswerDelayMs, 0, 1e5},
	}); err != nil {
		return err
	}
	if x.ForMs > 0 && action.undo == "" {
		return f.keyError(key+".for_ms", "%q cannot be undone", x.Action)
	}
	if minForMs := f.Members.DrainMs + maxExitAfterMoveMs; x.Action == ActionDrain && x.ForMs > 0 && x.ForMs < minForMs {
		return f.keyError(key+".for_ms", "%v is too short: a draining member may need %v ms to exit", x.ForMs, minForMs)
	}
	switch action.target {
	case TargetLink:
		return f.validateLinks(key, x)
	case TargetDiscovery:
		return nil
	}
	return f.validateTargets(key, x, action.target)
}

// validateLinks validates a fault whose targets are links.
func (f *File) validateLinks(key string, x *Fault) error {
	if len(x.From) == 0 || len(x.To) == 0 {
		return f.keyError(key, "%q needs from and to", x.Action)
	}
	if x.Action == ActionImpair && x.Impairment == (Impairment{}) {
		return f.keyError(key, "%q needs loss, repeat, delay_ms, jitter_ms or kb_per_s", x.Action)
	}
	for _, side := range []struct {
		key, allowed    string
		patterns, names []string
	}{
		{"from", "n0, n1 and so on, front", x.From, f.linkSources()},
		{"to", "n0, n1 and so on, s0, s1 and so on, discovery", x.To, f.linkDestinations()},
	} {
		for i, p := range side.patterns {
			if len(matching([]string{p}, side.names)) == 0 {
				return f.keyError(fmt.Sprintf("%s.%s[%d]", key, side.key, i), "%q matches none of %s", p, side.allowed)
			}
		}
	}
	return nil
}

// validateTargets validates a fault whose targets are relays or members.
func (f *File) validateTargets(key string, x *Fault, kind TargetKind) error {
	if x.Action == ActionCall {
		method, target, ok := strings.Cut(x.Call, " ")
		if !ok || !strings.HasPrefix(target, "/-/") || method != "POST" && method != "PUT" {
			return f.keyError(key+".call", "%q is not POST or PUT with a path below /-/", x.Call)
		}
	}
	if len(x.Targets) == 0 {
		return f.keyError(key+".who", "no target is given")
	}
	if kind == TargetRelay && slices.Equal(x.Targets, []string{Leader}) {
		return nil
	}
	names := f.targetNames(kind)
	for i, p := range x.Targets {
		if len(matching([]string{p}, names)) == 0 {
			return f.keyError(fmt.Sprintf("%s.who[%d]", key, i), "%q matches none of %s to %s", p, names[0], names[len(names)-1])
		}
	}
	return nil
}

// CheckZones returns an error about the first fault whose zone is not one of the given zones.
func (f *File) CheckZones(zones []string) error {
	for i, x := range f.Faults {
		if x.Zone != "" && !slices.Contains(zones, x.Zone) {
			return f.keyError(fmt.Sprintf("faults[%d].zone", i), "unknown zone %q, want one of %v", x.Zone, zones)
		}
	}
	return nil
}
