package fleet

import (
	"encoding/json"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// partReleaseWithCanary is the part for commands that open a release and its canary together, or
// neither. With two separate commands, the release's first members would leave before the canary
// withholds the grants of the others.
const partReleaseWithCanary = "both"

// releaseWithCanary is the body of a command for partReleaseWithCanary.
type releaseWithCanary struct {
	Release json.RawMessage `json:"release"` // a rollout command of the kind rollout.CommandOpen
	// Canary is the canary's spec. Its release name is ignored. If it has no target, the target is all
	// members that start from now on.
	Canary canary.Spec `json:"canary"`
}

// openWithCanary applies a releaseWithCanary command.
func (r *Record) openWithCanary(at int64, by string, body []byte) []byte {
	var open releaseWithCanary
	var release rollout.Command
	if json.Unmarshal(body, &open) != nil || json.Unmarshal(open.Release, &release) != nil || release.Kind != rollout.CommandOpen || release.Release == nil {
		return rejectionAnswer("malformed: a release and its canary are wanted")
	}
	if release.Release.Kind != rollout.KindMember || release.Release.Drain {
		// A canary needs a release that replaces members: not one of relays, and not a drain.
		return rejectionAnswer("a canary is of members that are replaced")
	}
	spec := open.Canary
	if spec.Release = release.Name; len(spec.Target.Members) == 0 && spec.Target.Since == 0 {
		spec.Target.Since = at
	}
	openCanary := canary.Command{Op: canary.OpOpen, Release: release.Name, Spec: &spec}.Encode()
	if reason := r.canaryConflict(openCanary); reason != "" {
		return rejectionAnswer(reason)
	}
	before := r.rollout.Encode()
	answer := r.rollout.Apply(at, by, open.Release)
	if isRejection(answer) {
		return answer
	}
	if a := r.canary.Apply(at, by, openCanary); isRejection(a) {
		undone, err := rollout.Decode(before)
		if err != nil {
			panic(err) // cannot happen: Encode has just written it
		}
		r.rollout = undone
		return a
	}
	return answer
}

// isRejection reports whether a part's answer rejects the command.
func isRejection(answer []byte) bool {
	var a struct{ Error string }
	return json.Unmarshal(answer, &a) != nil || a.Error != ""
}
