// Package gossip is how relays of one installation know of each other: who lives, and what each says of itself. This
// file is the state machine. It does no I/O and reads no clock: what came in, the time and the randomness are passed in,
// what to send is returned. docs/design/peers.md says what it follows and where it departs; docs/peers.md is for operators.
package gossip

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the protocol. Each is for an awareness of 0; a relay that finds itself slow multiplies them.
const (
	period      = 500 * time.Millisecond // one relay is pinged in each
	askAfter    = 200 * time.Millisecond // others are asked to ping it
	gossipEvery = 100 * time.Millisecond // while there is news
	syncEvery   = 15 * time.Second       // all that is known, with one relay, where there are syncFor or fewer; else
	syncFor     = 20                     // less often by as much as they are more, so that bytes do not grow
	seedPart    = 8                      // and with a configured address every so many times
	joinEvery   = time.Second            // the same while nobody is known
	reachEvery  = 2 * time.Second        // one that looks down is pinged all the same
	lateTick    = 2 * period             // this process was stopped, or starved
	suspectFor  = 800 * time.Millisecond // times log10 of the group, with enough accusers
	suspectMost = 2.5                    // times that, with one
	forgetGone  = 2 * time.Minute        // a relay that left or is gone is held so long, so that old news does not revive it
	forgetDead  = 10 * time.Minute
)

const (
	accusersMost  = 3
	fanout        = 3
	awarenessMost = 4
	passOn        = 3   // times log2 of the group: how often news is passed on
	ridersMost    = 8   // pieces of news that ride on a ping or an answer
	errandsMost   = 256 // pings on behalf of others
	// MaxPeers bounds what is held, whatever is claimed.
	MaxPeers = 1024
)

// Outbound is something to send: to a relay by its name, or to an address where no name is known.
type Outbound struct {
	Name, Addr string
	Message    Message
	DialProbe  bool // no message: connect, and call Refused if that is refused
}

// Peer is what is held of another relay.
type Peer struct {
	Update
	Since       time.Duration // in this state
	LastContact time.Duration // by its own datagram; 0 for never
	Observed    Digest        // what it last said that it saw
	ObservedAt  time.Duration // when it said so
	until       time.Duration // when a suspect counts as dead
	accusers    []string
	sent        int // how often this was passed on
	suspected   time.Duration
}

// Membership is one relay's view. All calls come from one goroutine.
type Membership struct {
	self          Update
	seen          Digest
	sent          int
	seeds         []string
	rng           *rand.Rand
	peers         map[string]*Peer
	suspects      map[string]*Peer // of them
	fresh         map[string]*Peer // of them: what is to be passed on
	syncs         int
	order         []string // names still to be pinged in this round
	seq           uint64
	target        *Peer // being pinged; nil once it has answered
	targetSeq     uint64
	errands       map[uint64]errand
	awareness     int
	leaving       bool
	ticked        time.Duration
	at            struct{ probe, ask, gossip, sync, reach, sweep time.Duration }
	note          []byte
	OnUserData    func(from string, note []byte) // is told of others' notes, if set
	NameConflicts int                            // datagrams that another relay sent under this one's name
	RejectedPeers int                            // relays that were claimed beyond MaxPeers
}

type errand struct {
	asker string
	seq   uint64
	until time.Duration
}

// New makes a Machine. Self has Name, Addr, Zone and an incarnation above all that this relay ever used, as a wall clock in
// milliseconds is; should one it has forgotten be higher, it goes above that as soon as it hears of it.
func New(now time.Duration, self Update, seeds []string, rng *rand.Rand) *Membership {
	self.State, self.Phase = Alive, cmp.Or(self.Phase, Starting)
	m := &Membership{self: self, seeds: seeds, rng: rng, peers: map[string]*Peer{}, suspects: map[string]*Peer{},
		fresh: map[string]*Peer{}, errands: map[uint64]errand{}, ticked: now}
	m.at.probe = now + m.jitter(period)
	m.at.sync = now // at once: nobody is known
	m.at.reach, m.at.sweep = now+reachEvery, now+forgetGone
	m.at.ask, m.at.gossip = math.MaxInt64, math.MaxInt64
	return m
}

