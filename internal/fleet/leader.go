package fleet

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// handleReport processes a relay's status report at the leader. It returns the encoded reply of drift
// detection to that relay, nil if there is none.
func (s *Service) handleReport(from string, text []byte) (reply []byte) {
	report, err := decodeStatusReport(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return nil
	}
	now := s.now()
	reply = s.controller.receive(now, from, report)
	if len(report.CanaryCounts) > 0 && s.judge != nil {
		if counts, err := canary.DecodeCountReport(report.CanaryCounts); err == nil {
			s.judge.Observe(now, from, report.Zone, counts)
		} else {
			s.malformedReports++
		}
	}
	return reply
}

// leadershipChanged is called when this relay becomes the leader or ceases to be it. A new leader
// starts with an empty controller, as reports from an earlier term do not show the present state.
func (s *Service) leadershipChanged(leads bool, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller = newController(s.record)
	s.judge, s.leaderSince, s.lastView = nil, 0, rollout.View{}
	if leads {
		s.leaderSince = s.now()
	}
	s.Log.WithFields(logrus.Fields{"leads": leads, "term": term}).Info("fleet: leadership changed")
}

// controlStep is the result of one round of the control loop: the view and the commands to propose.
type controlStep struct {
	now      int64
	view     rollout.View
	canaries []canary.Command
	intents  []intentCommand
}

// controlLoop evaluates the fleet and proposes the next commands, at each planInterval while this
// relay is the leader.
func (s *Service) controlLoop() {
	var loggedStates map[string]string
	s.every(planInterval, func() {
		step, ready := s.evaluate()
		if !ready {
			return
		}
		loggedStates = s.logReleases(loggedStates)
		s.proposeStep(step)
	})
}

// evaluate updates the controller, the canary's judge and the view, and plans the next commands. It
// is not ready if this relay is not the leader, or if a known relay has not reported yet and the
// silence timeout since the start of the leadership has not passed.
func (s *Service) evaluate() (step controlStep, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.leaderSince == 0 {
		return controlStep{}, false
	}
	reported := s.controller.fleet
	view := reported.buildView(now, s.leaderSince, s.Budgets().FlowHoldMS, s.Name, s.lastObserved, slowStart{s.SlowStartShare, s.SlowStartDuration.Milliseconds()})
	s.evaluateDrift(now, &view)
	intents := s.controller.planIntent(now, &view)
	canaries := s.evaluateCanary(now, &view)
	s.lastView = view
	reportsMissing := slices.ContainsFunc(view.Relays, func(r rollout.Relay) bool { return reported.relays[r.Name] == nil && !r.Exited })
	if reportsMissing && now-s.leaderSince < silenceTimeout.Milliseconds() {
		return controlStep{}, false
	}
	return controlStep{now: now, view: view, canaries: canaries, intents: intents}, true
}

// evaluateDrift compares what relays run with the record. The caller holds s.mu.
func (s *Service) evaluateDrift(now int64, view *rollout.View) {
	s.controller.voters = votersDriftItem(s.node.Status())
	for _, c := range s.controller.evaluateDrift(now, view) {
		s.Log.WithFields(logrus.Fields{"relay": c.Relay, "item": c.Item, "from": c.From.String(), "to": c.To.String(), "why": c.Reason}).Warn("fleet: drift state changed")
	}
	if s.QuarantineDrifted { // otherwise no relay is unfit, and those in quarantine are readmitted
		s.controller.markUnfit(view)
	}
}

// proposeStep proposes the commands of a step in order. It stops at the first command that fails, as
// the next round plans again; intent commands do not depend on any other command.
func (s *Service) proposeStep(step controlStep) {
	for _, c := range step.canaries {
		if err := s.proposeCanary(context.Background(), c); err != nil {
			s.countFailure(opCanary+string(c.Op), err)
			return
		}
	}
	for _, c := range step.intents {
		if result, err := s.proposeIntent(context.Background(), c); err != nil || result.Error != "" {
			s.countFailure(opIntent, cmp.Or(err, rejection(result)))
		}
	}
	var plan []rollout.Command
	s.record.read(func(r *rollout.State, items recordItems) {
		plan = r.Plan(max(step.now, items.At), step.view, s.Budgets())
	})
	s.mu.Lock()
	plan = s.controller.dropBlockedGrants(plan)
	s.mu.Unlock()
	for _, c := range s.gateOnCanary(plan) {
		result, err := s.propose(context.Background(), c)
		if err = cmp.Or(err, rejection(result)); err != nil {
			s.countFailure(opPlan+string(c.Kind), err)
			return
		}
	}
}
