// Package scenariorunner plays a rehearsal: it starts processes of the program with stand-ins for all around them, breaks what the
// file says, and carries what crossed the sockets to the judge.
package scenariorunner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
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

// Runner is a file with what it needs to be played.
type Runner struct {
	File     *scenario.File
	Dir      string // of the file
	Program  string // the relay
	WorkDir  string // where the relays' files and logs are
	Progress func(format string, args ...any)
}

// run is one play of it.
type run struct {
	*Runner
	plan          *scenario.Plan
	settings      *settings.Settings
	config        map[string]json.RawMessage // of a relay, before what is each one's own
	program       string
	dir           string
	usedAddrs     map[string]bool // addresses
	began         time.Time
	leaderByFault map[int]string // by fault of the time line: the relay that led then; the time line's own

	mu               sync.Mutex // guards all below, and the judge
	judge            *scenario.Judge
	service          *scenario.Service
	relays           []*relay
	members          map[string]*member // by name now
	memberByIndex    []*member          // who stands for s0 and on now
	links            map[scenario.Link]*link
	front            *front
	discovery        *fakes.Discovery
	peerViews        *peerWatch
	setupTimes       *hdrhistogram.Histogram // microseconds
	runnerDelays     *hdrhistogram.Histogram // of the rehearsal itself, microseconds
	listCalls        *scenario.Peak
	probes           *scenario.Peak
	memberLoad       map[string]*scenario.Peak // new connections of each member, as part of what it can take
	unavailability   unavailability
	answers          map[string]int
	usage            map[string]*usage // by relay
	attempts         int               // of all sessions
	maxAttempts      int               // of one
	openFlows        int
	closing          bool
	updatesWritten   map[[2]string]int         // by relay and member: how many times discovery has written to the one of the other
	updatesBehindCut map[[2]string]fakes.Entry // and the last of it that was written behind a cut
}

// usage is what a relay has used of others, and the most descriptors that it was seen to hold.
type usage struct {
	connections, listBytes, descriptors int

	rejections       int           // answers in a row that turned a client away, with no attempt in between
	firstRejection   time.Duration // the first of them
	longestRejecting time.Duration // that a row of minRejections or more has lasted
}

// answeredAt notes a final answer of the relay's, attempted that it has tried a member.
func (u *usage) recordAnswer(at time.Duration, refused bool) {
	if !refused {
		u.rejections = 0
		return
	}
	if u.rejections++; u.rejections == 1 {
		u.firstRejection = at
	}
	if u.rejections >= minRejections {
		u.longestRejecting = max(u.longestRejecting, at-u.firstRejection)
	}
}

func (u *usage) recordAttempt() { u.rejections = 0 }

// link is one link, which all connections of a pair pass that the file breaks.
type link struct {
	forward, backward fakes.Impairment
	proxies           []*fakes.TCPProxy
	udp               *fakes.UDPProxy
}

type member struct {
	*fakes.Member
	name, zone  string
	index       int
	addrByRelay map[string]string // by relay
	entry       fakes.Entry
	generation  int
}

func (r *run) now() time.Duration { return time.Since(r.began) }

// locked runs f under the lock with the time.
func (r *run) locked(f func(at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
}

// site is what the plan is drawn from.
func site(set *settings.Settings) scenario.Site {
	s := scenario.Site{}
	for _, c := range set.Classes {
		s.ClassWeights = append(s.ClassWeights, c.PriorityWeight)
	}
	for _, t := range set.Tenants {
		s.TenantShares = append(s.TenantShares, t.Share)
	}
	for _, z := range set.Zones {
		s.Zones = append(s.Zones, string(z))
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{""}
	}
	return s
}

// Settings are those of the configuration that the file names, with its changes.
func (r *Runner) Settings(v scenario.Variant) (map[string]json.RawMessage, *settings.Settings, error) {
	path := r.File.Config
	if !filepath.IsAbs(path) {
		path = filepath.Join(r.Dir, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: config: %v", scenario.ErrInvalid, err)
	}
	merged := json.RawMessage(text)
	for _, change := range []json.RawMessage{r.File.Patch, v.Patch} {
		if merged, err = scenario.MergePatch(merged, change); err != nil {
			return nil, nil, fmt.Errorf("%w: %s: %v", scenario.ErrInvalid, path, err)
		}
	}
	config := map[string]json.RawMessage{}
	if err := json.Unmarshal(merged, &config); err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %v", scenario.ErrInvalid, path, err)
	}
	set, err := settings.Decode(config["settings"])
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %v", scenario.ErrInvalid, path, err)
	}
	if len(set.Classes) == 0 {
		return nil, nil, fmt.Errorf("%w: %s: settings name no classes", scenario.ErrInvalid, path)
	}
	return config, set, r.File.CheckZones(site(set).Zones)
}

