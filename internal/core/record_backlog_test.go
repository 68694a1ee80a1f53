package core

import (
	"fmt"
	"testing"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// TestRecordBacklog guards against records that the recorder was not told of: the backlog counts each
// attempt and the answer of all that is unanswered, the end of each open flow, and ends at zero.
func TestRecordBacklog(t *testing.T) {
	h := newHarness(t, 2)
	const perRequest = 3 + 1 // max-attempts of the settings, and the final answer
	check := func(event string, records, nameBytes int) {
		t.Helper()
		if got, want := h.recordBacklog(), (RecordBacklog{records, nameBytes}); got != want {
			t.Errorf("backlog after %s = %+v, want %+v", event, got, want)
		}
	}
	d := &downstream{harness: h}
	d.id = h.Open(Request{Name: "first", Load: 0.01, TimeLeft: 2 * time.Second}, d)
	check("a request", perRequest, len("first"))
	if h.owed.Records != perRequest {
		t.Errorf("Ready was asked for %d records, want %d: the new request's", h.owed.Records, perRequest)
	}
	h.FlowEstablished(d.id, 0)
	check("an open flow", 1, 0)
	tr := newFeedTransport(h, 8)
	publish := func(sequence uint64) {
		tr.deadlines[sequence] = h.now + 2*time.Second
		tr.feed.Publish(window.Message{Sequence: sequence, Name: "PUB a"}, fmt.Append(tr.feed.Buffer(20), "message ", sequence))
	}
	publish(1)
	check("a message, and the request of its flow", 1+2*perRequest, len("PUB a"))
	tr.feed.Connected()
	check("the flow of the message", 1+perRequest+1, len("PUB a"))
	tr.acknowledge(1)
	check("the acknowledgement", 1+1, 0)
	h.notReady = true
	publish(2)
	h.openRequest()
	check("rejections by the recorder", 1+1, 0)
	tr.feed.Close()
	h.AttemptEnded(d.id, 0, policy.OK, policy.NoReport)
	check("the end of all", 0, 0)
}
