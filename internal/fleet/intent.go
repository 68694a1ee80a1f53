package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// Bounds of what is meant.
const (
	maxIntentItems  = 48 // items, the sections of a configuration among them: the others that a relay tells fit beside them
	maxFormerValues = 3  // values before the one of now, by which a relay that went back is told apart
	maxIntentValue  = rollout.MaxNameBytes
)

// intent is what is meant of the things that relays run and no order says: program, and configuration by section. Decisions alone; it is
// the third part of the record. One that was handed out never changes: a command makes another one.
type intent struct {
	Version  uint64                              `json:"version"`            // of the last change
	Items    map[string][]intendedValue          `json:"items,omitempty"`    // of all relays; newest first
	PerRelay map[string]map[string]intendedValue `json:"of,omitempty"`       // of single relays, by a release of a part of them
	Adopted  map[string]adoptedRelease           `json:"releases,omitempty"` // what ended releases have changed it by, by name
}

// intendedValue is the value of an item, and since when it holds. Its version rises with every change of any item.
type intendedValue struct {
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
	By      string `json:"by"`
}

type adoptedRelease struct {
	OpenedAt int64             `json:"opened"`           // a name may be used again
	Previous map[string]string `json:"before,omitempty"` // what was meant of all relays
}

// intentCommand is a command. Adopt without Who or Release is the pilot's for items that nobody agreed on: what is agreed stays, so one that comes late
// changes nothing. With Release it follows one that has ended, or is back; with Who it is an operator's.
type intentCommand struct {
	Action      string            `json:"do"`
	Items       map[string]string `json:"items,omitempty"`
	ReplaceAll  bool              `json:"whole,omitempty"` // sections that are not named are meant no more
	Release     string            `json:"release,omitempty"`
	Operator    string            `json:"who,omitempty"`
	Uniform     bool              `json:"even,omitempty"` // setAll relays have come to mean the same: it is meant of all, if Base is the version still
	BaseVersion uint64            `json:"base,omitempty"`
}

func checkIntentItem(name, value string) string {
	section, ok := strings.CutPrefix(name, drift.ItemConfig+".")
	switch {
	case name != drift.ItemProgram && (!ok || section == "") || len(name) > drift.MaxNameBytes:
		return fmt.Sprintf("%.40q is no item that is meant", name)
	case value == "" || len(value) > maxIntentValue:
		return fmt.Sprintf("%s: no value, or one of over %d bytes", name, maxIntentValue)
	}
	return ""
}

// apply is the state after a command; an error changes nothing.
func (n *intent) apply(at int64, by string, body []byte, ro *rollout.State) (*intent, rollout.Result) {
	refuse := func(format string, args ...any) (*intent, rollout.Result) {
		return n, rollout.Result{Error: fmt.Sprintf(format, args...)}
	}
	var c intentCommand
	if err := json.Unmarshal(body, &c); err != nil {
		return refuse("no command: %v", err)
	}
	if c.Action != "adopt" {
		return refuse("no such command: %.40q", c.Action)
	}
	if len(c.Items) > maxIntentItems {
		return refuse("over %d items", maxIntentItems)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Items)) {
		if why := checkIntentItem(name, c.Items[name]); why != "" {
			return refuse("%s", why)
		}
	}
	if len(by) > rollout.MaxNameBytes {
		by = by[:rollout.MaxNameBytes]
	}
	x := &intent{Version: n.Version, Items: maps.Clone(n.Items), PerRelay: map[string]map[string]intendedValue{}, Adopted: map[string]adoptedRelease{}}
	if x.Items == nil {
		x.Items = map[string][]intendedValue{}
	}
	for relay, of := range n.PerRelay {
		x.PerRelay[relay] = maps.Clone(of)
	}
	for name, e := range n.Adopted { // of those that the record still knows
		if a, ok := ro.Release(name); ok && a.OpenedAt == e.OpenedAt {
			x.Adopted[name] = e
		}
	}
	e := intentEdit{x, at, by, n.Version + 1}
	why := ""
	switch {
	case c.Release != "":
		why = e.followRelease(&c, ro)
	case c.Uniform:
		if c.BaseVersion != n.Version {
			return refuse("it was reckoned from version %d, this is %d", c.BaseVersion, n.Version)
		}
		e.setAll(c.Items, true)
	case c.Operator != "":
		e.by = c.Operator[:min(len(c.Operator), rollout.MaxNameBytes)]
		if c.ReplaceAll {
			e.dropSectionsExcept(c.Items)
		}
		e.setAll(c.Items, true)
	default:
		e.setAll(c.Items, false)
	}
	switch {
	case why != "":
		return refuse("%s", why)
	case len(x.Items) > maxIntentItems || len(x.PerRelay) > drift.MaxRelays:
		return refuse("over %d items, or %d relays", maxIntentItems, drift.MaxRelays)
	}
	return x, rollout.Result{State: "meant", Number: x.Version}
}

// releaseAdoption says whether what a release changed is meant as it stands: one that is over is still to be told of if not.
func (n *intent) releaseAdoption(a *rollout.ReleaseStatus) (taken, settled bool) {
	e, ok := n.Adopted[a.Name]
	taken = ok && e.OpenedAt == a.OpenedAt
	switch a.State {
	case rollout.ReleaseCompleted:
		return taken, taken
	case rollout.ReleaseRolledBack:
		return taken, !taken
	}
	return taken, false
}

// valueFor is what is meant of an item at a relay.
func (n *intent) valueFor(relay, name string) (intendedValue, bool) {
	if m, ok := n.PerRelay[relay][name]; ok {
		return m, true
	}
	if list := n.Items[name]; len(list) > 0 {
		return list[0], true
	}
	return intendedValue{}, false
}

// itemNames are all items that are meant of a relay, in order.
func (n *intent) itemNames(relay string) []string {
	all := slices.Collect(maps.Keys(n.Items))
	for name := range n.PerRelay[relay] {
		if len(n.Items[name]) == 0 {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// driftItem is a value of a relay's as the drift module takes it: one that was meant before has its version of then, one that never was has the version of
// now, so that it is told apart from an old one. Relays and the leader come to the same.
func (n *intent) driftItem(relay, name, value string) drift.Item {
	it := drift.Item{Name: name, Digest: digestOf([]string{value})}
	m, ok := n.valueFor(relay, name)
	it.Version = m.Version
	if ok && m.Value == value {
		return it
	}
	for _, old := range n.Items[name] {
		if old.Value == value {
			it.Version = old.Version
			break
		}
	}
	return it
}

func decodeIntent(text []byte) (*intent, error) {
	n := &intent{}
	if len(text) == 0 {
		return n, nil // a snapshot of before there was this part
	}
	if err := json.Unmarshal(text, n); err != nil {
		return nil, fmt.Errorf("intent: %w", err)
	}
	if len(n.Items) > maxIntentItems || len(n.PerRelay) > drift.MaxRelays || len(n.Adopted) > rollout.MaxReleases {
		return nil, fmt.Errorf("intent: a state beyond its bounds")
	}
	for _, list := range n.Items {
		if len(list) == 0 || len(list) > 1+maxFormerValues {
			return nil, fmt.Errorf("intent: a state beyond its bounds")
		}
	}
	return n, nil
}
