package scenario

import (
	"strings"
	"time"
)

// request is what the judge knows of one request. A time of 0 means that the event has not happened.
type request struct {
	relay              string
	effect             Effect
	sentAt, deadline   time.Duration // the deadline is relative to sentAt
	clientLeft         time.Duration // its client has closed the connection, or its sending direction
	gaveUp             bool          // its client no longer waits for an answer
	answer             string
	answeredAt         time.Duration
	flowEnded          time.Duration // the client's side of the flow ended without MOVE or BYE
	attempts, inFlight int
	lastAttempt        time.Duration
	mayHaveRun         time.Duration // the first attempt that may have run
	memberAnswer       string        // the UP that a member sent
	endedByMember      time.Duration // a member ended the flow
	overlapSince       time.Duration // two attempts are in flight
	overlapMember      string        // where the second one went
}

// RequestSent records a request that was sent completely to a relay, and how long its client waits.
func (j *Judge) RequestSent(at time.Duration, id, relay string, deadline time.Duration, effect Effect) {
	j.requests[id] = &request{relay: relay, sentAt: at, deadline: deadline, effect: effect}
}

// ClientLeft records that a client closed its connection before an answer, or only its sending direction and still reads.
func (j *Judge) ClientLeft(at time.Duration, id string, reads bool) {
	if r := j.requests[id]; r != nil && r.answer == "" {
		r.clientLeft, r.gaveUp = at, !reads
	}
}

// ClientGaveUp records that a client ended its own connection before an answer.
func (j *Judge) ClientGaveUp(id string) {
	if r := j.requests[id]; r != nil {
		r.gaveUp = true
	}
}

// AnswerReceived records a line before the flow was up, or one after the final answer that does not belong to the flow.
func (j *Judge) AnswerReceived(at time.Duration, id, line string) {
	r := j.requests[id]
	if r == nil {
		return
	}
	if r.answer != "" {
		j.addViolation(at, MultipleAnswers, r.relay, "%s: %q after %q", id, line, r.answer)
		return
	}
	if r.effect.Kind == NonIdempotent && strings.HasPrefix(line, "BUSY") && (r.mayHaveRun > 0 || r.inFlight > 0) {
		j.addViolation(at, WrongRejection, r.relay, "%s: %q", id, line)
	}
	r.answer, r.answeredAt = line, at
	if strings.HasPrefix(line, "UP ") && line != r.memberAnswer {
		j.addViolation(at, ForgedAnswer, r.relay, "%s: %q, made was %q", id, line, r.memberAnswer)
	}
}

// LineUnanswered records that a client gives up a flow on which a line has had no answer since a time.
func (j *Judge) LineUnanswered(at time.Duration, id string, since time.Duration) {
	if r := j.requests[id]; r != nil && at-since > maxFlowSilence+j.tolerance() && !j.excused(r.relay, since, at) {
		j.addViolation(at, FlowStalled, r.relay, "%s: nothing since %v", id, at-since)
	}
}

// FlowEnded records the end of a flow's connection at its client without MOVE or BYE.
func (j *Judge) FlowEnded(at time.Duration, id string) {
	if r := j.requests[id]; r != nil && r.flowEnded == 0 {
		r.flowEnded = at
	}
}

// finishRequest judges what only the end shows of a request.
func (j *Judge) finishRequest(at time.Duration, id string, r *request) {
	if r.inFlight > 1 {
		j.checkOverlap(at, id, r)
	}
	due := r.sentAt + r.deadline + j.Rules.AnswerSlack + j.tolerance()
	switch {
	case r.answer == "" && !r.gaveUp && due < at && !j.excused(r.relay, r.sentAt, due) && !anyOverlap(j.idleFloods[r.relay], r.sentAt, due):
		j.addViolation(due, NoAnswer, r.relay, "%s within %v", id, r.deadline)
	case r.answer != "" && r.answeredAt > due && !j.excused(r.relay, r.sentAt, r.answeredAt):
		j.addViolation(r.answeredAt, NoAnswer, r.relay, "%s: %q %v after it was asked, the client waits %v", id, r.answer, r.answeredAt-r.sentAt, r.deadline)
	}
	if r.flowEnded > 0 && strings.HasPrefix(r.answer, "UP ") &&
		(r.endedByMember == 0 || r.endedByMember > r.flowEnded+simultaneousWindow) &&
		!j.excused(r.relay, r.flowEnded-simultaneousWindow, r.flowEnded) {
		j.addViolation(r.flowEnded, FlowCutOff, r.relay, "%s", id)
	}
}
