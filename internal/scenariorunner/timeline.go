package scenariorunner

import (
	"context"
	"strconv"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// wakeUpExcuse is how much longer a relay is excused after it was stopped or cut off, because
// everything that was queued meanwhile arrives at once.
const wakeUpExcuse = time.Second

// runTimeline applies the steps of the plan at their times.
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

// nameIndex returns the number in the name of a relay or member.
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
			r.deliverPendingUpdates(s.Target)
		}
	}
	if l.udp != nil {
		l.udp.SetCut(l.forward.Cut)
		l.udp.SetImpairment(s.Impairment.Loss, s.Impairment.Duplication, l.forward.Delay, l.forward.Jitter)
		l.udp.SetRate(l.forward.Rate)
	}
	for _, p := range l.proxies { // on a link between relays, the proxies carry the fleet's consensus
		switch s.Action {
		case scenario.ActionReset:
			p.Reset()
		case scenario.ActionStall:
			p.Stall()
		default:
			there, back := l.forward, l.backward
			// In the background, because SetImpairment blocks while it fills the accept queue for a cut.
			r.background.start(func(context.Context) { p.SetImpairment(there, back) })
		}
	}
	r.excuseLink(s, l)
}

// excuseLink begins or ends the excuse that a step on a link gives to a relay. Only faults between
// the front and a relay, and resets and stalls, excuse a relay: it has to cope with other faults of
// its links to members and discovery, and with all faults of its links to other relays.
func (r *run) excuseLink(s scenario.Step, l *link) {
	at := r.now()
	switch {
	case l.udp != nil:
	case s.Action == scenario.ActionReset || s.Action == scenario.ActionStall:
		relay := s.Peer
		if s.Target != "front" {
			relay = s.Target // its flows end when the connection to their member ends, as they should
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
			r.Progress("cannot start a successor of member %s: %v\n", m.name, err)
			return
		}
		r.startMember(successor)
	}
}

// exitDelay is the time from sending MOVE to a draining member's clients until the member exits.
const exitDelay = time.Second

// drainMember makes a member drain, and kills it after the drain time and exitDelay. If the context,
// which is that of the timeline, ends during the drain time, the member is not killed.
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
