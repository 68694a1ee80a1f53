package fleet

import (
	"strconv"

	"dahliarudder/internal/drift"
)

// How far a relay's endpoint list may be behind that of others.
const (
	// maxListLagMS is the age of the list that a relay must have reached: discovery delivers within 2 s, reports take two more.
	maxListLagMS = int64(silenceTimeout / 1e6)
	// listRestartGraceMS is how long a list may stay at a lower generation than others' after it fell: by then the others have followed if
	// discovery has restarted.
	listRestartGraceMS = 15_000
)

// listTracker finds out which generation of the endpoint list each relay should have, from what relays report. In a large fleet the
// generation rises many times a second, so that no two relays report the same one; and it restarts at a low number if discovery loses it.
type listTracker struct {
	newest           uint64 // generation that at least two relays have reached, or the newest of two relays: one alone may be wrong
	floor, nextFloor uint64 // newest as it was one to two lags ago; the next floor
	rotatedAt        int64  // when next became floor
	startedAt        int64
	restarted        bool // discovery has restarted
}

// relayList is what is known of one relay's endpoint list.
type relayList struct {
	generation   uint64 // as last reported; 0 never
	fell         bool   // the generation went down, at fellAt, and has not caught up
	fellAt       int64
	stale        bool   // discovery has restarted and this list has not followed: it is ignored until it changes
	ahead        uint64 // reported at aheadSince, beyond newest, which has not reached it since; 0 none
	aheadSince   int64
	aheadTooLong bool // and that for more than the lag
	resetMonitor bool // the drift monitor's state of the item is void
}

// observe takes a relay's reported generation. A relay whose generation falls is not taken for outdated at once, as discovery may have
// restarted. Restarted is the relay's word that it fell earlier in this process, which a new leader has not seen.
func (l *relayList) observe(now int64, generation uint64, restarted bool, tracker listTracker) {
	switch {
	case generation == 0 || generation == l.generation:
		return
	case l.generation == 0:
		l.fell, l.fellAt = restarted, now
		l.stale = tracker.restarted && !restarted && generation > tracker.newest
	default:
		if generation < l.generation && !l.fell {
			l.fell, l.fellAt = true, now
		}
		l.stale = false
	}
	l.generation = generation
}

// updateLists computes the tracker's state from all relays that are not silent.
func (f *fleetStatus) updateLists(now int64) {
	t := &f.lists
	if t.startedAt == 0 {
		t.startedAt = now
	}
	live, fell := 0, 0
	for _, r := range f.relays {
		if !r.silent(now) && r.list.generation > 0 {
			live++
			if r.list.fell {
				fell++
			}
		}
	}
	if 2*fell > live && now-t.startedAt >= maxListLagMS { // earlier, too few relays have reported to be a majority
		*t = listTracker{startedAt: t.startedAt, rotatedAt: now, restarted: true}
		for _, r := range f.relays {
			r.list.stale, r.list.fell, r.list.ahead = !r.list.fell, false, 0
		}
	}
	first, second := f.newestGenerations(now)
	t.newest = second
	if live <= 2 || second == 0 {
		t.newest = first
	}
	if now-t.rotatedAt >= maxListLagMS {
		t.floor, t.nextFloor, t.rotatedAt = t.nextFloor, t.newest, now
	}
}

// newestGenerations are the two highest generations among relays that are neither silent nor stale.
func (f *fleetStatus) newestGenerations(now int64) (first, second uint64) {
	for _, r := range f.relays {
		switch g := r.list.generation; {
		case r.silent(now) || r.list.stale || g <= second:
		case g > first:
			first, second = g, first
		default:
			second = g
		}
	}
	return first, second
}

// silent tells whether the relay has not reported for the silence timeout.
func (r *relayStatus) silent(now int64) bool {
	return now-r.receivedAt > silenceTimeout.Milliseconds()
}

// expectedList is the list that a relay should have: its own while that is new enough, and not too far ahead for too long.
func (f *fleetStatus) expectedList(now int64, l *relayList) drift.Item {
	newest, floor := f.lists.newest, min(f.lists.floor, f.lists.newest)
	switch {
	case l.generation <= newest, l.stale:
		l.ahead = 0
	case l.ahead == 0 || newest >= l.ahead:
		l.ahead, l.aheadSince = l.generation, now
	}
	if l.fell && floor > 0 && l.generation >= floor {
		l.fell = false
	}
	tooLong := l.ahead > 0 && newest > 0 && now-l.aheadSince > maxListLagMS
	// Its own generation was the expected one until now. That must not make it look outdated.
	l.resetMonitor = l.resetMonitor || tooLong && !l.aheadTooLong
	l.aheadTooLong = tooLong
	outdated := l.generation < floor && !(l.fell && now-l.fellAt < listRestartGraceMS)
	if tooLong || l.stale || outdated {
		return listDriftItem(newest)
	}
	return listDriftItem(l.generation)
}

// listDriftItem is the drift item of a generation of the endpoint list.
func listDriftItem(generation uint64) drift.Item {
	return drift.Item{Name: drift.ItemEndpointList, Version: generation, Digest: digestOf([]string{strconv.FormatUint(generation, 10)})}
}
