package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// storeLatency is what a command takes at the database on an ordinary day. storeSlow is what it takes
// while the database is slow.
const (
	storeLatency = 20 * time.Millisecond
	storeSlow    = 2 * time.Second
)

// recordingRelay starts a database, members and a relay with a store of record.
func recordingRelay(p *play) (*relay, *process, *postgres, error) {
	servers, err := newPool(p, 4)
	if err != nil {
		return nil, nil, nil, err
	}
	db, err := newPostgres(p, storeLatency)
	if err != nil {
		return nil, nil, nil, err
	}
	discovery, err := servers.openFor("relay-1")
	if err != nil {
		return nil, nil, nil, err
	}
	r, err := newRelay(p, "relay-1", discovery, 4)
	if err != nil {
		return nil, nil, nil, err
	}
	r.config["store"] = object{"driver": "postgres", "dsn": db.dsn()}
	r.config["counts_ms"] = 5000
	proc, err := r.run("", nil)
	if err != nil {
		return nil, nil, nil, err
	}
	return r, proc, db, awaitReady(proc, r.operator, 15*time.Second)
}

// patrons are clients that open a connection at each interval. One that is refused comes again twice.
type patrons struct {
	play   *play
	mu     sync.Mutex
	served map[string]time.Duration // by id, when
	counts map[string]int
	wg     sync.WaitGroup
	quit   chan struct{}
}

func newPatrons(p *play, addr string, every time.Duration) *patrons {
	s := &patrons{play: p, served: map[string]time.Duration{}, counts: map[string]int{}, quit: make(chan struct{})}
	s.wg.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-s.quit:
				return
			case <-time.After(every):
			}
			s.wg.Go(func() { s.visit(addr, n) })
		}
	})
	return s
}

// visit is one client's request with its retries, each under a new id.
func (s *patrons) visit(addr string, n int) {
	for try := range 3 {
		id := fmt.Sprintf("%016x", 0xd00000000+n*16+try)
		got := open(addr, id, "pay-status", 300*time.Millisecond)
		s.play.logf("client %s got %q %v", id, got.answer, got.err)
		word, rest, _ := strings.Cut(got.answer, " ")
		s.mu.Lock()
		s.counts[word]++
		if word == "UP" {
			s.served[id] = time.Since(s.play.start)
		}
		s.mu.Unlock()
		if word != "BUSY" {
			return
		}
		var after int
		fmt.Sscan(rest, &after)
		time.Sleep(time.Duration(after) * time.Millisecond)
	}
}

// stop ends the clients and waits for their last answers.
func (s *patrons) stop() {
	close(s.quit)
	s.wg.Wait()
}

// The case "lost": the store of record is slow for a while, is well again for a while, and the relay is
// stopped as planned.
const (
	lostBefore = 6 * time.Second
	lostSlow   = 20 * time.Second
	lostAfter  = 40 * time.Second
)

func playLost(p *play) (broken bool, err error) {
	r, proc, db, err := recordingRelay(p)
	if err != nil {
		return false, err
	}
	visitors := newPatrons(p, r.listen, time.Second/9)
	time.Sleep(lostBefore)
	if p.trouble {
		p.logf("each command at the database takes %v now", storeSlow)
		db.setDelay(storeSlow)
	}
	time.Sleep(lostSlow)
	db.setDelay(storeLatency)
	p.logf("each command at the database takes %v", storeLatency)
	time.Sleep(lostAfter)
	visitors.stop()
	p.logf("no client is left; answers so far: %v; recorded so far: %d", visitors.counts, len(db.answers()))
	time.Sleep(2 * time.Second)
	p.logf("SIGTERM")
	proc.signal(syscall.SIGTERM)
	select {
	case <-proc.exited:
	case <-time.After(20 * time.Second):
		return false, unusable("the relay did not end")
	}
	time.Sleep(500 * time.Millisecond)
	recorded := db.answers()
	missing := 0
	for id, at := range visitors.served {
		if recorded[id] != "served" {
			missing++
			p.logf("request %s was served at %.3f and has no row", id, at.Seconds())
		}
	}
	p.logf("served: %d; of them without a row: %d; rows: %d", len(visitors.served), missing, len(recorded))
	if len(visitors.served) == 0 {
		return false, unusable("nothing was served")
	}
	return missing > 0, nil
}

// The case "restart": a relay is restarted as planned while the store of record is slow.
func playRestart(p *play) (broken bool, err error) {
	r, proc, db, err := recordingRelay(p)
	if err != nil {
		return false, err
	}
	visitors := newPatrons(p, r.listen, time.Second/4)
	time.Sleep(5 * time.Second)
	if p.trouble {
		p.logf("each command at the database takes %v now", storeSlow)
		db.setDelay(storeSlow)
		time.Sleep(2 * time.Second)
	}
	p.logf("SIGTERM")
	proc.signal(syscall.SIGTERM)
	select {
	case <-proc.exited:
	case <-time.After(20 * time.Second):
		return false, unusable("the relay did not end")
	}
	again, err := r.run("-again", func(c object) { c["seed"] = "1b2c3d4e5f607182" })
	if err != nil {
		return false, err
	}
	startedAt := time.Now()
	ready := within(30*time.Second, func() bool {
		if again.hasEnded() {
			return true
		}
		status, _, err := call("GET", r.operator, "/-/ready", time.Second)
		return err == nil && status == 200
	})
	took := time.Since(startedAt)
	if again.hasEnded() {
		p.logf("the restarted relay has ended by itself after %v: %s", took, again.status)
		visitors.stop()
		return true, nil
	}
	p.logf("the restarted relay is ready: %v, after %v", ready, took)
	visitors.stop()
	return !ready, nil
}
