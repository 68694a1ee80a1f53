package consensus

import (
	"bytes"
	"context"
	"time"
)

// Report sends a report to the leader, within about a second, possibly never: a full queue drops it (ErrQueueFull) and counts.
func (n *Node) Report(report []byte) error { return n.queueReport(report) }

const (
	reportInterval       = time.Second
	maxQueuedReports     = 256 // words that wait
	maxQueuedReportBytes = 256 << 10
	reportQueueSize      = 1024
	replyQueueSize       = 256                    // answers that wait to be told
	maxReplyWaiters      = 256                    // requests that wait for answers to their words: half of what is served at a time
	replyTimeout         = 300 * time.Millisecond // less than reportInterval: who gave a word up would say it again elsewhere
)

type reportMessage struct {
	from    string
	content []byte
	reply   chan<- []byte // with room for its answer; nil in the ring of answers
}

// handleReport has a word heard, and gives the answer to who waits for it.
func (n *Node) handleReport(s reportMessage) {
	var a []byte
	if n.options.OnReport != nil {
		a = n.options.OnReport(s.from, s.content)
	}
	if len(a) > MaxReplySize {
		n.countDropped("answersize")
		a = nil
	}
	s.reply <- a
}

// queueReport puts a word into the ring for the leader.
func (n *Node) queueReport(word []byte) error {
	if len(word) > MaxReportSize {
		return ErrTooLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queuedReports) >= maxQueuedReports || n.queuedReportBytes+len(word) > maxQueuedReportBytes {
		n.dropped["said"]++
		return ErrQueueFull
	}
	n.queuedReports = append(n.queuedReports, bytes.Clone(word))
	n.queuedReportBytes += len(word)
	return nil
}

// reportLoop brings what was said to the leader, once a second. What does not arrive is lost, and counted.
func (n *Node) reportLoop() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-n.quit:
			return
		case <-t.C:
		}
		n.mu.Lock()
		words := n.queuedReports
		n.queuedReports, n.queuedReportBytes = nil, 0
		n.mu.Unlock()
		if len(words) > 0 && !n.deliverReports(words) {
			n.countDropped("unheard")
		}
	}
}

func (n *Node) deliverReports(words [][]byte) bool {
	if _, here, _ := n.knownLeader(); here {
		n.queueReplies(n.options.Name, n.processReports(n.ctx, n.options.Name, words))
		return true
	}
	b := putBytes(putUints(nil, 0), n.options.Name)
	b = putList(b, words)
	// By the voter whose stream is read, else by the leader: a voter has its way to the leader open.
	list := n.leaderCandidates()
	n.mu.Lock()
	via := n.followState.source
	n.mu.Unlock()
	for i, m := range list {
		if m.Name == via {
			list[0], list[i] = list[i], list[0]
		}
	}
	for _, m := range list {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		a, err := n.client.call(ctx, m.Name, m.Addr, requestReport, b)
		cancel()
		if err == nil && a[0] == codeOK {
			r := reader{rest: a[1:]}
			leader, answers := r.string(), r.list(len(words))
			if r.finish() == nil {
				n.queueReplies(leader, answers)
			}
			return true
		}
		if n.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// processReports puts words into the leader's ring, and waits for the answers: not for long, and not if many wait already. The words count in any case.
func (n *Node) processReports(ctx context.Context, from string, words [][]byte) (answers [][]byte) {
	back := make(chan []byte, len(words))
	wait := 0
	for _, w := range words {
		select {
		case n.incomingReports <- reportMessage{from, w, back}:
			wait++
		default:
			n.countDropped("heard")
		}
	}
	select {
	case n.replyWaiters <- struct{}{}:
		defer func() { <-n.replyWaiters }()
	default:
		n.countDropped("unanswered")
		return nil
	}
	late := time.NewTimer(replyTimeout)
	defer late.Stop()
	for range wait {
		select {
		case a := <-back:
			if len(a) > 0 {
				answers = append(answers, a)
			}
			continue
		case <-late.C:
			n.countDropped("unanswered")
		case <-ctx.Done():
		case <-n.quit:
		}
		break
	}
	return answers
}

func (n *Node) queueReplies(leader string, answers [][]byte) {
	for _, a := range answers {
		select {
		case n.incomingReplies <- reportMessage{from: leader, content: a}:
		default:
			n.countDropped("told")
		}
	}
}

func (n *Node) handleReports(ctx context.Context, body []byte) []byte {
	return n.atLeader(ctx, requestReport, body, func(r reader) []byte {
		from, words := r.string(), r.list(maxQueuedReports)
		if err := r.finish(); err != nil {
			return rejection(err)
		}
		return putList(putBytes([]byte{codeOK}, n.options.Name), n.processReports(ctx, from, words))
	})
}
