package nats

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// link is a client's connection to a member: one for each feed, since abandoning what is out on
// it means ending it, and one for all subscriptions there. What is done on it is acknowledged by
// the PONG to a PING that follows.
type link struct {
	f       *Front
	c       *netloop.Conn
	client  *client
	member  *core.Member
	feed    *publisher // nil for one that holds subscriptions
	ready   bool       // the member has taken CONNECT
	greeted bool
	written uint64   // bytes handed to the connection
	waiting []func() // for ready
	acks    []func() // one for each PING that is out
	fences  []*fence
	subs    map[int]*sub
	last    int           // the newest sid
	toAck   []func()      // wait for the PING at the end of this round
	asked   time.Duration // when the PING of the sweep went out; 0 if none is
	pinged  time.Duration // when the last one did
	rested  bool          // it was not read for a while since asked
	idle    *netloop.Timer
	over    bool
}

// dial makes a link.
func (c *client) dial(to *core.Member, p *publisher) *link {
	l := &link{f: c.f, client: c, member: to, feed: p}
	c.links = append(c.links, l)
	l.c = c.f.Loop.Dial(to.Addr, c.f.Core.PolicySettings().ConnectTimeout, l)
	l.c.SetBufferLimits(c.f.MaxPayload+maxInfo+2, 2*c.f.MaxPayload+4*highWater+c.f.WindowBytes)
	if c.f.Loop.DescriptorsLow() {
		c.f.Loop.After(0, func() { l.lose(netloop.ErrNoDescriptors) })
	}
	return l
}

// holder finds or makes the link that holds the client's subscriptions at a member.
func (c *client) holder(to *core.Member) *link {
	for _, l := range c.links {
		if l.feed == nil && l.member.ID == to.ID && !l.over {
			return l
		}
	}
	l := c.dial(to, nil)
	l.subs = map[int]*sub{}
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

// commit is Commit of the connection, and counts.
func (l *link) commit(out []byte) {
	before := l.c.Unsent()
	l.c.Commit(out)
	l.written += uint64(l.c.Unsent() - before)
}

func (l *link) queue(b []byte) { l.commit(append(l.c.Buffer(len(b)), b...)) }

// ack has f run when the member has taken what was written so far.
func (l *link) ack(f func()) {
	l.queue([]byte("PING\r\n"))
	l.acks = append(l.acks, f)
}

// confirm does the same with one PING for all that is written in this round of the loop.
func (l *link) confirm(f func()) {
	if l.toAck = append(l.toAck, f); len(l.toAck) > 1 {
		return
	}
	l.f.Loop.After(0, func() {
		all := l.toAck
		l.toAck = nil
		if !l.over {
			l.ack(func() {
				for _, f := range all {
					f()
				}
			})
		}
	})
}

// fence has a barrier told when the member's answers are past this point, or the link is gone.
func (l *link) fence(b *fence) {
	l.fences = append(l.fences, b)
	l.confirm(func() { l.past(b) })
}

func (l *link) past(b *fence) {
	if i := slices.Index(l.fences, b); i >= 0 {
		l.fences = slices.Delete(l.fences, i, i+1)
		b.step()
	}
}

func (l *link) add(s *sub) int {
	l.last++
	l.subs[l.last] = s
	return l.last
}

// drop forgets a sid.
func (l *link) drop(sid int) {
	delete(l.subs, sid)
	l.rest()
}

// rest gives a link back that holds no subscription for a while.
func (l *link) rest() {
	l.idle.Stop()
	if l.over || l.feed != nil || len(l.subs) > 0 {
		return
	}
	l.idle = l.f.Loop.After(linkIdle, func() {
		if len(l.subs) == 0 && len(l.waiting) == 0 {
			l.close()
		}
	})
}

// OnWritable is told by the loop.
func (l *link) Drained() {
	if l.feed != nil && l.ready {
		l.feed.feed.OnWritable()
	}
}

// Data is told by the loop.
func (l *link) Data(b []byte) int {
	used := 0
	for !l.over {
		if l.client.crowded() {
			l.c.PauseReading() // the client's Drained goes on
			l.rested = true
			return used
		}
		m, n, err := parse(b[used:], 2*maxControl, l.f.MaxPayload+maxInfo)
		if err != nil {
			l.lose(err)
			break
		}
		if n == 0 {
			return used
		}
		used += n
		l.take(&m)
	}
	return len(b)
}

func (l *link) take(m *command) {
	switch m.op {
	case opMsg, opHMsg:
		if l.feed != nil {
			l.feed.message(m)
		} else if sid, ok := number(m.sid); ok {
			if s := l.subs[sid]; s != nil {
				s.take(m)
			}
		}
	case opPong:
		if len(l.acks) > 0 {
			f := l.acks[0]
			l.acks = l.acks[1:]
			f()
		}
	case opInfo:
		l.f.hear(l.member.ID, m.rest)
		if !l.greeted {
			l.greeted = true
			l.greet(append([]byte(nil), m.rest...))
		}
	case opPing:
		l.queue([]byte("PONG\r\n"))
	case opErr:
		l.refused(m.rest)
	}
}

// Open is told by the loop; the member speaks first, but where TLS does.
func (l *link) Open() {
	if cfg := l.f.memberTLS(l.member.Addr); cfg != nil && l.f.MemberTLS.HandshakeFirst {
		l.c.StartTLS(cfg, true, l.f.Core.PolicySettings().ConnectTimeout, func(tls.ConnectionState) {})
	}
}

// greet answers the member's INFO, by TLS if that is configured.
func (l *link) greet(info []byte) {
	cfg := l.f.memberTLS(l.member.Addr)
	if cfg == nil || l.c.IsTLS() {
		l.connect(info)
		return
	}
	l.c.PauseReading()
	l.f.Loop.After(0, func() {
		l.c.StartTLS(cfg, true, l.f.Core.PolicySettings().ConnectTimeout, func(tls.ConnectionState) { l.connect(info) })
	})
}

// connect says CONNECT with what the client said, but for what is the relay's own.
func (l *link) connect(info []byte) {
	options := map[string]any{}
	err := errors.Join(json.Unmarshal(l.client.connect, &options), l.f.logIn(options, info))
	options["verbose"], options["pedantic"], options["headers"], options["no_responders"] = false, false, true, true
	options["echo"] = true // see origin
	if _, ok := options["lang"]; !ok {
		options["lang"], options["version"] = "dahliarudder", "1"
	}
	text, bad := json.Marshal(options)
	if err = errors.Join(err, bad); err != nil {
		l.lose(err)
		return
	}
	l.queue(fmt.Appendf(nil, "CONNECT %s\r\n", text))
	l.ack(func() {
		l.ready = true
		if l.feed != nil {
			l.feed.up()
			return
		}
		waiting := l.waiting
		l.waiting = nil
		for _, f := range waiting {
			f()
		}
	})
}

// refused is the member's -ERR. One that concerns a publication ends that
// attempt; any other that matters is followed by the end of the connection.
func (l *link) refused(text []byte) {
	l.f.Log.WithField("member", l.member.Name).WithField("error", string(text)).Debug("member refused")
	if l.feed != nil {
		l.feed.erred(text)
		return
	}
	for sid, s := range l.subs { // its subject stands in the text, or none does
		if !s.up && s.link == l && s.lsid == sid && l.ready && errorNames(text, s.subject) {
			delete(l.subs, sid)
			s.lost(policy.Error)
		}
	}
}

// errorNames says whether an error's text names that subject, or none.
func errorNames(text []byte, subject string) bool {
	_, rest, ok := bytes.Cut(text, []byte(`"`))
	if !ok {
		return bytes.Contains(bytes.ToLower(text), []byte("subscription"))
	}
	named, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(named) == subject
}

// End is told by the loop.
func (l *link) End(err error) { l.lose(err) }

// lose ends a link that broke and tells those who used it.
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
	if errors.Is(err, netloop.ErrNoDescriptors) { // the relay's own want, not the member's failure
		result = policy.NotSent
	}
	left := l.written - min(l.written, uint64(l.c.Unsent()))
	l.cut()
	if l.feed != nil {
		l.feed.lost(result, left)
		return
	}
	for sid, s := range l.subs {
		delete(l.subs, sid)
		if s.left == l {
			s.leaveDone()
		}
		if s.link == l {
			s.lost(result)
		}
	}
}

