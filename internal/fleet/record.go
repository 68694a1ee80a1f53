package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// Record is what the fleet has agreed on, at this relay: the accord.Machine. It hands commands to the parts, in their order; nothing else
// changes it. Readers may come from any goroutine.
type Record struct {
	mu      sync.RWMutex
	items   recordItems
	rollout *rollout.State
	canary  *canary.State
	intent  *intent
	changes uint64        // counts what may have changed anything: readers keep what they derived
	changed chan struct{} // one waits at most: something has changed
}

// recordItems is what the record adds to its parts.
type recordItems struct {
	At        int64      `json:"at"` // of the last command: it never runs back
	Ejections drift.Item `json:"bans"`
	Drains    drift.Item `json:"drains"`

	Permits       drift.Item `json:"permits"` // those in force
	CanaryWeights drift.Item `json:"weights"` // the canaries' state
}

type recordSnapshot struct {
	Items   recordItems     `json:"held"`
	Rollout json.RawMessage `json:"rollout"`
	Canary  json.RawMessage `json:"canary"`
	Intent  json.RawMessage `json:"intent,omitempty"`
}

// The parts that a command may be for.
const (
	partRollout = "rollout"
	partCanary  = "canary"
	partIntent  = "intent"
)

type command struct {
	Part string          `json:"part"`
	At   int64           `json:"at"` // the proposer's wall clock, ms
	By   string          `json:"by"`
	Body json.RawMessage `json:"body"`
}

// NewRecord is one in which nothing was agreed.
func NewRecord() *Record {
	return &Record{rollout: rollout.New(), canary: canary.NewState(), intent: &intent{}, changed: make(chan struct{}, 1),
		items: recordItems{Ejections: drift.Item{Name: drift.ItemEjections}, Drains: drift.Item{Name: drift.ItemDrains}, Permits: drift.Item{Name: drift.ItemPermits},
			CanaryWeights: drift.Item{Name: drift.ItemCanaryWeights}}}
}

// Apply is the engine's: the next command. What it answers depends on the commands alone.
func (r *Record) Apply(_ uint64, text []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c command
	if err := json.Unmarshal(text, &c); err != nil {
		return rejection("malformed: " + err.Error())
	}
	r.items.At = max(r.items.At, c.At)
	var answer []byte
	switch c.Part {
	case partRollout:
		answer = r.rollout.Apply(r.items.At, c.By, c.Body)
	case partCanary:
		if why := r.canaryConflict(c.Body); why != "" {
			return rejection(why)
		}
		answer = r.canary.Apply(r.items.At, c.By, c.Body)
	case partReleaseWithCanary:
		answer = r.openWithCanary(r.items.At, c.By, c.Body)
	case partIntent:
		var a rollout.Result
		r.intent, a = r.intent.apply(r.items.At, c.By, c.Body, r.rollout)
		answer, _ = json.Marshal(a)
	default:
		return rejection("no such part: " + c.Part) // of a newer program: all of this version refuse it alike
	}
	r.updateItems()
	r.changes++
	r.notifyChanged()
	return answer
}

// canaryWeights are those of the canaries, with the version of their state.
func (r *Record) canaryWeights() (list []canary.Weight, version uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.canary.Weights(), r.canary.Version()
}

// canaryConflict says why a canary cannot be opened beside another: the module keeps one arm apart.
func (r *Record) canaryConflict(body []byte) string {
	var c canary.Command
	if json.Unmarshal(body, &c) != nil || c.Op != canary.OpOpen {
		return ""
	}
	for _, other := range r.canary.Canaries() {
		return fmt.Sprintf("release %q has a canary (%s): one at a time", other.Release, other.Status)
	}
	return ""
}

func rejection(why string) []byte {
	text, _ := json.Marshal(map[string]string{"error": why})
	return text
}

// notifyChanged wakes who follows.
func (r *Record) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// updateItems keeps the versions of what relays are to apply: the state's version at which each last changed.
func (r *Record) updateItems() {
	bans, drains := splitExclusions(r.rollout.Orders("").Exclusions)
	var permits []string
	for _, p := range r.rollout.Permits() {
		if p.State == rollout.PermitGranted || p.State == rollout.PermitBegun {
			permits = append(permits, fmt.Sprint(p.Number, p.State))
		}
	}
	for _, i := range []struct {
		item  *drift.Item
		name  string
		names []string
	}{{&r.items.Ejections, drift.ItemEjections, bans}, {&r.items.Drains, drift.ItemDrains, drains}, {&r.items.Permits, drift.ItemPermits, permits}} {
		if d := digestOf(i.names); d != i.item.Digest {
			*i.item = drift.Item{Name: i.name, Version: r.rollout.Version(), Digest: d}
		}
	}
	if v := r.canary.Version(); v != r.items.CanaryWeights.Version {
		text, _ := json.Marshal(r.canary.Canaries())
		r.items.CanaryWeights = drift.Item{Name: drift.ItemCanaryWeights, Version: v, Digest: digestOf([]string{string(text)})}
	}
}

// splitExclusions parts the members that are out into those that are banned and those that drain, each in order.
func splitExclusions(out map[string]rollout.Exclusion) (bans, drains []string) {
	for name, o := range out {
		if o.Reason == rollout.CommandEject {
			bans = append(bans, name)
		} else {
			drains = append(drains, name)
		}
	}
	slices.Sort(bans)
	slices.Sort(drains)
	return bans, drains
}

// digestOf tells sets of names apart. Its 0 is for none: nothing agreed is nothing applied.
func digestOf(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	h := fnv.New64a()
	var b []byte
	for _, n := range names {
		b = append(append(strconv.AppendInt(b[:0], int64(len(n)), 10), ':'), n...)
		h.Write(b)
	}
	return cmp.Or(h.Sum64(), 1)
}

// Snapshot is the engine's.
func (r *Record) Snapshot() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	kept, _ := json.Marshal(r.intent)
	text, _ := json.Marshal(recordSnapshot{r.items, r.rollout.Encode(), r.canary.Encode(), kept})
	return text
}

// Restore is the engine's. What cannot be read changes nothing.
func (r *Record) Restore(_ uint64, text []byte) error {
	var s recordSnapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	ro, err := rollout.Decode(s.Rollout)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	ca, err := canary.DecodeState(s.Canary)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	in, err := decodeIntent(s.Intent)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items, r.rollout, r.canary, r.intent = s.Items, ro, ca, in
	r.items.Permits.Name, r.items.CanaryWeights.Name = drift.ItemPermits, drift.ItemCanaryWeights // a snapshot of before there were these
	r.updateItems()
	r.changes++
	r.notifyChanged()
	return nil
}

// read lets f look at the parts; it keeps nothing of them.
func (r *Record) read(f func(*rollout.State, recordItems)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.rollout, r.items)
}
