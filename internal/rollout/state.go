package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"slices"
)

// State is the replicated rollout state. New and Decode create one.
type State struct{ record record }

// record is the encoded form of the state.
type record struct {
	Version           uint64       `json:"version"` // rises with every change of what is out or ordered
	Time              int64        `json:"at"`
	LastNumber        uint64       `json:"number"` // last number given to an order, ejection, quarantine or permit
	Releases          []release    `json:"releases,omitempty"`
	Permits           []Permit     `json:"permits,omitempty"`
	Ejections         []Ejection   `json:"bans,omitempty"` // sorted by name
	Quarantines       []Quarantine `json:"shuts,omitempty"`
	RelayDurationsMS  []int64      `json:"relays,omitempty"` // how long each of the last relays was out
	MemberDurationsMS []int64      `json:"members,omitempty"`
}

// maxDurations is how many of the latest durations are stored for relays and for members each.
const maxDurations = 32

// errStateTooLarge reports a decoded state that exceeds one of the limits MaxReleases, MaxUnits,
// MaxPermits, MaxEjections or MaxQuarantines. Its text is part of the error that Decode returns to
// the restore of a snapshot.
var errStateTooLarge = errors.New("beyond its bounds")

// New returns an empty state.
func New() *State { return &State{} }

// Version returns the state's version, which rises with every change of what is out or ordered.
func (s *State) Version() uint64 { return s.record.Version }

// Encode returns the whole state as JSON.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.record)
	if err != nil {
		panic(err) // only NaN or an infinity cannot be encoded, and Apply lets neither in
	}
	return b
}

// Decode decodes the output of Encode. It returns an error if the state exceeds its limits.
func Decode(b []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(b, &s.record); err != nil {
		return nil, fmt.Errorf("rollout: decode state: %w", err)
	}
	units := 0
	for _, r := range s.record.Releases {
		units += len(r.Units)
	}
	if len(s.record.Releases) > MaxReleases || units > MaxUnits || len(s.record.Permits) > MaxPermits ||
		len(s.record.Ejections) > MaxEjections || len(s.record.Quarantines) > MaxQuarantines {
		return nil, fmt.Errorf("rollout: decode state: %w", errStateTooLarge)
	}
	return s, nil
}

// Releases returns the status of all releases in the state, in the order in which they were opened.
func (s *State) Releases() []ReleaseStatus {
	var list []ReleaseStatus
	for i := range s.record.Releases {
		list = append(list, s.record.Releases[i].status())
	}
	return list
}

// Release returns the status of the named release, and whether there is one.
func (s *State) Release(name string) (ReleaseStatus, bool) {
	if r := s.record.findRelease(name); r != nil {
		return r.status(), true
	}
	return ReleaseStatus{}, false
}

// Permits returns the permits that wait or are in force, oldest first.
func (s *State) Permits() []Permit { return slices.Clone(s.record.Permits) }

// Ejections returns all ejections in force, sorted by name.
func (s *State) Ejections() []Ejection { return slices.Clone(s.record.Ejections) }

// Quarantines returns the quarantines of relays that have not been readmitted.
func (s *State) Quarantines() []Quarantine {
	return slices.DeleteFunc(slices.Clone(s.record.Quarantines), func(q Quarantine) bool { return q.ReadmittedVersion != 0 })
}

// clone returns a copy that shares no memory that a command changes.
func (rec *record) clone() record {
	c := *rec
	c.Releases, c.Permits, c.Ejections = slices.Clone(rec.Releases), slices.Clone(rec.Permits), slices.Clone(rec.Ejections)
	c.Quarantines = slices.Clone(rec.Quarantines)
	c.RelayDurationsMS, c.MemberDurationsMS = slices.Clone(rec.RelayDurationsMS), slices.Clone(rec.MemberDurationsMS)
	for i := range c.Releases {
		r := &c.Releases[i]
		r.Units, r.HaltCauses = slices.Clone(r.Units), slices.Clone(r.HaltCauses)
		if r.Halt != nil {
			halt := *r.Halt
			r.Halt = &halt
		}
	}
	return c
}

// units iterates over the units of all releases, in order.
func (rec *record) units() iter.Seq2[*release, *Unit] {
	return func(yield func(*release, *Unit) bool) {
		for i := range rec.Releases {
			r := &rec.Releases[i]
			for j := range r.Units {
				if !yield(r, &r.Units[j]) {
					return
				}
			}
		}
	}
}

func (rec *record) findRelease(name string) *release {
	return findFirst(rec.Releases, func(r *release) bool { return r.Name == name })
}

func (rec *record) findPermit(number uint64) *Permit {
	return findFirst(rec.Permits, func(p *Permit) bool { return p.Number == number })
}

func (rec *record) findQuarantine(relay string) *Quarantine {
	return findFirst(rec.Quarantines, func(q *Quarantine) bool { return q.Name == relay })
}

// nextNumber returns the number for a new order, ejection, quarantine or permit.
func (rec *record) nextNumber() uint64 {
	rec.LastNumber++
	return rec.LastNumber
}
