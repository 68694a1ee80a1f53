package core

import (
	"time"

	"dahliarudder/policy"
)

// MemberEventKind is the kind of a MemberEvent.
type MemberEventKind int

// The kinds of member events. The first four concern an attempt or a message, the others the end of
// an established flow.
const (
	FlowEstablished   MemberEventKind = iota // the attempt became an open flow, after Latency
	AttemptError                             // the member answered the attempt with an error
	ConnectionFailed                         // the attempt was reset, or its connection failed
	AttemptTimedOut                          // the attempt timed out
	MessageAnswered                          // the member answered a message on a flow, after Latency
	FlowCompleted                            // the flow was served to its end
	FlowEndedByMember                        // the member ended the flow early
	FlowEndedLocally                         // the client or this relay ended the flow
)

// MemberEvent is an event of an attempt or flow at a member. Receivers must not retain it.
type MemberEvent struct {
	Member  *Member
	Request *Request
	Kind    MemberEventKind
	Latency time.Duration // since the attempt was sent; for MessageAnswered, of the message
}

// attemptEnd is how an attempt ended, or how the flow ended if the attempt was established.
type attemptEnd struct {
	established bool
	result      policy.Result
}

// memberEventKinds maps the ends of attempts and flows to events. Ends without an entry emit none;
// attempts that the relay or the client ended, for example, say nothing about the member.
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

// SetCanaryGroup sets which members belong to the canary group and which groups of flows are
// assigned to it. Members of the canary group get no other flows. If contains is nil, there is no
// canary.
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
