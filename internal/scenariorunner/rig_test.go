package scenariorunner

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dahliarudder/internal/scenario"
)

// buildRelay builds the relay by go's sub-command, such as "build", into a directory of the test.
func buildRelay(t *testing.T, goCommand ...string) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "dahliarudder")
	args := append(goCommand, "-o", program, "dahliarudder/cmd/dahliarudder")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// deployedConfig is the path of the configuration that tests patch.
func deployedConfig(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// runScenario runs the scenario of a file's text once.
func runScenario(t *testing.T, program, format string, args ...any) *Result {
	t.Helper()
	f, err := scenario.Decode(fmt.Appendf(nil, format, args...))
	if err != nil {
		t.Fatal(err)
	}
	r := &Runner{File: f, Dir: ".", Program: program, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
	x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// violationLines is a line for each violation.
func violationLines(all []scenario.Violation) string {
	var b strings.Builder
	for _, x := range all {
		fmt.Fprintf(&b, "  at %.2f s, %s: %s: %s\n", x.At.Seconds(), x.Relay, x.Rule, x.What)
	}
	return b.String()
}
