package fleet

import (
	"strconv"

	"dahliarudder/internal/drift"
)

// How far relays may be apart by their lists of discovery's before it counts.
const (
	maxListLag = int64(silenceTimeout / 1e6) // a relay holds what was newest so long ago, or newer: discovery tells within 2 s, words take two more
	listGrace  = 15_000                      // one whose list fell is followed by the others by then, if discovery has begun anew
)

// listTracker reckons how new a list each relay is to hold, from what those say that are heard. Generations rise with each change, many a second in a large
// fleet, so no two relays say the same; and they begin anew, lower, where discovery has lost them.
type listTracker struct {
	newest      uint64 // that two relays say, or the one of two: one alone may claim what is not so
	floor, next uint64 // what was newest between one and two lags ago; what will be next
	rotatedAt   int64
	startedAt   int64
	restarted   bool // discovery has begun anew
}

// relayList is what is known of one relay's list.
type relayList struct {
	generation uint64 // last said; 0 never
	fell       bool   // it went down, since fellAt
	fellAt     int64
	stale      bool   // most have gone down, and this one has not: it counts for nothing until it moves
	claimed    uint64 // claimed at claimedAt, newer than what is newest, which has not come so far since
	claimedAt  int64
	outlier    bool // and that for too long
	resetWatch bool // what the watch thinks of it counts no more
}

// observe takes a relay's word on its list. One that fell is not taken at once for a relay that goes back: discovery may have begun anew. Anew is that it
// fell at some time of this process, which a new leader has not seen.
func (l *relayList) observe(now int64, gen uint64, anew bool, of listTracker) {
	switch {
	case gen == 0 || gen == l.generation:
		return
	case l.generation == 0:
		l.fell, l.fellAt = anew, now
		l.stale = of.restarted && !anew && gen > of.newest
	default:
		if gen < l.generation && !l.fell {
			l.fell, l.fellAt = true, now
		}
		l.stale = false
	}
	l.generation = gen
}

// updateLists reckons anew.
func (s *fleetStatus) updateLists(now int64) {
	l := &s.lists
	if l.startedAt == 0 {
		l.startedAt = now
	}
	live, fell := 0, 0
	for _, h := range s.relays {
		if now-h.receivedAt <= silenceTimeout.Milliseconds() && h.listState.generation > 0 {
			if live++; h.listState.fell {
				fell++
			}
		}
	}
	if 2*fell > live && now-l.startedAt >= maxListLag { // before that too few are heard to say what most do
		*l = listTracker{startedAt: l.startedAt, rotatedAt: now, restarted: true}
		for _, h := range s.relays {
			h.listState.stale, h.listState.fell, h.listState.claimed = !h.listState.fell, false, 0
		}
	}
	var first, second uint64
	for _, h := range s.relays {
		if g := h.listState.generation; now-h.receivedAt > silenceTimeout.Milliseconds() || h.listState.stale || g <= second {
		} else if g > first {
			first, second = g, first
		} else {
			second = g
		}
	}
	if l.newest = second; live <= 2 || second == 0 {
		l.newest = first
	}
	if now-l.rotatedAt >= maxListLag {
		l.floor, l.next, l.rotatedAt = l.next, l.newest, now
	}
}

// expectedList is what a relay is to hold: its own list, while that is new enough.
func (s *fleetStatus) expectedList(now int64, l *relayList) drift.Item {
	n, gen := s.lists.newest, l.generation
	floor := min(s.lists.floor, n)
	switch {
	case gen <= n, l.stale:
		l.claimed = 0
	case l.claimed == 0 || n >= l.claimed:
		l.claimed, l.claimedAt = gen, now
	}
	if l.fell && floor > 0 && gen >= floor {
		l.fell = false
	}
	over := l.claimed > 0 && n > 0 && now-l.claimedAt > maxListLag
	l.resetWatch = l.resetWatch || over && !l.outlier // its own generation was good until now; it is not an old one for that
	if l.outlier = over; over || l.stale || gen < floor && !(l.fell && now-l.fellAt < listGrace) {
		gen = n
	}
	return listDriftItem(gen)
}

func listDriftItem(gen uint64) drift.Item {
	return drift.Item{Name: drift.ItemEndpointList, Version: gen, Digest: digestOf([]string{strconv.FormatUint(gen, 10)})}
}
