package scenariorunner

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// The soak plays soakSeeds seeds from soakFrom on. By hand these variables say otherwise; soakKeep names a directory for
// the logs of all sides.
const (
	soakFrom, soakSeeds, soakKeep, soakBeside = "SOAK_FROM", "SOAK_SEEDS", "SOAK_KEEP", "SOAK_BESIDE"
	soakFromUsual, soakUsual                  = 1, 4
	// soakBesideUsual is how many plays run beside each other: each takes about one core.
	soakBesideUsual = 2
)

func number(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestSoak: relays among stand-ins, with settings, sizes and faults drawn from seeds. The judge sees sockets alone. What it
// finds stands on a line with the command that plays it again.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "relay")
	if out, err := exec.Command("go", "test", "-c", "-o", program, "dahliarudder/cmd/dahliarudder").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	config, err := filepath.Abs("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	if fakes.Host == "127.0.0.1" { // another run of the tests on this machine has another
		fakes.Host = fmt.Sprintf("127.%d.%d.2", 64+os.Getpid()%128, os.Getpid()/128%250)
	}
	seeds := make(chan uint64)
	var players sync.WaitGroup
	for range number(t, soakBeside, soakBesideUsual) {
		players.Add(1)
		go func() {
			defer players.Done()
			for seed := range seeds {
				soak(t, seed, config, program)
			}
		}()
	}
	from := number(t, soakFrom, soakFromUsual)
	for n := range number(t, soakSeeds, soakUsual) {
		seeds <- uint64(from + n)
	}
	close(seeds)
	players.Wait()
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, config, program string) {
	f, err := scenario.DrawSoak(seed, config, true)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
		return
	}
	work := t.TempDir()
	if keep := os.Getenv(soakKeep); keep != "" {
		work = filepath.Join(keep, fmt.Sprint("seed-", seed))
	}
	var said strings.Builder
	var mu sync.Mutex
	r := &Runner{File: f, Dir: ".", Program: program, WorkDir: work, Progress: func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		if line := strings.TrimSpace(fmt.Sprintf(format, a...)); !strings.Contains(line, "connections asked for") {
			fmt.Fprintln(&said, line)
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
	t.Errorf("seed %d: %s %s\n%s%v\nagain: %s=%d %s=1 %s=logs go test -count=1 -run TestSoak ./internal/rehearse", seed, verdict, x.Invalid, said.String(),
		breaks(x.Violations), soakFrom, seed, soakSeeds, soakKeep)
}

// violations is a line for each rule broken.
func breaks(all []scenario.Violation) string {
	var b strings.Builder
	for _, x := range all {
		fmt.Fprintf(&b, "  at %.2f s, %s: %s: %s\n", x.At.Seconds(), x.Relay, x.Rule, x.What)
	}
	return b.String()
}
