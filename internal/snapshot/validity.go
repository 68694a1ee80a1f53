package snapshot

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"dahliarudder/policy"
)

// Limits are the ages past which parts of a snapshot expire.
type Limits struct {
	// Transient is for what changes by itself: a member's load and failures, the fill of zones, the rate of admission. An endpoint
	// list of this age counts as new, so it is the longest poll interval that the settings allow.
	Transient time.Duration
	// Learned is for what changes with machines and programs only: the capacity of a kind of member, the load of a connection.
	Learned time.Duration
	// ClockSkew is how far the clock that wrote the snapshot may have been ahead of this one.
	ClockSkew time.Duration
}

// LimitsFor derives the limits from the longest poll interval that the settings allow.
func LimitsFor(maxPollInterval time.Duration) Limits {
	return Limits{Transient: maxPollInterval, Learned: 24 * time.Hour, ClockSkew: time.Minute}
}

// DiscardedPart is a part of a snapshot that was not used, and why.
type DiscardedPart struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// Stamp sets when the snapshot was made.
func (s *Snapshot) Stamp(now Clocks) {
	s.Written, s.Boot, s.Up = now.Wall.UnixMilli(), now.Boot, int64(now.Up)
}

// age is how long ago the snapshot was made. It is exact if the machine has not been booted since; otherwise it is by the wall clock,
// which may have been stepped.
func (s *Snapshot) age(now Clocks) (age time.Duration, exact bool) {
	if s.Boot != "" && s.Boot == now.Boot {
		return now.Up - time.Duration(s.Up), true
	}
	return now.Wall.Sub(time.UnixMilli(s.Written)), false
}

// Errors of Validate. None of them stops a start.
var (
	ErrOtherRelay = errors.New("of another relay")
	ErrFuture     = errors.New("from the future")
	ErrExpired    = errors.New("too old")
)

// Validate removes the expired parts of a snapshot and adds its age to the ages in it. The generation is that of the endpoint list that
// the relay has otherwise; a list that is no newer is discarded. After an error nothing of the snapshot is to be used.
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
		discarded = append(discarded, DiscardedPart{"list", fmt.Sprintf("generation %d, held is %d", s.List.Generation, generation)})
		s.List = nil
	}
	expired := age > l.Transient
	if expired {
		discarded = append(discarded, DiscardedPart{"fill of zones, daring, failures and loads of members",
			fmt.Sprintf("%v old, believed for %v", age.Round(time.Second), l.Transient)})
		resetTransient(&s.Learned.Policy)
	}
	certainAge := time.Duration(0) // by a clock that may have been stepped, nothing has certainly become older
	if exact {
		certainAge = age
	}
	s.addAge(age, certainAge, expired)
	return age, discarded, nil
}

// noLoad is the load of a member without a report.
const noLoad = -1

// initialZoneFill is the fill of a zone at a start that knows nothing, as policy assumes it.
const initialZoneFill = 0.65

// resetTransient sets the transient state that is not of a member to that of a start that knows nothing.
func resetTransient(p *policy.LearnedState) {
	for i := range p.ZoneFill {
		p.ZoneFill[i] = initialZoneFill
	}
	p.AdmissionRate = 1
}

// addAge makes the learned state older. What counts as slow start grows by the certain age only. If the transient state has expired, it
// is reset for each member.
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
