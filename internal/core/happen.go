package core

import (
	"time"

	"dahliarudder/policy"
)

// What happens at a member.
type What int

// Of an attempt, and then of the flow that stands.
const (
	Stood      What = iota
	Erred           // answered with an error
	Broke           // reset, or not to be connected
	TimedOut        //
	Answered        // a message on a flow was, in the time that Took says
	EndedWell       // served to its end
	EndedEarly      // by the member
	Parted          // by the client or this relay
)

// Happening is one thing that happened at a member. Nothing of it may be kept.
type Happening struct {
	Member  *Member
	Request *Request
	What    What
	Took    time.Duration
}

// ending is how an attempt ended, or the flow that it became. What the relay or the client ended says nothing of the member.
type ending struct {
	open   bool
	result policy.Result
}

var ends = map[ending]What{
	{false, policy.Error}: Erred, {false, policy.Reset}: Broke, {false, policy.ConnectFailed}: Broke, {false, policy.Timeout}: TimedOut,
	{true, policy.OK}: EndedWell, {true, policy.Reset}: EndedEarly, {true, policy.Error}: EndedEarly,
	{true, policy.Cancelled}: Parted, {true, policy.Timeout}: Parted,
}

func (c *Core) happens(r *request, m *member, what What, took time.Duration) {
	if c.Happened != nil {
		c.Happened(Happening{&m.Member, &r.Request, what, took})
	}
}

// Arm keeps a canary's arm apart: of says which members are of it, drawn whose flows go there, and nobody else's do. Nil: there is none.
func (c *Core) Arm(of func(*Member) bool, drawn func(group uint64) bool) {
	if of == nil {
		c.tell(policy.CanaryGroup{})
		return
	}
	c.tell(policy.CanaryGroup{Assigned: drawn, Contains: func(id policy.ServerID) bool {
		m := c.members[id]
		return m != nil && of(&m.Member)
	}})
}

// CanaryOverflows is how many flows were drawn for an arm that had no room for them.
func (c *Core) Strayed() uint64 { return c.facade.CanaryOverflows() }