// cut ends the link at once.
func (l *link) cut() {
	if !l.over {
		l.gone()
		l.c.Reset()
	}
}

// close ends a link politely that nobody needs.
func (l *link) close() {
	if !l.over {
		l.gone()
		l.c.Finish()
	}
}

// gone gives back what the link holds besides its connection.
func (l *link) gone() {
	l.over = true
	l.idle.Stop()
	l.acks, l.waiting = nil, nil
	fences := l.fences
	l.fences = nil
	for _, b := range fences {
		b.step()
	}
	for i, x := range l.client.links {
		if x == l {
			l.client.links = append(l.client.links[:i], l.client.links[i+1:]...)
			return
		}
	}
}

// check pings the member of a link with subscriptions, times its answer, and
// ends the link when it does not come.
func (l *link) check(now time.Duration) {
	switch {
	case l.asked > 0 && l.client.slowSince > 0: // nothing is read from it
		l.asked = now
	case l.asked > 0 && now-l.asked > silentAfter:
		l.f.Log.WithField("member", l.member.Name).Warn("member has gone silent")
		l.lose(netloop.ErrDialTimeout)
	case l.asked == 0 && l.ready && len(l.subs) > 0 && now-l.pinged >= memberPing:
		l.asked, l.pinged, l.rested = now, now, false
		l.ack(func() {
			took, known := l.f.took(l.asked)
			l.asked = 0
			if l.rested || !known { // its answer has waited here
				return
			}
			for _, s := range l.subs {
				if s.up {
					l.f.Core.ObserveMessageLatency(s.id, took)
					break
				}
			}
			l.f.gauge.ObserveLatency(l.member.ID, took)
		})
	}
}

// ownBusy is how busy the relay may be for its members' answers to be timed: beyond it they wait for
// the relay, and a member would be blamed and left for that.
const ownBusy = 0.8

// took is how long a member has taken for an answer, the relay's own work taken off; false if that
// cannot be told.
func (f *Front) took(since time.Duration) (time.Duration, bool) {
	return max(f.Loop.Now()-since-2*f.Loop.LastRoundDuration(), 0), f.Loop.Utilization() < ownBusy
}
