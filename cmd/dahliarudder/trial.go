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
	// trialCut is how long the record may be out of reach before news of it raises no weight any more: four words missed.
	trialCut = 4 * time.Second
	// trialBytes bounds what a relay says of a canary in a word.
	trialBytes = 600
	// heldMost is until when a flow counts for early ends, see canary.Tally.
	heldMost = time.Minute
	// flowsMost bounds the flows that are followed at once; those beyond it do not count.
	flowsMost = 4096
)

// trial is this relay's side of a canary: which weight it uses, and what it counts. On the loop alone.
type trial struct {
	r       *relay
	holder  *canary.Holder
	weighs  uint64
	use     []canary.Weight // as the module has them
	counter *canary.Counter
	salt    uint64
	flows   map[*core.Request]flowTrial // that stand
}

type flowTrial struct {
	at    time.Duration
	place canary.Stratum
	arm   bool
	told  bool // a message's time
}

func newTrial(r *relay) *trial {
	return &trial{r: r, holder: canary.NewHolder(trialCut.Milliseconds()), flows: map[*core.Request]flowTrial{}}
}

func (t *trial) now() int64 { return t.r.loop.Now().Milliseconds() }

// agreed takes what the record says.
func (t *trial) agreed(o fleet.DesiredState) {
	t.holder.Agreed(t.now(), o.AppliedIndex, o.CanaryWeights)
	if o.MajorityConfirmed {
		t.holder.Reached(t.now(), o.AppliedIndex)
	}
	t.weigh()
	t.weighs = o.CanaryVersion
}

// noted takes what another relay passes on.
func (t *trial) noted(note []byte) {
	var list []canary.Notice
	if t == nil || json.Unmarshal(note, &list) != nil || len(list) > canary.NoticesMost {
		return
	}
	news := false
	for _, n := range list {
		news = t.holder.Heard(n) || news
	}
	if news {
		t.weigh()
	}
}

// pauseTrial holds a canary at zero here, and has the others told, whether there is a majority or not.
func (r *relay) pauseTrial(release string) {
	if _, known := r.trial.holder.Pause(release); known {
		r.trial.weigh()
	} else {
		r.log.WithField("release", release).Warn("fleet: a pause of a canary that is not known here: it goes round by the record alone")
	}
}

// weigh has the module go by the weights of now, and tells the other relays what was heard of pauses.
func (t *trial) weigh() {
	use := t.holder.Weights(t.now())
	t.r.peers.Carry(t.holder.Note(gossip.NoteMost))
	if reflect.DeepEqual(use, t.use) {
		return
	}
	t.use = use
	t.r.log.WithFields(logrus.Fields{"weights": perMille(use)}).Info("fleet: canary weights")
	if len(use) == 0 {
		t.r.core.Arm(nil, nil)
		t.r.core.Happened, t.counter, t.salt = nil, nil, 0
		clear(t.flows)
		return
	}
	if w := use[0]; w.Salt != t.salt {
		t.salt, t.counter = w.Salt, canary.NewCounter(w.Salt, t.r.peers.Start())
		clear(t.flows)
		t.r.core.Happened = t.happened
	}
	t.r.core.Arm(t.inArm, func(group uint64) bool {
		return slices.ContainsFunc(t.use, func(w canary.Weight) bool { return canary.InArm(w.Salt, group, w.PerMille) })
	})
}

func perMille(all []canary.Weight) map[string]int {
	out := map[string]int{}
	for _, w := range all {
		out[w.Release] = w.PerMille
	}
	return out
}

// inArm says whether a member is of an arm: it is named, or it has started since.
func (t *trial) inArm(m *core.Member) bool {
	return slices.ContainsFunc(t.use, func(w canary.Weight) bool {
		return slices.Contains(w.Arm.Members, m.Name) ||
			w.Arm.Since > 0 && m.Started != 0 && t.r.names.Starts.UnixMilli(m.Name, m.Started) >= w.Arm.Since
	})
}

// happened counts what happens at members, each with its like: class, zone, and whether the member is cold.
func (t *trial) happened(h core.Happening) {
	f, stands := t.flows[h.Request]
	if !stands {
		age := t.r.loop.Now() - h.Member.Started
		cold := h.Member.Started != 0 && age < t.r.core.Limits().ColdFor
		f = flowTrial{at: t.r.loop.Now(), arm: t.inArm(h.Member),
			place: canary.Stratum{Class: uint8(h.Request.Class), Zone: uint8(h.Member.Zone), Cold: cold}}
	}
	tally := t.counter.At(f.place, f.arm)
	ms := float64(h.Took) / float64(time.Millisecond)
	switch h.What {
	case core.Stood:
		tally.Attempts++
		tally.SetUp.Add(ms)
		if len(t.flows) < flowsMost {
			t.flows[h.Request] = f
		}
	case core.Erred:
		tally.Attempts, tally.Failed = tally.Attempts+1, tally.Failed+1
	case core.Broke:
		tally.Attempts, tally.Reset = tally.Attempts+1, tally.Reset+1
	case core.TimedOut:
		tally.Attempts, tally.TimedOut = tally.Attempts+1, tally.TimedOut+1
	case core.Answered:
		if stands && !f.told {
			f.told = true
			t.flows[h.Request] = f
			tally.Message.Add(ms)
		}
	case core.EndedWell, core.EndedEarly, core.Parted:
		if !stands {
			return
		}
		stood := t.r.loop.Now() - f.at
		tally.Held += uint64(min(stood, heldMost) / time.Second)
		if h.What == core.EndedEarly && stood < heldMost {
			tally.Early++
		}
		delete(t.flows, h.Request)
	}
}

// counts is what to say of the canary in this word.
func (t *trial) counts() []byte {
	if t.counter == nil {
		return nil
	}
	return t.counter.Append(nil, trialBytes)
}
