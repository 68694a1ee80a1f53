package gossip

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// network simulates a network in virtual time. Every message is encoded and decoded; it may be delayed,
// lost, duplicated or cut off.
type network struct {
	now         time.Duration
	rng         *rand.Rand
	nodes       []*node
	events      events
	order       int
	lossRate    float64
	repeatRate  float64
	delay       time.Duration // maximum random delay, in addition to 1 ms
	partitioned func(from, to int) bool
	sent        int
	bytes       int
	largest     int
	trace       uint64
	onDead      func(at int, p *Peer) // called for each peer p that node at considers dead
}

type node struct {
	*Membership
	at                 int // its index in network.nodes
	up                 bool
	stopped            bool // simulates SIGSTOP
	queuedWhileStopped []event
	divisor            BudgetDivisor
	incarnation        uint64
}

type event struct {
	at          time.Duration
	order       int
	to, from    int
	incarnation uint64 // of the receiving node; 0 if the event is for any incarnation
	bytes       []byte // the datagram; nil for a tick or a refusal
	refusal     []byte // an encoded message with an update about the relay that refused a connection; otherwise nil
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// minTickInterval is the minimum time between two ticks of a node.
const minTickInterval = 20 * time.Millisecond

func newNetwork(seed uint64, n int) *network {
	w := &network{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, partitioned: func(int, int) bool { return false }}
	for i := range n {
		w.nodes = append(w.nodes, &node{at: i})
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }
func name(i int) string { return fmt.Sprintf("n%d", i) }

// start starts relay i without any state.
func (w *network) start(i int) {
	nd := w.nodes[i]
	nd.incarnation++
	nd.up, nd.stopped, nd.queuedWhileStopped = true, false, nil
	self := Update{Name: name(i), Addr: addr(i), Zone: "z" + strconv.Itoa(i%3), Incarnation: nd.incarnation << 20, Phase: Serving}
	nd.Membership = New(w.now, self, []string{addr(0), addr(len(w.nodes) - 1)}, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))))
	nd.divisor = BudgetDivisor{Configured: len(w.nodes)}
	nd.divisor.Update(w.now, 1, 0) // like package gossiptransport, before any peer is known
	w.push(event{at: w.now, to: i, incarnation: nd.incarnation})
}

func (w *network) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

func (w *network) nodeIndex(at string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return addr(n.at) == at })
}

func (w *network) deliver(from int, outs []Outbound) {
	for _, o := range outs {
		to := w.nodeIndex(o.Addr)
		if to < 0 {
			continue
		}
		if o.DialProbe {
			b, _ := (&Message{Updates: o.Message.Updates}).Append(nil, MaxDatagramSize)
			if !w.partitioned(from, to) && !w.partitioned(to, from) && !w.nodes[to].up {
				w.push(event{at: w.now + time.Millisecond, to: from, from: to, incarnation: w.nodes[from].incarnation, refusal: b})
			}
			continue
		}
		b, n := o.Message.Append(nil, MaxDatagramSize-Overhead)
		if n < len(o.Message.Updates) && o.Message.Kind != Gossip && n == 0 {
			panic("no update fits into the datagram")
		}
		w.sent++
		w.bytes += len(b) + headerSize + tagSize + len(name(from))
		w.largest = max(w.largest, len(b)+Overhead)
		h := fnv.New64a()
		fmt.Fprint(h, w.trace, w.now, from, to, b)
		w.trace = h.Sum64()
		for range 1 + map[bool]int{true: 1}[w.rng.Float64() < w.repeatRate] {
			if w.rng.Float64() >= w.lossRate && !w.partitioned(from, to) {
				latency := time.Millisecond + time.Duration(w.rng.Float64()*float64(w.delay))
				w.push(event{at: w.now + latency, to: to, from: from, bytes: b})
			}
		}
	}
}

// run simulates the network until the given time.
func (w *network) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		nd := w.nodes[e.to]
		switch {
		case !nd.up || e.incarnation != 0 && e.incarnation != nd.incarnation:
		case nd.stopped:
			if len(nd.queuedWhileStopped) < 500 || e.bytes == nil {
				nd.queuedWhileStopped = append(nd.queuedWhileStopped, e)
			}
		case e.refusal != nil:
			m, _ := Decode(e.refusal)
			nd.ConnectionRefused(w.now, m.Updates[0].Name, m.Updates[0].Incarnation)
		case e.bytes != nil:
			m, err := Decode(e.bytes)
			if err != nil {
				panic(err)
			}
			w.deliver(e.to, nd.Receive(w.now, name(e.from), m))
		default:
			w.deliver(e.to, nd.Tick(w.now))
			if w.onDead != nil {
				for _, p := range nd.peers {
					if p.State == Dead {
						w.onDead(e.to, p)
					}
				}
			}
			w.push(event{at: max(min(nd.NextTick(), w.now+time.Second), w.now+minTickInterval), to: e.to, incarnation: nd.incarnation})
		}
	}
	w.now = until
}

func (w *network) advance(d time.Duration) { w.run(w.now + d) }

// resume simulates SIGCONT: the node receives all queued events at once.
func (w *network) resume(i int) {
	nd := w.nodes[i]
	nd.stopped = false
	for _, e := range nd.queuedWhileStopped {
		e.at = w.now
		w.push(e)
	}
	nd.queuedWhileStopped = nil
}

// disagreement describes a wrong view, or returns "" if there is none. In every live relay's view
// exactly the live relays should be alive.
func (w *network) disagreement() string {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if !a.up || a == b {
				continue
			}
			p := a.peers[name(b.at)]
			if b.up != (p != nil && p.State == Alive) && !(p == nil && !b.up) && !(p != nil && !b.up && p.State >= Dead) {
				return fmt.Sprintf("n%d sees n%d (up %v) as %+v", a.at, b.at, b.up, p)
			}
		}
	}
	return ""
}

// settle advances the network until all views agree, and fails the test after limit.
func (w *network) settle(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	began := w.now
	for w.disagreement() != "" {
		if w.now-began > limit {
			t.Fatalf("no agreement within %v: %s", limit, w.disagreement())
		}
		w.advance(200 * time.Millisecond)
	}
	return w.now - began
}

// seedCount returns the number of seeds that a test runs: GOSSIP_SEEDS if that is set.
func seedCount(defaultCount int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("GOSSIP_SEEDS")); err == nil {
		return uint64(n)
	}
	return uint64(defaultCount)
}

// eachSeed runs a parallel subtest for each seed.
func eachSeed(t *testing.T, defaultCount int, run func(t *testing.T, seed uint64)) {
	for seed := range seedCount(defaultCount) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}
