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

// Limits of intent.
const (
	maxIntentItems  = 48 // includes the configuration sections; leaves room for a relay's other drift items
	maxFormerValues = 3  // stored per item, to recognize a relay that went back to one of them

	maxIntentValue = rollout.MaxNameBytes // bytes
)

// intent is what relays should run where no order says otherwise: the program, and the configuration
// by section. It is one of the parts of the record. The record's intent is never modified, as readers
// use it without a lock: a command replaces it by a new one.
type intent struct {
	Version uint64 `json:"version"` // version of the last change
	// Items has the values for all relays, by item; the newest value comes first.
	Items map[string][]intendedValue `json:"items,omitempty"`
	// PerRelay has the values for single relays, by relay and item. A release of some relays sets them.
	PerRelay map[string]map[string]intendedValue `json:"of,omitempty"`
	// Adopted has, by name, the completed releases whose values intent has adopted.
	Adopted map[string]adoptedRelease `json:"releases,omitempty"`
}

// intendedValue is the value of an item, with the version and time of the change that set it.
type intendedValue struct {
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	At      int64  `json:"at"`
	By      string `json:"by"`
}

// adoptedRelease is the data that is needed to undo the adoption of a release.
type adoptedRelease struct {
	OpenedAt int64             `json:"opened"`           // distinguishes releases of the same name
	Previous map[string]string `json:"before,omitempty"` // intent for all relays before the adoption
}

// adoptAction is the only action of an intentCommand.
const adoptAction = "adopt"

// intentCommand changes intent. If Release is set, intent follows that release, which is completed or
// rolled back. If Operator is set, the command is an operator's. If neither is set, the command is
// the controller's and, unless Uniform is set, changes only items without intent, so that a late
// command changes nothing.
type intentCommand struct {
	Action     string            `json:"do"`
	Items      map[string]string `json:"items,omitempty"`
	ReplaceAll bool              `json:"whole,omitempty"` // removes the intent of sections that Items does not name
	Release    string            `json:"release,omitempty"`
	Operator   string            `json:"who,omitempty"`
	// Uniform is set if the intent of single relays has become the same for all relays. The command is
	// then rejected unless intent has the version BaseVersion.
	Uniform     bool   `json:"even,omitempty"`
	BaseVersion uint64 `json:"base,omitempty"`
}

// checkIntentItem returns why an item cannot have intent, or cannot have this value; "" if it can. The
// reason is sent as the answer to a command, so the texts must not change; the first one means that
// the name is neither the program nor a configuration section, or is too long.
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

// apply returns the intent after a command, and the answer to the command. A rejected command returns
// n unchanged.
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
	// "meant" is sent to the caller: the command is applied; the number is the version of the intent.
	return edit.intent, rollout.Result{State: "meant", Number: edit.Version}
}

// check returns why a command is malformed; "" if it is valid.
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

// clone copies an intent, without the adopted releases that are no longer in the record.
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

// releaseAdoption reports whether intent has adopted the values of a release, and whether that is
// settled: a completed release is adopted, a rolled back one is not.
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

// valueFor returns the intended value of an item at a relay; false if it has none.
func (n *intent) valueFor(relay, name string) (intendedValue, bool) {
	if value, ok := n.PerRelay[relay][name]; ok {
		return value, true
	}
	if values := n.Items[name]; len(values) > 0 {
		return values[0], true
	}
	return intendedValue{}, false
}

// itemNames returns the sorted names of all items that have intent at a relay.
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

// driftItem returns the drift item of a value that a relay runs. A former intended value has its former
// version. A value that was never intended has the current version, so that it does not count as an
// outdated one. A relay and the leader compute the same item.
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

// errIntentBounds reports a decoded intent that exceeds a limit, or has an item without a value. Its text
// is part of the error that Record.Restore returns.
var errIntentBounds = errors.New("intent: a state beyond its bounds")

// decodeIntent decodes the intent of a snapshot. A snapshot of an earlier version has none.
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
