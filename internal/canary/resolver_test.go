package canary

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const maxStalenessMS = 3000

// simulateResolvers applies random commands to a record, and has relays follow it with delays, partitions,
// restarts and notices. It returns an error if a relay uses a weight above the highest that the record had
// since the relay last confirmed the record or started, or a weight above zero in an epoch for which it
// received or sent a pause. With trustDisk, a planted defect: relays take the weight on their disk as
// confirmed.
func simulateResolvers(seed uint64, trustDisk bool) error {
	rng := rand.New(rand.NewPCG(seed, 5))
	type entry struct {
		at int64
		c  Canary
	}
	type relay struct {
		*WeightResolver
		startedAt   int64
		applied     int
		partitioned bool
		pausedEpoch uint64 // the highest epoch with a pause that it received or sent
	}
	sp := validSpec("r")
	s := NewState()
	s.Apply(0, "op", Command{Op: OpOpen, Release: "r", Spec: &sp}.Encode())
	currentWeights := func() []Weight { return s.Weights() }
	c, _ := s.Canary("r")
	log := []entry{{0, c}}
	weights := [][]Weight{currentWeights()}
	relays := make([]*relay, 5)
	startRelay := func(now int64, applied int) *relay {
		r := &relay{WeightResolver: NewWeightResolver(maxStalenessMS), startedAt: now, applied: applied}
		r.ApplyRecord(uint64(applied), weights[applied-1]) // restored from disk
		if trustDisk {
			r.confirm(now) // as if a majority had confirmed it
		}
		return r
	}
	for i := range relays {
		relays[i] = startRelay(0, 1)
	}
	for now := int64(100); now < 60_000; now += 100 {
		if rng.IntN(15) == 0 {
			c, _ := s.Canary("r")
			cmd := Command{Op: []Op{OpAdvance, OpAdvance, OpAdvance, OpPause, OpResume, OpResume}[rng.IntN(6)], Release: "r", Revision: c.Revision}
			if cmd.Op == OpPause {
				cmd.Outcome = Divergent // the policy then decides the weight
			}
			s.Apply(now, "op", cmd.Encode())
			if after, _ := s.Canary("r"); after.Revision != c.Revision {
				log, weights = append(log, entry{now, after}), append(weights, currentWeights())
			}
			if c.Status == RolledBack {
				s.Apply(now, "op", Command{Op: OpClose, Release: "r"}.Encode())
				s.Apply(now, "op", Command{Op: OpOpen, Release: "r", Spec: &sp}.Encode())
				c, _ := s.Canary("r")
				log, weights = append(log, entry{now, c}), append(weights, currentWeights())
			}
		}
		for i, r := range relays {
			switch rng.IntN(60) {
			case 0:
				r.partitioned = !r.partitioned
			case 1:
				// The relay's disk may contain an earlier index than the one that it had applied.
				relays[i] = startRelay(now, 1+rng.IntN(r.applied))
				relays[i].partitioned = r.partitioned
				r = relays[i]
			case 2:
				if n, ok := r.Pause("r"); ok {
					r.pausedEpoch = max(r.pausedEpoch, n.Epoch)
				}
			}
			if !r.partitioned && rng.IntN(3) == 0 {
				r.ConfirmRecord(now, uint64(len(log)))
				for r.applied < len(log) && rng.IntN(4) > 0 {
					r.applied++
					r.ApplyRecord(uint64(r.applied), weights[r.applied-1])
				}
			}
			if rng.IntN(4) == 0 { // gossip from a random relay
				for _, n := range relays[rng.IntN(len(relays))].Notices() {
					r.HandleNotice(n)
					if n.Pause {
						r.pausedEpoch = max(r.pausedEpoch, n.Epoch)
					}
				}
			}
			use := r.EffectiveWeights(now)[0]
			maxAgreed := 0 // the highest weight that the relay may still use
			for k := len(log) - 1; k >= 0; k-- {
				maxAgreed = max(maxAgreed, log[k].c.PerMille)
				// Entries before the one in force at the relay's start or last confirmation do not count.
				if knownSince := max(r.startedAt, lastConfirmed(r.WeightResolver)); log[k].at <= knownSince {
					break
				}
			}
			switch {
			case use.PerMille > maxAgreed:
				return fmt.Errorf("seed %d at %d ms: relay %d, started at %d ms, uses weight %d, want at most %d, the highest in the record since its start or last confirmation",
					seed, now, i, r.startedAt, use.PerMille, maxAgreed)
			case use.PerMille > 0 && r.pausedEpoch >= use.Epoch:
				return fmt.Errorf("seed %d at %d ms: relay %d uses weight %d in epoch %d, want 0: it has a pause of epoch %d",
					seed, now, i, use.PerMille, use.Epoch, r.pausedEpoch)
			}
		}
	}
	return nil
}

