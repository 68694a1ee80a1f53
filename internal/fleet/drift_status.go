package fleet

import (
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
)

// driftStatus is what operators are shown of drift: who, what, since when, why; the bound in force; who is shut.
type driftStatus struct {
	Rows        []driftRow         `json:"rows"`
	BlockReason string             `json:"blocks,omitempty"` // reason no release steps on but those that mend it
	Bounds      map[string]int64   `json:"bounds_ms"`        // how long a version may be on its way, by group
	Quarantined []quarantinedRelay `json:"shut"`
	Counts      drift.Counts       `json:"counts"`
}

type driftRow struct {
	Relay    string   `json:"relay"`
	Item     string   `json:"item,omitempty"` // none: it is not heard
	State    string   `json:"state"`
	Since    int64    `json:"since_ms"`
	Behind   int64    `json:"behind_ms,omitempty"` // not in step for so long
	Intent   uint64   `json:"intent"`
	Applied  uint64   `json:"applied"`
	Intended string   `json:"meant,omitempty"` // of program and configuration, in words
	Running  string   `json:"runs,omitempty"`
	Why      string   `json:"why,omitempty"`
	Evidence []string `json:"evidence,omitempty"`
}

type quarantinedRelay struct {
	Relay        string `json:"relay"`
	Why          string `json:"why"`
	Since        int64  `json:"since_ms"`
	Acknowledged bool   `json:"heeds"` // it says that it goes by that order
}

func (h *controller) driftStatus(now int64) driftStatus {
	h.refresh()
	p := driftStatus{Rows: []driftRow{}, BlockReason: h.blockReason, Bounds: map[string]int64{}, Quarantined: []quarantinedRelay{}, Counts: h.driftWatch.Counts()}
	for _, r := range h.driftWatch.Findings() {
		row := driftRow{Relay: r.Relay, Item: r.Agreed.Name, State: r.State.String(), Since: now - r.Since, Intent: r.Agreed.Version,
			Applied: r.Applied.Version, Why: r.Reason, Evidence: r.Evidence}
		if r.OutOfSyncSince > 0 {
			row.Behind = now - r.OutOfSyncSince
		}
		if x := h.fleet.relays[r.Relay]; x != nil && r.Agreed.Name != "" {
			row.Intended, row.Running = h.describeItem(r.Relay, r.Agreed.Name, x)
		}
		p.Rows = append(p.Rows, row)
	}
	for _, group := range []string{drift.ItemProgram, drift.ItemConfig, drift.ItemEndpointList, drift.ItemEjections, drift.ItemDrains, drift.ItemCanaryWeights, drift.ItemVoters, drift.ItemPermits} {
		p.Bounds[group] = h.driftWatch.LagBound(group)
	}
	for _, name := range slices.Sorted(maps.Keys(h.quarantined)) {
		x, w := h.quarantined[name], h.fleet.relays[name]
		p.Quarantined = append(p.Quarantined, quarantinedRelay{name, x.Reason, now - x.Since, w != nil && w.QuarantineOrder == x.Number})
	}
	return p
}

// maxRelays are what is meant of program or a section, and what the relay said.
func (h *controller) describeItem(relay, item string, x *relayStatus) (meant, runs string) {
	switch drift.GroupOf(item) {
	case drift.ItemProgram:
		return h.expectedProgram(relay, x), x.Program
	case drift.ItemConfig:
		return h.expectedConfig(relay, x)[item], x.ConfigSections[strings.TrimPrefix(item, drift.ItemConfig+".")]
	}
	return "", ""
}