// Total plays every variant on every draw as often as the file says, in turn.
func (r *Runner) RunAll(ctx context.Context) (all []*Result, err error) {
	fakes.Host = fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(128), rand.IntN(256)) // other rehearsals on this machine have others
	for k := range r.File.Repetitions * r.File.Seeds {
		seed := r.File.Seed + uint64(k%r.File.Seeds)
		for _, v := range r.File.Variants {
			if ctx.Err() != nil {
				return all, nil
			}
			r.Progress("%s, play %d of %d, seed %d: %d relays, %d members\n", v.Name, k+1, r.File.Repetitions*r.File.Seeds, seed,
				r.File.Relays.Count, r.File.Members.Count)
			x, err := r.RunVariant(ctx, v, k+1, seed)
			if err != nil {
				return all, err
			}
			all = append(all, x)
		}
	}
	return all, nil
}

// Repetition plays one variant once. A context that ends cuts it short; what was measured until then is returned.
func (r *Runner) RunVariant(ctx context.Context, v scenario.Variant, repetition int, seed uint64) (*Result, error) {
	config, set, err := r.Settings(v)
	if err != nil {
		return nil, err
	}
	own := *r
	own.File = r.File.ForVariant(v)
	x := &run{Runner: &own, settings: set, config: config, program: r.Program, plan: scenario.Draw(own.File, site(set), seed),
		dir:       filepath.Join(r.WorkDir, fmt.Sprintf("%s-%d", strings.Map(fileNameRune, v.Name), repetition)),
		usedAddrs: map[string]bool{}, leaderByFault: map[int]string{}, members: map[string]*member{}, links: map[scenario.Link]*link{}, memberLoad: map[string]*scenario.Peak{}, answers: map[string]int{}, usage: map[string]*usage{}, updatesWritten: map[[2]string]int{}, updatesBehindCut: map[[2]string]fakes.Entry{},
		setupTimes: hdrhistogram.New(1, 600e6, 3), runnerDelays: hdrhistogram.New(1, 600e6, 3),
		listCalls: &scenario.Peak{Window: 100 * time.Millisecond}, probes: &scenario.Peak{Window: time.Second}}
	if v.Program != "" {
		if x.program = v.Program; !filepath.IsAbs(x.program) {
			x.program = filepath.Join(r.Dir, x.program)
		}
	}
	x.peerViews = &peerWatch{run: x, downSince: map[string]time.Duration{}, upSince: map[string]time.Duration{}, lastState: map[[2]string]string{}, noticedBy: map[[2]string]bool{}}
	x.service = scenario.NewService(x.plan.MeasureFrom, x.plan.End)
	g := set.Guarantees
	x.judge = scenario.NewJudge(scenario.Rules{MaxAttempts: set.Limits.MaxAttempts, AnswerSlack: settings.Duration(g.AnswerSlack), DrainGrace: settings.Duration(g.DrainGrace),
		SlowStart: slowStart(g.SlowStartMinCapacity, g.SlowStartDuration), OverloadFactor: g.OverloadFactor, OverloadWindow: settings.Duration(g.OverloadWindow)})
	if err := os.RemoveAll(x.dir); err != nil { // of an earlier rehearsal
		return nil, err
	}
	x.began = time.Now()
	defer x.shutdown()
	if err := x.setUp(); err != nil {
		return nil, err
	}
	if err := x.waitReady(ctx); err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.began = time.Now() // the time line begins when all are ready
	x.mu.Unlock()
	x.execute(ctx)
	if x.File.CheckLeaks && ctx.Err() == nil {
		x.checkLeaks(ctx)
	}
	out := x.result(v, repetition)
	if ctx.Err() != nil {
		out.Invalid = "it was cut short"
	}
	return out, nil
}

