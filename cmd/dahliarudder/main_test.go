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

// faultPlanVariable is the environment variable that names the fault plan file. If it is set, this
// test program runs as the relay.
const faultPlanVariable = "RELAY_FAULT_PLAN"

// faultPlanPollInterval is how often the fault plan file is read.
const faultPlanPollInterval = 5 * time.Millisecond

// faultPlan is the content of the fault plan file. While the relay runs, the file may be replaced
// by a plan with another number.
type faultPlan struct {
	Number  int     `json:"number"`
	StepMS  float64 `json:"step_ms"` // how far the wall clock is ahead
	Failing []struct {
		Call  string  `json:"call"`
		Errno string  `json:"errno"`
		Short bool    `json:"short"`
		Part  float64 `json:"part"`
		Times int     `json:"times"`
	} `json:"failing"`
}

// TestMain runs the relay itself with injected faults if faultPlanVariable is set. The built
// program cannot inject faults.
func TestMain(m *testing.M) {
	path := os.Getenv(faultPlanVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	first := readFaultPlan(path)
	faults := looptest.NewFaults(uint64(first.Number))
	var clockStep atomic.Int64
	apply := func(plan faultPlan) {
		syscallFaults := []looptest.Fault{}
		for _, f := range plan.Failing {
			syscallFaults = append(syscallFaults, looptest.Fault{Syscall: f.Call, Errno: errnoByName(f.Errno), Short: f.Short, Probability: f.Part, MaxCount: f.Times})
		}
		clockStep.Store(int64(plan.StepMS * float64(time.Millisecond)))
		faults.Set(syscallFaults...)
		fmt.Fprintf(os.Stderr, "fault plan %d in effect\n", plan.Number)
	}
	apply(first)
	netloop.DefaultSyscalls = faults.Syscalls()
	wallClock = func() time.Time { return time.Now().Add(time.Duration(clockStep.Load())) }
	go func() {
		for current := first.Number; ; time.Sleep(faultPlanPollInterval) {
			if next := readFaultPlan(path); next.Number != current {
				current = next.Number
				apply(next)
			}
		}
	}()
	main()
}

// readFaultPlan reads the fault plan file, which its writer replaces by a rename. A file that
// cannot be read or decoded counts as a plan without faults.
func readFaultPlan(path string) (plan faultPlan) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &plan)
	}
	if err != nil {
		plan = faultPlan{}
	}
	return plan
}

// errnoByName returns the error number of that name, 0 if the name is empty or unknown.
func errnoByName(name string) unix.Errno {
	for e := unix.Errno(1); name != "" && e < 200; e++ {
		if unix.ErrnoName(e) == name {
			return e
		}
	}
	return 0
}
