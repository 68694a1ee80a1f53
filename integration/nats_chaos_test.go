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

// publicationLog records the publications that nodes accept, and the rejections that clients receive.
type publicationLog struct {
	mu         sync.Mutex
	latest     map[string]int  // by client and subject: the highest number accepted so far
	seen       map[string]bool // payloads that a node has accepted
	rejected   map[string]int  // by client: rejections that the client received
	outOfOrder []string        // publications that first arrived after one with a higher number
}

// record records a publication; the cluster calls it for each one that a node accepts.
func (l *publicationLog) record(subject, payload string) {
	var client, n int
	if c, _ := fmt.Sscanf(payload, "c%d n%d", &client, &n); c != 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[payload] { // a retry of a publication whose first acknowledgement was lost
		return
	}
	l.seen[payload] = true
	key := fmt.Sprint(client, " ", subject)
	if l.latest[key] > n {
		l.outOfOrder = append(l.outOfOrder, fmt.Sprintf("%s: number %d after %d", key, n, l.latest[key]))
	}
	l.latest[key] = max(l.latest[key], n)
}

// TestNATSChaos: clients publish while members, at random, are killed, restarted and drained, or refuse,
// reset or stop answering. Counted by payload at the members, no publication has two attempts in flight
// or more than three attempts. Each publication is answered: the client's flush returns, and the client
// is notified of the rejection of each publication that no member accepted. The publications of a client
// to a subject first arrive in the order in which it sent them. In the end every subscription is at
// exactly one member.
func TestNATSChaos(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 9))
			k := newCluster(t, 4)
			published := &publicationLog{latest: map[string]int{}, seen: map[string]bool{}, rejected: map[string]int{}}
			k.Watch(published.record)
			d := newDiscovery(t, natsMembers(k)...)
			r := start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
				"class": "pay-status", "tenant": "water", "load_subject": "node.load"}}}), 1)
			const clients, rounds, burst = 8, 25, 20
			var all []*nats.Conn
			for i := range clients {
				c, err := nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.NoReconnect(),
					nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) {
						published.mu.Lock()
						published.rejected[fmt.Sprint(i)]++
						published.mu.Unlock()
						if !strings.Contains(err.Error(), "ermissions") {
							t.Errorf("client %d: got error %v, want only permissions errors, by which the relay rejects", i, err)
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
				node := k.Nodes[rng.IntN(len(k.Nodes))]
				undo := func() {}
				switch rng.IntN(6) {
				case 0:
					node.Kill()
					undo = func() { waitFor(t, "the killed node to listen again", func() bool { return node.Restart() == nil }) }
				case 1:
					d.SetLifecycle(node.ID, "DRAINING")
					undo = func() { d.SetLifecycle(node.ID, "SERVING") }
				case 2, 3, 4:
					node.SetMode([]fakes.NodeMode{fakes.NodeRefuses, fakes.NodeResets, fakes.NodeSilent}[rng.IntN(3)])
					undo = func() { node.SetMode(fakes.NodeHealthy) }
				case 5:
					node.ResetConnections()
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
				flush(t, c) // returns once every publication before it is answered
				total += sent[i]
			}
			for _, violation := range k.Attempts.Violations() {
				t.Error(violation)
			}
			published.mu.Lock()
			rejected := 0
			for i := range clients {
				lost := 0
				for n := 1; n <= sent[i]; n++ {
					if !published.seen[fmt.Sprintf("c%d n%d", i, n)] {
						lost++
					}
				}
				if reported := published.rejected[fmt.Sprint(i)]; lost > reported {
					t.Errorf("client %d: %d publications were accepted by no member, but only %d were reported as rejected",
						i, lost, reported)
				}
				rejected += published.rejected[fmt.Sprint(i)]
			}
			for _, u := range published.outOfOrder {
				t.Errorf("publications of one client and subject arrived out of order: %s", u)
			}
			accepted := len(published.seen)
			published.mu.Unlock()
			waitFor(t, "each subscription to be at exactly one node", func() bool {
				for i := range clients {
					count := 0
					for _, n := range k.Subscriptions(fmt.Sprint("stay.", i)) {
						count += n
					}
					if count != 1 {
						return false
					}
				}
				return true
			})
			t.Logf("%d publications: %d accepted, %d rejections reported", total, accepted, rejected)
			if accepted < total/2 {
				t.Errorf("members accepted only %d of %d publications, want at least half: this run shows little", accepted, total)
			}
		})
	}
}

