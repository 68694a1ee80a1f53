package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/http"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// handleListCanaries answers with all canaries, and at the leader with the judge's last verdict.
func (s *Service) handleListCanaries(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	body := map[string]any{"canaries": s.record.canaries()}
	s.mu.Lock()
	verdict, leads := s.verdict, s.leaderSince != 0
	s.mu.Unlock()
	if leads {
		body["verdict"] = verdict
	}
	writeJSON(w, http.StatusOK, body)
}

// handleOpenCanary opens a canary of a release. If the body names no target, the target is all
// members that start after the release was opened.
func (s *Service) handleOpenCanary(w http.ResponseWriter, r *http.Request) {
	var spec canary.Spec
	if !decodeBody(w, r, &spec) {
		return
	}
	if len(spec.Target.Members) == 0 && spec.Target.Since == 0 {
		s.record.read(func(state *rollout.State, _ recordItems) {
			release, _ := state.Release(spec.Release)
			spec.Target.Since = release.OpenedAt
		})
	}
	ensureSalt(&spec)
	s.proposeCanaryAndAnswer(w, r, canary.Command{Op: canary.OpOpen, Release: spec.Release, Spec: &spec})
}

// handleControlCanary pauses, resumes, rolls back or closes a canary.
func (s *Service) handleControlCanary(w http.ResponseWriter, r *http.Request) {
	c := canary.Command{Op: canary.Op(r.PathValue("verb")), Release: r.PathValue("name"), Reason: r.URL.Query().Get("why")}
	switch c.Op {
	case canary.OpPause:
		// Pause at once, here and through gossip, as that needs no majority. The command to the
		// record follows below.
		s.Post(func() { s.PauseCanary(c.Release) })
	case canary.OpResume, canary.OpRollBack, canary.OpClose:
	default:
		writeError(w, http.StatusNotFound, "a canary can be told to pause, resume, go back, or be closed")
		return
	}
	s.proposeCanaryAndAnswer(w, r, c)
}

// proposeCanaryAndAnswer proposes a canary command and answers with its result: 409 if the record
// rejects it, and as in statusCode if it could not be proposed.
func (s *Service) proposeCanaryAndAnswer(w http.ResponseWriter, r *http.Request, c canary.Command) {
	err := s.proposeCanary(r.Context(), c)
	var rejected rejectedError
	switch {
	case errors.As(err, &rejected):
		writeError(w, http.StatusConflict, err.Error())
	case err != nil && c.Op == canary.OpPause:
		// The pause is in force already, here and at the relays that gossip reaches. The state says
		// so, as the caller would otherwise think that the canary still receives traffic, and asks
		// to repeat the call once there is a majority.
		writeJSON(w, statusCode(err), rollout.Result{Error: err.Error(), State: "paused here, and at all that can be reached; say it again when there is a majority"})
	case err != nil:
		writeError(w, statusCode(err), err.Error())
	default:
		writeJSON(w, http.StatusOK, rollout.Result{Name: c.Release, State: string(c.Op)})
	}
}

// ensureSalt sets a random salt if the caller gave none. The salt decides which flows are routed to
// the canary.
func ensureSalt(spec *canary.Spec) {
	for spec.Salt == 0 {
		var b [8]byte
		rand.Read(b[:])
		spec.Salt = binary.LittleEndian.Uint64(b[:])
	}
}
