package line

import (
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// This file passes connections on to another process of the same relay, and takes up
// those of another.

// IdleConn is a connection on its way to another process on which no first line has come.
type IdleConn struct {
	Unread    []byte `json:"unread"`            // what has come of one
	AfterPong bool   `json:"resting,omitempty"` // it has been answered PONG
}

// HandOffIdle hands at most so many such connections to give, which owns the descriptor then. Nothing more is read on the others, which are to follow.
func (f *Front) HandOffIdle(most int, give func(p IdleConn, fd int)) {
	for v := range f.fresh {
		if most <= 0 {
			v.c.PauseReading()
			continue
		}
		p := IdleConn{AfterPong: v.state == clientResting}
		var fd int
		if fd, p.Unread = v.c.Detach(); fd >= 0 {
			most--
			v.close()
			give(p, fd)
		}
	}
}

// IdleCount is how many connections there are on which no first line has come.
func (f *Front) IdleCount() int { return len(f.fresh) }

// ResumeIdle goes on with those that HandOffIdle has left.
func (f *Front) ResumeIdle() {
	for v := range f.fresh {
		f.Loop.After(0, v.c.ResumeReading)
	}
}

// AdoptIdle serves such a connection of another process.
func (f *Front) AdoptIdle(p IdleConn, fd int) {
	c := f.Loop.Attach(fd, p.Unread, nil)
	f.accept(c, p.AfterPong)
	f.Loop.After(0, c.ResumeReading)
}

// FlowHandoff is an open flow on its way to another process. Times are ages.
type FlowHandoff struct {
	ClientID      uint64            `json:"id"` // the client's
	Placement     core.FlowTransfer `json:"flow"`
	FromClient    []byte            `json:"from_client"` // came, but has not gone on
	FromMember    []byte            `json:"from_member"`
	MidLine       bool              `json:"within"`
	LinePrefix    []byte            `json:"tail"`
	FinalCommand  string            `json:"last"`
	AnswerPending time.Duration     `json:"asked"` // 0 if no answer is owed
	ClientQuiet   time.Duration     `json:"heard"`
}

// HandOffFlows hands at most so many open flows, and the sockets to the client and to
// the member, to give, which owns these then. A flow with something unsent, or about
// to move, stays for now.
func (f *Front) HandOffFlows(most int, give func(p FlowHandoff, client, member int)) {
	now := f.Loop.Now()
	for v := range f.open {
		s := v.upstream
		if !v.c.Detachable() || !s.c.Detachable() {
			continue
		}
		if most--; most < 0 {
			return
		}
		p := FlowHandoff{ClientID: v.open.id, MidLine: v.state == clientMidLine, LinePrefix: s.tail, FinalCommand: s.state.lastWord(), ClientQuiet: now - s.heard}
		if s.asked > 0 {
			p.AnswerPending = max(now-s.owed, 1)
		}
		client, member := f.detach(v, &p)
		if client < 0 {
			return // no descriptors now
		}
		p.Placement, _ = f.Core.ReleaseFlow(v.id)
		p.Placement.Request.Load = s.load
		v.close()
		give(p, client, member)
	}
}

// detach takes both sides of an open flow off the loop. Without a descriptor for either it returns -1, and the flow goes on here.
func (f *Front) detach(v *clientConn, p *FlowHandoff) (client, member int) {
	if client, p.FromClient = v.c.Detach(); client < 0 {
		return -1, -1
	}
	if member, p.FromMember = v.upstream.c.Detach(); member >= 0 {
		return client, member
	}
	v.c = f.Loop.Attach(client, p.FromClient, v)
	f.Loop.After(0, v.c.ResumeReading)
	return -1, -1
}

// AdoptFlow goes on with such a flow. One whose member is not known here is moved.
func (f *Front) AdoptFlow(p FlowHandoff, client, member int) {
	now := f.Loop.Now()
	v := &clientConn{f: f, state: openState(p.MidLine), open: opening{id: p.ClientID}}
	s := &upstream{v: v, state: saying(p.FinalCommand), tail: p.LinePrefix, load: p.Placement.Request.Load, report: policy.NoReport}
	s.heard = now - p.ClientQuiet
	if p.FinalCommand != "" {
		s.last = now
	}
	if v.upstream = s; p.AnswerPending > 0 {
		s.owed, s.asked = now-p.AnswerPending, now-p.AnswerPending
	}
	v.c = f.Loop.Attach(client, p.FromClient, v)
	s.c = f.Loop.Attach(member, p.FromMember, s)
	f.open[v], f.ids[p.ClientID] = struct{}{}, v
	var known bool
	if v.id, s.member, known = f.Core.AdoptFlow(p.Placement, v); !known {
		v.Migrate()
		return
	}
	f.Loop.After(0, func() { v.c.ResumeReading(); s.c.ResumeReading() })
}

// OpenRequestIDs are the clients' ids of the requests that are held here.
func (f *Front) OpenRequestIDs() []uint64 {
	ids := make([]uint64, 0, len(f.ids))
	for id := range f.ids {
		ids = append(ids, id)
	}
	return ids
}

// SetRemoteIDs says which ids another process holds.
func (f *Front) SetRemoteIDs(ids []uint64) {
	clear(f.elsewhere)
	for _, id := range ids {
		f.elsewhere[id] = true
	}
}
