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

// run is one run of a variant of the scenario.
type run struct {
	*Runner
	plan          *scenario.Plan
	settings      *settings.Settings
	config        map[string]json.RawMessage // sections that all relays have in common
	program       string                     // path of the relay program
	dir           string
	usedAddrs     map[string]bool
	leaderByFault map[int]string // leader at the time of each fault; accessed only by the timeline
	began         time.Time
	background    *background

	mu             sync.Mutex // guards the fields below and the judge
	closing        bool
	judge          *scenario.Judge
	service        *scenario.Service
	relays         []*relay
	members        map[string]*member // by member ID
	memberByIndex  []*member          // current members, by index
	links          map[scenario.Link]*link
	front          *front
	discovery      *fakes.Discovery
	updatesWritten map[relayMember]int         // how often discovery has written a member's entry to a relay
	pendingUpdates map[relayMember]fakes.Entry // last entry written to a relay while its link to discovery was cut
	measures
}

// measures are the measurements of a run, apart from the judge's findings and the service.
type measures struct {
	peerViews      *peerWatch
	setupTimes     *hdrhistogram.Histogram // microseconds
	runnerDelays   *hdrhistogram.Histogram // delays of the runner's own actions, microseconds
	listCalls      *scenario.Peak
	probes         *scenario.Peak
	memberLoad     map[string]*scenario.Peak // work of new connections by member ID, relative to its capacity
	unavailability unavailability
	answers        map[string]int    // number of attempts, by outcome
	usage          map[string]*usage // by relay name
	attempts       int               // total of all sessions
	maxAttempts    int               // highest number of one session
	openFlows      int
}

type relayMember struct{ relay, member string }

// link is a link that the plan breaks. All TCP connections between its ends pass through proxies;
// datagrams between relays pass through udp, which is nil for other links.
type link struct {
	forward, backward fakes.Impairment
	proxies           []*fakes.TCPProxy
	udp               *fakes.UDPProxy
}

// maxRecordedMicros is the highest value, in microseconds, that the histograms record.
const maxRecordedMicros = 600e6

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, 3) }

// newRun prepares a run without starting anything.
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
		updatesWritten: map[relayMember]int{}, pendingUpdates: map[relayMember]fakes.Entry{}}
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
	if err := os.RemoveAll(x.dir); err != nil { // files of an earlier run
		return nil, err
	}
	x.began, x.background = time.Now(), newBackground(ctx)
	return x, nil
}

// fileNameRune replaces a rune of a variant's name that is neither a letter nor a digit, so that the
// name can be used as a directory name.
func fileNameRune(c rune) rune {
	if unicode.IsLetter(c) || unicode.IsDigit(c) {
		return c
	}
	return '-'
}

// restartClock sets the start of the run to the current time.
func (r *run) restartClock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = time.Now()
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.began) }

// locked calls f with the lock held, and passes it the time since the start of the run.
func (r *run) locked(f func(at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
}

// sinceStart converts a member's start time to time since the start of the run. It returns 0 if the
// member has no start time, which means that it is past slow start.
func (r *run) sinceStart(startedMs int64) time.Duration {
	if startedMs == 0 {
		return 0
	}
	return max(time.UnixMilli(startedMs).Sub(r.began), 1)
}

// event prints a progress line with a time. It overwrites the unfinished line of reportProgress.
func (r *run) event(at time.Duration, format string, args ...any) {
	r.Progress("\r%7.1f s: %s%s\n", at.Seconds(), fmt.Sprintf(format, args...), strings.Repeat(" ", 40))
}

// readyTimeout is how long all relays together may take to become ready before a run.
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
				return fmt.Errorf("relay %s exited before all relays were ready: %s; see its log %s",
					n.name, how, filepath.Join(n.dir, "log"))
			}
		}
		if ready == len(r.relays) {
			for _, n := range r.relays {
				n.initialDescriptors = n.openDescriptors()
			}
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d relays were ready within 30 s; see the logs below %s", ready, len(r.relays), r.dir)
		}
	}
}

// execute runs the sessions and the timeline until the end of the plan.
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

// configured reports whether the relays' configuration contains a section.
func (r *run) configured(section string) bool {
	_, ok := r.config[section]
	return ok
}

// watchesPeers reports whether the runner polls the relays' views of each other.
func (r *run) watchesPeers() bool { return r.configured("peers") && r.File.Relays.PollPeersMs > 0 }

// measureRunnerDelay measures how late the runner's own timers fire.
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

// reportProgress prints the state of the run every second, and records the relays' descriptors.
func (r *run) reportProgress(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, n := range r.relays {
			descriptors := n.openDescriptors()
			r.locked(func(time.Duration) { r.usage[n.name].descriptors = max(r.usage[n.name].descriptors, descriptors) })
		}
		r.locked(func(at time.Duration) {
			demand, _ := r.service.PerSecond()
			if i := int(at/time.Second) - 1; i >= 0 && i < len(demand) {
				r.Progress("\r%7.1f s: %4.0f connections wanted, %4d open, %d relays admitted   ",
					at.Seconds(), demand[i], r.openFlows, r.front.admittedCount())
			}
		})
	}
	r.Progress("\n")
}

const (
	// releaseTimeout is how long a relay may take to close its descriptors after its clients have
	// left. Connections that health checks keep open end after the keepalive time in the settings,
	// and closed ones linger for a second.
	releaseTimeout = 12 * time.Second
	// descriptorAllowance is how many descriptors beyond the initial ones are no leak: up to two
	// concurrent calls to discovery, and those that the Go runtime opens.
	descriptorAllowance = 6
)

// checkLeaks checks, after all clients have left, that each relay has no more descriptors open than
// before they came, with an allowance, and has used no more memory than its limit.
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

// shutdown ends all processes and closes all fakes.
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

// sleep waits for d. It returns false if the context ends first.
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