func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.rng.Float64()))
}

// slow is a time as this relay's own slowness asks for.
func (m *Membership) slow(d time.Duration) time.Duration { return d * time.Duration(1+m.awareness) }

// Self is what this relay says of itself.
func (m *Membership) Self() Update { return m.self }

// SetStatus changes what it says. A new phase is news; figures travel with its own pings alone.
func (m *Membership) SetStatus(now time.Duration, phase Phase, generation, flows, rate uint64) {
	m.self.Generation, m.self.Flows, m.self.Rate = generation, flows, rate
	if phase != m.self.Phase {
		m.self.Phase = phase
		m.self.Incarnation++
		m.news(now, &m.sent)
	}
}

// SetObservations changes what it tells of members and zones. It rides on pings and answers, to one relay or two in each period: what is bounded
// there stays bounded in bytes a second.
func (m *Membership) SetObservations(d Digest) { m.seen = d }

// SetUserData changes the note that rides on all that this relay sends; a new one is news, and goes round as fast as that.
func (m *Membership) SetUserData(now time.Duration, note []byte) {
	if len(note) > MaxUserData || bytes.Equal(note, m.note) {
		return
	}
	if m.note = note; len(note) > 0 {
		m.news(now, &m.sent)
	}
}

// Observations is what it tells.
func (m *Membership) Observations() Digest { return m.seen }

// Peers is all that is held of others, by name.
func (m *Membership) Peers() []*Peer {
	var list []*Peer
	for _, p := range m.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *Peer) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// Counts says how many relays live, this one included, and how many that this one has itself heard are known to be down: they
// said so, or their address refused.
func (m *Membership) Counts() (live, down int) {
	live = 1
	for _, p := range m.peers {
		switch {
		case p.State <= Suspect:
			live++
		case p.State >= Gone && p.LastContact > 0:
			down++
		}
	}
	return live, down
}

// NextTick is when Tick is due.
func (m *Membership) NextTick() time.Duration {
	next := min(m.at.probe, m.at.ask, m.at.gossip, m.at.sync, m.at.reach, m.at.sweep)
	for _, p := range m.suspects {
		next = min(next, p.until)
	}
	return next
}

// ---- What comes in ----

// Receive takes a message that a relay has sent.
func (m *Membership) Receive(now time.Duration, from string, msg Message) []Outbound {
	if from == m.self.Name {
		m.NameConflicts++
		return nil
	}
	down := m.peers[from] != nil && m.peers[from].State >= Dead
	for _, u := range msg.Updates {
		m.merge(now, u, u.Name == from)
	}
	p := m.peers[from]
	if p == nil {
		return nil // beyond the bound, or it said nothing of itself
	}
	p.LastContact = now
	if len(msg.UserData) > 0 && m.OnUserData != nil {
		m.OnUserData(from, msg.UserData)
	}
	if msg.Kind == Ping || msg.Kind == Ack {
		p.Observed, p.ObservedAt = msg.Observed, now
	}
	var out []Outbound
	if down && p.State == Alive {
		out = m.tell(out, from, p.Addr, Sync) // it may know nothing, or what the other side of a cut knew
	}
	switch msg.Kind {
	case Ping:
		out = m.send(out, p, Message{Kind: Ack, Seq: msg.Seq})
	case PingReq:
		if len(m.errands) < errandsMost && msg.TargetAddr != "" {
			m.seq++
			m.errands[m.seq] = errand{from, msg.Seq, now + 4*period}
			out = append(out, Outbound{Name: msg.Target, Addr: msg.TargetAddr, Message: m.load(Message{Kind: Ping, Seq: m.seq}, nil)})
		}
	case Ack:
		if m.target != nil && msg.Seq == m.targetSeq && (from == m.target.Name || msg.Target == m.target.Name) {
			m.target, m.at.ask = nil, math.MaxInt64
			m.awareness = max(m.awareness-1, 0)
		}
		if e, ok := m.errands[msg.Seq]; ok {
			delete(m.errands, msg.Seq)
			if asker := m.peers[e.asker]; asker != nil {
				out = m.send(out, asker, Message{Kind: Ack, Seq: e.seq, Target: from})
			}
		}
	case Sync:
		out = m.tell(out, from, p.Addr, Gossip)
	}
	if p.State != Alive && msg.Kind != Sync {
		// It lives, yet only its own word of a higher incarnation says so to all: have it hear what is said of it.
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.load(Message{Kind: Gossip}, []Update{p.Update})})
	}
	return out
}

