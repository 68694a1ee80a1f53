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

// crossing is one case of TestCrossings: one client, two members, and what happens to them in a drawn order.
type crossing struct {
	*rig
	rng      *rand.Rand
	client   net.Conn
	got      []byte // by the client
	said     string // of the first line
	gone     bool   // the client is, by its own doing
	attempts []*attemptSeen
	stopped  bool
	doubting bool
	log      []string
}

// attemptSeen is an attempt as its member sees it.
type attemptSeen struct {
	net.Conn
	got  []byte
	said string
	over bool
}

// step has one thing happen.
func (x *crossing) step() {
	what := x.rng.IntN(16)
	x.log = append(x.log, strconv.Itoa(what))
	switch what {
	case 0, 1: // the client goes on with its line, and with what follows it
		if text := firstLine + "\r\nmore\r\n"; !x.gone && len(x.said) < len(text) {
			part := text[len(x.said):]
			if x.rng.IntN(2) == 0 {
				part = part[:1+x.rng.IntN(len(part))]
			}
			x.client.Write([]byte(part))
			x.said += part
		}
	case 2:
		if x.rng.IntN(4) == 0 && !x.gone {
			x.gone = true
			x.closeClient()
		}
	case 3, 4, 5, 6:
		x.answerLastAttempt()
	case 7:
		x.setMemberState(x.rng.IntN(2), []policy.MemberState{policy.Ready, policy.Draining, policy.Gone}[x.rng.IntN(3)])
	case 8:
		x.Core.PauseDispatch()
		x.doubting = true
	case 9:
		x.Core.ResumeDispatch()
		x.doubting = false
	case 10:
		if x.rng.IntN(8) == 0 {
			x.Core.Stop()
			x.stopped = true
		}
	case 11:
		x.Advance(time.Duration(x.rng.IntN([]int{50, 300, 1500}[x.rng.IntN(3)])) * time.Millisecond)
	default:
		x.RunOnce()
	}
	x.observe()
}

// closeClient closes the client's connection in one of the ways there are.
func (x *crossing) closeClient() {
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

// answerLastAttempt has the member of the last attempt send or do something.
func (x *crossing) answerLastAttempt() {
	if len(x.attempts) == 0 {
		return
	}
	m := x.attempts[len(x.attempts)-1]
	answers := []string{"UP x\r\n", "UP x\r\n", "UP", "BUSY\r\n", "ERR\r\n", "BYE\r\n", "MOVE\r\n", "\r\n", "half", "line\r\n", "LOAD 7\r\n"}
	switch n := x.rng.IntN(len(answers) + 3); {
	case m.over:
	case n < len(answers):
		m.Write([]byte(answers[n]))
		m.said += answers[n]
	case n == len(answers):
		m.Conn.(*net.TCPConn).CloseWrite()
	case n == len(answers)+1:
		m.Conn.(*net.TCPConn).SetLinger(0)
		m.Close()
	}
}

// observe takes in what members and the client have got, and checks what holds at any time.
func (x *crossing) observe() {
	for i := range x.servers {
		for c := x.pending(i); c != nil; c = x.pending(i) {
			x.attempts = append(x.attempts, &attemptSeen{Conn: c})
		}
	}
	for i, m := range x.attempts {
		before := len(m.got)
		if !m.over {
			m.over = read(m.Conn, &m.got)
		}
		if before == 0 && len(m.got) > 0 {
			if !bytes.HasPrefix(m.got, []byte("OPEN 00000000000000aa ")) {
				x.fail("a member was sent %q", m.got)
			}
			for _, earlier := range x.attempts[:i] {
				if len(earlier.got) > 0 && !earlier.over {
					if earlier.over = read(earlier.Conn, &earlier.got); !earlier.over {
						x.fail("an attempt goes out while another one is")
					}
				}
			}
		}
	}
	out := x.Core.FlowCount(1) + x.Core.FlowCount(2)
	if out > 1 || x.Core.Counts.Attempts > 3 {
		x.fail("%d attempts are out, %d in all", out, x.Core.Counts.Attempts)
	}
}

func (x *crossing) fail(format string, args ...any) {
	x.T.Helper()
	x.T.Fatalf("%s (steps %s)", fmt.Sprintf(format, args...), strings.Join(x.log, " "))
}

// finish closes the client's connection, and checks that nothing begins after that and that nothing is left.
func (x *crossing) finish() {
	if !x.gone {
		x.checkAnswers()
		x.closeClient()
	}
	x.WaitFor("the client's end", func() bool { return len(x.f.requests)+len(x.f.idle) == 0 })
	for _, m := range x.attempts {
		x.WaitFor("the end of the attempt", func() bool { m.over = m.over || read(m.Conn, &m.got); return m.over })
		m.Close()
	}
	x.Core.ResumeDispatch()
	for i := range x.servers {
		x.setMemberState(i, policy.Ready)
	}
	x.unsent()
	x.clean()
}

// checkAnswers checks what the client has got by now: at most one answer, and after it what its member said and at most one MOVE.
func (x *crossing) checkAnswers() {
	over := read(x.client, &x.got)
	text := string(x.got)
	switch {
	case text == "" && over && strings.Contains(x.said, "\r\n"):
		x.fail("the client's end without an answer")
	case strings.HasPrefix(text, "BUSY"), strings.HasPrefix(text, "ERR"):
		if strings.Count(text, "\n") != 1 || !strings.HasSuffix(text, "\r\n") {
			x.fail("the client got %q", text)
		}
	case text != "":
		text = strings.TrimSuffix(text, "MOVE\r\n")
		for _, m := range x.attempts {
			if strings.HasPrefix(m.said, string(x.got)) || strings.HasPrefix(m.said, text) && strings.HasSuffix(text, "\r\n") {
				return
			}
		}
		x.fail("the client got %q, which no member said", x.got)
	}
}

// TestCrossings plays drawn orders of what clients, members, discovery and the relay itself do. In each of them no two
// attempts are out, none goes out once the client has closed, the client gets one complete answer that is the relay's or its
// member's, and nothing is left at the end. LINE_SEEDS says how many cases.
func TestCrossings(t *testing.T) {
	cases := 500
	if n, err := strconv.Atoi(os.Getenv("LINE_SEEDS")); err == nil {
		cases = n
	}
	for seed := range cases {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			x := &crossing{rig: newRig(t, 2), rng: rand.New(rand.NewPCG(uint64(seed), 1))}
			x.client = x.Dial(x.addr).Conn
			x.WaitFor("the connection", func() bool { return len(x.f.idle) == 1 })
			for range 40 {
				x.step()
			}
			x.finish()
		})
	}
}
