// Package gossiptransport runs the membership protocol of package gossip on the event loop: it sends and receives its
// datagrams, dials the relays that it suspects, and publishes this relay's status. It decides nothing.
package gossiptransport

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
	"dahliarudder/internal/netloop"
)

const (
	dialProbeTimeout = time.Second
	statusInterval   = time.Second
	// maxProbeConns is how many connections of other relays' dial probes are open at once.
	maxProbeConns = 16
	// listenRetryInterval is when an address is tried again that another process still has: the one that this one replaces.
	listenRetryInterval = 500 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Loop             *netloop.Loop
	Log              logrus.FieldLogger
	Name, Zone       string
	Listen           string
	Address          string            // as others reach it
	Seeds            []string          // addresses of some relays to join by
	AddressOverrides map[string]string // by name, where a relay is reached if not at the address that it publishes
	Keys             gossip.Keys
	Configured       int // relays
	Seed             uint64
	WallClock        func() time.Time // its start gives this process an incarnation above the earlier ones of its name
	// LocalStatus is the status to publish: the phase, the generation of the endpoint list, the open flows, and the requests so far.
	LocalStatus func() (phase gossip.Phase, generation, flows, requests uint64)
	// Observations is the digest to publish.
	Observations func() gossip.Digest
	// OnStaleList is called when others have had a newer endpoint list than this relay for a while.
	OnStaleList func()
	// OnUserData receives the user data of other relays, if set.
	OnUserData func(from string, userData []byte)
	// OnDivisorChange is called when the number changes by which the budgets are divided that all relays share.
	OnDivisorChange func(divideBy float64)
}

// Service is this relay's membership of the group.
type Service struct {
	Options
	membership        *gossip.Membership
	sealer            gossip.Sealer
	opener            gossip.Opener
	socket            *netloop.UDPSocket
	listener          *netloop.Listener
	tickTimer         *netloop.Timer
	divisor           gossip.BudgetDivisor
	stale             gossip.StaleListDetector
	divideBy          float64
	malformed         int
	lastRequests      uint64         // the requests so far when the status was last published
	bytesIn, bytesOut map[string]int // bytes, by name
	closed            bool
	incarnation       uint64
}

// New starts the service. If another process still has the address, it is tried again later.
func New(o Options) *Service {
	start := uint64(o.WallClock().UnixMilli())
	s := &Service{Options: o, sealer: gossip.Sealer{Keys: o.Keys, Name: o.Name, Start: start}, opener: gossip.Opener{Keys: o.Keys},
		divisor: gossip.BudgetDivisor{Configured: o.Configured}, divideBy: float64(o.Configured), bytesIn: map[string]int{}, bytesOut: map[string]int{}}
	s.incarnation = start
	self := gossip.Update{Name: o.Name, Addr: o.Address, Zone: o.Zone, Incarnation: start}
	s.membership = gossip.New(o.Loop.Now(), self, o.Seeds, rand.New(rand.NewPCG(o.Seed, start)))
	s.membership.OnUserData = o.OnUserData
	s.listen()
	return s
}

// SetUserData changes the user data that rides on each datagram; new data is sent at once.
func (s *Service) SetUserData(userData []byte) {
	s.membership.SetUserData(s.Loop.Now(), userData)
	if !s.closed && s.socket != nil {
		s.tick()
	}
}

// listen opens the sockets, and tries again what fails. Datagrams do not wait for the TCP listener: without that, this relay can
// only be taken for gone while it is silent; without datagrams it is no member at all.
func (s *Service) listen() {
	if s.closed {
		return
	}
	var err error
	if s.socket == nil {
		if s.socket, err = s.Loop.ListenUDP(s.Listen, s.receive); err == nil {
			s.Log.WithField("listen", s.socket.Addr()).Info("gossip: listening")
			s.publishStatus()
			s.tick()
		}
	}
	if err == nil {
		s.listener, err = s.Loop.ListenReserved(s.Listen, maxProbeConns, func(c *netloop.Conn) { c.SetHandler(closeHandler{}); c.Finish() })
	}
	if err != nil {
		s.Log.WithError(err).WithField("datagrams", s.socket != nil).Warn("gossip: address not available yet, retrying")
		s.Loop.After(listenRetryInterval, s.listen)
	}
}

