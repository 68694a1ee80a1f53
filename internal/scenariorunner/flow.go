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
	outcomeMoved      outcome = "moved"      // the relay sent the client MOVE
	outcomeBroken     outcome = "broken"     // the flow ended unexpectedly or stopped answering
	outcomeRejected   outcome = "rejected"   // the final answer was BUSY
	outcomeFailed     outcome = "failed"     // a final answer other than UP and BUSY
	outcomeRefused    outcome = "refused"    // connecting or sending the request failed
	outcomeUnanswered outcome = "unanswered" // no final answer within the deadline and answerMargin
	outcomeLeft       outcome = "left"       // the client left early
	outcomeCutShort   outcome = "cut short"  // the run ended during the attempt
)

// flow is one attempt of a session at a relay.
type flow struct {
	*session
	relay        *relay
	id, openLine string
	earlyLeave   *earlyLeave // nil if the client waits for its answer
	lines        chan string // received from the relay; closed when the connection ends
}

const (
	// answerMargin is how much longer than its deadline a client waits for an answer, so that the
	// judge sees and reports a late one.
	answerMargin = 500 * time.Millisecond
	// furtherAnswerWait is how long a client keeps reading after a final answer that ends the
	// attempt, to detect a second answer.
	furtherAnswerWait = 20 * time.Millisecond
	// maxUnreadLines is the capacity of flow.lines.
	maxUnreadLines = 16
)

// attempt connects to the relay, sends the request and handles the answer. It returns the outcome
// and, if the attempt was rejected, the delay after which the client may retry.
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
	defer func() { // drains the channel until readLines returns, which closing the connection causes
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

// handleAnswer handles the first answer to the request.
func (f *flow) handleAnswer(ctx context.Context, c net.Conn, line string) (outcome, time.Duration) {
	f.locked(func(at time.Duration) { f.judge.AnswerReceived(at, f.id, line) })
	if f.earlyLeave != nil { // the client has closed its sending direction and opens no flow
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

// reportFurtherAnswers passes lines that follow a final answer within furtherAnswerWait to the judge.
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

// flowSilenceLimit is how long a client waits for the answer to a line before it ends the flow. It
// is longer than the judge's own limit.
const flowSilenceLimit = 8 * time.Second

// minLineInterval is the shortest interval between two ticks of an open flow.
const minLineInterval = 10 * time.Millisecond

// openFlow is a flow that the relay has answered with UP.
type openFlow struct {
	*flow
	conn         net.Conn
	tick         *time.Timer
	countedUntil time.Duration // until then, each moment is already counted as served or not served
	unanswered   bool          // the last line has no answer yet
	lineSentAt   time.Duration
	clientEnded  bool // the client has sent END
}

// keepOpen sends lines on an open flow until the flow or its session ends.
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

// addServed counts the time since countedUntil as served.
func (o *openFlow) addServed(at time.Duration) {
	o.service.AddServed(o.tags, o.countedUntil, min(at, o.end))
	o.countedUntil = at
}

// cutShort ends the flow when the run ends. A line whose answer is not late yet counts as answered.
func (o *openFlow) cutShort() {
	o.locked(func(time.Duration) {
		if at := o.now(); !o.unanswered || at-o.lineSentAt <= o.answerTimeout() {
			o.addServed(at)
		}
		o.judge.ClientGaveUp(o.id)
	})
}

// handleTick sends the next line, unless the last one is unanswered. It returns true if the last
// line has been unanswered for longer than flowSilenceLimit, and the client gives up the flow.
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

// handleLine handles a line from the relay, or the end of the connection if ok is false. It returns
// the outcome, or "" if the flow continues.
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
