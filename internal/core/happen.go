package core

import (
	"time"

	"dahliarudder/policy"
)

// MemberEventKind happens at a member.
type MemberEventKind int

// Of an attempt, and then of the flow that stands.
const (
	FlowEstablished   MemberEventKind = iota
	AttemptError                      // answered with an error
	ConnectionFailed                  // reset, or not to be connected
	AttemptTimedOut                   //
	MessageAnswered                   // a message on a flow was, in the time that Took says
	FlowCompleted                     // served to its end
	FlowEndedByMember                 // by the member
	FlowEndedLocally                  // by the client or this relay
)

// MemberEvent is one thing that happened at a member. Nothing of it may be kept.
type MemberEvent struct {
	Member  *Member
	Request *Request
	Kind    MemberEventKind
	Latency time.Duration
}

// attemptEnd is how an attempt ended, or the flow that it became. What the relay or the client ended says nothing of the member.
type attemptEnd struct {
	established bool
	result      policy.Result
}

var eventKinds = map[attemptEnd]MemberEventKind{
	{false, policy.Error}: AttemptError, {false, policy.Reset}: ConnectionFailed, {false, policy.ConnectFailed}: ConnectionFailed, {false, policy.Timeout}: AttemptTimedOut,
	{true, policy.OK}: FlowCompleted, {true, policy.Reset}: FlowEndedByMember, {true, policy.Error}: FlowEndedByMember,
	{true, policy.Cancelled}: FlowEndedLocally, {true, policy.Timeout}: FlowEndedLocally,
}

func (c *Core) emitMemberEvent(r *request, m *member, what MemberEventKind, took time.Duration) {
	if c.OnMemberEvent != nil {
		c.OnMemberEvent(MemberEvent{&m.Member, &r.Request, what, took})
	}
}

// SetCanaryGroup keeps a canary's arm apart: of says which members are of it, drawn whose flows go there, and nobody else's do. Nil: there is none.
func (c *Core) SetCanaryGroup(of func(*Member) bool, drawn func(group uint64) bool) {
	if of == nil {
		c.notifyPolicy(policy.CanaryGroup{})
		return
	}
	c.notifyPolicy(policy.CanaryGroup{Assigned: drawn, Contains: func(id policy.ServerID) bool {
		m := c.members[id]
		return m != nil && of(&m.Member)
	}})
}

// CanaryOverflows is how many flows were drawn for an arm that had no room for them.
func (c *Core) CanaryOverflows() uint64 { return c.facade.CanaryOverflows() }
