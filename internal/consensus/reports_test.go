package consensus

import (
	"errors"
	"strings"
	"sync"
	"testing"
)

// TestReports checks that reports reach the leader and replies reach the senders, also through another
// voter, and that a slow callback or a full queue at one relay does not delay the other relays.
func TestReports(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	seen := map[string]bool{}
	recordCall := func(words ...string) {
		mu.Lock()
		defer mu.Unlock()
		seen[strings.Join(words, " ")] = true
	}
	wasCalled := func(words ...string) bool {
		mu.Lock()
		defer mu.Unlock()
		return seen[strings.Join(words, " ")]
	}
	releaseSlow, releaseBlocked := make(chan struct{}), make(chan struct{})
	f := newCluster(t, 3, false)
	f.onReport = func(from string, report []byte) []byte {
		recordCall(from, "reported", string(report))
		switch string(report) {
		case "large":
			return make([]byte, MaxReplySize+1)
		case "slow":
			<-releaseSlow
		}
		return report
	}
	f.onReply = func(at, from, reply string) {
		recordCall(at, "got reply", reply)
		recordCall(at, "got reply", reply, "by", from)
		if reply == "blocked" {
			<-releaseBlocked
		}
	}
	f.startVoters()
	f.propose("v0", "a")
	leader := f.leader()
	// Nothing listens at this address of the leader: all reports of r0 go through another voter.
	f.dialAddresses["r0"] = map[string]string{leader: freeAddr(t)}
	f.start("r0")
	send := func(name, report string) {
		if err := f.nodes[name].Report([]byte(report)); err != nil && !errors.Is(err, ErrQueueFull) {
			t.Fatal(err)
		}
	}
	reportUntil := func(condition, report string, met func() bool) {
		f.wait(condition, func() bool { send("r0", report); return met() })
	}
	dropped := func(key string) bool { // at any node, since the leader may change under load
		for _, n := range f.nodes {
			if n.Status().Dropped[key] > 0 {
				return true
			}
		}
		return false
	}
	f.wait("all reports and replies arrive, except replies that are too large", func() bool {
		done := dropped("answersize")
		for name := range f.nodes {
			send(name, "I am "+name)
			send(name, "large")
			done = done && wasCalled(name, "reported", "I am "+name) && wasCalled(name, "got reply", "I am "+name, "by", f.leader())
		}
		return done
	})
	reportUntil("the wait for a slow reply times out, and the queue of reports at the leader overflows", "slow", func() bool {
		for name := range f.voters {
			f.nodes[name].processReports(f.nodes[name].ctx, "r0", make([][]byte, reportQueueSize/8))
		}
		return dropped("unanswered") && dropped("heard")
	})
	close(releaseSlow)
	reportUntil("OnReply of r0 blocks", "blocked", func() bool { send("r0", "after it"); return wasCalled("r0", "got reply", "blocked") })
	f.nodes["r0"].queueReplies(leader, make([][]byte, replyQueueSize+1))
	if !dropped("told") {
		t.Errorf("queueReplies(%d replies) dropped none, want a limit of %d queued replies", replyQueueSize+1, replyQueueSize)
	}
	close(releaseBlocked)
	reportUntil("r0 gets replies again", "after it", func() bool { return wasCalled("r0", "got reply", "after it") })
	for name := range f.voters { // as if maxReplyWaiters requests waited for replies at each voter
		for range maxReplyWaiters {
			f.nodes[name].replyWaiters <- struct{}{}
		}
	}
	reportUntil("a report arrives although its request cannot wait for the reply", "alone", func() bool { return wasCalled("r0", "reported", "alone") })
	for range maxQueuedReports + 1 {
		send("r0", "x")
	}
	if wasCalled("r0", "got reply", "alone") || wasCalled("r0", "got reply", string(make([]byte, MaxReplySize+1))) {
		t.Error("r0 got a reply although no request could wait for it, or a reply over MaxReplySize")
	}
	if !dropped("said") {
		t.Errorf("Report dropped none of %d reports, want a limit of %d queued reports", maxQueuedReports+1, maxQueuedReports)
	}
}
