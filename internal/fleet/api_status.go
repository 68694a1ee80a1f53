package fleet

import (
	"cmp"
	"context"
	"net/http"

	"dahliarudder/internal/rollout"
)

// handleStatus answers with this relay's own status, and at the leader also with the status of all
// relays.
func (s *Service) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.statusPage())
}

func (s *Service) statusPage() map[string]any {
	consensusStatus := s.node.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := map[string]any{"name": s.Name, "program": s.Program, "config": s.ConfigDigest, "engine": consensusStatus,
		"follows": s.lastObserved.AppliedVersion, "missed_looks": s.missedObservations, "bad_words": s.malformedReports, "said_bytes": s.reportBytes,
		"failed": s.failures}
	s.record.read(func(state *rollout.State, _ recordItems) {
		page["version"], page["orders"] = state.Version(), state.Orders(s.Name)
	})
	if s.leaderSince == 0 {
		return page
	}
	relays := map[string]any{}
	now := s.now()
	for name, r := range s.controller.fleet.relays {
		relays[name] = map[string]any{"heard_ms": now - r.receivedAt, "phase": r.Phase, "program": r.Program, "config": r.Config, "follows": r.AppliedVersion,
			"flows": r.Flows, "zone": r.Zone}
	}
	page["relays"] = relays
	return page
}

// handleDrift answers with the drift findings. Only the leader has them, as it receives all reports;
// any other relay answers with the leader's name.
func (s *Service) handleDrift(w http.ResponseWriter, _ *http.Request) {
	leader := s.node.Status().Leader
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSince == 0 {
		writeNotLeader(w, leader)
		return
	}
	writeJSON(w, http.StatusOK, s.controller.driftStatus(s.now()))
}

func (s *Service) handleGetIntent(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, s.record.currentIntent())
}

// handleSetIntent sets the intent to what a relay currently runs. Only the leader knows what that
// relay runs.
func (s *Service) handleSetIntent(w http.ResponseWriter, r *http.Request) {
	leader := s.node.Status().Leader
	query := r.URL.Query()
	s.mu.Lock()
	leads := s.leaderSince != 0
	c, err := s.controller.intentFromRelay(query.Get("as"), query.Get("item"), cmp.Or(query.Get("who"), r.RemoteAddr))
	s.mu.Unlock()
	switch {
	case !leads:
		writeNotLeader(w, leader)
	case err != nil:
		writeError(w, http.StatusNotFound, err.Error())
	default:
		result, err := s.proposeIntent(r.Context(), c)
		writeResult(w, result, err)
	}
}

// handleReplaceVoter replaces one voter of the consensus by another relay.
func (s *Service) handleReplaceVoter(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := s.node.Replace(ctx, r.PathValue("old"), r.PathValue("new"), r.URL.Query().Get("address")); err != nil {
		writeError(w, statusCode(err), err.Error())
		return
	}
	writeJSON(w, http.StatusOK, rollout.Result{State: "replaced"})
}

// writeNotLeader answers 421 with the leader's name in the body and in the header Leader.
func writeNotLeader(w http.ResponseWriter, leader string) {
	w.Header().Set("Leader", leader)
	writeJSON(w, http.StatusMisdirectedRequest, rollout.Result{Error: "ask the leader", Name: leader})
}
