package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	maxObservations = 8 // of members, and of zones, in one digest
	// windowSpan is the minimum time for which an outcome is counted. It is dropped after at most
	// twice that time.
	windowSpan = 5 * time.Second
	// maxCounted is the maximum number of members, and of zones, that are counted.
	maxCounted = 4096
)

// Outcome is the outcome of one attempt or probe.
type Outcome int

// The outcomes.
const (
	Success Outcome = iota // the member answered, possibly that it is at capacity
	Failure                // an error, a reset, or a failed connection attempt
	Timeout                // no answer in time
)

// Observation counts the outcomes that one relay saw for a member or zone in the last seconds.
type Observation struct {
	Name      string `json:"name"`
	Successes uint64 `json:"good"`
	Failures  uint64 `json:"bad"`
	Timeouts  uint64 `json:"silent"`
	AgeMS     uint64 `json:"age_ms"` // age of the last outcome when the digest was made
}

func (o *Observation) fields() []field {
	return []field{{number: 1, text: &o.Name}, {number: 2, value: &o.Successes}, {number: 3, value: &o.Failures},
		{number: 4, value: &o.Timeouts}, {number: 5, value: &o.AgeMS}}
}

// Digest holds the observations that a relay publishes: those of its zones, and those of the members
// with the most failures.
type Digest struct {
	Zones   []Observation `json:"zones"`
	Members []Observation `json:"members"`
}

// subject distinguishes observations of zones from those of members.
type subject int

const (
	zones subject = iota
	members
	numSubjects
)

// ObservationWindow counts the outcomes that this relay saw during the last windowSpan at least, and
// during the last two at most. It does no I/O; the time is passed in.
type ObservationWindow struct {
	rotatedAt         time.Duration
	current, previous [numSubjects]map[string]*outcomeCounts
}

type outcomeCounts struct {
	outcomes [Timeout + 1]uint64
	last     time.Duration
}

// Record counts the outcome of one attempt or probe.
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

// rotate starts a new span when the current one is over, and drops spans before the previous one.
func (w *ObservationWindow) rotate(now time.Duration) {
	if now-w.rotatedAt < windowSpan {
		return
	}
	if w.previous, w.current = w.current, [numSubjects]map[string]*outcomeCounts{}; now-w.rotatedAt >= 2*windowSpan {
		w.previous = w.current
	}
	w.rotatedAt = now
}

// Digest returns the observations to publish. Members without failures are left out.
func (w *ObservationWindow) Digest(now time.Duration) Digest {
	w.rotate(now)
	failing := func(o Observation) bool { return o.Failures+o.Timeouts > 0 }
	return Digest{
		Zones:   w.worst(now, zones, func(Observation) bool { return true }),
		Members: w.worst(now, members, failing),
	}
}

// worst returns the published observations of one kind, those with the most failures first.
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
			return true // a field of a newer version
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
