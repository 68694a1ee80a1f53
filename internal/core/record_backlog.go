package core

// RecordBacklog is the most that requests and messages without a final answer, and open flows, may
// still add to the record.
type RecordBacklog struct {
	Records   int // attempts and final answers
	NameBytes int // of the names in the final answers
}

// unanswered counts requests or messages that have no final answer yet.
type unanswered struct{ count, nameBytes int }

func (u *unanswered) add(name string) {
	u.count++
	u.nameBytes += len(name)
}

func (u *unanswered) remove(name string) {
	u.count--
	u.nameBytes -= len(name)
}

// recorderReady reports whether all that the requests and messages counted as unanswered may lead to
// would be recorded.
func (c *Core) recorderReady() bool {
	return c.Recorder == nil || c.Recorder.Ready(c.recordBacklog())
}

// recordBacklog returns what may still be recorded. A request adds a record for each attempt and one
// for its final answer; an open flow adds the end of its attempt.
func (c *Core) recordBacklog() RecordBacklog {
	perRequest := c.policyCfg.MaxAttempts + 1
	openFlows := len(c.requests) - c.unansweredRequests.count
	return RecordBacklog{
		Records:   (c.unansweredRequests.count+c.unansweredMessages.count)*perRequest + openFlows,
		NameBytes: c.unansweredRequests.nameBytes + c.unansweredMessages.nameBytes,
	}
}
