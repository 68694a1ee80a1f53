package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// troubleFile names the file of the trouble in which this test's program, started as the relay, is to run.
const troubleFile = "RELAY_TROUBLE"

// troubleEvery is how often that file is looked at.
const troubleEvery = 5 * time.Millisecond

// trouble is what that file holds. It may be replaced while the relay runs; then its number has to be another one.
type trouble struct {
	Number  int     `json:"number"`
	StepMS  float64 `json:"step_ms"` // by how much the wall clock is off
	Failing []struct {
		Call  string  `json:"call"`
		Errno string  `json:"errno"`
		Short bool    `json:"short"`
		Part  float64 `json:"part"`
		Times int     `json:"times"`
	} `json:"failing"`
}

// TestMain runs the relay itself, in trouble, if it is asked to. The built program has no such switch.
func TestMain(m *testing.M) {
	path := os.Getenv(troubleFile)
	if path == "" {
		os.Exit(m.Run())
	}
	t := readTrouble(path)
	faults := looptest.NewFaults(uint64(t.Number))
	var step atomic.Int64
	begin := func(t trouble) {
		plan := []looptest.Fault{}
		for _, f := range t.Failing {
			plan = append(plan, looptest.Fault{Syscall: f.Call, Errno: errno(f.Errno), Short: f.Short, Probability: f.Part, MaxCount: f.Times})
		}
		step.Store(int64(t.StepMS * float64(time.Millisecond)))
		faults.Set(plan...)
		fmt.Fprintf(os.Stderr, "trouble %d begins\n", t.Number)
	}
	begin(t)
	netloop.DefaultSyscalls = faults.Syscalls()
	wallClock = func() time.Time { return time.Now().Add(time.Duration(step.Load())) }
	go func() {
		for last := t.Number; ; time.Sleep(troubleEvery) {
			if next := readTrouble(path); next.Number != last {
				last = next.Number
				begin(next)
			}
		}
	}()
	main()
}

// readTrouble reads the file, which is always whole; without one there is no trouble.
func readTrouble(path string) (t trouble) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		t = trouble{}
	}
	return t
}

// errno is an error by its name; 0 for none.
func errno(name string) unix.Errno {
	for e := unix.Errno(1); name != "" && e < 200; e++ {
		if unix.ErrnoName(e) == name {
			return e
		}
	}
	return 0
}
