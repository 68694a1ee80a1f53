package scenariorunner

import (
	"math/rand/v2"
	"net"
	"time"
)

// earlyLeave says when and how a client disconnects before it has received its answer.
type earlyLeave struct {
	after time.Duration // since the request was sent
	mode  leaveMode
}

type leaveMode int

const (
	leaveByClose leaveMode = iota
	leaveByReset
	leaveByHalfClose // closes the sending direction and keeps reading
	leaveModes
)

// drawEarlyLeave draws whether and how a client leaves early. It returns nil if the client stays.
func (r *run) drawEarlyLeave(rng *rand.Rand, deadline time.Duration) *earlyLeave {
	if rng.Float64() >= r.File.Clients.AbandonRate {
		return nil
	}
	// Half of these clients leave at once, while the relay is still choosing a member for them.
	l := &earlyLeave{mode: leaveMode(rng.IntN(int(leaveModes)))}
	if rng.IntN(2) == 0 {
		l.after = time.Duration(rng.Float64() * float64(deadline) / 2)
	}
	return l
}

// leaveEarly disconnects the client as drawn, unless an answer arrives first. It returns true if
// the client no longer reads from the connection.
func (f *flow) leaveEarly(c net.Conn) (stoppedReading bool) {
	wait := time.NewTimer(f.earlyLeave.after)
	defer wait.Stop()
	select {
	case <-wait.C:
	case line, ok := <-f.lines:
		if ok {
			f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		}
		return true // the client closes the connection, and with it any flow that was opened
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
