package fleet

import (
	"encoding/json"
	"errors"
	"slices"

	"dahliarudder/internal/drift"
)

// statusReport is what a relay says of itself to the leader, once a second. It may be lost; the next one says the same. Counts are since the
// start of its process.
type statusReport struct {
	Incarnation    uint64         `json:"start"`
	Zone           string         `json:"zone"`
	Phase          string         `json:"phase"`
	Program        string         `json:"program"`
	Config         string         `json:"config"`
	AppliedVersion uint64         `json:"follows"` // the version of the record that its loop goes by
	ListGeneration uint64         `json:"list"`    // the generation of discovery's list
	Flows          int            `json:"flows"`
	DemandMS       uint64         `json:"asked"` // as in Look
	ServedMS       uint64         `json:"served"`
	Members        []memberReport `json:"members,omitempty"` // those with flows, or tried since the last word
	Drift          []byte         `json:"drift,omitempty"`
	CanaryVersion  uint64         `json:"weighs,omitempty"` // the version of the canaries that its loop goes by
	CanaryCounts   []byte         `json:"counts,omitempty"` // of a canary
	LocalEjections []string       `json:"local,omitempty"`  // what its own operators have taken out
	// What it runs of its configuration, by section; items that it refused; the groups of items of which it tells; by which order it is shut.
	ConfigSections  map[string]string `json:"sections,omitempty"`
	RejectedItems   []string          `json:"refused,omitempty"`
	ReportedGroups  []string          `json:"tells,omitempty"`
	QuarantineOrder uint64            `json:"shut,omitempty"`
	ListRestarted   bool              `json:"anew,omitempty"` // the generation of its list has fallen since it started
}

// memberReport is what a relay knows of a member. Names are short: there are many.
type memberReport struct {
	Name      string  `json:"n"`
	Flows     int     `json:"f,omitempty"`
	Capacity  float64 `json:"c,omitempty"` // in flows; 0 unknown
	Successes uint64  `json:"g,omitempty"` // attempts and probes
	Failures  uint64  `json:"b,omitempty"`
}

// Bounds of a word that another relay sent.
const (
	maxMemberReports  = 4096
	maxLocalEjections = 1024
)

var errInvalidReport = errors.New("word: not of a relay of this fleet")

func decodeStatusReport(text []byte) (statusReport, error) {
	var w statusReport
	if err := json.Unmarshal(text, &w); err != nil {
		return statusReport{}, err
	}
	if len(w.Members) > maxMemberReports || len(w.LocalEjections) > maxLocalEjections || w.Flows < 0 || len(w.ConfigSections) >= maxIntentItems || len(w.RejectedItems) > maxIntentItems ||
		len(w.ReportedGroups) > drift.MaxGroups {
		return statusReport{}, errInvalidReport
	}
	for section, value := range w.ConfigSections {
		if checkIntentItem(drift.ItemConfig+"."+section, value) != "" {
			return statusReport{}, errInvalidReport
		}
	}
	for _, name := range slices.Concat(w.RejectedItems, w.ReportedGroups) {
		if len(name) > drift.MaxNameBytes {
			return statusReport{}, errInvalidReport
		}
	}
	for _, m := range w.Members {
		if m.Flows < 0 || !(m.Capacity >= 0 && m.Capacity < 1e9) {
			return statusReport{}, errInvalidReport
		}
	}
	return w, nil
}

// driftReport reads the part that is the drift module's; one that cannot be read says nothing.
func (w statusReport) driftReport(relay string) (drift.Report, bool) {
	if len(w.Drift) == 0 {
		return drift.Report{}, false
	}
	d, err := drift.DecodeReport(w.Drift)
	d.Relay = relay // its own word alone
	return d, err == nil
}
