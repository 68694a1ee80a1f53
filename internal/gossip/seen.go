package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Bounds of what a relay tells of members and zones.
const (
	sightsMost = 8 // of members, and of zones
	// bookSpan is how long a count is kept at least, and twice that at most.
	bookSpan = 5 * time.Second
	// bookMost bounds the members and zones that are counted.
	bookMost = 4096
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
	turned   time.Duration
	new, old [2]map[string]*tally // zones and members
}

type tally struct {
	n    [3]uint64
	last time.Duration
}

// UserData counts one attempt or probe.
func (b *ObservationWindow) Record(now time.Duration, member, zone string, how Outcome) {
	b.turn(now)
	for i, name := range []string{zone, member} {
		if b.new[i] == nil {
			b.new[i] = map[string]*tally{}
		}
		t := b.new[i][name]
		if t == nil {
			if len(b.new[i]) >= bookMost {
				continue
			}
			t = &tally{}
			b.new[i][name] = t
		}
		t.n[how]++
		t.last = now
	}
}

// turn forgets what is older than two spans.
func (b *ObservationWindow) turn(now time.Duration) {
	if now-b.turned < bookSpan {
		return
	}
	if b.old, b.new = b.new, [2]map[string]*tally{}; now-b.turned >= 2*bookSpan {
		b.old = b.new
	}
	b.turned = now
}

// Digest is what to tell by now.
func (b *ObservationWindow) Digest(now time.Duration) (d Digest) {
	b.turn(now)
	for i, to := range []*[]Observation{&d.Zones, &d.Members} {
		sum := map[string]*Observation{}
		for _, half := range []map[string]*tally{b.new[i], b.old[i]} {
			for name, t := range half {
				s := sum[name]
				if s == nil {
					s = &Observation{Name: name, AgeMS: uint64((now - t.last).Milliseconds())}
					sum[name] = s
				}
				s.Successes, s.Failures, s.Timeouts = s.Successes+t.n[Success], s.Failures+t.n[Failure], s.Timeouts+t.n[Timeout]
				s.AgeMS = min(s.AgeMS, uint64((now - t.last).Milliseconds()))
			}
		}
		for _, s := range sum {
			if i == 1 && s.Failures+s.Timeouts == 0 || len(s.Name) > nameMost {
				continue // of members only those that fail are told
			}
			*to = append(*to, *s)
		}
		slices.SortFunc(*to, func(x, y Observation) int {
			return cmp.Or(cmp.Compare(y.Failures+y.Timeouts, x.Failures+x.Timeouts), cmp.Compare(x.Name, y.Name))
		})
		*to = (*to)[:min(len(*to), sightsMost)]
	}
	return d
}

func (d Digest) append(b []byte) []byte {
	var one []byte
	for i, all := range [][]Observation{d.Zones, d.Members} {
		for _, s := range all[:min(len(all), sightsMost)] {
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
	_, err = fields(b, func(n protowire.Number, _ uint64, s []byte) bool {
		to := &d.Zones
		if n == 2 {
			to = &d.Members
		}
		if n > 2 {
			return true // of a newer version
		}
		var one Observation
		_, err := fields(s, func(n protowire.Number, v uint64, s []byte) bool {
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
		if err != nil || len(one.Name) > nameMost || len(*to) >= sightsMost {
			inner = ErrMalformed
			return true
		}
		*to = append(*to, one)
		return true
	})
	return d, cmp.Or(err, inner)
}
