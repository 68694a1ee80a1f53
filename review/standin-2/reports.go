package main

import (
	"fmt"
	"sync"
	"time"

	"dahliarudder/internal/fakes"
)

// The case "reports": one of eight members spoils its load reports for some seconds; later a member comes
// up cold.
const (
	reportsRelays = 8
	reportsSpoilt = 8 * time.Second
	reportsText   = "x0=1.05,x1=0,inflight=18446744073709551615"
)

func playReports(p *play) (broken bool, err error) {
	servers, err := newPool(p, 8)
	if err != nil {
		return false, err
	}
	for _, m := range servers.members[:7] {
		m.setReport(fullReport)
	}
	cold := servers.members[7]
	cold.capacity = liarCapacity
	cold.quiet = true
	servers.discovery.SetLifecycle(cold.id, fakes.Draining)
	var relays []*relay
	var processes []*process
	for i := range reportsRelays {
		name := fmt.Sprintf("relay-%d", i+1)
		discovery, err := servers.openFor(name)
		if err != nil {
			return false, err
		}
		r, err := newRelay(p, name, discovery, reportsRelays)
		if err != nil {
			return false, err
		}
		r.config["settings"].(object)["extra"].(object)["tenant-quota-connections"] = []int{4000, 4000, 4000}
		relays = append(relays, r)
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
	for _, r := range relays {
		defer clientsHolding(p, r, liarEvery/2)()
	}
	time.Sleep(6 * time.Second)
	if p.trouble {
		servers.members[0].setReport(reportsText)
		p.logf("%s reports %s", servers.members[0].id, reportsText)
	}
	time.Sleep(reportsSpoilt)
	servers.members[0].setReport(fullReport)
	p.logf("%s reports as before", servers.members[0].id)
	time.Sleep(2 * time.Second)
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
