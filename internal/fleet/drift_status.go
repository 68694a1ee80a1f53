package fleet

import (
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
)

// driftStatus is the body of GET /-/drift.
type driftStatus struct {
	Findings    []driftFinding     `json:"rows"`
	BlockReason string             `json:"blocks,omitempty"` // drift that holds up all releases but those that repair it
	LagBounds   map[string]int64   `json:"bounds_ms"`        // by group: how long a new version may take until it is applied
	Quarantined []quarantinedRelay `json:"shut"`
	Counts      drift.Counts       `json:"counts"`
}

type driftFinding struct {
	Relay           string   `json:"relay"`
	Item            string   `json:"item,omitempty"` // none: the relay does not report
	State           string   `json:"state"`
	SinceMS         int64    `json:"since_ms"`            // how long it has been in that state
	BehindMS        int64    `json:"behind_ms,omitempty"` // how long it has not been in sync
	IntendedVersion uint64   `json:"intent"`
	AppliedVersion  uint64   `json:"applied"`
	Intended        string   `json:"meant,omitempty"` // value of a program or section
	Running         string   `json:"runs,omitempty"`
	Reason          string   `json:"why,omitempty"`
	Evidence        []string `json:"evidence,omitempty"`
}

type quarantinedRelay struct {
	Relay        string `json:"relay"`
	Reason       string `json:"why"`
	SinceMS      int64  `json:"since_ms"`
	Acknowledged bool   `json:"heeds"` // the relay reports that it follows the order
}

func (c *controller) driftStatus(now int64) driftStatus {
	c.refresh()
	status := driftStatus{Findings: []driftFinding{}, BlockReason: c.blockReason, LagBounds: map[string]int64{}, Quarantined: []quarantinedRelay{},
		Counts: c.driftMonitor.Counts()}
	for _, f := range c.driftMonitor.Findings() {
		finding := driftFinding{Relay: f.Relay, Item: f.Agreed.Name, State: f.State.String(), SinceMS: now - f.Since, IntendedVersion: f.Agreed.Version,
			AppliedVersion: f.Applied.Version, Reason: f.Reason, Evidence: f.Evidence}
		if f.OutOfSyncSince > 0 {
			finding.BehindMS = now - f.OutOfSyncSince
		}
		if relay := c.fleet.relays[f.Relay]; relay != nil && f.Agreed.Name != "" {
			finding.Intended, finding.Running = c.itemValues(f.Relay, f.Agreed.Name, relay)
		}
		status.Findings = append(status.Findings, finding)
	}
	for _, group := range []string{drift.ItemProgram, drift.ItemConfig, drift.ItemEndpointList, drift.ItemEjections, drift.ItemDrains, drift.ItemCanaryWeights,
		drift.ItemVoters, drift.ItemPermits} {
		status.LagBounds[group] = c.driftMonitor.LagBound(group)
	}
	for _, name := range slices.Sorted(maps.Keys(c.quarantined)) {
		q, relay := c.quarantined[name], c.fleet.relays[name]
		status.Quarantined = append(status.Quarantined, quarantinedRelay{name, q.Reason, now - q.Since, relay != nil && relay.QuarantineOrder == q.Number})
	}
	return status
}

// itemValues are the expected value of an item and the one that a relay reports; "" unless it is the program or a section.
func (c *controller) itemValues(relay, item string, status *relayStatus) (expected, running string) {
	switch drift.GroupOf(item) {
	case drift.ItemProgram:
		return c.expectedProgram(relay, status), status.Program
	case drift.ItemConfig:
		return c.expectedConfig(relay, status)[item], status.ConfigSections[strings.TrimPrefix(item, drift.ItemConfig+".")]
	}
	return "", ""
}
