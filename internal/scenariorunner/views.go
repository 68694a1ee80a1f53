package scenariorunner

import (
	"context"
	"sync"
	"time"

	"dahliarudder/internal/scenario"
)

// views counts how soon relays notice that another is down, and how often they suspect one that is not.
type views struct {
	*run
	down    map[string]time.Duration // since when a relay is killed or stopped; by name
	up      map[string]time.Duration // since when it is back
	noticed []float64                // seconds, one for each relay that lived
	have    map[[2]string]string     // viewer, viewed: the state last seen
	told    map[[2]string]bool       // that one noticed this end
	false_  int                      // live relays suspected
	dead    int                      // live relays held for dead
}

// settles is how long after its return a relay may still be held for down.
const settles = 5 * time.Second

// watch asks all relays until the context ends.
func (v *views) watch(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range v.relays {
		all.Add(1)
		go func() {
			defer all.Done()
			for sleep(ctx, scenario.Millis(v.File.Relays.PollPeersMs)) {
				if n.ended() == "" && !v.isDown(n.name) {
					said := n.account()
					v.with(func(at time.Duration) { v.take(at, n.name, said) })
				}
			}
		}()
	}
	all.Wait()
}

func (v *views) isDown(name string) (down bool) {
	v.with(func(time.Duration) { _, down = v.down[name] })
	return down
}

// gone and back are told by the time line; the lock is held.
func (v *views) gone(at time.Duration, name string) {
	v.down[name] = at
	for k := range v.told {
		if k[1] == name {
			delete(v.told, k)
		}
	}
}

func (v *views) back(at time.Duration, name string) {
	delete(v.down, name)
	v.up[name] = at
}

// take is what one relay says; the lock is held.
func (v *views) take(at time.Duration, viewer string, said []seen) {
	if _, is := v.down[viewer]; is || at-v.up[viewer] < settles {
		return // its own view is no older than that
	}
	for _, s := range said {
		pair := [2]string{viewer, s.Name}
		since, down := v.down[s.Name]
		low := s.State == "dead" || s.State == "gone" || s.State == "left"
		switch {
		case down && low && !v.told[pair]:
			v.told[pair] = true
			v.noticed = append(v.noticed, (at - since).Seconds())
		case !down && at-v.up[s.Name] > settles && at > settles && v.have[pair] != s.State:
			if s.State == "suspect" {
				v.false_++
			} else if low {
				v.dead++
			}
		}
		v.have[pair] = s.State
	}
}
