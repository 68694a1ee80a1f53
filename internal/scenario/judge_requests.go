package scenario

import (
	"strings"
	"time"
)

// request is the judge's record of one request. A time of 0 means that the event has not happened.
type request struct {
	relay              string
	effect             Effect
	sentAt, deadline   time.Duration // the deadline is relative to sentAt
	clientLeft         time.Duration // the client closed the connection or its sending direction
	gaveUp             bool          // the client no longer waits for an answer
	answer             string
	answeredAt         time.Duration
	flowEnded          time.Duration // the client's connection ended without MOVE or BYE
	attempts, inFlight int
	lastAttempt        time.Duration
	mayHaveRun         time.Duration // start of the first attempt that may have run
	memberAnswer       string        // the UP line that a member sent
	endedByMember      time.Duration // a member ended the flow
	overlapSince       time.Duration // start of the second attempt in flight
	overlapMember      string        // member of the second attempt in flight
}

// RequestSent records a request that a client sends completely to a relay, how long the client waits
// for the answer, and when the request may be repeated.
func (j *Judge) RequestSent(at time.Duration, id, relay string, deadline time.Duration, effect Effect) {
	j.requests[id] = &request{relay: relay, sentAt: at, deadline: deadline, effect: effect}
}

// ClientLeft records that a client closed its connection before it got an answer. With reads, the
// client closed only the sending direction and still waits for the answer.
func (j *Judge) ClientLeft(at time.Duration, id string, reads bool) {
	if r := j.requests[id]; r != nil && r.answer == "" {
		r.clientLeft, r.gaveUp = at, !reads
	}
}

// ClientGaveUp records that a client no longer waits for an answer and ends its connection.
func (j *Judge) ClientGaveUp(id string) {
	if r := j.requests[id]; r != nil {
		r.gaveUp = true
	}
}

// AnswerReceived records a line that a client received and that is not part of an open flow: the
// final answer, or a line after it, which counts as a second answer.
func (j *Judge) AnswerReceived(at time.Duration, id, line string) {
	r := j.requests[id]
	if r == nil {
		return
	}
	if r.answer != "" {
		j.addViolation(at, MultipleAnswers, r.relay, "request %s: answer %q after answer %q", id, line, r.answer)
		return
	}
	if r.effect.Kind == NonIdempotent && strings.HasPrefix(line, "BUSY") && (r.mayHaveRun > 0 || r.inFlight > 0) {
		j.addViolation(at, WrongRejection, r.relay, "request %s: answer %q, but an attempt may have run", id, line)
	}
	r.answer, r.answeredAt = line, at
	if strings.HasPrefix(line, "UP ") && line != r.memberAnswer {
		j.addViolation(at, ForgedAnswer, r.relay, "request %s: client received %q, member sent %q", id, line, r.memberAnswer)
	}
}

// LineUnanswered records that a client gives up a flow because a line that it sent at the time since
// has not been answered.
func (j *Judge) LineUnanswered(at time.Duration, id string, since time.Duration) {
	if r := j.requests[id]; r != nil && at-since > maxFlowSilence+j.tolerance() && !j.excused(r.relay, since, at) {
		j.addViolation(at, FlowStalled, r.relay, "request %s: a line was not answered for %v", id, at-since)
	}
}

// FlowEnded records that the connection of a flow ended at its client without MOVE or BYE.
func (j *Judge) FlowEnded(at time.Duration, id string) {
	if r := j.requests[id]; r != nil && r.flowEnded == 0 {
		r.flowEnded = at
	}
}

// finishRequest makes the checks of a request that are possible only at the end of the run.
func (j *Judge) finishRequest(at time.Duration, id string, r *request) {
	if r.inFlight > 1 {
		j.checkOverlap(at, id, r)
	}
	due := r.sentAt + r.deadline + j.Rules.AnswerSlack + j.tolerance()
	switch {
	case r.answer == "" && !r.gaveUp && due < at && !j.excused(r.relay, r.sentAt, due) && !anyOverlap(j.idleFloods[r.relay], r.sentAt, due):
		j.addViolation(due, NoAnswer, r.relay, "request %s: no answer within %v", id, r.deadline)
	case r.answer != "" && r.answeredAt > due && !j.excused(r.relay, r.sentAt, r.answeredAt):
		j.addViolation(r.answeredAt, NoAnswer, r.relay, "request %s: answer %q after %v, the client waits %v",
			id, r.answer, r.answeredAt-r.sentAt, r.deadline)
	}
	if r.flowEnded > 0 && strings.HasPrefix(r.answer, "UP ") &&
		(r.endedByMember == 0 || r.endedByMember > r.flowEnded+simultaneousWindow) &&
		!j.excused(r.relay, r.flowEnded-simultaneousWindow, r.flowEnded) {
		j.addViolation(r.flowEnded, FlowCutOff, r.relay, "request %s: connection ended without MOVE or BYE", id)
	}
}
