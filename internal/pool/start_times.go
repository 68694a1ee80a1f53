package pool

import (
	"slices"
	"time"
)

// StartTimes converts the start times that discovery lists in Unix time to the relay's monotonic clock. The wall clock of any
// machine may have been stepped, by seconds or by an hour, so a start is converted by every offset of the two clocks that
// was seen. Where the results differ the latest start that is not ahead of now counts: a member that is taken for younger
// than it is gets less for a while, one that is taken for older may be overloaded.
type StartTimes struct {
	// Clock is the relay's monotonic clock; WallClock is the machine's.
	Clock     func() time.Duration
	WallClock func() time.Time
	// MaxListingDelay is how long after its start discovery may list a member.
	MaxListingDelay time.Duration

	offsets    []time.Duration // of Unix time from the relay's clock, as they were seen; the newest last
	starts     map[string]start
	lastListAt time.Duration // when discovery's list last came; 0 while there is only a cached one
}

// start is a start time that was converted.
type start struct {
	unixMilli  float64
	at         time.Duration
	lastListed time.Duration // when it last was
}

const (
	// maxOffsets is how many offsets are remembered: clocks are stepped seldom.
	maxOffsets = 8
	// minOffsetStep is by how much two offsets differ that count as two. It is a hundredth of the time in which members warm up
	// on the known sites, and a start may be wrong by that much.
	minOffsetStep = 100 * time.Millisecond
	// minDateSkew is by how much discovery's date has to differ from this machine's clock to count: it has whole seconds, and
	// comes late.
	minDateSkew = 2 * time.Second
	// maxStarts is how many starts are remembered, of members that may be listed again: twice those of the largest fleet.
	maxStarts = 8192
)

// Resolve is the start of a member on the relay's clock; 0 if it was long ago. It stays the same however often that start is
// listed.
func (s *StartTimes) Resolve(name string, unixMilli float64) time.Duration {
	if unixMilli == 0 {
		return 0
	}
	now := s.Clock()
	s.observeWallClock(now)
	listed, known := s.starts[name]
	if !known || listed.unixMilli != unixMilli {
		listed = start{unixMilli: unixMilli, at: s.resolveNew(now, unixMilli, listed.at)}
	}
	listed.lastListed = now
	s.remember(name, listed)
	return listed.at
}

// resolveNew converts a start that was not listed before. Previous is the start that was listed for the member until now, of an
// earlier process; 0 for none.
func (s *StartTimes) resolveNew(now time.Duration, unixMilli float64, previous time.Duration) time.Duration {
	at, found := time.Duration(0), false
	for _, offset := range s.offsets {
		if candidate := time.Duration(unixMilli*float64(time.Millisecond)) - offset; candidate <= now && (!found || candidate > at) {
			at, found = candidate, true
		}
	}
	switch {
	case !found, previous != 0 && at <= previous: // it contradicts the clock, or the earlier start
		at = now
	case s.lastListAt != 0 && now-at > now-s.lastListAt+s.MaxListingDelay: // an earlier list would have had it
		at = now
	}
	if at == 0 { // 0 means long ago
		at = 1
	}
	return at
}

// observeWallClock records the present offset of the machine's clock.
func (s *StartTimes) observeWallClock(now time.Duration) {
	s.addOffset(time.Duration(s.WallClock().UnixNano())-now, minOffsetStep)
}

// addOffset records an offset that differs by at least minStep from all recorded ones.
func (s *StartTimes) addOffset(offset, minStep time.Duration) {
	for _, other := range s.offsets {
		if (offset - other).Abs() < minStep {
			return
		}
	}
	s.offsets = append(s.offsets, offset)
	s.offsets = s.offsets[max(0, len(s.offsets)-maxOffsets):]
}

// ListReceived records that a list has come from discovery, and that Resolve was called for its instances.
func (s *StartTimes) ListReceived() { s.lastListAt = s.Clock() }

// ObserveDiscoveryDate records what discovery's own clock showed when it answered.
func (s *StartTimes) ObserveDiscoveryDate(date time.Time) {
	now := s.Clock()
	s.observeWallClock(now)
	s.addOffset(time.Duration(date.UnixNano())-now, minDateSkew)
}

// UnixMilli is a time of the relay's clock in Unix milliseconds; for a member's start it is what discovery listed.
func (s *StartTimes) UnixMilli(name string, at time.Duration) int64 {
	if listed, known := s.starts[name]; known && listed.at == at {
		return int64(listed.unixMilli)
	}
	now := s.Clock()
	return s.WallClock().Add(at - now).UnixMilli()
}

// remember stores a start, and drops those that were not listed for longest when there are too many.
func (s *StartTimes) remember(name string, resolved start) {
	if s.starts == nil {
		s.starts = map[string]start{}
	}
	s.starts[name] = resolved
	if len(s.starts) <= 2*maxStarts {
		return
	}
	times := make([]time.Duration, 0, len(s.starts))
	for _, other := range s.starts {
		times = append(times, other.lastListed)
	}
	slices.Sort(times)
	oldest := times[len(times)-maxStarts]
	for other, start := range s.starts {
		if start.lastListed < oldest {
			delete(s.starts, other)
		}
	}
}
