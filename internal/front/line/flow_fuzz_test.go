package line

import (
	"bytes"
	"io"
	"testing"

	"dahliarudder/internal/netloop/looptest"
)

// FuzzFlow takes random steps on an open flow and checks them against a model: each side receives a
// prefix of what the other sent, and all of it unless the flow ends; MOVE is sent at most once, only
// between two lines, and always if the member drains between two lines. Handing the flow off to
// another process changes none of this.
func FuzzFlow(f *testing.F) {
	f.Add([]byte{0, 10, 1, 20, 2, 0, 1, 3})
	f.Add([]byte{1, 7, 2, 0, 4, 0, 1, 8, 2, 0})
	f.Add([]byte{1, 6, 4, 0, 3, 0})
	f.Add([]byte{0, 200, 1, 255, 5, 0, 2, 0})
	f.Add([]byte{1, 12, 6, 0, 2, 0, 1, 1})
	f.Add([]byte{1, 7, 2, 0, 7, 0, 1, 8, 0, 9, 7, 0, 2, 0, 4, 0})
	f.Add([]byte{0, 255, 0, 255, 7, 0, 1, 255, 1, 255, 7, 0, 7, 0, 2, 0, 5, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		r := looptest.NewRelay(t, 1)
		from, to := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
		c, m := sendOpenTo(r, from)
		m.Send("UP x\r\n")
		c.ExpectLines("UP x")
		var byClient, byMember, before []byte
		drained, between, ended := false, false, false
		for i := 0; i+1 < len(steps) && i < 80; i += 2 {
			chunk := bytes.Repeat([]byte{'a' + byte(i%26)}, int(steps[i+1])*4)
			if steps[i+1]%2 == 0 {
				chunk = append(chunk, "\r\n"...)
			}
			switch steps[i] % 8 {
			case 7: // hand the flow off to another process
				handOffFlows(t, from, to)
				from, to = to, from
			case 0:
				if !ended && !drained {
					c.Send(string(chunk))
					byClient = append(byClient, chunk...)
				}
			case 1:
				if !ended && !drained {
					m.Send(string(chunk))
					byMember = append(byMember, chunk...)
				}
			case 2:
				r.RunOnce()
			case 3:
				c.Poll()
				m.Poll()
			case 4:
				if !drained && !ended {
					r.WaitFor("the client to receive the member's bytes", func() bool { c.Poll(); return len(c.Received) == len(byMember) })
					drained, between = true, len(byMember) == 0 || bytes.HasSuffix(byMember, []byte("\n"))
					r.Drain(0)
				}
			case 5:
				if !ended && !drained {
					m.CloseWrite()
					ended = true
				}
			case 6:
				if !ended && !drained {
					c.CloseWrite()
					ended = true
				}
			}
		}
		if drained || ended {
			r.RunOnce()
			r.Advance(MoveTimeout)
			r.WaitFor("the client's connection to end", func() bool { c.Poll(); return c.EndErr != nil })
			r.WaitFor("the member's connection to end", func() bool { m.Poll(); return m.EndErr != nil })
			if c.EndErr != io.EOF || m.EndErr != io.EOF {
				t.Errorf("connections ended with %v (client) and %v (member), want EOF", c.EndErr, m.EndErr)
			}
		} else {
			r.WaitFor("the client to receive the member's bytes", func() bool { c.Poll(); return len(c.Received) >= len(byMember) })
			r.WaitFor("the member to receive the client's bytes", func() bool { m.Poll(); return len(m.Received) >= len(byClient) })
		}
		before, moved := bytes.CutSuffix(c.Received, []byte("MOVE\r\n"))
		if !bytes.HasPrefix(byMember, before) || !bytes.HasPrefix(byClient, m.Received) {
			t.Errorf("client got %q of the member's %q, member got %q of the client's %q",
				c.Received, byMember, m.Received, byClient)
		}
		if moved != (drained && between) || moved && len(before) > 0 && !bytes.HasSuffix(before, []byte("\n")) {
			t.Errorf("MOVE sent: %v, want %v (drained between lines) and only after a complete line; client got %q before it",
				moved, drained && between, before)
		}
		r.WaitFor("the flow to end", func() bool { return r.Core.ActiveRequests() == 0 || !(drained || ended) })
	})
}
