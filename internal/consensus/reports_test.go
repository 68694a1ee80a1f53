package consensus

import (
	"errors"
	"strings"
	"sync"
	"testing"
)

// TestReports: reports reach the leader and its replies come back, by another voter too; a slow or full relay delays no other.
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
	f.onReply = func(at, from, answer string) {
		recordCall(at, "got reply", answer)
		recordCall(at, "got reply", answer, "by", from)
		if answer == "blocked" {
			<-releaseBlocked
		}
	}
	f.startVoters()
	f.propose("v0", "a")
	leader := f.leader()
	f.dialAddresses["r0"] = map[string]string{leader: freeAddr(t)} // nobody is there: all its reports go by another voter
	f.start("r0")
	send := func(name, report string) {
		if err := f.nodes[name].Report([]byte(report)); err != nil && !errors.Is(err, ErrQueueFull) {
			t.Fatal(err)
		}
	}
	reportUntil := func(condition, report string, met func() bool) {
		f.wait(condition, func() bool { send("r0", report); return met() })
	}
	dropped := func(key string) bool { // at any node: the leader may change under load
		for _, n := range f.nodes {
			if n.Status().Dropped[key] > 0 {
				return true
			}
		}
		return false
	}
	f.wait("all reports and replies arrive, but for those too large", func() bool {
		done := dropped("answersize")
		for name := range f.nodes {
			send(name, "I am "+name)
			send(name, "large")
			done = done && wasCalled(name, "reported", "I am "+name) && wasCalled(name, "got reply", "I am "+name, "by", f.leader())
		}
		return done
	})
	reportUntil("a slow reply is given up, the next reports count", "slow", func() bool {
		for name := range f.voters {
			f.nodes[name].processReports(f.nodes[name].ctx, "r0", make([][]byte, reportQueueSize/8))
		}
		return dropped("unanswered") && dropped("heard")
	})
	close(releaseSlow)
	reportUntil("a relay whose OnReply blocks", "blocked", func() bool { send("r0", "after it"); return wasCalled("r0", "got reply", "blocked") })
	f.nodes["r0"].queueReplies(leader, make([][]byte, replyQueueSize+1))
	if !dropped("told") {
		t.Error("the queue of replies has no bound")
	}
	close(releaseBlocked)
	reportUntil("it gets replies again", "after it", func() bool { return wasCalled("r0", "got reply", "after it") })
	for name := range f.voters { // as if so many requests waited
		for range maxReplyWaiters {
			f.nodes[name].replyWaiters <- struct{}{}
		}
	}
	reportUntil("reports count without a place to wait", "alone", func() bool { return wasCalled("r0", "reported", "alone") })
	for range maxQueuedReports + 1 {
		send("r0", "x")
	}
	if wasCalled("r0", "got reply", "alone") || wasCalled("r0", "got reply", string(make([]byte, MaxReplySize+1))) {
		t.Error("a reply that nobody could wait for, or that is too large")
	}
	if !dropped("said") {
		t.Error("the queue of reports has no bound")
	}
}
