package consensus

import (
	"bytes"
	"context"
	"slices"
	"time"
)

const (
	reportInterval       = time.Second
	maxQueuedReports     = 256
	maxQueuedReportBytes = 256 << 10
	reportQueueSize      = 1024 // reports that wait for OnReport
	replyQueueSize       = 256  // replies that wait for OnReply
	maxReplyWaiters      = 256  // requests that wait for replies: half of maxRequests
	// replyTimeout is less than forwardTimeout: a sender whose request timed out would send the same
	// reports to another voter.
	replyTimeout = 300 * time.Millisecond
)

// incomingReport holds the arguments of a queued call of OnReport, and the channel for its reply.
type incomingReport struct {
	from    string
	content []byte
	reply   chan<- []byte // has capacity for the reply
}

// incomingReply holds the arguments of a queued call of OnReply.
type incomingReply struct {
	leader  string
	content []byte
}

// Report queues a report for the leader. The report is sent within about a second and may be lost.
// Report returns ErrTooLarge if the report exceeds MaxReportSize, and ErrQueueFull if the queue is full: the
// report is then dropped and counted in Status.Dropped.
func (n *Node) Report(report []byte) error {
	if len(report) > MaxReportSize {
		return ErrTooLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queuedReports) >= maxQueuedReports || n.queuedReportBytes+len(report) > maxQueuedReportBytes {
		n.dropped[droppedReports]++
		return ErrQueueFull
	}
	n.queuedReports = append(n.queuedReports, bytes.Clone(report))
	n.queuedReportBytes += len(report)
	return nil
}

// reportLoop sends the queued reports to the leader every reportInterval. A batch that no relay
// accepts is lost, and counted once.
func (n *Node) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.quit:
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		reports := n.queuedReports
		n.queuedReports, n.queuedReportBytes = nil, 0
		n.mu.Unlock()
		if len(reports) > 0 && !n.deliverReports(reports) {
			n.countDropped(droppedUndelivered)
		}
	}
}

// deliverReports sends reports to the leader, directly or through another voter, and queues the
// replies. It returns false if no relay accepted the reports.
func (n *Node) deliverReports(reports [][]byte) bool {
	if _, isSelf, _ := n.knownLeader(); isSelf {
		n.queueReplies(n.options.Name, n.processReports(n.ctx, n.options.Name, reports))
		return true
	}
	body := putList(putBytes(putUints(nil, 0), n.options.Name), reports)
	for _, v := range n.reportCandidates() {
		ctx, cancel := context.WithTimeout(n.ctx, forwardTimeout)
		response, err := n.client.call(ctx, v, requestReport, body)
		cancel()
		if err == nil && response[0] == codeOK {
			r := reader{rest: response[1:]}
			leader, replies := r.string(), r.list(len(reports))
			if r.finish() == nil {
				n.queueReplies(leader, replies)
			}
			return true
		}
		if n.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// reportCandidates returns the leader candidates, beginning with the voter whose stream this relay
// follows, since that voter has a connection to the leader.
func (n *Node) reportCandidates() []voter {
	candidates := n.leaderCandidates()
	n.mu.Lock()
	source := n.followState.source
	n.mu.Unlock()
	if i := slices.IndexFunc(candidates, func(v voter) bool { return v.name == source }); i > 0 {
		candidates[0], candidates[i] = candidates[i], candidates[0]
	}
	return candidates
}

// handleReports processes the reports of another relay if this one is the leader, and otherwise
// forwards them to the leader.
func (n *Node) handleReports(ctx context.Context, body []byte) []byte {
	return n.handleAtLeader(ctx, requestReport, body, func(r reader) []byte {
		from, reports := r.string(), r.list(maxQueuedReports)
		if err := r.finish(); err != nil {
			return rejection(err)
		}
		return putList(putBytes([]byte{codeOK}, n.options.Name), n.processReports(ctx, from, reports))
	})
}

// processReports queues reports at the leader and waits for the replies, for at most replyTimeout.
// If maxReplyWaiters requests wait already, it queues the reports and returns without replies.
func (n *Node) processReports(ctx context.Context, from string, reports [][]byte) (replies [][]byte) {
	reply := make(chan []byte, len(reports))
	queued := 0
	for _, report := range reports {
		select {
		case n.incomingReports <- incomingReport{from, report, reply}:
			queued++
		default:
			n.countDropped(droppedIncomingReports)
		}
	}
	select {
	case n.replyWaiters <- struct{}{}:
		defer func() { <-n.replyWaiters }()
	default:
		n.countDropped(droppedUnanswered)
		return nil
	}
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	for range queued {
		select {
		case r := <-reply:
			if len(r) > 0 {
				replies = append(replies, r)
			}
			continue
		case <-timeout.C:
			n.countDropped(droppedUnanswered)
		case <-ctx.Done():
		case <-n.quit:
		}
		break
	}
	return replies
}

// callOnReport calls OnReport and passes the reply to the request that waits for it.
func (n *Node) callOnReport(r incomingReport) {
	var reply []byte
	if n.options.OnReport != nil {
		reply = n.options.OnReport(r.from, r.content)
	}
	if len(reply) > MaxReplySize {
		n.countDropped(droppedReplySize)
		reply = nil
	}
	r.reply <- reply
}

// queueReplies queues replies for OnReply.
func (n *Node) queueReplies(leader string, replies [][]byte) {
	for _, reply := range replies {
		select {
		case n.incomingReplies <- incomingReply{leader, reply}:
		default:
			n.countDropped(droppedReplies)
		}
	}
}
