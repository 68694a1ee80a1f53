package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestStoredFormsRecord: a snapshot of the record and a log, both written by commit 63fa232, can be
// restored and applied, and give the same bytes again.
func TestStoredFormsRecord(t *testing.T) {
	dir := filepath.Join("testdata", "head")
	snapshot, err := os.ReadFile(filepath.Join(dir, "snapshot.json"))
	if err != nil {
		t.Fatal(err)
	}
	restored := NewRecord()
	if err := restored.Restore(1, snapshot); err != nil {
		t.Fatal(err)
	}
	if again := restored.Snapshot(); !bytes.Equal(again, snapshot) {
		t.Errorf("Snapshot() after Restore:\n%s\nwant, as written by 63fa232:\n%s", again, snapshot)
	}
	commands, err := os.ReadFile(filepath.Join(dir, "commands.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	answers, err := os.ReadFile(filepath.Join(dir, "answers.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	wantAnswers := bytes.Split(bytes.TrimSuffix(answers, []byte("\n")), []byte("\n"))
	applied := NewRecord()
	for i, command := range bytes.Split(bytes.TrimSuffix(commands, []byte("\n")), []byte("\n")) {
		if answer := applied.Apply(uint64(i+1), command); !bytes.Equal(answer, wantAnswers[i]) {
			t.Errorf("Apply(command %d) = %s, want as at 63fa232: %s", i, answer, wantAnswers[i])
		}
	}
	if again := applied.Snapshot(); !bytes.Equal(again, snapshot) {
		t.Errorf("Snapshot() after applying all commands:\n%s\nwant, as written by 63fa232:\n%s", again, snapshot)
	}
}
