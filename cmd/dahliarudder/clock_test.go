package main

import (
	"testing"
	"time"
)

// stepClock sets the wall clock off by the returned step, which the test may change.
func stepClock(t *testing.T) (step *time.Duration) {
	step = new(time.Duration)
	wallClock = func() time.Time { return time.Now().Add(*step) }
	t.Cleanup(func() { wallClock = time.Now })
	return step
}

// TestSteadyWall: the clock by which the fleet measures durations is not affected by steps of the wall clock.
func TestSteadyWall(t *testing.T) {
	step := stepClock(t)
	wall := steadyWall()
	before := wall()
	for _, *step = range []time.Duration{time.Hour, -time.Hour, 2 * time.Second, 0} {
		now := wall()
		if passed := now.Sub(before); passed < 0 || passed > time.Minute {
			t.Errorf("stepped by %v: %v have passed", *step, passed)
		}
		before = now
	}
}

// TestRunName: two processes of one relay never share a run name in the store, even if the clock shows the same time twice.
func TestRunName(t *testing.T) {
	at := time.UnixMilli(1700000000000)
	seen := map[string]bool{}
	for range 1000 {
		name := runName("n0", "8c1f30d27a5be964", at)
		if seen[name] {
			t.Fatalf("%q twice", name)
		}
		seen[name] = true
	}
}
