package settings

import (
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

const settingsText = `{"balancers":2,"zone":0,"zones":["a","b"],"tenants":[{"share":1}],"unheard-of":[1],
 "classes":[{"aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all","window-ms":5000}],
 "limits":{"probes":false,"max-attempts":3,"cancel":true},"report":{"names":["outstanding","x0"],"source":"on_probe"},
 "guarantees":{"answer-slack-ms":20,"cold-ms":9000,"cold-from":0.3,"overload-factor":3,"ask-within-ms":10000},
 "extra":{"mode":"proxy","message-aim-ms":[150],"tenant-quota-connections":[40]},"discovery":"automatic"}`

// TestDecode checks the settings that the policy gets. Unknown keys are ignored, missing ones have
// defaults.
func TestDecode(t *testing.T) {
	s, err := Decode([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	set, names := s.Policy(), s.Report.Names
	if set.Balancers != 2 || set.Zones != 2 || set.Classes[0].LatencyObjective != 400*time.Millisecond ||
		set.Classes[0].MessageLatencyObjective != 150*time.Millisecond || set.Tenants[0].Quota != 40 || set.MaxAttempts != 3 ||
		set.CanProbe || !set.CanCancel || set.Reports != policy.ReportsOnProbe || set.SlowStartMinCapacity != 0.3 || set.Subscribe {
		t.Errorf("Policy() of the decoded settings = %+v, which differs from the text", set)
	}
	if len(names) != 2 || names[1] != "x0" {
		t.Errorf("report names = %v, want [outstanding x0]", names)
	}
	if _, err := Decode([]byte(`{}`)); err != nil {
		t.Errorf("Decode({}): error %v, want none", err)
	}
	unusual, err := Decode([]byte(`{"classes":[{"effect":"odd"},{"effect":"idempotency_key","key-scope":"zone"}],
		"report":{"source":"inline"},"extra":{"mode":"pass","groups":true},"discovery":"subscribe"}`))
	if err != nil {
		t.Fatal(err)
	}
	set = unusual.Policy()
	if set.Classes[0].Idempotency != policy.NonIdempotent || set.Classes[1].Scope != policy.ScopeZone ||
		!set.PassThrough || !set.Groups || !set.Subscribe || set.Reports != policy.ReportsInline {
		t.Errorf("Policy() of the unusual settings = %+v, which differs from the text", set)
	}
	if _, err := Decode([]byte(`{"classes":7}`)); !errors.Is(err, ErrMalformed) {
		t.Errorf("Decode of malformed settings: error %v, want %v", err, ErrMalformed)
	}
}

// TestValidate checks that the operators' examples are valid, and that a setting that cannot work
// is reported as the only error when put into any of them, with its key, its value and the reason.
func TestValidate(t *testing.T) {
	for _, file := range []string{"../../deploy/nats.json", "../../deploy/few-reports.json"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for path, invalid := range map[string]any{
			"":                           nil,
			"balancers":                  0,
			"classes.0.aim-ms":           -1,
			"classes.1.aim-ms":           1e6,
			"classes.0.worth":            0,
			"classes.1.effect":           "maybe",
			"extra.message-aim-ms":       []float64{60},
			"extra.mode":                 "",
			"discovery":                  "guess",
			"guarantees.cold-from":       0,
			"guarantees.fall-ms":         -3,
			"guarantees.overload-factor": 0.5,
			"limits.max-attempts":        0,
			"limits.probes":              false,
			"prices.probe":               1.5,
			"report.names":               []string{"outstanding"},
			"tenants.0.share":            0,
			"zone":                       9,
		} {
			var example map[string]any
			if err := json.Unmarshal(text, &example); err != nil {
				t.Fatal(err)
			}
			var parent any = example["settings"]
			keys := strings.Split(path, ".")
			for _, key := range keys[:len(keys)-1] {
				if list, ok := parent.([]any); ok {
					i, _ := strconv.Atoi(key)
					parent = list[i]
				} else {
					parent = parent.(map[string]any)[key]
				}
			}
			if path != "" {
				parent.(map[string]any)[keys[len(keys)-1]] = invalid
			}
			set, _ := json.Marshal(example["settings"])
			s, err := Decode(set)
			if err != nil {
				t.Fatal(err)
			}
			problems := s.Validate()
			if path == "" && len(problems) == 0 {
				continue
			}
			key := keys[len(keys)-1]
			if path == "limits.probes" {
				key = "report.source" // which requires probes
			}
			if len(problems) != 1 || !strings.Contains(problems[0].Error(), key) || strings.HasSuffix(problems[0].Error(), ": ") {
				t.Errorf("Validate of %s with %s = %v: errors %v, want one that names %s and a reason",
					file, path, invalid, problems, key)
			}
		}
	}
}
