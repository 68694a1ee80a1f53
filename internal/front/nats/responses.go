package nats

// response is the answer to a command. Responses are sent in the order of the commands, each once
// its conditions hold.
type response struct {
	seq          uint64        // publications up to this one have their final answer
	subscription *subscription // this subscription is acknowledged
	untilEnded   bool          // the subscription has ended, instead
	// What members have sent to the client by then goes first: a publication and the
	// subscription that receives it are on different links.
	fence bool
	text  string
	then  func()
}

// fence waits until a PING on each link with subscriptions is answered. Members had taken the publications up to
// seq before it began, so their messages precede the answers.
type fence struct {
	client    *client
	seq       uint64
	remaining int
}

// linkDone records that one link has answered.
func (f *fence) linkDone() {
	if f.remaining--; f.remaining == 0 {
		f.client.fencedSeq, f.client.fenceActive = f.seq, false
		f.client.scheduleResume()
	}
}

// ensureFenced reports whether the messages caused by the publications up to seq have arrived on all links. If not, it
// starts a fence, which calls scheduleResume.
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

// scheduleResume has the loop send the responses that are due and resume the commands that wait.
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

// isQuiescent reports whether all commands of the client are complete.
func (c *client) isQuiescent() bool {
	return c.pendingSubscribes == 0 && len(c.responses) == 0 && c.oldestUnanswered() > c.publishSeq
}

// oldestUnanswered is the sequence number of the oldest publication without a final answer, or the next one if there is
// none.
func (c *client) oldestUnanswered() uint64 {
	oldest := c.publishSeq + 1
	for _, p := range c.publishers {
		if seq, ok := p.feed.OldestSequence(); ok {
			oldest = min(oldest, seq)
		}
	}
	return oldest
}

// subscriptionSettled reports whether the response's subscription is in the state that the response waits for.
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

// respond queues a response behind all commands so far.
func (c *client) respond(r response) {
	r.seq = c.publishSeq
	if c.responses = append(c.responses, r); len(c.responses) == 1 {
		c.flushResponses()
	}
}

// respondOK answers a command of a verbose client.
func (c *client) respondOK() {
	if c.options.Verbose {
		c.respond(response{text: okLine})
	}
}