// setUp puts the stand-ins up and starts the relays.
func (r *run) setUp() error {
	broken := r.plan.BrokenLinks()
	for pair := range broken {
		w := &link{}
		if pair.IsRelayToRelay() {
			udp, err := fakes.NewUDPProxy(r.plan.Seed + uint64(len(r.links)))
			if err != nil {
				return err
			}
			w.udp = udp
		}
		r.links[pair] = w
	}
	zones := site(r.settings)
	for i := range r.File.Relays.Count {
		n := &relay{run: r, name: fmt.Sprintf("n%d", i), index: i, zone: i % len(zones.Zones)}
		n.dir = filepath.Join(r.dir, n.name)
		for _, at := range []*string{&n.listenAddr, &n.operatorAddr, &n.gossipAddr, &n.consensusAddr, &n.fleetAddr} {
			addr, err := r.freeAddr()
			if err != nil {
				return err
			}
			*at = addr
		}
		r.relays, r.usage[n.name] = append(r.relays, n), &usage{}
	}
	var list []fakes.Entry
	for i := range r.File.Members.Count {
		m, err := r.newMember(i, 0)
		if err != nil {
			return err
		}
		list = append(list, m.entry)
	}
	r.discovery = fakes.NewDiscovery(list...)
	r.discovery.SetPropagationDelay(scenario.Millis(r.File.Discovery.PropagationDelayMs))
	r.discovery.OnCall = func(string) { r.locked(func(at time.Duration) { r.listCalls.Add(at, 1) }) }
	r.discovery.OnDelivered = r.memberUpdates
	r.discovery.OnWritten = func(relay string, bytes int) { r.locked(func(time.Duration) { r.usage[relay].listBytes += bytes }) }
	r.front = &front{run: r, addrs: map[string]string{}, lastPong: map[string]time.Time{}, admitted: map[string]bool{}}
	if _, on := r.config["fleet"]; on {
		for _, n := range r.relays {
			n.voterAddrs = map[string]string{}
			for _, o := range r.relays[:min(r.File.Relays.Voters, len(r.relays))] {
				at, err := r.route(n.name, o.name, o.consensusAddr, nil)
				if err != nil {
					return err
				}
				n.voterAddrs[o.name] = at
			}
		}
	}
	for _, n := range r.relays {
		at, err := r.discovery.Open(n.name, func(e fakes.Entry) string { return r.memberAddr(n.name, e) })
		if err != nil {
			return err
		}
		if n.discoveryAddr, err = r.route(n.name, "discovery", at, nil); err != nil {
			return err
		}
		if r.front.addrs[n.name], err = r.route("front", n.name, n.listenAddr, nil); err != nil {
			return err
		}
	}
	for _, n := range r.relays {
		if err := n.writeConfig(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// route is where from reaches to: by a forwarder if the file breaks that pair.
func (r *run) route(from, to, addr string, gone func(string)) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.links[scenario.Link{From: from, To: to}]
	if w == nil {
		return addr, nil
	}
	p, err := fakes.NewTCPProxy(addr)
	if err != nil {
		return "", err
	}
	p.OnCallerClosed = gone
	p.SetImpairment(w.forward, w.backward)
	w.proxies = append(w.proxies, p)
	return p.Addr(), nil
}

// memberAddr is a relay's own address of a member.
func (r *run) memberAddr(relay string, e fakes.Entry) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[e.ID]; m != nil {
		return m.addrByRelay[relay]
	}
	return e.Addr
}

// newMember opens the member that stands for s0 and on; lives counts those before it.
func (r *run) newMember(i, lives int) (*member, error) {
	f, g := r.File.Members, r.settings.Guarantees
	zones := site(r.settings)
	m := &member{Member: fakes.NewMember(fmt.Sprintf("s%d", i)), index: i, zone: zones.Zone(i), addrByRelay: map[string]string{}, generation: lives}
	if lives > 0 {
		m.Defect = fakes.Defect{FailureRate: f.Defect.FailureRate, Delay: scenario.Millis(f.Defect.DelayMs)}
		for k, n := range r.relays {
			if f.Defect.Zone != "" && zones.Zone(k) == f.Defect.Zone {
				m.Defect.Via = append(m.Defect.Via, n.name)
			}
		}
		m.ID = fmt.Sprintf("s%d.%d", i, lives)
	}
	m.name = m.ID
	m.Capacity = fakes.Capacity{Cores: r.plan.Cores[i], MaxConnections: f.MaxConnections, ConnectionWork: scenario.Millis(f.ConnectionWorkMs), GroupWork: scenario.Millis(f.GroupWorkMs),
		SlowStart: slowStart(g.SlowStartMinCapacity, g.SlowStartDuration), ReportInterval: scenario.Millis(f.ReportAgeMs), ReportError: f.ReportError, ReportFields: r.settings.Report.Names}
	open := map[string]string{} // attempts by the sending address: only one end of each is told
	var mu sync.Mutex
	m.OnAttempt = func(a fakes.Attempt) {
		mu.Lock()
		open[a.From] = a.ID
		mu.Unlock()
		r.attemptStarted(m, a)
	}
	over := func(a fakes.Attempt, itself bool) {
		mu.Lock()
		was := open[a.From] == a.ID
		delete(open, a.From)
		mu.Unlock()
		if was {
			r.locked(func(at time.Duration) { r.judge.AttemptEnded(at, a.ID, m.name, a.Load, itself, a.Rejected) })
		}
	}
	m.OnAccept = func(a fakes.Attempt, up string) { r.locked(func(time.Duration) { r.judge.AttemptAccepted(a.ID, up) }) }
	m.OnEnd = over
	m.OnConnection = func(via string) { r.locked(func(time.Duration) { r.usage[via].connections++ }) }
	m.OnProbe = func() { r.locked(func(at time.Duration) { r.probes.Add(at, 1) }) }
	for _, n := range r.relays {
		addr, err := m.Open(n.name)
		if err != nil {
			return nil, err
		}
		// Behind a cut the member does not learn that the relay has given up: the forwarder does.
		gone := func(from string) {
			mu.Lock()
			id, ok := open[from]
			mu.Unlock()
			if ok {
				over(fakes.Attempt{ID: id, From: from}, false)
			}
		}
		if m.addrByRelay[n.name], err = r.route(n.name, fmt.Sprintf("s%d", i), addr, gone); err != nil {
			return nil, err
		}
	}
	kind := "m1"
	if len(r.settings.HostTypes) > 0 {
		kind = r.settings.HostTypes[i%len(r.settings.HostTypes)]
	}
	m.entry = fakes.Entry{ID: m.ID, Addr: m.Addr(), Zone: m.zone, Kind: kind, Lifecycle: fakes.Serving, Weight: 1}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[m.ID] = m
	if i < len(r.memberByIndex) {
		r.memberByIndex[i] = m
	} else {
		r.memberByIndex = append(r.memberByIndex, m)
	}
	r.memberLoad[m.ID] = &scenario.Peak{Window: time.Second}
	r.judge.MemberStarted(m.name, r.plan.Cores[i], 0)
	return m, nil
}

// lastAttempt is an attempt at a member.
func (r *run) attemptStarted(m *member, a fakes.Attempt) {
	falls := false
	r.locked(func(at time.Duration) {
		falls = r.judge.AttemptStarted(at, a.ID, a.Via, m.name, a.Work, a.Load)
		r.usage[a.Via].recordAttempt()
		if work := a.Work.Seconds(); work > 0 {
			age := time.Duration(1 << 62)
			if m.entry.Started > 0 {
				age = time.Since(time.UnixMilli(m.entry.Started))
			}
			r.memberLoad[m.ID].Add(at, work/(m.Capacity.Cores*m.Capacity.SlowStart.Share(age)))
		}
	})
	if falls {
		r.Progress("%s falls over: it was sent more than it can bear so soon after its start", m.name)
		m.Kill()
	}
}

// updateDeadline is how long after discovery could be reached again what it has to tell counts as told, arrived or not.
const updateDeadline = 6 * time.Second

// memberUpdates is what discovery has written to a relay. Behind a cut it was written to the forwarder alone, see deliverBehindCut.
func (r *run) memberUpdates(relay string, entries []fakes.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		key := [2]string{relay, e.ID}
		r.updatesWritten[key]++
		if r.isCutOff(relay) {
			r.updatesBehindCut[key] = e
			continue
		}
		delete(r.updatesBehindCut, key)
		r.judgeUpdate(relay, e)
	}
}

