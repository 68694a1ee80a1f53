package fleet

import (
	"encoding/json"
	"errors"
	"slices"

	"dahliarudder/internal/drift"
)

// statusReport is what a relay reports of itself to the leader, once a second. A report may be lost: the next one repeats all of it. Counters
// start with the process.
type statusReport struct {
	Incarnation    uint64         `json:"start"`
	Zone           string         `json:"zone"`
	Phase          RelayPhase     `json:"phase"`
	Program        string         `json:"program"`
	Config         string         `json:"config"`  // digest of the configuration
	AppliedVersion uint64         `json:"follows"` // of the record
	ListGeneration uint64         `json:"list"`    // of discovery's endpoint list
	Flows          int            `json:"flows"`
	DemandMS       uint64         `json:"asked"` // as in ObservedState
	ServedMS       uint64         `json:"served"`
	Members        []memberReport `json:"members,omitempty"` // those with flows, or with attempts since the last report
	Drift          []byte         `json:"drift,omitempty"`   // an encoded drift.Report
	CanaryVersion  uint64         `json:"weighs,omitempty"`  // of the canary state that is applied
	CanaryCounts   []byte         `json:"counts,omitempty"`
	LocalEjections []string       `json:"local,omitempty"` // members that this relay's own operators have ejected

	ConfigSections  map[string]string `json:"sections,omitempty"` // digest by section
	RejectedItems   []string          `json:"refused,omitempty"`
	ReportedGroups  []string          `json:"tells,omitempty"` // groups of drift items that this relay reports
	QuarantineOrder uint64            `json:"shut,omitempty"`  // the order by which it takes no clients
	ListRestarted   bool              `json:"anew,omitempty"`  // the list's generation has fallen in this process
}

// memberReport is what a relay knows of a member. The JSON names are short, as there are many.
type memberReport struct {
	Name      string  `json:"n"`
	Flows     int     `json:"f,omitempty"`
	Capacity  float64 `json:"c,omitempty"` // in flows; 0 unknown
	Successes uint64  `json:"g,omitempty"` // of attempts and health checks
	Failures  uint64  `json:"b,omitempty"`
}

// Bounds of a report from another relay.
const (
	maxMemberReports  = 4096
	maxLocalEjections = 1024
)

var errInvalidReport = errors.New("invalid status report")

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

// valid tells whether a report is within its bounds.
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
		if m.Flows < 0 || !(m.Capacity >= 0 && m.Capacity < 1e9) { // a NaN is out of bounds too
			return false
		}
	}
	return true
}

// driftReport decodes the drift report in a status report; not ok if there is none, or none that can be decoded.
func (r *statusReport) driftReport(relay string) (report drift.Report, ok bool) {
	if len(r.Drift) == 0 {
		return drift.Report{}, false
	}
	report, err := drift.DecodeReport(r.Drift)
	report.Relay = relay // a relay can only report on itself
	return report, err == nil
}
