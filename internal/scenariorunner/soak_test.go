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

// Variables that set a soak by hand: the first seed, how many seeds, how many runs at a time, and a directory to keep all logs in.
const (
	firstSeedVariable   = "SOAK_FROM"
	seedCountVariable   = "SOAK_SEEDS"
	concurrencyVariable = "SOAK_BESIDE"
	keepDirVariable     = "SOAK_KEEP"
)

// Defaults of these. Each run takes about one core.
const (
	defaultFirstSeed   = 1
	defaultSeedCount   = 4
	defaultConcurrency = 2
)

// environmentNumber is the number that a variable holds.
func environmentNumber(t *testing.T, name string, byDefault int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestSoak runs relays among fakes, with settings, sizes and faults drawn from seeds. A violation is printed with the command that
// runs its seed again.
func TestSoak(t *testing.T) {
	program, config := buildRelay(t, "test", "-c"), deployedConfig(t)
	if fakes.Host == "127.0.0.1" { // another run of the tests on this machine uses another
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

// soak runs one seed.
func soak(t *testing.T, seed uint64, config, program string) {
	f, err := scenario.DrawSoak(seed, config, true)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
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
		t.Errorf("seed %d: %v", seed, err)
		return
	}
	verdict := "well"
	if len(x.Violations) > 0 {
		verdict = "BROKEN"
	} else if x.Invalid != "" {
		verdict = "not valid"
	}
	var steps []string
	for _, s := range x.Faults {
		steps = append(steps, fmt.Sprintf("%.1f %s", s.At, s.What))
	}
	t.Logf("seed %d, %s", seed, strings.Join(steps, ", "))
	t.Logf("seed %d: %s; %d relays, %d members, %.2f well served, answers %v, late %.0f ms", seed, verdict, f.Relays.Count, f.Members.Count,
		x.Service, x.Answers, x.RunnerDelay["p99"])
	if verdict == "well" {
		return
	}
	t.Errorf("seed %d: %s %s\n%s%v\nagain: %s=%d %s=1 %s=logs go test -count=1 -run TestSoak ./internal/scenariorunner", seed, verdict, x.Invalid, printed.String(),
		violationLines(x.Violations), firstSeedVariable, seed, seedCountVariable, keepDirVariable)
}