// merge takes one piece of news over if it is newer than what is held.
func (m *Membership) merge(now time.Duration, u Update, own bool) {
	if u.Name == m.self.Name {
		if u.Incarnation > m.self.Incarnation || u.Incarnation == m.self.Incarnation && u.State != Alive && !m.leaving {
			if u.State == Suspect {
				m.awareness = min(m.awareness+1, awarenessMost) // others found it slow
			}
			m.self.Incarnation = u.Incarnation + 1
			m.news(now, &m.sent)
		}
		return
	}
	if u.Addr == "" {
		return
	}
	p := m.peers[u.Name]
	switch {
	case p == nil:
		if len(m.peers) >= MaxPeers {
			m.RejectedPeers++
			return
		}
		p = &Peer{Update: u}
		m.peers[u.Name] = p
		m.enter(now, p, u)
	case u.Incarnation > p.Incarnation || u.Incarnation == p.Incarnation && u.State > p.State:
		m.enter(now, p, u)
	case u.Incarnation == p.Incarnation && u.State == Suspect && p.State == Suspect:
		m.accuse(now, p, u.Accuser)
	case own && u.Incarnation == p.Incarnation && u.State == p.State:
		p.Generation, p.Flows, p.Rate = u.Generation, u.Flows, u.Rate
	}
}

// enter has a relay be in a state.
func (m *Membership) enter(now time.Duration, p *Peer, u Update) {
	p.Update, p.Since, p.accusers = u, now, nil
	delete(m.suspects, p.Name)
	m.fresh[p.Name] = p
	if u.State == Suspect {
		m.suspects[p.Name], p.suspected = p, now
		m.accuse(now, p, u.Accuser)
	}
	m.news(now, &p.sent)
}

// accuse notes who suspects a relay: the more do, the sooner it counts as dead.
func (m *Membership) accuse(now time.Duration, p *Peer, accuser string) {
	if slices.Contains(p.accusers, accuser) || len(p.accusers) > accusersMost {
		return
	}
	p.accusers = append(p.accusers, accuser)
	live, _ := m.Counts()
	least := suspectFor.Seconds() * max(1, math.Log10(float64(live)))
	part := 1.0 // of the way from the most to the least
	if want := min(accusersMost, live-3); want > 0 {
		part = min(math.Log(float64(len(p.accusers)))/math.Log(float64(want+1)), 1)
	}
	wait := least * (suspectMost - (suspectMost-1)*part)
	p.until = p.suspected + m.slow(time.Duration(wait*float64(time.Second)))
	if len(p.accusers) > 1 {
		m.fresh[p.Name] = p
		m.news(now, &p.sent) // another accuser is news too
	}
}

func (m *Membership) news(now time.Duration, sent *int) {
	*sent = 0
	m.at.gossip = min(m.at.gossip, now+m.jitter(gossipEvery)/2)
}

// ConnectionRefused says that a relay's address refused a connection: no process is there.
func (m *Membership) ConnectionRefused(now time.Duration, name string, incarnation uint64) {
	if p := m.peers[name]; p != nil && p.Incarnation == incarnation && (p.State == Suspect || p.State == Dead) {
		u := p.Update
		u.State, u.Accuser = Gone, m.self.Name
		m.enter(now, p, u)
	}
}

// ---- What is due ----

