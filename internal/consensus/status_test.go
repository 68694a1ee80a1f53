package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// TestStatusJSON: the names in the status page's JSON stay those of earlier releases, whatever the fields are called.
func TestStatusJSON(t *testing.T) {
	b, err := json.Marshal(Status{})
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	want := []string{"Applied", "BytesIn", "BytesOut", "Committed", "Disk", "Dropped", "Engine", "Follows", "Identity", "Leader", "LogBytes", "LogFirst", "LogLast",
		"Majority", "Name", "Record", "Refused", "Role", "Since", "SnapshotBytes", "SnapshotIndex", "Taken", "Term", "Twins", "Voters", "VotersAt"}
	if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, want) {
		t.Errorf("%q, not %q", names, want)
	}
}
