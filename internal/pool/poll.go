package pool

import (
	"errors"
	"fmt"
	"time"

	"dahliarudder/internal/http1"
	"dahliarudder/internal/netloop"
)

// ErrTimeout is wrapped by the error of a poll that was not answered in time.
var ErrTimeout = errors.New("discovery sent no answer in time")

// pollState is the state of a poll.
type pollState int

const (
	pollDialing pollState = iota // the connection is being established
	pollWaiting                  // the request is sent; discovery may delay the answer until a change
	pollOverdue                  // the answer is late
	pollDone                     // answered, failed or abandoned: data received for it is ignored
)

// pollEvent is an event of a poll.
type pollEvent int

const (
	pollConnected pollEvent = iota // the connection is established
	pollReused                     // the connection is used for the next poll
	pollTimedOut                   // the timeout of the current state has expired
	pollEnded                      // the poll was answered, has failed or is abandoned
)

// next is the transition function of a poll. An event that does not apply to the state is ignored.
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

// poll is one request to discovery. It owns the connection on which it is sent.
type poll struct {
	watcher      *Watcher
	conn         *netloop.Conn
	parser       http1.Parser
	state        pollState
	maxWait      time.Duration // how long discovery may delay the answer; 0 for an immediate answer
	overdueAfter time.Duration // time from sending the request until the answer is overdue
	timer        *netloop.Timer
}

// dial starts a poll on a new connection.
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

// send sends the request. Without a list to continue from it requests the full list, which discovery
// answers at once.
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

// answerTimeout returns the time from sending the request until the answer is overdue.
func (p *poll) answerTimeout() time.Duration {
	switch {
	case p.maxWait > 0:
		return p.maxWait + overdueMargin
	case p.watcher.lastRejected:
		return p.watcher.timing().answerAfterRejection
	}
	return p.watcher.timing().answer
}

// abandonAfter returns the time from the answer becoming overdue until the poll is abandoned.
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

// pending reports whether the poll is in flight and its answer not yet overdue.
func (p *poll) pending() bool { return p.state == pollDialing || p.state == pollWaiting }

// handleOverdue starts a second poll beside an overdue one, which continues until it is abandoned.
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
	if p.state == pollDone { // no answer is expected on this connection
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

// close ends the poll, and closes its connection unless keepConn is set for the next poll.
func (p *poll) close(keepConn bool) {
	p.state = p.state.next(pollEnded)
	p.timer.Stop()
	if !keepConn && p.conn != nil {
		p.conn.Finish()
		p.conn = nil
	}
}
