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

// FuzzParse checks that a stream of messages is parsed the same however it is split into chunks, and
// that a parsed message can be encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"PUB a.b 5\r\nhello\r\nPING\r\n", "pub a inbox 0\r\n\r\n", "HPUB a 12 14\r\nNATS/1.0\r\n\r\nhi\r\n",
		"MSG a 9 2\r\nok\r\nMSG a 9 r 2\r\nok\r\n", "HMSG a 9 r 12 12\r\nNATS/1.0\r\n\r\n\r\n", "SUB a q 1\r\nUNSUB 1 5\r\n",
		"CONNECT {}\r\nINFO {\"a\":1}\r\n+OK\r\n-ERR 'x'\r\nPONG\r\n", "PUB a 99999\r\n", "PUB a -1\r\n", "HPUB a 9 3\r\n", "\r\n",
	} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		parseAll := func(step int) (out string, err error) {
			var unread []byte
			for rest := text; len(rest) > 0 && err == nil; {
				n := min(step, len(rest))
				unread, rest = append(unread, rest[:n]...), rest[n:]
				for {
					var m command
					var used int
					if m, used, err = parseCommand(unread, maxControlLine, 1024); err != nil || used == 0 {
						break
					}
					if m.payload != nil {
						reparsed, n, err := parseCommand(m.appendMessage(nil, "1"), maxControlLine, 1024)
						if err != nil || n == 0 || string(reparsed.payload) != string(m.payload) || reparsed.headerLen != m.headerLen ||
							string(reparsed.subject) != string(m.subject) || string(reparsed.reply) != string(m.reply) {
							t.Fatalf("%+v encoded and parsed again = %+v, error %v; want the same message",
								m, reparsed, err)
						}
					}
					out += fmt.Sprintf("%d %q %q %q %q %q %q %d %d\n", m.op, m.args, m.subject, m.sid, m.reply, m.queue, m.payload, m.maxMessages, m.headerLen)
					unread = unread[used:]
				}
			}
			return out, err
		}
		whole, wholeErr := parseAll(len(text) + 1)
		chunked, chunkedErr := parseAll(int(step)%7 + 1)
		if whole != chunked || (wholeErr == nil) != (chunkedErr == nil) {
			t.Errorf("parsed whole: %s%v\nparsed in chunks: %s%v\nwant the same result",
				whole, wholeErr, chunked, chunkedErr)
		}
	})
}

// TestSubjects checks the matching of wildcards, the validation of subjects, and the payload limit of
// a publication.
func TestSubjects(t *testing.T) {
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
			t.Errorf("subjects that match %s = %v, want %s", pattern, got, want)
		}
	}
	for s, want := range map[string]bool{"a.b": true, "a..b": false, "": false, "a.*": false, "a.>": false} {
		if validSubject(s, false) != want {
			t.Errorf("validSubject(%q, false) = %v, want %v", s, !want, want)
		}
	}
	if !validSubject("a.*.>", true) || validSubject("a.>.b", true) {
		t.Error("validSubject with wildcards: want a.*.> valid and a.>.b invalid")
	}
	if _, _, err := parseCommand([]byte("PUB a 2000\r\n"), maxControlLine, 1024); !errors.Is(err, errMaxPayload) {
		t.Errorf("parseCommand with a payload over the limit: error %v, want %v", err, errMaxPayload)
	}
}

// testFront is a front with one connected client. The test acts as the client and the members.
type testFront struct {
	*looptest.Relay
	client *looptest.Peer
}

func newTestFront(t *testing.T, members int) *testFront {
	r := looptest.NewRelay(t, members)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	s := &testFront{r, r.Dial(r.Serve(f.Accept))}
	s.client.ReadLine()
	s.client.Send("CONNECT {\"verbose\":true}\r\n")
	s.client.ExpectLines("+OK")
	return s
}

