// Package gossiptransport carries what package peers decides: datagrams on the loop, and knocks at the doors of relays that
// fell silent. It decides nothing.
package gossiptransport

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliarudder/internal/gossip"
	"dahliarudder/internal/netloop"
)

const (
	knockWithin = time.Second
	sayEvery    = time.Second
	// doorMost is how many connections of those who knock are held at once.
	doorMost = 16
	// retryEvery is when an address is tried again that another process still holds: the one whose place this takes.
	retryEvery = 500 * time.Millisecond
)

// Options is what a Service is made of.
type Options struct {
	Loop             *netloop.Loop
	Log              logrus.FieldLogger
	Name, Zone       string
	Listen           string
	Address          string // as others reach it
	Seeds            []string
	AddressOverrides map[string]string
	Keys             gossip.Keys
	Configured       int // relays
	Seed             uint64
	WallClock        func() time.Time // numbers this process, above the earlier ones of its name
	// Own says what this relay does: its phase, the generation of its list, its open flows, and how many requests it has had.
	LocalStatus func() (phase gossip.Phase, generation, flows, requests uint64)
	// Observed is what it saw itself of members and zones.
	Observations func() gossip.Digest
	// OnStaleList is called when others have held a newer list than this relay for a while.
	OnStaleList func()
	// OnUserData is told what other relays pass on for others than this package; nil if nobody wants it.
	OnUserData func(from string, note []byte)
	// OnDivisorChange is told by how many the budgets are divided that all relays share, when that changes.
	OnDivisorChange func(float64)
}

// Service is this relay among its peers.
type Service struct {
	Options
	m         *gossip.Membership
	seal      gossip.Sealer
	open      gossip.Opener
	sock      *netloop.UDPSocket
	door      *netloop.Listener
	tick      *netloop.Timer
	div       gossip.BudgetDivisor
	stale     gossip.StaleListDetector
	share     float64
	malformed int
	requests  uint64         // when they were last told
	in, out   map[string]int // bytes, by name
	closed    bool
	start     uint64
}

// New begins, also where the address is still held by another process: then it is tried again.
func New(o Options) *Service {
	start := uint64(o.WallClock().UnixMilli())
	s := &Service{Options: o, seal: gossip.Sealer{Keys: o.Keys, Name: o.Name, Start: start}, open: gossip.Opener{Keys: o.Keys},
		div: gossip.BudgetDivisor{Configured: o.Configured}, share: float64(o.Configured), in: map[string]int{}, out: map[string]int{}}
	s.start = start
	self := gossip.Update{Name: o.Name, Addr: o.Address, Zone: o.Zone, Incarnation: start}
	s.m = gossip.New(o.Loop.Now(), self, o.Seeds, rand.New(rand.NewPCG(o.Seed, start)))
	s.m.OnUserData = o.OnUserData
	s.listen()
	return s
}

// SetUserData has a note go round: with each datagram, and at once if it is a new one.
func (s *Service) SetUserData(note []byte) {
	s.m.SetUserData(s.Loop.Now(), note)
	if !s.closed && s.sock != nil {
		s.due()
	}
}

// listen takes the address, and tries again what cannot be had. Datagrams do not wait for the door: without it, this relay can only be thought to
// be gone while it is silent; without them it neither tells nor hears.
func (s *Service) listen() {
	if s.closed {
		return
	}
	var err error
	if s.sock == nil {
		if s.sock, err = s.Loop.ListenUDP(s.Listen, s.heard); err == nil {
			s.Log.WithField("listen", s.sock.Addr()).Info("peers")
			s.say()
			s.due()
		}
	}
	if err == nil {
		s.door, err = s.Loop.ListenReserved(s.Listen, doorMost, func(c *netloop.Conn) { c.SetHandler(shut{}); c.Finish() })
	}
	if err != nil {
		s.Log.WithError(err).WithField("datagrams", s.sock != nil).Warn("peers: the address cannot be had yet")
		s.Loop.After(retryEvery, s.listen)
	}
}

