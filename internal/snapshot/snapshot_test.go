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

var testTime = time.UnixMilli(1_800_000_000_000)

func testSnapshot() *Snapshot {
	return &Snapshot{Name: "n1", Written: testTime.UnixMilli(), Boot: "b1", Up: int64(time.Hour), DiscoveryAddr: "127.0.0.1:1", Peers: []string{"127.0.0.1:2"},
		List: &pool.EndpointList{Generation: 7, Full: true, Instances: []pool.Instance{{ID: "s-1", Lifecycle: "SERVING", Weight: 1}}},
		Learned: core.LearnedState{Policy: policy.LearnedState{MeanLoad: 0.03, ZoneFill: []float64{0.4}, AdmissionRate: 0.2, Members: map[policy.MemberID]policy.LearnedMember{
			5: {Capacity: 40, Reports: 9, Load: 0.5, Age: time.Second, Failures: 3, Ejected: true, Backoff: 3 * time.Second, Uptime: 4 * time.Second}}},
			ReinstatedAges: map[string]time.Duration{"s-1": time.Second}}}
}

// TestDecode: an encoded snapshot can be decoded. One that is truncated at any byte, changed at any
// byte, or of another version cannot.
func TestDecode(t *testing.T) {
	b, err := testSnapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode(b); err != nil || !reflect.DeepEqual(s, testSnapshot()) {
		t.Fatalf("Decode(Encode(s)) = %+v, %v; want s", s, err)
	}
	for i := range b {
		if _, err := Decode(b[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("Decode(first %d bytes): error %v, want ErrCorrupt", i, err)
		}
		changed := append([]byte(nil), b...)
		changed[i] ^= 0x10
		if _, err := Decode(changed); err == nil {
			t.Fatalf("Decode succeeded with byte %d changed, want an error", i)
		}
	}
	newer := append([]byte(nil), b...)
	newer[len(magic)+1]++
	if _, err := Decode(newer); !errors.Is(err, ErrVersion) {
		t.Errorf("Decode(another version): error %v, want ErrVersion", err)
	}
}

// TestValidate: the age of a snapshot, the relay that wrote it and the generation of its endpoint
// list decide which parts of it are used.
func TestValidate(t *testing.T) {
	limits := LimitsFor(10 * time.Second)
	for _, c := range []struct {
		name       string
		relay      string
		age        time.Duration
		generation uint64 // of the endpoint list that the relay already has
		err        error
		discarded  int // number of discarded parts
	}{
		{"fresh", "n1", 2 * time.Second, 6, nil, 0},
		{"list not newer", "n1", 2 * time.Second, 7, nil, 1},
		{"an hour old", "n1", time.Hour, 6, nil, 1},
		{"two days old", "n1", 48 * time.Hour, 6, ErrExpired, 0},
		{"another relay", "n2", 0, 6, ErrOtherRelay, 0},
		{"from the future", "n1", -time.Hour, 6, ErrFuture, 0},
		{"clock some seconds ahead", "n1", -5 * time.Second, 6, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshot()
			age, discarded, err := s.Validate(Clocks{Wall: testTime.Add(c.age)}, c.relay, c.generation, limits)
			if !errors.Is(err, c.err) || len(discarded) != c.discarded {
				t.Errorf("Validate: discarded %v, error %v; want %d discarded parts, error %v",
					discarded, err, c.discarded, c.err)
				return
			}
			if err != nil {
				return
			}
			m := s.Learned.Policy.Members[5]
			expired := c.age > limits.Transient
			if (s.List == nil) != (c.generation >= 7) || age < 0 || m.Ejected == expired || (m.Load < 0) != expired || (s.Learned.Policy.AdmissionRate == 1) != expired ||
				m.Capacity != 40 || m.Uptime != 4*time.Second || m.Backoff != max(3*time.Second-age, 0) || s.Learned.Policy.Age != age {
				t.Errorf("Validate: wrong state after it (expired %v): age %v, member %+v, admission rate %v, has list %v",
					expired, age, m, s.Learned.Policy.AdmissionRate, s.List != nil)
			}
		})
	}
}