func lastConfirmed(r *WeightResolver) int64 { return r.confirmedAt }

func TestWeightResolverSimulation(t *testing.T) {
	for seed := range uint64(200) {
		if err := simulateResolvers(seed, false); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSimulationDetectsUnconfirmedWeight checks that simulateResolvers detects a planted defect: relays use
// the weight on their disk before the record is confirmed.
func TestSimulationDetectsUnconfirmedWeight(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		if simulateResolvers(seed, true) != nil {
			found++
		}
	}
	if found == 0 {
		t.Error("simulateResolvers found no use of an unconfirmed weight after a restart in 50 seeds")
	}
	t.Logf("%d of 50 seeds detect the planted defect", found)
}

func TestWeightResolverStaleness(t *testing.T) {
	r := NewWeightResolver(maxStalenessMS)
	w := Weight{Release: "r", PerMille: 50, Epoch: 1, Revision: 2, Step: 1}
	checkWeight := func(now int64, want int, situation string) {
		t.Helper()
		if got := r.EffectiveWeights(now)[0].PerMille; got != want {
			t.Errorf("%s: weight at %d ms = %d, want %d", situation, now, got, want)
		}
	}
	r.ApplyRecord(5, []Weight{w})
	checkWeight(0, 0, "restored from disk, unconfirmed")
	r.ConfirmRecord(10, 7)
	checkWeight(10, 0, "a later index confirmed")
	r.ApplyRecord(7, []Weight{w})
	checkWeight(20, 50, "the confirmed index applied")
	w.PerMille, w.Revision, w.Step = 250, 3, 2
	r.ApplyRecord(8, []Weight{w})
	checkWeight(4000, 50, "raised while the record is stale")
	r.ConfirmRecord(4001, 8)
	checkWeight(4001, 250, "raise confirmed")
	r.ApplyRecord(7, []Weight{{Release: "r", PerMille: 1000, Epoch: 1, Revision: 9}})
	checkWeight(4002, 250, "an older index ignored")
	if !r.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 4, PerMille: 10}) || r.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 4, PerMille: 10}) {
		t.Error("HandleNotice of the same notice twice: want true (new), then false")
	}
	checkWeight(4002, 10, "lowered by a notice")
	r.HandleNotice(Notice{Release: "r", Epoch: 1, Revision: 3, PerMille: 1})
	checkWeight(4002, 10, "a notice of an older revision ignored")
	r.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1})
	checkWeight(4002, 0, "paused by a notice")
	w.Epoch, w.Revision, w.PerMille = 2, 5, 50
	r.ApplyRecord(9, []Weight{w})
	checkWeight(5000, 50, "resumed in a later epoch")
	if len(r.notices) != 0 || r.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1}) {
		t.Errorf("after a resume: notices stored = %v, want none, and a pause of the earlier epoch must not be new",
			r.notices)
	}
	if n, ok := r.Pause("r"); !ok || n.Epoch != 2 || len(r.Notices()) != 2 {
		t.Errorf("Pause = %+v, %v with notices %+v; want epoch 2, true and 2 notices", n, ok, r.Notices())
	}
	checkWeight(5000, 0, "paused at this relay")
	if r.HandleNotice(Notice{Release: "r", Pause: true, Epoch: 1 << 40}) || r.Rejected != 1 {
		t.Errorf("HandleNotice of an epoch too far ahead: Rejected = %d; want false (not new) and 1", r.Rejected)
	}
	for i := range 3 * MaxNotices { // of releases that are not in the record
		r.HandleNotice(Notice{Release: fmt.Sprint("x", i), Pause: true, Epoch: uint64(3 + i%7)})
	}
	checkWeight(5000, 0, "still paused after many notices on other releases")
	if len(r.notices) > MaxNotices {
		t.Errorf("notices of %d releases stored, want at most %d", len(r.notices), MaxNotices)
	}
}

