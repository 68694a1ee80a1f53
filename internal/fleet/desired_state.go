package fleet

import (
	"time"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// DesiredState is the state that the record asks a relay to apply.
type DesiredState struct {
	rollout.Orders
	RecordVersion  uint64 // version of the rollout state
	CanaryWeights  []canary.Weight
	CanaryVersion  uint64 // version of the canary state
	PermitsVersion uint64 // version of the permits in force, never 0; the event loop repeats it in ObservedState
	AppliedIndex   uint64 // index of the last log entry that this state includes
	// MajorityConfirmed is whether, when the state was read, a majority was available and this relay had
	// applied every committed entry.
	MajorityConfirmed bool
}

// applyLoop posts the desired state to the event loop whenever the record has changed, and again as
// long as the relay has not applied it. Changes that arrive while a post is pending are combined.
func (s *Service) applyLoop() {
	retry := time.NewTicker(planInterval)
	defer retry.Stop()
	applied := make(chan struct{}, 1) // has a token unless a post is pending
	applied <- struct{}{}
	var postedVersion uint64
	var postedAt time.Time
	first := true
	for {
		due := false
		select {
		case <-s.ctx.Done():
			return
		case <-s.record.changed:
			due = true
		case <-retry.C:
			s.mu.Lock()
			// Post again until this relay has caught up with the record. Later, post again once per
			// reportInterval in two cases: while there is a canary, as a canary weight that is not confirmed
			// falls with time; and while the relay has not applied the posted state, which may have been read
			// before the record was restored.
			due = !s.caughtUp || time.Since(postedAt) >= reportInterval && (s.lastObserved.AppliedVersion != postedVersion || s.canaryActive)
			s.mu.Unlock()
		}
		if !due && !first {
			continue
		}
		select {
		case <-applied:
		case <-s.ctx.Done():
			return
		}
		first = false
		weights, _ := s.record.canaryWeights()
		s.mu.Lock()
		s.canaryActive = len(weights) > 0
		s.mu.Unlock()
		postedAt = time.Now()
		postedVersion = s.postDesired(func() { applied <- struct{}{} })
	}
}

// postDesired applies the current desired state on the event loop and then calls done there. It
// returns the version of the posted state. States are posted in the order in which they were read,
// so that an older one never follows a newer one.
func (s *Service) postDesired(done func()) (version uint64) {
	s.postMu.Lock()
	defer s.postMu.Unlock()
	var desired DesiredState
	// Read the status before the record, so that the record includes at least the entries up to
	// status.Applied.
	status := s.node.Status()
	desired.AppliedIndex, desired.MajorityConfirmed = status.Applied, status.HasQuorum && status.Applied == status.Committed
	s.mu.Lock()
	s.caughtUp = s.caughtUp || desired.MajorityConfirmed
	caughtUp := s.caughtUp
	s.mu.Unlock()
	s.record.read(func(r *rollout.State, items recordItems) {
		desired.Orders, desired.RecordVersion, desired.PermitsVersion = r.Orders(s.Name), r.Version(), permitsVersion(items)
	})
	desired.CanaryWeights, desired.CanaryVersion = s.record.canaryWeights()
	if !caughtUp {
		s.savedState.replaceOlderParts(&desired)
	}
	s.Post(func() { s.ApplyDesired(desired); done() })
	return desired.RecordVersion
}
