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

// silentMost is when a client ends a flow that brings nothing back: after the judge's own limit.
const silentMost = 8 * time.Second

// front deals out the clients of each zone among its relays.
type front struct {
	*run
	reach map[string]string // by relay
	lock  sync.Mutex
	heard map[string]time.Time
	in    map[string]bool
}

// run_ asks every relay again and again.
func (f *front) run_(ctx context.Context) {
	for _, n := range f.relays {
		go func() {
			for ctx.Err() == nil {
				ok := f.ping(n)
				if ok {
					f.admitted(n)
				}
				f.lock.Lock()
				if now := time.Now(); ok {
					f.heard[n.name], f.in[n.name] = now, true
				} else if now.Sub(f.heard[n.name]) > scenario.Millis(f.File.Front.FailureTimeoutMs) {
					f.in[n.name] = false
				}
				admitted := f.in[n.name]
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

// admitted notes how long a process took to be ready, the first time that it is.
func (f *front) admitted(n *relay) {
	f.with(func(at time.Duration) {
		if n.readied == n.starts {
			return
		}
		n.readied = n.starts
		f.judge.RelayReady(at, n.name, at-n.began)
	})
}

func (f *front) ping(n *relay) bool {
	c, err := net.DialTimeout("tcp", f.reach[n.name], time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "PING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "PONG\r\n"
}

func (f *front) has(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.in[name]
}

func (f *front) count() (n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, in := range f.in {
		if in {
			n++
		}
	}
	return n
}

// inFlight has a relay that was told to end given nothing more.
func (f *front) out(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.in[name] = false
}

// pick is a relay for a client of that zone, nil if its front has none.
func (f *front) pick(zone int, rng *rand.Rand) *relay {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []*relay
	for _, n := range f.relays {
		if n.zone == zone && f.in[n.name] {
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
	zones := site(r.set).Zones
	class := r.set.Classes[s.Class]
	tags := []string{"class " + class.Name, "zone " + zones[s.Zone]}
	tenant := ""
	if len(r.set.Tenants) > 0 {
		tenant = r.set.Tenants[s.Tenant].Name
		tags = append(tags, "tenant "+tenant)
	}
	end := s.Arrival + s.Stay
	r.with(func(time.Duration) { r.service.AddDemand(tags, s.Arrival, end) })
	rng := rand.New(rand.NewPCG(s.Seed, 5))
	tries, again, retry := 0, false, false
	wanted := s.Arrival
	defer r.with(func(time.Duration) {
		r.tries += tries
		r.most = max(r.most, tries)
	})
	for ctx.Err() == nil && r.now() < end {
		wait := between(rng, r.File.Clients.ReconnectMs)
		if n := r.front.pick(s.Zone, rng); n != nil {
			tries++
			f := &flow{run: r, n: n, s: s, tags: tags, end: end, wanted: wanted, id: fmt.Sprintf("%016x", rng.Uint64())}
			f.line = fmt.Sprintf("OPEN %s %016x c=%s,t=%s,d=%g,g=%016x,h=%.4f", f.id, s.Key, class.Name, tenant, class.Deadline, s.Group, s.Load)
			if again {
				f.line += ",again=1"
			} else if retry {
				f.line += ",r=1"
			}
			f.patience, f.effect = settings.Duration(class.Deadline), effectOf(r.set.Policy().Classes[s.Class])
			f.leaves = r.leaving(rng, f.patience)
			how, busy := f.open(ctx)
			r.with(func(at time.Duration) {
				r.answers[how]++
				r.used[n.name].answered(at, how == "rejected" || how == "failed")
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
	n        *relay
	s        scenario.Session
	tags     []string
	id, line string
	patience time.Duration
	effect   scenario.Effect
	leaves   *leaving // nil: its client waits
	end      time.Duration
	wanted   time.Duration // since when the client wants to be connected
	lines    chan string
}

// open returns how it went, and after how long a rejected client may come again.
func (f *flow) open(ctx context.Context) (string, time.Duration) {
	c, err := net.DialTimeout("tcp", f.front.reach[f.n.name], f.patience)
	if err != nil {
		return "refused", 0
	}
	defer c.Close()
	f.with(func(at time.Duration) { f.judge.RequestSent(at, f.id, f.n.name, f.patience, f.effect) })
	if _, err := io.WriteString(c, f.line+"\r\n"); err != nil {
		f.with(func(at time.Duration) { f.judge.ClientGaveUp(f.id) })
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
	if f.leaves != nil {
		if f.leave(c) {
			return "left", 0
		}
	}
	select {
	case <-ctx.Done():
		f.with(func(time.Duration) { f.judge.ClientGaveUp(f.id) })
		return "cut short", 0
	case <-give.C:
		return "unanswered", 0
	case line, ok := <-f.lines:
		if !ok {
			return "unanswered", 0
		}
		f.with(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		switch {
		case f.leaves != nil: // it has ended its sending, and has its answer
			return "left", 0
		case strings.HasPrefix(line, "UP "):
			return f.hold(ctx, c), 0
		case strings.HasPrefix(line, "BUSY"):
			f.rest()
			ms, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimPrefix(line, "BUSY")), 64)
			return "rejected", scenario.Millis(ms)
		}
		f.rest()
		return "failed", 0
	}
}

// rest tells the judge of whatever follows a final answer at once.
func (f *flow) rest() {
	end := time.After(20 * time.Millisecond)
	for {
		select {
		case line, ok := <-f.lines:
			if !ok {
				return
			}
			f.with(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		case <-end:
			return
		}
	}
}

// hold speaks on an open flow to its end.
func (f *flow) hold(ctx context.Context, c net.Conn) string {
	good := f.now() // the last time that it was known to be well
	f.with(func(at time.Duration) {
		f.setUp.RecordValue(max((at - f.wanted).Microseconds(), 1))
		f.run.open++
	})
	defer f.with(func(time.Duration) { f.run.open-- })
	served := func() {
		f.with(func(at time.Duration) {
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
			f.with(func(time.Duration) { // what is unanswered so far is well if it is not late yet
				if at := f.now(); asked < 0 || at-asked <= well {
					f.service.AddServed(f.tags, good, min(at, f.end))
				}
				f.judge.ClientGaveUp(f.id)
			})
			return "cut short"
		case <-tick.C:
			now := f.now()
			switch {
			case asked >= 0 && now-asked > silentMost:
				f.with(func(at time.Duration) { f.judge.LineUnanswered(at, f.id, asked) })
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
				f.with(func(at time.Duration) { f.judge.FlowEnded(at, f.id) })
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
				f.with(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
			}
		}
	}
}

// leaving is how a client goes that does not wait for its answer.
type leaving struct {
	after time.Duration // it has asked
	how   leaveMode
}

type leaveMode int

const (
	leaveByClose     leaveMode = iota
	leaveByReset               // with a reset
	leaveByHalfClose           // it ends its sending alone, and still reads
	leaveModes
)

// leaving draws whether and how a client goes early.
func (r *run) leaving(rng *rand.Rand, patience time.Duration) *leaving {
	if rng.Float64() >= r.File.Clients.AbandonRate {
		return nil
	}
	// Half of them at once, where the relay is still placing them.
	l := &leaving{how: leaveMode(rng.IntN(int(leaveModes)))}
	if rng.IntN(2) == 0 {
		l.after = time.Duration(rng.Float64() * float64(patience) / 2)
	}
	return l
}

// leave goes as drawn, unless an answer comes first. It returns true if nothing more is read.
func (f *flow) leave(c net.Conn) (gone bool) {
	wait := time.NewTimer(f.leaves.after)
	defer wait.Stop()
	select {
	case <-wait.C:
	case line, ok := <-f.lines:
		if ok {
			f.with(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		}
		return true // its flow, if it has one, ends here
	}
	tcp := c.(*net.TCPConn)
	switch f.leaves.how {
	case leaveByReset:
		tcp.SetLinger(0)
		tcp.Close()
	case leaveByClose:
		tcp.Close()
	case leaveByHalfClose:
		tcp.CloseWrite()
	}
	reads := f.leaves.how == leaveByHalfClose
	f.with(func(at time.Duration) { f.judge.ClientLeft(at, f.id, reads) })
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
