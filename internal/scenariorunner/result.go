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
	// minRejections is how many rejections in a row make a series, see Result.LongestRejecting.
	minRejections = 15
	// worstWindow is the window of Result.Worst.
	worstWindow = 10 * time.Second
	// maxRunnerDelayMs is how late one in a hundred of the runner's own actions may be. Beyond it the figures show the runner.
	maxRunnerDelayMs = 50.0
)

// Result is what one run showed. Times are in the unit in which the JSON name ends.
type Result struct {
	Variant    string  `json:"variant"`
	Repetition int     `json:"play"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Invalid says why the run says nothing about the relays; empty if it does.
	Invalid           string               `json:"invalid,omitempty"`
	Violations        []scenario.Violation `json:"broken"`
	Service           float64              `json:"service"` // served part of the connection seconds that clients wanted
	Worst             float64              `json:"worst_10_s"`
	WorstAt           float64              `json:"worst_10_s_at_s"`
	ByTag             map[string]float64   `json:"by"`
	RecoveredAfter    *float64             `json:"back_after_s"` // from the last fault; null: no faults, or never
	SetupTimes        map[string]float64   `json:"set_up_ms"`    // by quantile
	Answers           map[string]int       `json:"answers"`      // attempts by outcome
	AttemptsPerClient float64              `json:"tries_a_client"`
	MaxAttempts       int                  `json:"tries_of_one_client_most"`
	PeakMemberLoad    float64              `json:"new_connections_in_1_s_over_what_the_member_can_take_most"`
	PeakListCalls     float64              `json:"list_calls_in_100_ms_most"`
	Probes            float64              `json:"probes_a_s"`
	Relays            []RelayUsage         `json:"relays"`
	// LongestRejecting is the longest time for which some relay rejected all that it got, minRejections or more.
	LongestRejecting  time.Duration      `json:"refusals_on_end_ns"`
	Unavailable       Unavailable        `json:"out_at_once"`
	Releases          map[string]string  `json:"releases,omitempty"` // the last state of each
	ReleasesDoneAfter *float64           `json:"releases_done_after_s"`
	Drift             []DriftSpan        `json:"drift,omitempty"`
	RunnerDelay       map[string]float64 `json:"rehearsal_late_ms"` // by quantile
	Peers             *PeerViews         `json:"peers,omitempty"`
	Demand            []float64          `json:"asked"` // connections, each second
	Served            []float64          `json:"served"`
	Faults            []FaultMark        `json:"faults"`
}

// Unavailable is how much was out of service at the same time, at most.
type Unavailable struct {
	Relays  int     `json:"relays"`          // that the front had not admitted
	Members int     `json:"members"`         // that were down or in slow start
	Cores   float64 `json:"cores_left_part"` // least part of the members' full capacity
}

// RelayUsage is what one relay used.
type RelayUsage struct {
	Name        string  `json:"name"`
	Starts      int     `json:"starts"`
	CPU         float64 `json:"cpu_s"`
	Memory      float64 `json:"memory_mb"` // peak
	Peers       int     `json:"bytes_to_relays"`
	Connections int     `json:"connections_made"` // to members
	ListBytes   int     `json:"list_bytes"`       // read from discovery
	Descriptors int     `json:"descriptors_most"`
}

// PeerViews is how relays saw each other.
type PeerViews struct {
	Noticed   int     `json:"noticed"` // ends of relays, by each live relay
	P50       float64 `json:"noticed_p50_s"`
	P99       float64 `json:"noticed_p99_s"`
	Suspected int     `json:"live_suspected"`
	Dead      int     `json:"live_held_for_dead"`
}

// FaultMark is a step on the time axis.
type FaultMark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// reportedQuantiles are the percentiles of times that a result holds, by name.
var reportedQuantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "most": 100}

// result judges the run and sums it up.
func (r *run) result(v scenario.Variant, repetition int) *Result {
	x := &Result{Variant: v.Name, Repetition: repetition, Seed: r.plan.Seed, SetupTimes: map[string]float64{}, RunnerDelay: map[string]float64{},
		Violations: []scenario.Violation{}}
	for _, n := range r.relays {
		cpu, memory, gossipBytes := n.readUsage()
		u := r.usage[n.name]
		x.Relays = append(x.Relays, RelayUsage{Name: n.name, Starts: n.starts, CPU: cpu, Memory: memory, Peers: n.gossipBytes + gossipBytes,
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
		x.Faults = append(x.Faults, FaultMark{s.At.Seconds(), strings.TrimSpace(string(s.Action) + " " + s.Target + " " + s.Peer)})
	}
	return x
}

// addTimes adds the quantiles of setup times and of the runner's own delay, which may invalidate the run.
func (r *run) addTimes(x *Result) {
	const microsPerMilli = 1000
	for name, percentile := range reportedQuantiles {
		x.SetupTimes[name] = float64(r.setupTimes.ValueAtPercentile(percentile)) / microsPerMilli
		x.RunnerDelay[name] = float64(r.runnerDelays.ValueAtPercentile(percentile)) / microsPerMilli
	}
	if x.RunnerDelay["p99"] > maxRunnerDelayMs {
		x.Invalid = fmt.Sprintf("the rehearsal itself was late: %.0f ms in one case of a hundred, %.0f ms are allowed", x.RunnerDelay["p99"], maxRunnerDelayMs)
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
