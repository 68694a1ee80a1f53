package core

import (
	"testing"
	"time"
)

// TestMessageLatency checks that slow messages at a member are reported at most once a second, and
// once more when they are fast again.
func TestMessageLatency(t *testing.T) {
	h := newHarness(t, 1)
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	m := h.requests[d.id].member
	h.ObserveMessageLatency(d.id, 40*time.Millisecond)
	first := m.slowReportedAt
	h.now += 100 * time.Millisecond
	h.ObserveMessageLatency(d.id, 50*time.Millisecond)
	if !m.slow || m.slowReportedAt != first {
		t.Errorf("slow message 100 ms after another: slow %v, reported at %v; want true, %v",
			m.slow, m.slowReportedAt, first)
	}
	h.ObserveMessageLatency(d.id, 20*time.Millisecond)
	if m.slow || m.slowReportedAt != h.now {
		t.Errorf("fast message after slow ones: slow %v, reported at %v; want false, %v",
			m.slow, m.slowReportedAt, h.now)
	}
}
