package scenariorunner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/scenario"
)

// outcome is how an attempt of a session ended. The values are keys of Result.Answers.
type outcome string

const (
	outcomeEnded      outcome = "ended"      // the client ended its flow, or the relay did with BYE
	outcomeMoved      outcome = "moved"      // the client was told to move
	outcomeBroken     outcome = "broken"     // the flow broke
	outcomeRejected   outcome = "rejected"   // BUSY
	outcomeFailed     outcome = "failed"     // any other final answer
	outcomeRefused    outcome = "refused"    // no connection
	outcomeUnanswered outcome = "unanswered" // no final answer
	outcomeLeft       outcome = "left"       // the client left early
	outcomeCutShort   outcome = "cut short"  // the run ended
)

// flow is one attempt of a session at a relay.
type flow struct {
	*session
	relay        *relay
	id, openLine string
	earlyLeave   *earlyLeave // nil: the client waits for its answer
	lines        chan string // from the relay; closed at the end of the connection
}

const (
	// answerMargin is how much longer than its deadline a client waits. The judge calls an answer after the deadline late.
	answerMargin = 500 * time.Millisecond
	// furtherAnswerWait is how long a client reads on after a final answer that ends the attempt.
	furtherAnswerWait = 20 * time.Millisecond
	// maxUnreadLines is how many lines may wait in flow.lines.
	maxUnreadLines = 16
)

// attempt makes the attempt. It returns how that ended and, if it was rejected, after how long the client may retry.
func (f *flow) attempt(ctx context.Context) (outcome, time.Duration) {
	c, err := net.DialTimeout("tcp", f.front.addrs[f.relay.name], f.deadline)
	if err != nil {
		return outcomeRefused, 0
	}
	defer c.Close()
	f.locked(func(at time.Duration) { f.judge.RequestSent(at, f.id, f.relay.name, f.deadline, f.effect) })
	if _, err := io.WriteString(c, f.openLine+"\r\n"); err != nil {
		f.locked(func(time.Duration) { f.judge.ClientGaveUp(f.id) })
		return outcomeRefused, 0
	}
	f.lines = make(chan string, maxUnreadLines)
	go f.readLines(c)
	defer func() { // the reader ends when the connection does
		c.Close()
		for range f.lines {
		}
	}()
	timeout := time.NewTimer(f.deadline + answerMargin)
	defer timeout.Stop()
	if f.earlyLeave != nil && f.leaveEarly(c) {
		return outcomeLeft, 0
	}
	select {
	case <-ctx.Done():
		f.locked(func(time.Duration) { f.judge.ClientGaveUp(f.id) })
		return outcomeCutShort, 0
	case <-timeout.C:
		return outcomeUnanswered, 0
	case line, ok := <-f.lines:
		if !ok {
			return outcomeUnanswered, 0
		}
		return f.handleAnswer(ctx, c, line)
	}
}

// readLines reads the relay's lines until the connection ends.
func (f *flow) readLines(c net.Conn) {
	defer close(f.lines)
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f.lines <- strings.TrimSuffix(line, "\r\n")
	}
}

// handleAnswer continues with the first answer.
func (f *flow) handleAnswer(ctx context.Context, c net.Conn, line string) (outcome, time.Duration) {
	f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
	if f.earlyLeave != nil { // the client has ended its sending, and has its answer
		return outcomeLeft, 0
	}
	if strings.HasPrefix(line, "UP ") {
		return f.keepOpen(ctx, c), 0
	}
	f.reportFurtherAnswers()
	if rest, ok := strings.CutPrefix(line, "BUSY"); ok {
		ms, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
		return outcomeRejected, scenario.Millis(ms)
	}
	return outcomeFailed, 0
}

// reportFurtherAnswers gives the judge whatever follows a final answer at once.
func (f *flow) reportFurtherAnswers() {
	end := time.After(furtherAnswerWait)
	for {
		select {
		case line, ok := <-f.lines:
			if !ok {
				return
			}
			f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
		case <-end:
			return
		}
	}
}

// flowSilenceLimit is after how long a client ends a flow that brings nothing back: later than the judge's own limit.
const flowSilenceLimit = 8 * time.Second

