package scenariorunner

import (
	"context"
	"sync"
	"time"

	"dahliarudder/internal/scenario"
)

// relayPair is a relay (viewer) and another relay whose state it reports (viewed).
type relayPair struct{ viewer, viewed string }

// peerWatch measures how soon relays notice that another relay is down, and how often they suspect
// a live one. It is guarded by the run's lock.
type peerWatch struct {
	run             *run
	downSince       map[string]time.Duration // when relays that are down were killed or stopped
	upSince         map[string]time.Duration // when relays were last back up
	noticed         []float64                // seconds until a live relay noticed that another was down
	noticedBy       map[relayPair]bool       // pairs whose viewer has noticed the current failure
	lastState       map[relayPair]string
	falseSuspicions int // how often a relay reported a live one as suspect
	falseDeaths     int // how often a relay reported a live one as dead, gone or left
}

func newPeerWatch(r *run) *peerWatch {
	return &peerWatch{run: r, downSince: map[string]time.Duration{}, upSince: map[string]time.Duration{},
		lastState: map[relayPair]string{}, noticedBy: map[relayPair]bool{}}
}

// reviveGrace is how long after a relay is back up another relay may still report it as down.
const reviveGrace = 5 * time.Second

// poll polls the views of all relays until the context ends.
func (w *peerWatch) poll(ctx context.Context) {
	r := w.run
	var all sync.WaitGroup
	for _, n := range r.relays {
		all.Go(func() {
			for sleep(ctx, scenario.Millis(r.File.Relays.PollPeersMs)) {
				if n.exitReason() == "" && !w.isDown(n.name) {
					states := n.peerStates()
					r.locked(func(at time.Duration) { w.record(at, n.name, states) })
				}
			}
		})
	}
	all.Wait()
}

func (w *peerWatch) isDown(name string) (down bool) {
	w.run.locked(func(time.Duration) { _, down = w.downSince[name] })
	return down
}

// relayDown records that a relay was killed or stopped. The caller holds the lock.
func (w *peerWatch) relayDown(at time.Duration, name string) {
	w.downSince[name] = at
	for pair := range w.noticedBy {
		if pair.viewed == name {
			delete(w.noticedBy, pair)
		}
	}
}

// relayUp records that a relay is back up. The caller holds the lock.
func (w *peerWatch) relayUp(at time.Duration, name string) {
	delete(w.downSince, name)
	w.upSince[name] = at
}

// record evaluates one relay's view of the others. The caller holds the lock.
func (w *peerWatch) record(at time.Duration, viewer string, states []peerState) {
	if _, down := w.downSince[viewer]; down || at-w.upSince[viewer] < reviveGrace {
		return // the view may date from before the relay was down
	}
	for _, s := range states {
		pair := relayPair{viewer, s.Name}
		since, down := w.downSince[s.Name]
		seenDown := s.State == "dead" || s.State == "gone" || s.State == "left"
		switch {
		case down && seenDown && !w.noticedBy[pair]:
			w.noticedBy[pair] = true
			w.noticed = append(w.noticed, (at - since).Seconds())
		case !down && at-w.upSince[s.Name] > reviveGrace && at > reviveGrace && w.lastState[pair] != s.State:
			if s.State == "suspect" {
				w.falseSuspicions++
			} else if seenDown {
				w.falseDeaths++
			}
		}
		w.lastState[pair] = s.State
	}
}
