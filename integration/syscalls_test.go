package integration

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// faultPlans is the ways in which the relay's system calls fail for a while, all that Linux documents of them.
var faultPlans = map[string][]callFault{
	"none":         nil,
	"accept":       {{Call: "Accept", Errno: "ENFILE", Part: 0.5}, {Call: "Accept", Errno: "ECONNABORTED", Part: 0.3}, {Call: "Accept", Errno: "EINTR", Part: 0.3}},
	"accept never": {{Call: "Accept", Errno: "EMFILE"}},
	"socket":       {{Call: "Socket", Errno: "ENOBUFS", Part: 0.5}, {Call: "Socket", Errno: "ENFILE", Part: 0.5}},
	"connect":      {{Call: "Connect", Errno: "EADDRNOTAVAIL", Part: 0.5}, {Call: "Connect", Errno: "ENETUNREACH", Part: 0.5}, {Call: "Connect", Errno: "EINTR", Part: 0.5}},
	"no way":       {{Call: "Connect", Errno: "ENETUNREACH"}},
	"epoll":        {{Call: "EpollCtl", Errno: "ENOMEM", Part: 0.5}, {Call: "EpollWait", Errno: "EINTR", Part: 0.5}},
	"bytes":        {{Call: "Read", Short: true}, {Call: "Write", Short: true}},
	"no memory":    {{Call: "Read", Errno: "ENOMEM", Part: 0.3}, {Call: "Write", Errno: "ENOBUFS", Part: 0.3}, {Call: "Read", Errno: "EINTR", Part: 0.3}, {Call: "Write", Errno: "EAGAIN", Part: 0.3}},
	"all together": {{Call: "Accept", Errno: "ENOBUFS", Part: 0.2}, {Call: "Socket", Errno: "EMFILE", Part: 0.2}, {Call: "Connect", Errno: "EADDRNOTAVAIL", Part: 0.2}, {Call: "EpollCtl", Errno: "ENOSPC", Part: 0.2}, {Call: "Read", Short: true, Part: 0.3}, {Call: "Write", Short: true, Part: 0.3}, {Call: "Read", Errno: "ENOBUFS", Part: 0.1}, {Call: "Write", Errno: "ENOMEM", Part: 0.1}, {Call: "EpollWait", Errno: "EINTR", Part: 0.3}},
}

// TestSystemCalls: a relay's system calls fail for a while. Every request that is accepted meanwhile gets one final answer in
// time, open flows stay, no member is blamed, and the first request after it is served by its first attempt.
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
			waitFor(t, "the first watch", func() bool { return d.Calls() > 1 })
			descriptorsBefore := r.descriptors()
			flows := r.openFlows(flowsBefore)
			r.setFaults(0, plan...)
			sentAt := time.Now()
			var during []*client
			for n := range requestsDuring {
				during = append(during, r.openFlow(100+n, ""))
			}
			if name == "accept never" || name == "no way" { // nothing of it goes by itself
				time.Sleep(drainGrace)
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
			waitFor(t, "room at the members", func() bool {
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
				t.Errorf("%d attempts for %d requests after the trouble", attempts, requestsAfter)
			}
			for _, b := range all {
				if len(b.firstLines()) == 0 {
					t.Errorf("%s was never tried", b.id)
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

// wantAnswerInTime wants one final answer, in time; of a request that was answered already it wants nothing more.
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
		c.t.Errorf("answered %q", c.finalAnswer)
	}
	if limit := 2900*time.Millisecond + lostAnswerDelay; took > limit {
		c.t.Errorf("%q after %v", c.finalAnswer, took)
	}
}

// firstLineCount is how many first lines have come to all of them.
func firstLineCount(all []*fakeMember) (n int) {
	for _, b := range all {
		n += len(b.firstLines())
	}
	return n
}
