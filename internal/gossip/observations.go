package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Bounds of what a relay tells of members and zones.
const (
	maxObservations = 8 // of members, and of zones
	// windowSpan is how long a count is kept at least, and twice that at most.
	windowSpan = 5 * time.Second
	// maxCounted bounds the members and zones that are counted.
	maxCounted = 4096
)

// Outcome is how one attempt or probe went.
type Outcome int

// The outcomes.
const (
	Success Outcome = iota // it answered, be it that it is full
	Failure                // an error, a reset, a connection that did not come up
	Timeout                // no answer in time
)

// Observation is what a relay saw itself of one member or zone in the last seconds.
type Observation struct {
	Name      string `json:"name"`
	Successes uint64 `json:"good"`
	Failures  uint64 `json:"bad"`
	Timeouts  uint64 `json:"silent"`
	AgeMS     uint64 `json:"age_ms"` // of the last one, as it was told
}

// Digest is what a relay tells others of what it saw: its zones, and the members that look worst.
type Digest struct {
	Zones   []Observation `json:"zones"`
	Members []Observation `json:"members"`
}

// ObservationWindow counts what this relay sees. It does no I/O; the time is passed in.
type ObservationWindow struct {
	rotatedAt         time.Duration
	current, previous [2]map[string]*outcomeCounts // zones and members
}

type outcomeCounts struct {
	outcomes [3]uint64
	last     time.Duration
}

// UserData counts one attempt or probe.
func (b *ObservationWindow) Record(now time.Duration, member, zone string, how Outcome) {
	b.rotate(now)
	for i, name := range []string{zone, member} {
		if b.current[i] == nil {
			b.current[i] = map[string]*outcomeCounts{}
		}
		t := b.current[i][name]
		if t == nil {
			if len(b.current[i]) >= maxCounted {
				continue
			}
			t = &outcomeCounts{}
			b.current[i][name] = t
		}
		t.outcomes[how]++
		t.last = now
	}
}

// rotate forgets what is older than two spans.
func (b *ObservationWindow) rotate(now time.Duration) {
	if now-b.rotatedAt < windowSpan {
		return
	}
	if b.previous, b.current = b.current, [2]map[string]*outcomeCounts{}; now-b.rotatedAt >= 2*windowSpan {
		b.previous = b.current
	}
	b.rotatedAt = now
}

// Digest is what to tell by now.
func (b *ObservationWindow) Digest(now time.Duration) (d Digest) {
	b.rotate(now)
	for i, to := range []*[]Observation{&d.Zones, &d.Members} {
		sum := map[string]*Observation{}
		for _, half := range []map[string]*outcomeCounts{b.current[i], b.previous[i]} {
			for name, t := range half {
				s := sum[name]
				if s == nil {
					s = &Observation{Name: name, AgeMS: uint64((now - t.last).Milliseconds())}
					sum[name] = s
				}
				s.Successes, s.Failures, s.Timeouts = s.Successes+t.outcomes[Success], s.Failures+t.outcomes[Failure], s.Timeouts+t.outcomes[Timeout]
				s.AgeMS = min(s.AgeMS, uint64((now - t.last).Milliseconds()))
			}
		}
		for _, s := range sum {
			if i == 1 && s.Failures+s.Timeouts == 0 || len(s.Name) > maxNameLen {
				continue // of members only those that fail are told
			}
			*to = append(*to, *s)
		}
		slices.SortFunc(*to, func(x, y Observation) int {
			return cmp.Or(cmp.Compare(y.Failures+y.Timeouts, x.Failures+x.Timeouts), cmp.Compare(x.Name, y.Name))
		})
		*to = (*to)[:min(len(*to), maxObservations)]
	}
	return d
}

func (d Digest) append(b []byte) []byte {
	var one []byte
	for i, all := range [][]Observation{d.Zones, d.Members} {
		for _, s := range all[:min(len(all), maxObservations)] {
			one = protowire.AppendString(protowire.AppendTag(one[:0], 1, protowire.BytesType), s.Name)
			for n, v := range []uint64{s.Successes, s.Failures, s.Timeouts, s.AgeMS} {
				one = protowire.AppendVarint(protowire.AppendTag(one, protowire.Number(n+2), protowire.VarintType), v)
			}
			b = protowire.AppendBytes(protowire.AppendTag(b, protowire.Number(i+1), protowire.BytesType), one)
		}
	}
	return b
}

func decodeDigest(b []byte) (d Digest, err error) {
	var inner error
	_, err = decodeFields(b, func(n protowire.Number, _ uint64, s []byte) bool {
		to := &d.Zones
		if n == 2 {
			to = &d.Members
		}
		if n > 2 {
			return true // of a newer version
		}
		var one Observation
		_, err := decodeFields(s, func(n protowire.Number, v uint64, s []byte) bool {
			switch n {
			case 1:
				one.Name = string(s)
			case 2:
				one.Successes = v
			case 3:
				one.Failures = v
			case 4:
				one.Timeouts = v
			case 5:
				one.AgeMS = v
			}
			return true
		})
		if err != nil || len(one.Name) > maxNameLen || len(*to) >= maxObservations {
			inner = ErrMalformed
			return true
		}
		*to = append(*to, one)
		return true
	})
	return d, cmp.Or(err, inner)
}
