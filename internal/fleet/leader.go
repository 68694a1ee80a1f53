package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// relayStatus takes a word at the leader, and says what the drift module wants of that relay.
func (s *Service) handleReport(from string, text []byte) (answer []byte) {
	w, err := decodeStatusReport(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return nil
	}
	now := s.now()
	answer = s.controller.receive(now, from, w)
	if len(w.CanaryCounts) > 0 && s.judge != nil {
		if c, err := canary.DecodeCountReport(w.CanaryCounts); err == nil {
			s.judge.Observe(now, from, w.Zone, c)
		} else {
			s.malformedReports++
		}
	}
	return answer
}

// leadershipChanged is told when this relay begins or ends to lead. Who begins has heard nothing: what an earlier time left is no sight of now.
func (s *Service) leadershipChanged(leads bool, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller = newController(s.record)
	s.judge, s.leaderSince, s.term, s.lastView = nil, 0, term, rollout.View{}
	if leads {
		s.leaderSince = s.now()
	}
	s.Log.WithFields(logrus.Fields{"leads": leads, "term": term}).Info("fleet: leading")
}

// controlLoop asks what is next, and has it agreed. Nothing is planned until all relays that are known have been heard, or have had the time.
func (s *Service) controlLoop() {
	var reported map[string]string
	s.every(planInterval, func() {
		s.mu.Lock()
		now := s.now()
		led, look, seen := s.leaderSince, s.lastObserved, s.controller.fleet
		if led == 0 {
			s.mu.Unlock()
			return
		}
		v := seen.buildView(now, led, s.Budgets().FlowHoldMS, s.Name, look, slowStart{s.SlowStartShare, s.SlowStartDuration.Milliseconds()})
		s.watchDrift(now, &v)
		meant := s.controller.planIntent(now, &v)
		trials := s.evaluateCanary(now, &v)
		s.lastView = v
		unheard := slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool { return seen.relays[r.Name] == nil && !r.Exited })
		s.mu.Unlock()
		if now-led < silenceTimeout.Milliseconds() && unheard {
			return
		}
		reported = s.logReleases(reported)
		for _, c := range trials {
			if err := s.proposeCanary(context.Background(), c); err != nil {
				s.noteFailure("canary "+string(c.Op), err)
				return
			}
		}
		for _, c := range meant {
			if a, err := s.proposeIntent(context.Background(), c); err != nil || a.Error != "" {
				s.noteFailure("intent", cmp.Or(err, errors.New(a.Error)))
			}
		}
		var plan []rollout.Command
		s.record.read(func(r *rollout.State, h recordItems) { plan = r.Plan(max(now, h.At), v, s.Budgets()) })
		s.mu.Lock()
		plan = s.controller.withholdBlocked(plan)
		s.mu.Unlock()
		for _, c := range s.gateOnCanary(plan) {
			answer, err := s.propose(context.Background(), c)
			if err != nil || answer.Error != "" {
				if err == nil {
					err = errors.New(answer.Error)
				}
				s.noteFailure("plan "+c.Kind, err)
				return // the next look begins anew
			}
		}
	})
}

// watchDrift holds what relays run against what is agreed. Called with the lock held.
func (s *Service) watchDrift(now int64, v *rollout.View) {
	s.controller.voters = votersDriftItem(s.node.Status())
	for _, c := range s.controller.evaluateDrift(now, v) {
		s.Log.WithFields(logrus.Fields{"relay": c.Relay, "item": c.Item, "from": c.From.String(), "to": c.To.String(), "why": c.Reason}).Warn("fleet: drift")
	}
	if s.QuarantineDrifted { // else nobody is unfit, and who is shut is admitted
		s.controller.markUnfit(v)
	}
}
