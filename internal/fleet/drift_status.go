package fleet

import (
	"maps"
	"slices"
	"strings"

	"dahliarudder/internal/drift"
)

// driftStatus is the body of GET /-/drift.
type driftStatus struct {
	Findings []driftFinding `json:"rows"`
	// BlockReason is the drift that blocks all releases except those that repair it.
	BlockReason string `json:"blocks,omitempty"`
	// LagBounds holds, by group, the time in which a relay has to apply a new version.
	LagBounds   map[string]int64   `json:"bounds_ms"`
	Quarantined []quarantinedRelay `json:"shut"`
	Counts      drift.Counts       `json:"counts"`
}

// driftFinding is the state of one item at one relay.
type driftFinding struct {
	Relay           string   `json:"relay"`
	Item            string   `json:"item,omitempty"` // "" if the relay does not report
	State           string   `json:"state"`
	SinceMS         int64    `json:"since_ms"`            // time in this state
	BehindMS        int64    `json:"behind_ms,omitempty"` // time since the item was last in sync
	IntendedVersion uint64   `json:"intent"`
	AppliedVersion  uint64   `json:"applied"`
	Intended        string   `json:"meant,omitempty"` // value; only for the program and configuration sections
	Running         string   `json:"runs,omitempty"`  // value; only for the program and configuration sections
	Reason          string   `json:"why,omitempty"`
	Evidence        []string `json:"evidence,omitempty"`
}

type quarantinedRelay struct {
	Relay        string `json:"relay"`
	Reason       string `json:"why"`
	SinceMS      int64  `json:"since_ms"`
	Acknowledged bool   `json:"heeds"` // the relay reports that it follows the order
}

// driftStatus returns the current findings, quarantines and limits.
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

// itemValues returns the value of an item that a relay is expected to run and the value that it
// reports. Both are "" unless the item is the program or a configuration section.
func (c *controller) itemValues(relay, item string, status *relayStatus) (expected, running string) {
	switch drift.GroupOf(item) {
	case drift.ItemProgram:
		return c.expectedProgram(relay, status), status.Program
	case drift.ItemConfig:
		return c.expectedConfig(relay, status)[item], status.ConfigSections[strings.TrimPrefix(item, drift.ItemConfig+".")]
	}
	return "", ""
}
