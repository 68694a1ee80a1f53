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

const factsText = `{"balancers":2,"zone":0,"zones":["a","b"],"tenants":[{"share":1}],"unheard-of":[1],
 "classes":[{"aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all","window-ms":5000}],
 "limits":{"probes":false,"max-attempts":3,"cancel":true},"report":{"names":["outstanding","x0"],"source":"on_probe"},
 "guarantees":{"answer-slack-ms":20,"cold-ms":9000,"cold-from":0.3,"overload-factor":3,"ask-within-ms":10000},
 "extra":{"mode":"proxy","message-aim-ms":[150],"tenant-quota-connections":[40]},"discovery":"automatic"}`

// TestSettings: what the module is told, and what happens to keys that are unknown or missing.
func TestSettings(t *testing.T) {
	s, err := Decode([]byte(factsText))
	if err != nil {
		t.Fatal(err)
	}
	set, names := s.Policy(), s.Report.Names
	if set.Balancers != 2 || set.Zones != 2 || set.Classes[0].LatencyObjective != 400*time.Millisecond ||
		set.Classes[0].MessageLatencyObjective != 150*time.Millisecond || set.Tenants[0].Quota != 40 || set.MaxAttempts != 3 ||
		set.CanProbe || !set.CanCancel || set.Reports != policy.ReportsOnProbe || set.SlowStartMinCapacity != 0.3 || set.Subscribe {
		t.Errorf("settings %+v", set)
	}
	if len(names) != 2 || names[1] != "x0" {
		t.Errorf("names %v", names)
	}
	if _, err := Decode([]byte(`{}`)); err != nil {
		t.Errorf("empty settings: %v", err)
	}
	oddText, err := Decode([]byte(`{"classes":[{"effect":"odd"},{"effect":"idempotency_key","key-scope":"zone"}],
		"report":{"source":"inline"},"extra":{"mode":"pass","groups":true},"discovery":"subscribe"}`))
	if err != nil {
		t.Fatal(err)
	}
	odd := oddText.Policy()
	if odd.Classes[0].Idempotency != policy.NonIdempotent || odd.Classes[1].Scope != policy.ScopeZone ||
		!odd.PassThrough || !odd.Groups || !odd.Subscribe || odd.Reports != policy.ReportsInline {
		t.Errorf("odd settings %+v, %v", odd, err)
	}
	if _, err := Decode([]byte(`{"classes":7}`)); !errors.Is(err, ErrMalformed) {
		t.Errorf("senseless settings: %v", err)
	}
}

// TestValidate: the operators' examples have none; a setting that cannot work is named with its value and the reason,
// alone, whichever of the examples it is put into.
func TestValidate(t *testing.T) {
	for _, file := range []string{"../../deploy/nats.json", "../../deploy/few-reports.json"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for path, bad := range map[string]any{
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
			var whole map[string]any
			if err := json.Unmarshal(text, &whole); err != nil {
				t.Fatal(err)
			}
			var at any = whole["settings"]
			keys := strings.Split(path, ".")
			for _, key := range keys[:len(keys)-1] {
				if list, ok := at.([]any); ok {
					i, _ := strconv.Atoi(key)
					at = list[i]
				} else {
					at = at.(map[string]any)[key]
				}
			}
			if path != "" {
				at.(map[string]any)[keys[len(keys)-1]] = bad
			}
			set, _ := json.Marshal(whole["settings"])
			s, err := Decode(set)
			if err != nil {
				t.Fatal(err)
			}
			found := s.Validate()
			if path == "" && len(found) == 0 {
				continue
			}
			last := keys[len(keys)-1]
			if path == "limits.probes" {
				last = "report.source" // which wants them
			}
			if len(found) != 1 || !strings.Contains(found[0].Error(), last) || strings.HasSuffix(found[0].Error(), ": ") {
				t.Errorf("%s, %s = %v: %v", file, path, bad, found)
			}
		}
	}
}
