package integration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"dahliarudder/internal/fakes"
)

// ledger is what each publication's client has received, and the order in which members accepted the publications.
type ledger struct {
	mu      sync.Mutex
	newest  map[string]int // of each client and subject, the latest number that a member took first
	seen    map[string]bool
	turned  map[string]int
	unorder []string
}

// record is called by the cluster.
func (l *ledger) record(subject, payload string) {
	var client, n int
	if c, _ := fmt.Sscanf(payload, "c%d n%d", &client, &n); c != 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[payload] { // sent again, since its first answer was lost
		return
	}
	l.seen[payload] = true
	key := fmt.Sprint(client, " ", subject)
	if l.newest[key] > n {
		l.unorder = append(l.unorder, fmt.Sprintf("%s: %d after %d", key, n, l.newest[key]))
	}
	l.newest[key] = max(l.newest[key], n)
}

// TestNATSChaos: publications while members are killed, restarted, drained, refuse, reset and fall silent at random. Counted by
// payload at the members: no publication has two attempts in flight, none has more than three; each is answered: the client's
// flush returns, and what no member accepted was reported as rejected. First arrivals keep the order of their client and
// subject. In the end every subscription is at exactly one member.
func TestNATSChaos(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 9))
			k := newCluster(t, 4)
			led := &ledger{newest: map[string]int{}, seen: map[string]bool{}, turned: map[string]int{}}
			k.Watch(led.record)
			d := newDiscovery(t, natsMembers(k)...)
			r := start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
				"class": "pay-status", "tenant": "water", "load_subject": "node.load"}}}), 1)
			const clients, rounds, burst = 8, 25, 20
			var all []*nats.Conn
			for i := range clients {
				c, err := nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.NoReconnect(),
					nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) {
						led.mu.Lock()
						led.turned[fmt.Sprint(i)]++
						led.mu.Unlock()
						if !strings.Contains(err.Error(), "ermissions") {
							t.Errorf("client %d: %v", i, err)
						}
					}))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				must[*nats.Subscription](t)(c.Subscribe(fmt.Sprint("stay.", i), func(*nats.Msg) {}))
				flush(t, c)
				all = append(all, c)
			}
			sent := make([]int, clients)
			for range rounds {
				o := k.Nodes[rng.IntN(len(k.Nodes))]
				undo := func() {}
				switch rng.IntN(6) {
				case 0:
					o.Kill()
					undo = func() { waitFor(t, "a restart", func() bool { return o.Restart() == nil }) }
				case 1:
					d.SetLifecycle(o.ID, "DRAINING")
					undo = func() { d.SetLifecycle(o.ID, "SERVING") }
				case 2, 3, 4:
					o.SetMode([]fakes.NodeMode{fakes.NodeRefuses, fakes.NodeResets, fakes.NodeSilent}[rng.IntN(3)])
					undo = func() { o.SetMode(fakes.NodeHealthy) }
				case 5:
					o.ResetConnections()
				}
				for i, c := range all {
					for range rng.IntN(burst) {
						sent[i]++
						c.Publish(fmt.Sprintf("chaos.%d", sent[i]%3), fmt.Appendf(nil, "c%d n%d", i, sent[i]))
					}
				}
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
				undo()
				if rng.IntN(4) == 0 {
					flush(t, all[rng.IntN(clients)])
				}
			}
			total := 0
			for i, c := range all {
				flush(t, c) // every publication before it has its answer
				total += sent[i]
			}
			for _, broken := range k.Attempts.Violations() {
				t.Error(broken)
			}
			led.mu.Lock()
			turned := 0
			for i := range clients {
				lost := 0
				for n := 1; n <= sent[i]; n++ {
					if !led.seen[fmt.Sprintf("c%d n%d", i, n)] {
						lost++
					}
				}
				if told := led.turned[fmt.Sprint(i)]; lost > told {
					t.Errorf("client %d: %d publications never arrived, and %d were turned away", i, lost, told)
				}
				turned += led.turned[fmt.Sprint(i)]
			}
			for _, u := range led.unorder {
				t.Error("out of order: ", u)
			}
			taken := len(led.seen)
			led.mu.Unlock()
			waitFor(t, "one place for each subscription", func() bool {
				for i := range clients {
					held := 0
					for _, n := range k.Subscriptions(fmt.Sprint("stay.", i)) {
						held += n
					}
					if held != 1 {
						return false
					}
				}
				return true
			})
			t.Logf("%d publications: %d taken, %d turned away", total, taken, turned)
			if taken < total/2 {
				t.Errorf("only %d of %d were taken: this run shows little", taken, total)
			}
		})
	}
}

