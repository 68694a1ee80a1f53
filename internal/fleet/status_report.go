package fleet

import (
	"encoding/json"
	"errors"
	"slices"

	"dahliarudder/internal/drift"
)

// statusReport is what a relay reports of itself to the leader once a second. A report may be lost, so
// each one is complete. Counters start at zero with the process.
type statusReport struct {
	Incarnation    uint64     `json:"start"`
	Zone           string     `json:"zone"`
	Phase          RelayPhase `json:"phase"`
	Program        string     `json:"program"`
	Config         string     `json:"config"`  // digest of the configuration
	AppliedVersion uint64     `json:"follows"` // applied version of the record
	ListGeneration uint64     `json:"list"`    // generation of discovery's endpoint list
	Flows          int        `json:"flows"`
	DemandMS       uint64     `json:"asked"` // as in ObservedState
	ServedMS       uint64     `json:"served"`
	// Members are the members with flows, or with attempts since the last report.
	Members        []memberReport `json:"members,omitempty"`
	Drift          []byte         `json:"drift,omitempty"`  // an encoded drift.Report
	CanaryVersion  uint64         `json:"weighs,omitempty"` // applied version of the canary state
	CanaryCounts   []byte         `json:"counts,omitempty"`
	LocalEjections []string       `json:"local,omitempty"` // members ejected by operators at this relay only

	ConfigSections map[string]string `json:"sections,omitempty"` // digest by section
	RejectedItems  []string          `json:"refused,omitempty"`
	ReportedGroups []string          `json:"tells,omitempty"` // groups of drift items that this relay reports
	// QuarantineOrder is the number of the order by which the relay takes no clients; 0: no such order.
	QuarantineOrder uint64 `json:"shut,omitempty"`
	ListRestarted   bool   `json:"anew,omitempty"` // the list's generation has fallen during this process
}

// memberReport is a relay's report on one member. The JSON names are short because a status report
// has many of them.
type memberReport struct {
	Name      string  `json:"n"`
	Flows     int     `json:"f,omitempty"`
	Capacity  float64 `json:"c,omitempty"` // in flows; 0: unknown
	Successes uint64  `json:"g,omitempty"` // successful attempts and health checks
	Failures  uint64  `json:"b,omitempty"`
}

// Limits of a report from another relay.
const (
	maxMemberReports  = 4096
	maxLocalEjections = 1024
)

var errInvalidReport = errors.New("invalid status report")

// decodeStatusReport decodes and validates a report.
func decodeStatusReport(text []byte) (statusReport, error) {
	var r statusReport
	if err := json.Unmarshal(text, &r); err != nil {
		return statusReport{}, err
	}
	if !r.valid() {
		return statusReport{}, errInvalidReport
	}
	return r, nil
}

// valid reports whether a report is within its limits.
func (r *statusReport) valid() bool {
	if len(r.Members) > maxMemberReports || len(r.LocalEjections) > maxLocalEjections || r.Flows < 0 || len(r.ConfigSections) >= maxIntentItems ||
		len(r.RejectedItems) > maxIntentItems || len(r.ReportedGroups) > drift.MaxGroups {
		return false
	}
	for section, value := range r.ConfigSections {
		if checkIntentItem(configItem(section), value) != "" {
			return false
		}
	}
	for _, name := range slices.Concat(r.RejectedItems, r.ReportedGroups) {
		if len(name) > drift.MaxNameBytes {
			return false
		}
	}
	for _, m := range r.Members {
		if m.Flows < 0 || !(m.Capacity >= 0 && m.Capacity < 1e9) { // the negation also rejects a NaN
			return false
		}
	}
	return true
}

// driftReport decodes the drift report inside a status report. Ok is false if there is none or if it
// cannot be decoded.
func (r *statusReport) driftReport(relay string) (report drift.Report, ok bool) {
	if len(r.Drift) == 0 {
		return drift.Report{}, false
	}
	report, err := drift.DecodeReport(r.Drift)
	report.Relay = relay // a relay can only report on itself
	return report, err == nil
}
