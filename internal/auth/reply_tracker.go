package auth

import "time"

// ReplyTracker tracks the reply subjects that a client may publish to under its Responses rule. It
// tracks at most maxPendingReplies requests and drops the oldest ones beyond that.
type ReplyTracker struct {
	limits  Responses
	pending map[string]pendingReply // by reply subject
	order   []string                // reply subjects, also answered ones, the oldest first
}

type pendingReply struct {
	remaining int           // replies that are still allowed; negative: unlimited
	expires   time.Duration // clock time
}

// maxPendingReplies is the largest number of unanswered requests that are tracked for one client.
const maxPendingReplies = 1024

// NewReplyTracker returns a tracker for a user's permissions, or nil if they have no rule for
// responses. A nil tracker allows no replies.
func NewReplyTracker(p *Permissions) *ReplyTracker {
	if p == nil || p.Responses == nil {
		return nil
	}
	r := &ReplyTracker{limits: *p.Responses, pending: map[string]pendingReply{}}
	if r.limits.Max == 0 {
		r.limits.Max = 1
	}
	if r.limits.ExpiresMS <= 0 {
		r.limits.ExpiresMS = 120_000
	}
	return r
}

// RecordRequest records that the client received a request with this reply subject.
func (r *ReplyTracker) RecordRequest(now time.Duration, subject []byte) {
	if r == nil || len(subject) == 0 {
		return
	}
	name := string(subject)
	if _, known := r.pending[name]; !known {
		r.order = append(r.order, name)
	}
	r.pending[name] = pendingReply{r.limits.Max, now + time.Duration(r.limits.ExpiresMS)*time.Millisecond}
	for len(r.order) > maxPendingReplies || len(r.order) > 0 && r.pending[r.order[0]].expires <= now {
		delete(r.pending, r.order[0])
		r.order = r.order[1:]
	}
}

// AllowReply reports whether the client may publish to a reply subject now, and counts the reply.
func (r *ReplyTracker) AllowReply(now time.Duration, subject string) bool {
	if r == nil {
		return false
	}
	p, ok := r.pending[subject]
	if !ok || p.expires <= now {
		return false
	}
	if p.remaining--; p.remaining == 0 {
		delete(r.pending, subject)
	} else {
		r.pending[subject] = p
	}
	return true
}
