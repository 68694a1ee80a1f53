package main

import (
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/gossip"
)

// The case "liar": one peer, which has the installation's key, tells the relays that the others have left,
// while a member comes up cold.
const (
	liarRelays   = 16 // with the liar
	liarCapacity = 200.0
	liarEvery    = 110 * time.Millisecond // between two clients at one relay
	liarWatch    = 8600 * time.Millisecond
	// fullReport is the load report of a member with 210 connections that can carry 200.
	fullReport = "x0=1.05,x1=0,inflight=210"
)

// divisor finds the number in a relay's page on its peers.
var divisor = regexp.MustCompile(`"budgets_divided_by": [0-9.]+`)

// coldBudget returns the most requests that a member may get in the window of the settings, which ends at
// an age of the member: N + 2 x root of N + 2, or under 30 N + 3 x root of N + 3, where N is the multiple of the
// capacity that the member has at the end of the window.
func coldBudget(age time.Duration) float64 {
	const from, factor, window, warm = 0.31, 2.5, 3.0, 8.6
	share := min(from+(1-from)*age.Seconds()/warm, 1)
	n := factor * liarCapacity * share * window / warm
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// tellLies sends each relay signed datagrams of the peer "liar" that say that the other relays have left.
func tellLies(p *play, key, addr string, names, addrs []string) error {
	keys, err := gossip.ReadKeys(key)
	if err != nil {
		return unusable("%v", err)
	}
	conn, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return unusable("%v", err)
	}
	p.atEnd(func() { conn.Close() })
	start := time.Now()
	sealer := gossip.Sealer{Keys: keys, Name: "liar", Start: uint64(start.UnixMilli())}
	send := func(to int) {
		m := gossip.Message{Kind: gossip.Gossip, Updates: []gossip.Update{{Name: "liar", Addr: addr, State: gossip.Alive, Incarnation: uint64(start.UnixMilli()), Phase: gossip.Serving}}}
		for i, name := range names {
			if i != to {
				m.Updates = append(m.Updates, gossip.Update{Name: name, Addr: addrs[i], State: gossip.Left, Incarnation: math.MaxUint64, Phase: gossip.Leaving})
			}
		}
		content, _ := m.Append(nil, gossip.MaxDatagramSize-gossip.Overhead)
		target, _ := net.ResolveUDPAddr("udp4", addrs[to])
		conn.WriteTo(sealer.Seal(content, uint64(time.Since(start).Milliseconds())), target)
	}
	for range 3 {
		for i := range names {
			send(i)
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.logf("the peer has told its lies")
	return nil
}

func playLiar(p *play) (broken bool, err error) {
	servers, err := newPool(p, 5)
	if err != nil {
		return false, err
	}
	for _, m := range servers.members[:4] {
		m.setReport(fullReport)
	}
	cold := servers.members[4]
	cold.capacity = liarCapacity
	cold.quiet = true
	servers.discovery.SetLifecycle(cold.id, fakes.Draining)
	key := filepath.Join(p.dir, "peers.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("5a0c39f1", 8)+"\n"), 0o600); err != nil {
		return false, err
	}
	var names, gossipAddrs []string
	for i := range liarRelays - 1 {
		names, gossipAddrs = append(names, fmt.Sprintf("relay-%d", i+1)), append(gossipAddrs, freeAddr())
	}
	var relays []*relay
	for i, name := range names {
		discovery, err := servers.openFor(name)
		if err != nil {
			return false, err
		}
		r, err := newRelay(p, name, discovery, liarRelays)
		if err != nil {
			return false, err
		}
		r.config["settings"].(object)["extra"].(object)["tenant-quota-connections"] = []int{4000, 4000, 4000}
		r.config["peers"] = object{"listen": gossipAddrs[i], "known": gossipAddrs, "key_file": key}
		relays = append(relays, r)
	}
	var processes []*process
	for _, r := range relays {
		proc, err := r.run("", nil)
		if err != nil {
			return false, err
		}
		processes = append(processes, proc)
	}
	for i, r := range relays {
		if err := awaitReady(processes[i], r.operator, 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second) // gossip knows all, probes have learned the capacities
	for _, r := range relays {
		defer clientsHolding(p, r, liarEvery)()
	}
	time.Sleep(5 * time.Second)
	if p.trouble {
		if err := tellLies(p, key, freeAddr(), names, gossipAddrs); err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
	}
	for i, r := range relays {
		_, body, _ := call("GET", r.operator, "/-/peers", time.Second)
		p.logf("%s divides the budget of a cold member by %s", names[i], divisor.FindString(body))
	}
	var mu sync.Mutex
	var arrivals []time.Time
	cold.onOpen = func(_, _ string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, at)
	}
	startedAt := time.Now()
	servers.discovery.Put(fakes.Entry{ID: cold.id, Zone: "kirkton", Kind: "fast-pair", Lifecycle: fakes.Serving, Weight: 1, Started: startedAt.UnixMilli()})
	p.logf("%s is up, cold", cold.id)
	time.Sleep(liarWatch)
	mu.Lock()
	defer mu.Unlock()
	return overBudget(p, cold.id, startedAt, arrivals), nil
}

// overBudget reports whether a member that started cold got more requests than the rule allows in any span of 3 s.
func overBudget(p *play, id string, startedAt time.Time, arrivals []time.Time) bool {
	worst, worstText := 0.0, ""
	for i, at := range arrivals {
		first := 0
		for arrivals[first].Before(at.Add(-3 * time.Second)) {
			first++
		}
		age, count := at.Sub(startedAt), i-first+1
		p.logf("%s got request %d at an age of %v; in the last 3 s %d, %.0f are allowed", id, i+1, age, count, coldBudget(age))
		if over := float64(count) / coldBudget(age); over > worst {
			worst, worstText = over, fmt.Sprintf("%d requests in 3 s at an age of %v, where %.0f are allowed", count, age, coldBudget(age))
		}
	}
	p.logf("requests at the cold member: %d; the fullest window: %s, %.2f times that", len(arrivals), worstText, worst)
	return worst > 1
}

// clientsHolding opens connections at a relay that stay until the run ends.
func clientsHolding(p *play, r *relay, every time.Duration) (stop func()) {
	quit := make(chan struct{})
	var once sync.Once
	go func() {
		for n := 1; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(every):
			}
			go func() {
				c, err := net.DialTimeout("tcp", r.listen, time.Second)
				if err != nil {
					return
				}
				id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&math.MaxUint32, n)
				fmt.Fprintf(c, "OPEN %s %s c=pay-status,t=water,d=2000,h=2\r\n", id, id)
				c.SetReadDeadline(time.Now().Add(4 * time.Second))
				line, _ := readLine(c)
				if !strings.HasPrefix(line, "UP") {
					c.Close()
					return
				}
				p.atEnd(func() { c.Close() })
			}()
		}
	}()
	return func() { once.Do(func() { close(quit) }) }
}
