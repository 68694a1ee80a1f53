package integration

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// troubles is the ways in which the relay's system calls fail for a while, all that Linux documents of them.
var troubles = map[string][]failing{
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
	for what, plan := range troubles {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			const members, before, amid, after = 3, 6, 12, 6
			tries := fakes.NewAttemptCounter()
			var list []member
			var all []*backend
			for i := range members {
				b := newBackend(t, fmt.Sprintf("s-%08x", 0x5be2a000+i*0x01234567), tries)
				all, list = append(all, b), append(list, b.member())
			}
			d := newDiscovery(t, list...)
			r := newFaultyRelay(t, configure(t, d, nil), 1, 0)
			waitFor(t, "the first watch", func() bool { return d.Calls() > 1 })
			held := r.descriptors()
			flows := r.openFlows(before)
			r.setFaults(0, plan...)
			asked := time.Now()
			var amidst []*client
			for n := range amid {
				amidst = append(amidst, r.openFlow(100+n, ""))
			}
			if what == "accept never" || what == "no way" { // nothing of it goes by itself
				time.Sleep(drainGrace)
			} else {
				for _, c := range amidst[:amid/2] {
					c.wantAnswerInTime(asked)
				}
			}
			r.setFaults(0)
			for _, c := range amidst {
				c.wantAnswerInTime(asked)
			}
			for _, c := range amidst {
				c.Close()
			}
			waitFor(t, "room at the members", func() bool {
				held := 0
				for _, b := range all {
					held += b.OpenFlows()
				}
				return held == before
			})
			sent := firstLineCount(all)
			for n := range after {
				c := r.openFlow(200+n, "")
				c.wantLine("UP ")
				flows = append(flows, c)
			}
			if more := firstLineCount(all) - sent; more != after {
				t.Errorf("%d attempts for %d requests after the trouble", more, after)
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
			r.waitDescriptorsReleased(held)
			for _, broken := range tries.Violations() {
				t.Error(broken)
			}
		})
	}
}

// wantAnswerInTime wants one final answer, in time; of a request that was answered already it wants nothing more.
func (c *client) wantAnswerInTime(asked time.Time) {
	c.t.Helper()
	if c.finalAnswer != "" {
		return
	}
	c.finalAnswer = c.line()
	took := time.Since(asked)
	switch word, _, _ := strings.Cut(c.finalAnswer, " "); word {
	case "UP":
	case "BUSY", "ERR":
		c.wantLine(io.EOF.Error())
	default:
		c.t.Errorf("answered %q", c.finalAnswer)
	}
	if most := 2900*time.Millisecond + lostAnswerDelay; took > most {
		c.t.Errorf("%q after %v", c.finalAnswer, took)
	}
}

// firstLineCount is how many first lines have come to all of them.
func firstLineCount(all []*backend) (n int) {
	for _, b := range all {
		n += len(b.firstLines())
	}
	return n
}
