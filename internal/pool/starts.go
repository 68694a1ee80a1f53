package pool

import (
	"slices"
	"time"
)

// StartTimes tells when members started, on the relay's own clock, by what discovery says in Unix time. The wall clock of
// any machine may have been stepped, by seconds or by an hour, so a start is read against every way in which the two
// clocks have stood to each other. Where these differ the latest start that is not ahead of now counts: a member that is
// taken for younger than it is gets less for a while, one that is taken for older may be brought down.
type StartTimes struct {
	// Clock is the relay's own clock, which only runs on; Wall is the machine's.
	Clock     func() time.Duration
	WallClock func() time.Time
	// MaxListingDelay is how late discovery may list a start.
	MaxListingDelay time.Duration

	offsets []time.Duration // of Unix time from the relay's clock, those that were seen; the newest last
	kept    map[string]start
	heard   time.Duration // when discovery's list last came; 0 while only a cached one is held
}

// start is one that was read.
type start struct {
	unixMilli float64
	at        time.Duration
	listed    time.Duration // when it last was
}

const (
	// offsetsMost is how many offsets are kept: clocks are stepped seldom.
	offsetsMost = 8
	// stepLeast is by how much two offsets differ that count as two. It is a hundredth of the time in which members get
	// warm on the sites at hand, within which a start may be wrong.
	stepLeast = 100 * time.Millisecond
	// datedLeast is by how much discovery's date has to differ from this machine's clock to count: it comes in whole
	// seconds, and late.
	datedLeast = 2 * time.Second
	// keptMost is how many starts are kept of members that may be listed again: twice those of the largest fleet.
	keptMost = 8192
)

// At is the start of a member on the relay's clock; 0 if it was long ago. It stays the same however often that start is
// listed.
func (s *StartTimes) Resolve(name string, unixMilli float64) time.Duration {
	if unixMilli == 0 {
		return 0
	}
	now := s.Clock()
	s.observe(now)
	before, known := s.kept[name]
	if !known || before.unixMilli != unixMilli {
		before = start{unixMilli: unixMilli, at: s.read(now, unixMilli, before.at)}
	}
	before.listed = now
	s.keep(name, before)
	return before.at
}

// read reads a start that was not listed before; of a member that was, it is the start of another process after that.
func (s *StartTimes) read(now time.Duration, unixMilli float64, after time.Duration) time.Duration {
	at, found := time.Duration(0), false
	for _, offset := range s.offsets {
		if by := time.Duration(unixMilli*float64(time.Millisecond)) - offset; by <= now && (!found || by > at) {
			at, found = by, true
		}
	}
	switch {
	case !found, after != 0 && at <= after: // it contradicts the clock, or the start before it
		at = now
	case s.heard != 0 && now-at > now-s.heard+s.MaxListingDelay: // it was not in the list before
		at = now
	}
	if at == 0 { // 0 means long ago
		at = 1
	}
	return at
}

// observe notes how the machine's clock stands to the relay's own now.
func (s *StartTimes) observe(now time.Duration) {
	s.note(time.Duration(s.WallClock().UnixNano())-now, stepLeast)
}

// note keeps an offset that differs by so much from all that are kept.
func (s *StartTimes) note(offset, least time.Duration) {
	for _, other := range s.offsets {
		if (offset - other).Abs() < least {
			return
		}
	}
	s.offsets = append(s.offsets, offset)
	s.offsets = s.offsets[max(0, len(s.offsets)-offsetsMost):]
}

// ListReceived says that a list has come from discovery, of which At was told.
func (s *StartTimes) ListReceived() { s.heard = s.Clock() }

// ObserveServerDate says what discovery's own clock showed as it answered.
func (s *StartTimes) ObserveServerDate(date time.Time) {
	now := s.Clock()
	s.observe(now)
	s.note(time.Duration(date.UnixNano())-now, datedLeast)
}

// UnixMilli is a time of the relay's clock in Unix milliseconds; of a member's start it is what discovery says.
func (s *StartTimes) UnixMilli(name string, at time.Duration) int64 {
	if listed, known := s.kept[name]; known && listed.at == at {
		return int64(listed.unixMilli)
	}
	now := s.Clock()
	return s.WallClock().Add(at - now).UnixMilli()
}

// keep keeps a start, and lets go of those that were not listed for longest when there are too many.
func (s *StartTimes) keep(name string, read start) {
	if s.kept == nil {
		s.kept = map[string]start{}
	}
	s.kept[name] = read
	if len(s.kept) <= 2*keptMost {
		return
	}
	times := make([]time.Duration, 0, len(s.kept))
	for _, other := range s.kept {
		times = append(times, other.listed)
	}
	slices.Sort(times)
	oldest := times[len(times)-keptMost]
	for other, start := range s.kept {
		if start.listed < oldest {
			delete(s.kept, other)
		}
	}
}
