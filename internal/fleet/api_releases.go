package fleet

import (
	"encoding/json"
	"net/http"
	"strconv"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

func (s *Service) handleListReleases(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var body struct {
		Releases  []rollout.ReleaseStatus `json:"releases"`
		Permits   []rollout.Permit        `json:"permits"`
		Ejections []rollout.Ejection      `json:"bans"`
	}
	s.record.read(func(state *rollout.State, _ recordItems) {
		body.Releases, body.Permits, body.Ejections = state.Releases(), state.Permits(), state.Ejections()
	})
	for i := range body.Releases {
		body.Releases[i].Units = nil // only GET /-/releases/{name} includes units
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *Service) handleGetRelease(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var release rollout.ReleaseStatus
	var found bool
	s.record.read(func(state *rollout.State, _ recordItems) { release, found = state.Release(r.PathValue("name")) })
	if !found {
		writeError(w, http.StatusNotFound, "no such release")
		return
	}
	writeJSON(w, http.StatusOK, struct {
		rollout.ReleaseStatus
		WaitReason string `json:"waits,omitempty"`
	}{release, s.waitReason(release.Name)})
}

// waitReason returns why no unit of a release may proceed now, as far as the leader knows, and ""
// at other relays. Without it a release would merely look slow when its budget can never allow a
// unit, for example in a zone with few units.
func (s *Service) waitReason(release string) (reason string) {
	s.mu.Lock()
	leaderSince, view := s.leaderSince, s.lastView
	s.mu.Unlock()
	if leaderSince == 0 || view.At == 0 {
		return ""
	}
	s.record.read(func(state *rollout.State, items recordItems) {
		reason = state.BlockReasons(max(view.At, items.At), view, s.Budgets())[release]
	})
	return reason
}

// handleOpenRelease opens a release, together with its canary if the request body has one.
func (s *Service) handleOpenRelease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Name      string `json:"name"`
		Requester string `json:"who"`
		rollout.ReleaseSpec
		Canary *canary.Spec `json:"canary"`
	}
	if !decodeBody(w, r, &request) {
		return
	}
	open := rollout.Command{Kind: rollout.CommandOpen, Name: request.Name, Requester: request.Requester, Release: &request.ReleaseSpec}
	if request.Canary == nil {
		s.proposeAndAnswer(w, r, open)
		return
	}
	ensureSalt(request.Canary)
	body, err := json.Marshal(releaseWithCanary{open.Encode(), *request.Canary})
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	result, err := s.submit(r.Context(), partReleaseWithCanary, body)
	writeResult(w, result, err)
}

// handleControlRelease halts, resumes or rolls back a release.
func (s *Service) handleControlRelease(w http.ResponseWriter, r *http.Request) {
	c := rollout.Command{Kind: rollout.CommandKind(r.PathValue("verb")), Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")}
	switch c.Kind {
	case rollout.CommandHalt, rollout.CommandResume, rollout.CommandRollBack:
		s.proposeAndAnswer(w, r, c)
	default:
		writeError(w, http.StatusNotFound, "a release can be told to halt, resume, or go back")
	}
}

func (s *Service) handleRequestPermit(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Kind       string `json:"kind"`
		Name       string `json:"name"`
		Requester  string `json:"who"`
		Reason     string `json:"why"`
		DurationMS int64  `json:"for_ms"`
	}
	if decodeBody(w, r, &request) {
		s.proposeAndAnswer(w, r, rollout.Command{Kind: rollout.CommandRequestPermit, TargetKind: rollout.Kind(request.Kind), Name: request.Name, Requester: request.Requester,
			Reason: request.Reason, DurationMS: request.DurationMS})
	}
}

// handleUpdatePermit reports that the holder of a permit has begun to use it, or is done.
func (s *Service) handleUpdatePermit(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	c := rollout.Command{PermitNumber: number}
	switch r.PathValue("verb") {
	case "begin":
		c.Kind = rollout.CommandBeginPermit
	case "done":
		c.Kind = rollout.CommandReturnPermit
	}
	if err != nil || c.Kind == "" {
		// This call needs the number of a permit and the verb "begin" or "done".
		writeError(w, http.StatusNotFound, "a permit's number, and begin or done")
		return
	}
	s.proposeAndAnswer(w, r, c)
}

// handleReadmitRelay ends a relay's quarantine.
func (s *Service) handleReadmitRelay(w http.ResponseWriter, r *http.Request) {
	s.proposeAndAnswer(w, r, rollout.Command{Kind: rollout.CommandReadmit, Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")})
}