// TestValidateSteppedClock: until the machine reboots, the age of a snapshot does not depend on the
// wall clock. After a reboot only the wall clock is left, which may have been stepped, so its time
// is not added to the uptime of members: a member still in slow start would count as warmed up.
func TestValidateSteppedClock(t *testing.T) {
	limits := LimitsFor(10 * time.Second)
	const down = 2 * time.Second
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour, 48 * time.Hour} {
		s := testSnapshot()
		age, _, err := s.Validate(Clocks{testTime.Add(down + step), "b1", time.Hour + down}, "n1", 6, limits)
		m := s.Learned.Policy.Members[5]
		if err != nil || age != down || m.Uptime != 4*time.Second+down || s.Learned.ReinstatedAges["s-1"] != time.Second+down || m.Backoff != time.Second {
			t.Errorf("clock stepped by %v: age %v, member %+v, reinstated %v, error %v; want age %v, added to the uptime and the reinstatement",
				step, age, m, s.Learned.ReinstatedAges, err, down)
		}
		s = testSnapshot()
		if _, _, err := s.Validate(Clocks{testTime.Add(down + step), "b2", down}, "n1", 6, limits); err != nil {
			continue
		}
		if m := s.Learned.Policy.Members[5]; m.Uptime != 4*time.Second || s.Learned.ReinstatedAges["s-1"] != time.Second {
			t.Errorf("rebooted, clock stepped by %v: member %+v, reinstated %v; want uptime and reinstatement unchanged",
				step, m, s.Learned.ReinstatedAges)
		}
	}
}

// TestFile: Read returns no error if the directory has no snapshot, and an error if a directory has
// the snapshot's name. Write returns an error for a missing directory; a failed write leaves the
// earlier snapshot in place.
func TestFile(t *testing.T) {
	dir := t.TempDir()
	if s, err := Read(dir); s != nil || err != nil {
		t.Errorf("Read(empty directory) = %v, %v; want nil, nil", s, err)
	}
	b, _ := testSnapshot().Encode()
	if err := Write(dir, b); err != nil {
		t.Fatal(err)
	}
	// A directory with the name of the temporary file makes the next write fail.
	if err := os.Mkdir(filepath.Join(dir, fileName+".new"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(dir, b[:10]); err == nil {
		t.Error("Write over a directory with the temporary file's name succeeded, want an error")
	}
	if s, err := Read(dir); err != nil || !reflect.DeepEqual(s, testSnapshot()) {
		t.Errorf("Read after a failed Write = %+v, %v; want the earlier snapshot", s, err)
	}
	if err := Write(filepath.Join(dir, "none"), b); err == nil {
		t.Error("Write to a missing directory succeeded, want an error")
	}
	other := t.TempDir()
	if err := os.Mkdir(filepath.Join(other, fileName), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(other); err == nil {
		t.Error("Read succeeded although the snapshot's path is a directory, want an error")
	}
}

// TestConcurrentWriters: two processes of one relay write the snapshot at the same time during a hot
// restart. A reader never finds a partial file.
func TestConcurrentWriters(t *testing.T) {
	dir := t.TempDir()
	var writers sync.WaitGroup
	for n := range 2 {
		s := testSnapshot()
		s.Peers = slices.Repeat([]string{"127.0.0.1:2"}, 60*n) // the two writers' files differ in length
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
					t.Errorf("Read during concurrent writes = %v, %v; want a complete snapshot", s, err)
					return
				}
			}
		}()
	}
	writers.Wait()
}

// FuzzDecode: neither Decode nor Validate panics on any input.
func FuzzDecode(f *testing.F) {
	b, _ := testSnapshot().Encode()
	f.Add(b)
	f.Add(b[:20])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Decode(b); err == nil {
			s.Validate(Clocks{Wall: testTime}, "n1", 0, LimitsFor(10*time.Second))
		}
	})
}