// TestNATSReconnectStorm: the clients of a relay reconnect all at once, each with many subscriptions.
// All subscriptions are restored, each at one node.
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
			count := 0
			for _, x := range k.Subscriptions(fmt.Sprint("herd.", n)) {
				count += x
			}
			if count != clients {
				t.Errorf("the nodes have %d subscriptions to herd.%d, want %d", count, n, clients)
			}
		}
		for _, c := range all {
			c.Close()
		}
		all = nil
		waitFor(t, "the nodes to have no subscription to herd.0", func() bool {
			return k.Subscriptions("herd.0")[0]+k.Subscriptions("herd.0")[1]+k.Subscriptions("herd.0")[2] == 0
		})
	}
}

// TestNATSDrainUnderLoad: while a client publishes, each node in turn drains. After the grace of 250 ms,
// plus a large allowance for a busy machine, the node must have no subscription left, and each
// subscription must be at exactly one other node.
func TestNATSDrainUnderLoad(t *testing.T) {
	const allowance, subscriptions = 3 * time.Second, 60
	k := newCluster(t, 3)
	k.Attempts = nil
	d := newDiscovery(t, natsMembers(k)...)
	r := start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
		"class": "pay-status", "tenant": "water"}}}), 1)
	c := must[*nats.Conn](t)(nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.NoReconnect()))
	defer c.Close()
	for i := range subscriptions {
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
				c.Publish(fmt.Sprint("load.", n%subscriptions), []byte("0123456789"))
				if n%50 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}
	}()
	for at, o := range k.Nodes {
		d.SetLifecycle(o.ID, "DRAINING")
		drained, last := time.Now(), ""
		for {
			count, remaining := map[int]int{}, 0
			for i := range subscriptions {
				for node, n := range k.Subscriptions(fmt.Sprint("load.", i)) {
					count[i] += n
					if node == at {
						remaining += n
					}
				}
			}
			wrong := remaining
			for i := range subscriptions {
				if count[i] != 1 {
					wrong++
				}
			}
			if wrong == 0 {
				break
			}
			last = fmt.Sprintf("%d subscriptions at the draining node, want 0; subscriptions by subject %v, want one each",
				remaining, count)
			if time.Since(drained) > 250*time.Millisecond+allowance {
				t.Fatalf("%v after the start of the drain: %s", time.Since(drained), last)
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("node %d has no subscription after %v", at, time.Since(drained))
		d.SetLifecycle(o.ID, "SERVING")
	}
	close(stop)
	<-done
}

// TestNATSUpgrade: a client of the NATS library is migrated by a hot restart of the relay: it is
// notified and connects to the new process, where its subscription is restored and its publications
// arrive.
func TestNATSUpgrade(t *testing.T) {
	k := newCluster(t, 2)
	k.Attempts = nil
	d := newDiscovery(t, natsMembers(k)...)
	r := start(t, configure(t, d, map[string]any{"operator": "127.0.0.1:0", "fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0",
		"class": "pay-status", "tenant": "water"}}}), 2)
	reconnected := make(chan bool, 10)
	c := must[*nats.Conn](t)(nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.MaxReconnects(-1), nats.ReconnectWait(20*time.Millisecond),
		nats.ReconnectHandler(func(*nats.Conn) { reconnected <- true }), nats.ErrorHandler(func(*nats.Conn, *nats.Subscription, error) {})))
	defer c.Close()
	sub := must[*nats.Subscription](t)(c.SubscribeSync("through"))
	flush(t, c)
	next := r.startSuccessor(2)
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-reconnected:
	case <-time.After(eventTimeout):
		t.Fatalf("the client did not reconnect within %v", eventTimeout)
	}
	r.waitExit()
	flush(t, c)
	c.Publish("through", []byte("after"))
	if m := must[*nats.Msg](t)(sub.NextMsg(eventTimeout)); string(m.Data) != "after" {
		t.Errorf("message after the upgrade = %q, want %q", m.Data, "after")
	}
	next.stop()
}
