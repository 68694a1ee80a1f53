package nats

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// linkKey names a link of a client. Publications have links of their own, since
// abandoning one means ending its connection.
type linkKey struct {
	member policy.ServerID
	pubs   bool
}

// link is a client's connection to a member. What is done on it is acknowledged
// by the PONG to a PING that follows it.
type link struct {
	f       *Front
	c       *netloop.Conn
	client  *client
	key     linkKey
	member  *core.Member
	ready   bool // the member has taken CONNECT
	greeted bool
	waiting []func() // for ready
	acks    []func() // one for each PING that is out
	subs    map[string]*sub
	last    int           // the newest sid
	asked   time.Duration // when the PING of the sweep went out; 0 if none is
	pinged  time.Duration // when the last one did
	idle    *netloop.Timer
	over    bool
}

// link finds or makes the client's link to a member.
func (c *client) link(to *core.Member, pubs bool) *link {
	key := linkKey{to.ID, pubs}
	l := c.links[key]
	if l == nil {
		l = &link{f: c.f, client: c, key: key, member: to, subs: map[string]*sub{}}
		c.links[key] = l
		l.c = c.f.Loop.Dial(to.Addr, c.f.Core.Limits().ConnectTimeout, l)
		l.c.Bound(c.f.MaxPayload+maxInfo+2, 2*c.f.MaxPayload+4*highWater)
		if c.f.Loop.Short() {
			c.f.Loop.After(0, func() { l.lose(netloop.ErrFull) })
		}
	}
	return l
}

// do runs f once the link is ready.
func (l *link) do(f func()) {
	l.idle.Stop()
	if l.ready {
		f()
		return
	}
	l.waiting = append(l.waiting, f)
}

// ack has f run when the member has taken what was written so far.
func (l *link) ack(f func()) {
	l.c.Write([]byte("PING\r\n"))
	l.acks = append(l.acks, f)
}

func (l *link) add(s *sub) string {
	l.last++
	sid := strconv.Itoa(l.last)
	l.subs[sid] = s
	return sid
}

func (l *link) remove(s *sub) {
	if l.subs[s.lsid] == s {
		delete(l.subs, s.lsid)
		l.c.Write([]byte("UNSUB " + s.lsid + "\r\n"))
	}
	s.lsid = ""
	l.rest()
}

// rest gives a link back that nothing uses for a while.
func (l *link) rest() {
	l.idle.Stop()
	l.idle = l.f.Loop.After(linkIdle, func() {
		if len(l.subs) == 0 && len(l.acks) == 0 && len(l.waiting) == 0 {
			l.close()
		}
	})
}

// Open is told by the loop; the member speaks first.
func (l *link) Open() {}

// Drained is told by the loop.
func (l *link) Drained() {}

// Data is told by the loop.
func (l *link) Data(b []byte) int {
	used := 0
	for !l.over {
		if l.client.c.Unsent() > highWater {
			return used // the client's Drained goes on
		}
		m, n, err := parse(b[used:], l.f.MaxPayload)
		if err != nil {
			l.lose(err)
			break
		}
		if n == 0 {
			return used
		}
		used += n
		l.take(m)
	}
	return len(b)
}

func (l *link) take(m command) {
	switch m.op {
	case "INFO":
		if !l.greeted {
			l.greeted = true
			l.connect()
		}
	case "PING":
		l.c.Write([]byte("PONG\r\n"))
	case "PONG":
		if len(l.acks) > 0 {
			f := l.acks[0]
			l.acks = l.acks[1:]
			f()
			l.rest()
		}
	case "MSG", "HMSG":
		l.message(m)
	case "-ERR":
		l.refused(m.rest)
	}
}

// connect says CONNECT with what the client said, but for what is the relay's own.
func (l *link) connect() {
	options := maps.Clone(l.client.connect)
	options["verbose"], options["headers"], options["no_responders"] = false, true, true
	if _, ok := options["lang"]; !ok {
		options["lang"], options["version"] = "dahliarudder", "1"
	}
	text, err := json.Marshal(options)
	if err != nil {
		l.lose(err)
		return
	}
	l.c.Write(fmt.Appendf(nil, "CONNECT %s\r\n", text))
	l.ack(func() {
		l.ready = true
		waiting := l.waiting
		l.waiting = nil
		for _, f := range waiting {
			f()
		}
	})
}

func (l *link) message(m command) {
	if m.sid == noResponders {
		if m.header > 0 && strings.HasPrefix(string(m.payload), "NATS/1.0 503") {
			l.client.deliver(m)
		}
		return
	}
	s := l.subs[m.sid]
	if s == nil {
		return // it was given up meanwhile
	}
	if m.header > 0 && !l.client.options.Headers {
		m.payload, m.header = m.payload[m.header:], 0
	}
	l.client.write(m.message(s.sid))
	s.counted()
}

// refused is the member's -ERR. One that concerns a publication ends that
// attempt; any other that matters is followed by the end of the connection.
func (l *link) refused(text string) {
	l.f.Log.WithField("member", l.member.Name).WithField("error", text).Debug("member refused")
	if p := l.client.pub; l.key.pubs && l.ready && p != nil && p.link == l {
		p.ended(policy.Error)
	} else if !l.key.pubs && strings.Contains(strings.ToLower(text), "subscription") {
		for _, s := range maps.Clone(l.subs) {
			if !s.up && s.link == l {
				delete(l.subs, s.lsid)
				s.lost(policy.Error)
			}
		}
	}
}

