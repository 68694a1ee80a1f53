package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestStoredFormsSnapshot: a snapshot file written by release 63fa232 is decoded completely, and
// encoding it again yields the same bytes.
func TestStoredFormsSnapshot(t *testing.T) {
	dir := filepath.Join("testdata", "head")
	s, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, testSnapshot()) {
		t.Fatalf("snapshot of release 63fa232 decoded as %+v, want %+v", s, testSnapshot())
	}
	written, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, written) {
		t.Errorf("Encode of the decoded snapshot:\n%q\nwant the bytes of release 63fa232:\n%q", again, written)
	}
}
