// Package nats is the front for the NATS client protocol. The relay is a NATS server to clients and
// a NATS client to pool members. The core places flows: one for a client's publications of one class
// and tenant (a feed), and one for each subscription. Other proxies call the decision module by
// request and reply on reserved subjects. See docs/design/nats.md.
package nats

import (
	"crypto/tls"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/loadestimate"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// Timeouts and intervals of this front.
const (
	connectTimeout       = 2 * time.Second        // for a client's CONNECT, and for a TLS handshake; must be below 3 s
	sweepInterval        = 500 * time.Millisecond // between searches for slow clients and silent members
	memberPingInterval   = 2 * time.Second        // on links with subscriptions
	memberSilenceTimeout = 5 * time.Second        // for a member's PONG, after which the link is closed
	linkIdleTimeout      = 5 * time.Second        // for a link without subscriptions
	healthCheckTimeout   = 400 * time.Millisecond
	resubscribeBackoff   = 150 * time.Millisecond // before a failed subscription is placed again
	drainTimeout         = 250 * time.Millisecond // for the last messages of the member that a subscription leaves
	verdictRetention     = 10 * time.Second       // for a final verdict that no proxy has received
)

// clientHighWater is the number of unsent bytes to a client above which its links are not read.
const clientHighWater = 64 << 10

// linkHighWater is the number of unsent bytes on a link from which its feed stops writing. One more
// message still fits into the loop's buffers.
const linkHighWater = 48 << 10

// instanceBase is the number base of Front.instance, for short names.
const instanceBase = 36

// unsentLimit returns limit, or a quarter of it while the loop is short of buffer memory.
func (f *Front) unsentLimit(limit int) int {
	if f.Loop.MemoryPressure() {
		return limit / 4
	}
	return limit
}

// Front serves the NATS client protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger
	Config
	Name string

	clients       map[*client]struct{}
	proxied       map[string]*proxiedRequest  // requests whose attempts proxies make themselves, by requestKey
	proxiedByID   map[core.ID]*proxiedRequest // the same, and those without a name
	clientsByID   map[uint64]*client
	sibling       *sibling
	stateMemory   memoryBudget
	healthChecks  map[policy.MemberID]*healthCheck
	routes        []route
	loadEstimate  *loadestimate.Estimator
	memberInfos   map[policy.MemberID]*memberInfo
	advertised    advertisedInfo
	lastClientID  uint64
	lastCheckID   uint64        // number of the latest health check
	instance      string        // random; differs between processes
	lameDuck      bool          // the relay is shutting down or draining
	lameDuckSince time.Duration // when EnterLameDuck was called
	Counts        Counts
	security      *Security
	authWorkers   sync.WaitGroup // the goroutines that check passwords
}

// Counts counts the clients and messages that this front has rejected.
type Counts struct{ SlowConsumers, Rejected, Denied int }

// route is a Route with its class and tenant resolved.
type route struct {
	subject string
	to      destination
}

// destination is a class and a tenant. A client has one feed for each destination that it publishes to.
type destination struct{ class, tenant int }

// New returns a front that places flows through the core.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger, name string, cfg Config, sec *Security) *Front {
	cfg.setDefaults()
	f := &Front{Loop: loop, Core: c, Log: log, Config: cfg, Name: name, clients: map[*client]struct{}{}, proxied: map[string]*proxiedRequest{}, proxiedByID: map[core.ID]*proxiedRequest{}, clientsByID: map[uint64]*client{},
		healthChecks: map[policy.MemberID]*healthCheck{}, memberInfos: map[policy.MemberID]*memberInfo{},
		loadEstimate: loadestimate.New(cfg.MemberFlows, c.PolicySettings().Balancers), advertised: advertisedInfo{maxPayload: cfg.MaxPayload}}
	f.sibling = newSibling(f)
	f.stateMemory.limit = c.FeedMemoryLimit // the same part of the memory as for messages of feeds
	f.instance = strconv.FormatUint(rand.Uint64(), instanceBase)
	for _, r := range append(cfg.Routes, Route{">", cfg.Class, cfg.Tenant}) {
		resolved := route{subject: r.Subject}
		resolved.to.class, _ = c.Settings.Class(r.Class)
		resolved.to.tenant, _ = c.Settings.Tenant(r.Tenant)
		f.routes = append(f.routes, resolved)
	}
	f.ReloadSecurity(sec)
	loop.After(sweepInterval, f.sweep)
	return f
}

// Accept serves a client's connection.
func (f *Front) Accept(conn *netloop.Conn) {
	f.lastClientID++
	c := &client{front: f, conn: conn, id: f.lastClientID, local: conn.LocalAddr(), remote: conn.RemoteIP()}
	f.clients[c], f.clientsByID[c.id] = struct{}{}, c
	conn.SetHandler(c)
	conn.SetBufferLimits(f.MaxPayload+f.MaxControlLine+2, 2*f.MaxPayload+4*clientHighWater)
	if f.security.server != nil && f.TLS.HandshakeFirst {
		c.tlsChecked = true
		conn.StartTLS(f.security.server, false, connectTimeout, func(tls.ConnectionState) { c.write(f.infoLine(c)) })
	} else {
		c.write(f.infoLine(c))
	}
	if f.Loop.DescriptorsLow() || f.MaxConnections > 0 && len(f.clients) > f.MaxConnections {
		c.fail(errMaxConnections)
		return
	}
	conn.SetEvictable(func() { c.fail(errMaxConnections) })
	c.timer = f.Loop.After(connectTimeout, func() { c.fail(errAuthTimeout) })
}

// destination returns the class and tenant of a subject, by the first route that matches.
func (f *Front) destination(subject []byte) destination {
	for i := range f.routes {
		if subjectMatches(f.routes[i].subject, subject) {
			return f.routes[i].to
		}
	}
	return destination{}
}

// newRequest returns a request to the core with the deadline of its class.
func (f *Front) newRequest(name string, to destination) core.Request {
	return core.Request{Name: name, Class: to.class, Tenant: to.tenant, TimeLeft: f.Core.PolicySettings().Classes[to.class].Deadline}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// sweep pings members with subscriptions, fails links whose member does not answer, closes clients
// that are too slow, and in lame duck mode closes idle clients.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.clients {
		switch {
		case f.lameDuck && now-f.lameDuckSince >= core.StopNotice && c.isIdle():
			c.close()
		case c.failure == nil && c.slowSince > 0 && now-c.slowSince >= f.slowTimeout():
			f.Counts.SlowConsumers++
			f.Log.WithField("client", c.remote).WithField("unsent", c.conn.Unsent()).Warn("slow consumer")
			c.abort(errSlowConsumer)
		}
		c.closeIfAnswered()
		for _, l := range c.links {
			l.checkLiveness(now)
		}
	}
	f.loadEstimate.Forget(f.Core.Reachable)
	f.Loop.After(sweepInterval, f.sweep)
}
