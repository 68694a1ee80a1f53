package scenariorunner

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
	"dahliarudder/internal/settings"
)

// run is one run of a variant.
type run struct {
	*Runner
	plan          *scenario.Plan
	settings      *settings.Settings
	config        map[string]json.RawMessage // common to all relays
	program       string                     // path of the relay
	dir           string
	usedAddrs     map[string]bool
	leaderByFault map[int]string // the leader that a fault was applied to; used by the timeline alone
	began         time.Time
	background    *background

	mu               sync.Mutex // guards everything below, and the judge
	closing          bool
	judge            *scenario.Judge
	service          *scenario.Service
	relays           []*relay
	members          map[string]*member // by current name
	memberByIndex    []*member          // the current members s0 and on
	links            map[scenario.Link]*link
	front            *front
	discovery        *fakes.Discovery
	updatesWritten   map[relayMember]int         // how many times discovery has written a member's entry to a relay
	updatesBehindCut map[relayMember]fakes.Entry // the last entry that was written while the relay was cut off
	measures
}

// measures are what a run measures besides the judge's findings and the service.
type measures struct {
	peerViews      *peerWatch
	setupTimes     *hdrhistogram.Histogram // microseconds
	runnerDelays   *hdrhistogram.Histogram // of the runner's own actions, microseconds
	listCalls      *scenario.Peak
	probes         *scenario.Peak
	memberLoad     map[string]*scenario.Peak // work of new connections at each member, relative to its capacity
	unavailability unavailability
	answers        map[string]int    // attempts by outcome
	usage          map[string]*usage // by relay
	attempts       int               // of all sessions
	maxAttempts    int               // of one session
	openFlows      int
}

type relayMember struct{ relay, member string }

// link is a broken link. All connections between its ends pass through its proxies; datagrams between relays pass through udp.
type link struct {
	forward, backward fakes.Impairment
	proxies           []*fakes.TCPProxy
	udp               *fakes.UDPProxy
}

// maxRecordedMicros is the largest duration that the histograms record.
const maxRecordedMicros = 600e6

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, 3) }

// newRun prepares a run; nothing is started yet.
func (r *Runner) newRun(ctx context.Context, v scenario.Variant, repetition int, seed uint64) (*run, error) {
	config, decoded, err := r.Settings(v)
	if err != nil {
		return nil, err
	}
	runner := *r
	runner.File = r.File.ForVariant(v)
	x := &run{Runner: &runner, settings: decoded, config: config, program: r.Program, plan: scenario.Draw(runner.File, site(decoded), seed),
		dir:       filepath.Join(r.WorkDir, fmt.Sprintf("%s-%d", strings.Map(fileNameRune, v.Name), repetition)),
		usedAddrs: map[string]bool{}, leaderByFault: map[int]string{}, members: map[string]*member{}, links: map[scenario.Link]*link{},
		updatesWritten: map[relayMember]int{}, updatesBehindCut: map[relayMember]fakes.Entry{}}
	x.measures = measures{setupTimes: newHistogram(), runnerDelays: newHistogram(), memberLoad: map[string]*scenario.Peak{},
		listCalls: &scenario.Peak{Window: 100 * time.Millisecond}, probes: &scenario.Peak{Window: time.Second},
		answers: map[string]int{}, usage: map[string]*usage{}}
	if v.Program != "" {
		x.program = r.resolvePath(v.Program)
	}
	x.peerViews = newPeerWatch(x)
	x.service = scenario.NewService(x.plan.MeasureFrom, x.plan.End)
	g := decoded.Guarantees
	x.judge = scenario.NewJudge(scenario.Rules{MaxAttempts: decoded.Limits.MaxAttempts, AnswerSlack: settings.Duration(g.AnswerSlack),
		DrainGrace: settings.Duration(g.DrainGrace), SlowStart: slowStart(decoded), OverloadFactor: g.OverloadFactor, OverloadWindow: settings.Duration(g.OverloadWindow)})
	if err := os.RemoveAll(x.dir); err != nil { // of an earlier run
		return nil, err
	}
	x.began, x.background = time.Now(), newBackground(ctx)
	return x, nil
}

// fileNameRune replaces a rune of a variant's name that a directory's name should not contain.
func fileNameRune(c rune) rune {
	if unicode.IsLetter(c) || unicode.IsDigit(c) {
		return c
	}
	return '-'
}

// restartClock makes the run's time begin now.
func (r *run) restartClock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = time.Now()
}

// now is the time since the run began.
func (r *run) now() time.Duration { return time.Since(r.began) }

