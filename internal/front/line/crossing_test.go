package line

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// eventOrderCase is one case of TestCrossings: one client, two members, and a random sequence of events.
type eventOrderCase struct {
	*rig
	rng            *rand.Rand
	client         net.Conn
	received       []byte // by the client
	sent           string // by the client, of its first line and what follows it
	clientClosed   bool   // whether the test has closed the client's connection
	attempts       []*observedAttempt
	stopping       bool
	dispatchPaused bool
	stepLog        []string
}

// observedAttempt is an attempt as its member sees it.
type observedAttempt struct {
	net.Conn
	received []byte
	sent     string
	closed   bool
}

// step performs one random event and checks the invariants after it.
func (x *eventOrderCase) step() {
	choice := x.rng.IntN(16)
	x.stepLog = append(x.stepLog, strconv.Itoa(choice))
	switch choice {
	case 0, 1: // the client sends more of its first line, or of the data after it
		if text := firstLine + "\r\nmore\r\n"; !x.clientClosed && len(x.sent) < len(text) {
			part := text[len(x.sent):]
			if x.rng.IntN(2) == 0 {
				part = part[:1+x.rng.IntN(len(part))]
			}
			x.client.Write([]byte(part))
			x.sent += part
		}
	case 2:
		if x.rng.IntN(4) == 0 && !x.clientClosed {
			x.clientClosed = true
			x.closeClient()
		}
	case 3, 4, 5, 6:
		x.answerLastAttempt()
	case 7:
		x.setMemberState(x.rng.IntN(2), []policy.MemberState{policy.Ready, policy.Draining, policy.Gone}[x.rng.IntN(3)])
	case 8:
		x.Core.PauseDispatch()
		x.dispatchPaused = true
	case 9:
		x.Core.ResumeDispatch()
		x.dispatchPaused = false
	case 10:
		if x.rng.IntN(8) == 0 {
			x.Core.Stop()
			x.stopping = true
		}
	case 11:
		x.Advance(time.Duration(x.rng.IntN([]int{50, 300, 1500}[x.rng.IntN(3)])) * time.Millisecond)
	default:
		x.RunOnce()
	}
	x.observe()
}

// closeClient closes the client's connection: half, by a reset, or gracefully.
func (x *eventOrderCase) closeClient() {
	switch c := x.client.(*net.TCPConn); x.rng.IntN(3) {
	case 0:
		c.CloseWrite()
	case 1:
		c.SetLinger(0)
		c.Close()
	default:
		c.Close()
	}
}

// answerLastAttempt makes the member of the last attempt send a line, close or reset.
func (x *eventOrderCase) answerLastAttempt() {
	if len(x.attempts) == 0 {
		return
	}
	m := x.attempts[len(x.attempts)-1]
	answers := []string{"UP x\r\n", "UP x\r\n", "UP", "BUSY\r\n", "ERR\r\n", "BYE\r\n", "MOVE\r\n", "\r\n", "half", "line\r\n", "LOAD 7\r\n"}
	switch n := x.rng.IntN(len(answers) + 3); {
	case m.closed:
	case n < len(answers):
		m.Write([]byte(answers[n]))
		m.sent += answers[n]
	case n == len(answers):
		m.Conn.(*net.TCPConn).CloseWrite()
	case n == len(answers)+1:
		m.Conn.(*net.TCPConn).SetLinger(0)
		m.Close()
	}
}

// observe reads what the members have received and checks the invariants: every attempt begins with
// the client's first line, at most one attempt is in flight, and there are at most 3 in all.
func (x *eventOrderCase) observe() {
	for i := range x.fakeMembers {
		for c := x.pendingConn(i); c != nil; c = x.pendingConn(i) {
			x.attempts = append(x.attempts, &observedAttempt{Conn: c})
		}
	}
	for i, m := range x.attempts {
		before := len(m.received)
		if !m.closed {
			m.closed = readAvailable(m.Conn, &m.received)
		}
		if before == 0 && len(m.received) > 0 {
			if !bytes.HasPrefix(m.received, []byte("OPEN 00000000000000aa ")) {
				x.fail("a member received %q, want the client's OPEN", m.received)
			}
			for _, earlier := range x.attempts[:i] {
				if len(earlier.received) > 0 && !earlier.closed {
					if earlier.closed = readAvailable(earlier.Conn, &earlier.received); !earlier.closed {
						x.fail("an attempt was sent while another one was in flight")
					}
				}
			}
		}
	}
	inFlight := x.Core.FlowCount(1) + x.Core.FlowCount(2)
	if inFlight > 1 || x.Core.Counts.Attempts > 3 {
		x.fail("%d attempts in flight, want at most 1; %d in all, want at most 3", inFlight, x.Core.Counts.Attempts)
	}
}

func (x *eventOrderCase) fail(format string, args ...any) {
	x.T.Helper()
	x.T.Fatalf("%s (steps %s)", fmt.Sprintf(format, args...), strings.Join(x.stepLog, " "))
}

// finish closes the client's connection, and checks that no attempt begins after that and that
// nothing is left.
func (x *eventOrderCase) finish() {
	if !x.clientClosed {
		x.checkAnswers()
		x.closeClient()
	}
	x.WaitFor("the relay to notice the client's close", func() bool { return len(x.front.requests)+len(x.front.idle) == 0 })
	for _, m := range x.attempts {
		x.WaitFor("the attempt's connection to end", func() bool { m.closed = m.closed || readAvailable(m.Conn, &m.received); return m.closed })
		m.Close()
	}
	x.Core.ResumeDispatch()
	for i := range x.fakeMembers {
		x.setMemberState(i, policy.Ready)
	}
	x.expectNothingSent()
	x.expectNoLeaks()
}

// checkAnswers checks what the client has received so far: at most one answer, and after an answer
// from a member only what that member sent and at most one MOVE.
func (x *eventOrderCase) checkAnswers() {
	closed := readAvailable(x.client, &x.received)
	text := string(x.received)
	switch {
	case text == "" && closed && strings.Contains(x.sent, "\r\n"):
		x.fail("the client's connection ended without an answer")
	case strings.HasPrefix(text, "BUSY"), strings.HasPrefix(text, "ERR"):
		if strings.Count(text, "\n") != 1 || !strings.HasSuffix(text, "\r\n") {
			x.fail("the client got %q, want one line", text)
		}
	case text != "":
		text = strings.TrimSuffix(text, "MOVE\r\n")
		for _, m := range x.attempts {
			if strings.HasPrefix(m.sent, string(x.received)) || strings.HasPrefix(m.sent, text) && strings.HasSuffix(text, "\r\n") {
				return
			}
		}
		x.fail("the client got %q, which no member sent", x.received)
	}
}

// TestCrossings runs random sequences of events at clients, members, discovery and the relay itself. In
// each of them at most one attempt is in flight, none is sent after the client has closed, the client
// receives one complete answer, from the relay or from a member, and nothing is left at the end. The
// environment variable LINE_SEEDS sets the number of cases.
func TestCrossings(t *testing.T) {
	cases := 500
	if n, err := strconv.Atoi(os.Getenv("LINE_SEEDS")); err == nil {
		cases = n
	}
	for seed := range cases {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			x := &eventOrderCase{rig: newRig(t, 2), rng: rand.New(rand.NewPCG(uint64(seed), 1))}
			x.client = x.Dial(x.addr).Conn
			x.WaitFor("the connection to be accepted", func() bool { return len(x.front.idle) == 1 })
			for range 40 {
				x.step()
			}
			x.finish()
		})
	}
}
