// Package auth decides which clients may log in at the NATS front and what they may do. It does no
// I/O, and the time is passed in. Checking a bcrypt hash takes a tenth of a second, so callers do
// that off the event loop.
package auth

import (
	"fmt"
	"strings"
)

// SubjectRules are the subject patterns that are allowed and denied, for publishing or for
// subscribing. A pattern for subscribing may be followed by a space and a pattern for the queue
// group. An empty Allow allows everything.
type SubjectRules struct {
	Allow []string `json:"allow"`
	Deny  []string `json:"deny"`
}

// Responses permits a client that has received a request to publish to the request's reply subject.
type Responses struct {
	Max       int `json:"max"`        // responses to one request; 0 means 1, a negative number means unlimited
	ExpiresMS int `json:"expires_ms"` // time to respond after the request; 120,000 ms if 0 or negative
}

// Permissions is what a user may do. A nil *Permissions allows everything.
type Permissions struct {
	Publish   SubjectRules `json:"publish"`
	Subscribe SubjectRules `json:"subscribe"`
	Responses *Responses   `json:"allow_responses"`
}

// validate checks the patterns. Errors begin with the key that is wrong.
func (p *Permissions) validate() error {
	for _, list := range []struct {
		key      string
		patterns []string
	}{{"publish.allow", p.Publish.Allow}, {"publish.deny", p.Publish.Deny},
		{"subscribe.allow", p.Subscribe.Allow}, {"subscribe.deny", p.Subscribe.Deny}} {
		for i, s := range list.patterns {
			subject, _, _ := strings.Cut(s, " ")
			if subject == "" || strings.Contains("."+subject+".", "..") || strings.Contains(subject, ">.") {
				return fmt.Errorf("%s[%d]: %q is not a valid subject", list.key, i, s)
			}
		}
	}
	return nil
}

// CanPublish reports whether the rules allow a client to publish to a subject. A ReplyTracker may
// allow a reply that the rules do not.
func (p *Permissions) CanPublish(subject string) bool {
	return p == nil || p.Publish.allows(subject, "")
}

// CanSubscribe reports whether a subscription is allowed. A subscription with wildcards that matches
// denied subjects among others is allowed; Denies then filters its messages.
func (p *Permissions) CanSubscribe(subject, queue string) bool {
	return p == nil || p.Subscribe.allows(subject, queue)
}

// NeedsFilter reports whether messages of a subscription to subject must be checked with Denies.
func (p *Permissions) NeedsFilter(subject string) bool {
	return p != nil && len(p.Subscribe.Deny) > 0 && strings.ContainsAny(subject, "*>")
}

// Denies reports whether a message with this subject must not be delivered to a subscription with
// wildcards.
func (p *Permissions) Denies(subject string) bool {
	for _, d := range p.Subscribe.Deny {
		if pattern, _, hasGroup := strings.Cut(d, " "); !hasGroup && Covers(pattern, subject) {
			return true
		}
	}
	return false
}

func (l *SubjectRules) allows(subject, queue string) bool {
	for _, d := range l.Deny {
		if coversQueue(d, subject, queue) {
			return false
		}
	}
	for _, a := range l.Allow {
		if coversQueue(a, subject, queue) {
			return true
		}
	}
	return len(l.Allow) == 0
}

// coversQueue reports whether a pattern, with or without a pattern for the queue group, covers a
// subscription to subject in a queue group. A pattern without one covers every group and none.
func coversQueue(pattern, subject, queue string) bool {
	pattern, group, hasGroup := strings.Cut(pattern, " ")
	return Covers(pattern, subject) && (!hasGroup || queue != "" && Covers(group, queue))
}

// Covers reports whether a pattern matches every subject that subject matches; subject may itself
// have wildcards.
func Covers(pattern, subject string) bool {
	for {
		p, patternRest, patternContinues := strings.Cut(pattern, ".")
		s, subjectRest, subjectContinues := strings.Cut(subject, ".")
		switch {
		case p == ">":
			return true
		case s == ">", p != "*" && p != s:
			return false
		case !patternContinues || !subjectContinues:
			return patternContinues == subjectContinues
		}
		pattern, subject = patternRest, subjectRest
	}
}