// say tells of this relay, and the module of how many there are.
func (s *Service) say() {
	if s.closed {
		return
	}
	phase, generation, flows, requests := s.LocalStatus()
	now := s.Loop.Now()
	s.m.SetStatus(now, phase, generation, flows, requests-s.requests) // as sayEvery is a second
	s.requests = requests
	s.m.SetObservations(s.Observations())
	if s.stale.ShouldRefresh(now, generation, s.m.Peers()) {
		s.OnStaleList()
	}
	s.open.Prune(now)
	live, down := s.m.Counts()
	if share := s.div.Update(now, live, down); share != s.share {
		s.Log.WithFields(logrus.Fields{"from": s.share, "to": share}).Info("peers: budgets are divided anew")
		s.share = share
		s.OnDivisorChange(share)
	}
	s.Loop.After(sayEvery, s.say)
}

// due does what is due and waits for the next.
func (s *Service) due() {
	s.tick.Stop()
	if s.closed {
		return
	}
	s.send(s.m.Tick(s.Loop.Now()))
	s.tick = s.Loop.After(s.m.NextTick()-s.Loop.Now(), s.due)
}

// milliseconds is the relay's own clock as it stands on a datagram. Only its differences count, so it need not be the
// wall clock, which may be stepped.
func milliseconds(now time.Duration) uint64 { return uint64(now.Milliseconds()) }

// heard takes a datagram.
func (s *Service) heard(from string, b []byte) {
	now := s.Loop.Now()
	name, content, err := s.open.Open(now, milliseconds(now), from, b)
	if err != nil {
		return // counted by its reason
	}
	m, err := gossip.Decode(content)
	if err != nil {
		s.malformed++
		return
	}
	if _, known := s.in[name]; known || len(s.in) < gossip.MaxPeers {
		s.in[name] += len(b)
	}
	s.send(s.m.Receive(now, name, m))
	if next := s.m.NextTick(); !s.closed && next < now+time.Second {
		s.tick.Stop()
		s.tick = s.Loop.After(next-now, s.due)
	}
}

func (s *Service) send(out []gossip.Outbound) {
	for _, o := range out {
		to, elsewhere := s.AddressOverrides[o.Name]
		if !elsewhere {
			to = o.Addr
		}
		if o.DialProbe {
			if u := o.Message.Updates[0]; !elsewhere { // a refusal counts at a relay's own door alone
				k := &knock{s: s, name: u.Name, incarnation: u.Incarnation}
				k.c = s.Loop.Dial(to, knockWithin, k)
			}
			continue
		}
		content, _ := o.Message.Append(nil, gossip.MaxDatagramSize-gossip.Overhead)
		b := s.seal.Seal(content, milliseconds(s.Loop.Now()))
		if _, known := s.out[o.Name]; known || len(s.out) < gossip.MaxPeers {
			s.out[o.Name] += len(b)
		}
		s.sock.Send(to, b)
	}
}

// Leave says farewell and gives the address back.
func (s *Service) Leave() {
	if s == nil || s.closed {
		return
	}
	if s.closed = true; s.sock != nil {
		s.send(s.m.Leave(s.Loop.Now()))
	}
	s.tick.Stop()
	s.sock.Close()
	s.door.Close()
}

// LiveAddresses are those of the relays that live, as this one reaches them.
func (s *Service) LiveAddresses() (all []string) {
	for _, p := range s.m.Peers() {
		if p.State <= gossip.Suspect {
			at, elsewhere := s.AddressOverrides[p.Name]
			if !elsewhere {
				at = p.Addr
			}
			all = append(all, at)
		}
	}
	return all
}

// Incarnation is this process's first incarnation: all that others hold of it is at least that.
func (s *Service) Incarnation() uint64 { return s.start }

// Seeds is what is held of the other relays.
func (s *Service) Peers() []*gossip.Peer { return s.m.Peers() }

// BudgetDivisor says how many relays live, and by how many budgets are divided.
func (s *Service) BudgetDivisor() (live int, share float64) {
	live, _ = s.m.Counts()
	return live, s.share
}

