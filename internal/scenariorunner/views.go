package scenariorunner

import (
	"context"
	"sync"
	"time"

	"dahliarudder/internal/scenario"
)

// peerWatch counts how soon relays notice that another is down, and how often they suspect one that is not.
type peerWatch struct {
	*run
	downSince       map[string]time.Duration // sinceStart when a relay is killed or stopped; by name
	upSince         map[string]time.Duration // since when it is back
	noticed         []float64                // seconds, one for each relay that lived
	lastState       map[[2]string]string     // viewer, viewed: the state last seen
	noticedBy       map[[2]string]bool       // that one noticed this end
	falseSuspicions int                      // live relays suspected
	falseDeaths     int                      // live relays held for dead
}

// reviveGrace is how long after its return a relay may still be held for down.
const reviveGrace = 5 * time.Second

// poll asks all relays until the context ends.
func (v *peerWatch) poll(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range v.relays {
		all.Add(1)
		go func() {
			defer all.Done()
			for sleep(ctx, scenario.Millis(v.File.Relays.PollPeersMs)) {
				if n.exitReason() == "" && !v.isDown(n.name) {
					said := n.peerStates()
					v.locked(func(at time.Duration) { v.record(at, n.name, said) })
				}
			}
		}()
	}
	all.Wait()
}

func (v *peerWatch) isDown(name string) (down bool) {
	v.locked(func(time.Duration) { _, down = v.downSince[name] })
	return down
}

// relayDown and back are told by the time line; the lock is held.
func (v *peerWatch) relayDown(at time.Duration, name string) {
	v.downSince[name] = at
	for k := range v.noticedBy {
		if k[1] == name {
			delete(v.noticedBy, k)
		}
	}
}

func (v *peerWatch) relayUp(at time.Duration, name string) {
	delete(v.downSince, name)
	v.upSince[name] = at
}

// record is what one relay says; the lock is held.
func (v *peerWatch) record(at time.Duration, viewer string, said []peerState) {
	if _, is := v.downSince[viewer]; is || at-v.upSince[viewer] < reviveGrace {
		return // its own view is no older than that
	}
	for _, s := range said {
		pair := [2]string{viewer, s.Name}
		since, down := v.downSince[s.Name]
		low := s.State == "dead" || s.State == "gone" || s.State == "left"
		switch {
		case down && low && !v.noticedBy[pair]:
			v.noticedBy[pair] = true
			v.noticed = append(v.noticed, (at - since).Seconds())
		case !down && at-v.upSince[s.Name] > reviveGrace && at > reviveGrace && v.lastState[pair] != s.State:
			if s.State == "suspect" {
				v.falseSuspicions++
			} else if low {
				v.falseDeaths++
			}
		}
		v.lastState[pair] = s.State
	}
}
