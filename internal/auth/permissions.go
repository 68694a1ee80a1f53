// Package auth decides who may log in at the NATS front and what they may do. It does no I/O, and the time is passed in.
// Checking a bcrypt hash takes a tenth of a second, so callers do that off the loop.
package auth

import (
	"fmt"
	"strings"
)

// SubjectRules are the patterns of subjects that are allowed and denied for publishing or for subscribing; for subscribing a
// pattern of a queue group may follow after a space. An empty Allow allows all.
type SubjectRules struct {
	Allow []string `json:"allow"`
	Deny  []string `json:"deny"`
}

// Responses lets the receiver of a request publish to its reply subject.
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

// validate checks the patterns. Errors name the key.
func (p *Permissions) validate() error {
	for _, list := range []struct {
		key      string
		patterns []string
	}{{"publish.allow", p.Publish.Allow}, {"publish.deny", p.Publish.Deny},
		{"subscribe.allow", p.Subscribe.Allow}, {"subscribe.deny", p.Subscribe.Deny}} {
		for i, s := range list.patterns {
			subject, _, _ := strings.Cut(s, " ")
			if subject == "" || strings.Contains("."+subject+".", "..") || strings.Contains(subject, ">.") {
				return fmt.Errorf("%s[%d]: %q is no subject", list.key, i, s)
			}
		}
	}
	return nil
}

// CanPublish reports whether a subject may be published to, apart from replies to requests.
func (p *Permissions) CanPublish(subject string) bool {
	return p == nil || p.Publish.allows(subject, "")
}

// CanSubscribe reports whether a subscription may be made. One that overlaps with denied subjects may, but see Denies.
func (p *Permissions) CanSubscribe(subject, queue string) bool {
	return p == nil || p.Subscribe.allows(subject, queue)
}

// NeedsFilter reports whether messages of a subscription must be checked by Denies.
func (p *Permissions) NeedsFilter(subject string) bool {
	return p != nil && len(p.Subscribe.Deny) > 0 && strings.ContainsAny(subject, "*>")
}

// Denies reports whether a message on a subscription with wildcards must not be delivered.
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

// coversQueue is Covers for a pattern that may name a queue group; without one it covers every group.
func coversQueue(pattern, subject, queue string) bool {
	pattern, group, hasGroup := strings.Cut(pattern, " ")
	return Covers(pattern, subject) && (!hasGroup || queue != "" && Covers(group, queue))
}

// Covers reports whether a pattern matches all that a subject, itself perhaps with wildcards, matches.
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