// Tick does what is due.
func (m *Membership) Tick(now time.Duration) (out []Outbound) {
	if now-m.ticked > lateTick+m.slow(period) {
		// It was this process that stood still: what it waited for is no sign, and its view is old.
		m.awareness, m.target, m.at.ask = awarenessMost, nil, math.MaxInt64
		for _, p := range m.suspects {
			p.until = now + m.slow(suspectFor)
		}
		m.at.sync = now
	}
	m.ticked = now
	for _, p := range m.suspects {
		if now >= p.until {
			u := p.Update
			u.State, u.Accuser = Dead, m.self.Name
			m.enter(now, p, u)
		}
	}
	if now >= m.at.ask {
		m.at.ask = math.MaxInt64
		out = m.askOthers(out)
	}
	if now >= m.at.probe {
		out = m.probe(now, out)
		m.at.probe = now + m.slow(period)
	}
	if now >= m.at.sync {
		out = m.sync(now, out)
	}
	if now >= m.at.reach {
		out = m.reach(now, out)
	}
	if now >= m.at.gossip {
		out = m.gossip(now, out)
	}
	if now >= m.at.sweep {
		m.sweep(now)
	}
	return out
}

// probe ends the last ping and begins the next.
func (m *Membership) probe(now time.Duration, out []Outbound) []Outbound {
	if p := m.target; p != nil {
		m.target, m.at.ask = nil, math.MaxInt64
		if p.State <= Suspect && m.peers[p.Name] == p {
			m.awareness = min(m.awareness+1, awarenessMost) // the fault may be its own
			u := p.Update
			u.State, u.Accuser = Suspect, m.self.Name
			if p.State == Suspect {
				m.accuse(now, p, m.self.Name)
			} else {
				m.enter(now, p, u)
			}
			// It should hear of it first, and a refusal at its address ends all doubt.
			out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.load(Message{Kind: Ping, Seq: 0}, []Update{p.Update})},
				Outbound{Name: p.Name, Addr: p.Addr, DialProbe: true, Message: Message{Updates: []Update{p.Update}}})
		}
	}
	for range 2 {
		for len(m.order) > 0 {
			p := m.peers[m.order[0]]
			m.order = m.order[1:]
			if p == nil || p.State > Suspect {
				continue
			}
			m.seq++
			m.target, m.targetSeq, m.at.ask = p, m.seq, now+m.slow(askAfter)
			return m.send(out, p, Message{Kind: Ping, Seq: m.seq})
		}
		for _, p := range m.Peers() { // each once a round, in an order of its own
			m.order = append(m.order, p.Name)
		}
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return out
}

// askOthers has some others ping who has not answered, and pings once more: the first may have been lost.
func (m *Membership) askOthers(out []Outbound) []Outbound {
	p := m.target
	if p == nil {
		return out
	}
	out = m.send(out, p, Message{Kind: Ping, Seq: m.targetSeq})
	for _, other := range m.some(fanout, p.Name) {
		out = m.send(out, other, Message{Kind: PingReq, Seq: m.targetSeq, Target: p.Name, TargetAddr: p.Addr})
	}
	return out
}

// some draws so many living relays but one.
func (m *Membership) some(n int, but string) []*Peer {
	var list []*Peer
	for _, p := range m.Peers() {
		if p.State <= Suspect && p.Name != but {
			list = append(list, p)
		}
	}
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

func (m *Membership) gossip(now time.Duration, out []Outbound) []Outbound {
	m.at.gossip = math.MaxInt64
	for _, p := range m.some(fanout, "") {
		if msg := m.load(Message{Kind: Gossip}, nil); len(msg.Updates) > 1 || m.sent <= m.often() {
			out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: msg})
			m.at.gossip = now + m.jitter(gossipEvery)
		}
	}
	return out
}

// sync tells one relay all, and has it tell all; now and then one at an address that was configured.
func (m *Membership) sync(now time.Duration, out []Outbound) []Outbound {
	live := m.some(1, "")
	m.syncs++
	m.at.sync = now + time.Duration(float64(m.jitter(syncEvery))*max(1, float64(len(m.peers))/syncFor))
	if len(live) == 0 {
		m.at.sync = now + m.jitter(joinEvery)
		for _, addr := range m.seeds {
			out = m.tell(out, "", addr, Sync)
		}
	} else {
		out = m.tell(out, live[0].Name, live[0].Addr, Sync)
		if len(m.seeds) > 0 && m.syncs%seedPart == 0 {
			out = m.tell(out, "", m.seeds[m.rng.IntN(len(m.seeds))], Sync)
		}
	}
	return out
}

