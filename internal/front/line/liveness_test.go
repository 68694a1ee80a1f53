package line

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestMemberSilent checks that a client is migrated if its member answers no line for longer than
// memberSilenceTimeout, and that a member that answers keeps the flow.
func TestMemberSilent(t *testing.T) {
	r, c, m := startFlow(t)
	c.Send("hello\r\n")
	m.ExpectLines("hello")
	r.Advance(memberSilenceTimeout)
	m.Send("well\r\n")
	c.ExpectLines("well")
	c.Send("hello?\r\n")
	m.ExpectLines("hello?")
	r.Advance(memberSilenceTimeout + sweepInterval)
	r.Advance(sweepInterval)
	c.ExpectLines("MOVE")
	c.ExpectEOF()
	if r.Core.ActiveRequests() != 0 {
		t.Error("the flow is still open, want it migrated")
	}
}

// TestSilenceBound checks that a flow is closed within 7 s (maxSilence) of the member's last answer,
// in whichever pieces the client's lines arrive and even if the member reports loads; that a flow
// that is answered stays open; and that a flow whose member has sent BYE is closed within 1 s
// (maxLinger) although the member does not close the connection.
func TestSilenceBound(t *testing.T) {
	for seed := range uint64(16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r, c, m := startFlow(t)
		const step = 100 * time.Millisecond
		start, lastAnswer := r.Now(), r.Now()
		answersUntil := start + time.Duration(rng.IntN(120))*step
		nextLine, pieces, answerSplit, finalCommandAt := start+time.Duration(rng.IntN(20))*step, []string(nil), false, time.Duration(0)
		for r.Core.ActiveRequests() > 0 {
			now := r.Now()
			if now >= nextLine { // the client's next line, in up to three pieces
				nextLine = now + clientInterval
				pieces = append(pieces, []string{"line\r\n", "li", "l"}[rng.IntN(3)])
				if joined := pieces[len(pieces)-1]; joined != "line\r\n" {
					pieces = append(pieces, strings.TrimPrefix("line\r\n", joined))
				}
			}
			if len(pieces) > 0 && c.EndErr == nil {
				c.Send(pieces[0])
				pieces = pieces[1:]
				r.WaitFor("the member to receive the client's bytes", func() bool { m.Poll(); return bytes.Contains(m.Received, []byte("l")) || r.Core.ActiveRequests() == 0 })
			}
			switch {
			case now < answersUntil:
				if bytes.Contains(m.Received, []byte("\n")) {
					m.Send("back\r\n")
					lastAnswer, m.Received = now, nil
				}
			case answerSplit || finalCommandAt > 0:
			case seed%4 == 0:
				m.Send("LOAD 7\r\n")
			case seed%4 == 1 && bytes.Contains(m.Received, []byte("\n")):
				m.Send("bac")
				answerSplit = true
			case seed%4 == 2:
				m.Send("BYE\r\n")
				finalCommandAt = now
			}
			if now == lastAnswer && now > start {
				r.WaitFor("the client to receive the answer", func() bool { c.Poll(); return len(c.Received) > 0 })
			}
			c.Received = nil
			r.Advance(step)
			if r.Core.ActiveRequests() == 0 && r.Now() < answersUntil {
				t.Fatalf("seed %d: the flow ended while the member was answering", seed)
			}
			if late := r.Now() - lastAnswer; late > maxSilence-step {
				t.Fatalf("seed %d: the flow is still open %v after the last answer, want at most %v",
					seed, late, maxSilence-step)
			}
			if late := r.Now() - finalCommandAt; finalCommandAt > 0 && late > maxLinger {
				t.Fatalf("seed %d: the flow is still open %v after BYE, want at most %v", seed, late, maxLinger)
			}
		}
	}
}

// TestPartialLineIsNotSilence checks that a client that takes long to complete a line is not migrated
// for the member's silence, neither before nor when the line ends.
func TestPartialLineIsNotSilence(t *testing.T) {
	r, c, m := startFlow(t)
	c.Send("hel")
	m.Expect("hel")
	for range 30 {
		r.Advance(sweepInterval)
	}
	c.Send("lo\r\n")
	m.ExpectLines("lo")
	r.Advance(sweepInterval)
	m.Send("well\r\n")
	c.ExpectLines("well")
	r.Advance(sweepInterval)
	if r.Core.ActiveRequests() != 1 {
		t.Error("the flow has ended, want it open")
	}
}

// TestClientGone checks that the flow of a client that has sent nothing for clientSilenceTimeout is
// closed, so that a client whose machine has failed does not keep a flow forever.
func TestClientGone(t *testing.T) {
	r, c, m := startFlow(t)
	r.Advance(clientSilenceTimeout)
	c.Send("still here\r\n")
	m.ExpectLines("still here")
	m.Send("well\r\n")
	c.ExpectLines("well")
	r.Advance(clientSilenceTimeout + sweepInterval)
	r.Advance(sweepInterval)
	m.ExpectEOF()
	if r.Core.ActiveRequests() != 0 {
		t.Error("the flow is still open, want it closed")
	}
}
