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

// buildRelay builds the relay with a go subcommand, such as "build", into a temporary directory of
// the test, and returns the path of the program.
func buildRelay(t *testing.T, goCommand ...string) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "dahliarudder")
	args := append(goCommand, "-o", program, "dahliarudder/cmd/dahliarudder")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("go %v: %v: %s", args, err, out)
	}
	return program
}

// deployedConfig returns the path of the shipped configuration that the scenarios of tests patch.
func deployedConfig(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// runScenario formats the text of a scenario file and runs it once.
func runScenario(t *testing.T, program, format string, args ...any) *Result {
	t.Helper()
	f, err := scenario.Decode(fmt.Appendf(nil, format, args...))
	if err != nil {
		t.Fatalf("scenario.Decode failed: %v", err)
	}
	r := &Runner{File: f, Dir: ".", Program: program, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
	x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
	if err != nil {
		t.Fatalf("RunVariant failed: %v", err)
	}
	return x
}

// violationLines formats violations, one per line.
func violationLines(all []scenario.Violation) string {
	var b strings.Builder
	for _, x := range all {
		fmt.Fprintf(&b, "  at %.2f s, %s: %s: %s\n", x.At.Seconds(), x.Relay, x.Rule, x.What)
	}
	return b.String()
}
