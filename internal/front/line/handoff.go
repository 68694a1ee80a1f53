package line

import (
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// IdleConn is a client connection without a request that is handed to another process of this relay.
type IdleConn struct {
	Unread    []byte `json:"unread"`            // the part of the first line that has arrived
	AfterPong bool   `json:"resting,omitempty"` // whether a PING has been answered on it, and no other line has begun
}

// HandOffIdle passes at most limit connections without a request to handOver, which then owns the
// descriptor. It stops reading from the others, which are handed off later or resumed by ResumeIdle.
func (f *Front) HandOffIdle(limit int, handOver func(handoff IdleConn, fd int)) {
	for c := range f.idle {
		if limit <= 0 {
			c.conn.PauseReading()
			continue
		}
		handoff := IdleConn{AfterPong: c.state == clientIdle}
		var fd int
		if fd, handoff.Unread = c.conn.Detach(); fd >= 0 {
			limit--
			c.close()
			handOver(handoff, fd)
		}
	}
}

// IdleCount returns the number of connections without a request.
func (f *Front) IdleCount() int { return len(f.idle) }

// ResumeIdle resumes reading from the connections that HandOffIdle has not handed off.
func (f *Front) ResumeIdle() {
	for c := range f.idle {
		f.Loop.After(0, c.conn.ResumeReading)
	}
}

// AdoptIdle serves a connection without a request that another process has handed off.
func (f *Front) AdoptIdle(handoff IdleConn, fd int) {
	conn := f.Loop.Attach(fd, handoff.Unread, nil)
	f.accept(conn, handoff.AfterPong)
	f.Loop.After(0, conn.ResumeReading)
}

// FlowHandoff is an open flow that is handed to another process. Its durations count back from the
// time of the handoff.
type FlowHandoff struct {
	ClientID     uint64            `json:"id"` // the id in the client's first line
	Placement    core.FlowTransfer `json:"flow"`
	FromClient   []byte            `json:"from_client"` // received from the client, not forwarded yet
	FromMember   []byte            `json:"from_member"` // received from the member, not forwarded yet
	MidLine      bool              `json:"within"`      // whether part of a line from the member has been forwarded
	LinePrefix   []byte            `json:"tail"`        // the start of that line
	FinalCommand string            `json:"last"`        // BYE or MOVE if the member has sent it, or empty
	// AnswerPending is how long the client has waited for an answer; 0 if it is not waiting.
	AnswerPending time.Duration `json:"asked"`
	ClientQuiet   time.Duration `json:"heard"` // how long the client has sent nothing
}

// HandOffFlows passes at most limit open flows to handOver, which then owns the descriptors of the
// sockets to the client and to the member. A flow with unsent bytes is skipped; so is one that is
// being migrated. The caller may try again later.
func (f *Front) HandOffFlows(limit int, handOver func(handoff FlowHandoff, client, member int)) {
	now := f.Loop.Now()
	for c := range f.flows {
		u := c.upstream
		if !c.conn.Detachable() || !u.conn.Detachable() {
			continue
		}
		if limit--; limit < 0 {
			return
		}
		handoff := FlowHandoff{ClientID: c.openLine.id, MidLine: c.state == clientMidLine, LinePrefix: u.linePrefix,
			FinalCommand: u.state.finalCommand(), ClientQuiet: now - u.clientActiveAt}
		if u.lineSentAt > 0 {
			handoff.AnswerPending = max(now-u.unansweredSince, 1)
		}
		client, member := f.detach(c, &handoff)
		if client < 0 {
			return // no free descriptor
		}
		handoff.Placement, _ = f.Core.ReleaseFlow(c.requestID)
		handoff.Placement.Request.Load = u.load
		c.close()
		handOver(handoff, client, member)
	}
}

// detach takes both connections of an open flow off the event loop and returns their descriptors. If
// no descriptor is free for one of them, it returns -1 and the flow continues in this process.
func (f *Front) detach(c *clientConn, handoff *FlowHandoff) (client, member int) {
	if client, handoff.FromClient = c.conn.Detach(); client < 0 {
		return -1, -1
	}
	if member, handoff.FromMember = c.upstream.conn.Detach(); member >= 0 {
		return client, member
	}
	c.conn = f.Loop.Attach(client, handoff.FromClient, c)
	f.Loop.After(0, c.conn.ResumeReading)
	return -1, -1
}

// AdoptFlow continues a flow that another process has handed off. It migrates the client if this
// process does not know the flow's member.
func (f *Front) AdoptFlow(handoff FlowHandoff, client, member int) {
	now := f.Loop.Now()
	c := &clientConn{front: f, state: openStateFor(handoff.MidLine), openLine: openLine{id: handoff.ClientID}}
	u := &upstream{client: c, state: openStateAfter(handoff.FinalCommand), linePrefix: handoff.LinePrefix, load: handoff.Placement.Request.Load, report: policy.NoReport}
	u.clientActiveAt = now - handoff.ClientQuiet
	if handoff.FinalCommand != "" {
		u.finalCommandAt = now
	}
	if c.upstream = u; handoff.AnswerPending > 0 {
		u.unansweredSince, u.lineSentAt = now-handoff.AnswerPending, now-handoff.AnswerPending
	}
	c.conn = f.Loop.Attach(client, handoff.FromClient, c)
	u.conn = f.Loop.Attach(member, handoff.FromMember, u)
	f.flows[c], f.requests[handoff.ClientID] = struct{}{}, c
	var known bool
	if c.requestID, u.member, known = f.Core.AdoptFlow(handoff.Placement, c); !known {
		c.Migrate()
		return
	}
	f.Loop.After(0, func() { c.conn.ResumeReading(); u.conn.ResumeReading() })
}

// OpenRequestIDs returns the client ids of the open requests of this process.
func (f *Front) OpenRequestIDs() []uint64 {
	ids := make([]uint64, 0, len(f.requests))
	for id := range f.requests {
		ids = append(ids, id)
	}
	return ids
}

// SetRemoteIDs sets the client ids of the open requests of another process. This front answers ERR
// to a request with one of them.
func (f *Front) SetRemoteIDs(ids []uint64) {
	clear(f.remoteIDs)
	for _, id := range ids {
		f.remoteIDs[id] = true
	}
}
