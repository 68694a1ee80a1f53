package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/consensus"
	"dahliarudder/internal/drift"
)

// reportLoop reports this relay's state to the leader at each reportInterval. It sends no report while
// the event loop does not respond: the leader then counts the relay as silent.
func (s *Service) reportLoop() {
	observations := make(chan ObservedState, 1)
	pending := false
	s.every(reportInterval, func() {
		if !pending {
			pending = true
			s.Post(func() { observations <- s.Observe() }) // at most one is pending, so the send never blocks
		}
		select {
		case observed := <-observations:
			pending = false
			s.sendReport(observed)
		case <-time.After(reportInterval / 2):
			s.mu.Lock()
			s.missedObservations++
			s.mu.Unlock()
		case <-s.ctx.Done():
		}
	})
}

func (s *Service) sendReport(observed ObservedState) {
	now := s.now()
	s.mu.Lock()
	s.lastObserved = observed
	report := s.reporter.buildReport(now, observed, s.record, votersDriftItem(s.node.Status()))
	text, err := json.Marshal(report)
	s.reportBytes += len(text)
	s.mu.Unlock()
	if err == nil {
		err = s.node.Report(text)
	}
	if err != nil {
		s.countFailure(opReport, err)
	}
}

// votersDriftItem returns the drift item of the set of voters that this relay's consensus node has.
// It has no digest while the node has no record.
func votersDriftItem(status consensus.Status) drift.Item {
	item := drift.Item{Name: drift.ItemVoters}
	if status.RecordID == 0 {
		return item
	}
	var voters []string
	for _, name := range slices.Sorted(maps.Keys(status.Voters)) {
		voters = append(voters, name+" "+status.Voters[name])
	}
	item.Version, item.Digest = status.VotersIndex, digestOf(voters)
	return item
}

// handleReply processes the leader's reply to a report. The details that the leader asks for go into
// the next reports. If the reply shows that this relay lacks part of the record's state, the desired
// state is posted again.
func (s *Service) handleReply(_ string, text []byte) {
	reply, err := drift.DecodeReply(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return
	}
	if len(s.reporter.driftReporter.HandleReply(reply)) > 0 {
		s.record.notifyChanged()
	}
}