// TestPauseReachesAllRelays checks that a pause at the first relay of a chain of 40, where each relay
// gossips only with the next one, reaches all of them without a majority.
func TestPauseReachesAllRelays(t *testing.T) {
	var relays []*WeightResolver
	for range 40 {
		r := NewWeightResolver(maxStalenessMS)
		r.ApplyRecord(1, []Weight{{Release: "r", PerMille: 250, Epoch: 3, Revision: 9}})
		r.ConfirmRecord(0, 1)
		relays = append(relays, r)
	}
	relays[0].Pause("r")
	for i, r := range relays[1:] {
		for _, n := range relays[i].Notices() {
			r.HandleNotice(n)
		}
		if use := r.EffectiveWeights(1)[0].PerMille; use != 0 {
			t.Fatalf("relay %d uses weight %d after the pause, want 0", i+1, use)
		}
	}
}

// TestEncodeNoticesPausesFirst checks that a pause is encoded whatever other notices there are and however
// long the release names are. User data above the gossip limit is not sent at all, and the canary would
// then continue at other relays.
func TestEncodeNoticesPausesFirst(t *testing.T) {
	const maxBytes = 400 // like the gossip limit on user data
	name := strings.Repeat("<", 128)
	r := NewWeightResolver(maxStalenessMS)
	r.ApplyRecord(1, []Weight{{Release: name, PerMille: 300, Epoch: 7, Revision: 12}})
	r.HandleNotice(Notice{Release: name, PerMille: 100, Epoch: 7, Revision: 13})
	for i := range MaxNotices {
		r.HandleNotice(Notice{Release: fmt.Sprintf("a%d", i), Pause: i%2 == 0, Epoch: 8, Revision: 1})
	}
	r.Pause(name)
	if all, _ := json.Marshal(r.Notices()); len(all) <= maxBytes {
		t.Fatalf("all notices have %d bytes, want more than %d, so that some are left out", len(all), maxBytes)
	}
	encoded := r.EncodeNotices(maxBytes)
	var list []Notice
	if err := json.Unmarshal(encoded, &list); err != nil || len(encoded) > maxBytes {
		t.Fatalf("EncodeNotices = %d bytes, want at most %d; decode error %v: %s", len(encoded), maxBytes, err, encoded)
	}
	if len(list) < 2 || list[0] != (Notice{Release: name, Pause: true, Epoch: 7}) {
		t.Errorf("EncodeNotices = %s, want the pause of the recorded release first and at least one more notice",
			encoded)
	}
	if empty := NewWeightResolver(maxStalenessMS).EncodeNotices(maxBytes); empty != nil {
		t.Errorf("EncodeNotices without notices = %q, want nil", empty)
	}
}

// TestPauseByNotices checks that an operator can pause a canary at a relay whose record lacks the release
// or a resume, because the relay started later or was cut off. It gets the epoch from notices.
func TestPauseByNotices(t *testing.T) {
	for _, applied := range [][]Weight{nil, {{Release: "r", PerMille: 300, Epoch: 4, Revision: 8}}} {
		other, r := NewWeightResolver(maxStalenessMS), NewWeightResolver(maxStalenessMS)
		other.ApplyRecord(9, []Weight{{Release: "r", PerMille: 300, Epoch: 5, Revision: 9}})
		other.ConfirmRecord(0, 9)
		r.ApplyRecord(1, applied)
		for _, n := range other.Notices() {
			r.HandleNotice(n)
		}
		n, ok := r.Pause("r")
		if !ok || !other.HandleNotice(n) || other.EffectiveWeights(0)[0].PerMille != 0 {
			t.Errorf("record %v: Pause = %+v, %v; the other relay then uses %+v, want weight 0",
				applied, n, ok, other.EffectiveWeights(0))
		}
	}
	if n, ok := NewWeightResolver(maxStalenessMS).Pause("r"); ok {
		t.Errorf("Pause of an unknown release = %+v, true; want false", n)
	}
}
