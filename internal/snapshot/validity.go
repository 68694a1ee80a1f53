package snapshot

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"dahliarudder/policy"
)

// Limits are the ages beyond which parts of a snapshot are not used.
type Limits struct {
	// Transient is the limit for state that changes within seconds: the load and the failures of a
	// member, the fill of zones, the admission rate. In normal operation the relay works with an
	// endpoint list of up to the longest poll interval's age, so that interval is the limit.
	Transient time.Duration
	// Learned is the limit for state that changes only with hardware or software: the capacity of a
	// kind of member, the load of a connection. A snapshot older than this is not used at all.
	Learned time.Duration
	// ClockSkew is how far the clock that wrote the snapshot may have been ahead of this one.
	ClockSkew time.Duration
}

// LimitsFor derives the limits from the longest poll interval that the settings allow.
func LimitsFor(maxPollInterval time.Duration) Limits {
	return Limits{Transient: maxPollInterval, Learned: 24 * time.Hour, ClockSkew: time.Minute}
}

// DiscardedPart is a part of a snapshot that was not used, with the reason. GET /-/recovery shows
// both texts in thrown_away.
type DiscardedPart struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// Stamp sets the time at which the snapshot was made.
func (s *Snapshot) Stamp(now Clocks) {
	s.Written, s.Boot, s.Up = now.Wall.UnixMilli(), now.Boot, int64(now.Up)
}

// age returns how long ago the snapshot was made. The age is exact if the machine has not rebooted
// since; otherwise it is measured by the wall clock, which may have been stepped.
func (s *Snapshot) age(now Clocks) (age time.Duration, exact bool) {
	if s.Boot != "" && s.Boot == now.Boot {
		return now.Up - time.Duration(s.Up), true
	}
	return now.Wall.Sub(time.UnixMilli(s.Written)), false
}

// Errors of Validate. None of them stops a start: the relay starts without the snapshot.
// GET /-/recovery shows their texts in thrown_away, so the texts must not change.
var (
	// ErrOtherRelay means that a relay of another name wrote the snapshot.
	ErrOtherRelay = errors.New("of another relay")
	// ErrFuture means that the snapshot was written later than now by more than Limits.ClockSkew.
	ErrFuture = errors.New("from the future")
	// ErrExpired means that the snapshot is older than Limits.Learned.
	ErrExpired = errors.New("too old")
)

// Validate removes the expired parts of a snapshot and adds its age to the ages stored in it. The
// generation is that of the endpoint list that the relay already has; an endpoint list of the same
// or an older generation is removed too. The removed parts are returned as discarded, with texts
// that GET /-/recovery shows and that must not change. After an error the caller must not use any
// part of the snapshot.
func (s *Snapshot) Validate(now Clocks, name string, generation uint64, l Limits) (age time.Duration, discarded []DiscardedPart, err error) {
	age, exact := s.age(now)
	switch {
	case s.Name != name:
		return age, nil, fmt.Errorf("%w: %q", ErrOtherRelay, s.Name)
	case age < -l.ClockSkew:
		return age, nil, fmt.Errorf("%w: written %v ahead of this clock", ErrFuture, -age)
	case age > l.Learned:
		return age, nil, fmt.Errorf("%w: %v", ErrExpired, age)
	}
	age = max(age, 0)
	if s.List != nil && s.List.Generation <= generation {
		// The text means: the snapshot's list has the first generation; the relay already has the second.
		discarded = append(discarded, DiscardedPart{"list", fmt.Sprintf("generation %d, held is %d", s.List.Generation, generation)})
		s.List = nil
	}
	expired := age > l.Transient
	if expired {
		// The text means: this state (daring is the admission rate) is older than Limits.Transient.
		discarded = append(discarded, DiscardedPart{"fill of zones, daring, failures and loads of members",
			fmt.Sprintf("%v old, believed for %v", age.Round(time.Second), l.Transient)})
		resetTransient(&s.Learned.Policy)
	}
	// The wall clock may have been stepped, so an age by the wall clock proves no passage of time.
	certainAge := time.Duration(0)
	if exact {
		certainAge = age
	}
	s.addAge(age, certainAge, expired)
	return age, discarded, nil
}

// noLoad is the value of Load for a member without a load report.
const noLoad = -1

// initialZoneFill is the zone fill that package policy assumes at a start without a snapshot.
const initialZoneFill = 0.65

// resetTransient resets the zone fills and the admission rate to their values at a start without a
// snapshot. addAge resets the transient state of the members.
func resetTransient(p *policy.LearnedState) {
	for i := range p.ZoneFill {
		p.ZoneFill[i] = initialZoneFill
	}
	p.AdmissionRate = 1
}

// addAge adds the age of the snapshot to the ages in the learned state. Only the certain age counts
// towards the end of a slow start: it is added to the uptimes and the ages of reinstatements. If
// the transient state has expired, that of each member is reset.
func (s *Snapshot) addAge(age, certainAge time.Duration, expired bool) {
	p := &s.Learned.Policy
	p.Age += age
	p.Members = maps.Clone(p.Members)
	for id, m := range p.Members {
		m.Backoff = max(m.Backoff-age, 0)
		if expired {
			m.Failures, m.Ejected, m.Backoff, m.Load = 0, false, 0, noLoad
		}
		m.Age += age
		if m.Uptime > 0 {
			m.Uptime += certainAge
		}
		p.Members[id] = m
	}
	for name, sinceReinstated := range s.Learned.ReinstatedAges {
		s.Learned.ReinstatedAges[name] = sinceReinstated + certainAge
	}
}
