package fleet

import (
	"strconv"

	"dahliarudder/internal/drift"
)

// How far relays may be apart by their lists of discovery's before it counts.
const (
	listLag   = int64(silentAfter / 1e6) // a relay holds what was newest so long ago, or newer: discovery tells within 2 s, words take two more
	listGrace = 15_000                   // one whose list fell is followed by the others by then, if discovery has begun anew
)

// lists reckons how new a list each relay is to hold, from what those say that are heard. Generations rise with each change, many a second in a large
// fleet, so no two relays say the same; and they begin anew, lower, where discovery has lost them.
type lists struct {
	newest      uint64 // that two relays say, or the one of two: one alone may claim what is not so
	floor, next uint64 // what was newest between one and two lags ago; what will be next
	turned      int64
	began       int64
	anew        bool // discovery has begun anew
}

// listed is what is known of one relay's list.
type listed struct {
	gen     uint64 // last said; 0 never
	fell    bool   // it went down, since fellAt
	fellAt  int64
	old     bool   // most have gone down, and this one has not: it counts for nothing until it moves
	ahead   uint64 // claimed at aheadAt, newer than what is newest, which has not come so far since
	aheadAt int64
	over    bool // and that for too long
	forget  bool // what the watch thinks of it counts no more
}

// say takes a relay's word on its list. One that fell is not taken at once for a relay that goes back: discovery may have begun anew. Anew is that it
// fell at some time of this process, which a new leader has not seen.
func (l *listed) say(now int64, gen uint64, anew bool, of lists) {
	switch {
	case gen == 0 || gen == l.gen:
		return
	case l.gen == 0:
		l.fell, l.fellAt = anew, now
		l.old = of.anew && !anew && gen > of.newest
	default:
		if gen < l.gen && !l.fell {
			l.fell, l.fellAt = true, now
		}
		l.old = false
	}
	l.gen = gen
}

// relist reckons anew.
func (s *scene) relist(now int64) {
	l := &s.lists
	if l.began == 0 {
		l.began = now
	}
	live, fell := 0, 0
	for _, h := range s.words {
		if now-h.at <= silentAfter.Milliseconds() && h.list.gen > 0 {
			if live++; h.list.fell {
				fell++
			}
		}
	}
	if 2*fell > live && now-l.began >= listLag { // before that too few are heard to say what most do
		*l = lists{began: l.began, turned: now, anew: true}
		for _, h := range s.words {
			h.list.old, h.list.fell, h.list.ahead = !h.list.fell, false, 0
		}
	}
	var first, second uint64
	for _, h := range s.words {
		if g := h.list.gen; now-h.at > silentAfter.Milliseconds() || h.list.old || g <= second {
		} else if g > first {
			first, second = g, first
		} else {
			second = g
		}
	}
	if l.newest = second; live <= 2 || second == 0 {
		l.newest = first
	}
	if now-l.turned >= listLag {
		l.floor, l.next, l.turned = l.next, l.newest, now
	}
}

// listItem is what a relay is to hold: its own list, while that is new enough.
func (s *scene) listItem(now int64, l *listed) drift.Item {
	n, gen := s.lists.newest, l.gen
	floor := min(s.lists.floor, n)
	switch {
	case gen <= n, l.old:
		l.ahead = 0
	case l.ahead == 0 || n >= l.ahead:
		l.ahead, l.aheadAt = gen, now
	}
	if l.fell && floor > 0 && gen >= floor {
		l.fell = false
	}
	over := l.ahead > 0 && n > 0 && now-l.aheadAt > listLag
	l.forget = l.forget || over && !l.over // its own generation was good until now; it is not an old one for that
	if l.over = over; over || l.old || gen < floor && !(l.fell && now-l.fellAt < listGrace) {
		gen = n
	}
	return listOf(gen)
}

func listOf(gen uint64) drift.Item {
	return drift.Item{Name: drift.List, Version: gen, Digest: digestOf([]string{strconv.FormatUint(gen, 10)})}
}
