// Package nats is the front for the NATS client protocol. To clients the relay is a NATS server,
// to pool members a client. What is placed by the core is a flow: a client's publishing side of
// one class and tenant, and each subscription. Publications travel on their feed's flow. Other
// proxies call the decision module itself by request and reply on reserved subjects. See
// docs/design/nats.md.
package nats

import (
	"crypto/tls"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/loadestimate"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// Times of this front.
const (
	connectTimeout       = 2 * time.Second // a client may take to say CONNECT; 3 s are allowed
	sweepInterval        = 500 * time.Millisecond
	memberPingInterval   = 2 * time.Second
	memberSilenceTimeout = 5 * time.Second // a member that answers no PING for so long is gone
	linkIdleTimeout      = 5 * time.Second
	checkTimeout         = 400 * time.Millisecond
	resubscribeBackoff   = 150 * time.Millisecond // a subscription that failed is asked for again
	drainTimeout         = 250 * time.Millisecond // a member that is left has to send what it has sent
	verdictRetention     = 10 * time.Second
)

// highWater is how many unsent bytes to a client its links rest at.
const clientHighWater = 64 << 10

// linkWater is how many unsent bytes a link has before its feed waits; a message more still fits
// the loop's buffers.
const linkHighWater = 48 << 10

// unsentLimit is a mark of unsent bytes, lowered while the buffers of all connections hold much.
func (f *Front) unsentLimit(mark int) int {
	if f.Loop.MemoryPressure() {
		return mark / 4
	}
	return mark
}

// Front serves the NATS client protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger
	Config
	Name string

	clients       map[*client]struct{}
	proxied       map[string]*proxiedRequest // requests that proxies carry themselves, by login and name
	healthChecks  map[policy.ServerID]*healthCheck
	routes        []route
	loadEstimate  *loadestimate.Estimator
	memberInfos   map[policy.ServerID]*memberInfo
	offers        advertised
	lastClientID  uint64
	lameDuck      bool          // the relay stops or is drained
	lameDuckSince time.Duration // when that began
	Counts        Counts
	security      *Security
}

// Counts is what has happened at this front.
type Counts struct{ SlowConsumers, Rejected, Denied int }

// route is a Route with its names looked up.
type route struct {
	subject string
	to      destination
}

// destination is a class and a tenant; each client has one feed for each that it publishes to.
type destination struct{ class, tenant int }

// New makes a front on the core.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger, name string, cfg Config, sec *Security) *Front {
	cfg.setDefaults()
	f := &Front{Loop: loop, Core: c, Log: log, Config: cfg, Name: name, clients: map[*client]struct{}{}, proxied: map[string]*proxiedRequest{},
		healthChecks: map[policy.ServerID]*healthCheck{}, memberInfos: map[policy.ServerID]*memberInfo{},
		loadEstimate: loadestimate.New(cfg.MemberFlows, c.PolicySettings().Balancers), offers: advertised{maxPayload: cfg.MaxPayload}}
	for _, r := range append(cfg.Routes, Route{">", cfg.Class, cfg.Tenant}) {
		n := route{subject: r.Subject}
		n.to.class, _ = c.Settings.Class(r.Class)
		n.to.tenant, _ = c.Settings.Tenant(r.Tenant)
		f.routes = append(f.routes, n)
	}
	f.ReloadSecurity(sec)
	loop.After(sweepInterval, f.sweep)
	return f
}

// Accept serves a client's connection.
func (f *Front) Accept(conn *netloop.Conn) {
	f.lastClientID++
	c := &client{front: f, conn: conn, id: f.lastClientID, local: conn.LocalAddr(), remote: conn.RemoteIP()}
	f.clients[c] = struct{}{}
	conn.SetHandler(c)
	conn.SetBufferLimits(f.MaxPayload+f.MaxControlLine+2, 2*f.MaxPayload+4*clientHighWater)
	if f.security.server != nil && f.TLS.HandshakeFirst {
		c.tlsChecked = true
		conn.StartTLS(f.security.server, false, connectTimeout, func(tls.ConnectionState) { c.write(f.infoLine(c)) })
	} else {
		c.write(f.infoLine(c))
	}
	if f.Loop.DescriptorsLow() || f.MaxConnections > 0 && len(f.clients) > f.MaxConnections {
		c.fail("maximum connections exceeded")
		return
	}
	conn.SetEvictable(func() { c.fail("maximum connections exceeded") })
	c.timer = f.Loop.After(connectTimeout, func() { c.fail("Authentication Timeout") })
}

// destination is where a subject's requests belong.
func (f *Front) destination(subject []byte) destination {
	for i := range f.routes {
		if subjectMatches(f.routes[i].subject, subject) {
			return f.routes[i].to
		}
	}
	return destination{}
}

// newRequest is what the core is asked for.
func (f *Front) newRequest(name string, to destination) core.Request {
	return core.Request{Name: name, Class: to.class, Tenant: to.tenant, TimeLeft: f.Core.PolicySettings().Classes[to.class].Deadline}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// sweep pings members that hold subscriptions, ends links on which they have gone silent, ends
// clients that are too slow, and while the relay leaves those for whom nothing is held.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.clients {
		switch {
		case f.lameDuck && now-f.lameDuckSince >= core.StopNotice && c.isIdle():
			c.close()
		case c.slowSince > 0 && now-c.slowSince >= f.slowTimeout():
			f.Counts.SlowConsumers++
			f.Log.WithField("client", c.remote).WithField("unsent", c.conn.Unsent()).Warn("slow consumer")
			c.fail("Slow Consumer")
		}
		for _, l := range c.links {
			l.checkLiveness(now)
		}
	}
	f.loadEstimate.Forget(f.Core.Reachable)
	f.Loop.After(sweepInterval, f.sweep)
}