// acceptLink accepts the next connection to any member and answers its CONNECT. It returns the index
// of the member and the connection.
func (s *testFront) acceptLink(step time.Duration) (int, *looptest.Peer) {
	s.T.Helper()
	i, m := s.AcceptAny(step)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		s.T.Fatalf("first line to the member = %q, want CONNECT", got)
	}
	m.ExpectLines("PING")
	m.Send("PONG\r\n")
	return i, m
}

// TestDrainMovesSubscription checks that a subscription leaves a draining member at once: the clock
// stands still until it has moved to another member, so the limit of 250 ms is met. The relay ends it
// with UNSUB, without help from the member, and it is never active at two members at once.
func TestDrainMovesSubscription(t *testing.T) {
	s := newTestFront(t, 2)
	s.client.Send("SUB feed q 7\r\n")
	i, m := s.acceptLink(0)
	m.ExpectLines("SUB feed q 1", "PING")
	m.Send("PONG\r\nMSG feed 1 2\r\nhi\r\n")
	s.client.ExpectLines("+OK", "MSG feed 7 2", "hi")
	s.Drain(i)
	m.ExpectLines("UNSUB 1", "PING")
	m.Send("MSG feed 1 4\r\nsent\r\n") // sent before the member processed UNSUB
	s.client.ExpectLines("MSG feed 7 4", "sent")
	j, n := s.acceptLink(0)
	if j == i {
		t.Fatal("the subscription was placed on the draining member again")
	}
	n.Send("PING\r\n")
	n.ExpectLines("PONG")                      // and no SUB while the subscription is active at the first member
	m.Send("PONG\r\nMSG feed 1 4\r\nlate\r\n") // the PONG ends the subscription there, so the message is dropped
	n.ExpectLines("SUB feed q 1", "PING")
	n.Send("PONG\r\nMSG feed 1 3\r\nnew\r\n")
	s.client.ExpectLines("MSG feed 7 3", "new")
	if c := s.Core.Counts; c.Requests != 2 || c.Served != 2 || c.Migrations != 1 {
		t.Errorf("core counts = %+v, want 2 requests, 2 served, 1 migration", c)
	}
}

// TestPublishRetry checks that a publication is attempted again after its connection has failed, and
// that the relay closes the connection of an attempt that the member does not answer, so that the
// attempt is over before the next one starts.
func TestPublishRetry(t *testing.T) {
	s := newTestFront(t, 3)
	s.client.Send("PUB job 1\r\nx\r\nPING\r\n")
	_, m := s.acceptLink(0)
	m.ExpectLines("PUB job 1", "x", "PING")
	m.Reset()
	_, n := s.acceptLink(0)
	n.ExpectLines("PUB job 1", "x", "PING")
	n.Send("PONG\r\n")
	s.client.ExpectLines("+OK", "PONG")
	if c := s.Core.Counts.Messages; c.Attempts != 2 || c.Served != 1 || c.Retried != 1 {
		t.Errorf("message counts = %+v, want 2 attempts, 1 served, 1 retried", c)
	}
	s.client.Send("PUB job 1\r\ny\r\n")
	silent := n
	silent.ExpectLines("PUB job 1", "y", "PING")
	s.WaitFor("the end of the connection of the unanswered attempt", func() bool {
		s.Advance(10 * time.Millisecond)
		silent.Poll()
		return silent.EndErr != nil
	})
}

// TestLinkLost checks that a subscription is placed again when its connection to the member breaks.
func TestLinkLost(t *testing.T) {
	s := newTestFront(t, 2)
	s.client.Send("SUB feed 7\r\n")
	_, m := s.acceptLink(0)
	m.ExpectLines("SUB feed 1", "PING")
	m.Send("PONG\r\n")
	s.client.ExpectLines("+OK")
	m.Reset()
	_, n := s.acceptLink(0)
	n.ExpectLines("SUB feed 1", "PING")
	n.Send("PONG\r\nMSG feed 1 2\r\nhi\r\n")
	s.client.ExpectLines("MSG feed 7 2", "hi")
}

