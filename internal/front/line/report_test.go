package line

import (
	"testing"

	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// TestNoReport checks that a flow whose member has sent no load report ends with policy.NoReport, also
// after a handoff. A report of zeros would describe as idle a member that may be resetting its flows.
func TestNoReport(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	first, second := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
	c, m := sendOpenTo(r, first)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	for _, f := range []*Front{first, second} {
		if len(f.flows) != 1 {
			t.Fatalf("%d open flows, want 1", len(f.flows))
		}
		for conn := range f.flows {
			if conn.upstream.report != policy.NoReport {
				t.Errorf("report of a flow without a load report = %+v, want policy.NoReport", conn.upstream.report)
			}
		}
		handOffFlows(t, first, second)
	}
}
