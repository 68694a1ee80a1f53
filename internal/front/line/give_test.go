package line

import (
	"testing"
	"time"

	"dahliarudder/internal/netloop/looptest"
)

// TestGiveResting: a connection that was answered PONG has as long for its request in the other process as in this one. Guards against ERR to a
// client that rests, which it would take for the answer to its next line.
func TestGiveResting(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f, next := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
	c := r.Dial(r.Serve(f.Accept))
	c.Say("PING\r\n")
	c.Lines("PONG")
	f.GiveFresh(1, func(p Fresh, fd int) {
		if err := next.TakeFresh(p, fd); err != nil {
			t.Error(err)
		}
	})
	r.Pass(firstWithin + time.Second)
	c.Say("PING\r\n")
	c.Lines("PONG")
	r.Pass(pingIdle + time.Second)
	c.Lines("BUSY")
	c.WantEnd()
}
