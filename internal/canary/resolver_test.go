package canary

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const cutMS = 3000

// simulateResolvers plays a log of random commands, and relays that follow it with lags, partitions, restarts and notices. Invariants: no relay
// uses more than the highest weight agreed since it last confirmed the record or started, and none uses a weight above zero in an epoch of
// which it has a notice of a pause.
func simulateResolvers(seed uint64, trusts bool) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	type entry struct {
		at int64
		c  Canary
	}
	type relay struct {
		*WeightResolver
		born    int64
		applied int
		cut     bool
		paused  uint64 // the highest epoch in notices
	}
	sp := spec("r")
	s := NewState()
	s.Apply(0, "op", Command{Op: OpOpen, Release: "r", Spec: &sp}.Encode())
	snap := func() []Weight { return s.Weights() }
	c, _ := s.Canary("r")
	log := []entry{{0, c}}
	weights := [][]Weight{snap()}
	relays := make([]*relay, 5)
	begin := func(now int64, applied int) *relay {
		r := &relay{WeightResolver: NewWeightResolver(cutMS), born: now, applied: applied}
		r.ApplyRecord(uint64(applied), weights[applied-1]) // from disk
		if trusts {
			r.confirm(now) // as if a majority stood behind it
		}
		return r
	}
	for i := range relays {
		relays[i] = begin(0, 1)
	}
	for now := int64(100); now < 60_000; now += 100 {
		if rng.IntN(15) == 0 {
			c, _ := s.Canary("r")
			cmd := Command{Op: []Op{OpAdvance, OpAdvance, OpAdvance, OpPause, OpResume, OpResume}[rng.IntN(6)], Release: "r", Revision: c.Revision}
			if cmd.Op == OpPause {
				cmd.Outcome = Divergent // with a weight that the policy keeps or lowers
			}
			s.Apply(now, "op", cmd.Encode())
			if after, _ := s.Canary("r"); after.Revision != c.Revision {
				log, weights = append(log, entry{now, after}), append(weights, snap())
			}
			if c.Status == RolledBack {
				s.Apply(now, "op", Command{Op: OpClose, Release: "r"}.Encode())
				s.Apply(now, "op", Command{Op: OpOpen, Release: "r", Spec: &sp}.Encode())
				c, _ := s.Canary("r")
				log, weights = append(log, entry{now, c}), append(weights, snap())
			}
		}
		for i, r := range relays {
			switch rng.IntN(60) {
			case 0:
				r.cut = !r.cut
			case 1:
				relays[i] = begin(now, 1+rng.IntN(r.applied)) // its disk may hold less than it had applied
				relays[i].cut = r.cut
				r = relays[i]
			case 2:
				if n, ok := r.Pause("r"); ok {
					r.paused = max(r.paused, n.Epoch)
				}
			}
			if !r.cut && rng.IntN(3) == 0 {
				r.ConfirmRecord(now, uint64(len(log)))
				for r.applied < len(log) && rng.IntN(4) > 0 {
					r.applied++
					r.ApplyRecord(uint64(r.applied), weights[r.applied-1])
				}
			}
			if rng.IntN(4) == 0 { // gossip between any two
				for _, n := range relays[rng.IntN(len(relays))].Notices() {
					r.HandleNotice(n)
					if n.Pause {
						r.paused = max(r.paused, n.Epoch)
					}
				}
			}
			use := r.EffectiveWeights(now)[0]
			most := 0 // of what was agreed at any time that this relay may still go by
			for k := len(log) - 1; k >= 0; k-- {
				most = max(most, log[k].c.PerMille)
				// agreed at or before the time from which it must know better: nothing older counts
				if known := max(r.born, lastConfirmed(r.WeightResolver)); log[k].at <= known {
					break
				}
			}
			switch {
			case use.PerMille > most:
				return fmt.Errorf("seed %d at %d: relay %d, born %d, uses %d and %d at most was agreed since it knew", seed, now, i, r.born, use.PerMille, most)
			case use.PerMille > 0 && r.paused >= use.Epoch:
				return fmt.Errorf("seed %d at %d: relay %d uses %d in epoch %d, with a notice of a pause in %d", seed, now, i, use.PerMille, use.Epoch, r.paused)
			}
		}
	}
	return nil
}

func lastConfirmed(h *WeightResolver) int64 { return h.confirmedAt }

func TestWeightResolvers(t *testing.T) {
	for seed := range uint64(200) {
		if err := simulateResolvers(seed, false); err != nil {
			t.Fatal(err)
		}
	}
}

// TestPlantedOldWeight: planted is a relay that uses the weight on its disk before it has confirmed the record.
func TestPlantedOldWeight(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		if simulateResolvers(seed, true) != nil {
			found++
		}
	}
	if found == 0 {
		t.Error("an old weight after a restart was not found")
	}
	t.Logf("found by %d of 50 seeds", found)
}

