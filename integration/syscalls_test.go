package integration

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// faultPlans are ways in which system calls of the relay fail, with errors that Linux documents for them.
var faultPlans = map[string][]callFault{
	"none": nil,
	"accept": {
		{Call: "Accept", Errno: "ENFILE", Probability: 0.5},
		{Call: "Accept", Errno: "ECONNABORTED", Probability: 0.3},
		{Call: "Accept", Errno: "EINTR", Probability: 0.3},
	},
	"accept always fails": {{Call: "Accept", Errno: "EMFILE"}},
	"socket": {
		{Call: "Socket", Errno: "ENOBUFS", Probability: 0.5},
		{Call: "Socket", Errno: "ENFILE", Probability: 0.5},
	},
	"connect": {
		{Call: "Connect", Errno: "EADDRNOTAVAIL", Probability: 0.5},
		{Call: "Connect", Errno: "ENETUNREACH", Probability: 0.5},
		{Call: "Connect", Errno: "EINTR", Probability: 0.5},
	},
	"connect always fails": {{Call: "Connect", Errno: "ENETUNREACH"}},
	"epoll": {
		{Call: "EpollCtl", Errno: "ENOMEM", Probability: 0.5},
		{Call: "EpollWait", Errno: "EINTR", Probability: 0.5},
	},
	"short reads and writes": {{Call: "Read", Short: true}, {Call: "Write", Short: true}},
	"read and write": {
		{Call: "Read", Errno: "ENOMEM", Probability: 0.3},
		{Call: "Write", Errno: "ENOBUFS", Probability: 0.3},
		{Call: "Read", Errno: "EINTR", Probability: 0.3},
		{Call: "Write", Errno: "EAGAIN", Probability: 0.3},
	},
	"all calls": {
		{Call: "Accept", Errno: "ENOBUFS", Probability: 0.2},
		{Call: "Socket", Errno: "EMFILE", Probability: 0.2},
		{Call: "Connect", Errno: "EADDRNOTAVAIL", Probability: 0.2},
		{Call: "EpollCtl", Errno: "ENOSPC", Probability: 0.2},
		{Call: "Read", Short: true, Probability: 0.3},
		{Call: "Write", Short: true, Probability: 0.3},
		{Call: "Read", Errno: "ENOBUFS", Probability: 0.1},
		{Call: "Write", Errno: "ENOMEM", Probability: 0.1},
		{Call: "EpollWait", Errno: "EINTR", Probability: 0.3},
	},
}

// TestSystemCalls: some system calls of the relay fail for a while. Every request sent during that time
// must get one final answer in time, open flows must stay open, and the relay must not take a member for
// faulty: the first requests afterwards must each need only one attempt.
func TestSystemCalls(t *testing.T) {
	t.Parallel()
	for name, plan := range faultPlans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const members, flowsBefore, requestsDuring, requestsAfter = 3, 6, 12, 6
			counter := fakes.NewAttemptCounter()
			var list []member
			var all []*fakeMember
			for i := range members {
				b := newFakeMember(t, fmt.Sprintf("s-%08x", 0x5be2a000+i*0x01234567), counter)
				all, list = append(all, b), append(list, b.entry())
			}
			d := newDiscovery(t, list...)
			r := newFaultyRelay(t, configure(t, d, nil), 1, 0)
			waitFor(t, "the first watch at discovery", func() bool { return d.Calls() > 1 })
			descriptorsBefore := r.descriptors()
			flows := r.openFlows(flowsBefore)
			r.setFaults(0, plan...)
			sentAt := time.Now()
			var during []*client
			for n := range requestsDuring {
				during = append(during, r.openFlow(100+n, ""))
			}
			if name == "accept always fails" || name == "connect always fails" {
				time.Sleep(drainGrace) // no request is served before the faults end
			} else {
				for _, c := range during[:requestsDuring/2] {
					c.wantAnswerInTime(sentAt)
				}
			}
			r.setFaults(0)
			for _, c := range during {
				c.wantAnswerInTime(sentAt)
			}
			for _, c := range during {
				c.Close()
			}
			waitFor(t, "the members to have only the first flows", func() bool {
				openFlows := 0
				for _, b := range all {
					openFlows += b.OpenFlows()
				}
				return openFlows == flowsBefore
			})
			sent := firstLineCount(all)
			for n := range requestsAfter {
				c := r.openFlow(200+n, "")
				c.wantLine("UP ")
				flows = append(flows, c)
			}
			if attempts := firstLineCount(all) - sent; attempts != requestsAfter {
				t.Errorf("%d attempts for %d requests after the faults, want one each", attempts, requestsAfter)
			}
			for _, b := range all {
				if len(b.firstLines()) == 0 {
					t.Errorf("member %s got no attempt, want at least one", b.id)
				}
			}
			for _, c := range flows {
				c.send("still here")
				c.wantLine("LOAD ")
				c.wantLine("GOT 1 still here")
				c.Close()
			}
			r.waitDescriptorsReleased(descriptorsBefore)
			for _, violation := range counter.Violations() {
				t.Error(violation)
			}
		})
	}
}

// wantAnswerInTime reads the final answer of a request and checks that it is the only one and in time. If
// it has already been read it does nothing.
func (c *client) wantAnswerInTime(sentAt time.Time) {
	c.t.Helper()
	if c.finalAnswer != "" {
		return
	}
	c.finalAnswer = c.line()
	took := time.Since(sentAt)
	switch word, _, _ := strings.Cut(c.finalAnswer, " "); word {
	case "UP":
	case "BUSY", "ERR":
		c.wantLine(io.EOF.Error())
	default:
		c.t.Errorf("answered %q, want UP, BUSY or ERR", c.finalAnswer)
	}
	if limit := 2900*time.Millisecond + lostAnswerDelay; took > limit {
		c.t.Errorf("answered %q after %v, want at most %v", c.finalAnswer, took, limit)
	}
}

// firstLineCount returns how many first lines the members have received in total.
func firstLineCount(all []*fakeMember) (n int) {
	for _, b := range all {
		n += len(b.firstLines())
	}
	return n
}
