package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// faultyRelay is a relay that runs under a fault plan: the test can step its wall clock and make its system
// calls fail. Its executable is the test binary of cmd/dahliarudder, which runs as the relay; the built
// program cannot inject faults.
type faultyRelay struct {
	*relay
	planPath   string // the file with the fault plan, which the relay reads repeatedly
	planNumber int    // of the newest plan
}

// callFault is a failure of some of the relay's system calls.
type callFault struct {
	Call        string  `json:"call"`  // field of netloop.Syscalls
	Errno       string  `json:"errno"` // error to return, by name
	Short       bool    `json:"short"` // Read and Write transfer one byte
	Probability float64 `json:"part"`  // probability for each call; 0 means every call
	MaxCount    int     `json:"times"` // how many calls fail; 0 means no limit
}

// faultyProgram builds the test binary of cmd/dahliarudder on its first call and returns its path.
var faultyProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(program), "faulty")
	out, err := exec.Command("go", "test", "-c", "-o", path, "dahliarudder/cmd/dahliarudder").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("building the test binary of cmd/dahliarudder: %w, output %s", err, out)
	}
	return path, err
})

// newFaultyRelay starts a faulty relay whose wall clock is shifted by step and whose system calls work.
func newFaultyRelay(t testing.TB, config string, fronts int, step time.Duration) *faultyRelay {
	t.Helper()
	path, err := faultyProgram()
	if err != nil {
		t.Fatal(err)
	}
	r := &faultyRelay{planPath: filepath.Join(t.TempDir(), "fault-plan")}
	r.writeFaults(t, step)
	r.relay = launchProgram(t, path, config, "RELAY_FAULT_PLAN="+r.planPath)
	r.waitServing(fronts)
	return r
}

// writeFaults replaces the file with the fault plan by the next plan, atomically.
func (r *faultyRelay) writeFaults(t testing.TB, step time.Duration, plan ...callFault) {
	t.Helper()
	r.planNumber++
	text, err := json.Marshal(map[string]any{"number": r.planNumber, "step_ms": step.Milliseconds(), "failing": plan})
	if err == nil {
		err = os.WriteFile(r.planPath+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(r.planPath+".new", r.planPath)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// setFaults replaces the fault plan: the wall clock is shifted by step and system calls fail as plan says.
// It returns once the plan is in effect.
func (r *faultyRelay) setFaults(step time.Duration, plan ...callFault) {
	r.t.Helper()
	r.writeFaults(r.t, step, plan...)
	r.waitLogged(fmt.Sprintf("fault plan %d in effect", r.planNumber))
}

// TestStateAgeClockStepped guards against a snapshot age that depends on the wall clock: the clock is
// stepped between two processes, and the second must report how old the snapshot really is.
func TestStateAgeClockStepped(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			b := newFakeMember(t, "s-00000001", nil)
			d := newDiscovery(t, b.entry())
			dir := filepath.Join(t.TempDir(), "state")
			config := configure(t, d, map[string]any{"operator": "127.0.0.1:0", "state": map[string]any{"dir": dir, "every_ms": 1000}})
			first := newFaultyRelay(t, config, 2, 0)
			first.openFlow(1, "").wantLine("UP ")
			snapshot := filepath.Join(dir, "snapshot")
			waitFor(t, "a snapshot", func() bool { _, err := os.Stat(snapshot); return err == nil })
			first.cmd.Process.Signal(syscall.SIGKILL)
			<-first.done
			written, err := os.Stat(snapshot)
			if err != nil {
				t.Fatal(err)
			}
			minAge := time.Since(written.ModTime()) - socketTolerance
			next := newFaultyRelay(t, config, 2, step)
			// A snapshot may reach the disk up to 1 s after it is taken.
			maxAge := time.Since(written.ModTime()) + time.Second
			answer, err := http.Get("http://" + next.addrs["operator"] + "/-/recovery")
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			var recovery struct {
				From string `json:"from"`
				Age  int64  `json:"age_ms"`
			}
			text, _ := io.ReadAll(answer.Body)
			if err := json.Unmarshal(text, &recovery); err != nil {
				t.Fatal(err)
			}
			if age := time.Duration(recovery.Age) * time.Millisecond; recovery.From != "snapshot" || age < minAge || age > maxAge {
				t.Errorf("GET /-/recovery = %s, want a snapshot aged %v to %v", text, minAge, maxAge)
			}
		})
	}
}