func TestWeightResolverStaleness(t *testing.T) {
	h := NewWeightResolver(cutMS)
	w := Weight{Release: "r", PerMille: 50, Epoch: 1, Revision: 2, Step: 1}
	is := func(now int64, want int, why string) {
		t.Helper()
		if got := h.EffectiveWeights(now)[0].PerMille; got != want {
			t.Errorf("%s: %d, not %d", why, got, want)
		}
	}
	h.ApplyRecord(5, []Weight{w})
	is(0, 0, "from disk")
	h.ConfirmRecord(10, 7)
	is(10, 0, "reached, and behind")
	h.ApplyRecord(7, []Weight{w})
	is(20, 50, "reached")
	w.PerMille, w.Revision, w.Step = 250, 3, 2
	h.ApplyRecord(8, []Weight{w})
	is(4000, 50, "raised while cut off")
	h.ConfirmRecord(4001, 8)
	is(4001, 250, "raised")
	h.ApplyRecord(7, []Weight{{Release: "r", PerMille: 1000, Epoch: 1, Revision: 9}})
	is(4002, 250, "an older index")
	if !h.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 4, PerMille: 10}) || h.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 4, PerMille: 10}) {
		t.Error("a notice is new once")
	}
	is(4002, 10, "lowered as heard from another")
	h.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 3, PerMille: 1})
	is(4002, 10, "older news")
	h.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1})
	is(4002, 0, "paused by another")
	w.Epoch, w.Revision, w.PerMille = 2, 5, 50
	h.ApplyRecord(9, []Weight{w})
	is(5000, 50, "resumed")
	if len(h.notices) != 0 || h.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1}) {
		t.Error("a pause of before the resume")
	}
	if n, ok := h.Pause("r"); !ok || n.Epoch != 2 || len(h.Notices()) != 2 {
		t.Errorf("%v %v", n, ok)
	}
	is(5000, 0, "paused here")
	if h.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1 << 40}) || h.Rejected != 1 {
		t.Error("an epoch out of reach was taken")
	}
	for i := range 3 * MaxNotices { // of releases that are not known here
		h.HandleNotice(Notice{Release: fmt.Sprint("x", i), Pause: true, Epoch: uint64(3 + i%7)})
	}
	is(5000, 0, "the pause of a known release is kept")
	if len(h.notices) > MaxNotices {
		t.Errorf("%d notices stored", len(h.notices))
	}
}

// TestPauseReachesAll: a pause at one relay of a chain of 40, without a majority: each relay gossips with its neighbour alone.
func TestPauseReachesAll(t *testing.T) {
	var relays []*WeightResolver
	for range 40 {
		h := NewWeightResolver(cutMS)
		h.ApplyRecord(1, []Weight{{Release: "r", PerMille: 250, Epoch: 3, Revision: 9}})
		h.ConfirmRecord(0, 1)
		relays = append(relays, h)
	}
	relays[0].Pause("r")
	for i, h := range relays[1:] {
		for _, n := range relays[i].Notices() {
			h.HandleNotice(n)
		}
		if use := h.EffectiveWeights(1)[0].PerMille; use != 0 {
			t.Fatalf("relay %d uses %d", i+1, use)
		}
	}
}

// TestEncodeNoticesPausesFirst: a pause is encoded whatever other notices there are and however long the names are. Data that is too long is
// not gossiped at all, and the canary would continue elsewhere.
func TestEncodeNoticesPausesFirst(t *testing.T) {
	const most = 400 // as gossip bounds user data
	name := strings.Repeat("<", 128)
	h := NewWeightResolver(cutMS)
	h.ApplyRecord(1, []Weight{{Release: name, PerMille: 300, Epoch: 7, Revision: 12}})
	h.HandleNotice(Notice{Release: name, PerMille: 100, Epoch: 7, Revision: 13})
	for i := range MaxNotices {
		h.HandleNotice(Notice{Release: fmt.Sprintf("a%d", i), Pause: i%2 == 0, Epoch: 8, Revision: 1})
	}
	h.Pause(name)
	if all, _ := json.Marshal(h.Notices()); len(all) <= most {
		t.Fatalf("%d bytes: nothing is left out", len(all))
	}
	note := h.EncodeNotices(most)
	var list []Notice
	if err := json.Unmarshal(note, &list); err != nil || len(note) > most {
		t.Fatalf("%d bytes, %v: %s", len(note), err, note)
	}
	if len(list) < 2 || list[0] != (Notice{Release: name, Pause: true, Epoch: 7}) {
		t.Errorf("%s", note)
	}
	if empty := NewWeightResolver(cutMS).EncodeNotices(most); empty != nil {
		t.Errorf("no notices are %q", empty)
	}
}

// TestPauseByNotices: a relay that started after the record was last reachable, or missed a resume, can be told to pause too. It knows the
// epoch from notices.
func TestPauseByNotices(t *testing.T) {
	for _, applied := range [][]Weight{nil, {{Release: "r", PerMille: 300, Epoch: 4, Revision: 8}}} {
		other, h := NewWeightResolver(cutMS), NewWeightResolver(cutMS)
		other.ApplyRecord(9, []Weight{{Release: "r", PerMille: 300, Epoch: 5, Revision: 9}})
		other.ConfirmRecord(0, 9)
		h.ApplyRecord(1, applied)
		for _, n := range other.Notices() {
			h.HandleNotice(n)
		}
		n, ok := h.Pause("r")
		if !ok || !other.HandleNotice(n) || other.EffectiveWeights(0)[0].PerMille != 0 {
			t.Errorf("applied %v: %+v, %v: the other one uses %+v", applied, n, ok, other.EffectiveWeights(0))
		}
	}
	if n, ok := NewWeightResolver(cutMS).Pause("r"); ok {
		t.Errorf("a pause of an unknown release: %+v", n)
	}
}
