package scenariorunner

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

const (
	// frontRemovalDelay is how long after SIGTERM a front still sends clients: the protocol's page says 0.2 to 0.4 s.
	frontRemovalDelay = 300 * time.Millisecond
	// wakeUpExcuse is how long a relay that went on is excused: all that waited comes at once.
	wakeUpExcuse = time.Second
)

// addSteps does what the time line says.
func (r *run) runTimeline(ctx context.Context) {
	for _, s := range r.plan.Steps {
		if !sleep(ctx, s.At-r.now()) {
			return
		}
		who := s.Target
		if s.Peer != "" {
			who += " to " + s.Peer
		}
		r.Progress("\r%7.1f s: %s %s%s\n", s.At.Seconds(), s.Action, who, strings.Repeat(" ", 40))
		switch {
		case s.Peer != "":
			r.breakLink(s)
		case s.Target == "discovery":
			r.breakDiscovery(s)
		case s.Target == scenario.Leader:
			if s.Target = r.resolveLeader(s); s.Target != "" {
				r.breakRelay(s)
			}
		case s.Target[0] == 'n':
			r.breakRelay(s)
		default:
			r.breakMember(ctx, s)
		}
	}
}

func (r *run) breakLink(s scenario.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, at := r.links[s.Link()], r.now()
	rough := fakes.Impairment{Delay: scenario.Millis(s.Impairment.DelayMs), Jitter: scenario.Millis(s.Impairment.JitterMs), Rate: int(s.Impairment.RateKBps * 1000)}
	switch s.Action {
	case "cut":
		w.forward, w.backward = fakes.Impairment{Cut: true}, fakes.Impairment{Cut: true}
	case "cut_one_way":
		w.forward, w.backward = fakes.Impairment{Cut: true}, fakes.Impairment{}
	case "rough":
		w.forward, w.backward = rough, rough
	case "heal":
		w.forward, w.backward = fakes.Impairment{}, fakes.Impairment{}
		if s.Peer == "discovery" {
			r.deliverBehindCut(s.Target)
		}
	}
	if w.udp != nil {
		w.udp.SetCut(w.forward.Cut)
		if s.Action == "heal" {
			s.Impairment = scenario.Impairment{}
		}
		w.udp.SetImpairment(s.Impairment.Loss, s.Impairment.Duplication, w.forward.Delay, w.forward.Jitter)
		w.udp.SetRate(w.forward.Rate)
	}
	for _, p := range w.proxies { // drawBetween relays: the record's
		switch s.Action {
		case "reset":
			p.Reset()
		case "stall":
			p.Stall()
		default:
			go p.SetImpairment(w.forward, w.backward) // a cut takes a moment, and the time line goes on
		}
	}
	// A relay answers for what is behind it, not for the way to its clients, and not for the way to other relays.
	switch {
	case w.udp != nil:
	case s.Action == "reset" || s.Action == "stall":
		relay := s.Peer
		if s.Target != "front" {
			relay = s.Target // flows end with their member's side, as they should
		}
		r.judge.BeginExcuse(at, relay)
		r.judge.EndExcuse(at+wakeUpExcuse, relay)
	case s.Target != "front":
	case s.Action == "heal":
		r.judge.EndExcuse(at+wakeUpExcuse, s.Peer)
	default:
		r.judge.BeginExcuse(at, s.Peer)
	}
}

func (r *run) breakDiscovery(s scenario.Step) {
	switch s.Action {
	case "down", "up":
		r.discovery.SetDown(s.Action == "down")
	case "late", "on_time":
		late := s.AnswerDelay
		if s.Action == "on_time" {
			late = 0
		}
		r.discovery.SetAnswerDelay(late)
	case "old":
		r.discovery.Restart()
	}
}

// relayDown notes that a relay says nothing from now on.
func (r *run) relayDown(n *relay) {
	r.locked(func(at time.Duration) {
		r.judge.BeginExcuse(at, n.name)
		r.peerViews.relayDown(at, n.name)
	})
}

func (r *run) breakRelay(s scenario.Step) {
	i, _ := strconv.Atoi(s.Target[1:])
	n := r.relays[i]
	switch s.Action {
	case "kill":
		n.recordUsage()
		r.relayDown(n)
		n.signal(syscall.SIGKILL, true)
	case "stop":
		r.relayDown(n)
		n.signal(syscall.SIGSTOP, false)
	case "continue":
		n.signal(syscall.SIGCONT, false)
		if s.Fault >= 0 && r.File.Faults[s.Fault].Action == "pause" {
			return
		}
		r.locked(func(at time.Duration) {
			r.judge.EndExcuse(at+wakeUpExcuse, n.name)
			r.peerViews.relayUp(at, n.name)
		})
	case "call":
		go r.operatorCall(n, s)
	case "copy_state":
		if err := n.copyState(); err != nil {
			r.Progress("%s's state is not copied: %v\n", n.name, err)
		}
	case "configure":
		if err := n.patchConfig(s.Body); err != nil {
			r.Progress("%s keeps its configuration: %v\n", n.name, err)
			return
		}
		n.signal(syscall.SIGHUP, false)
	case "pause": // too short to excuse anything
		n.signal(syscall.SIGSTOP, false)
	case "crowd":
		r.crowd(n, s.IdleConnections)
	case "disperse":
		r.disperse(n)
	case "trouble", "calm":
		if s.Action == "calm" {
			s.Body = nil
		}
		if err := n.setSystemFaults(s.Body); err != nil {
			r.Progress("%s has no trouble: %v\n", n.name, err)
		}
	case "term":
		r.terminate(n, s.SignalSeries)
	case "start":
		go func() { // an end that takes its time comes first
			<-n.done
			if err := n.prepareState(s); err != nil {
				r.Progress("%s starts with its own files: %v\n", n.name, err)
			}
			n.restart()
		}()
	}
}

