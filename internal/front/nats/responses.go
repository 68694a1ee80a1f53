package nats

// response is the answer to a command, given when what stands before it is done.
type response struct {
	seq          uint64        // publications up to this one have their final answer
	subscription *subscription // that this subscription stands or was refused; or has ended, if ends
	untilEnded   bool
	// What members have sent to the client by then comes first: a publication and the
	// subscription that takes it are on links of their own.
	fence bool
	text  string
	then  func()
}

// fence is a PING on every link that holds subscriptions. Publications up to its mark were taken
// before it.
type fence struct {
	client    *client
	seq       uint64
	remaining int
}

func (b *fence) linkPassed() {
	if b.remaining--; b.remaining == 0 {
		b.client.fencedSeq, b.client.fenceActive = b.seq, false
		b.client.scheduleResume()
	}
}

// linksPast says whether all links are past what the publications up to a mark have brought, and if
// not has them say so.
func (c *client) linksPast(mark uint64) bool {
	if c.fencedSeq >= mark {
		return true
	}
	if c.fenceActive {
		return false
	}
	b := &fence{client: c, seq: mark, remaining: 1}
	c.fenceActive = true
	for _, l := range c.links {
		if l.publisher == nil && l.ready {
			b.remaining++
			l.addFence(b)
		}
	}
	if b.remaining == 1 {
		c.fencedSeq, c.fenceActive = mark, false
		return true
	}
	b.remaining--
	return false
}

// scheduleResume gives the answers that are due and takes up the commands that waited.
func (c *client) scheduleResume() {
	if c.resumeScheduled || c.closed {
		return
	}
	c.resumeScheduled = true
	c.front.Loop.After(0, func() {
		c.resumeScheduled = false
		c.flushResponses()
		c.conn.ResumeReading()
		if c.halfClosed && c.isQuiescent() {
			c.close()
		}
	})
}

// isQuiescent says that everything the client has sent is done.
func (c *client) isQuiescent() bool {
	return c.pendingSubscribes == 0 && len(c.responses) == 0 && c.oldestUnanswered() > c.publishSeq
}

// oldestUnanswered is the mark of the oldest publication without a final answer, or one beyond all.
func (c *client) oldestUnanswered() uint64 {
	least := c.publishSeq + 1
	for _, p := range c.publishers {
		if mark, ok := p.feed.OldestSequence(); ok {
			least = min(least, mark)
		}
	}
	return least
}

// flushResponses gives the answers that are due, in their order.
func (c *client) flushResponses() {
	if len(c.responses) == 0 {
		return
	}
	oldest := c.oldestUnanswered()
	for len(c.responses) > 0 && !c.closed {
		t := c.responses[0]
		if t.seq >= oldest || t.subscription != nil && !(t.subscription.acknowledged && !t.untilEnded || t.subscription.ended && !t.subscription.draining) {
			return
		}
		if t.fence && !c.linksPast(t.seq) {
			return
		}
		c.responses = c.responses[1:]
		if t.text != "" {
			c.write([]byte(t.text))
		}
		if t.then != nil {
			t.then()
		}
	}
	if len(c.responses) == 0 {
		c.responses = nil
	}
}

// respond has a text said once all before it is done.
func (c *client) respond(t response) {
	t.seq = c.publishSeq
	if c.responses = append(c.responses, t); len(c.responses) == 1 {
		c.flushResponses()
	}
}

func (c *client) respondOK() {
	if c.options.Verbose {
		c.respond(response{text: "+OK\r\n"})
	}
}
