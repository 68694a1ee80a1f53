package nats

// response is the answer to a command. Responses are sent in the order of the commands, each once
// the conditions in its fields hold.
type response struct {
	seq          uint64        // publications up to this one have their final answer
	subscription *subscription // this subscription is acknowledged; nil for no condition
	untilEnded   bool          // the subscription has ended, instead of being acknowledged
	// fence: the messages that members sent before they answered a PING have arrived. It is needed
	// since a publication and the subscription that receives it are on different links.
	fence bool
	text  string // sent to the client; may be empty
	then  func() // called after that; may be nil
}

// fence waits until each link with subscriptions has answered a PING. Members have accepted the
// publications up to seq before the fence starts, so the resulting messages precede the answers.
type fence struct {
	client    *client
	seq       uint64
	remaining int
}

// linkDone records that one link has answered or is closed.
func (f *fence) linkDone() {
	if f.remaining--; f.remaining == 0 {
		f.client.fencedSeq, f.client.fenceActive = f.seq, false
		f.client.scheduleResume()
	}
}

// ensureFenced reports whether the messages caused by the publications up to seq have arrived on all
// links. If not, it starts a fence, which calls scheduleResume when it is complete.
func (c *client) ensureFenced(seq uint64) bool {
	if c.fencedSeq >= seq {
		return true
	}
	if c.fenceActive {
		return false
	}
	f := &fence{client: c, seq: seq, remaining: 1}
	c.fenceActive = true
	for _, l := range c.links {
		if l.publisher == nil && l.ready {
			f.remaining++
			l.addFence(f)
		}
	}
	if f.remaining == 1 {
		c.fencedSeq, c.fenceActive = seq, false
		return true
	}
	f.remaining--
	return false
}

// scheduleResume schedules a call that sends the responses that are due and resumes commands that wait.
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
		c.closeIfAnswered()
	})
}

// isQuiescent reports whether all commands of the client are complete.
func (c *client) isQuiescent() bool {
	return c.pendingSubscribes == 0 && len(c.responses) == 0 && c.oldestUnanswered() > c.publishSeq
}

// oldestUnanswered returns the sequence number of the oldest publication without a final answer, or
// the next sequence number if there is none.
func (c *client) oldestUnanswered() uint64 {
	oldest := c.publishSeq + 1
	for _, p := range c.publishers {
		if seq, ok := p.feed.OldestSequence(); ok {
			oldest = min(oldest, seq)
		}
	}
	return oldest
}

// subscriptionSettled reports whether the response's subscription is in the state that the response
// waits for.
func (r *response) subscriptionSettled() bool {
	s := r.subscription
	return s.acknowledged && !r.untilEnded || s.ended && !s.draining
}

// flushResponses sends the responses that are due, in order.
func (c *client) flushResponses() {
	if len(c.responses) == 0 {
		return
	}
	oldest := c.oldestUnanswered()
	for len(c.responses) > 0 && !c.closed {
		r := c.responses[0]
		if r.seq >= oldest || r.subscription != nil && !r.subscriptionSettled() {
			return
		}
		if r.fence && !c.ensureFenced(r.seq) {
			return
		}
		c.responses = c.responses[1:]
		if r.text != "" {
			c.write([]byte(r.text))
		}
		if r.then != nil {
			r.then()
		}
	}
	if len(c.responses) == 0 {
		c.responses = nil
	}
}

// respond queues a response after the responses to all earlier commands.
func (c *client) respond(r response) {
	r.seq = c.publishSeq
	if c.responses = append(c.responses, r); len(c.responses) == 1 {
		c.flushResponses()
	}
}

// respondOK queues +OK if the client is verbose.
func (c *client) respondOK() {
	if c.options.Verbose {
		c.respond(response{text: okLine})
	}
}
