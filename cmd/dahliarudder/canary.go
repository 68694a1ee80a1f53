package main

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/core"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/gossip"
)

const (
	// staleRecordAfter is how long the record may be unreachable before a change of it no longer raises a weight: four missed reports.
	staleRecordAfter = 4 * time.Second
	// maxCountsBytes bounds the canary counts in one report to the leader.
	maxCountsBytes = 600
	// earlyEndWindow is how long after its start the end of a flow counts as early, see canary.Tally.
	earlyEndWindow = time.Minute
	// maxTrackedFlows bounds the flows that are tracked at once; those beyond it do not count.
	maxTrackedFlows = 4096
)

// canaryTrial is this relay's part in a canary: the weights that it applies, and what it counts. The loop owns it.
type canaryTrial struct {
	r              *relay
	weights        *canary.WeightResolver
	appliedVersion uint64
	applied        []canary.Weight // by the decision module
	counter        *canary.Collector
	salt           uint64
	flows          map[*core.Request]trackedFlow // established and tracked
}

// trackedFlow is an established flow whose end will be counted.
type trackedFlow struct {
	openedAt     time.Duration
	stratum      canary.Stratum
	inCanary     bool
	messageTimed bool // a message's latency has been counted
}

func newCanaryTrial(r *relay) *canaryTrial {
	return &canaryTrial{r: r, weights: canary.NewWeightResolver(staleRecordAfter.Milliseconds()), flows: map[*core.Request]trackedFlow{}}
}

func (t *canaryTrial) now() int64 { return t.r.loop.Now().Milliseconds() }

// applyOrders takes over the weights of the fleet record.
func (t *canaryTrial) applyOrders(o fleet.DesiredState) {
	t.weights.ApplyRecord(o.AppliedIndex, o.CanaryWeights)
	if o.MajorityConfirmed {
		t.weights.ConfirmRecord(t.now(), o.AppliedIndex)
	}
	t.applyWeights()
	t.appliedVersion = o.CanaryVersion
}

// onNotices handles notices that another relay gossips.
func (t *canaryTrial) onNotices(note []byte) {
	var list []canary.Notice
	if t == nil || json.Unmarshal(note, &list) != nil || len(list) > canary.MaxNotices {
		return
	}
	changed := false
	for _, n := range list {
		changed = t.weights.HandleNotice(n) || changed
	}
	if changed {
		t.applyWeights()
	}
}

// pauseCanary sets the weight of a canary to zero here and gossips that to the other relays, with or without a majority.
func (r *relay) pauseCanary(release string) {
	if _, known := r.trial.weights.Pause(release); known {
		r.trial.applyWeights()
	} else {
		r.log.WithField("release", release).Warn("fleet: a pause of a canary that is unknown here: it is replicated by the record alone")
	}
}

// applyWeights sets the effective weights in the decision module, and gossips the pauses known here.
func (t *canaryTrial) applyWeights() {
	weights := t.weights.EffectiveWeights(t.now())
	t.r.peers.SetUserData(t.weights.EncodeNotices(gossip.MaxUserData))
	if reflect.DeepEqual(weights, t.applied) {
		return
	}
	t.applied = weights
	t.r.log.WithFields(logrus.Fields{"weights": perMille(weights)}).Info("fleet: canary weights")
	if len(weights) == 0 {
		t.r.core.SetCanaryGroup(nil, nil)
		t.r.core.OnMemberEvent, t.counter, t.salt = nil, nil, 0
		clear(t.flows)
		return
	}
	if w := weights[0]; w.Salt != t.salt {
		t.salt, t.counter = w.Salt, canary.NewCollector(w.Salt, t.r.peers.Incarnation())
		clear(t.flows)
		t.r.core.OnMemberEvent = t.observe
	}
	t.r.core.SetCanaryGroup(t.inCanary, func(group uint64) bool {
		return slices.ContainsFunc(t.applied, func(w canary.Weight) bool { return canary.RoutedToCanary(w.Salt, group, w.PerMille) })
	})
}

// perMille is the weights by release, for the log.
func perMille(all []canary.Weight) map[string]int {
	out := map[string]int{}
	for _, w := range all {
		out[w.Release] = w.PerMille
	}
	return out
}

// inCanary reports whether a member belongs to a canary: it is named, or it has started since the canary began.
func (t *canaryTrial) inCanary(m *core.Member) bool {
	return slices.ContainsFunc(t.applied, func(w canary.Weight) bool {
		return slices.Contains(w.Target.Members, m.Name) ||
			w.Target.Since > 0 && m.Started != 0 && t.r.names.StartTimes.UnixMilli(m.Name, m.Started) >= w.Target.Since
	})
}

// observe counts an event at a member in its stratum: class, zone, and whether the member is warming up.
func (t *canaryTrial) observe(h core.MemberEvent) {
	f, tracked := t.flows[h.Request]
	if !tracked {
		age := t.r.loop.Now() - h.Member.Started
		warmingUp := h.Member.Started != 0 && age < t.r.core.PolicySettings().SlowStartDuration
		f = trackedFlow{openedAt: t.r.loop.Now(), inCanary: t.inCanary(h.Member),
			stratum: canary.Stratum{Class: uint8(h.Request.Class), Zone: uint8(h.Member.Zone), WarmingUp: warmingUp}}
	}
	tally := t.counter.Tally(f.stratum, f.inCanary)
	ms := float64(h.Latency) / float64(time.Millisecond)
	switch h.Kind {
	case core.FlowEstablished:
		tally.Attempts++
		tally.SetupTime.Add(ms)
		if len(t.flows) < maxTrackedFlows {
			t.flows[h.Request] = f
		}
	case core.AttemptError:
		tally.Attempts, tally.Failed = tally.Attempts+1, tally.Failed+1
	case core.ConnectionFailed:
		tally.Attempts, tally.Reset = tally.Attempts+1, tally.Reset+1
	case core.AttemptTimedOut:
		tally.Attempts, tally.TimedOut = tally.Attempts+1, tally.TimedOut+1
	case core.MessageAnswered:
		if tracked && !f.messageTimed {
			f.messageTimed = true
			t.flows[h.Request] = f
			tally.MessageTime.Add(ms)
		}
	case core.FlowCompleted, core.FlowEndedByMember, core.FlowEndedLocally:
		if !tracked {
			return
		}
		openFor := t.r.loop.Now() - f.openedAt
		tally.OpenSeconds += uint64(min(openFor, earlyEndWindow) / time.Second)
		if h.Kind == core.FlowEndedByMember && openFor < earlyEndWindow {
			tally.EarlyDisconnects++
		}
		delete(t.flows, h.Request)
	}
}

// counts is the canary counts of the next report to the leader, nil without a canary.
func (t *canaryTrial) counts() []byte {
	if t.counter == nil {
		return nil
	}
	return t.counter.AppendReport(nil, maxCountsBytes)
}