// deliverBehindCut is called as the way between a relay and discovery is whole again. A member that serves may be used from then on; any
// other change counts as told once the way has been whole for so long as the page gives, unless something newer was written.
func (r *run) deliverBehindCut(relay string) {
	for key, e := range r.updatesBehindCut {
		if key[0] != relay {
			continue
		}
		delete(r.updatesBehindCut, key)
		if e.Lifecycle == fakes.Serving {
			r.judgeUpdate(relay, e)
			continue
		}
		written := r.updatesWritten[key]
		time.AfterFunc(updateDeadline, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.updatesWritten[key] == written {
				r.judgeUpdate(relay, e)
			}
		})
	}
}

// isCutOff says that nothing passes between discovery and a relay.
func (r *run) isCutOff(relay string) bool {
	w := r.links[scenario.Link{From: relay, To: "discovery"}]
	return w != nil && (w.forward.Cut || w.backward.Cut) && !r.closing
}

func (r *run) judgeUpdate(relay string, e fakes.Entry) {
	r.judge.MemberUpdateSent(r.now(), relay, e.ID, e.Lifecycle, r.sinceStart(e.Started))
}

// sinceStart is a start in the rehearsal's time; 0: long ago.
func (r *run) sinceStart(started int64) time.Duration {
	if started == 0 {
		return 0
	}
	return max(time.UnixMilli(started).Sub(r.began), 1)
}

