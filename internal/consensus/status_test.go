package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// TestStatusJSON checks that the JSON names of the status page stay those of earlier releases when
// fields are renamed.
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
		t.Errorf("JSON names of Status = %q, want %q", names, want)
	}
}
