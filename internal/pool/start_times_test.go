package pool

import (
	"testing"
	"time"
)

// machine is a relay's machine whose wall clock the test steps. Times are relative to its boot.
type machine struct {
	now      time.Duration // monotonic clock
	clockLag time.Duration // how much the wall clock is behind the correct time
}

// bootTime is the correct wall-clock time of the boot.
var bootTime = time.UnixMilli(1700000000000)

func (m *machine) newStartTimes() *StartTimes {
	return &StartTimes{Clock: func() time.Duration { return m.now }, WallClock: func() time.Time { return bootTime.Add(m.now - m.clockLag) },
		MaxListingDelay: 10 * time.Second}
}

// listedStart returns the start time that discovery lists for a member that started at the given time
// and whose machine's clock is behind by clockLag.
func listedStart(at, clockLag time.Duration) float64 {
	return float64(bootTime.Add(at - clockLag).UnixMilli())
}

// clockSteps are the steps of a wall clock that the tests try.
var clockSteps = []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second, time.Hour}

// warmUpTime is the approximate warm-up time of a member. startTolerance is the allowed error of a
// converted start time.
const (
	warmUpTime     = 8600 * time.Millisecond
	startTolerance = 200 * time.Millisecond
)

// TestStartTimesClockStepped checks that after any step of the wall clock, a member that has just
// started is not considered older than it is, nor started in the future, and that the start of a
// member that has been up for long does not change.
func TestStartTimesClockStepped(t *testing.T) {
	for _, step := range clockSteps {
		for scope, allMachines := range map[string]bool{"this machine alone": false, "all machines": true} {
			t.Run(scope+" "+step.String(), func(t *testing.T) {
				m := &machine{now: time.Hour}
				s := m.newStartTimes()
				memberClockLag := time.Duration(0)
				warm := listedStart(m.now-time.Minute, 0)
				first := s.Resolve("warm", warm)
				s.ListReceived()
				check := func(name string, began time.Duration) {
					t.Helper()
					at := s.Resolve(name, listedStart(began, memberClockLag))
					if at < began-startTolerance || at > m.now {
						t.Errorf("%s has been up for %v, Resolve says %v; want at most %v more and no start in the future",
							name, m.now-began, m.now-at, startTolerance)
					}
					if again := s.Resolve(name, listedStart(began, memberClockLag)); again != at {
						t.Errorf("%s: second Resolve of the same start = %v, want %v", name, again, at)
					}
				}
				for round, name := range []string{"one", "two", "three"} {
					m.now += 3 * time.Second
					s.Resolve("warm", warm)
					s.ListReceived()
					if m.clockLag -= step; allMachines {
						memberClockLag -= step
					}
					if round == 2 { // all clocks are corrected again
						m.clockLag, memberClockLag = 0, 0
					}
					m.now += 2 * time.Second
					began := m.now - time.Second
					check(name, began)
					s.ListReceived()
				}
				if again := s.Resolve("warm", warm); again != first {
					t.Errorf("Resolve for a member that has been up for long = %v after the steps, want %v",
						again, first)
				}
			})
		}
	}
}

// TestStartTimesRestartedMember checks that a changed start time is treated as a new process, even if
// the member's clock puts it before the previous start.
func TestStartTimesRestartedMember(t *testing.T) {
	for _, step := range clockSteps {
		m := &machine{now: time.Hour}
		s := m.newStartTimes()
		first := s.Resolve("s", listedStart(m.now-time.Second, 0))
		s.ListReceived()
		m.now += 5 * time.Second
		again := s.Resolve("s", listedStart(m.now-time.Second, -step))
		// A step back by two seconds of the member's clock alone cannot be distinguished from a start
		// two seconds earlier.
		earliest := m.now - time.Second - startTolerance + min(0, step%time.Hour)
		if again <= first || again > m.now || again < earliest {
			t.Errorf("member restarted after a clock step of %v: first start %v, second start %v; want the second after the first, from %v to %v",
				step, first, again, earliest, m.now)
		}
	}
}

// TestStartTimesClockWrongAtStart starts a relay with a wrong wall clock. A start time in the future is
// treated as just now, a member that is first listed while the relay watches cannot have started much
// before that, and the Date header of discovery's answers shows the error of the relay's clock.
func TestStartTimesClockWrongAtStart(t *testing.T) {
	for _, clockLag := range clockSteps {
		t.Run(clockLag.String(), func(t *testing.T) {
			m := &machine{now: time.Hour, clockLag: clockLag}
			s := m.newStartTimes()
			long := s.Resolve("long", listedStart(m.now-24*time.Hour, 0))
			if m.now-long < warmUpTime {
				t.Errorf("Resolve for a member that has been up for a day: up for %v, want at least %v",
					m.now-long, warmUpTime)
			}
			if at := s.Resolve("known", listedStart(m.now-time.Second, 0)); at > m.now {
				t.Errorf("Resolve returned a start %v in the future", at-m.now)
			}
			s.ListReceived()
			m.now += 3 * time.Second
			if at := s.Resolve("joined", listedStart(m.now-time.Second, 0)); m.now-at > 3*time.Second+s.MaxListingDelay {
				t.Errorf("Resolve for a member first listed 3s after the previous list: up for %v, want at most %v",
					m.now-at, 3*time.Second+s.MaxListingDelay)
			}
			s.ListReceived()
			s.ObserveDiscoveryDate(bootTime.Add(m.now).Truncate(time.Second))
			m.now += 3 * time.Second
			if at := s.Resolve("later", listedStart(m.now-time.Second, 0)); clockLag.Abs() > time.Minute && (at > m.now || m.now-at > time.Second+startTolerance) {
				t.Errorf("Resolve for a member up for 1s, with discovery's date known: up for %v, want 0s to %v",
					m.now-at, time.Second+startTolerance)
			}
		})
	}
}

// TestStartTimesBounded checks that the stored start times and offsets do not grow without limit.
func TestStartTimesBounded(t *testing.T) {
	m := &machine{now: time.Hour}
	s := m.newStartTimes()
	for range 20 * maxStarts {
		m.now += time.Millisecond
		m.clockLag += time.Second
		s.Resolve(m.now.String(), listedStart(m.now, 0))
	}
	if len(s.starts) > 2*maxStarts || len(s.offsets) > maxOffsets {
		t.Errorf("%d starts and %d offsets are stored, want at most %d and %d",
			len(s.starts), len(s.offsets), 2*maxStarts, maxOffsets)
	}
}
