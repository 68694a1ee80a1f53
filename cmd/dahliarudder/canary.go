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
	// staleRecordAfter is how long after the last confirmation by a majority the record can still raise
	// a weight: four report intervals.
	staleRecordAfter = 4 * time.Second
	// maxCountsBytes limits the size of the canary counts in one report to the leader.
	maxCountsBytes = 600
	// earlyEndWindow is the age of a flow below which its end by the member counts as early, see
	// canary.Tally.
	earlyEndWindow = time.Minute
	// maxTrackedFlows limits the flows that are tracked at once. Flows beyond it count when they are
	// established, but not when they end.
	maxTrackedFlows = 4096
)

// canaryState holds the canary weights that this relay applies and the outcomes that it counts. It
// belongs to the event loop.
type canaryState struct {
	r              *relay
	weights        *canary.WeightResolver
	appliedVersion uint64
	applied        []canary.Weight // weights set in the core
	collector      *canary.Collector
	salt           uint64
	flows          map[*core.Request]trackedFlow // established flows whose end is counted
}

// trackedFlow is an established flow whose end is counted.
type trackedFlow struct {
	openedAt     time.Duration
	stratum      canary.Stratum
	inCanary     bool
	messageTimed bool // a message's latency has been counted
}

func newCanaryState(r *relay) *canaryState {
	return &canaryState{r: r, weights: canary.NewWeightResolver(staleRecordAfter.Milliseconds()), flows: map[*core.Request]trackedFlow{}}
}

func (c *canaryState) now() int64 { return c.r.loop.Now().Milliseconds() }

// applyOrders applies the canary weights of the fleet record.
func (c *canaryState) applyOrders(o fleet.DesiredState) {
	c.weights.ApplyRecord(o.AppliedIndex, o.CanaryWeights)
	if o.MajorityConfirmed {
		c.weights.ConfirmRecord(c.now(), o.AppliedIndex)
	}
	c.applyWeights()
	c.appliedVersion = o.CanaryVersion
}

// onNotices handles canary notices that another relay gossips. A nil canaryState ignores them.
func (c *canaryState) onNotices(data []byte) {
	var list []canary.Notice
	if c == nil || json.Unmarshal(data, &list) != nil || len(list) > canary.MaxNotices {
		return
	}
	changed := false
	for _, n := range list {
		changed = c.weights.HandleNotice(n) || changed
	}
	if changed {
		c.applyWeights()
	}
}

// pauseCanary sets the weight of a canary to zero at this relay and gossips a notice to the other
// relays. It needs no majority.
func (r *relay) pauseCanary(release string) {
	if _, known := r.canary.weights.Pause(release); known {
		r.canary.applyWeights()
	} else {
		r.log.WithField("release", release).Warn("fleet: pause of a canary that is unknown at this relay; " +
			"no notice is gossiped, only the record replicates the pause")
	}
}

// applyWeights sets the effective weights in the core, and gossips the notices that this relay has.
func (c *canaryState) applyWeights() {
	weights := c.weights.EffectiveWeights(c.now())
	c.r.peers.SetUserData(c.weights.EncodeNotices(gossip.MaxUserData))
	if reflect.DeepEqual(weights, c.applied) {
		return
	}
	c.applied = weights
	c.r.log.WithFields(logrus.Fields{"weights": perMille(weights)}).Info("fleet: canary weights")
	if len(weights) == 0 {
		c.r.core.SetCanaryGroup(nil, nil)
		c.r.core.OnMemberEvent, c.collector, c.salt = nil, nil, 0
		clear(c.flows)
		return
	}
	if w := weights[0]; w.Salt != c.salt {
		c.salt, c.collector = w.Salt, canary.NewCollector(w.Salt, c.r.peers.Incarnation())
		clear(c.flows)
		c.r.core.OnMemberEvent = c.observe
	}
	c.r.core.SetCanaryGroup(c.inCanary, func(group uint64) bool {
		return slices.ContainsFunc(c.applied, func(w canary.Weight) bool { return canary.RoutedToCanary(w.Salt, group, w.PerMille) })
	})
}

// perMille returns the weights by release, for the log.
func perMille(weights []canary.Weight) map[string]int {
	out := map[string]int{}
	for _, w := range weights {
		out[w.Release] = w.PerMille
	}
	return out
}

// inCanary reports whether a member belongs to a canary: the canary names it, or the member started
// after the canary began.
func (c *canaryState) inCanary(m *core.Member) bool {
	return slices.ContainsFunc(c.applied, func(w canary.Weight) bool {
		return slices.Contains(w.Target.Members, m.Name) ||
			w.Target.Since > 0 && m.Started != 0 && c.r.mapper.StartTimes.UnixMilli(m.Name, m.Started) >= w.Target.Since
	})
}

// observe counts a member event in its stratum, which consists of the class, the zone, and whether
// the member is warming up.
func (c *canaryState) observe(e core.MemberEvent) {
	f, tracked := c.flows[e.Request]
	if !tracked {
		age := c.r.loop.Now() - e.Member.Started
		warmingUp := e.Member.Started != 0 && age < c.r.core.PolicySettings().SlowStartDuration
		f = trackedFlow{openedAt: c.r.loop.Now(), inCanary: c.inCanary(e.Member),
			stratum: canary.Stratum{Class: uint8(e.Request.Class), Zone: uint8(e.Member.Zone), WarmingUp: warmingUp}}
	}
	tally := c.collector.Tally(f.stratum, f.inCanary)
	ms := float64(e.Latency) / float64(time.Millisecond)
	switch e.Kind {
	case core.FlowEstablished:
		tally.Attempts++
		tally.SetupTime.Add(ms)
		if len(c.flows) < maxTrackedFlows {
			c.flows[e.Request] = f
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
			c.flows[e.Request] = f
			tally.MessageTime.Add(ms)
		}
	case core.FlowCompleted, core.FlowEndedByMember, core.FlowEndedLocally:
		if !tracked {
			return
		}
		openFor := c.r.loop.Now() - f.openedAt
		tally.OpenSeconds += uint64(min(openFor, earlyEndWindow) / time.Second)
		if e.Kind == core.FlowEndedByMember && openFor < earlyEndWindow {
			tally.EarlyDisconnects++
		}
		delete(c.flows, e.Request)
	}
}

// counts returns the canary counts for the next report to the leader, nil without a canary.
func (c *canaryState) counts() []byte {
	if c.collector == nil {
		return nil
	}
	return c.collector.AppendReport(nil, maxCountsBytes)
}
