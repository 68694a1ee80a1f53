package netloop

import (
	"testing"
	"time"
)

// TestOnStall: a gap in which the process did not run is reported. A slow start, before OnStall is
// called, and a wait below the threshold are not.
func TestOnStall(t *testing.T) {
	now := time.Hour
	l, err := New(func() time.Duration { return now }, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stalls := []time.Duration{}
	now += 5 * time.Second // a slow start
	l.OnStall(time.Second, func(gap time.Duration) { stalls = append(stalls, gap) })
	for _, pass := range []time.Duration{0, 900 * time.Millisecond, 10 * time.Second, 100 * time.Millisecond} {
		now += pass
		if err := l.RunOnce(0); err != nil {
			t.Fatal(err)
		}
	}
	if len(stalls) != 1 || stalls[0] != 10*time.Second {
		t.Errorf("reported stalls %v, want one of 10 s", stalls)
	}
}
