package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testModule holds the files of a module that has a package for each way in which go test can end.
var testModule = map[string]string{
	"go.mod": "module trial\n\ngo 1.26\n",
	"green/green_test.go": `package green
import "testing"
func TestGreen(t *testing.T) {}
func TestRed(t *testing.T) {}
`,
	"red/red_test.go": `package red
import "testing"
func TestGreen(t *testing.T) { t.Log("not to be printed") }
func TestRed(t *testing.T) { t.Run("sub", func(t *testing.T) { t.Error("to be printed") }) }
`,
	"panics/panics_test.go": `package panics
import "testing"
func TestRed(t *testing.T) { panic("to be printed") }
`,
	"late/late_test.go": `package late
import ("testing"; "time")
func TestRed(t *testing.T) { time.Sleep(time.Hour) }
`,
	"exits/exits_test.go": `package exits
import ("os"; "testing")
func TestRed(t *testing.T) { t.Error() }
func TestZ(t *testing.T) { os.Exit(1) }
`,
	"after/after_test.go": `package after
import "testing"
func TestMain(m *testing.M) { if m.Run() != 0 { panic("after the tests") } }
func TestRed(t *testing.T) { t.Error() }
`,
	"broken/broken_test.go": `package broken
import "testing"
func TestRed(t *testing.T) { undefined() }
`,
}

// listLine returns a line of KNOWN-RED.txt for a test of the module.
func listLine(name, path string) string { return name + " | trial/" + path + " | the cause | #1\n" }

// TestRun checks the verdict and the output for runs of go test on packages of the module, with
// different lists of known failures.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	for name, text := range testModule {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	const list = "KNOWN-RED.txt"
	for _, c := range []struct {
		name, list, command string
		passes              bool
		output              string // text that the output must contain
	}{
		{"no list, no failure", "", "go test ./green", true, "ok  \ttrial/green"},
		{"no list, one failure", "", "go test ./red ./green", false, "trial/red.TestRed failed"},
		{"a listed failure", listLine("TestRed", "red"), "go test ./red ./green", true, "the cause (#1): failed"},
		{"a listed failure is printed", listLine("TestRed", "red"), "go test ./red", true, "FAIL\nFAIL\ttrial/red\t"},
		{"the output of a listed failure is printed", listLine("TestRed", "red"), "go test ./red", true, "to be printed"},
		{"a listed test passes", listLine("TestRed", "green"), "go test ./green", true, "passed, its line can be removed"},
		{"the failed test is listed for another package", listLine("TestRed", "green"), "go test ./red ./green", false, "trial/red.TestRed failed"},
		{"a listed test panics", listLine("TestRed", "panics"), "go test ./panics", false, "did not end normally"},
		{"a listed test times out", listLine("TestRed", "late"), "go test -timeout 100ms ./late", false, "panic: test timed out"},
		{"a package with a listed failure exits early", listLine("TestRed", "exits"), "go test ./exits", false, "trial/exits.TestZ did not finish"},
		{"a package with a listed failure panics after the tests", listLine("TestRed", "after"), "go test ./after", false, "did not end normally"},
		{"the package of a listed test does not build", listLine("TestRed", "broken"), "go test ./broken", false, "cannot be listed"},
		{"another package does not build", listLine("TestRed", "red"), "go test ./red ./broken", false, "trial/broken does not build"},
		{"a listed test does not exist", listLine("TestNone", "green"), "go test ./green", false, "trial/green.TestNone does not exist"},
		{"the package of a listed test does not exist", listLine("TestRed", "none"), "go test ./green", false, "cannot be listed"},
		{"a malformed line", "TestRed trial/green\n", "go test ./green", false, "line 1"},
		{"four lines", listLine("TestRed", "red") + listLine("TestRed", "green") + listLine("TestGreen", "red") + listLine("TestGreen", "green"), "go test ./green", false, "at most 3"},
		{"an invalid flag", listLine("TestRed", "red"), "go test -count=none ./red", false, "exit code 2"},
		{"a package that does not exist", "", "go test ./none", false, "./none does not build"},
		{"another command", "", "true", false, "not one go test command"},
		{"two commands", "", "go test ./green\ngo test ./red", false, "not one go test command"},
	} {
		t.Run(c.name, func(t *testing.T) {
			os.Remove(list)
			if c.list != "" {
				if err := os.WriteFile(list, []byte(c.list), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			passes, err := run(list, c.command, &out)
			if err != nil {
				out.WriteString(err.Error())
			}
			text := out.String()
			if passes != c.passes || !strings.Contains(text, c.output) || strings.Contains(text, "not to be printed") {
				t.Errorf("run(%q): passes = %v, want %v and output that contains %q; output:\n%s",
					c.command, passes, c.passes, c.output, text)
			}
		})
	}
}
