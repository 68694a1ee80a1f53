package fleet

import (
	"strconv"

	"dahliarudder/internal/drift"
)

// Limits of how far a relay's endpoint list may be behind the lists of other relays.
const (
	// maxListLagMS is how old the newest list may be before every relay must have it: discovery
	// delivers a list within 2 s, and reports take another 2 s.
	maxListLagMS = int64(silenceTimeout / 1e6)
	// listRestartGraceMS is how long a list whose generation fell may stay at a lower generation
	// than the others. If discovery has restarted, the other lists have fallen too by then.
	listRestartGraceMS = 15_000
)

// listTracker derives from the relays' reports which generation of the endpoint list each relay should
// have. In a large fleet the generation rises many times a second, so that no two relays report the
// same one. It restarts at a low number if discovery loses it.
type listTracker struct {
	// newest is the second highest reported generation, as a single relay may be wrong. With at most two
	// relays it is the highest.
	newest           uint64
	floor, nextFloor uint64 // newest as it was one to two maxListLagMS ago; the next value of floor
	rotatedAt        int64  // when nextFloor became floor
	startedAt        int64
	restarted        bool // discovery has restarted
}

// relayList is what the leader knows of one relay's endpoint list.
type relayList struct {
	generation uint64 // as last reported; 0: never reported
	fell       bool   // the generation went down at fellAt and has not reached the floor again
	fellAt     int64
	// stale is set if discovery has restarted and this list did not fall with the others. The list is
	// ignored until its generation changes.
	stale        bool
	ahead        uint64 // generation reported at aheadSince that newest has not reached since; 0: none
	aheadSince   int64
	aheadTooLong bool // the list has been ahead for more than maxListLagMS
	resetMonitor bool // the drift monitor must discard its state of this item
}

// observe processes a reported generation. A relay whose generation falls does not count as outdated
// at once, as discovery may have restarted. Restarted is the relay's statement that its generation
// fell earlier in this process, which a new leader has not seen.
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

// updateLists updates the tracker from the lists of all relays that are not silent. If most of these
// lists fell, discovery has restarted.
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
	// Before maxListLagMS has passed, too few relays have reported for a majority.
	if 2*fell > live && now-t.startedAt >= maxListLagMS {
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

// newestGenerations returns the two highest generations of relays that are neither silent nor stale.
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

// silent reports whether the relay's last report is older than the silence timeout.
func (r *relayStatus) silent(now int64) bool {
	return now-r.receivedAt > silenceTimeout.Milliseconds()
}

// expectedList returns the list that a relay should have: its own list, unless that is outdated,
// stale, or has been ahead of the others for too long.
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
	// Until now the relay's own generation was expected. The expected generation is about to fall,
	// which must not make the relay look outdated.
	l.resetMonitor = l.resetMonitor || tooLong && !l.aheadTooLong
	l.aheadTooLong = tooLong
	outdated := l.generation < floor && !(l.fell && now-l.fellAt < listRestartGraceMS)
	if tooLong || l.stale || outdated {
		return listDriftItem(newest)
	}
	return listDriftItem(l.generation)
}

// listDriftItem returns the drift item of a generation of the endpoint list.
func listDriftItem(generation uint64) drift.Item {
	return drift.Item{Name: drift.ItemEndpointList, Version: generation, Digest: digestOf([]string{strconv.FormatUint(generation, 10)})}
}
