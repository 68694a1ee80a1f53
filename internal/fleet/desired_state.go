package fleet

import (
	"time"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// DesiredState are what a relay is to do by the record.
type DesiredState struct {
	rollout.Orders
	RecordVersion     uint64 // of the record
	CanaryWeights     []canary.Weight
	CanaryVersion     uint64 // the version of the canaries
	PermitsVersion    uint64 // stands for the permits in force; never 0. The loop keeps it, and its Look shows it
	AppliedIndex      uint64 // of the engine, up to which this is
	MajorityConfirmed bool   // a majority stood behind it just now
}

// applyLoop has the loop follow the record, once for all that changed meanwhile, and again as long as it does not.
func (s *Service) applyLoop() {
	again := time.NewTicker(planInterval)
	defer again.Stop()
	followed := make(chan struct{}, 1)
	followed <- struct{}{}
	var sent uint64
	var last time.Time
	first := true
	for {
		anew := false
		select {
		case <-s.stop:
			return
		case <-s.record.changed:
			anew = true
		case <-again.C:
			s.mu.Lock()
			// Until it has caught up; a weight that is not confirmed falls; the loop may have been told before a restored record.
			anew = !s.caughtUp || time.Since(last) >= reportInterval && (s.lastObserved.AppliedVersion != sent || s.canaryActive)
			s.mu.Unlock()
		}
		if !anew && !first {
			continue
		}
		select {
		case <-followed: // the loop has done the last ones
		case <-s.stop:
			return
		}
		first = false
		list, _ := s.record.canaryWeights()
		s.mu.Lock()
		s.canaryActive = len(list) > 0
		s.mu.Unlock()
		last = time.Now()
		sent = s.postDesired(func() { followed <- struct{}{} })
	}
}

// postDesired has the loop do what the record says now, and then call done there. Posts are in the order of what they read, so that an older
// state never comes after a newer one.
func (s *Service) postDesired(done func()) (version uint64) {
	s.postMu.Lock()
	defer s.postMu.Unlock()
	var o DesiredState
	st := s.node.Status() // previous the record is read: what is applied later is in it too
	o.AppliedIndex, o.MajorityConfirmed = st.Applied, st.HasQuorum && st.Applied == st.Committed
	s.mu.Lock()
	s.caughtUp = s.caughtUp || o.MajorityConfirmed
	caught := s.caughtUp
	s.mu.Unlock()
	s.record.read(func(r *rollout.State, h recordItems) {
		o.Orders, o.RecordVersion, o.PermitsVersion = r.Orders(s.Name), r.Version(), permitsVersion(h)
	})
	o.CanaryWeights, o.CanaryVersion = s.record.canaryWeights()
	if !caught {
		s.lastAgreed.fillIn(&o)
	}
	s.Post(func() { s.ApplyDesired(o); done() })
	return o.RecordVersion
}