// TestConnectTimeout checks that a client that has not sent a complete CONNECT gets an error after
// connectTimeout, well before 3 s, and that a client that has connected stays.
func TestConnectTimeout(t *testing.T) {
	s := newTestFront(t, 1)
	f := New(s.Loop, s.Core, s.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	silent := s.Dial(s.Serve(f.Accept))
	silent.ReadLine()
	silent.Send("CONNECT {")
	s.Advance(connectTimeout)
	silent.ExpectLines("-ERR 'Authentication Timeout'")
	silent.ExpectEOF()
	s.client.Send("PING\r\n")
	s.client.ExpectLines("PONG")
}

// TestLameDuck checks that a draining relay sends INFO to its clients and closes idle clients after
// they have had time to react, and that it closes none if it resumes before that.
func TestLameDuck(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water"}, &Security{})
	c := r.Dial(r.Serve(f.Accept))
	expectLameDuck := func(ldm bool) {
		t.Helper()
		if line := c.ReadLine(); !strings.Contains(line, fmt.Sprintf(`"ldm":%v`, ldm)) {
			t.Fatalf("INFO = %q, want ldm %v", line, ldm)
		}
	}
	expectLameDuck(false)
	c.Send("CONNECT {\"verbose\":true,\"protocol\":1}\r\n")
	c.ExpectLines("+OK")
	f.EnterLameDuck()
	expectLameDuck(true)
	r.Advance(core.StopNotice - time.Millisecond)
	f.ExitLameDuck()
	expectLameDuck(false)
	r.Advance(sweepInterval)
	c.Send("PING\r\n")
	c.ExpectLines("PONG")
	f.EnterLameDuck()
	expectLameDuck(true)
	r.Advance(core.StopNotice)
	r.Advance(sweepInterval)
	c.ExpectEOF()
}

// TestMemberLeftWhileConnecting checks that a member that leaves while the connection to it is being
// set up receives no subscription, and that the subscription is placed at another member.
func TestMemberLeftWhileConnecting(t *testing.T) {
	s := newTestFront(t, 2)
	s.client.Send("SUB a.b 1\r\n")
	first, m := s.AcceptAny(0)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		t.Fatalf("first line to the member = %q, want CONNECT", got)
	}
	m.ExpectLines("PING")
	s.Drain(first) // before the member has answered the PING after CONNECT
	m.Send("PONG\r\n")
	second, other := s.acceptLink(0)
	if second == first {
		t.Fatal("the relay connected again to the member that has left")
	}
	if got := other.ReadLine(); !strings.HasPrefix(got, "SUB a.b ") {
		t.Fatalf("first line to the other member = %q, want SUB a.b", got)
	}
	if m.Poll(); strings.Contains(string(m.Received), "SUB") {
		t.Errorf("the member that has left received %q, want no SUB", m.Received)
	}
}

// TestHealthCheckRequestsLoad checks that the request for a member's load report is a complete message
// with an empty payload, so that the member does not take the following command for the payload.
func TestHealthCheckRequestsLoad(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log, "n0", Config{Class: "pay", Tenant: "water", LoadSubject: "node.load"}, &Security{})
	f.CheckHealth(&r.Members[0])
	_, m := r.AcceptAny(0)
	m.Send("INFO {\"headers\":true}\r\n")
	if got := m.ReadLine(); !strings.HasPrefix(got, "CONNECT {") {
		t.Fatalf("first line to the member = %q, want CONNECT", got)
	}
	reply := f.healthChecks[r.Members[0].ID].reply
	m.ExpectLines("SUB "+reply+" 1", "PUB node.load "+reply+" 0", "", "PING")
	m.Send("MSG " + reply + " 1 9\r\n{\"x0\":0.5}\r\n")
	r.WaitFor("the end of the health check", func() bool { return len(f.healthChecks) == 0 })
}
