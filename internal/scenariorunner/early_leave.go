package scenariorunner

import (
	"math/rand/v2"
	"net"
	"time"
)

// earlyLeave is how a client goes before it has its answer.
type earlyLeave struct {
	after time.Duration // since it sent its request
	mode  leaveMode
}

type leaveMode int

const (
	leaveByClose leaveMode = iota
	leaveByReset
	leaveByHalfClose // it ends its sending direction, and still reads
	leaveModes
)

// drawEarlyLeave draws whether and how a client leaves early; nil: it does not.
func (r *run) drawEarlyLeave(rng *rand.Rand, deadline time.Duration) *earlyLeave {
	if rng.Float64() >= r.File.Clients.AbandonRate {
		return nil
	}
	// Half of them leave at once, while the relay is still placing them.
	l := &earlyLeave{mode: leaveMode(rng.IntN(int(leaveModes)))}
	if rng.IntN(2) == 0 {
		l.after = time.Duration(rng.Float64() * float64(deadline) / 2)
	}
	return l
}

// leaveEarly leaves as drawn, unless an answer comes first. It returns true if the client does not read any more.
func (f *flow) leaveEarly(c net.Conn) (gone bool) {
	wait := time.NewTimer(f.earlyLeave.after)
	defer wait.Stop()
	select {
	case <-wait.C:
	case line, ok := <-f.lines:
		if ok {
			f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		}
		return true // the flow, if there is one, ends here
	}
	tcp := c.(*net.TCPConn)
	switch f.earlyLeave.mode {
	case leaveByReset:
		tcp.SetLinger(0)
		tcp.Close()
	case leaveByClose:
		tcp.Close()
	case leaveByHalfClose:
		tcp.CloseWrite()
	}
	stillReading := f.earlyLeave.mode == leaveByHalfClose
	f.locked(func(at time.Duration) { f.judge.ClientLeft(at, f.id, stillReading) })
	return !stillReading
}
