package fleet

import (
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
)

// driftPage is what operators are shown of drift: who, what, since when, why; the bound in force; who is shut.
type driftPage struct {
	Rows   []driftRow       `json:"rows"`
	Blocks string           `json:"blocks,omitempty"` // why no release steps on but those that mend it
	Bounds map[string]int64 `json:"bounds_ms"`        // how long a version may be on its way, by group
	Shut   []driftShut      `json:"shut"`
	Counts drift.Counts     `json:"counts"`
}

type driftRow struct {
	Relay    string   `json:"relay"`
	Item     string   `json:"item,omitempty"` // none: it is not heard
	State    string   `json:"state"`
	Since    int64    `json:"since_ms"`
	Behind   int64    `json:"behind_ms,omitempty"` // not in step for so long
	Intent   uint64   `json:"intent"`
	Applied  uint64   `json:"applied"`
	Meant    string   `json:"meant,omitempty"` // of program and configuration, in words
	Runs     string   `json:"runs,omitempty"`
	Why      string   `json:"why,omitempty"`
	Evidence []string `json:"evidence,omitempty"`
}

type driftShut struct {
	Relay string `json:"relay"`
	Why   string `json:"why"`
	Since int64  `json:"since_ms"`
	Heeds bool   `json:"heeds"` // it says that it goes by that order
}

func (h *helm) page(now int64) driftPage {
	h.read()
	p := driftPage{Rows: []driftRow{}, Blocks: h.blocks, Bounds: map[string]int64{}, Shut: []driftShut{}, Counts: h.watch.Counts()}
	for _, r := range h.watch.Rows() {
		row := driftRow{Relay: r.Relay, Item: r.Intent.Name, State: r.State.String(), Since: now - r.Since, Intent: r.Intent.Version,
			Applied: r.Applied.Version, Why: r.Why, Evidence: r.Evidence}
		if r.Behind > 0 {
			row.Behind = now - r.Behind
		}
		if x := h.scene.words[r.Relay]; x != nil && r.Intent.Name != "" {
			row.Meant, row.Runs = h.words(r.Relay, r.Intent.Name, x)
		}
		p.Rows = append(p.Rows, row)
	}
	for _, group := range []string{drift.Program, drift.Config, drift.List, drift.Bans, drift.Drains, drift.Weights, drift.Voters, drift.Permits} {
		p.Bounds[group] = h.watch.Bound(group)
	}
	for _, name := range slices.Sorted(maps.Keys(h.shuts)) {
		x, w := h.shuts[name], h.scene.words[name]
		p.Shut = append(p.Shut, driftShut{name, x.Reason, now - x.Since, w != nil && w.Shut == x.Number})
	}
	return p
}

// words are what is meant of program or a section, and what the relay said.
func (h *helm) words(relay, item string, x *heard) (meant, runs string) {
	switch drift.GroupOf(item) {
	case drift.Program:
		return h.program(relay, x), x.Program
	case drift.Config:
		return h.config(relay, x)[item], x.Sections[strings.TrimPrefix(item, drift.Config+".")]
	}
	return "", ""
}
