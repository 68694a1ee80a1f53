package line

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// TestFirstLineInPieces checks that a first line that arrives byte by byte within firstLineTimeout
// is accepted.
func TestFirstLineInPieces(t *testing.T) {
	g := newRig(t, 1)
	c := g.Dial(g.addr)
	g.WaitFor("the connection to be accepted", func() bool { return len(g.front.idle) == 1 })
	each := firstLineTimeout / time.Duration(len(firstLine)+3)
	for _, b := range []byte(firstLine + "\r\n") {
		c.Send(string(b))
		g.RunOnce()
		g.Advance(each)
	}
	g.acceptAttempt(0).Send("UP x\r\n")
	c.ExpectLines("UP x")
}

// TestFirstLineTooSlow checks that a first line that takes longer than firstLineTimeout is answered
// ERR once, and that the rest of it is not treated as a request.
func TestFirstLineTooSlow(t *testing.T) {
	g := newRig(t, 1)
	c := g.Dial(g.addr)
	g.WaitFor("the connection to be accepted", func() bool { return len(g.front.idle) == 1 })
	c.Send(firstLine[:30])
	g.RunOnce()
	g.Advance(firstLineTimeout)
	writeIgnoringError(c, firstLine[30:]+"\r\n"+firstLine+"\r\n")
	c.ExpectLines("ERR")
	c.ExpectEOF()
	c.Close()
	g.expectNothingSent()
	g.expectNoLeaks()
}

// TestPipelined checks that each PING before OPEN is answered, in order, whether the lines arrive in
// one write or byte by byte, and that what follows OPEN, even a second OPEN, is data of the flow.
func TestPipelined(t *testing.T) {
	const other = "OPEN 00000000000000cc 00000000000000bb c=pay,t=water,d=1900\r\n"
	for _, atOnce := range []bool{true, false} {
		g := newRig(t, 1)
		c := g.Dial(g.addr)
		text := "PING\r\nPING\r\n" + firstLine + "\r\n" + other + "data"
		if atOnce {
			c.Send(text)
		} else {
			g.sendByteByByte(c, text)
		}
		c.ExpectLines("PONG", "PONG")
		m := g.acceptAttempt(0)
		if g.RunOnce(); len(m.Received) > 0 || g.Core.Counts.Requests != 1 {
			t.Errorf("before UP the member received %q after the first line, want nothing; counts = %+v, want Requests 1",
				m.Received, g.Core.Counts)
		}
		m.Send("UP x\r\n")
		c.ExpectLines("UP x")
		m.Expect(other + "data")
		m.CloseWrite()
		c.ExpectEOF()
		g.expectNoLeaks()
		if g.Core.Counts.Requests != 1 {
			t.Errorf("counts = %+v, want Requests 1", g.Core.Counts)
		}
	}
}

// TestSecondOpen checks that a second OPEN after the final answer is ignored.
func TestSecondOpen(t *testing.T) {
	g := newRig(t, 1)
	g.Core.Stop()
	c := g.sendRequest(firstLine)
	writeIgnoringError(c, firstLine+"\r\n")
	if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("client got %q, want BUSY", got)
	}
	c.ExpectEOF()
	c.Close()
	g.expectNothingSent()
	g.expectNoLeaks()
	if g.Core.Counts.Requests != 1 {
		t.Errorf("counts = %+v, want Requests 1", g.Core.Counts)
	}
}

// malformedLines are malformed first lines. None has the id of an open request, which would be a
// cause of rejection by itself.
var malformedLines = map[string]string{
	"empty":            "\r\n",
	"no CR":            firstLineOf(0xac) + "\n",
	"a word":           "HELLO\r\n",
	"HTTP":             "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"a TLS handshake":  "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n",
	"too long":         "OPEN " + strings.Repeat("x", maxLineBytes),
	"no end":           strings.Repeat("x", 64*maxLineBytes),
	"unprintable byte": "OPEN 00000000000000ac 00000000000000bb c=pay,t=water,g=\x00\r\n",
	"invalid id":       "OPEN zz 00000000000000bb c=pay,t=water\r\n",
	"empty id":         "OPEN  00000000000000bb c=pay,t=water\r\n",
	"invalid key":      "OPEN 00000000000000ac -1 c=pay,t=water\r\n",
	"unknown class":    "OPEN 00000000000000ac 00000000000000bb c=none,t=water\r\n",
	"no class":         "OPEN 00000000000000ac 00000000000000bb t=water\r\n",
	"unknown tenant":   "OPEN 00000000000000ac 00000000000000bb c=pay,t=none\r\n",
	"no tenant":        "OPEN 00000000000000ac 00000000000000bb c=pay\r\n",
	"invalid value":    "OPEN 00000000000000ac 00000000000000bb c=pay,t=water,d=soon\r\n",
	"negative wait":    "OPEN 00000000000000ac 00000000000000bb c=pay,t=water,d=-1\r\n",
	"no value":         "OPEN 00000000000000ac 00000000000000bb c=pay,t=water,d\r\n",
	"repeated field":   "OPEN 00000000000000ac 00000000000000bb c=pay,t=water,c=pay\r\n",
	"no fields":        "OPEN 00000000000000ac 00000000000000bb\r\n",
	"too many words":   firstLineOf(0xac) + " more\r\n",
	"PING and more":    "PING x\r\n",
}

