package fleet

import (
	"encoding/json"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// partReleaseWithCanary is for a release that carries a canary: both are opened, or neither. Between two commands its first members would be out
// before anything holds the others back.
const partReleaseWithCanary = "both"

type releaseWithCanary struct {
	Release json.RawMessage `json:"release"` // of the rollout: open
	Canary  canary.Spec     `json:"canary"`  // without a release's name; without an arm: all that start from now on
}

// openWithCanary is the record's.
func (r *Record) openWithCanary(at int64, by string, body []byte) []byte {
	var o releaseWithCanary
	var c rollout.Command
	if json.Unmarshal(body, &o) != nil || json.Unmarshal(o.Release, &c) != nil || c.Kind != rollout.CommandOpen || c.Release == nil {
		return rejection("malformed: a release and its canary are wanted")
	}
	if c.Release.Kind != rollout.KindMember || c.Release.Drain {
		return rejection("a canary is of members that are replaced")
	}
	if o.Canary.Release = c.Name; len(o.Canary.Target.Members) == 0 && o.Canary.Target.Since == 0 {
		o.Canary.Target.Since = at
	}
	trial := canary.Command{Op: canary.OpOpen, Release: c.Name, Spec: &o.Canary}.Encode()
	if why := r.canaryConflict(trial); why != "" {
		return rejection(why)
	}
	before := r.rollout.Encode()
	answer := r.rollout.Apply(at, by, o.Release)
	if isRejection(answer) {
		return answer
	}
	if a := r.canary.Apply(at, by, trial); isRejection(a) {
		was, err := rollout.Decode(before)
		if err != nil {
			panic(err) // it was encoded just now
		}
		r.rollout = was
		return a
	}
	return answer
}

func isRejection(answer []byte) bool {
	var a struct{ Error string }
	return json.Unmarshal(answer, &a) != nil || a.Error != ""
}
