package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/consensus"
	"dahliarudder/internal/drift"
)

// maxRelays tells the leader about this relay. A loop that does not answer is not waited for: the leader hears of its silence.
func (s *Service) reportLoop() {
	looks := make(chan ObservedState, 1)
	asked := false
	s.every(reportInterval, func() {
		if !asked {
			asked = true
			s.Post(func() { looks <- s.Observe() }) // setOne is under way at most, so this never waits
		}
		select {
		case l := <-looks:
			asked = false
			s.sendReport(l)
		case <-time.After(reportInterval / 2):
			s.mu.Lock()
			s.missedObservations++
			s.mu.Unlock()
		case <-s.stop:
		}
	})
}

func (s *Service) sendReport(l ObservedState) {
	now := s.now()
	s.mu.Lock()
	s.lastObserved = l
	w := s.reporter.buildReport(now, l, s.record, votersDriftItem(s.node.Status()))
	text, err := json.Marshal(w)
	s.reportBytes += len(text)
	s.mu.Unlock()
	if err == nil {
		err = s.node.Report(text)
	}
	if err != nil {
		s.noteFailure("say", err)
	}
}

// votersDriftItem is who votes, as this relay's engine has it; nothing before it knows of a record.
func votersDriftItem(st consensus.Status) drift.Item {
	it := drift.Item{Name: drift.ItemVoters}
	if st.RecordID == 0 {
		return it
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(st.Voters)) {
		names = append(names, name+" "+st.Voters[name])
	}
	it.Version, it.Digest = st.VotersIndex, digestOf(names)
	return it
}

// handleReply takes what the leader wants: details come with the next words, and what this relay lacks is posted anew.
func (s *Service) handleReply(_ string, answer []byte) {
	r, err := drift.DecodeReply(answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return
	}
	if len(s.reporter.driftBook.HandleReply(r)) > 0 {
		s.record.notifyChanged()
	}
}
