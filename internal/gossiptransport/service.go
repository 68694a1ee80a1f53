// Package gossiptransport runs the protocol of package gossip on the event loop: it sends and receives
// the datagrams, dials suspected relays and publishes this relay's status. All decisions are made by
// package gossip.
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
	// maxProbeConns is the maximum number of open connections from other relays' dial probes.
	maxProbeConns = 16
	// listenRetryInterval is the time between attempts to listen on an address that is still in use
	// by the process that this one replaces.
	listenRetryInterval = 500 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Loop             *netloop.Loop
	Log              logrus.FieldLogger
	Name, Zone       string
	Listen           string
	Address          string            // the address at which other relays reach this one
	Seeds            []string          // addresses of some relays, used to join the group
	AddressOverrides map[string]string // by relay name, the address to use instead of the published one
	Keys             gossip.Keys
	Configured       int // number of relays in the installation
	Seed             uint64
	WallClock        func() time.Time // the start time is the first incarnation, higher than those of earlier processes
	// LocalStatus returns the status to publish: the phase, the generation of the endpoint list, the
	// number of open flows, and the number of requests since the start.
	LocalStatus func() (phase gossip.Phase, generation, flows, requests uint64)
	// Observations returns the digest to publish.
	Observations func() gossip.Digest
	// OnStaleList is called when other relays have had a newer endpoint list for some time.
	OnStaleList func()
	// OnUserData receives the user data of other relays, if set.
	OnUserData func(from string, userData []byte)
	// OnDivisorChange is called when the number changes by which the budgets shared by all relays are
	// divided.
	OnDivisorChange func(divideBy float64)
}

// Service runs this relay's membership in the group.
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
	lastRequests      uint64         // the number of requests when the status was last published
	bytesIn, bytesOut map[string]int // bytes received and sent, by relay name
	closed            bool
	incarnation       uint64
}

// New starts the service. If the address is still in use by another process, the service retries later.
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

// SetUserData changes the user data that is attached to the datagrams; new data is sent at once.
func (s *Service) SetUserData(userData []byte) {
	s.membership.SetUserData(s.Loop.Now(), userData)
	if !s.closed && s.socket != nil {
		s.tick()
	}
}

// listen opens the UDP socket and the TCP listener, and retries those that fail. Datagrams do not wait
// for the listener. Without the listener, dial probes of other relays are refused, but they dial only
// a relay that does not answer datagrams. Without datagrams, this relay takes no part in the group.
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

// publishStatus publishes this relay's status and evaluates the status of the other relays.
func (s *Service) publishStatus() {
	if s.closed {
		return
	}
	phase, generation, flows, requests := s.LocalStatus()
	now := s.Loop.Now()
	// The difference is a rate per second, since statusInterval is one second.
	s.membership.SetStatus(now, phase, generation, flows, requests-s.lastRequests)
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

// tick runs the due tasks of the membership and schedules the next tick.
func (s *Service) tick() {
	s.tickTimer.Stop()
	if s.closed {
		return
	}
	s.send(s.membership.Tick(s.Loop.Now()))
	s.tickTimer = s.Loop.After(s.membership.NextTick()-s.Loop.Now(), s.tick)
}

// milliseconds converts the relay's monotonic clock to the form sent in datagrams. Receivers only use
// its differences, so the wall clock, which may be stepped, is not needed.
func milliseconds(now time.Duration) uint64 { return uint64(now.Milliseconds()) }

// receive verifies a datagram and hands it to the membership.
func (s *Service) receive(from string, b []byte) {
	now := s.Loop.Now()
	name, content, err := s.opener.Open(now, milliseconds(now), from, b)
	if err != nil {
		return // the opener has counted the rejected datagram
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
			if !overridden { // a refusal by a forwarder does not show that the relay behind it is down
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

// Leave announces that this relay stops, and closes the sockets. It may be called on a nil Service.
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

// addressOf returns the address at which a relay is reached, given the address that it publishes,
// and whether the configuration overrides the published one.
func (s *Service) addressOf(name, published string) (addr string, overridden bool) {
	if addr, overridden = s.AddressOverrides[name]; !overridden {
		addr = published
	}
	return addr, overridden
}

// LiveAddresses returns the addresses at which this relay reaches the relays that are alive or suspect.
func (s *Service) LiveAddresses() (addrs []string) {
	for _, p := range s.membership.Peers() {
		if p.State <= gossip.Suspect {
			addr, _ := s.addressOf(p.Name, p.Addr)
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Incarnation returns the first incarnation of this process. Its updates have that or a higher one.
func (s *Service) Incarnation() uint64 { return s.incarnation }

// Peers returns all other tracked relays.
func (s *Service) Peers() []*gossip.Peer { return s.membership.Peers() }

// BudgetDivisor returns the number of live relays and the number by which the shared budgets are
// divided.
func (s *Service) BudgetDivisor() (live int, divideBy float64) {
	live, _ = s.membership.Counts()
	return live, s.divideBy
}
