package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/pool"
	"dahliarudder/policy"
)

var wall = time.UnixMilli(1_800_000_000_000)

func sample() *Snapshot {
	return &Snapshot{Name: "n1", Written: wall.UnixMilli(), Boot: "b1", Up: int64(time.Hour), DiscoveryAddr: "127.0.0.1:1", Peers: []string{"127.0.0.1:2"},
		List: &pool.EndpointList{Generation: 7, Full: true, Instances: []pool.Instance{{ID: "s-1", Lifecycle: "SERVING", Weight: 1}}},
		Learned: core.LearnedState{Policy: policy.LearnedState{MeanLoad: 0.03, ZoneFill: []float64{0.4}, AdmissionRate: 0.2, Servers: map[policy.ServerID]policy.LearnedServer{
			5: {Capacity: 40, Reports: 9, Load: 0.5, Age: time.Second, Failures: 3, Ejected: true, Backoff: 3 * time.Second, Uptime: 4 * time.Second}}},
			ReinstatedAges: map[string]time.Duration{"s-1": time.Second}}}
}

// TestDecodeIntact: what is written is read again, and nothing of what is cut at any byte, changed in any, of another version or too long.
func TestDecodeIntact(t *testing.T) {
	b, err := sample().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode(b); err != nil || !reflect.DeepEqual(s, sample()) {
		t.Fatalf("%v, %+v", err, s)
	}
	for i := range b {
		if _, err := Decode(b[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", i, err)
		}
		wrong := append([]byte(nil), b...)
		wrong[i] ^= 0x10
		if _, err := Decode(wrong); err == nil {
			t.Fatalf("byte %d is wrong, and it is read", i)
		}
	}
	newer := append([]byte(nil), b...)
	newer[len(magic)+1]++
	if _, err := Decode(newer); !errors.Is(err, ErrVersion) {
		t.Errorf("of another version: %v", err)
	}
}

// TestValidate: what is believed, by its age and whose it is.
func TestValidate(t *testing.T) {
	l := LimitsFor(10 * time.Second)
	for _, c := range []struct {
		what string
		name string
		ago  time.Duration
		held uint64
		err  error
		away int
	}{
		{"fresh", "n1", 2 * time.Second, 6, nil, 0},
		{"a list that is no newer", "n1", 2 * time.Second, 7, nil, 1},
		{"an hour old", "n1", time.Hour, 6, nil, 1},
		{"two days old", "n1", 48 * time.Hour, 6, ErrExpired, 0},
		{"another relay's", "n2", 0, 6, ErrOtherRelay, 0},
		{"from the future", "n1", -time.Hour, 6, ErrFuture, 0},
		{"by a clock some seconds ahead", "n1", -5 * time.Second, 6, nil, 0},
	} {
		s := sample()
		age, away, err := s.Validate(Clocks{Wall: wall.Add(c.ago)}, c.name, c.held, l)
		if !errors.Is(err, c.err) || len(away) != c.away {
			t.Errorf("%s: %v, thrown away %v", c.what, err, away)
			continue
		}
		if err != nil {
			continue
		}
		m := s.Learned.Policy.Servers[5]
		old := c.ago > l.Transient
		if (s.List == nil) != (c.held >= 7) || age < 0 || m.Ejected == old || (m.Load < 0) != old || (s.Learned.Policy.AdmissionRate == 1) != old ||
			m.Capacity != 40 || m.Uptime != 4*time.Second || m.Backoff != max(3*time.Second-age, 0) || s.Learned.Policy.Age != age {
			t.Errorf("%s: age %v, %+v, daring %v", c.what, age, m, s.Learned.Policy.AdmissionRate)
		}
	}
}

// TestValidateSteppedClock: while the machine stays up a snapshot is as old as it really is, whatever its wall clock says; after
// that what has just come up is not aged by a clock that may be wrong.
func TestValidateSteppedClock(t *testing.T) {
	l := LimitsFor(10 * time.Second)
	const down = 2 * time.Second
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour, 48 * time.Hour} {
		s := sample()
		age, _, err := s.Validate(Clocks{wall.Add(down + step), "b1", time.Hour + down}, "n1", 6, l)
		m := s.Learned.Policy.Servers[5]
		if err != nil || age != down || m.Uptime != 4*time.Second+down || s.Learned.ReinstatedAges["s-1"] != time.Second+down || m.Backoff != time.Second {
			t.Errorf("stepped by %v: %v, age %v, %+v, back %v", step, err, age, m, s.Learned.ReinstatedAges)
		}
		s = sample()
		if _, _, err := s.Validate(Clocks{wall.Add(down + step), "b2", down}, "n1", 6, l); err != nil {
			continue
		}
		if m := s.Learned.Policy.Servers[5]; m.Uptime != 4*time.Second || s.Learned.ReinstatedAges["s-1"] != time.Second {
			t.Errorf("switched on anew, stepped by %v: %+v, back %v", step, m, s.Learned.ReinstatedAges)
		}
	}
}

// TestFile: a directory that is not there, cannot be written, or holds something else is an error and no more; a write that fails leaves
// what was there.
func TestFile(t *testing.T) {
	dir := t.TempDir()
	if s, err := Read(dir); s != nil || err != nil {
		t.Errorf("nothing there: %v, %v", s, err)
	}
	b, _ := sample().Encode()
	if err := Write(dir, b); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, fileName+".new"), 0o700); err != nil { // the next write fails
		t.Fatal(err)
	}
	if err := Write(dir, b[:10]); err == nil {
		t.Error("a write to no file is no error")
	}
	if s, err := Read(dir); err != nil || !reflect.DeepEqual(s, sample()) {
		t.Errorf("after a write that failed: %v", err)
	}
	if err := Write(filepath.Join(dir, "none"), b); err == nil {
		t.Error("no directory is no error")
	}
	other := t.TempDir()
	if err := os.Mkdir(filepath.Join(other, fileName), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(other); err == nil {
		t.Error("a directory is read as a snapshot")
	}
}

// TestTwoWriters: two processes of one relay, as during an upgrade, never leave a snapshot that is not whole.
func TestTwoWriters(t *testing.T) {
	dir := t.TempDir()
	var writers sync.WaitGroup
	for n := range 2 {
		s := sample()
		s.Peers = slices.Repeat([]string{"127.0.0.1:2"}, 60*n) // of another length
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 300 {
				if err := Write(dir, b); err != nil {
					t.Error(err)
					return
				}
				if s, err := Read(dir); err != nil || s == nil {
					t.Errorf("read %v, %v", s, err)
					return
				}
			}
		}()
	}
	writers.Wait()
}

func FuzzDecode(f *testing.F) {
	b, _ := sample().Encode()
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Decode(b); err == nil {
			s.Validate(Clocks{Wall: wall}, "n1", 0, LimitsFor(10*time.Second))
		}
	})
}
