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

// TestJudgeStarts: nine in ten starts may take 10 s, none 30 s.
func TestJudgeStarts(t *testing.T) {
	for _, c := range []struct{ quick, slow, tooSlow, want int }{{10, 0, 0, 0}, {9, 1, 0, 0}, {8, 2, 0, 1}, {20, 0, 1, 1}, {0, 1, 1, 2}} {
		j := NewJudge(Rules{})
		for took, n := range map[time.Duration]int{time.Second: c.quick, usualReadyTime + 1: c.slow, maxReadyTime + 1: c.tooSlow} {
			for range n {
				j.RelayReady(0, "n0", took)
			}
		}
		if got := countByRule(j)[NotReadyInTime]; got != c.want {
			t.Errorf("%+v: found %d", c, got)
		}
	}
}

// TestJudgeResources: what a relay holds in the end, at the limits and beyond.
func TestJudgeResources(t *testing.T) {
	j := NewJudge(Rules{})
	j.CheckResources(0, "n0", 20, 20, 64, 64)
	j.CheckResources(0, "n0", 20, 20, 64, 0)
	if found := countByRule(j); len(found) != 0 {
		t.Errorf("found %v", found)
	}
	j.CheckResources(0, "n0", 21, 20, 65, 64)
	if found := countByRule(j); found[DescriptorLeak] != 1 || found[MemoryOverLimit] != 1 {
		t.Errorf("found %v", found)
	}
}

// TestJudgeEffects: what may be run again, refused, or sent for a client that has gone, at the limits and beyond.
func TestJudgeEffects(t *testing.T) {
	const ms = time.Millisecond
	window := Effect{Kind: IdempotencyKey, Window: 500 * ms}
	for name, c := range map[string]struct {
		effect Effect
		record func(j *Judge)
		rule   Rule
	}{
		"a safe one again":                 {Effect{}, func(j *Judge) { j.playAttempt(0, false); j.playAttempt(900*ms, false) }, ""},
		"within the window":                {window, func(j *Judge) { j.playAttempt(0, false); j.playAttempt(500*ms, false) }, ""},
		"beyond it":                        {window, func(j *Judge) { j.playAttempt(1, false); j.playAttempt(600*ms, false) }, DisallowedRepeat},
		"beyond it, the first turned away": {window, func(j *Judge) { j.playAttempt(1, true); j.playAttempt(600*ms, false) }, ""},
		"an unsafe one again":              {Effect{Kind: NonIdempotent}, func(j *Judge) { j.playAttempt(1, false); j.playAttempt(600*ms, false) }, DisallowedRepeat},
		"an unsafe one turned away":        {Effect{Kind: NonIdempotent}, func(j *Judge) { j.playAttempt(1, true); j.playAttempt(600*ms, false) }, ""},
		"refused after it may have run":    {Effect{Kind: NonIdempotent}, func(j *Judge) { j.playAttempt(1, false); j.AnswerReceived(600*ms, "a", "BUSY 5") }, WrongRejection},
		"refused after it was turned away": {Effect{Kind: NonIdempotent}, func(j *Judge) { j.playAttempt(1, true); j.AnswerReceived(600*ms, "a", "BUSY 5") }, ""},
		"failed after it may have run":     {Effect{Kind: NonIdempotent}, func(j *Judge) { j.playAttempt(1, false); j.AnswerReceived(600*ms, "a", "ERR") }, ""},
		"sent as its client goes":          {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", false); j.playAttempt(200*ms, false) }, ""},
		"sent after that":                  {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", false); j.playAttempt(300*ms, false) }, SentForGoneClient},
		"sent for one that still reads": {Effect{}, func(j *Judge) {
			j.ClientLeft(100*ms, "a", true)
			j.playAttempt(300*ms, false)
			j.AnswerReceived(400*ms, "a", "BUSY")
		}, SentForGoneClient},
		"no answer for one that reads": {Effect{}, func(j *Judge) { j.ClientLeft(100*ms, "a", true) }, NoAnswer},
	} {
		j := NewJudge(Rules{MaxAttempts: 3})
		j.RequestSent(0, "a", "n0", 2*time.Second, c.effect)
		c.record(j)
		if c.rule == "" {
			j.ClientGaveUp("a")
		}
		if found := countByRule(j); c.rule != "" && found[c.rule] != 1 || c.rule == "" && len(found) > 0 {
			t.Errorf("%s: found %v, want %q", name, found, c.rule)
		}
	}
}

// playAttempt records an attempt at a member that ends at once.
func (j *Judge) playAttempt(at time.Duration, rejected bool) {
	j.AttemptStarted(at, "a", "n0", "s0", 0, 0)
	j.AttemptEnded(at, "a", "s0", 0, true, rejected)
}

// TestJudgeIdleFlood: while a crowd fills a relay's descriptors a new connection may be shut unread, and no longer.
func TestJudgeIdleFlood(t *testing.T) {
	j := NewJudge(Rules{})
	j.BeginIdleFlood(time.Second, "n0")
	j.RequestSent(2*time.Second, "amid", "n0", time.Second, Effect{})
	j.EndIdleFlood(3*time.Second, "n0")
	j.RequestSent(5*time.Second, "after", "n0", time.Second, Effect{})
	if found := j.Finish(time.Hour); len(found) != 1 || found[0].Rule != NoAnswer || found[0].At < 5*time.Second {
		t.Errorf("found %v", found)
	}
}
