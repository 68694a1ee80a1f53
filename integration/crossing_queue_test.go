package integration

import (
	"strings"
	"testing"
	"time"
)

// TestCrossingStopQueue: connections with a whole request wait in the accept queue, more than one round takes in, when the listener's time is
// over: the process stands still from SIGTERM until then. Each is answered.
func TestCrossingStopQueue(t *testing.T) {
	t.Parallel()
	const waiting = 40 // acceptBurst of netloop is 16
	s := newCrossing(t, 2, nil)
	since := s.terminate()
	s.freeze()
	var all []*client
	for n := range waiting {
		all = append(all, s.openFor(100+n, 9*time.Second))
	}
	time.Sleep(time.Until(since.Add(longestStop + timeSlack))) // its clock goes on; that is the event
	s.thaw()
	answers := map[string]int{}
	for _, c := range all {
		word, _, _ := strings.Cut(c.line(), " ")
		answers[word]++
	}
	s.ends()
	s.checkTries()
	if answers["BUSY"] != waiting {
		t.Errorf("answers %v", answers)
	}
}
