package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"dahliarudder/internal/fakes"
)

// The case "pick": a proxy calls the processor, gets no answer in time and asks again, while the
// process of the relay is being replaced.
const (
	pickDelay   = time.Second             // of the first answer
	pickTimeout = 500 * time.Millisecond  // after which the proxy asks again
	pickSetUp   = 1200 * time.Millisecond // what a member takes to set a connection up in this case
)

// attempts are what the proxy carries out: each attempt that the processor names, once.
type attempts struct {
	play    *play
	mu      sync.Mutex
	started map[string]bool // by the processor's id and number of the attempt
	wg      sync.WaitGroup
}

// carryOut makes an attempt of a request at the member that a verdict names, and reports how it ended.
func (a *attempts) carryOut(c *caller, v verdict, request string) {
	a.mu.Lock()
	key := fmt.Sprint(v.ID, "/", v.Attempt)
	again := a.started[key]
	a.started[key] = true
	a.mu.Unlock()
	if again {
		a.play.logf("%s: attempt %s is under way already", c.name, key)
		return
	}
	a.wg.Go(func() {
		a.play.logf("%s: attempt %s at %s begins", c.name, key, v.Member)
		outcome := "connect_failed"
		if conn, err := net.Dial("tcp", v.Addr); err == nil {
			defer conn.Close()
			fmt.Fprintf(conn, "OPEN %s %s c=pay-status,t=water,d=%d\r\n", request, request, v.WaitMS)
			conn.SetReadDeadline(time.Now().Add(time.Duration(v.WaitMS) * time.Millisecond))
			outcome = "reset"
			if line, err := readLine(conn); err == nil && line[:2] == "UP" {
				fmt.Fprint(conn, "END\r\n")
				io.ReadAll(conn)
				outcome = "ok"
			}
		}
		a.play.logf("%s: attempt %s ended: %s", c.name, key, outcome)
		c.call("_dahlia.report", object{"id": v.ID, "try": v.Attempt, "outcome": outcome})
	})
}

// overlaps counts the attempts of one request that began while another one was out, as the members see it.
type overlaps struct {
	play  *play
	mu    sync.Mutex
	out   map[string]int
	count int
}

func (o *overlaps) begin(_, id string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.out[id]++; o.out[id] > 1 {
		o.count++
		o.play.logf("request %s has %d attempts out at once", id, o.out[id])
	}
}

func (o *overlaps) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out[id]--
}

func playPick(p *play) (broken bool, err error) {
	servers, err := newPool(p, 4)
	if err != nil {
		return false, err
	}
	discovery, err := servers.openFor("relay-1")
	if err != nil {
		return false, err
	}
	r, err := newRelay(p, "relay-1", discovery, 1)
	if err != nil {
		return false, err
	}
	nats := freeAddr()
	r.config["fronts"] = object{"line": object{}, "nats": object{"listen": nats, "class": "pay-status", "tenant": "water"}}
	old, err := r.run("", nil)
	if err != nil {
		return false, err
	}
	if err := awaitReady(old, r.operator, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	// The proxy's connections pass a forwarder that can hold the answers back.
	forwarder, err := fakes.NewTCPProxy(nats)
	if err != nil {
		return false, unusable("%v", err)
	}
	p.atEnd(forwarder.Close)
	first, err := newCaller(p, "one", forwarder.Addr())
	if err != nil {
		return false, err
	}
	warm, ok := await(first.call("_dahlia.pick", object{"name": "warm-up", "class": "pay-status", "tenant": "water", "wait_ms": 2000}), 3*time.Second)
	if !ok || warm.Verdict != "send" {
		return false, unusable("the first call got %+v", warm)
	}
	if done, ok := await(first.call("_dahlia.report", object{"id": warm.ID, "try": warm.Attempt, "outcome": "ok"}), 3*time.Second); !ok || done.Verdict != "served" {
		return false, unusable("the first report got %+v", done)
	}

	operator := r.operator
	if p.trouble {
		operator = freeAddr()
		successor, err := r.run("-new", func(c object) { c["operator"], c["seed"] = operator, "1b2c3d4e5f607182" })
		if err != nil {
			return false, err
		}
		startedAt := time.Now()
		if err := awaitReady(successor, operator, 6*time.Second); err != nil {
			return false, err
		}
		p.logf("the new process says yes after %v", time.Since(startedAt))
	}
	// Its second connection is one that it opens now.
	second, err := newCaller(p, "two", nats)
	if err != nil {
		return false, err
	}

	seen := &overlaps{play: p, out: map[string]int{}}
	for _, m := range servers.members {
		m.setUp, m.onOpen, m.onEnd = pickSetUp, seen.begin, seen.end
	}
	work := &attempts{play: p, started: map[string]bool{}}
	const name = "00000000004711aa"
	request := object{"name": name, "class": "pay-status", "tenant": "water", "wait_ms": 3000}
	forwarder.SetImpairment(fakes.Impairment{}, fakes.Impairment{Delay: pickDelay})
	firstAnswer := first.call("_dahlia.pick", request)
	if _, ok := await(firstAnswer, pickTimeout); ok {
		return false, unusable("the first answer was not late")
	}
	p.logf("no answer after %v: the proxy asks again over its other connection", pickTimeout)
	secondAnswer := second.call("_dahlia.pick", request)
	for _, answer := range []struct {
		by *caller
		to <-chan verdict
	}{{second, secondAnswer}, {first, firstAnswer}} {
		if v, ok := await(answer.to, 2*time.Second); ok && v.Verdict == "send" {
			work.carryOut(answer.by, v, name)
		}
	}
	if len(work.started) == 0 {
		return false, unusable("no attempt was made")
	}
	work.wg.Wait()
	time.Sleep(time.Second)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	p.logf("attempts made: %d; begun while another one of the same request was out: %d", len(work.started), seen.count)
	return seen.count > 0, nil
}
