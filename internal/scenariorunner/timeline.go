package scenariorunner

import (
	"context"
	"strconv"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// wakeUpExcuse is how long a relay that was stopped or cut off is excused after that: everything that waited arrives at once.
const wakeUpExcuse = time.Second

// runTimeline applies the plan's steps at their times.
func (r *run) runTimeline(ctx context.Context) {
	for _, s := range r.plan.Steps {
		if !sleep(ctx, s.At-r.now()) {
			return
		}
		target := s.Target
		if s.Peer != "" {
			target += " to " + s.Peer
		}
		r.event(s.At, "%s %s", s.Action, target)
		switch s.Kind {
		case scenario.TargetLink:
			r.applyToLink(s)
		case scenario.TargetDiscovery:
			r.applyToDiscovery(s)
		case scenario.TargetMember:
			r.applyToMember(ctx, s)
		case scenario.TargetRelay:
			if s.Target == scenario.Leader {
				s.Target = r.resolveLeader(s)
			}
			if s.Target != "" {
				r.applyToRelay(r.relays[nameIndex(s.Target)], s)
			}
		}
	}
}

// nameIndex is the number in the name of a relay or member.
func nameIndex(name string) int {
	i, _ := strconv.Atoi(name[1:])
	return i
}

func (r *run) applyToLink(s scenario.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[s.Link()]
	switch s.Action {
	case scenario.ActionCut:
		l.forward, l.backward = fakes.Impairment{Cut: true}, fakes.Impairment{Cut: true}
	case scenario.ActionCutOneWay:
		l.forward, l.backward = fakes.Impairment{Cut: true}, fakes.Impairment{}
	case scenario.ActionImpair:
		l.forward = fakes.Impairment{Delay: scenario.Millis(s.Impairment.DelayMs), Jitter: scenario.Millis(s.Impairment.JitterMs),
			Rate: int(s.Impairment.RateKBps * 1000)}
		l.backward = l.forward
	case scenario.ActionHeal:
		l.forward, l.backward, s.Impairment = fakes.Impairment{}, fakes.Impairment{}, scenario.Impairment{}
		if s.Peer == "discovery" {
			r.deliverBehindCut(s.Target)
		}
	}
	if l.udp != nil {
		l.udp.SetCut(l.forward.Cut)
		l.udp.SetImpairment(s.Impairment.Loss, s.Impairment.Duplication, l.forward.Delay, l.forward.Jitter)
		l.udp.SetRate(l.forward.Rate)
	}
	for _, p := range l.proxies { // between relays: the fleet's record
		switch s.Action {
		case scenario.ActionReset:
			p.Reset()
		case scenario.ActionStall:
			p.Stall()
		default:
			there, back := l.forward, l.backward
			r.background.start(func(context.Context) { p.SetImpairment(there, back) }) // a cut takes a moment, and the timeline goes on
		}
	}
	r.excuseLink(s, l)
}

// excuseLink excuses what a step on a link may do to clients. A relay answers for the members and discovery behind it, but neither
// for the link to its clients nor for that to other relays.
func (r *run) excuseLink(s scenario.Step, l *link) {
	at := r.now()
	switch {
	case l.udp != nil:
	case s.Action == scenario.ActionReset || s.Action == scenario.ActionStall:
		relay := s.Peer
		if s.Target != "front" {
			relay = s.Target // flows end with their member's side, as they should
		}
		r.judge.BeginExcuse(at, relay)
		r.judge.EndExcuse(at+wakeUpExcuse, relay)
	case s.Target != "front":
	case s.Action == scenario.ActionHeal:
		r.judge.EndExcuse(at+wakeUpExcuse, s.Peer)
	default:
		r.judge.BeginExcuse(at, s.Peer)
	}
}

func (r *run) applyToDiscovery(s scenario.Step) {
	switch s.Action {
	case scenario.ActionDiscoveryDown:
		r.discovery.SetDown(true)
	case scenario.ActionDiscoveryUp:
		r.discovery.SetDown(false)
	case scenario.ActionDiscoverySlow:
		r.discovery.SetAnswerDelay(s.AnswerDelay)
	case scenario.ActionDiscoveryFast:
		r.discovery.SetAnswerDelay(0)
	case scenario.ActionDiscoveryRestart:
		r.discovery.Restart()
	}
}

func (r *run) applyToMember(ctx context.Context, s scenario.Step) {
	r.mu.Lock()
	m := r.memberByIndex[nameIndex(s.Target)]
	r.mu.Unlock()
	switch s.Action {
	case scenario.ActionSilence:
		m.SetMode(fakes.ModeUnresponsive)
	case scenario.ActionFail:
		m.SetMode(fakes.ModeErr)
	case scenario.ActionRecover:
		m.SetMode(fakes.ModeHealthy)
	case scenario.ActionDie:
		m.Kill()
		r.discovery.SetLifecycle(m.ID, fakes.Deleted)
	case scenario.ActionReturn:
		r.startMember(m)
	case scenario.ActionDrain:
		r.drainMember(ctx, m)
	case scenario.ActionReplace:
		r.drainMember(ctx, m)
		successor, err := r.newMember(m.index, m.generation+1)
		if err != nil {
			r.Progress("%s has no successor: %v\n", m.name, err)
			return
		}
		r.startMember(successor)
	}
}

// moveToExit is how long after it has moved its clients a draining member ends.
const exitDelay = time.Second

// drainMember makes a member drain, and end in its time. The context ends with the timeline.
func (r *run) drainMember(ctx context.Context, m *member) {
	m.SetMode(fakes.ModeBusy)
	r.discovery.SetLifecycle(m.ID, fakes.Draining)
	r.background.start(func(context.Context) {
		if sleep(ctx, scenario.Millis(r.File.Members.DrainMs)) {
			m.MoveClients()
			sleep(ctx, exitDelay)
			m.Kill()
			r.discovery.SetLifecycle(m.ID, fakes.Deleted)
		}
	})
}