// End is told by the loop.
func (l *link) End(err error) { l.lose(err) }

// lose ends a link that broke, or, with no error, one that is abandoned, and
// tells those who used it.
func (l *link) lose(err error) {
	if l.over {
		return
	}
	result := policy.Reset
	if !l.ready && (!l.greeted || l.c.Unsent() > 0) || l.c.Unsent() > 0 && err != nil {
		result = policy.ConnectFailed
	}
	if l.greeted && !l.ready && err == io.EOF {
		result = policy.Error // it did not take CONNECT
	}
	if errors.Is(err, netloop.ErrFull) { // the relay's own want, not the member's failure
		result = policy.Moot
	}
	l.over = true
	l.gone()
	l.c.Reset()
	if p := l.client.pub; p != nil && p.link == l {
		p.ended(result)
	}
	for _, s := range l.client.subs {
		if s.link == l {
			s.lost(result)
		}
	}
}

// close ends a link politely that nobody needs.
func (l *link) close() {
	if !l.over {
		l.over = true
		l.gone()
		l.c.Finish()
	}
}

// gone gives back what the link holds besides its connection.
func (l *link) gone() {
	l.idle.Stop()
	if l.client.links[l.key] == l {
		delete(l.client.links, l.key)
	}
}

// check pings the member of a link with subscriptions, times its answer, and
// ends the link when it does not come.
func (l *link) check(now time.Duration) {
	switch {
	case l.asked > 0 && now-l.asked > silentAfter:
		l.f.Log.WithField("member", l.member.Name).Warn("member has gone silent")
		l.lose(netloop.ErrDialTimeout)
	case l.asked == 0 && l.ready && len(l.subs) > 0 && now-l.pinged >= memberPing:
		l.asked, l.pinged = now, now
		l.ack(func() {
			took := l.f.Loop.Now() - l.asked
			l.asked = 0
			for _, s := range l.subs {
				if s.up {
					l.f.Core.Message(s.id, took)
					break
				}
			}
		})
	}
}

// ---- Probes ----

// probe asks one member for its load, on a connection of its own.
type probe struct {
	f      *Front
	id     policy.ServerID
	c      *netloop.Conn
	report policy.Report
	pongs  int
	within *netloop.Timer
}

const probeReply = "_dahlia.load.reply"

// Probe asks a member for its load; the answer goes to the core. A member
// without a load subject answers with its PONG alone.
func (f *Front) Probe(to *core.Member) {
	if f.probes[to.ID] != nil {
		return
	}
	p := &probe{f: f, id: to.ID, report: policy.NoReport}
	f.probes[to.ID] = p
	p.within = f.Loop.After(probeWithin, func() { p.done(policy.Timeout) })
	p.c = f.Loop.Dial(to.Addr, f.Core.Limits().ConnectTimeout, p)
}

// Open is told by the loop.
func (p *probe) Open() {}

// Drained is told by the loop.
func (p *probe) Drained() {}

// Data is told by the loop.
func (p *probe) Data(b []byte) int {
	used := 0
	for p.f.probes[p.id] == p {
		m, n, err := parse(b[used:], netloop.InBound)
		if err != nil {
			p.done(policy.Error)
		}
		if n == 0 {
			return used
		}
		used += n
		p.take(m)
	}
	return len(b)
}

func (p *probe) take(m command) {
	switch m.op {
	case "INFO":
		ask := `CONNECT {"verbose":false,"headers":true,"no_responders":true,"lang":"dahliarudder","version":"1"}` + "\r\n"
		if p.f.LoadSubject != "" {
			ask += fmt.Sprintf("SUB %s 1\r\nPUB %s %s 0\r\n", probeReply, p.f.LoadSubject, probeReply)
		}
		p.c.Write([]byte(ask + "PING\r\n"))
	case "PONG":
		if p.f.LoadSubject == "" {
			p.done(policy.OK)
		}
	case "MSG":
		p.report = parseReport(string(m.payload))
		p.done(policy.OK)
	case "HMSG": // nobody listens there
		p.done(policy.OK)
	case "-ERR":
		p.done(policy.Error)
	}
}

// End is told by the loop.
func (p *probe) End(err error) {
	switch {
	case errors.Is(err, netloop.ErrFull):
		p.done(policy.Moot)
	case err == io.EOF:
		p.done(policy.Reset)
	default:
		p.done(policy.ConnectFailed)
	}
}

func (p *probe) done(result policy.Result) {
	if p.f.probes[p.id] != p {
		return
	}
	delete(p.f.probes, p.id)
	p.within.Stop()
	p.c.Finish()
	p.f.Core.Probed(p.id, result, p.report)
}

// parseReport reads a load report, a JSON object of numbers.
func parseReport(text string) policy.Report {
	values := map[string]float64{}
	if json.Unmarshal([]byte(text), &values) != nil {
		return policy.NoReport
	}
	return settings.Report(values)
}
