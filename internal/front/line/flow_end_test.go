package line

import (
	"bytes"
	"io"
	"net"
	"testing"

	"dahliarudder/internal/netloop/looptest"
)

// onlyFlow is the one client connection whose flow is open.
func (g *rig) onlyFlow() *clientConn {
	g.T.Helper()
	if len(g.f.flows) != 1 {
		g.T.Fatalf("%d open flows", len(g.f.flows))
	}
	for v := range g.f.flows {
		return v
	}
	return nil
}

// narrow keeps the system from holding much for a peer that does not read.
func narrow(p *looptest.Peer) { p.Conn.(*net.TCPConn).SetReadBuffer(4 << 10) }

// fill has one side send lines that the other does not read, until full.
func (g *rig) fill(from *looptest.Peer, full func() bool) (sent []byte) {
	g.T.Helper()
	line := append(bytes.Repeat([]byte{'x'}, 4<<10-2), "\r\n"...)
	g.Until("the buffers to fill", func() bool {
		from.Say(string(line))
		sent = append(sent, line...)
		g.Turn()
		return full()
	})
	return sent
}

// readAll reads what comes until the end, which has to be polite.
func (g *rig) readAll(p *looptest.Peer) []byte {
	g.T.Helper()
	p.Conn.(*net.TCPConn).SetReadBuffer(4 << 20) // or the system's own timers set the pace
	g.Until("the end", func() bool { p.Poll(); return p.Over != nil })
	if p.Over != io.EOF {
		g.T.Errorf("ended with %v", p.Over)
	}
	return p.Got
}

// TestClientEOFUndelivered: what a client sent before it ended politely still reaches a member that is slow to read.
func TestClientEOFUndelivered(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	narrow(m)
	v := g.onlyFlow()
	sent := g.fill(c, func() bool { return v.upstream.conn.Unsent() > 0 })
	c.Finish()
	g.Until("the end of the request", func() bool { return g.Core.Held() == 0 })
	if got := g.readAll(m); !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d", len(got), len(sent))
	}
	g.clean()
}

// TestClientEOFBufferFull: the same of what had no room in the relay's buffers to the member; to the core the client has
// left at once, and a member that never reads is waited for no longer than MoveTimeout.
func TestClientEOFBufferFull(t *testing.T) {
	for _, reads := range []bool{true, false} {
		g := newRig(t, 1)
		c, m := g.openFlow()
		narrow(m)
		v := g.onlyFlow()
		sent := g.fill(c, func() bool { return v.upstream.conn.Room() == 0 })
		c.Say("the last line\r\n")
		sent = append(sent, "the last line\r\n"...)
		c.Finish()
		g.Until("the end of the request", func() bool { return g.Core.Held() == 0 })
		if !reads {
			g.Pass(MoveTimeout)
		} else if got := g.readAll(m); !bytes.Equal(got, sent) {
			t.Errorf("%d bytes of %d", len(got), len(sent))
		}
		g.clean()
	}
}

// TestMemberEOFUndelivered: what a member sent before it ended politely still reaches a client that is slow to read, also
// what had no room in the relay's buffers to it.
func TestMemberEOFUndelivered(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	narrow(c)
	v := g.onlyFlow()
	sent := g.fill(m, func() bool { return v.conn.Room() == 0 })
	m.Say("the last line\r\n")
	sent = append(sent, "the last line\r\n"...)
	m.Finish()
	for range 4 {
		g.Turn()
	}
	if got := g.readAll(c); !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d", len(got), len(sent))
	}
	g.Until("the end of the request", func() bool { return g.Core.Held() == 0 })
	g.clean()
}

// TestMemberEOFNeverRead: a client that does not read holds neither the flow nor a descriptor for longer than a
// connection may outlive its member's.
func TestMemberEOFNeverRead(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	narrow(c)
	v := g.onlyFlow()
	g.fill(m, func() bool { return v.conn.Room() == 0 })
	m.Say("the last line\r\n")
	m.Finish()
	g.Until("the member's end", func() bool { return len(g.f.flows) == 0 })
	g.Pass(lingerTimeout)
	g.clean()
}
