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

// faultyRelay is a relay that runs under a fault plan: its wall clock is stepped and its system calls fail as the test says. It
// is the test program of cmd/dahliarudder, which runs as the relay; the built program has no switch for that.
type faultyRelay struct {
	*relay
	planPath   string
	planNumber int
}

// callFault is what befalls some of the relay's system calls.
type callFault struct {
	Call  string  `json:"call"`
	Errno string  `json:"errno"`
	Short bool    `json:"short"`
	Part  float64 `json:"part"`
	Times int     `json:"times"`
}

// faultyProgram builds that program, once.
var faultyProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(program), "faulty")
	out, err := exec.Command("go", "test", "-c", "-o", path, "dahliarudder/cmd/dahliarudder").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// newFaultyRelay starts one whose clock is off by step, with no other fault yet.
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

// setFaults has the relay's clock be wrong by step, and its calls fail by the plan, from its return on.
func (r *faultyRelay) setFaults(step time.Duration, plan ...callFault) {
	r.t.Helper()
	r.writeFaults(r.t, step, plan...)
	r.waitLogged(fmt.Sprintf("fault plan %d in effect", r.planNumber))
}

// TestStateAgeClockStepped: a relay that returns after a step of its wall clock treats its state as being as old as it really is.
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
			maxAge := time.Since(written.ModTime()) + time.Second // which it may have taken from its making to the disk
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
				t.Errorf("came back with %s; the state was %v to %v old", text, minAge, maxAge)
			}
		})
	}
}