// starts waits until the front has let every relay in.
func (r *run) waitReady(ctx context.Context) error {
	go r.front.pingRelays(ctx)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		in := 0
		for _, n := range r.relays {
			if r.front.isAdmitted(n.name) {
				in++
			}
			if how := n.exitReason(); how != "" {
				return fmt.Errorf("%s ended as it started: %s; its log is %s", n.name, how, filepath.Join(n.dir, "log"))
			}
		}
		if in == len(r.relays) {
			for _, n := range r.relays {
				n.initialDescriptors = n.openDescriptors()
			}
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d relays were ready after 30 s; the logs are below %s", in, len(r.relays), r.dir)
		}
	}
}

// execute runs clients and the time line to the end.
func (r *run) execute(ctx context.Context) {
	ctx, stop := context.WithDeadline(ctx, r.began.Add(r.plan.End))
	defer stop()
	var all sync.WaitGroup
	all.Add(3)
	go func() { defer all.Done(); r.runTimeline(ctx) }()
	go func() { defer all.Done(); r.reportProgress(ctx) }()
	if _, on := r.config["fleet"]; on {
		all.Add(2)
		go func() { defer all.Done(); r.replaceEmptyMembers(ctx) }()
		go func() { defer all.Done(); r.watchDrift(ctx) }()
	}
	all.Add(1)
	go func() { defer all.Done(); r.watchUnavailability(ctx) }()
	if _, on := r.config["peers"]; on && r.File.Relays.PollPeersMs > 0 {
		all.Add(1)
		go func() { defer all.Done(); r.peerViews.poll(ctx) }()
	}
	go func() { // what keeps the rehearsal itself from being on time
		defer all.Done()
		for ctx.Err() == nil {
			at := time.Now()
			time.Sleep(5 * time.Millisecond)
			late := time.Since(at) - 5*time.Millisecond
			r.locked(func(time.Duration) { r.runnerDelays.RecordValue(max(late.Microseconds(), 1)) })
		}
	}()
	for _, s := range r.plan.Sessions {
		if !sleep(ctx, s.Arrival-r.now()) {
			break
		}
		late := r.now() - s.Arrival
		r.locked(func(time.Duration) { r.runnerDelays.RecordValue(max(late.Microseconds(), 1)) })
		all.Add(1)
		go func() { defer all.Done(); r.session(ctx, s) }()
	}
	<-ctx.Done()
	all.Wait()
	r.locked(func(at time.Duration) {
		r.closing = true
		r.service.Truncate(at)
	})
}