// minLineInterval is the shortest interval between two ticks of an open flow.
const minLineInterval = 10 * time.Millisecond

// openFlow is a flow that is up.
type openFlow struct {
	*flow
	conn         net.Conn
	tick         *time.Timer
	countedUntil time.Duration // since when it is not yet known to have been served well
	unanswered   bool          // a line has no answer yet
	lineSentAt   time.Duration
	clientEnded  bool // the client has sent END
}

// keepOpen sends lines on a flow that is up, to the end of its session.
func (f *flow) keepOpen(ctx context.Context, c net.Conn) outcome {
	o := &openFlow{flow: f, conn: c, countedUntil: f.now()}
	f.locked(func(at time.Duration) {
		f.setupTimes.RecordValue(max((at - f.wantedSince).Microseconds(), 1))
		f.openFlows++
	})
	defer f.locked(func(time.Duration) { f.openFlows-- })
	o.tick = time.NewTimer(time.Duration(rand.Float64() * float64(o.lineInterval())))
	defer o.tick.Stop()
	for {
		select {
		case <-ctx.Done():
			o.cutShort()
			return outcomeCutShort
		case <-o.tick.C:
			if stalled := o.handleTick(); stalled {
				return outcomeBroken
			}
		case line, ok := <-f.lines:
			if result := o.handleLine(line, ok); result != "" {
				return result
			}
		}
	}
}

func (o *openFlow) lineInterval() time.Duration {
	return scenario.Millis(o.File.Clients.LineIntervalMs)
}

func (o *openFlow) answerTimeout() time.Duration {
	return scenario.Millis(o.File.Clients.AnswerWithinMs)
}

// addServed counts the time until now as served well.
func (o *openFlow) addServed(at time.Duration) {
	o.service.AddServed(o.tags, o.countedUntil, min(at, o.end))
	o.countedUntil = at
}

// cutShort ends the flow with the run. A line that is not late yet counts as answered.
func (o *openFlow) cutShort() {
	o.locked(func(time.Duration) {
		if at := o.now(); !o.unanswered || at-o.lineSentAt <= o.answerTimeout() {
			o.addServed(at)
		}
		o.judge.ClientGaveUp(o.id)
	})
}

// handleTick sends the next line, unless the last one is unanswered. It returns true if the client gives the flow up.
func (o *openFlow) handleTick() (stalled bool) {
	now := o.now()
	switch {
	case o.unanswered && now-o.lineSentAt > flowSilenceLimit:
		o.locked(func(at time.Duration) { o.judge.LineUnanswered(at, o.id, o.lineSentAt) })
		return true
	case o.unanswered:
	case now >= o.end:
		o.clientEnded = true
		o.send("END\r\n", now)
	default:
		o.send("still here\r\n", now)
	}
	next := o.lineInterval()
	if left := o.end - now; left > 0 && left < next {
		next = left
	}
	o.tick.Reset(max(next, minLineInterval))
	return false
}

func (o *openFlow) send(line string, now time.Duration) {
	o.unanswered, o.lineSentAt = true, now
	fmt.Fprint(o.conn, line)
}

// handleLine handles a line of the relay, or the end of the connection if ok is false. It returns how the flow ended; "" if it has
// not.
func (o *openFlow) handleLine(line string, ok bool) outcome {
	switch {
	case !ok:
		if o.clientEnded {
			return outcomeEnded
		}
		o.locked(func(at time.Duration) { o.judge.FlowEnded(at, o.id) })
		return outcomeBroken
	case strings.HasPrefix(line, "GOT "):
		if o.unanswered && o.now()-o.lineSentAt <= o.answerTimeout() {
			o.locked(o.addServed)
		} else {
			o.countedUntil = o.now()
		}
		o.unanswered = false
	case strings.HasPrefix(line, "LOAD "):
	case line == "MOVE":
		o.locked(o.addServed)
		return outcomeMoved
	case strings.HasPrefix(line, "BYE"):
		o.locked(o.addServed)
		return outcomeEnded
	default:
		o.locked(func(at time.Duration) { o.judge.AnswerReceived(at, o.id, line) })
	}
	return ""
}
