package scenariorunner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"dahliarudder/internal/scenario"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// flowSilenceLimit is when a client ends a flow that brings nothing back: after the judge's own limit.
const flowSilenceLimit = 8 * time.Second

// front deals out the clients of each zone among its relays.
type front struct {
	*run
	addrs    map[string]string // by relay
	lock     sync.Mutex
	lastPong map[string]time.Time
	admitted map[string]bool
}

// pingRelays asks every relay again and again.
func (f *front) pingRelays(ctx context.Context) {
	for _, n := range f.relays {
		go func() {
			for ctx.Err() == nil {
				ok := f.ping(n)
				if ok {
					f.recordReady(n)
				}
				f.lock.Lock()
				if now := time.Now(); ok {
					f.lastPong[n.name], f.admitted[n.name] = now, true
				} else if now.Sub(f.lastPong[n.name]) > scenario.Millis(f.File.Front.FailureTimeoutMs) {
					f.admitted[n.name] = false
				}
				admitted := f.admitted[n.name]
				f.lock.Unlock()
				wait := scenario.Millis(f.File.Front.PingMs)
				if !admitted { // who starts is asked for more often
					wait = min(wait, 50*time.Millisecond)
				}
				sleep(ctx, wait)
			}
		}()
	}
}

// recordReady notes how long a process took to be ready, the first time that it is.
func (f *front) recordReady(n *relay) {
	f.locked(func(at time.Duration) {
		if n.readyStart == n.starts {
			return
		}
		n.readyStart = n.starts
		f.judge.RelayReady(at, n.name, at-n.began)
	})
}