// publishStatus publishes this relay's status, and updates what follows from that of the others.
func (s *Service) publishStatus() {
	if s.closed {
		return
	}
	phase, generation, flows, requests := s.LocalStatus()
	now := s.Loop.Now()
	s.membership.SetStatus(now, phase, generation, flows, requests-s.lastRequests) // a rate, since statusInterval is a second
	s.lastRequests = requests
	s.membership.SetObservations(s.Observations())
	if s.stale.ShouldRefresh(now, generation, s.membership.Peers()) {
		s.OnStaleList()
	}
	s.opener.Prune(now)
	live, down := s.membership.Counts()
	if divideBy := s.divisor.Update(now, live, down); divideBy != s.divideBy {
		s.Log.WithFields(logrus.Fields{"from": s.divideBy, "to": divideBy}).Info("gossip: budget divisor changed")
		s.divideBy = divideBy
		s.OnDivisorChange(divideBy)
	}
	s.Loop.After(statusInterval, s.publishStatus)
}

// tick runs what is due in the membership and schedules the next tick.
func (s *Service) tick() {
	s.tickTimer.Stop()
	if s.closed {
		return
	}
	s.send(s.membership.Tick(s.Loop.Now()))
	s.tickTimer = s.Loop.After(s.membership.NextTick()-s.Loop.Now(), s.tick)
}

// milliseconds is the relay's monotonic clock as it is sent on a datagram. Only its differences count, so it need not be the
// wall clock, which may be stepped.
func milliseconds(now time.Duration) uint64 { return uint64(now.Milliseconds()) }

// receive verifies a datagram and hands it to the membership.
func (s *Service) receive(from string, b []byte) {
	now := s.Loop.Now()
	name, content, err := s.opener.Open(now, milliseconds(now), from, b)
	if err != nil {
		return // the opener has counted it by its reason
	}
	m, err := gossip.Decode(content)
	if err != nil {
		s.malformed++
		return
	}
	if _, known := s.bytesIn[name]; known || len(s.bytesIn) < gossip.MaxPeers {
		s.bytesIn[name] += len(b)
	}
	s.send(s.membership.Receive(now, name, m))
	if next := s.membership.NextTick(); !s.closed && next < now+time.Second {
		s.tickTimer.Stop()
		s.tickTimer = s.Loop.After(next-now, s.tick)
	}
}

func (s *Service) send(out []gossip.Outbound) {
	for _, o := range out {
		to, overridden := s.addressOf(o.Name, o.Addr)
		if o.DialProbe {
			if !overridden { // a refusal by a forwarder says nothing of the relay behind it
				s.startDialProbe(to, o.Message.Updates[0])
			}
			continue
		}
		content, _ := o.Message.Append(nil, gossip.MaxDatagramSize-gossip.Overhead)
		b := s.sealer.Seal(content, milliseconds(s.Loop.Now()))
		if _, known := s.bytesOut[o.Name]; known || len(s.bytesOut) < gossip.MaxPeers {
			s.bytesOut[o.Name] += len(b)
		}
		s.socket.Send(to, b)
	}
}

// Leave announces that this relay stops, and closes the sockets. A nil Service may leave.
func (s *Service) Leave() {
	if s == nil || s.closed {
		return
	}
	if s.closed = true; s.socket != nil {
		s.send(s.membership.Leave(s.Loop.Now()))
	}
	s.tickTimer.Stop()
	s.socket.Close()
	s.listener.Close()
}

// addressOf is where a relay is reached, given the address that it publishes, and whether the configuration overrides that.
func (s *Service) addressOf(name, published string) (addr string, overridden bool) {
	if addr, overridden = s.AddressOverrides[name]; !overridden {
		addr = published
	}
	return addr, overridden
}

// LiveAddresses are those of the relays that are alive, as this one reaches them.
func (s *Service) LiveAddresses() (addrs []string) {
	for _, p := range s.membership.Peers() {
		if p.State <= gossip.Suspect {
			addr, _ := s.addressOf(p.Name, p.Addr)
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Incarnation is this process's first incarnation: its updates have that or a higher one.
func (s *Service) Incarnation() uint64 { return s.incarnation }

// Peers is every other relay that is tracked.
func (s *Service) Peers() []*gossip.Peer { return s.membership.Peers() }

// BudgetDivisor is how many relays are alive, and by how many the shared budgets are divided.
func (s *Service) BudgetDivisor() (live int, divideBy float64) {
	live, _ = s.membership.Counts()
	return live, s.divideBy
}
