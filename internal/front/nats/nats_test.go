package nats

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
)

// FuzzParse: a stream of messages is read the same however it is cut up, and what
// was read can be written and read again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"PUB a.b 5\r\nhello\r\nPING\r\n", "pub a inbox 0\r\n\r\n", "HPUB a 12 14\r\nNATS/1.0\r\n\r\nhi\r\n",
		"MSG a 9 2\r\nok\r\nMSG a 9 r 2\r\nok\r\n", "HMSG a 9 r 12 12\r\nNATS/1.0\r\n\r\n\r\n", "SUB a q 1\r\nUNSUB 1 5\r\n",
		"CONNECT {}\r\nINFO {\"a\":1}\r\n+OK\r\n-ERR 'x'\r\nPONG\r\n", "PUB a 99999\r\n", "PUB a -1\r\n", "HPUB a 9 3\r\n", "\r\n",
	} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		read := func(step int) (out string, err error) {
			var unread []byte
			for rest := text; len(rest) > 0 && err == nil; {
				n := min(step, len(rest))
				unread, rest = append(unread, rest[:n]...), rest[n:]
				for {
					var m command
					var used int
					if m, used, err = parseCommand(unread, maxControl, 1024); err != nil || used == 0 {
						break
					}
					if m.payload != nil {
						again, n, err := parseCommand(m.appendMessage(nil, "1"), maxControl, 1024)
						if err != nil || n == 0 || string(again.payload) != string(m.payload) || again.headerLen != m.headerLen ||
							string(again.subject) != string(m.subject) || string(again.reply) != string(m.reply) {
							t.Fatalf("%+v was written and read as %+v, %v", m, again, err)
						}
					}
					out += fmt.Sprintf("%d %q %q %q %q %q %q %d %d\n", m.op, m.args, m.subject, m.sid, m.reply, m.queue, m.payload, m.maxMessages, m.headerLen)
					unread = unread[used:]
				}
			}
			return out, err
		}
		uncut, err := read(len(text) + 1)
		cut, err2 := read(int(step)%7 + 1)
		if uncut != cut || (err == nil) != (err2 == nil) {
			t.Errorf("uncut: %s%v\ncut: %s%v", uncut, err, cut, err2)
		}
	})
}

// TestMatches: the wildcards of subscriptions.
func TestMatches(t *testing.T) {
	for pattern, want := range map[string]string{
		"a.b": "a.b", "a.*": "a.b a.c", "a.>": "a.b a.c a.b.c", ">": "a a.b a.c a.b.c", "*": "a", "*.b": "a.b",
	} {
		var got []string
		for _, s := range []string{"a", "a.b", "a.c", "a.b.c"} {
			if subjectMatches(pattern, s) {
				got = append(got, s)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s matches %v, want %s", pattern, got, want)
		}
	}
	for s, want := range map[string]bool{"a.b": true, "a..b": false, "": false, "a.*": false, "a.>": false} {
		if validSubject(s, false) != want {
			t.Errorf("%q: valid %v", s, !want)
		}
	}
	if !validSubject("a.*.>", true) || validSubject("a.>.b", true) {
		t.Error("wildcards")
	}
	if _, _, err := parseCommand([]byte("PUB a 2000\r\n"), maxControl, 1024); !errors.Is(err, errPayload) {
		t.Errorf("payload over the limit: %v", err)
	}
}

// site is a front before members that the test plays, and its client.
type site struct {
	*looptest.Relay
	c *looptest.Peer
}

func newSite(t *testing.T, members int) *site {
	r := looptest.NewRelay(t, members)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	s := &site{r, r.Dial(r.Serve(f.Accept))}
	s.c.ReadLine()
	s.c.Send("CONNECT {\"verbose\":true}\r\n")
	s.c.ExpectLines("+OK")
	return s
}

// link takes in the next connection to a member and greets it.
func (s *site) link(step time.Duration) (int, *looptest.Peer) {
	s.T.Helper()
	i, m := s.AcceptAny(step)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		s.T.Fatalf("got %q", got)
	}
	m.ExpectLines("PING")
	m.Send("PONG\r\n")
	return i, m
}

// TestDrainAtOnce: the clock stands still from the update that a member drains until
// its subscription has moved to another one, so the 250 ms are met; the
// member never has to end anything itself, and it is never active at two members at once.
func TestDrainAtOnce(t *testing.T) {
	s := newSite(t, 2)
	s.c.Send("SUB feed q 7\r\n")
	i, m := s.link(0)
	m.ExpectLines("SUB feed q 1", "PING")
	m.Send("PONG\r\nMSG feed 1 2\r\nhi\r\n")
	s.c.ExpectLines("+OK", "MSG feed 7 2", "hi")
	s.Drain(i)
	m.ExpectLines("UNSUB 1", "PING")
	m.Send("MSG feed 1 4\r\nsent\r\n") // before it knew
	s.c.ExpectLines("MSG feed 7 4", "sent")
	j, n := s.link(0)
	if j == i {
		t.Fatal("placed on the draining member again")
	}
	n.Send("PING\r\n")
	n.ExpectLines("PONG")                      // and nothing else, while it is active at the first
	m.Send("PONG\r\nMSG feed 1 4\r\nlate\r\n") // now it is no longer active there
	n.ExpectLines("SUB feed q 1", "PING")
	n.Send("PONG\r\nMSG feed 1 3\r\nnew\r\n")
	s.c.ExpectLines("MSG feed 7 3", "new")
	if c := s.Core.Counts; c.Requests != 2 || c.Served != 2 || c.Migrations != 1 {
		t.Errorf("%+v", c)
	}
}

