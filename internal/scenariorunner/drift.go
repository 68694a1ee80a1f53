package scenariorunner

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dahliarudder/internal/drift"
)

// DriftSpan is a period in which the fleet's leader reported that an item of a relay drifts.
type DriftSpan struct {
	Relay string  `json:"relay"`
	Item  string  `json:"item"`
	State string  `json:"state"`
	From  float64 `json:"from_s"`
	To    float64 `json:"to_s"`
}

const (
	maxDriftSpans = 1000
	// maxDriftGap is the longest gap, in seconds, between two reports of a drift that count as
	// one span.
	maxDriftGap = 2
)

// driftReport is the answer to GET /-/drift.
type driftReport struct {
	Name string // the leader, or the answering relay if it is not the leader
	Rows []struct{ Relay, Item, State string }
}

// watchDrift polls the leader's drift report and records the drifts. Items whose state is still
// propagating or unknown are not counted as drift.
func (r *run) watchDrift(ctx context.Context) {
	leader := r.relays[0]
	for sleep(ctx, fleetPollInterval) {
		var report driftReport
		if fleetRequest("GET", leader.fleetAddr, "/-/drift", nil, &report) != http.StatusOK {
			leader = r.relays[(leader.index+1)%len(r.relays)]
			if i := slices.IndexFunc(r.relays, func(n *relay) bool { return n.name == report.Name }); i >= 0 {
				leader = r.relays[i]
			}
			continue
		}
		r.locked(func(at time.Duration) {
			for _, row := range report.Rows {
				if row.State != drift.Propagating.String() && row.State != drift.Unknown.String() {
					r.recordDrift(at, DriftSpan{row.Relay, row.Item, row.State, at.Seconds(), at.Seconds()})
				}
			}
		})
	}
}

// recordDrift extends the current span of a drift, or begins a new one. The caller holds the lock.
func (r *run) recordDrift(at time.Duration, d DriftSpan) {
	spans := &r.unavailability.drift
	i := slices.IndexFunc(*spans, func(o DriftSpan) bool {
		return o.Relay == d.Relay && o.Item == d.Item && o.State == d.State && d.To-o.To < maxDriftGap
	})
	if i >= 0 {
		(*spans)[i].To = d.To
	} else if len(*spans) < maxDriftSpans {
		*spans = append(*spans, d)
		r.event(at, "drift: %s %s %s", d.Relay, d.Item, d.State)
	}
}
