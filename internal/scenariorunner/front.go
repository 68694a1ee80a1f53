package scenariorunner

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"dahliarudder/internal/scenario"
)

// front simulates the load balancers in front of the relays: it checks the relays' health and
// assigns the clients of each zone to the relays of that zone.
type front struct {
	*run
	addrs map[string]string // by relay name

	lock     sync.Mutex
	lastPong map[string]time.Time
	admitted map[string]bool // relays that clients are assigned to
}

func newFront(r *run) *front {
	return &front{run: r, addrs: map[string]string{}, lastPong: map[string]time.Time{}, admitted: map[string]bool{}}
}

const (
	// startingPingInterval is the longest interval between two pings of a relay that is not admitted.
	startingPingInterval = 50 * time.Millisecond
	pingTimeout          = time.Second
)

// start checks the health of every relay until the run ends.
func (f *front) start() {
	for _, n := range f.relays {
		f.background.start(func(ctx context.Context) { f.checkHealth(ctx, n) })
	}
}

// checkHealth pings a relay until the context ends.
func (f *front) checkHealth(ctx context.Context, n *relay) {
	for ctx.Err() == nil {
		healthy := f.ping(n)
		if healthy {
			f.recordReady(n)
		}
		interval := scenario.Millis(f.File.Front.PingMs)
		if !f.update(n.name, healthy) {
			interval = min(interval, startingPingInterval)
		}
		sleep(ctx, interval)
	}
}

// update records the result of a ping and returns whether the relay is admitted. A relay is no
// longer admitted when its last healthy ping is older than the failure timeout.
func (f *front) update(name string, healthy bool) (admitted bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if now := time.Now(); healthy {
		f.lastPong[name], f.admitted[name] = now, true
	} else if now.Sub(f.lastPong[name]) > scenario.Millis(f.File.Front.FailureTimeoutMs) {
		f.admitted[name] = false
	}
	return f.admitted[name]
}

// recordReady reports to the judge, at the first healthy ping of a process, how long its start took.
func (f *front) recordReady(n *relay) {
	f.locked(func(at time.Duration) {
		if n.lastReadyStart == n.starts {
			return
		}
		n.lastReadyStart = n.starts
		f.judge.RelayReady(at, n.name, at-n.processStartedAt)
	})
}

func (f *front) ping(n *relay) (healthy bool) {
	c, err := net.DialTimeout("tcp", f.addrs[n.name], pingTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(pingTimeout))
	fmt.Fprint(c, "PING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "PONG\r\n"
}

func (f *front) isAdmitted(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.admitted[name]
}

func (f *front) admittedCount() (n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, admitted := range f.admitted {
		if admitted {
			n++
		}
	}
	return n
}

// remove stops assigning clients to a relay until its next healthy ping.
func (f *front) remove(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.admitted[name] = false
}

// pick assigns a client of a zone to a random admitted relay of that zone. It returns nil if none is
// admitted.
func (f *front) pick(zone int, rng *rand.Rand) *relay {
	f.lock.Lock()
	defer f.lock.Unlock()
	var candidates []*relay
	for _, n := range f.relays {
		if n.zone == zone && f.admitted[n.name] {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rng.IntN(len(candidates))]
}
