package line

import (
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// This file passes connections on to another process of the same relay, and takes up
// those of another.

// Fresh is a connection on its way to another process on which no first line has come.
type Fresh struct {
	Unread  []byte `json:"unread"`            // what has come of one
	Resting bool   `json:"resting,omitempty"` // it has been answered PONG
}

// GiveFresh hands at most so many such connections to give, which owns the descriptor then. Nothing more is read on the others, which are to follow.
func (f *Front) GiveFresh(most int, give func(p Fresh, fd int)) {
	for v := range f.fresh {
		if most <= 0 {
			v.c.Rest()
			continue
		}
		p := Fresh{Resting: v.state == clientResting}
		var fd int
		if fd, p.Unread = v.c.Detach(); fd >= 0 {
			most--
			v.close()
			give(p, fd)
		}
	}
}

// FreshCount is how many connections there are on which no first line has come.
func (f *Front) FreshCount() int { return len(f.fresh) }

// KeepFresh goes on with those that GiveFresh has left.
func (f *Front) KeepFresh() {
	for v := range f.fresh {
		f.Loop.After(0, v.c.Resume)
	}
}

// TakeFresh serves such a connection of another process.
func (f *Front) TakeFresh(p Fresh, fd int) {
	c := f.Loop.Attach(fd, p.Unread, nil)
	f.accept(c, p.Resting)
	f.Loop.After(0, c.Resume)
}

// Flow is an open flow on its way to another process. Times are ages.
type Flow struct {
	ID         uint64        `json:"id"` // the client's
	Flow       core.Passed   `json:"flow"`
	FromClient []byte        `json:"from_client"` // came, but has not gone on
	FromMember []byte        `json:"from_member"`
	Within     bool          `json:"within"`
	Tail       []byte        `json:"tail"`
	Last       string        `json:"last"`
	Asked      time.Duration `json:"asked"` // 0 if no answer is owed
	Heard      time.Duration `json:"heard"`
}

// GiveFlows hands at most so many open flows, and the sockets to the client and to
// the member, to give, which owns these then. A flow with something unsent, or about
// to move, stays for now.
func (f *Front) GiveFlows(most int, give func(p Flow, client, member int)) {
	now := f.Loop.Now()
	for v := range f.open {
		s := v.upstream
		if !v.c.Detachable() || !s.c.Detachable() {
			continue
		}
		if most--; most < 0 {
			return
		}
		p := Flow{ID: v.open.id, Within: v.state == clientMidLine, Tail: s.tail, Last: s.state.lastWord(), Heard: now - s.heard}
		if s.asked > 0 {
			p.Asked = max(now-s.owed, 1)
		}
		client, member := f.detach(v, &p)
		if client < 0 {
			return // no descriptors now
		}
		p.Flow, _ = f.Core.Pass(v.id)
		p.Flow.Request.Load = s.load
		v.close()
		give(p, client, member)
	}
}

// detach takes both sides of an open flow off the loop. Without a descriptor for either it returns -1, and the flow goes on here.
func (f *Front) detach(v *clientConn, p *Flow) (client, member int) {
	if client, p.FromClient = v.c.Detach(); client < 0 {
		return -1, -1
	}
	if member, p.FromMember = v.upstream.c.Detach(); member >= 0 {
		return client, member
	}
	v.c = f.Loop.Attach(client, p.FromClient, v)
	f.Loop.After(0, v.c.Resume)
	return -1, -1
}

// TakeFlow goes on with such a flow. One whose member is not known here is moved.
func (f *Front) TakeFlow(p Flow, client, member int) {
	now := f.Loop.Now()
	v := &clientConn{f: f, state: openState(p.Within), open: opening{id: p.ID}}
	s := &upstream{v: v, state: saying(p.Last), tail: p.Tail, load: p.Flow.Request.Load, report: policy.NoReport}
	s.heard = now - p.Heard
	if p.Last != "" {
		s.last = now
	}
	if v.upstream = s; p.Asked > 0 {
		s.owed, s.asked = now-p.Asked, now-p.Asked
	}
	v.c = f.Loop.Attach(client, p.FromClient, v)
	s.c = f.Loop.Attach(member, p.FromMember, s)
	f.open[v], f.ids[p.ID] = struct{}{}, v
	var known bool
	if v.id, s.member, known = f.Core.Take(p.Flow, v); !known {
		v.Move()
		return
	}
	f.Loop.After(0, func() { v.c.Resume(); s.c.Resume() })
}

// IDs are the clients' ids of the requests that are held here.
func (f *Front) IDs() []uint64 {
	ids := make([]uint64, 0, len(f.ids))
	for id := range f.ids {
		ids = append(ids, id)
	}
	return ids
}

// Elsewhere says which ids another process holds.
func (f *Front) Elsewhere(ids []uint64) {
	clear(f.elsewhere)
	for _, id := range ids {
		f.elsewhere[id] = true
	}
}
