package rollout

import (
	"testing"
)

// TestBudgets checks the parsing of limits, and that Unusable finds budgets that let nothing go out.
func TestBudgets(t *testing.T) {
	for text, want := range map[string]Limit{"25%": {Share: 0.25}, "2": {Count: 2}, "0": {}, "-1": {}, "0%": {}, "101%": {}, "x": {}, "NaN%": {}} {
		if got, err := ParseLimit(text); got != want || (err == nil) != want.isSet() {
			t.Errorf("ParseLimit(%q) = %+v, %v, want %+v", text, got, err, want)
		}
	}
	b := Budgets{Relays: Budget{Total: Limit{Share: 0.25}}, Members: Budget{Total: Limit{Count: 1}, PerZone: Limit{Share: 0.3}}}
	if reason := b.Unusable(map[string]int{"a": 2, "b": 2}, map[string]int{"a": 4, "b": 3}); reason != "members: the budget per zone lets none go out in zone b" {
		t.Errorf("Unusable with 3 members in zone b and a zone limit of 30%% = %q, want zone b to be reported", reason)
	}
	if reason := b.Unusable(map[string]int{"a": 3}, nil); reason == "" {
		t.Error("Unusable with 3 relays and a limit of 25% is empty, want a reason: 25% of 3 rounds down to 0")
	}
}
