package pool

import (
	"slices"
	"time"
)

// StartTimes converts the members' start times, which discovery lists in Unix time, to the relay's
// monotonic clock. The wall clock of any machine may have been stepped, by seconds or by an hour, so
// a start time is converted with every offset of the two clocks that was observed. Of different
// results, the latest one that is not in the future is used: a member that is considered younger than
// it is gets less load for a while, but one that is considered older may be overloaded.
type StartTimes struct {
	// Clock is the relay's monotonic clock; WallClock is the wall clock of its machine.
	Clock     func() time.Duration
	WallClock func() time.Time
	// MaxListingDelay is the maximum time from a member's start until discovery lists it.
	MaxListingDelay time.Duration

	offsets    []time.Duration // observed differences of Unix time and Clock, the newest last
	starts     map[string]start
	lastListAt time.Duration // when the last list came from discovery; 0 while there is only a cached list
}

// start is a converted start time.
type start struct {
	unixMilli  float64
	at         time.Duration
	lastListed time.Duration // when it was last listed
}

const (
	// maxOffsets is the maximum number of offsets kept; clocks are rarely stepped.
	maxOffsets = 8
	// minOffsetStep is the smallest difference between two offsets that are kept separately, and
	// thus the error of a converted start time. It is a hundredth of the warm-up time of members on
	// the known sites.
	minOffsetStep = 100 * time.Millisecond
	// minDateSkew is how much discovery's Date header must differ from the known offsets to be kept
	// as one: it has a resolution of one second and arrives with a delay.
	minDateSkew = 2 * time.Second
	// maxStarts is the number of start times kept for members that may be listed again: twice the
	// size of the largest fleet.
	maxStarts = 8192
)

// Resolve returns a member's start time on the relay's clock, or 0 if discovery lists none, which
// means that the member started long ago. The result is the same each time that start is listed.
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

// resolveNew converts a start time that was not listed before. Previous is the converted start time
// that was listed for the member until now, that of an earlier process; 0 if there was none.
func (s *StartTimes) resolveNew(now time.Duration, unixMilli float64, previous time.Duration) time.Duration {
	at, found := time.Duration(0), false
	for _, offset := range s.offsets {
		if candidate := time.Duration(unixMilli*float64(time.Millisecond)) - offset; candidate <= now && (!found || candidate > at) {
			at, found = candidate, true
		}
	}
	switch {
	case !found, previous != 0 && at <= previous: // it contradicts the clock or the previous start
		at = now
	case s.lastListAt != 0 && now-at > now-s.lastListAt+s.MaxListingDelay: // the last list would have had it
		at = now
	}
	if at == 0 { // 0 stands for a start long ago
		at = 1
	}
	return at
}

// observeWallClock records the current offset of the machine's wall clock.
func (s *StartTimes) observeWallClock(now time.Duration) {
	s.addOffset(time.Duration(s.WallClock().UnixNano())-now, minOffsetStep)
}

// addOffset records an offset unless it differs by less than minStep from a recorded one.
func (s *StartTimes) addOffset(offset, minStep time.Duration) {
	for _, other := range s.offsets {
		if (offset - other).Abs() < minStep {
			return
		}
	}
	s.offsets = append(s.offsets, offset)
	s.offsets = s.offsets[max(0, len(s.offsets)-maxOffsets):]
}

// ListReceived records that a list was received from discovery. It is called after Resolve was
// called for the list's instances.
func (s *StartTimes) ListReceived() { s.lastListAt = s.Clock() }

// ObserveDiscoveryDate records the offset of discovery's clock, given the Date header of its answer.
func (s *StartTimes) ObserveDiscoveryDate(date time.Time) {
	now := s.Clock()
	s.observeWallClock(now)
	s.addOffset(time.Duration(date.UnixNano())-now, minDateSkew)
}

// UnixMilli converts a time on the relay's clock to Unix milliseconds. If it is the start time of the
// named member, the result is the value that discovery listed.
func (s *StartTimes) UnixMilli(name string, at time.Duration) int64 {
	if listed, known := s.starts[name]; known && listed.at == at {
		return int64(listed.unixMilli)
	}
	now := s.Clock()
	return s.WallClock().Add(at - now).UnixMilli()
}

// remember stores a start time. When there are more than 2*maxStarts, it drops those that have not
// been listed for the longest time.
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