var stateNames = map[gossip.State]string{gossip.Alive: "alive", gossip.Suspect: "suspect", gossip.Dead: "dead", gossip.Gone: "gone", gossip.Left: "left"}
var phaseNames = map[gossip.Phase]string{gossip.Starting: "starting", gossip.Recovering: "recovering", gossip.Serving: "serving",
	gossip.Draining: "draining", gossip.Leaving: "leaving"}

// PeerStatus is what operators are told of one relay. Times are milliseconds ago.
type PeerStatus struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Phase       string `json:"phase"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Flows       uint64 `json:"flows"`
	Rate        uint64 `json:"requests_per_s"`
	Since       int64  `json:"since_ms"`
	LastContact int64  `json:"heard_ms"` // -1: never by its own word
	In          int    `json:"bytes_in"`
	Out         int    `json:"bytes_out"`
	Accuser     string `json:"accuser,omitempty"`
	// Observed is what it saw itself of zones and of the members that fail most; ObservedAgo is when it said so, -1: never.
	Observed    gossip.Digest `json:"seen"`
	ObservedAgo int64         `json:"seen_ms"`
}

// StatusJSON is the whole account, as JSON.
func (s *Service) StatusJSON() string {
	now := s.Loop.Now()
	account := func(u gossip.Update) PeerStatus {
		return PeerStatus{Name: u.Name, Address: u.Addr, Zone: u.Zone, State: stateNames[u.State], Phase: phaseNames[u.Phase],
			Incarnation: u.Incarnation, Generation: u.Generation, Flows: u.Flows, Rate: u.Rate, Accuser: u.Accuser, In: s.in[u.Name], Out: s.out[u.Name]}
	}
	live, down := s.m.Counts()
	all := struct {
		Self       PeerStatus     `json:"self"`
		Live       int            `json:"live"`
		Down       int            `json:"down"`
		Configured int            `json:"configured"`
		Share      float64        `json:"budgets_divided_by"`
		Refused    map[string]int `json:"refused"`
		Clashes    int            `json:"clashes"`
		Beyond     int            `json:"beyond_the_bound"`
		Peers      []PeerStatus   `json:"peers"`
	}{Self: account(s.m.Self()), Live: live, Down: down, Configured: s.Configured, Share: s.share, Refused: map[string]int{},
		Clashes: s.m.NameConflicts, Beyond: s.m.RejectedPeers, Peers: []PeerStatus{}}
	all.Self.Observed = s.m.Observations()
	for reason, n := range s.open.Rejected {
		all.Refused[reason] = n
	}
	if s.malformed > 0 {
		all.Refused["malformed"] = s.malformed
	}
	for _, p := range s.m.Peers() {
		a := account(p.Update)
		a.Since, a.LastContact, a.Observed, a.ObservedAgo = (now - p.Since).Milliseconds(), -1, p.Observed, -1
		if p.ObservedAt > 0 {
			a.ObservedAgo = (now - p.ObservedAt).Milliseconds()
		}
		if p.LastContact > 0 {
			a.LastContact = (now - p.LastContact).Milliseconds()
		}
		all.Peers = append(all.Peers, a)
	}
	text, _ := json.MarshalIndent(all, "", " ")
	return string(text)
}

// knock is one try at a relay's door.
type knock struct {
	s           *Service
	c           *netloop.Conn
	name        string
	incarnation uint64
}

// Open is told by the loop: somebody is there.
func (k *knock) Open() { k.c.Finish() }

// Data is told by the loop.
func (k *knock) Data(b []byte) int { return len(b) }

// Drained is told by the loop.
func (k *knock) Drained() {}

// End is told by the loop.
func (k *knock) End(err error) {
	if errors.Is(err, unix.ECONNREFUSED) && !k.s.closed {
		k.s.m.ConnectionRefused(k.s.Loop.Now(), k.name, k.incarnation)
		k.s.due()
	}
	k.c.Finish()
}

// shut is the handler of who knocks here: the connection itself was the answer.
type shut struct{}

func (shut) Open()             {}
func (shut) Data(b []byte) int { return len(b) }
func (shut) Drained()          {}
func (shut) End(error)         {}
