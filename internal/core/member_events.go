package core

import (
	"time"

	"dahliarudder/policy"
)

// MemberEventKind is what happened at a member.
type MemberEventKind int

// The kinds of member events: of an attempt, and then of the flow that it became.
const (
	FlowEstablished   MemberEventKind = iota
	AttemptError                      // it was answered with an error
	ConnectionFailed                  // it was reset, or its connection failed
	AttemptTimedOut                   // it timed out
	MessageAnswered                   // a message on a flow was answered, after Latency
	FlowCompleted                     // the flow was served to its end
	FlowEndedByMember                 // the member broke it off
	FlowEndedLocally                  // the client or this relay ended it
)

// MemberEvent is one thing that happened at a member. Receivers must not retain it.
type MemberEvent struct {
	Member  *Member
	Request *Request
	Kind    MemberEventKind
	Latency time.Duration
}

// attemptEnd is how an attempt ended, or the flow that it became.
type attemptEnd struct {
	established bool
	result      policy.Result
}

// memberEventKinds has no entry for attempts that the relay or the client ended: they say nothing about the member.
var memberEventKinds = map[attemptEnd]MemberEventKind{
	{false, policy.Error}:         AttemptError,
	{false, policy.Reset}:         ConnectionFailed,
	{false, policy.ConnectFailed}: ConnectionFailed,
	{false, policy.Timeout}:       AttemptTimedOut,
	{true, policy.OK}:             FlowCompleted,
	{true, policy.Reset}:          FlowEndedByMember,
	{true, policy.Error}:          FlowEndedByMember,
	{true, policy.Cancelled}:      FlowEndedLocally,
	{true, policy.Timeout}:        FlowEndedLocally,
}

func (c *Core) emitMemberEvent(r *request, m *member, kind MemberEventKind, latency time.Duration) {
	if c.OnMemberEvent != nil {
		c.OnMemberEvent(MemberEvent{&m.Member, &r.Request, kind, latency})
	}
}

// SetCanaryGroup sets which members belong to the canary group and which flows are assigned to it. Members of the
// group get no other flows. With nil functions there is no canary.
func (c *Core) SetCanaryGroup(contains func(*Member) bool, assigned func(group uint64) bool) {
	if contains == nil {
		c.notifyPolicy(policy.CanaryGroup{})
		return
	}
	c.notifyPolicy(policy.CanaryGroup{Assigned: assigned, Contains: func(id policy.MemberID) bool {
		m := c.members[id]
		return m != nil && contains(&m.Member)
	}})
}