// TestPublishRetry: after a fast failure, and after silence, the next attempt
// starts only when the last one is over, its connection ended.
func TestPublishRetry(t *testing.T) {
	s := newSite(t, 3)
	s.c.Send("PUB job 1\r\nx\r\nPING\r\n")
	_, m := s.link(0)
	m.ExpectLines("PUB job 1", "x", "PING")
	m.Reset()
	_, n := s.link(0)
	n.ExpectLines("PUB job 1", "x", "PING")
	n.Send("PONG\r\n")
	s.c.ExpectLines("+OK", "PONG")
	if c := s.Core.Counts.Messages; c.Attempts != 2 || c.Served != 1 || c.Retried != 1 {
		t.Errorf("%+v", c)
	}
	s.c.Send("PUB job 1\r\ny\r\n")
	silent := n
	silent.ExpectLines("PUB job 1", "y", "PING")
	s.WaitFor("the end of the silent attempt", func() bool {
		s.Advance(10 * time.Millisecond)
		silent.Poll()
		return silent.EndErr != nil
	})
}

// TestLinkLost: subscriptions on a connection that breaks are placed again.
func TestLinkLost(t *testing.T) {
	s := newSite(t, 2)
	s.c.Send("SUB feed 7\r\n")
	_, m := s.link(0)
	m.ExpectLines("SUB feed 1", "PING")
	m.Send("PONG\r\n")
	s.c.ExpectLines("+OK")
	m.Reset()
	_, n := s.link(0)
	n.ExpectLines("SUB feed 1", "PING")
	n.Send("PONG\r\nMSG feed 1 2\r\nhi\r\n")
	s.c.ExpectLines("MSG feed 7 2", "hi")
}

// TestConnectWithin: a client that sends no CONNECT, or half of one, gets an error well before
// 3 s; who has connected stays.
func TestConnectWithin(t *testing.T) {
	s := newSite(t, 1)
	f := New(s.Loop, s.Core, s.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	silent := s.Dial(s.Serve(f.Accept))
	silent.ReadLine()
	silent.Send("CONNECT {")
	s.Advance(connectTimeout)
	silent.ExpectLines("-ERR 'Authentication Timeout'")
	silent.ExpectEOF()
	s.c.Send("PING\r\n")
	s.c.ExpectLines("PONG")
}

// TestLameDuck: a drained relay sends its clients INFO, closes the idle ones
// once they have had time to react, and resumed in time closes none.
func TestLameDuck(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	c := r.Dial(r.Serve(f.Accept))
	info := func(ldm bool) {
		t.Helper()
		if line := c.ReadLine(); !strings.Contains(line, fmt.Sprintf(`"ldm":%v`, ldm)) {
			t.Fatalf("got %q, want ldm %v", line, ldm)
		}
	}
	info(false)
	c.Send("CONNECT {\"verbose\":true,\"protocol\":1}\r\n")
	c.ExpectLines("+OK")
	f.EnterLameDuck()
	info(true)
	r.Advance(core.StopNotice - time.Millisecond)
	f.ExitLameDuck()
	info(false)
	r.Advance(sweepInterval)
	c.Send("PING\r\n")
	c.ExpectLines("PONG")
	f.EnterLameDuck()
	info(true)
	r.Advance(core.StopNotice)
	r.Advance(sweepInterval)
	c.ExpectEOF()
}

// TestMemberLeftWhileConnecting: a member that has left while the connection to it was being set up gets no
// subscription; another one is.
func TestMemberLeftWhileConnecting(t *testing.T) {
	s := newSite(t, 2)
	s.c.Send("SUB a.b 1\r\n")
	first, m := s.AcceptAny(0)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		t.Fatalf("got %q", got)
	}
	m.ExpectLines("PING")
	s.Drain(first) // before the member has confirmed
	m.Send("PONG\r\n")
	second, other := s.link(0)
	if second == first {
		t.Fatal("the member that has left is connected to again")
	}
	if got := other.ReadLine(); !strings.HasPrefix(got, "SUB a.b ") {
		t.Fatalf("got %q", got)
	}
	if m.Poll(); strings.Contains(string(m.Received), "SUB") {
		t.Errorf("the member that has left got %q", m.Received)
	}
}

// TestHealthCheckRequestsLoad: the request for a member's load is a complete message without a payload, by which the member's
// next command is read as it is.
func TestHealthCheckRequestsLoad(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water", LoadSubject: "node.load"}, &Security{})
	f.CheckHealth(&r.Members[0])
	_, m := r.AcceptAny(0)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		t.Fatalf("got %q", got)
	}
	m.ExpectLines("SUB "+checkReplySubject+" 1", "PUB node.load "+checkReplySubject+" 0", "", "PING")
	m.Send("MSG " + checkReplySubject + " 1 9\r\n{\"x0\":0.5}\r\n")
	r.WaitFor("the answer", func() bool { return len(f.healthChecks) == 0 })
}
