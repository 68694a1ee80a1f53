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
	// staleRecordAfter is how long the record may be out of reach before news of it raises no weight any more: four words missed.
	staleRecordAfter = 4 * time.Second
	// maxCountsBytes bounds what a relay says of a canary in a word.
	maxCountsBytes = 600
	// earlyEndWindow is until when a flow counts for early ends, see canary.Tally.
	earlyEndWindow = time.Minute
	// maxTrackedFlows bounds the flows that are followed at once; those beyond it do not count.
	maxTrackedFlows = 4096
)

// canaryTrial is this relay's side of a canary: which weight it uses, and what it counts. On the loop alone.
type canaryTrial struct {
	r              *relay
	weights        *canary.WeightResolver
	appliedVersion uint64
	applied        []canary.Weight // as the module has them
	counter        *canary.Collector
	salt           uint64
	flows          map[*core.Request]trackedFlow // that stand
}

type trackedFlow struct {
	openedAt     time.Duration
	stratum      canary.Stratum
	inCanary     bool
	messageTimed bool // a message's time
}

func newCanaryTrial(r *relay) *canaryTrial {
	return &canaryTrial{r: r, weights: canary.NewWeightResolver(staleRecordAfter.Milliseconds()), flows: map[*core.Request]trackedFlow{}}
}

func (t *canaryTrial) now() int64 { return t.r.loop.Now().Milliseconds() }

// applyOrders takes what the record says.
func (t *canaryTrial) applyOrders(o fleet.DesiredState) {
	t.weights.ApplyRecord(o.AppliedIndex, o.CanaryWeights)
	if o.MajorityConfirmed {
		t.weights.ConfirmRecord(t.now(), o.AppliedIndex)
	}
	t.applyWeights()
	t.appliedVersion = o.CanaryVersion
}

// onNotices takes what another relay passes on.
func (t *canaryTrial) onNotices(note []byte) {
	var list []canary.Notice
	if t == nil || json.Unmarshal(note, &list) != nil || len(list) > canary.MaxNotices {
		return
	}
	news := false
	for _, n := range list {
		news = t.weights.HandleNotice(n) || news
	}
	if news {
		t.applyWeights()
	}
}

// pauseCanary holds a canary at zero here, and has the others told, whether there is a majority or not.
func (r *relay) pauseCanary(release string) {
	if _, known := r.trial.weights.Pause(release); known {
		r.trial.applyWeights()
	} else {
		r.log.WithField("release", release).Warn("fleet: a pause of a canary that is not known here: it goes round by the record alone")
	}
}

// applyWeights has the module go by the weights of now, and tells the other relays what was heard of pauses.
func (t *canaryTrial) applyWeights() {
	use := t.weights.EffectiveWeights(t.now())
	t.r.peers.SetUserData(t.weights.EncodeNotices(gossip.MaxUserData))
	if reflect.DeepEqual(use, t.applied) {
		return
	}
	t.applied = use
	t.r.log.WithFields(logrus.Fields{"weights": perMille(use)}).Info("fleet: canary weights")
	if len(use) == 0 {
		t.r.core.Arm(nil, nil)
		t.r.core.Happened, t.counter, t.salt = nil, nil, 0
		clear(t.flows)
		return
	}
	if w := use[0]; w.Salt != t.salt {
		t.salt, t.counter = w.Salt, canary.NewCollector(w.Salt, t.r.peers.Incarnation())
		clear(t.flows)
		t.r.core.Happened = t.observe
	}
	t.r.core.Arm(t.inCanary, func(group uint64) bool {
		return slices.ContainsFunc(t.applied, func(w canary.Weight) bool { return canary.RoutedToCanary(w.Salt, group, w.PerMille) })
	})
}

func perMille(all []canary.Weight) map[string]int {
	out := map[string]int{}
	for _, w := range all {
		out[w.Release] = w.PerMille
	}
	return out
}

// inCanary says whether a member is of an arm: it is named, or it has started since.
func (t *canaryTrial) inCanary(m *core.Member) bool {
	return slices.ContainsFunc(t.applied, func(w canary.Weight) bool {
		return slices.Contains(w.Target.Members, m.Name) ||
			w.Target.Since > 0 && m.Started != 0 && t.r.names.StartTimes.UnixMilli(m.Name, m.Started) >= w.Target.Since
	})
}

// observe counts what happens at members, each with its like: class, zone, and whether the member is cold.
func (t *canaryTrial) observe(h core.Happening) {
	f, stands := t.flows[h.Request]
	if !stands {
		age := t.r.loop.Now() - h.Member.Started
		cold := h.Member.Started != 0 && age < t.r.core.Limits().SlowStartDuration
		f = trackedFlow{openedAt: t.r.loop.Now(), inCanary: t.inCanary(h.Member),
			stratum: canary.Stratum{Class: uint8(h.Request.Class), Zone: uint8(h.Member.Zone), WarmingUp: cold}}
	}
	tally := t.counter.Tally(f.stratum, f.inCanary)
	ms := float64(h.Took) / float64(time.Millisecond)
	switch h.What {
	case core.Stood:
		tally.Attempts++
		tally.SetupTime.Add(ms)
		if len(t.flows) < maxTrackedFlows {
			t.flows[h.Request] = f
		}
	case core.Erred:
		tally.Attempts, tally.Failed = tally.Attempts+1, tally.Failed+1
	case core.Broke:
		tally.Attempts, tally.Reset = tally.Attempts+1, tally.Reset+1
	case core.TimedOut:
		tally.Attempts, tally.TimedOut = tally.Attempts+1, tally.TimedOut+1
	case core.Answered:
		if stands && !f.messageTimed {
			f.messageTimed = true
			t.flows[h.Request] = f
			tally.MessageTime.Add(ms)
		}
	case core.EndedWell, core.EndedEarly, core.Parted:
		if !stands {
			return
		}
		stood := t.r.loop.Now() - f.openedAt
		tally.OpenSeconds += uint64(min(stood, earlyEndWindow) / time.Second)
		if h.What == core.EndedEarly && stood < earlyEndWindow {
			tally.EarlyDisconnects++
		}
		delete(t.flows, h.Request)
	}
}

// counts is what to say of the canary in this word.
func (t *canaryTrial) counts() []byte {
	if t.counter == nil {
		return nil
	}
	return t.counter.AppendReport(nil, maxCountsBytes)
}
