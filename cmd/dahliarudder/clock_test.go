package main

import (
	"testing"
	"time"
)

// stepClock replaces the wall clock by one that differs from it by the returned step, which the
// test may change.
func stepClock(t *testing.T) (step *time.Duration) {
	step = new(time.Duration)
	wallClock = func() time.Time { return time.Now().Add(*step) }
	t.Cleanup(func() { wallClock = time.Now })
	return step
}

// TestSteadyWall checks that steps of the wall clock do not affect the clock that measures the
// fleet's durations.
func TestSteadyWall(t *testing.T) {
	step := stepClock(t)
	wall := steadyWall()
	before := wall()
	for _, *step = range []time.Duration{time.Hour, -time.Hour, 2 * time.Second, 0} {
		now := wall()
		if passed := now.Sub(before); passed < 0 || passed > time.Minute {
			t.Errorf("wall clock stepped by %v: steadyWall advanced by %v, want 0 to 1m", *step, passed)
		}
		before = now
	}
}

// TestRunName checks that two runs of one relay never have the same name in the store, even if the
// clock shows the same time at both starts.
func TestRunName(t *testing.T) {
	at := time.UnixMilli(1700000000000)
	seen := map[string]bool{}
	for range 1000 {
		name := runName("n0", "8c1f30d27a5be964", at)
		if seen[name] {
			t.Fatalf("runName returned %q twice for the same time", name)
		}
		seen[name] = true
	}
}
