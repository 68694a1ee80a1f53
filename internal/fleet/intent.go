package fleet

import (
	"cmp"
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
	meantMost   = 48 // items, the sections of a configuration among them: the others that a relay tells fit beside them
	formerMost  = 3  // values before the one of now, by which a relay that went back is told apart
	meaningMost = rollout.MaxNameBytes
)

// intent is what is meant of the things that relays run and no order says: program, and configuration by section. Decisions alone; it is
// the third part of the record. One that was handed out never changes: a command makes another one.
type intent struct {
	Version uint64                              `json:"version"`            // of the last change
	Items   map[string][]intendedValue          `json:"items,omitempty"`    // of all relays; newest first
	Of      map[string]map[string]intendedValue `json:"of,omitempty"`       // of single relays, by a release of a part of them
	Ended   map[string]ended                    `json:"releases,omitempty"` // what ended releases have changed it by, by name
}

// intendedValue is the value of an item, and since when it holds. Its version rises with every change of any item.
type intendedValue struct {
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
	By      string `json:"by"`
}

type ended struct {
	Opened int64             `json:"opened"`           // a name may be used again
	Before map[string]string `json:"before,omitempty"` // what was meant of all relays
}

// meaning is a command. Adopt without Who or Release is the pilot's for items that nobody agreed on: what is agreed stays, so one that comes late
// changes nothing. With Release it follows one that has ended, or is back; with Who it is an operator's.
type meaning struct {
	Do      string            `json:"do"`
	Items   map[string]string `json:"items,omitempty"`
	Whole   bool              `json:"whole,omitempty"` // sections that are not named are meant no more
	Release string            `json:"release,omitempty"`
	Who     string            `json:"who,omitempty"`
	Even    bool              `json:"even,omitempty"` // all relays have come to mean the same: it is meant of all, if Base is the version still
	Base    uint64            `json:"base,omitempty"`
}

func meanable(name, value string) string {
	section, ok := strings.CutPrefix(name, drift.Config+".")
	switch {
	case name != drift.Program && (!ok || section == "") || len(name) > drift.NameMost:
		return fmt.Sprintf("%.40q is no item that is meant", name)
	case value == "" || len(value) > meaningMost:
		return fmt.Sprintf("%s: no value, or one of over %d bytes", name, meaningMost)
	}
	return ""
}

// apply is the state after a command; an error changes nothing.
func (n *intent) apply(at int64, by string, body []byte, ro *rollout.State) (*intent, rollout.Result) {
	refuse := func(format string, args ...any) (*intent, rollout.Result) {
		return n, rollout.Result{Error: fmt.Sprintf(format, args...)}
	}
	var c meaning
	if err := json.Unmarshal(body, &c); err != nil {
		return refuse("no command: %v", err)
	}
	if c.Do != "adopt" {
		return refuse("no such command: %.40q", c.Do)
	}
	if len(c.Items) > meantMost {
		return refuse("over %d items", meantMost)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Items)) {
		if why := meanable(name, c.Items[name]); why != "" {
			return refuse("%s", why)
		}
	}
	if len(by) > rollout.MaxNameBytes {
		by = by[:rollout.MaxNameBytes]
	}
	x := &intent{Version: n.Version, Items: maps.Clone(n.Items), Of: map[string]map[string]intendedValue{}, Ended: map[string]ended{}}
	if x.Items == nil {
		x.Items = map[string][]intendedValue{}
	}
	for relay, of := range n.Of {
		x.Of[relay] = maps.Clone(of)
	}
	for name, e := range n.Ended { // of those that the record still knows
		if a, ok := ro.Release(name); ok && a.OpenedAt == e.Opened {
			x.Ended[name] = e
		}
	}
	e := edit{x, at, by, n.Version + 1}
	why := ""
	switch {
	case c.Release != "":
		why = e.release(&c, ro)
	case c.Even:
		if c.Base != n.Version {
			return refuse("it was reckoned from version %d, this is %d", c.Base, n.Version)
		}
		e.all(c.Items, true)
	case c.Who != "":
		e.by = c.Who[:min(len(c.Who), rollout.MaxNameBytes)]
		if c.Whole {
			e.drop(c.Items)
		}
		e.all(c.Items, true)
	default:
		e.all(c.Items, false)
	}
	switch {
	case why != "":
		return refuse("%s", why)
	case len(x.Items) > meantMost || len(x.Of) > drift.RelaysMost:
		return refuse("over %d items, or %d relays", meantMost, drift.RelaysMost)
	}
	return x, rollout.Result{State: "meant", Number: x.Version}
}

// edit is one command's change.
type edit struct {
	*intent
	at   int64
	by   string
	next uint64
}

// all means values of all relays. Without over, what is meant already stays.
func (e *edit) all(items map[string]string, over bool) {
	for name, value := range items {
		list := e.Items[name]
		if len(list) > 0 && !over {
			continue
		}
		for relay, of := range e.Of {
			if _, ok := of[name]; ok {
				e.Version = e.next
			}
			if delete(of, name); len(of) == 0 {
				delete(e.Of, relay)
			}
		}
		if len(list) > 0 && list[0].Value == value {
			continue
		}
		e.Version = e.next
		list = append([]intendedValue{{value, e.next, e.at, e.by}}, list...)
		e.Items[name] = list[:min(len(list), 1+formerMost)]
	}
}

