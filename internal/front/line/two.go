package line

import (
	"errors"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// This file passes connections on to another process of the same relay, and takes up
// those of another.

// GiveFresh hands every connection on which no first line has come, and what of it
// has, to give, which owns the descriptor then.
func (f *Front) GiveFresh(give func(fd int, unread []byte)) {
	for v := range f.fresh {
		if fd, unread := v.c.Detach(); fd >= 0 {
			v.close()
			give(fd, unread)
		}
	}
}

// TakeFresh serves such a connection of another process.
func (f *Front) TakeFresh(fd int, unread []byte) error {
	c, err := f.Loop.Attach(fd, unread, nil)
	if err != nil {
		return err
	}
	f.Accept(c)
	f.Loop.After(0, c.Resume)
	return nil
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
		client, fromClient := v.c.Detach()
		member, fromMember := s.c.Detach()
		p.FromClient, p.FromMember = fromClient, fromMember
		p.Flow, _ = f.Core.Pass(v.id)
		p.Flow.Request.Load = s.load
		v.close()
		give(p, client, member)
	}
}

// TakeFlow goes on with such a flow. One whose member is not known here is moved.
func (f *Front) TakeFlow(p Flow, client, member int) error {
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
	var err, err2 error
	v.c, err = f.Loop.Attach(client, p.FromClient, v)
	s.c, err2 = f.Loop.Attach(member, p.FromMember, s)
	if err = errors.Join(err, err2); err != nil {
		if v.c != nil {
			v.c.Reset()
		}
		if s.c != nil {
			s.c.Reset()
		}
		return err
	}
	f.open[v], f.ids[p.ID] = struct{}{}, v
	var known bool
	if v.id, s.member, known = f.Core.Take(p.Flow, v); !known {
		v.Move()
		return nil
	}
	f.Loop.After(0, func() { v.c.Resume(); s.c.Resume() })
	return nil
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