// locked calls f with the lock held and the current time.
func (r *run) locked(f func(at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
}

// sinceStart converts a member's start to the run's time; 0: long ago.
func (r *run) sinceStart(startedMs int64) time.Duration {
	if startedMs == 0 {
		return 0
	}
	return max(time.UnixMilli(startedMs).Sub(r.began), 1)
}

// event prints a line of progress with a time. It overwrites the line that reportProgress has begun.
func (r *run) event(at time.Duration, format string, args ...any) {
	r.Progress("\r%7.1f s: %s%s\n", at.Seconds(), fmt.Sprintf(format, args...), strings.Repeat(" ", 40))
}

// readyTimeout is how long all relays together have to be ready before a run.
const readyTimeout = 30 * time.Second

// waitReady waits until the front has admitted every relay.
func (r *run) waitReady(ctx context.Context) error {
	r.front.start()
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range r.relays {
			if r.front.isAdmitted(n.name) {
				ready++
			}
			if how := n.exitReason(); how != "" {
				return fmt.Errorf("%s ended as it started: %s; its log is %s", n.name, how, filepath.Join(n.dir, "log"))
			}
		}
		if ready == len(r.relays) {
			for _, n := range r.relays {
				n.initialDescriptors = n.openDescriptors()
			}
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d relays were ready after 30 s; the logs are below %s", ready, len(r.relays), r.dir)
		}
	}
}

// execute runs the sessions and the timeline until the plan's end.
func (r *run) execute(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, r.began.Add(r.plan.End))
	defer stop()
	var all sync.WaitGroup
	background := []func(context.Context){r.runTimeline, r.reportProgress, r.watchUnavailability, r.measureRunnerDelay}
	if r.configured("fleet") {
		background = append(background, r.replaceDrainedMembers, r.watchDrift)
	}
	if r.watchesPeers() {
		background = append(background, r.peerViews.poll)
	}
	for _, f := range background {
		all.Go(func() { f(ctx) })
	}
	for _, s := range r.plan.Sessions {
		if !sleep(ctx, s.Arrival-r.now()) {
			break
		}
		r.recordRunnerDelay(r.now() - s.Arrival)
		all.Go(func() { r.runSession(ctx, s) })
	}
	<-ctx.Done()
	all.Wait()
	r.locked(func(at time.Duration) {
		r.closing = true
		r.service.Truncate(at)
	})
}

// configured reports whether the relays' configuration has a section.
func (r *run) configured(section string) bool {
	_, ok := r.config[section]
	return ok
}

// watchesPeers reports whether relays are asked for their view of each other.
func (r *run) watchesPeers() bool { return r.configured("peers") && r.File.Relays.PollPeersMs > 0 }

// measureRunnerDelay measures by how much the runner itself is late.
func (r *run) measureRunnerDelay(ctx context.Context) {
	const interval = 5 * time.Millisecond
	for ctx.Err() == nil {
		at := time.Now()
		time.Sleep(interval)
		r.recordRunnerDelay(time.Since(at) - interval)
	}
}

func (r *run) recordRunnerDelay(delay time.Duration) {
	r.locked(func(time.Duration) { r.runnerDelays.RecordValue(max(delay.Microseconds(), 1)) })
}

// reportProgress prints each second how the run goes.
func (r *run) reportProgress(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, n := range r.relays {
			descriptors := n.openDescriptors()
			r.locked(func(time.Duration) { r.usage[n.name].descriptors = max(r.usage[n.name].descriptors, descriptors) })
		}
		r.locked(func(at time.Duration) {
			demand, _ := r.service.PerSecond()
			if i := int(at/time.Second) - 1; i >= 0 && i < len(demand) {
				r.Progress("\r%7.1f s: %4.0f connections asked for, %4d open, %d relays in front   ", at.Seconds(), demand[i], r.openFlows, r.front.admittedCount())
			}
		})
	}
	r.Progress("\n")
}

const (
	// releaseTimeout is how long relays have to release what their clients used: connections that health checks keep open end
	// after the settings' keepalive, and closed ones linger for a second.
	releaseTimeout = 12 * time.Second
	// descriptorAllowance is how many descriptors the judge allows beyond the initial ones: a call to discovery and one beside
	// it, which may be under way at any time, and those that the Go runtime opens.
	descriptorAllowance = 6
)

// checkLeaks compares, once all clients have gone, what each relay uses with what it used before they came.
func (r *run) checkLeaks(ctx context.Context) {
	limits := struct {
		Memory float64 `json:"memory_mb"`
	}{}
	json.Unmarshal(r.config["limits"], &limits)
	for _, n := range r.relays {
		if n.exitReason() != "" {
			continue
		}
		allowed := n.initialDescriptors + descriptorAllowance
		for end := time.Now().Add(releaseTimeout); n.openDescriptors() > allowed && time.Now().Before(end); {
			sleep(ctx, 20*time.Millisecond)
		}
		descriptors := n.openDescriptors()
		_, memory, _ := n.readUsage()
		r.locked(func(at time.Duration) {
			r.judge.CheckResources(at, n.name, descriptors, allowed, memory, limits.Memory)
		})
	}
}

// shutdown ends all processes and fakes.
func (r *run) shutdown() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.background.stop()
	for _, n := range r.relays {
		n.stopGracefully()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	for _, m := range r.members {
		m.Kill()
	}
	for _, l := range r.links {
		for _, p := range l.proxies {
			p.Close()
		}
		if l.udp != nil {
			l.udp.Close()
		}
	}
	r.background.wait()
	for _, n := range r.relays {
		n.idleConns.closeAll()
	}
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