// drop means no more the sections that are not named.
func (e *edit) drop(but map[string]string) {
	gone := func(name string) bool { return but[name] == "" && name != drift.Program }
	for name := range e.Items {
		if gone(name) {
			delete(e.Items, name)
			e.Version = e.next
		}
	}
	for relay, of := range e.Of {
		maps.DeleteFunc(of, func(name string, _ intendedValue) bool { return gone(name) })
		if len(of) == 0 {
			delete(e.Of, relay)
		}
	}
}

// one means a value of one relay, if it is not meant of it already.
func (e *edit) one(relay, name, value string) {
	if m, ok := e.meant(relay, name); ok && m.Value == value {
		return
	}
	e.Version = e.next
	if e.Of[relay] == nil {
		e.Of[relay] = map[string]intendedValue{}
	}
	e.Of[relay][name] = intendedValue{value, e.next, e.at, e.by}
}

// release follows a release of relays that is over: the new program is what it named, the sections are what the pilot heard of those that run its
// configuration. One that is back means again what was meant before.
func (e *edit) release(c *meaning, ro *rollout.State) string {
	a, ok := ro.Release(c.Release)
	was, taken := e.Ended[c.Release]
	items := map[string]string{}
	if a.Spec.Program != "" {
		items[drift.Program] = a.Spec.Program
	}
	if a.Spec.Config != "" {
		for name, value := range c.Items {
			if name != drift.Program {
				items[name] = value
			}
		}
	}
	switch {
	case !ok || a.Spec.Kind != rollout.KindRelay || a.Spec.Program+a.Spec.Config == "":
		return "no release of a program or a configuration: " + c.Release
	case a.State == rollout.ReleaseCompleted && !taken:
		before := map[string]string{}
		for name, list := range e.Items {
			if name == drift.Program && a.Spec.Program != "" || name != drift.Program && a.Spec.Config != "" {
				before[name] = list[0].Value
			}
		}
		e.Ended[c.Release] = ended{a.OpenedAt, before}
		if a.Spec.All {
			if slices.ContainsFunc(slices.Collect(maps.Keys(items)), func(n string) bool { return n != drift.Program }) {
				e.drop(items)
			}
			e.all(items, true)
			return ""
		}
		for _, u := range a.Units {
			for name, value := range items {
				if u.Updated {
					e.one(u.Name, name, value)
				}
			}
		}
	case a.State == rollout.ReleaseRolledBack && taken:
		delete(e.Ended, c.Release)
		if a.Spec.All {
			if a.Spec.Config != "" {
				e.drop(was.Before)
			}
			e.all(was.Before, true)
			return ""
		}
		for _, u := range a.Units {
			if of := e.Of[u.Name]; of != nil && !u.Updated {
				for name := range of {
					if name == drift.Program && a.Spec.Program != "" || name != drift.Program && a.Spec.Config != "" {
						delete(of, name)
						e.Version = e.next
					}
				}
				if len(of) == 0 {
					delete(e.Of, u.Name)
				}
			}
			if a.Spec.Program != "" && u.PreviousProgram != "" && !u.Updated {
				e.one(u.Name, drift.Program, u.PreviousProgram)
			}
		}
	default:
		return fmt.Sprintf("release %q is %s, nothing follows from it now", c.Release, cmp.Or(a.State, "not there"))
	}
	return ""
}

// follows says whether what a release changed is meant as it stands: one that is over is still to be told of if not.
func (n *intent) follows(a *rollout.ReleaseStatus) (taken, settled bool) {
	e, ok := n.Ended[a.Name]
	taken = ok && e.Opened == a.OpenedAt
	switch a.State {
	case rollout.ReleaseCompleted:
		return taken, taken
	case rollout.ReleaseRolledBack:
		return taken, !taken
	}
	return taken, false
}

// meant is what is meant of an item at a relay.
func (n *intent) meant(relay, name string) (intendedValue, bool) {
	if m, ok := n.Of[relay][name]; ok {
		return m, true
	}
	if list := n.Items[name]; len(list) > 0 {
		return list[0], true
	}
	return intendedValue{}, false
}

// names are all items that are meant of a relay, in order.
func (n *intent) names(relay string) []string {
	all := slices.Collect(maps.Keys(n.Items))
	for name := range n.Of[relay] {
		if len(n.Items[name]) == 0 {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// item is a value of a relay's as the drift module takes it: one that was meant before has its version of then, one that never was has the version of
// now, so that it is told apart from an old one. Relays and the leader come to the same.
func (n *intent) item(relay, name, value string) drift.Item {
	it := drift.Item{Name: name, Digest: digestOf([]string{value})}
	m, ok := n.meant(relay, name)
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
	if len(n.Items) > meantMost || len(n.Of) > drift.RelaysMost || len(n.Ended) > rollout.MaxReleases {
		return nil, fmt.Errorf("intent: a state beyond its bounds")
	}
	for _, list := range n.Items {
		if len(list) == 0 || len(list) > 1+formerMost {
			return nil, fmt.Errorf("intent: a state beyond its bounds")
		}
	}
	return n, nil
}
