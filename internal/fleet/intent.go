package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// Bounds of intent.
const (
	maxIntentItems  = 48 // sections of a configuration among them; a relay's other reported items fit beside them
	maxFormerValues = 3  // kept per item, to recognize a relay that went back to one of them
	maxIntentValue  = rollout.MaxNameBytes
)

// intent is what relays are meant to run where no order says so: the program, and the configuration by section. It is one of the record's
// parts. An intent that was handed out is never modified: a command makes a new one.
type intent struct {
	Version  uint64                              `json:"version"`            // of the last change
	Items    map[string][]intendedValue          `json:"items,omitempty"`    // of all relays; newest value first
	PerRelay map[string]map[string]intendedValue `json:"of,omitempty"`       // of single relays, after a release of some of them
	Adopted  map[string]adoptedRelease           `json:"releases,omitempty"` // completed releases that intent follows, by name
}

// intendedValue is the value of an item, with the version and time of the change that set it.
type intendedValue struct {
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
	By      string `json:"by"`
}

// adoptedRelease is what is needed to undo the adoption of a release.
type adoptedRelease struct {
	OpenedAt int64             `json:"opened"`           // tells releases of the same name apart
	Previous map[string]string `json:"before,omitempty"` // intent for all relays before it
}

// adoptAction is the one action of an intentCommand.
const adoptAction = "adopt"

// intentCommand changes intent. With Release it follows a release that is completed or rolled back; with Operator it is an operator's; with
// neither it is the controller's, and sets only items without intent, so that a late one changes nothing.
type intentCommand struct {
	Action      string            `json:"do"`
	Items       map[string]string `json:"items,omitempty"`
	ReplaceAll  bool              `json:"whole,omitempty"` // sections that Items does not name lose their intent
	Release     string            `json:"release,omitempty"`
	Operator    string            `json:"who,omitempty"`
	Uniform     bool              `json:"even,omitempty"` // the intent of all known relays has become the same; applies only to BaseVersion
	BaseVersion uint64            `json:"base,omitempty"`
}

// checkIntentItem is why an item cannot have intent, or not that value; "" if it can.
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

// apply returns the intent after a command. A rejected command changes nothing.
func (n *intent) apply(at int64, by string, body []byte, releases *rollout.State) (*intent, rollout.Result) {
	var c intentCommand
	if err := json.Unmarshal(body, &c); err != nil {
		return n, rollout.Result{Error: fmt.Sprintf("no command: %v", err)}
	}
	if reason := c.check(); reason != "" {
		return n, rollout.Result{Error: reason}
	}
	edit := intentEdit{intent: n.clone(releases), at: at, by: by[:min(len(by), rollout.MaxNameBytes)], nextVersion: n.Version + 1}
	if reason := edit.apply(&c, releases); reason != "" {
		return n, rollout.Result{Error: reason}
	}
	if len(edit.Items) > maxIntentItems || len(edit.PerRelay) > drift.MaxRelays {
		return n, rollout.Result{Error: fmt.Sprintf("over %d items, or %d relays", maxIntentItems, drift.MaxRelays)}
	}
	return edit.intent, rollout.Result{State: "meant", Number: edit.Version}
}

// check is why a command is malformed; "" if it is not.
func (c *intentCommand) check() string {
	if c.Action != adoptAction {
		return fmt.Sprintf("no such command: %.40q", c.Action)
	}
	if len(c.Items) > maxIntentItems {
		return fmt.Sprintf("over %d items", maxIntentItems)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Items)) {
		if reason := checkIntentItem(name, c.Items[name]); reason != "" {
			return reason
		}
	}
	return ""
}

// clone copies an intent, without the adopted releases that the record no longer knows.
func (n *intent) clone(releases *rollout.State) *intent {
	c := &intent{Version: n.Version, Items: map[string][]intendedValue{}, PerRelay: map[string]map[string]intendedValue{}, Adopted: map[string]adoptedRelease{}}
	maps.Copy(c.Items, n.Items)
	for relay, items := range n.PerRelay {
		c.PerRelay[relay] = maps.Clone(items)
	}
	for name, adopted := range n.Adopted {
		if release, ok := releases.Release(name); ok && release.OpenedAt == adopted.OpenedAt {
			c.Adopted[name] = adopted
		}
	}
	return c
}

// releaseAdoption tells whether intent has adopted a release's values, and whether that is settled: whether it fits the release's outcome.
func (n *intent) releaseAdoption(release *rollout.ReleaseStatus) (adopted, settled bool) {
	a, ok := n.Adopted[release.Name]
	adopted = ok && a.OpenedAt == release.OpenedAt
	switch release.State {
	case rollout.ReleaseCompleted:
		return adopted, adopted
	case rollout.ReleaseRolledBack:
		return adopted, !adopted
	}
	return adopted, false
}

// valueFor is the intent of an item at a relay.
func (n *intent) valueFor(relay, name string) (intendedValue, bool) {
	if value, ok := n.PerRelay[relay][name]; ok {
		return value, true
	}
	if values := n.Items[name]; len(values) > 0 {
		return values[0], true
	}
	return intendedValue{}, false
}

// itemNames are the names of all items with intent at a relay, sorted.
func (n *intent) itemNames(relay string) []string {
	names := slices.Collect(maps.Keys(n.Items))
	for name := range n.PerRelay[relay] {
		if len(n.Items[name]) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// driftItem is the drift item of a value at a relay. A former value has its former version; a value that never was intent has the current
// version, so that it is not taken for an old one. A relay and the leader compute the same.
func (n *intent) driftItem(relay, name, value string) drift.Item {
	item := drift.Item{Name: name, Digest: digestOf([]string{value})}
	current, ok := n.valueFor(relay, name)
	item.Version = current.Version
	if ok && current.Value == value {
		return item
	}
	for _, former := range n.Items[name] {
		if former.Value == value {
			item.Version = former.Version
			break
		}
	}
	return item
}

var errIntentBounds = errors.New("intent: a state beyond its bounds")

// decodeIntent decodes the part of a snapshot; a snapshot of an earlier version has none.
func decodeIntent(text []byte) (*intent, error) {
	n := &intent{}
	if len(text) == 0 {
		return n, nil
	}
	if err := json.Unmarshal(text, n); err != nil {
		return nil, fmt.Errorf("decode intent: %w", err)
	}
	if len(n.Items) > maxIntentItems || len(n.PerRelay) > drift.MaxRelays || len(n.Adopted) > rollout.MaxReleases {
		return nil, errIntentBounds
	}
	for _, values := range n.Items {
		if len(values) == 0 || len(values) > 1+maxFormerValues {
			return nil, errIntentBounds
		}
	}
	return n, nil
}
