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

// Record is this relay's copy of the replicated state. It implements consensus.Machine: it applies
// commands to its parts in log order, and only commands and snapshots change it. Any goroutine may
// read it.
type Record struct {
	mu      sync.RWMutex
	items   recordItems
	rollout *rollout.State
	canary  *canary.State
	intent  *intent
	changes uint64        // number of commands and restores, so that readers can cache what they derive
	changed chan struct{} // has a token after a change, for applyLoop
}

// recordItems is what the record stores besides its parts: its clock, and the drift items of the state
// that relays have to apply.
type recordItems struct {
	At        int64      `json:"at"` // wall clock in ms of the last command; never decreases
	Ejections drift.Item `json:"bans"`
	Drains    drift.Item `json:"drains"`

	Permits       drift.Item `json:"permits"` // permits that are granted or begun
	CanaryWeights drift.Item `json:"weights"` // the whole canary state
}

// recordSnapshot is the stored form of a Record.
type recordSnapshot struct {
	Items   recordItems     `json:"held"`
	Rollout json.RawMessage `json:"rollout"`
	Canary  json.RawMessage `json:"canary"`
	Intent  json.RawMessage `json:"intent,omitempty"`
}

// Parts that a command may address, besides partReleaseWithCanary.
const (
	partRollout = "rollout"
	partCanary  = "canary"
	partIntent  = "intent"
)

// command is the content of a log entry.
type command struct {
	Part string          `json:"part"`
	At   int64           `json:"at"` // the proposer's wall clock, ms
	By   string          `json:"by"` // the proposer
	Body json.RawMessage `json:"body"`
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{rollout: rollout.New(), canary: canary.NewState(), intent: &intent{}, changed: make(chan struct{}, 1),
		items: recordItems{Ejections: drift.Item{Name: drift.ItemEjections}, Drains: drift.Item{Name: drift.ItemDrains}, Permits: drift.Item{Name: drift.ItemPermits},
			CanaryWeights: drift.Item{Name: drift.ItemCanaryWeights}}}
}

// Apply implements consensus.Machine. The answer depends only on the commands applied so far.
func (r *Record) Apply(_ uint64, text []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c command
	if err := json.Unmarshal(text, &c); err != nil {
		return rejectionAnswer("malformed: " + err.Error())
	}
	r.items.At = max(r.items.At, c.At)
	var answer []byte
	switch c.Part {
	case partRollout:
		answer = r.rollout.Apply(r.items.At, c.By, c.Body)
	case partCanary:
		if reason := r.canaryConflict(c.Body); reason != "" {
			return rejectionAnswer(reason)
		}
		answer = r.canary.Apply(r.items.At, c.By, c.Body)
	case partReleaseWithCanary:
		answer = r.openWithCanary(r.items.At, c.By, c.Body)
	case partIntent:
		var result rollout.Result
		r.intent, result = r.intent.apply(r.items.At, c.By, c.Body, r.rollout)
		answer, _ = json.Marshal(result)
	default:
		// The part may be one of a later version: all relays of this version reject the command alike.
		return rejectionAnswer("no such part: " + c.Part)
	}
	r.updateItems()
	r.changes++
	r.notifyChanged()
	return answer
}

// currentIntent returns the intent. It is never modified: a command replaces it.
func (r *Record) currentIntent() *intent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.intent
}

// canaries returns a copy of all canaries.
func (r *Record) canaries() []canary.Canary {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.canary.Canaries()
}

// canaryWeights returns the weights of all canaries and the version of the canary state.
func (r *Record) canaryWeights() (weights []canary.Weight, version uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.canary.Weights(), r.canary.Version()
}

// canaryConflict returns why a command must not open a canary; "" if it may. There is one canary at a
// time, as relays route to one only.
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

// rejectionAnswer returns the answer to a command that is rejected before it reaches a part.
func rejectionAnswer(reason string) []byte {
	text, _ := json.Marshal(map[string]string{"error": reason})
	return text
}

// notifyChanged wakes the reader of changed.
func (r *Record) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// updateItems recomputes the drift items. An item that has changed gets the current version of its
// part.
func (r *Record) updateItems() {
	ejected, draining := splitExclusions(r.rollout.Orders("").Exclusions)
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
	}{{&r.items.Ejections, drift.ItemEjections, ejected}, {&r.items.Drains, drift.ItemDrains, draining}, {&r.items.Permits, drift.ItemPermits, permits}} {
		if d := digestOf(i.names); d != i.item.Digest {
			*i.item = drift.Item{Name: i.name, Version: r.rollout.Version(), Digest: d}
		}
	}
	if v := r.canary.Version(); v != r.items.CanaryWeights.Version {
		text, _ := json.Marshal(r.canary.Canaries())
		r.items.CanaryWeights = drift.Item{Name: drift.ItemCanaryWeights, Version: v, Digest: digestOf([]string{string(text)})}
	}
}

// splitExclusions returns the names of ejected members and of draining members, each sorted.
func splitExclusions(exclusions map[string]rollout.Exclusion) (ejected, draining []string) {
	for name, e := range exclusions {
		if e.Reason == rollout.ExcludedByEjection {
			ejected = append(ejected, name)
		} else {
			draining = append(draining, name)
		}
	}
	slices.Sort(ejected)
	slices.Sort(draining)
	return ejected, draining
}

// digestOf returns a digest of a list of names. Only the empty list has the digest 0, so that a relay
// that has applied nothing matches a record with nothing to apply.
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

// Snapshot implements consensus.Machine.
func (r *Record) Snapshot() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	intentState, _ := json.Marshal(r.intent)
	text, _ := json.Marshal(recordSnapshot{r.items, r.rollout.Encode(), r.canary.Encode(), intentState})
	return text
}

// Restore implements consensus.Machine. A snapshot that cannot be decoded changes nothing.
func (r *Record) Restore(_ uint64, text []byte) error {
	var s recordSnapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	rolloutState, err := rollout.Decode(s.Rollout)
	if err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	canaryState, err := canary.DecodeState(s.Canary)
	if err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	intentState, err := decodeIntent(s.Intent)
	if err != nil {
		return fmt.Errorf("restore record: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items, r.rollout, r.canary, r.intent = s.Items, rolloutState, canaryState, intentState
	// Snapshots of earlier versions lack these two items.
	r.items.Permits.Name, r.items.CanaryWeights.Name = drift.ItemPermits, drift.ItemCanaryWeights
	r.updateItems()
	r.changes++
	r.notifyChanged()
	return nil
}

// read calls f with the record locked for reading. F must not retain its arguments.
func (r *Record) read(f func(*rollout.State, recordItems)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.rollout, r.items)
}
