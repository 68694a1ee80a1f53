package scenariorunner

import (
	"context"
	"time"

	"dahliarudder/internal/rollout"
)

// unavailability records how many relays and members were out of service at the same time, as
// observed from outside the relays, and the releases that may have caused it.
type unavailability struct {
	relays, members int     // highest number out of service at the same time
	lostCapacity    float64 // highest missing share of the members' full capacity
	drift           []DriftSpan
	callTimes       []time.Duration          // of the accepted operator calls
	releaseStates   map[string]string        // by release name
	releaseEnds     map[string]time.Duration // by release name: when its state last changed
}

// recordRelease records the state of a release. It returns the state if it has changed, otherwise "".
func (o *unavailability) recordRelease(at time.Duration, release rollout.ReleaseStatus) (changed string) {
	if o.releaseStates == nil {
		o.releaseStates, o.releaseEnds = map[string]string{}, map[string]time.Duration{}
	}
	state := string(release.State)
	if release.Halt != nil && release.State == rollout.ReleaseHalted {
		state += ": " + string(release.Halt.Cause) + ": " + release.Halt.Reason
	}
	if o.releaseStates[release.Name] == state {
		return ""
	}
	o.releaseStates[release.Name], o.releaseEnds[release.Name] = state, at
	return state
}

// releasesDone returns the seconds from the first accepted call until all releases had ended, or nil
// if one has not.
func (o *unavailability) releasesDone() *float64 {
	if len(o.releaseStates) == 0 || len(o.callTimes) == 0 {
		return nil
	}
	last := time.Duration(0)
	for name, state := range o.releaseStates {
		if state != string(rollout.ReleaseCompleted) && state != string(rollout.ReleaseRolledBack) {
			return nil
		}
		last = max(last, o.releaseEnds[name])
	}
	s := (last - o.callTimes[0]).Seconds()
	return &s
}

const unavailabilityInterval = 50 * time.Millisecond

// watchUnavailability counts the relays that the front has not admitted, and the members that are
// down or in slow start, for any reason.
func (r *run) watchUnavailability(ctx context.Context) {
	for sleep(ctx, unavailabilityInterval) {
		relays := len(r.relays) - r.front.admittedCount()
		r.locked(func(time.Duration) {
			members, cores, lost, now := 0, 0.0, 0.0, time.Now()
			for _, m := range r.memberByIndex {
				share := m.capacityShare(now)
				if m.Down() {
					share = 0
				}
				if share < 1 {
					members++
				}
				cores, lost = cores+m.Capacity.Cores, lost+m.Capacity.Cores*(1-share)
			}
			o := &r.unavailability
			o.relays, o.members, o.lostCapacity = max(o.relays, relays), max(o.members, members), max(o.lostCapacity, lost/cores)
		})
	}
}
