package scenariorunner

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"dahliarudder/internal/scenario"
)

const (
	// minRejections is the minimum length of a series of rejections; see Result.LongestRejecting.
	minRejections = 15
	// worstWindow is the length of the window of Result.Worst.
	worstWindow = 10 * time.Second
	// maxRunnerDelayMs is the highest p99 delay of the runner's own actions in a valid run. Above
	// it, the measured times include the runner's delay.
	maxRunnerDelayMs = 50.0
)

// Result is the result of one run. The suffix of a JSON name gives the unit of a time.
type Result struct {
	Variant    string  `json:"variant"`
	Repetition int     `json:"play"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Invalid is the reason why the run does not count as a measurement; empty for a valid run.
	Invalid    string               `json:"invalid,omitempty"`
	Violations []scenario.Violation `json:"broken"`
	Service    float64              `json:"service"` // served share of the demand; see scenario.Service
	Worst      float64              `json:"worst_10_s"`
	WorstAt    float64              `json:"worst_10_s_at_s"`
	ByTag      map[string]float64   `json:"by"`
	// RecoveredAfter is the time from the last step to the recovery of the service. It is nil if there
	// is no step or the service did not recover.
	RecoveredAfter    *float64           `json:"back_after_s"`
	SetupTimes        map[string]float64 `json:"set_up_ms"` // by quantile
	Answers           map[string]int     `json:"answers"`   // attempts by outcome
	AttemptsPerClient float64            `json:"tries_a_client"`
	MaxAttempts       int                `json:"tries_of_one_client_most"`
	// PeakMemberLoad is the peak work of the new connections of one member in 1 s, relative to the
	// member's capacity.
	PeakMemberLoad float64      `json:"new_connections_in_1_s_over_what_the_member_can_take_most"`
	PeakListCalls  float64      `json:"list_calls_in_100_ms_most"`
	Probes         float64      `json:"probes_a_s"`
	Relays         []RelayUsage `json:"relays"`
	// LongestRejecting is the longest time in which a relay rejected every request, over series of at
	// least minRejections.
	LongestRejecting  time.Duration      `json:"refusals_on_end_ns"`
	Unavailable       Unavailable        `json:"out_at_once"`
	Releases          map[string]string  `json:"releases,omitempty"` // last state by release name
	ReleasesDoneAfter *float64           `json:"releases_done_after_s"`
	Drift             []DriftSpan        `json:"drift,omitempty"`
	RunnerDelay       map[string]float64 `json:"rehearsal_late_ms"` // delay of the runner's own actions, by quantile
	Peers             *PeerViews         `json:"peers,omitempty"`
	Demand            []float64          `json:"asked"` // wanted connections, by second
	Served            []float64          `json:"served"`
	Faults            []FaultStep        `json:"faults"`
}

// Unavailable holds the peak numbers of relays and members that were out of service at the same
// time, and the lowest capacity that was left.
type Unavailable struct {
	Relays  int     `json:"relays"`          // not admitted by the front
	Members int     `json:"members"`         // down or in slow start
	Cores   float64 `json:"cores_left_part"` // lowest available share of the members' full capacity
}

// RelayUsage is the resource use of one relay.
type RelayUsage struct {
	Name        string  `json:"name"`
	Starts      int     `json:"starts"`
	CPU         float64 `json:"cpu_s"`
	Memory      float64 `json:"memory_mb"`        // peak
	GossipBytes int     `json:"bytes_to_relays"`  // sent to other relays
	Connections int     `json:"connections_made"` // to members
	ListBytes   int     `json:"list_bytes"`       // endpoint lists received from discovery
	Descriptors int     `json:"descriptors_most"`
}

// PeerViews summarizes how soon relays noticed failed peers, and how often they suspected live ones.
type PeerViews struct {
	Noticed   int     `json:"noticed"` // failures of relays, counted once for each live relay that noticed
	P50       float64 `json:"noticed_p50_s"`
	P99       float64 `json:"noticed_p99_s"`
	Suspected int     `json:"live_suspected"`     // how often a peer reported a live relay as suspect
	Dead      int     `json:"live_held_for_dead"` // how often a peer reported a live relay as dead, gone or left
}

// FaultStep is a step of the timeline.
type FaultStep struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"` // action and target
}