func (f *front) ping(n *relay) bool {
	c, err := net.DialTimeout("tcp", f.addrs[n.name], time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
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
	for _, in := range f.admitted {
		if in {
			n++
		}
	}
	return n
}

// inFlight has a relay that was told to end given nothing more.
func (f *front) remove(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.admitted[name] = false
}

// pick is a relay for a client of that zone, nil if its front has none.
func (f *front) pick(zone int, rng *rand.Rand) *relay {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []*relay
	for _, n := range f.relays {
		if n.zone == zone && f.admitted[n.name] {
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[rng.IntN(len(all))]
}

// session is one client, from its arrival to its end.
func (r *run) session(ctx context.Context, s scenario.Session) {
	zones := site(r.settings).Zones
	class := r.settings.Classes[s.Class]
	tags := []string{"class " + class.Name, "zone " + zones[s.Zone]}
	tenant := ""
	if len(r.settings.Tenants) > 0 {
		tenant = r.settings.Tenants[s.Tenant].Name
		tags = append(tags, "tenant "+tenant)
	}
	end := s.Arrival + s.Stay
	r.locked(func(time.Duration) { r.service.AddDemand(tags, s.Arrival, end) })
	rng := rand.New(rand.NewPCG(s.Seed, 5))
	tries, again, retry := 0, false, false
	wanted := s.Arrival
	defer r.locked(func(time.Duration) {
		r.attempts += tries
		r.maxAttempts = max(r.maxAttempts, tries)
	})
	for ctx.Err() == nil && r.now() < end {
		wait := drawBetween(rng, r.File.Clients.ReconnectMs)
		if n := r.front.pick(s.Zone, rng); n != nil {
			tries++
			f := &flow{run: r, relay: n, session: s, tags: tags, end: end, wantedSince: wanted, id: fmt.Sprintf("%016x", rng.Uint64())}
			f.line = fmt.Sprintf("OPEN %s %016x c=%s,t=%s,d=%g,g=%016x,h=%.4f", f.id, s.Key, class.Name, tenant, class.Deadline, s.Group, s.Load)
			if again {
				f.line += ",again=1"
			} else if retry {
				f.line += ",r=1"
			}
			f.patience, f.effect = settings.Duration(class.Deadline), effectOf(r.settings.Policy().Classes[s.Class])
			f.abandon = r.drawEarlyLeave(rng, f.patience)
			how, busy := f.attempt(ctx)
			r.locked(func(at time.Duration) {
				r.answers[how]++
				r.usage[n.name].recordAnswer(at, how == "rejected" || how == "failed")
			})
			switch how {
			case "ended":
				return
			case "moved", "broken":
				again, wanted = true, r.now()
			case "rejected":
				retry = true
				if busy > 0 { // come again after that, and not all at once
					wait = busy + time.Duration(rng.Float64()*float64(busy)/10)
				}
			default:
				retry = true
			}
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// flow is one try of a session.
type flow struct {
	*run
	relay       *relay
	session     scenario.Session
	tags        []string
	id, line    string
	patience    time.Duration
	effect      scenario.Effect
	abandon     *earlyLeave // nil: its client waits
	end         time.Duration
	wantedSince time.Duration // sinceStart when the client wants to be connected
	lines       chan string
}

// attempt returns how it went, and after how long a rejected client may come again.
func (f *flow) attempt(ctx context.Context) (string, time.Duration) {
	c, err := net.DialTimeout("tcp", f.front.addrs[f.relay.name], f.patience)
	if err != nil {
		return "refused", 0
	}
	defer c.Close()
	f.locked(func(at time.Duration) { f.judge.RequestSent(at, f.id, f.relay.name, f.patience, f.effect) })
	if _, err := io.WriteString(c, f.line+"\r\n"); err != nil {
		f.locked(func(at time.Duration) { f.judge.ClientGaveUp(f.id) })
		return "refused", 0
	}
	f.lines = make(chan string, 16)
	go func() {
		defer close(f.lines)
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			f.lines <- strings.TrimSuffix(line, "\r\n")
		}
	}()
	defer func() { // the reader ends when the connection does
		c.Close()
		for range f.lines {
		}
	}()
	give := time.NewTimer(f.patience + 500*time.Millisecond) // the judge calls late what comes after the deadline
	defer give.Stop()
	if f.abandon != nil {
		if f.leaveEarly(c) {
			return "left", 0
		}
	}
	select {
	case <-ctx.Done():
		f.locked(func(time.Duration) { f.judge.ClientGaveUp(f.id) })
		return "cut short", 0
	case <-give.C:
		return "unanswered", 0
	case line, ok := <-f.lines:
		if !ok {
			return "unanswered", 0
		}
		f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		switch {
		case f.abandon != nil: // it has ended its sending, and has its answer
			return "left", 0
		case strings.HasPrefix(line, "UP "):
			return f.keepOpen(ctx, c), 0
		case strings.HasPrefix(line, "BUSY"):
			f.reportFurtherAnswers()
			ms, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimPrefix(line, "BUSY")), 64)
			return "rejected", scenario.Millis(ms)
		}
		f.reportFurtherAnswers()
		return "failed", 0
	}
}

// reportFurtherAnswers tells the judge of whatever follows a final answer at once.
func (f *flow) reportFurtherAnswers() {
	end := time.After(20 * time.Millisecond)
	for {
		select {
		case line, ok := <-f.lines:
			if !ok {
				return
			}
			f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		case <-end:
			return
		}
	}
}

// keepOpen speaks on an open flow to its end.
func (f *flow) keepOpen(ctx context.Context, c net.Conn) string {
	good := f.now() // the last time that it was known to be well
	f.locked(func(at time.Duration) {
		f.setupTimes.RecordValue(max((at - f.wantedSince).Microseconds(), 1))
		f.run.openFlows++
	})
	defer f.locked(func(time.Duration) { f.run.openFlows-- })
	served := func() {
		f.locked(func(at time.Duration) {
			f.service.AddServed(f.tags, good, min(at, f.end))
			good = at
		})
	}
	every := scenario.Millis(f.File.Clients.LineIntervalMs)
	well := scenario.Millis(f.File.Clients.AnswerWithinMs)
	tick := time.NewTimer(time.Duration(rand.Float64() * float64(every)))
	defer tick.Stop()
	asked := time.Duration(-1) // when the line that is out was sent
	leaving := false
	for {
		select {
		case <-ctx.Done():
			f.locked(func(time.Duration) { // what is unanswered so far is well if it is not late yet
				if at := f.now(); asked < 0 || at-asked <= well {
					f.service.AddServed(f.tags, good, min(at, f.end))
				}
				f.judge.ClientGaveUp(f.id)
			})
			return "cut short"
		case <-tick.C:
			now := f.now()
			switch {
			case asked >= 0 && now-asked > flowSilenceLimit:
				f.locked(func(at time.Duration) { f.judge.LineUnanswered(at, f.id, asked) })
				return "broken"
			case asked >= 0:
			case now >= f.end:
				leaving, asked = true, now
				fmt.Fprint(c, "END\r\n")
			default:
				asked = now
				fmt.Fprint(c, "still here\r\n")
			}
			next := every
			if left := f.end - now; left > 0 && left < next {
				next = left
			}
			tick.Reset(max(next, 10*time.Millisecond))
		case line, ok := <-f.lines:
			switch {
			case !ok:
				if leaving {
					return "ended"
				}
				f.locked(func(at time.Duration) { f.judge.FlowEnded(at, f.id) })
				return "broken"
			case strings.HasPrefix(line, "GOT "):
				if f.now()-asked <= well {
					served()
				} else {
					good = f.now()
				}
				asked = -1
			case strings.HasPrefix(line, "LOAD "):
			case line == "MOVE":
				served()
				return "moved"
			case strings.HasPrefix(line, "BYE"):
				served()
				return "ended"
			default:
				f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
			}
		}
	}
}

// drawEarlyLeave is how a client goes that does not wait for its answer.
type earlyLeave struct {
	after time.Duration // it has asked
	how   leaveMode
}

type leaveMode int

const (
	leaveByClose     leaveMode = iota
	leaveByReset               // locked a reset
	leaveByHalfClose           // it ends its sending alone, and still reads
	leaveModes
)

// earlyLeave draws whether and how a client goes early.
func (r *run) drawEarlyLeave(rng *rand.Rand, patience time.Duration) *earlyLeave {
	if rng.Float64() >= r.File.Clients.AbandonRate {
		return nil
	}
	// Half of them at once, where the relay is still placing them.
	l := &earlyLeave{how: leaveMode(rng.IntN(int(leaveModes)))}
	if rng.IntN(2) == 0 {
		l.after = time.Duration(rng.Float64() * float64(patience) / 2)
	}
	return l
}

// leaveEarly goes as drawn, unless an answer comes first. It returns true if nothing more is read.
func (f *flow) leaveEarly(c net.Conn) (gone bool) {
	wait := time.NewTimer(f.abandon.after)
	defer wait.Stop()
	select {
	case <-wait.C:
	case line, ok := <-f.lines:
		if ok {
			f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		}
		return true // its flow, if it has one, ends here
	}
	tcp := c.(*net.TCPConn)
	switch f.abandon.how {
	case leaveByReset:
		tcp.SetLinger(0)
		tcp.Close()
	case leaveByClose:
		tcp.Close()
	case leaveByHalfClose:
		tcp.CloseWrite()
	}
	reads := f.abandon.how == leaveByHalfClose
	f.locked(func(at time.Duration) { f.judge.ClientLeft(at, f.id, reads) })
	return !reads
}

// effectOf is what the judge is told of a class.
func effectOf(class policy.Class) scenario.Effect {
	switch class.Idempotency {
	case policy.NonIdempotent:
		return scenario.Effect{Kind: scenario.NonIdempotent}
	case policy.IdempotencyKey:
		return scenario.Effect{Kind: scenario.IdempotencyKeyed, Window: class.DedupWindow}
	}
	return scenario.Effect{}
}
