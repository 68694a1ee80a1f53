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
	if len(g.front.flows) != 1 {
		g.T.Fatalf("%d open flows", len(g.front.flows))
	}
	for conn := range g.front.flows {
		return conn
	}
	return nil
}

// narrow keeps the kernel from buffering much for a peer that does not read.
func shrinkReceiveBuffer(p *looptest.Peer) { p.Conn.(*net.TCPConn).SetReadBuffer(4 << 10) }

// fill has one side send lines that the other does not read, until full.
func (g *rig) sendUntil(from *looptest.Peer, full func() bool) (sent []byte) {
	g.T.Helper()
	line := append(bytes.Repeat([]byte{'x'}, 4<<10-2), "\r\n"...)
	g.WaitFor("the buffers to fill", func() bool {
		from.Send(string(line))
		sent = append(sent, line...)
		g.RunOnce()
		return full()
	})
	return sent
}

// readAll reads what comes until the end, which has to be graceful.
func (g *rig) readToEOF(p *looptest.Peer) []byte {
	g.T.Helper()
	p.Conn.(*net.TCPConn).SetReadBuffer(4 << 20) // or the system's own timers set the pace
	g.WaitFor("the end", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr != io.EOF {
		g.T.Errorf("ended with %v", p.EndErr)
	}
	return p.Received
}

// TestClientEOFUndelivered: what a client sent before it closed gracefully still reaches a member that is slow to read.
func TestClientEOFUndelivered(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	shrinkReceiveBuffer(m)
	conn := g.onlyFlow()
	sent := g.sendUntil(c, func() bool { return conn.upstream.conn.Unsent() > 0 })
	c.CloseWrite()
	g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
	if got := g.readToEOF(m); !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d", len(got), len(sent))
	}
	g.expectNoLeaks()
}

// TestClientEOFBufferFull: the same of what did not fit in the relay's buffers to the member; to the core the client has
// left at once, and a member that never reads is waited for no longer than MoveTimeout.
func TestClientEOFBufferFull(t *testing.T) {
	for _, reads := range []bool{true, false} {
		g := newRig(t, 1)
		c, m := g.openFlow()
		shrinkReceiveBuffer(m)
		conn := g.onlyFlow()
		sent := g.sendUntil(c, func() bool { return conn.upstream.conn.WriteCapacity() == 0 })
		c.Send("the last line\r\n")
		sent = append(sent, "the last line\r\n"...)
		c.CloseWrite()
		g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
		if !reads {
			g.Advance(MoveTimeout)
		} else if got := g.readToEOF(m); !bytes.Equal(got, sent) {
			t.Errorf("%d bytes of %d", len(got), len(sent))
		}
		g.expectNoLeaks()
	}
}

// TestMemberEOFUndelivered: what a member sent before it closed gracefully still reaches a client that is slow to read, also
// what did not fit in the relay's buffers to it.
func TestMemberEOFUndelivered(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	shrinkReceiveBuffer(c)
	conn := g.onlyFlow()
	sent := g.sendUntil(m, func() bool { return conn.conn.WriteCapacity() == 0 })
	m.Send("the last line\r\n")
	sent = append(sent, "the last line\r\n"...)
	m.CloseWrite()
	for range 4 {
		g.RunOnce()
	}
	if got := g.readToEOF(c); !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d", len(got), len(sent))
	}
	g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
	g.expectNoLeaks()
}

// TestMemberEOFNeverRead: a client that does not read occupies neither the flow nor a descriptor for longer than a
// connection may outlive its member's.
func TestMemberEOFNeverRead(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	shrinkReceiveBuffer(c)
	conn := g.onlyFlow()
	g.sendUntil(m, func() bool { return conn.conn.WriteCapacity() == 0 })
	m.Send("the last line\r\n")
	m.CloseWrite()
	g.WaitFor("the member's end", func() bool { return len(g.front.flows) == 0 })
	g.Advance(lingerTimeout)
	g.expectNoLeaks()
}
