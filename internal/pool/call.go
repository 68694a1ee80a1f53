package pool

import (
	"errors"
	"fmt"
	"time"

	"dahliarudder/internal/http1"
	"dahliarudder/internal/netloop"
)

// ErrTimeout is wrapped by the error of a call whose answer has not come in time.
var ErrTimeout = errors.New("no answer in time")

// callState is where a call stands.
type callState int

const (
	callDialling callState = iota // its connection is on its way
	callWaiting                   // it is written and may wait for news
	callLate                      // its wait is over, and the answer has not come
	callOver                      // answered, failed or given up: nothing of it counts any more
)

// callEvent is what can befall a call.
type callEvent int

const (
	callConnected callEvent = iota // its connection stands
	callAgain                      // its connection is used for the next one
	callOverdue                    // the time of its state is up
	callEnded                      // it is answered, has failed or is given up
)

// next is the one transition function of a call. An event that means nothing in a state leaves it.
func (s callState) next(e callEvent) callState {
	switch {
	case e == callEnded:
		return callOver
	case s == callDialling && e == callConnected:
		return callWaiting
	case s == callOver && e == callAgain:
		return callWaiting
	case s == callWaiting && e == callOverdue:
		return callLate
	}
	return s
}

// call is one call of discovery, and the owner of the connection that it is made on.
type call struct {
	w      *Watcher
	conn   *netloop.Conn
	parser http1.Parser
	state  callState
	wait   time.Duration // how long discovery may hold it
	lateBy time.Duration // how long after it was written its answer is late
	within *netloop.Timer
}

// dial makes a call on a connection of its own.
func (w *Watcher) dial(wait time.Duration) {
	c := &call{w: w, wait: wait}
	w.calls = append(w.calls, c)
	c.conn = w.Dial(w.Addr, w.timing().dial, c)
}

// again makes the next call on the same connection.
func (c *call) again(wait time.Duration) {
	c.state = c.state.next(callAgain)
	c.wait = wait
	c.w.calls = append(c.w.calls, c)
	c.write()
}

// write sends the call. A whole list is asked for where none is held to go on from, and that does not wait.
func (c *call) write() {
	c.parser = http1.Parser{}
	path := "/api/targets"
	if c.w.known {
		path = fmt.Sprintf("/api/targets?since=%d&timeout_ms=%d", c.w.generation, c.wait.Milliseconds())
	} else {
		c.wait = 0
	}
	c.conn.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, c.w.Addr))
	c.lateBy = c.answerWithin()
	c.await(c.lateBy, c.late)
}

// answerWithin is how long after the call is written its answer is late.
func (c *call) answerWithin() time.Duration {
	switch {
	case c.wait > 0:
		return c.wait + lateAfter
	case c.w.refused:
		return c.w.timing().refused
	}
	return c.w.timing().answer
}

// giveUpAfter is how long after its answer was late the call is given up.
func (c *call) giveUpAfter() time.Duration {
	if c.wait > 0 {
		return c.wait + patience - c.lateBy
	}
	return c.w.timing().giveUp - c.lateBy
}

func (c *call) await(d time.Duration, then func()) {
	c.within.Stop()
	c.within = c.w.Loop.After(d, then)
}

// inTime says that the call may yet be answered before it is late.
func (c *call) inTime() bool { return c.state == callDialling || c.state == callWaiting }

// late says that the answer should have come by now. The call stays for the rest of its time.
func (c *call) late() {
	c.state = c.state.next(callOverdue)
	c.w.refused = false
	if c.giveUpAfter() == 0 {
		c.w.failed(c, ErrTimeout)
		return
	}
	c.await(c.giveUpAfter(), func() { c.w.failed(c, ErrTimeout) })
	c.w.late()
}

// Open is told by the loop.
func (c *call) Open() {
	c.state = c.state.next(callConnected)
	c.write()
}

// Drained is told by the loop.
func (c *call) Drained() {}

// Data is told by the loop.
func (c *call) Data(b []byte) int {
	if c.state == callOver { // nothing is owed on this connection
		return len(b)
	}
	n, done, err := c.parser.Feed(b)
	if err != nil {
		c.w.failed(c, err)
	} else if done {
		c.w.answered(c)
	}
	return n
}

// End is told by the loop.
func (c *call) End(err error) {
	if c.parser.FinishAtEOF() {
		c.w.answered(c)
		return
	}
	c.w.failed(c, fmt.Errorf("discovery: %w", err))
}

// end gives the call up, and its connection if that is not to be used for the next one.
func (c *call) end(keep bool) {
	c.state = c.state.next(callEnded)
	c.within.Stop()
	if !keep && c.conn != nil {
		c.conn.Finish()
		c.conn = nil
	}
}
