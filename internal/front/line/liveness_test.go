package line

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestMemberSilent: a member that answers no line for too long is left, and the client
// is asked to come again; one that answers is not.
func TestMemberSilent(t *testing.T) {
	r, c, m := openedFlow(t)
	c.Say("hello\r\n")
	m.Lines("hello")
	r.Pass(memberSilenceTimeout)
	m.Say("well\r\n")
	c.Lines("well")
	c.Say("hello?\r\n")
	m.Lines("hello?")
	r.Pass(memberSilenceTimeout + sweepInterval)
	r.Pass(sweepInterval)
	c.Lines("MOVE")
	c.WantEnd()
	if r.Core.Held() != 0 {
		t.Error("the flow is still held")
	}
}

// TestSilenceBound: whatever a member does and in which pieces lines come, a flow that brings nothing back is over
// 7 s after the last line that came, with whatever load it tells meanwhile; one that is answered stays, and one
// whose member has said its last word is over within a second although no end of the connection comes.
func TestSilenceBound(t *testing.T) {
	for seed := range uint64(16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r, c, m := openedFlow(t)
		const step = 100 * time.Millisecond
		start, back := r.Now(), r.Now()
		stops := start + time.Duration(rng.IntN(120))*step
		next, pieces, half, parting := start+time.Duration(rng.IntN(20))*step, []string(nil), false, time.Duration(0)
		for r.Core.Held() > 0 {
			now := r.Now()
			if now >= next { // the client's next line, in up to three pieces
				next = now + clientInterval
				pieces = append(pieces, []string{"line\r\n", "li", "l"}[rng.IntN(3)])
				if whole := pieces[len(pieces)-1]; whole != "line\r\n" {
					pieces = append(pieces, strings.TrimPrefix("line\r\n", whole))
				}
			}
			if len(pieces) > 0 && c.Over == nil {
				c.Say(pieces[0])
				pieces = pieces[1:]
				r.Until("the client's bytes", func() bool { m.Poll(); return bytes.Contains(m.Got, []byte("l")) || r.Core.Held() == 0 })
			}
			switch {
			case now < stops:
				if bytes.Contains(m.Got, []byte("\n")) {
					m.Say("back\r\n")
					back, m.Got = now, nil
				}
			case half || parting > 0:
			case seed%4 == 0:
				m.Say("LOAD 7\r\n")
			case seed%4 == 1 && bytes.Contains(m.Got, []byte("\n")):
				m.Say("bac")
				half = true
			case seed%4 == 2:
				m.Say("BYE\r\n")
				parting = now
			}
			if now == back && now > start {
				r.Until("the answer", func() bool { c.Poll(); return len(c.Got) > 0 })
			}
			c.Got = nil
			r.Pass(step)
			if r.Core.Held() == 0 && r.Now() < stops {
				t.Fatalf("seed %d: a flow that was answered is over", seed)
			}
			if late := r.Now() - back; late > maxSilence-step {
				t.Fatalf("seed %d: still held %v after the last line", seed, late)
			}
			if late := r.Now() - parting; parting > 0 && late > maxLinger {
				t.Fatalf("seed %d: still held %v after its last word", seed, late)
			}
		}
	}
}

// TestPartialLineIsNotSilence: a client that takes long over a line is not sent away for the member's silence, nor as the line ends.
func TestPartialLineIsNotSilence(t *testing.T) {
	r, c, m := openedFlow(t)
	c.Say("hel")
	m.Want("hel")
	for range 30 {
		r.Pass(sweepInterval)
	}
	c.Say("lo\r\n")
	m.Lines("lo")
	r.Pass(sweepInterval)
	m.Say("well\r\n")
	c.Lines("well")
	r.Pass(sweepInterval)
	if r.Core.Held() != 1 {
		t.Error("the flow is over")
	}
}

// TestClientGone: a client's machine that vanished must not hold a flow for ever.
func TestClientGone(t *testing.T) {
	r, c, m := openedFlow(t)
	r.Pass(clientSilenceTimeout)
	c.Say("still here\r\n")
	m.Lines("still here")
	m.Say("well\r\n")
	c.Lines("well")
	r.Pass(clientSilenceTimeout + sweepInterval)
	r.Pass(sweepInterval)
	m.WantEnd()
	if r.Core.Held() != 0 {
		t.Error("the flow is still held")
	}
}
