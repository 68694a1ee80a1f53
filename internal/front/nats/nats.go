// Package nats is the front for the NATS client protocol. To clients the relay is
// a NATS server, to pool members a client. A subscription is a long request, a
// publication a short one; both are placed by the core and stand under its rules.
// Other proxies call the decision module itself by request and reply on reserved
// subjects. See docs/design.md, "The NATS front".
package nats

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Config is how the operator's file sets the front up.
type Config struct {
	Listen     string `json:"listen"`
	MaxPayload int    `json:"max_payload"` // bytes; 1 MiB if zero
	// LoadSubject is where members answer a request with their load report; empty
	// if they do not.
	LoadSubject string  `json:"load_subject"`
	Class       string  `json:"class"`  // of what no route names
	Tenant      string  `json:"tenant"` // likewise
	Routes      []Route `json:"routes"`
}

// Route says what requests on matching subjects are; the first that matches counts.
type Route struct {
	Subject string `json:"subject"`
	Class   string `json:"class"`
	Tenant  string `json:"tenant"`
}

// Check says what is wrong with the configuration.
func (c *Config) Check(set *settings.Settings) error {
	if c.MaxPayload < 0 || c.MaxPayload > 8<<20 {
		return fmt.Errorf("max_payload %d is not within 8 MiB", c.MaxPayload)
	}
	if c.LoadSubject != "" && !validSubject(c.LoadSubject, false) {
		return fmt.Errorf("load_subject %q is no subject", c.LoadSubject)
	}
	for _, r := range append([]Route{{">", c.Class, c.Tenant}}, c.Routes...) {
		if !validSubject(r.Subject, true) {
			return fmt.Errorf("%q is no subject", r.Subject)
		}
		if _, ok := set.Class(r.Class); r.Class != "" && !ok {
			return fmt.Errorf("subject %q: unknown class %q", r.Subject, r.Class)
		}
		if _, ok := set.Tenant(r.Tenant); r.Tenant != "" && !ok {
			return fmt.Errorf("subject %q: unknown tenant %q", r.Subject, r.Tenant)
		}
	}
	return nil
}

// Times of this front.
const (
	connectWithin = 2 * time.Second // a client may take to say CONNECT; 3 s are allowed
	clientPing    = 30 * time.Second
	clientPings   = 2 // unanswered ones that end a client
	sweepEvery    = 500 * time.Millisecond
	memberPing    = 2 * time.Second
	silentAfter   = 5 * time.Second // a member that answers no PING for so long is gone
	linkIdle      = 5 * time.Second
	probeWithin   = 400 * time.Millisecond
	againMost     = 6 // tries to place a moved subscription before its client is sent away
	againAfter    = 150 * time.Millisecond
	keepVerdict   = 10 * time.Second
)

const (
	defaultPayload = 1 << 20
	highWater      = 64 << 10 // unsent bytes to a client at which its links rest
	maxSubs        = 4096     // of one client
)

// Front serves the NATS client protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger
	Config
	Name string

	clients map[*client]struct{}
	probes  map[policy.ServerID]*probe
	lastID  uint64
	leaving bool          // the relay stops or is drained
	since   time.Duration // when that began
}

// New makes a front on the core.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger, name string, cfg Config) *Front {
	if cfg.MaxPayload == 0 {
		cfg.MaxPayload = defaultPayload
	}
	f := &Front{Loop: loop, Core: c, Log: log, Config: cfg, Name: name, clients: map[*client]struct{}{},
		probes: map[policy.ServerID]*probe{}}
	loop.After(sweepEvery, f.sweep)
	return f
}

// Leave tells clients that the relay is leaving. The core then moves their
// subscriptions, which ends their connections; who has none is ended by the sweep.
func (f *Front) Leave() {
	f.leaving, f.since = true, f.Loop.Now()
	f.announce()
}

// Stay takes that back.
func (f *Front) Stay() {
	f.leaving = false
	f.announce()
}

func (f *Front) announce() {
	for c := range f.clients {
		c.write(f.info(f.leaving))
	}
}

func (f *Front) info(ldm bool) []byte {
	f.lastID++
	text, _ := json.Marshal(map[string]any{"server_id": f.Name, "server_name": f.Name, "version": "2.10.0",
		"proto": 1, "go": "dahliarudder", "headers": true, "max_payload": f.MaxPayload, "client_id": f.lastID, "ldm": ldm})
	return fmt.Appendf(nil, "INFO %s\r\n", text)
}

// Accept serves a client's connection.
func (f *Front) Accept(conn *netloop.Conn) {
	c := &client{f: f, c: conn, subs: map[string]*sub{}, links: map[linkKey]*link{}, asked: map[core.ID]*asked{}}
	f.clients[c] = struct{}{}
	conn.Handle(c)
	conn.Bound(f.MaxPayload+maxControl+2, 2*f.MaxPayload+4*highWater)
	c.write(f.info(f.leaving))
	if f.Loop.Short() { // its links would find no descriptors
		c.fail("maximum connections exceeded")
		return
	}
	conn.Spare(func() { c.fail("maximum connections exceeded") })
	c.timer = f.Loop.After(connectWithin, func() { c.fail("Authentication Timeout") })
}

// request is what the core is asked for a subject.
func (f *Front) request(name, subject string) core.Request {
	class, tenant := f.Class, f.Tenant
	for _, r := range f.Routes {
		if matches(r.Subject, subject) {
			class, tenant = r.Class, r.Tenant
			break
		}
	}
	q := core.Request{Name: name, Key: hash(subject), Group: hash(subject)}
	q.Class, _ = f.Core.Settings.Class(class)
	q.Tenant, _ = f.Core.Settings.Tenant(tenant)
	q.Wait = f.Core.Limits().Classes[q.Class].Deadline
	return q
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// sweep pings members that hold subscriptions, and ends links on which they have
// gone silent, and while the relay leaves clients for whom nothing is held.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.clients {
		if f.leaving && now-f.since >= core.StopNotice && c.holdsNothing() {
			c.close()
		}
		for _, l := range c.links {
			l.check(now)
		}
	}
	f.Loop.After(sweepEvery, f.sweep)
}
