package scenariorunner

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"dahliarudder/internal/scenario"
)

const (
	// maxRejecting is for how long the operators' page lets a relay turn away all that it gets, minRejections or more.
	maxRejecting  = 4 * time.Second
	minRejections = 15
)

// maxRunnerDelayMs is how late one in a hundred of the rehearsal's own acts may be: beyond it, what is measured is the rehearsal.
const maxRunnerDelayMs = 50.0

// Result is what one play showed. Times are in the unit that the name ends in.
type Result struct {
	Variant    string  `json:"variant"`
	Repetition int     `json:"play"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Invalid says why the play says nothing of the relays; empty if it does.
	Invalid           string               `json:"invalid,omitempty"`
	Violations        []scenario.Violation `json:"broken"`
	Service           float64              `json:"service"` // part of the connection seconds asked for
	Worst             float64              `json:"worst_10_s"`
	WorstAt           float64              `json:"worst_10_s_at_s"`
	ByTag             map[string]float64   `json:"by"`
	RecoveredAfter    *float64             `json:"back_after_s"` // from the last fault to full service; null: no faults, or never
	SetupTimes        map[string]float64   `json:"set_up_ms"`
	Answers           map[string]int       `json:"answers"`
	AttemptsPerClient float64              `json:"tries_a_client"`
	MaxAttempts       int                  `json:"tries_of_one_client_most"`
	PeakMemberLoad    float64              `json:"new_connections_in_1_s_over_what_the_member_can_take_most"`
	PeakListCalls     float64              `json:"list_calls_in_100_ms_most"`
	Probes            float64              `json:"probes_a_s"`
	Relays            []RelayUsage         `json:"relays"`
	// LongestRejecting is the longest time for which some relay has turned away all that came to it, minRejections or more.
	LongestRejecting time.Duration `json:"refusals_on_end_ns"`
	// Unavailable is how many were out together at most: relays that no front sends to, members that are down or cold. Cores is the least that members bore.
	Unavailable struct {
		Relays  int     `json:"relays"`
		Members int     `json:"members"`
		Cores   float64 `json:"cores_left_part"`
	} `json:"out_at_once"`
	Releases          map[string]string  `json:"releases,omitempty"` // exitStatus each stands at the end
	ReleasesDoneAfter *float64           `json:"releases_done_after_s"`
	Drift             []DriftSpan        `json:"drift,omitempty"` // what the leader said
	RunnerDelay       map[string]float64 `json:"rehearsal_late_ms"`
	Peers             *PeerViews         `json:"peers,omitempty"`
	Demand            []float64          `json:"asked"` // connections, each second
	Served            []float64          `json:"served"`
	Faults            []FaultMark        `json:"faults"`
}

// RelayUsage is what one relay used.
type RelayUsage struct {
	Name   string  `json:"name"`
	Starts int     `json:"starts"`
	CPU    float64 `json:"cpu_s"`
	Memory float64 `json:"memory_mb"`
	Peers  int     `json:"bytes_to_relays"`
	// Of others: connections made to members, bytes of lists read from discovery; and the most descriptors held.
	Connections int `json:"connections_made"`
	ListBytes   int `json:"list_bytes"`
	Descriptors int `json:"descriptors_most"`
}

// PeerViews is how relays saw each other, where they do.
type PeerViews struct {
	Noticed   int     `json:"noticed"` // linkEnds of relays, by each that lived
	P50       float64 `json:"noticed_p50_s"`
	P99       float64 `json:"noticed_p99_s"`
	Suspected int     `json:"live_suspected"`
	Dead      int     `json:"live_held_for_dead"`
}

// FaultMark is a fault on the time axis.
type FaultMark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

func (r *run) result(v scenario.Variant, repetition int) *Result {
	x := &Result{Variant: v.Name, Repetition: repetition, Seed: r.plan.Seed, SetupTimes: map[string]float64{}, RunnerDelay: map[string]float64{}, Violations: []scenario.Violation{}}
	for _, n := range r.relays {
		cpu, memory, bytes := n.readUsage()
		x.Relays = append(x.Relays, RelayUsage{Name: n.name, Starts: n.starts, CPU: cpu, Memory: memory, Peers: n.gossipBytes + bytes,
			Connections: r.usage[n.name].connections, ListBytes: r.usage[n.name].listBytes, Descriptors: r.usage[n.name].descriptors})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	end := min(r.now(), r.plan.End)
	x.Seconds = end.Seconds()
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "most": 100} {
		x.SetupTimes[name] = float64(r.setupTimes.ValueAtPercentile(q)) / 1000
		x.RunnerDelay[name] = float64(r.runnerDelays.ValueAtPercentile(q)) / 1000
	}
	r.judge.RunnerDelay = time.Duration(x.RunnerDelay["most"] * float64(time.Millisecond))
	x.Violations = append(x.Violations, r.judge.Finish(end)...)
	if x.RunnerDelay["p99"] > maxRunnerDelayMs {
		x.Invalid = fmt.Sprintf("the rehearsal itself was late: %.0f ms in one case of a hundred, %.0f ms are allowed", x.RunnerDelay["p99"], maxRunnerDelayMs)
	}
	x.Service, x.ByTag = r.service.Share(), r.service.ByTag()
	worst, at := r.service.Worst(10 * time.Second)
	x.Worst, x.WorstAt = worst, at.Seconds()
	first, last, any := r.plan.FaultSpan()
	if back, ok := r.service.RecoveryTime(first, last); any && ok {
		s := back.Seconds()
		x.RecoveredAfter = &s
	}
	x.Answers, x.MaxAttempts = r.answers, r.maxAttempts
	for _, u := range r.usage {
		x.LongestRejecting = max(x.LongestRejecting, u.longestRejecting)
	}
	x.AttemptsPerClient = float64(r.attempts) / float64(max(len(r.plan.Sessions), 1))
	for _, p := range r.memberLoad {
		x.PeakMemberLoad = max(x.PeakMemberLoad, p.Max)
	}
	x.PeakListCalls, x.Probes = r.listCalls.Max, r.probes.Total/end.Seconds()
	x.Demand, x.Served = r.service.PerSecond()
	if _, on := r.config["peers"]; on && r.File.Relays.PollPeersMs > 0 {
		v := r.peerViews
		x.Peers = &PeerViews{len(v.noticed), scenario.Quantile(v.noticed, 0.5), scenario.Quantile(v.noticed, 0.99), v.falseSuspicions, v.falseDeaths}
	}
	x.Unavailable.Relays, x.Unavailable.Members, x.Unavailable.Cores, x.Releases = r.unavailability.relays, r.unavailability.members, 1-r.unavailability.lostCapacity, r.unavailability.releaseStates
	x.ReleasesDoneAfter, x.Drift = r.unavailability.releasesDone(), r.unavailability.drift
	for _, s := range r.plan.Steps {
		x.Faults = append(x.Faults, FaultMark{s.At.Seconds(), strings.TrimSpace(string(s.Action) + " " + s.Target + " " + s.Peer)})
	}
	return x
}

// tableFigures are those that variants are held against each other by.
var tableFigures = []struct {
	name  string
	of    func(*Result) float64
	unit  string
	views bool // measured only where relays are asked what they know of the others
}{
	{"well served", func(r *Result) float64 { return 100 * r.Service }, "%", false},
	{"worst 10 s", func(r *Result) float64 { return 100 * r.Worst }, "%", false},
	{"full service again after", func(r *Result) float64 { return recoveredAfter(r) }, "s", false},
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
	{"releases done after", func(r *Result) float64 { return releasesDone(r) }, "s", false},
	{"drift shown", func(r *Result) float64 { return float64(len(r.Drift)) }, "", false},
	{"rules broken", func(r *Result) float64 { return float64(len(r.Violations)) }, "", false},
}

// releasesDone is the time from the first call until all releases had ended; 0 without any, all that was left where one did not.
func releasesDone(r *Result) float64 {
	switch {
	case r.ReleasesDoneAfter != nil:
		return *r.ReleasesDoneAfter
	case len(r.Releases) == 0:
		return 0
	}
	return r.Seconds
}

// backward is the time to full service; a play that never got there counts as all that was left of it.
func recoveredAfter(r *Result) float64 {
	if r.RecoveredAfter != nil {
		return *r.RecoveredAfter
	}
	if len(r.Faults) == 0 {
		return 0
	}
	return max(r.Seconds-r.Faults[len(r.Faults)-1].At, 0)
}

func (r *Result) peers() PeerViews {
	if r.Peers == nil {
		return PeerViews{}
	}
	return *r.Peers
}

func (r *Result) mean(of func(RelayUsage) float64) float64 {
	sum := 0.0
	for _, n := range r.Relays {
		sum += of(n) / float64(len(r.Relays))
	}
	return sum
}

// WriteTable writes what all plays showed: one column for each variant.
func WriteTable(w io.Writer, all []*Result) {
	var names []string
	by := map[string][]*Result{}
	for i, r := range all {
		if r.Invalid != "" && i > 0 {
			continue // named below; it says nothing of the variant
		}
		if by[r.Variant] == nil {
			names = append(names, r.Variant)
		}
		by[r.Variant] = append(by[r.Variant], r)
	}
	if len(names) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "\n")
	for i, n := range names {
		fmt.Fprintf(t, "\t%s", n)
		if i > 0 {
			fmt.Fprint(t, "\tdifference\tnoise\t")
		}
	}
	fmt.Fprintln(t)
	seen := slices.ContainsFunc(all, func(r *Result) bool { return r.Peers != nil })
	for _, f := range tableFigures {
		if f.views && !seen {
			continue // not measured
		}
		fmt.Fprint(t, f.name)
		values := func(n string) (out []float64) {
			for _, r := range by[n] {
				out = append(out, f.of(r))
			}
			return out
		}
		first := values(names[0])
		for i, n := range names {
			c := scenario.Compare(first, values(n))
			fmt.Fprintf(t, "\t%s", formatFigure(c.Mean, f.unit))
			if len(by[n]) > 1 {
				fmt.Fprintf(t, " (%s to %s)", formatFigure(c.Min, ""), formatFigure(c.Max, ""))
			}
			if i > 0 {
				word := "within it"
				if c.Significant {
					word = "larger"
				}
				if len(by[n]) < 3 || len(first) < 3 {
					word = "not known"
				}
				fmt.Fprintf(t, "\t%s\t%s\t%s", formatFigure(c.Difference, ""), formatFigure(c.Noise, ""), word)
			}
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	for _, n := range names {
		r := by[n][0]
		fmt.Fprintf(w, "\n%s, by part:", n)
		for _, k := range sortedKeys(r.ByTag) {
			fmt.Fprintf(w, "  %s %.1f%%", k, 100*r.ByTag[k])
		}
		fmt.Fprintln(w)
		for _, r := range by[n] {
			for i, b := range r.Violations {
				if i == 8 {
					fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
					break
				}
				fmt.Fprintf(w, "%s, play %d: RULE BROKEN at %.2f s, %s: %s: %s\n", n, r.Repetition, b.At.Seconds(), b.Relay, b.Rule, b.What)
			}
		}
	}
	late := 0.0
	for _, r := range all {
		if r.Invalid != "" {
			fmt.Fprintf(w, "%s, play %d is INVALID: %s\n", r.Variant, r.Repetition, r.Invalid)
		}
		late = max(late, r.RunnerDelay["p99"])
	}
	fmt.Fprintf(w, "\nseed %d and on; the rehearsal itself was late by %.1f ms at p99 at worst\n", all[0].Seed, late)
}

// formatFigure writes a number with three digits that count.
func formatFigure(v float64, unit string) string {
	text := fmt.Sprintf("%.2f", v)
	if v >= 100 || v <= -100 {
		text = fmt.Sprintf("%.0f", v)
	} else if v >= 10 || v <= -10 {
		text = fmt.Sprintf("%.1f", v)
	}
	if unit == "" || unit == "%" || unit[0] == '/' {
		return text + unit
	}
	return text + " " + unit
}

func sortedKeys[V any](m map[string]V) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}

// WriteJSON writes all results to a file.
func WriteJSON(path string, all []*Result) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