// reportedQuantiles are the percentiles of times in a result, by name.
var reportedQuantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "most": 100}

// result ends the judge's evaluation and collects the result of the run.
func (r *run) result(v scenario.Variant, repetition int) *Result {
	x := &Result{Variant: v.Name, Repetition: repetition, Seed: r.plan.Seed, SetupTimes: map[string]float64{}, RunnerDelay: map[string]float64{},
		Violations: []scenario.Violation{}}
	for _, n := range r.relays {
		cpu, memory, gossipBytes := n.readUsage()
		u := r.usage[n.name]
		x.Relays = append(x.Relays, RelayUsage{Name: n.name, Starts: n.starts, CPU: cpu, Memory: memory, GossipBytes: n.gossipBytes + gossipBytes,
			Connections: u.connections, ListBytes: u.listBytes, Descriptors: u.descriptors})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	end := min(r.now(), r.plan.End)
	x.Seconds = end.Seconds()
	r.addTimes(x)
	r.judge.RunnerDelay = scenario.Millis(x.RunnerDelay["most"])
	x.Violations = append(x.Violations, r.judge.Finish(end)...)
	r.addService(x)
	r.addUnavailability(x)
	x.Answers, x.MaxAttempts = r.answers, r.maxAttempts
	x.AttemptsPerClient = float64(r.attempts) / float64(max(len(r.plan.Sessions), 1))
	for _, u := range r.usage {
		x.LongestRejecting = max(x.LongestRejecting, u.longestRejecting)
	}
	for _, p := range r.memberLoad {
		x.PeakMemberLoad = max(x.PeakMemberLoad, p.Max)
	}
	x.PeakListCalls, x.Probes = r.listCalls.Max, r.probes.Total/end.Seconds()
	if r.watchesPeers() {
		w := r.peerViews
		x.Peers = &PeerViews{len(w.noticed), scenario.Quantile(w.noticed, 0.5), scenario.Quantile(w.noticed, 0.99), w.falseSuspicions, w.falseDeaths}
	}
	for _, s := range r.plan.Steps {
		x.Faults = append(x.Faults, FaultStep{s.At.Seconds(), strings.TrimSpace(string(s.Action) + " " + s.Target + " " + s.Peer)})
	}
	return x
}

// addTimes adds the quantiles of the set-up times and of the runner's own delay. A delay above
// maxRunnerDelayMs marks the run as invalid.
func (r *run) addTimes(x *Result) {
	const microsPerMilli = 1000
	for name, percentile := range reportedQuantiles {
		x.SetupTimes[name] = float64(r.setupTimes.ValueAtPercentile(percentile)) / microsPerMilli
		x.RunnerDelay[name] = float64(r.runnerDelays.ValueAtPercentile(percentile)) / microsPerMilli
	}
	if x.RunnerDelay["p99"] > maxRunnerDelayMs {
		x.Invalid = fmt.Sprintf("the runner itself was late: its delay was %.0f ms at p99, at most %.0f ms is allowed",
			x.RunnerDelay["p99"], maxRunnerDelayMs)
	}
}

func (r *run) addService(x *Result) {
	x.Service, x.ByTag = r.service.Share(), r.service.ByTag()
	worst, at := r.service.Worst(worstWindow)
	x.Worst, x.WorstAt = worst, at.Seconds()
	first, last, any := r.plan.FaultSpan()
	if recovery, ok := r.service.RecoveryTime(first, last); any && ok {
		s := recovery.Seconds()
		x.RecoveredAfter = &s
	}
	x.Demand, x.Served = r.service.PerSecond()
}

func (r *run) addUnavailability(x *Result) {
	o := &r.unavailability
	x.Unavailable = Unavailable{o.relays, o.members, 1 - o.lostCapacity}
	x.Releases, x.ReleasesDoneAfter, x.Drift = o.releaseStates, o.releasesDone(), o.drift
}

// WriteJSON writes all results to a file.
func WriteJSON(path string, all []*Result) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