// reach pings one that looks down, whatever is held of it: who was cut off, or is back at its old address and knows
// nobody, hears so what is said of it, and answers with a higher incarnation.
func (m *Membership) reach(now time.Duration, out []Outbound) []Outbound {
	var down []*Peer
	for _, p := range m.Peers() {
		if p.State >= Dead {
			down = append(down, p)
		}
	}
	m.at.reach = now + m.jitter(reachEvery)
	if len(down) > 0 {
		p := down[m.rng.IntN(len(down))]
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.load(Message{Kind: Ping}, []Update{p.Update})})
	}
	return out
}

// sweep forgets who is long gone.
func (m *Membership) sweep(now time.Duration) {
	m.at.sweep = now + forgetGone
	for name, p := range m.peers {
		if p.State >= Gone && now-p.Since > forgetGone || p.State == Dead && now-p.Since > forgetDead {
			delete(m.peers, name)
			delete(m.fresh, name)
		}
	}
	for seq, e := range m.errands {
		if now >= e.until {
			delete(m.errands, seq)
		}
	}
}

// Leave says farewell: the relay is about to end by itself.
func (m *Membership) Leave(now time.Duration) (out []Outbound) {
	m.leaving = true
	m.self.State, m.self.Phase = Left, Leaving
	m.self.Incarnation++
	m.sent = 0
	for _, p := range m.some(4*fanout, "") {
		out = append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.load(Message{Kind: Gossip}, nil)})
	}
	return out
}

// ---- What goes out ----

func (m *Membership) often() int {
	return passOn * int(math.Ceil(math.Log2(float64(len(m.peers)+2))))
}

// load puts what this relay says of itself on a message, what is given, and the news that was passed on least.
func (m *Membership) load(msg Message, first []Update) Message {
	msg.Updates, msg.UserData = append([]Update{m.self}, first...), m.note
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.Observed = m.seen
	}
	m.sent++
	fresh := slices.Collect(maps.Values(m.fresh))
	slices.SortFunc(fresh, func(x, y *Peer) int { return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.Name, y.Name)) })
	for _, p := range fresh[:min(len(fresh), ridersMost)] {
		if p.sent++; p.sent >= m.often() {
			delete(m.fresh, p.Name)
		}
		msg.Updates = append(msg.Updates, p.Update)
	}
	return msg
}

func (m *Membership) send(out []Outbound, p *Peer, msg Message) []Outbound {
	return append(out, Outbound{Name: p.Name, Addr: p.Addr, Message: m.load(msg, nil)})
}

// tell sends all that is known, in as many datagrams as it takes. Each piece stands for itself, so a lost one costs only what it
// held, until the next time.
func (m *Membership) tell(out []Outbound, name, addr string, kind Kind) []Outbound {
	all := []Update{m.self}
	for _, p := range m.Peers() {
		all = append(all, p.Update)
	}
	const most = MaxDatagramSize - Overhead
	for len(all) > 0 {
		msg := Message{Kind: kind, Updates: all[:min(len(all), updatesMost)]}
		if kind = Gossip; all[0].Name != m.self.Name {
			msg.Updates = append([]Update{m.self}, msg.Updates[:min(len(msg.Updates), updatesMost-1)]...)
		}
		_, fit := msg.Append(nil, most)
		msg.Updates = msg.Updates[:max(fit, 1)]
		out = append(out, Outbound{Name: name, Addr: addr, Message: msg})
		if used := len(msg.Updates); msg.Updates[0].Name == m.self.Name && all[0].Name != m.self.Name {
			all = all[max(used-1, 1):]
		} else {
			all = all[used:]
		}
	}
	return out
}
