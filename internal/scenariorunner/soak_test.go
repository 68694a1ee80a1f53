package scenariorunner

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// Environment variables for running TestSoak by hand: the first seed, the number of seeds, the
// number of concurrent runs, and a directory in which all logs are kept.
const (
	firstSeedVariable   = "SOAK_FROM"
	seedCountVariable   = "SOAK_SEEDS"
	concurrencyVariable = "SOAK_BESIDE"
	keepDirVariable     = "SOAK_KEEP"
)

// Default values of these variables. Each run uses about one core.
const (
	defaultFirstSeed   = 1
	defaultSeedCount   = 4
	defaultConcurrency = 2
)

// environmentNumber returns the number in an environment variable, or byDefault if it is not set.
func environmentNumber(t *testing.T, name string, byDefault int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s is not a number: %v", name, err)
	}
	return n
}

// TestSoak guards against faults that only unusual combinations bring about. It runs relays among
// fakes, with settings, sizes and faults drawn from seeds. For a violation it prints the command that
// runs the same seed again.
func TestSoak(t *testing.T) {
	program, config := buildRelay(t, "test", "-c"), deployedConfig(t)
	if fakes.Host == "127.0.0.1" { // keeps concurrent test processes on this machine apart
		fakes.Host = fmt.Sprintf("127.%d.%d.2", 64+os.Getpid()%128, os.Getpid()/128%250)
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range environmentNumber(t, concurrencyVariable, defaultConcurrency) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				soak(t, seed, config, program)
			}
		}()
	}
	from := environmentNumber(t, firstSeedVariable, defaultFirstSeed)
	for n := range environmentNumber(t, seedCountVariable, defaultSeedCount) {
		seeds <- uint64(from + n)
	}
	close(seeds)
	workers.Wait()
}

// soak runs the scenario of one seed.
func soak(t *testing.T, seed uint64, config, program string) {
	f, err := scenario.DrawSoak(seed, config, true)
	if err != nil {
		t.Errorf("seed %d: scenario.DrawSoak failed: %v", seed, err)
		return
	}
	work := t.TempDir()
	if keep := os.Getenv(keepDirVariable); keep != "" {
		work = filepath.Join(keep, fmt.Sprint("seed-", seed))
	}
	var printed strings.Builder
	var mu sync.Mutex
	r := &Runner{File: f, Dir: ".", Program: program, WorkDir: work, Progress: func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		if line := strings.TrimSpace(fmt.Sprintf(format, a...)); !strings.Contains(line, "connections wanted") {
			fmt.Fprintln(&printed, line)
		}
	}}
	x, err := r.RunVariant(context.Background(), f.Variants[0], 1, seed)
	if err != nil {
		t.Errorf("seed %d: RunVariant failed: %v", seed, err)
		return
	}
	verdict := "passed"
	if len(x.Violations) > 0 {
		verdict = "RULES BROKEN"
	} else if x.Invalid != "" {
		verdict = "run invalid"
	}
	var steps []string
	for _, s := range x.Faults {
		steps = append(steps, fmt.Sprintf("%.1f %s", s.At, s.What))
	}
	t.Logf("seed %d: fault steps by second: %s", seed, strings.Join(steps, ", "))
	t.Logf("seed %d: %s; %d relays, %d members, share of the demand served well = %.2f, answers %v, p99 runner delay %.0f ms",
		seed, verdict, f.Relays.Count, f.Members.Count, x.Service, x.Answers, x.RunnerDelay["p99"])
	if verdict == "passed" {
		return
	}
	t.Errorf("seed %d: %s %s\n%s%v\nto run it again: "+
		"%s=%d %s=1 %s=logs go test -count=1 -run TestSoak ./internal/scenariorunner",
		seed, verdict, x.Invalid, printed.String(), violationLines(x.Violations),
		firstSeedVariable, seed, seedCountVariable, keepDirVariable)
}
