package scenario

import (
	"testing"
	"time"
)

// countByRule finishes a judge and counts its violations by rule.
func countByRule(j *Judge) map[Rule]int {
	found := map[Rule]int{}
	for _, b := range j.Finish(time.Hour) {
		found[b.Rule]++
	}
	return found
}

// TestJudgeStarts checks that at most one start in ten may take longer than 10 s until the relay is
// ready, and none longer than 30 s.
func TestJudgeStarts(t *testing.T) {
	for _, c := range []struct{ quick, slow, tooSlow, want int }{{10, 0, 0, 0}, {9, 1, 0, 0}, {8, 2, 0, 1}, {20, 0, 1, 1}, {0, 1, 1, 2}} {
		j := NewJudge(Rules{})
		for took, n := range map[time.Duration]int{time.Second: c.quick, usualReadyTime + 1: c.slow, maxReadyTime + 1: c.tooSlow} {
			for range n {
				j.RelayReady(0, "n0", took)
			}
		}
		if got := countByRule(j)[NotReadyInTime]; got != c.want {
			t.Errorf("%d starts under 10 s, %d over 10 s, %d over 30 s: got %d NotReadyInTime violations, want %d",
				c.quick, c.slow, c.tooSlow, got, c.want)
		}
	}
}

// TestJudgeResources checks descriptors and memory at the end of a run, at their limits and above.
func TestJudgeResources(t *testing.T) {
	j := NewJudge(Rules{})
	j.CheckResources(0, "n0", 20, 20, 64, 64)
	j.CheckResources(0, "n0", 20, 20, 64, 0)
	if found := countByRule(j); len(found) != 0 {
		t.Errorf("resources at their limits: got violations %v, want none", found)
	}
	j.CheckResources(0, "n0", 21, 20, 65, 64)
	if found := countByRule(j); found[DescriptorLeak] != 1 || found[MemoryOverLimit] != 1 {
		t.Errorf("resources above their limits: got violations %v, want one DescriptorLeak and one MemoryOverLimit", found)
	}
}

// TestJudgeEffects checks when the judge allows a request to be repeated, rejected, or sent to a
// member after its client has left, at the time limits and beyond them.
func TestJudgeEffects(t *testing.T) {
	const ms = time.Millisecond
	window := Effect{Kind: IdempotencyKey, Window: 500 * ms}
	for name, c := range map[string]struct {
		effect Effect
		record func(j *Judge)
		rule   Rule
	}{
		"idempotent request repeated":                             {Effect{}, func(j *Judge) { j.recordAttempt(0, false); j.recordAttempt(900*ms, false) }, ""},
		"repeated within the idempotency window":                  {window, func(j *Judge) { j.recordAttempt(0, false); j.recordAttempt(500*ms, false) }, ""},
		"repeated after the idempotency window":                   {window, func(j *Judge) { j.recordAttempt(1, false); j.recordAttempt(600*ms, false) }, DisallowedRepeat},
		"repeated after the window, first attempt rejected":       {window, func(j *Judge) { j.recordAttempt(1, true); j.recordAttempt(600*ms, false) }, ""},
		"non-idempotent request repeated":                         {Effect{Kind: NonIdempotent}, func(j *Judge) { j.recordAttempt(1, false); j.recordAttempt(600*ms, false) }, DisallowedRepeat},
		"non-idempotent request repeated, first attempt rejected": {Effect{Kind: NonIdempotent}, func(j *Judge) { j.recordAttempt(1, true); j.recordAttempt(600*ms, false) }, ""},
		"BUSY for a request that may have run":                    {Effect{Kind: NonIdempotent}, func(j *Judge) { j.recordAttempt(1, false); j.AnswerReceived(600*ms, "a", "BUSY 5") }, WrongRejection},
		"BUSY for a request that members rejected":                {Effect{Kind: NonIdempotent}, func(j *Judge) { j.recordAttempt(1, true); j.AnswerReceived(600*ms, "a", "BUSY 5") }, ""},
		"ERR for a request that may have run":                     {Effect{Kind: NonIdempotent}, func(j *Judge) { j.recordAttempt(1, false); j.AnswerReceived(600*ms, "a", "ERR") }, ""},
		"attempt just after the client left":                      {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", false); j.recordAttempt(200*ms, false) }, ""},
		"attempt long after the client left":                      {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", false); j.recordAttempt(300*ms, false) }, SentForGoneClient},
		"attempt after the client closed its sending direction": {Effect{}, func(j *Judge) {
			j.ClientLeft(100*ms, "a", true)
			j.recordAttempt(300*ms, false)
			j.AnswerReceived(400*ms, "a", "BUSY")
		}, SentForGoneClient},
		"no answer for a client that still reads": {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", true) }, NoAnswer},
	} {
		j := NewJudge(Rules{MaxAttempts: 3})
		j.RequestSent(0, "a", "n0", 2*time.Second, c.effect)
		c.record(j)
		if c.rule == "" {
			j.ClientGaveUp("a")
		}
		if found := countByRule(j); c.rule != "" && found[c.rule] != 1 || c.rule == "" && len(found) > 0 {
			t.Errorf("%s: got violations %v, want only %q (none if empty)", name, found, c.rule)
		}
	}
}

// recordAttempt records the start and the end, both at the given time, of an attempt at a member.
func (j *Judge) recordAttempt(at time.Duration, rejected bool) {
	j.AttemptStarted(at, "a", "n0", "s0", 0, 0)
	j.AttemptEnded(at, "a", "s0", 0, true, rejected)
}

// TestJudgeIdleFlood checks that a missing answer is no violation while idle connections use up a
// relay's descriptors, and is one after that.
func TestJudgeIdleFlood(t *testing.T) {
	j := NewJudge(Rules{})
	j.BeginIdleFlood(time.Second, "n0")
	j.RequestSent(2*time.Second, "during", "n0", time.Second, Effect{})
	j.EndIdleFlood(3*time.Second, "n0")
	j.RequestSent(5*time.Second, "after", "n0", time.Second, Effect{})
	if found := j.Finish(time.Hour); len(found) != 1 || found[0].Rule != NoAnswer || found[0].At < 5*time.Second {
		t.Errorf("got violations %v, want one NoAnswer after 5 s", found)
	}
}
