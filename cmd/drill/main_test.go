package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestRun checks that run replies to each batch and returns no error at the end of the input.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(make([]byte, 32)), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.Bytes(); len(got) != 8 {
		t.Errorf("reply to two empty batches = % x, want 8 bytes", got)
	}
}

// TestRunMalformed checks that run returns an error for input that is no frame.
func TestRunMalformed(t *testing.T) {
	err := run(strings.NewReader("no frame"), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "malformed frame") {
		t.Errorf("run(malformed input): error %v, want one that contains %q", err, "malformed frame")
	}
}
