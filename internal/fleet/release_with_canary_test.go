package fleet

import (
	"encoding/json"
	"strings"
	"testing"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// TestOpenBoth: a release and its canary are opened together, and a refusal of either leaves neither.
func TestOpenBoth(t *testing.T) {
	spec := canary.Spec{Salt: 7, Steps: []int{10, 1000}, MinAttempts: 100, MaxStepMS: 600_000, FalsePositiveRate: 0.01, Guardrails: []canary.Guardrail{{Metric: canary.Failures, MarginPerMille: 20}}}
	wish := rollout.ReleaseSpec{Kind: rollout.KindMember, All: true}
	for _, c := range []struct {
		what string
		edit func(*releaseWithCanary, *rollout.ReleaseSpec)
		want string // of the refusal; "" if it is agreed
	}{
		{"sound", func(*releaseWithCanary, *rollout.ReleaseSpec) {}, ""},
		{"a ladder that falls", func(o *releaseWithCanary, _ *rollout.ReleaseSpec) { o.Canary.Steps = []int{50, 10} }, "rise"},
		{"of relays", func(_ *releaseWithCanary, w *rollout.ReleaseSpec) { w.Kind = rollout.KindRelay }, "members"},
		{"of nothing", func(_ *releaseWithCanary, w *rollout.ReleaseSpec) { w.All = false }, ""},
	} {
		r := NewRecord()
		w := wish
		o := releaseWithCanary{Canary: spec}
		c.edit(&o, &w)
		o.Release = rollout.Command{Kind: rollout.CommandOpen, Name: "b", Requester: "anna", Release: &w}.Encode()
		body, _ := json.Marshal(o)
		text, _ := json.Marshal(command{Part: partReleaseWithCanary, At: 5000, By: "n1", Body: body})
		answer := r.Apply(1, text)
		_, release := r.rollout.Release("b")
		k, trial := r.canary.Canary("b")
		sound := c.what == "sound"
		if isRejection(answer) == sound || release != sound || trial != sound || !strings.Contains(string(answer), c.want) {
			t.Errorf("%s: %s; release %v, canary %v", c.what, answer, release, trial)
		}
		if sound && k.Target.Since != 5000 {
			t.Errorf("the arm is %+v, not all that start from now on", k.Target)
		}
	}
}
