package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	maxObservations = 8 // of members, and of zones, in a digest
	// windowSpan is how long an outcome is counted at least; it is forgotten after twice that.
	windowSpan = 5 * time.Second
	// maxCounted bounds the members, and the zones, that are counted.
	maxCounted = 4096
)

// Outcome is how one attempt or probe went.
type Outcome int

// The outcomes.
const (
	Success Outcome = iota // an answer came, be it that the member is full
	Failure                // an error, a reset, a connection that did not come up
	Timeout                // no answer in time
)

// Observation is what a relay saw itself of one member or zone in the last seconds.
type Observation struct {
	Name      string `json:"name"`
	Successes uint64 `json:"good"`
	Failures  uint64 `json:"bad"`
	Timeouts  uint64 `json:"silent"`
	AgeMS     uint64 `json:"age_ms"` // of the last one, when the digest was made
}

func (o *Observation) fields() []field {
	return []field{{number: 1, text: &o.Name}, {number: 2, value: &o.Successes}, {number: 3, value: &o.Failures},
		{number: 4, value: &o.Timeouts}, {number: 5, value: &o.AgeMS}}
}

// Digest is the observations that a relay publishes: of its zones, and of the members that fail most.
type Digest struct {
	Zones   []Observation `json:"zones"`
	Members []Observation `json:"members"`
}

// subject is what observations are of.
type subject int

const (
	zones subject = iota
	members
	numSubjects
)

// ObservationWindow counts the outcomes that this relay sees, over the last windowSpan to twice that. It does no I/O; the
// time is passed in.
type ObservationWindow struct {
	rotatedAt         time.Duration
	current, previous [numSubjects]map[string]*outcomeCounts
}

type outcomeCounts struct {
	outcomes [Timeout + 1]uint64
	last     time.Duration
}

// Record counts one attempt or probe.
func (w *ObservationWindow) Record(now time.Duration, member, zone string, outcome Outcome) {
	w.rotate(now)
	for kind, name := range [numSubjects]string{zones: zone, members: member} {
		if w.current[kind] == nil {
			w.current[kind] = map[string]*outcomeCounts{}
		}
		counts := w.current[kind][name]
		if counts == nil {
			if len(w.current[kind]) >= maxCounted {
				continue
			}
			counts = &outcomeCounts{}
			w.current[kind][name] = counts
		}
		counts.outcomes[outcome]++
		counts.last = now
	}
}

// rotate begins a new span, and forgets what is older than two.
func (w *ObservationWindow) rotate(now time.Duration) {
	if now-w.rotatedAt < windowSpan {
		return
	}
	if w.previous, w.current = w.current, [numSubjects]map[string]*outcomeCounts{}; now-w.rotatedAt >= 2*windowSpan {
		w.previous = w.current
	}
	w.rotatedAt = now
}

// Digest is what to publish now: of members only those that fail.
func (w *ObservationWindow) Digest(now time.Duration) Digest {
	w.rotate(now)
	failing := func(o Observation) bool { return o.Failures+o.Timeouts > 0 }
	return Digest{
		Zones:   w.worst(now, zones, func(Observation) bool { return true }),
		Members: w.worst(now, members, failing),
	}
}

// worst is the observations of one kind that fail most.
func (w *ObservationWindow) worst(now time.Duration, kind subject, published func(Observation) bool) (list []Observation) {
	sums := map[string]*Observation{}
	for _, span := range []map[string]*outcomeCounts{w.current[kind], w.previous[kind]} {
		for name, counts := range span {
			age := uint64((now - counts.last).Milliseconds())
			o := sums[name]
			if o == nil {
				o = &Observation{Name: name, AgeMS: age}
				sums[name] = o
			}
			o.Successes += counts.outcomes[Success]
			o.Failures += counts.outcomes[Failure]
			o.Timeouts += counts.outcomes[Timeout]
			o.AgeMS = min(o.AgeMS, age)
		}
	}
	for _, o := range sums {
		if published(*o) && len(o.Name) <= maxNameLen {
			list = append(list, *o)
		}
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(y.Failures+y.Timeouts, x.Failures+x.Timeouts), cmp.Compare(x.Name, y.Name))
	})
	return list[:min(len(list), maxObservations)]
}

// Field numbers of a digest.
const (
	zoneField   protowire.Number = 1
	memberField protowire.Number = 2
)

func (d Digest) append(b []byte) []byte {
	b = appendObservations(b, zoneField, d.Zones)
	return appendObservations(b, memberField, d.Members)
}

func appendObservations(b []byte, n protowire.Number, list []Observation) []byte {
	var buf []byte
	for _, o := range list[:min(len(list), maxObservations)] {
		buf = appendFields(buf[:0], o.fields(), keepZero)
		b = appendBytes(b, n, buf)
	}
	return b
}

func decodeDigest(b []byte) (d Digest, err error) {
	var fieldErr error
	_, err = decodeFields(b, func(n protowire.Number, _ uint64, s []byte) bool {
		list := &d.Zones
		if n == memberField {
			list = &d.Members
		}
		if n > memberField {
			return true // of a newer version
		}
		var o Observation
		known := o.fields()
		_, err := decodeFields(s, func(n protowire.Number, v uint64, s []byte) bool {
			setField(known, n, v, s)
			return true
		})
		if err != nil || len(o.Name) > maxNameLen || len(*list) >= maxObservations {
			fieldErr = ErrMalformed
			return true
		}
		*list = append(*list, o)
		return true
	})
	return d, cmp.Or(err, fieldErr)
}
