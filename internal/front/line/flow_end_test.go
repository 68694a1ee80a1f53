package line

import (
	"bytes"
	"io"
	"net"
	"testing"

	"dahliarudder/internal/netloop/looptest"
)

// onlyFlow returns the client connection of the only open flow.
func (g *rig) onlyFlow() *clientConn {
	g.T.Helper()
	if len(g.front.flows) != 1 {
		g.T.Fatalf("%d open flows, want 1", len(g.front.flows))
	}
	for conn := range g.front.flows {
		return conn
	}
	return nil
}

// shrinkReceiveBuffer keeps the kernel from buffering much for a peer that does not read.
func shrinkReceiveBuffer(p *looptest.Peer) { p.Conn.(*net.TCPConn).SetReadBuffer(4 << 10) }

// sendUntil sends lines that the other side does not read until full returns true.
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

// readToEOF reads until the connection ends, which must be gracefully.
func (g *rig) readToEOF(p *looptest.Peer) []byte {
	g.T.Helper()
	p.Conn.(*net.TCPConn).SetReadBuffer(4 << 20) // with a small buffer the kernel's timers would slow the transfer down
	g.WaitFor("the connection to end", func() bool { p.Poll(); return p.EndErr != nil })
	if p.EndErr != io.EOF {
		g.T.Errorf("connection ended with %v, want EOF", p.EndErr)
	}
	return p.Received
}

// TestClientEOFUndelivered checks that bytes that a client sent before it closed gracefully still
// reach a member that reads slowly.
func TestClientEOFUndelivered(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	shrinkReceiveBuffer(m)
	conn := g.onlyFlow()
	sent := g.sendUntil(c, func() bool { return conn.upstream.conn.Unsent() > 0 })
	c.CloseWrite()
	g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
	if got := g.readToEOF(m); !bytes.Equal(got, sent) {
		t.Errorf("member received %d bytes, want exactly the %d bytes that the client sent", len(got), len(sent))
	}
	g.expectNoLeaks()
}

// TestClientEOFBufferFull is like TestClientEOFUndelivered with more bytes than the relay's buffer to
// the member holds. The core sees the client leave at once, and the relay waits for a member that
// never reads for at most MoveTimeout.
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
			t.Errorf("member received %d bytes, want exactly the %d bytes that the client sent", len(got), len(sent))
		}
		g.expectNoLeaks()
	}
}

// TestMemberEOFUndelivered checks that bytes that a member sent before it closed gracefully still
// reach a client that reads slowly, including bytes that did not fit in the relay's buffer.
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
		t.Errorf("client received %d bytes, want exactly the %d bytes that the member sent", len(got), len(sent))
	}
	g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
	g.expectNoLeaks()
}

// TestMemberEOFNeverRead checks that after the member's close a client that does not read keeps its
// flow and its descriptor for at most lingerTimeout.
func TestMemberEOFNeverRead(t *testing.T) {
	g := newRig(t, 1)
	c, m := g.openFlow()
	shrinkReceiveBuffer(c)
	conn := g.onlyFlow()
	g.sendUntil(m, func() bool { return conn.conn.WriteCapacity() == 0 })
	m.Send("the last line\r\n")
	m.CloseWrite()
	g.WaitFor("the member's close to be handled", func() bool { return len(g.front.flows) == 0 })
	g.Advance(lingerTimeout)
	g.expectNoLeaks()
}
