package pool

import (
	"errors"
	"fmt"
	"time"

	"dahliarudder/internal/http1"
	"dahliarudder/internal/netloop"
)

// ErrTimeout is wrapped by the error of a poll that was not answered in time.
var ErrTimeout = errors.New("no answer in time")

// pollState is the state of a poll.
type pollState int

const (
	pollDialing pollState = iota // its connection is being set up
	pollWaiting                  // it is sent, and discovery may hold it until something changes
	pollOverdue                  // the answer should have come and has not
	pollDone                     // answered, failed or abandoned: nothing that comes for it counts any more
)

// pollEvent is an event of a poll.
type pollEvent int

const (
	pollConnected pollEvent = iota // its connection is established
	pollReused                     // its connection is used for the next poll
	pollTimedOut                   // the timeout of its state has passed
	pollEnded                      // it is answered, has failed or is abandoned
)

// next is the transition function of a poll. An event that does not apply in a state leaves it as it is.
func (s pollState) next(e pollEvent) pollState {
	switch {
	case e == pollEnded:
		return pollDone
	case s == pollDialing && e == pollConnected:
		return pollWaiting
	case s == pollDone && e == pollReused:
		return pollWaiting
	case s == pollWaiting && e == pollTimedOut:
		return pollOverdue
	}
	return s
}

// poll is one request to discovery. It owns the connection that it is sent on.
type poll struct {
	watcher      *Watcher
	conn         *netloop.Conn
	parser       http1.Parser
	state        pollState
	maxWait      time.Duration // how long discovery may hold it; 0 for an immediate answer
	overdueAfter time.Duration // how long after it was sent the answer is overdue
	timer        *netloop.Timer
}

// dial sends a poll on a new connection.
func (w *Watcher) dial(wait time.Duration) {
	p := &poll{watcher: w, maxWait: wait}
	w.polls = append(w.polls, p)
	p.conn = w.Dial(w.Addr, w.timing().dial, p)
}

// reuse sends the next poll on the same connection.
func (p *poll) reuse(wait time.Duration) {
	p.state = p.state.next(pollReused)
	p.maxWait = wait
	p.watcher.polls = append(p.watcher.polls, p)
	p.send()
}

// send sends the request. Without a list to continue from it asks for the full one, which is answered at once.
func (p *poll) send() {
	p.parser = http1.Parser{}
	path := "/api/targets"
	if p.watcher.hasList {
		path = fmt.Sprintf("/api/targets?since=%d&timeout_ms=%d", p.watcher.generation, p.maxWait.Milliseconds())
	} else {
		p.maxWait = 0
	}
	p.conn.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, p.watcher.Addr))
	p.overdueAfter = p.answerTimeout()
	p.setTimer(p.overdueAfter, p.handleOverdue)
}

// answerTimeout is how long after it is sent the answer is overdue.
func (p *poll) answerTimeout() time.Duration {
	switch {
	case p.maxWait > 0:
		return p.maxWait + overdueMargin
	case p.watcher.lastRejected:
		return p.watcher.timing().answerAfterRejection
	}
	return p.watcher.timing().answer
}

// abandonAfter is how long after its answer was overdue the poll is abandoned.
func (p *poll) abandonAfter() time.Duration {
	if p.maxWait > 0 {
		return p.maxWait + abandonMargin - p.overdueAfter
	}
	return p.watcher.timing().abandon - p.overdueAfter
}

func (p *poll) setTimer(d time.Duration, then func()) {
	p.timer.Stop()
	p.timer = p.watcher.Loop.After(d, then)
}

// pending reports whether the poll may still be answered before it is overdue.
func (p *poll) pending() bool { return p.state == pollDialing || p.state == pollWaiting }

// handleOverdue starts a second poll beside one that should have been answered by now. The first one goes on until it is abandoned.
func (p *poll) handleOverdue() {
	p.state = p.state.next(pollTimedOut)
	p.watcher.lastRejected = false
	if p.abandonAfter() == 0 {
		p.watcher.handleFailure(p, ErrTimeout)
		return
	}
	p.setTimer(p.abandonAfter(), func() { p.watcher.handleFailure(p, ErrTimeout) })
	p.watcher.startSecondPoll()
}

// Open implements netloop.Handler.
func (p *poll) Open() {
	p.state = p.state.next(pollConnected)
	p.send()
}

// Drained implements netloop.Handler.
func (p *poll) Drained() {}

// Data implements netloop.Handler.
func (p *poll) Data(b []byte) int {
	if p.state == pollDone { // no answer is due on this connection
		return len(b)
	}
	n, done, err := p.parser.Feed(b)
	if err != nil {
		p.watcher.handleFailure(p, err)
	} else if done {
		p.watcher.handleAnswer(p)
	}
	return n
}

// End implements netloop.Handler.
func (p *poll) End(err error) {
	if p.parser.FinishAtEOF() {
		p.watcher.handleAnswer(p)
		return
	}
	p.watcher.handleFailure(p, fmt.Errorf("discovery: %w", err))
}

// close ends the poll, and its connection unless the next poll is to use it.
func (p *poll) close(keepConn bool) {
	p.state = p.state.next(pollEnded)
	p.timer.Stop()
	if !keepConn && p.conn != nil {
		p.conn.Finish()
		p.conn = nil
	}
}