const (
	// releaseTimeout is how long relays have to give back what their clients used: connections that probes keep end after the
	// settings' keepalive, and ended ones linger for a second.
	releaseTimeout = 12 * time.Second
	// descriptorAllowance are the descriptors that the judge allows beyond those held at first: a call to discovery and one beside it,
	// which may be under way at any time, and what the runtime opens.
	descriptorAllowance = 6
)

// checkLeaks holds what relays still hold, once all clients have gone, against what they held before any came.
func (r *run) checkLeaks(ctx context.Context) {
	set := struct {
		Memory float64 `json:"memory_mb"`
	}{}
	json.Unmarshal(r.config["limits"], &set)
	for _, n := range r.relays {
		if n.exitReason() != "" {
			continue
		}
		for end := time.Now().Add(releaseTimeout); n.openDescriptors() > n.initialDescriptors+descriptorAllowance && time.Now().Before(end); {
			sleep(ctx, 20*time.Millisecond)
		}
		held := n.openDescriptors()
		_, memory, _ := n.readUsage()
		r.locked(func(at time.Duration) {
			r.judge.CheckResources(at, n.name, held, n.initialDescriptors+descriptorAllowance, memory, set.Memory)
		})
	}
}

// reportProgress says each second how it stands.
func (r *run) reportProgress(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, n := range r.relays {
			held := n.openDescriptors()
			r.locked(func(time.Duration) { r.usage[n.name].descriptors = max(r.usage[n.name].descriptors, held) })
		}
		r.locked(func(at time.Duration) {
			asked, _ := r.service.PerSecond()
			if i := int(at/time.Second) - 1; i >= 0 && i < len(asked) {
				r.Progress("\r%7.1f s: %4.0f connections asked for, %4d open, %d relays in front   ", at.Seconds(), asked[i], r.openFlows, r.front.admittedCount())
			}
		})
	}
	r.Progress("\n")
}

// shutdown ends all processes and stand-ins.
func (r *run) shutdown() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	for _, n := range r.relays {
		n.stopGracefully()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	for _, m := range r.members {
		m.Kill()
	}
	for _, w := range r.links {
		for _, p := range w.proxies {
			p.Close()
		}
		if w.udp != nil {
			w.udp.Close()
		}
	}
}

// fileNameRune keeps of a name what a directory's may hold.
func fileNameRune(c rune) rune {
	if unicode.IsLetter(c) || unicode.IsDigit(c) {
		return c
	}
	return '-'
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

// The ports that relays are given: below those that the system hands out, or an outgoing connection may hold one of a relay that is down.
const firstRelayPort, lastRelayPort = 12000, 32000

// freeAddr is an address of the loopback that nobody listens at now, by TCP and UDP, and that it has not given before.
func (r *run) freeAddr() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("%s:%d", fakes.Host, firstRelayPort+rand.IntN(lastRelayPort-firstRelayPort))
		if r.usedAddrs[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", addr)
		l.Close()
		if err == nil {
			u.Close()
			r.usedAddrs[addr] = true
			return addr, nil
		}
	}
	return "", fmt.Errorf("no address is free")
}

func drawBetween(rng *rand.Rand, b [2]float64) time.Duration {
	return scenario.Millis(b[0] + (b[1]-b[0])*rng.Float64())
}

// slowStart is the ramp of members' capacity that the settings describe.
func slowStart(from, ms float64) scenario.SlowStart {
	return scenario.SlowStart{From: from, For: settings.Duration(ms)}
}
