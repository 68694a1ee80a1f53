package fleet

import (
	"encoding/json"
	"strings"
	"testing"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// TestOpenReleaseWithCanary: a release and its canary are opened together. If either is rejected,
// neither is opened.
func TestOpenReleaseWithCanary(t *testing.T) {
	canarySpec := canary.Spec{Salt: 7, Steps: []int{10, 1000}, MinAttempts: 100, MaxStepMS: 600_000, FalsePositiveRate: 0.01, Guardrails: []canary.Guardrail{{Metric: canary.Failures, MarginPerMille: 20}}}
	releaseSpec := rollout.ReleaseSpec{Kind: rollout.KindMember, All: true}
	for _, c := range []struct {
		name   string
		modify func(*releaseWithCanary, *rollout.ReleaseSpec)
		want   string // in the rejection
	}{
		{"valid", func(*releaseWithCanary, *rollout.ReleaseSpec) {}, ""},
		{"falling canary steps", func(o *releaseWithCanary, _ *rollout.ReleaseSpec) { o.Canary.Steps = []int{50, 10} }, "rise"},
		{"release of relays", func(_ *releaseWithCanary, w *rollout.ReleaseSpec) { w.Kind = rollout.KindRelay }, "members"},
		{"release of no units", func(_ *releaseWithCanary, w *rollout.ReleaseSpec) { w.All = false }, ""},
	} {
		r := NewRecord()
		spec := releaseSpec
		open := releaseWithCanary{Canary: canarySpec}
		c.modify(&open, &spec)
		open.Release = rollout.Command{Kind: rollout.CommandOpen, Name: "b", Requester: "anna", Release: &spec}.Encode()
		body, _ := json.Marshal(open)
		text, _ := json.Marshal(command{Part: partReleaseWithCanary, At: 5000, By: "n1", Body: body})
		answer := r.Apply(1, text)
		_, opened := r.rollout.Release("b")
		openedCanary, canaryOpened := r.canary.Canary("b")
		valid := c.name == "valid"
		if isRejection(answer) == valid || opened != valid || canaryOpened != valid || !strings.Contains(string(answer), c.want) {
			t.Errorf("%s: answer %s, release opened %v, canary opened %v; want opened %v, answer containing %q",
				c.name, answer, opened, canaryOpened, valid, c.want)
		}
		if valid && openedCanary.Target.Since != 5000 {
			t.Errorf("canary target %+v, want all members that start from 5000 on", openedCanary.Target)
		}
	}
}