// series is what comes with a SIGTERM of a series, in its order, and how far apart.
var series = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP}

const seriesInterval = 50 * time.Millisecond

// terminate tells a relay to end, and kills it when the page allows that at the earliest. Nothing is excused for it: the
// judge holds it to an answer for all that it has taken, and to MOVE before each end.
func (r *run) terminate(n *relay, also bool) {
	n.recordUsage()
	n.signal(syscall.SIGTERM, true)
	kill := time.AfterFunc(r.killAfter(), func() { n.signal(syscall.SIGKILL, true) })
	go func() {
		if also {
			for _, s := range series {
				time.Sleep(seriesInterval)
				n.signal(s, true)
			}
		}
	}()
	go func() {
		time.Sleep(frontRemovalDelay)
		r.front.remove(n.name)
		<-n.done
		kill.Stop()
		r.locked(func(at time.Duration) { r.peerViews.relayDown(at, n.name) })
	}()
}

const (
	// maxCountedDeadline is the most that clients' deadlines count in when SIGKILL may come, and killMargin what is added.
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM SIGKILL comes at the earliest.
func (r *run) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.settings.Policy().Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// crowd has idle clients come to a relay that say nothing and stay.
func (r *run) crowd(n *relay, many int) {
	r.locked(func(at time.Duration) { r.judge.BeginIdleFlood(at, n.name) })
	go func() {
		for range many {
			c, err := net.DialTimeout("tcp", n.listenAddr, time.Second)
			if err != nil {
				return
			}
			n.idleConns.add(c)
		}
	}()
}

// disperse ends them.
func (r *run) disperse(n *relay) {
	n.idleConns.closeAll()
	r.locked(func(at time.Duration) { r.judge.EndIdleFlood(at+wakeUpExcuse, n.name) })
}

// idleConns are connections that say nothing. Once closed, no more is taken in until the next crowd.
type idleConns struct {
	mu  sync.Mutex
	all []net.Conn
}

func (i *idleConns) add(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = append(i.all, c)
}

func (i *idleConns) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.all {
		c.Close()
	}
	i.all = nil
}

// restart starts the next process of a relay that has ended, unless the play is over.
func (n *relay) restart() {
	n.locked(func(at time.Duration) {
		n.judge.EndExcuse(at, n.name)
		n.judge.RelayRestarted(n.name)
		n.peerViews.relayUp(at, n.name)
	})
	n.mu.Lock()
	closing := n.closing
	n.mu.Unlock()
	if closing {
		return
	}
	if err := n.start(); err != nil {
		n.locked(func(at time.Duration) { n.judge.RelayCrashed(at, n.name, err.Error()) })
	}
}

func (r *run) breakMember(ctx context.Context, s scenario.Step) {
	i, _ := strconv.Atoi(s.Target[1:])
	r.mu.Lock()
	m := r.memberByIndex[i]
	r.mu.Unlock()
	leave := func() {
		m.SetMode(fakes.ModeBusy)
		r.discovery.SetLifecycle(m.ID, "DRAINING")
		go func() {
			if sleep(ctx, scenario.Millis(r.File.Members.DrainMs)) {
				m.MoveClients()
				sleep(ctx, time.Second)
				m.Kill()
				r.discovery.SetLifecycle(m.ID, fakes.Deleted)
			}
		}()
	}
	switch s.Action {
	case "silent":
		m.SetMode(fakes.ModeUnresponsive)
	case "failing":
		m.SetMode(fakes.ModeErr)
	case "well":
		m.SetMode(fakes.ModeHealthy)
	case "die":
		m.Kill()
		r.discovery.SetLifecycle(m.ID, fakes.Deleted)
	case "return":
		r.startMember(m)
	case "drain":
		leave()
	case "replace":
		leave()
		next, err := r.newMember(i, m.generation+1)
		if err != nil {
			r.Progress("%s has no successor: %v\n", m.name, err)
			return
		}
		r.startMember(next)
	}
}

// startMember starts a member, cold.
func (r *run) startMember(m *member) {
	now := time.Now()
	m.Start(now)
	r.mu.Lock()
	m.entry.Started, m.entry.Lifecycle = now.UnixMilli(), fakes.Serving
	r.judge.MemberStarted(m.name, r.plan.Cores[m.index], r.sinceStart(m.entry.Started))
	entry := m.entry
	r.mu.Unlock()
	r.discovery.Put(entry)
}
