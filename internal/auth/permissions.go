// Package auth says who may enter at the NATS front and what they may do. It does no I/O and is
// told the time; checking a bcrypt hash takes a tenth of a second, so callers do that off the
// loop.
package auth

import (
	"fmt"
	"strings"
	"time"
)

// SubjectRules is what one direction is allowed and denied: patterns of subjects, for subscriptions with the
// pattern of a queue group behind a blank. An empty Allow allows all.
type SubjectRules struct {
	Allow []string `json:"allow"`
	Deny  []string `json:"deny"`
}

// Responses lets who received a request publish to its reply subject.
type Responses struct {
	Max       int `json:"max"`        // answers to one request; 1 if zero, without bound if negative
	ExpiresMS int `json:"expires_ms"` // after the request; 120,000 if zero
}

// Permissions is what a user may do.
type Permissions struct {
	Publish   SubjectRules `json:"publish"`
	Subscribe SubjectRules `json:"subscribe"`
	Responses *Responses   `json:"allow_responses"`
}

// check says what is wrong with the patterns.
func (p *Permissions) check() error {
	for _, l := range []struct {
		key string
		all []string
	}{{"publish.allow", p.Publish.Allow}, {"publish.deny", p.Publish.Deny},
		{"subscribe.allow", p.Subscribe.Allow}, {"subscribe.deny", p.Subscribe.Deny}} {
		for i, s := range l.all {
			subject, _, _ := strings.Cut(s, " ")
			if subject == "" || strings.Contains("."+subject+".", "..") || strings.Contains(subject, ">.") {
				return fmt.Errorf("%s[%d]: %q is no subject", l.key, i, s)
			}
		}
	}
	return nil
}

// CanPublish says whether a subject may be published to; answers to requests aside.
func (p *Permissions) CanPublish(subject string) bool {
	return p == nil || p.Publish.lets(subject, "")
}

// CanSubscribe says whether a subscription may be made. One that only touches what is denied may, but
// see Hides.
func (p *Permissions) CanSubscribe(subject, queue string) bool {
	return p == nil || p.Subscribe.lets(subject, queue)
}

// NeedsFilter says whether a subscription may bring messages that Hides must look at.
func (p *Permissions) NeedsFilter(subject string) bool {
	return p != nil && len(p.Subscribe.Deny) > 0 && strings.ContainsAny(subject, "*>")
}

// Denies says whether a message on a subscription with wildcards must not be delivered.
func (p *Permissions) Denies(subject string) bool {
	for _, d := range p.Subscribe.Deny {
		if pattern, _, named := strings.Cut(d, " "); !named && Covers(pattern, subject) {
			return true
		}
	}
	return false
}

func (l *SubjectRules) lets(subject, queue string) bool {
	for _, d := range l.Deny {
		if covers(d, subject, queue) {
			return false
		}
	}
	for _, a := range l.Allow {
		if covers(a, subject, queue) {
			return true
		}
	}
	return len(l.Allow) == 0
}

// covers is Covers for a pattern that may name a queue group; without one it is for all.
func covers(pattern, subject, queue string) bool {
	pattern, group, named := strings.Cut(pattern, " ")
	return Covers(pattern, subject) && (!named || queue != "" && Covers(group, queue))
}

// Covers says whether a pattern takes all that a subject, itself perhaps with wildcards, takes.
func Covers(pattern, subject string) bool {
	for {
		p, rest, more := strings.Cut(pattern, ".")
		s, tail, longer := strings.Cut(subject, ".")
		switch {
		case p == ">":
			return true
		case s == ">", p != "*" && p != s:
			return false
		case !more || !longer:
			return more == longer
		}
		pattern, subject = rest, tail
	}
}

// ReplyTracker remembers the reply subjects that a client may answer to. It is bounded: the oldest goes.
type ReplyTracker struct {
	rule  Responses
	open  map[string]reply
	order []string
}

type reply struct {
	left  int
	until time.Duration
}

// repliesMost is how many requests a client may leave unanswered before the oldest is forgotten.
const repliesMost = 1024

// NewReplyTracker makes the memory for what a user may do; nil if no answers are allowed apart.
func NewReplyTracker(p *Permissions) *ReplyTracker {
	if p == nil || p.Responses == nil {
		return nil
	}
	r := &ReplyTracker{rule: *p.Responses, open: map[string]reply{}}
	if r.rule.Max == 0 {
		r.rule.Max = 1
	}
	if r.rule.ExpiresMS <= 0 {
		r.rule.ExpiresMS = 120_000
	}
	return r
}

// RecordRequest notes that the client got a request.
func (r *ReplyTracker) RecordRequest(now time.Duration, subject []byte) {
	if r == nil || len(subject) == 0 {
		return
	}
	name := string(subject)
	if _, known := r.open[name]; !known {
		r.order = append(r.order, name)
	}
	r.open[name] = reply{r.rule.Max, now + time.Duration(r.rule.ExpiresMS)*time.Millisecond}
	for len(r.order) > repliesMost || len(r.order) > 0 && r.open[r.order[0]].until <= now {
		delete(r.open, r.order[0])
		r.order = r.order[1:]
	}
}

// AllowReply says whether the client may publish to a reply subject now, and counts it.
func (r *ReplyTracker) AllowReply(now time.Duration, subject string) bool {
	if r == nil {
		return false
	}
	a, ok := r.open[subject]
	if !ok || a.until <= now {
		return false
	}
	if a.left--; a.left == 0 {
		delete(r.open, subject)
	} else {
		r.open[subject] = a
	}
	return true
}