// TestNATSReconnectStorm: the clients of a relay that is replaced reconnect together, each with many subscriptions; all are
// restored, at one node each.
func TestNATSReconnectStorm(t *testing.T) {
	k := newCluster(t, 3)
	r := natsRelay(t, k, nil)
	const clients, each = 40, 50
	var all []*client
	for range 2 {
		for range clients {
			c := r.natsDial()
			c.wantLine("INFO ")
			text := "CONNECT {}\r\n"
			for n := range each {
				text += fmt.Sprintf("SUB herd.%d %d\r\n", n, n+1)
			}
			if _, err := fmt.Fprintf(c, "%sPING\r\n", text); err != nil {
				t.Fatal(err)
			}
			all = append(all, c)
		}
		for _, c := range all {
			c.wantLine("PONG")
		}
		for n := range each {
			held := 0
			for _, x := range k.Subscriptions(fmt.Sprint("herd.", n)) {
				held += x
			}
			if held != clients {
				t.Errorf("herd.%d stands %d times, want %d", n, held, clients)
			}
		}
		for _, c := range all {
			c.Close()
		}
		all = nil
		waitFor(t, "the end of them", func() bool {
			return k.Subscriptions("herd.0")[0]+k.Subscriptions("herd.0")[1]+k.Subscriptions("herd.0")[2] == 0
		})
	}
}

// TestNATSDrainUnderLoad: while clients publish, each node in turn drains: within the 250 ms of the rule, and a generous
// allowance for a busy machine, it has no subscription, and each is at exactly one other node.
func TestNATSDrainUnderLoad(t *testing.T) {
	const allowance, many = 3 * time.Second, 60
	k := newCluster(t, 3)
	k.Attempts = nil
	d := newDiscovery(t, natsMembers(k)...)
	r := start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
		"class": "pay-status", "tenant": "water"}}}), 1)
	c := must[*nats.Conn](t)(nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.NoReconnect()))
	defer c.Close()
	for i := range many {
		must[*nats.Subscription](t)(c.Subscribe(fmt.Sprint("load.", i), func(*nats.Msg) {}))
	}
	flush(t, c)
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				c.Publish(fmt.Sprint("load.", n%many), []byte("0123456789"))
				if n%50 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}
	}()
	for at, o := range k.Nodes {
		d.SetLifecycle(o.ID, "DRAINING")
		began, last := time.Now(), ""
		for {
			held, left := map[int]int{}, 0
			for i := range many {
				for node, n := range k.Subscriptions(fmt.Sprint("load.", i)) {
					held[i] += n
					if node == at {
						left += n
					}
				}
			}
			wrong := left
			for i := range many {
				if held[i] != 1 {
					wrong++
				}
			}
			if wrong == 0 {
				break
			}
			if last = fmt.Sprintf("%d at the draining node, %v held", left, held); time.Since(began) > 250*time.Millisecond+allowance {
				t.Fatalf("%v after the word: %s", time.Since(began), last)
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("node %d is left after %v", at, time.Since(began))
		d.SetLifecycle(o.ID, "SERVING")
	}
	close(stop)
	<-done
}

// TestNATSUpgrade: a client of the library stays through an upgrade of the relay: it is notified, connects to the second
// process, its subscription is restored there and its publications arrive.
func TestNATSUpgrade(t *testing.T) {
	k := newCluster(t, 2)
	k.Attempts = nil
	d := newDiscovery(t, natsMembers(k)...)
	r := start(t, configure(t, d, map[string]any{"operator": "127.0.0.1:0", "fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
		"class": "pay-status", "tenant": "water"}}}), 2)
	again := make(chan bool, 10)
	c := must[*nats.Conn](t)(nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.MaxReconnects(-1), nats.ReconnectWait(20*time.Millisecond),
		nats.ReconnectHandler(func(*nats.Conn) { again <- true }), nats.ErrorHandler(func(*nats.Conn, *nats.Subscription, error) {})))
	defer c.Close()
	sub := must[*nats.Subscription](t)(c.SubscribeSync("through"))
	flush(t, c)
	next := r.startSuccessor(2)
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-again:
	case <-time.After(eventTimeout):
		t.Fatal("the client never came again")
	}
	r.waitExit()
	flush(t, c)
	c.Publish("through", []byte("after"))
	if m := must[*nats.Msg](t)(sub.NextMsg(eventTimeout)); string(m.Data) != "after" {
		t.Errorf("got %s", m.Data)
	}
	next.stop()
}
