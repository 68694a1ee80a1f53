package pool

import (
	"testing"
	"time"
)

// machine is a relay's machine whose wall clock the test steps. All its times are spans since it was switched on.
type machine struct {
	now      time.Duration // its monotonic clock
	clockLag time.Duration // by how much its wall clock is wrong
}

// switchedOn is when by a right wall clock.
var bootTime = time.UnixMilli(1700000000000)

func (m *machine) newStartTimes() *StartTimes {
	return &StartTimes{Clock: func() time.Duration { return m.now }, WallClock: func() time.Time { return bootTime.Add(m.now - m.clockLag) },
		MaxListingDelay: 10 * time.Second}
}

// stamp is the start that discovery lists of a member, by a clock that is behind by so much.
func listedStart(at, clockLag time.Duration) float64 {
	return float64(bootTime.Add(at - clockLag).UnixMilli())
}

// steps are steps that a wall clock may make.
var clockSteps = []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second, time.Hour}

// warmUpTime is about how long a member takes to warm up, and startsOff by how much its start may be off.
const (
	warmUpTime     = 8600 * time.Millisecond
	startTolerance = 200 * time.Millisecond
)

// TestStartTimesClockStepped: whatever steps the wall clock makes, a member that has just started looks no older than it is, and not
// started after now; one that has been up for long stays warmed up.
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
						t.Errorf("%s, up for %v: taken for up for %v", name, m.now-began, m.now-at)
					}
					if again := s.Resolve(name, listedStart(began, memberClockLag)); again != at {
						t.Errorf("%s: %v, listed again %v", name, at, again)
					}
				}
				for round, name := range []string{"one", "two", "three"} {
					m.now += 3 * time.Second
					s.Resolve("warm", warm)
					s.ListReceived()
					if m.clockLag -= step; allMachines {
						memberClockLag -= step
					}
					if round == 2 { // and back again
						m.clockLag, memberClockLag = 0, 0
					}
					m.now += 2 * time.Second
					began := m.now - time.Second
					check(name, began)
					s.ListReceived()
				}
				if again := s.Resolve("warm", warm); again != first {
					t.Errorf("a member that is up for long: %v, then %v", first, again)
				}
			})
		}
	}
}

// TestStartTimesRestartedMember: a member whose start has changed is another process, whatever its clock says of the order of the two.
func TestStartTimesRestartedMember(t *testing.T) {
	for _, step := range clockSteps {
		m := &machine{now: time.Hour}
		s := m.newStartTimes()
		first := s.Resolve("s", listedStart(m.now-time.Second, 0))
		s.ListReceived()
		m.now += 5 * time.Second
		again := s.Resolve("s", listedStart(m.now-time.Second, -step))
		// Two seconds back of that member's machine alone cannot be distinguished from a start two seconds earlier.
		earliest := m.now - time.Second - startTolerance + min(0, step%time.Hour)
		if again <= first || again > m.now || again < earliest {
			t.Errorf("its clock stepped by %v: first up at %v, then at %v, it is %v", step, first, again, m.now)
		}
	}
}

// TestStartTimesClockWrongAtStart: a relay whose clock is wrong when it starts. A start ahead of its clock is taken for one just now;
// one that is first listed while the relay watches cannot be older than that; and discovery's own clock shows how wrong this one is.
func TestStartTimesClockWrongAtStart(t *testing.T) {
	for _, clockLag := range clockSteps {
		t.Run(clockLag.String(), func(t *testing.T) {
			m := &machine{now: time.Hour, clockLag: clockLag}
			s := m.newStartTimes()
			long := s.Resolve("long", listedStart(m.now-24*time.Hour, 0))
			if m.now-long < warmUpTime {
				t.Errorf("a member that is up for a day is taken for up for %v", m.now-long)
			}
			if at := s.Resolve("known", listedStart(m.now-time.Second, 0)); at > m.now {
				t.Errorf("a start %v ahead of now", at-m.now)
			}
			s.ListReceived()
			m.now += 3 * time.Second
			if at := s.Resolve("joined", listedStart(m.now-time.Second, 0)); m.now-at > 3*time.Second+s.MaxListingDelay {
				t.Errorf("one that was listed within 3 s is taken for up for %v", m.now-at)
			}
			s.ListReceived()
			s.ObserveDiscoveryDate(bootTime.Add(m.now).Truncate(time.Second))
			m.now += 3 * time.Second
			if at := s.Resolve("later", listedStart(m.now-time.Second, 0)); clockLag.Abs() > time.Minute && (at > m.now || m.now-at > time.Second+startTolerance) {
				t.Errorf("up for 1 s, with discovery's date: taken for up for %v", m.now-at)
			}
		})
	}
}

// TestStartTimesBounded: the remembered starts of members that are gone do not grow without end.
func TestStartTimesBounded(t *testing.T) {
	m := &machine{now: time.Hour}
	s := m.newStartTimes()
	for range 20 * maxStarts {
		m.now += time.Millisecond
		m.clockLag += time.Second
		s.Resolve(m.now.String(), listedStart(m.now, 0))
	}
	if len(s.starts) > 2*maxStarts || len(s.offsets) > maxOffsets {
		t.Errorf("%d starts and %d offsets are kept", len(s.starts), len(s.offsets))
	}
}