// TestMalformed checks that a malformed first line is answered ERR once, whatever follows it, that no
// member receives any of it, and that a flow on another connection is not affected.
func TestMalformed(t *testing.T) {
	for name, text := range malformedLines {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			good, m := g.openFlow()
			before, free := g.Core.Counts, g.FreeDescriptors()
			c := g.Dial(g.addr)
			writeIgnoringError(c, text+"\r\n"+firstLine+"\r\n")
			g.WaitFor("the connection to end", func() bool { c.Poll(); return c.EndErr != nil })
			if !bytes.Equal(c.Received, []byte("ERR\r\n")) {
				t.Errorf("client got %q, want only ERR", c.Received)
			}
			c.Close()
			g.Advance(time.Second)
			good.Send("hello\r\n")
			m.ExpectLines("hello")
			if g.Core.Counts != before || g.FreeDescriptors() != free || g.pendingConn(0) != nil {
				t.Errorf("counts = %+v, want %+v; %d more descriptors open, want 0; and no new connection to the member",
					g.Core.Counts, before, free-g.FreeDescriptors())
			}
		})
	}
}

// TestMalformedThenClose checks that a client that sends a malformed first line and closes at once
// leaves nothing behind, and that no member receives any of it.
func TestMalformedThenClose(t *testing.T) {
	for name, text := range malformedLines {
		t.Run(name, func(t *testing.T) {
			forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
				c := g.Dial(g.addr)
				g.WaitFor("the connection to be accepted", func() bool { return len(g.front.idle) == 1 })
				writeIgnoringError(c, text)
				closeConn(c)
				g.WaitFor("the connection to end", func() bool { return len(g.front.idle) == 0 && g.FreeDescriptors() == g.initialFree })
				g.expectNothingSent()
				g.expectNoLeaks()
			})
		})
	}
}

// maxLineLength is the protocol's limit in bytes, including CRLF.
const maxLineLength = 4096

// TestFirstLineLimit checks that a first line of maxLineLength is forwarded unchanged and that one
// that is a byte longer is answered ERR.
func TestFirstLineLimit(t *testing.T) {
	for extra, served := range map[int]bool{0: true, 1: false} {
		g := newRig(t, 1)
		c := g.Dial(g.addr)
		pad := ",x="
		pad += strings.Repeat("y", maxLineLength+extra-len(firstLine)-len(pad)-2)
		c.Send(firstLine + pad + "\r\n")
		if !served {
			c.ExpectLines("ERR")
			c.ExpectEOF()
			g.expectNothingSent()
			continue
		}
		m := g.fakeMembers[0].Accept()
		if got := m.ReadLine(); !strings.HasSuffix(got, pad) || len(got) > maxLineLength-2 {
			t.Errorf("member received %d bytes, want the padded line of at most %d bytes", len(got), maxLineLength-2)
		}
		m.Send("UP x\r\n")
		c.ExpectLines("UP x")
	}
}

// TestAddressChanges checks that the next attempt and the next health check go to a member's new
// address after discovery has changed it.
func TestAddressChanges(t *testing.T) {
	g := newRig(t, 1)
	next := g.Listen()
	g.openFlow()
	g.Members[0].Addr = next.Addr()
	g.Core.UpdateMembers(policy.ListDelta, g.Members[:1])
	c := g.sendRequest(firstLineOf(2))
	m := next.Accept()
	m.ReadLine()
	m.Send("UP y\r\n")
	c.ExpectLines("UP y")
	g.front.CheckHealth(&g.Members[0])
	next.Accept().ExpectLines("STATS")
}

// firstLineOf is firstLine with another id.
func firstLineOf(n int) string { return strings.Replace(firstLine, "aa ", fmt.Sprintf("%02x ", n), 1) }
