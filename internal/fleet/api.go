package fleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/rollout"
)

// Bounds of a call.
const (
	maxBodyBytes       = 256 << 10
	maxConcurrentCalls = 32
	headerTimeout      = 5 * time.Second
)

// serveAPI begins to take calls.
func (s *Service) serveAPI() error {
	l, err := net.Listen("tcp4", s.APIListen)
	if err != nil {
		return fmt.Errorf("fleet.calls: %w", err)
	}
	room := make(chan struct{}, maxConcurrentCalls)
	mux := s.routes()
	s.api = &http.Server{ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case room <- struct{}{}:
			defer func() { <-room }()
			mux.ServeHTTP(w, r)
		default:
			writeJSON(w, http.StatusServiceUnavailable, rollout.Result{Error: "too many calls"})
		}
	})}
	s.Log.WithField("listen", l.Addr().String()).WithField("front", "fleet").Info("serving")
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if err := s.api.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Log.WithError(err).Error("fleet: no more calls are taken")
		}
	}()
	return nil
}

func (s *Service) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/fleet", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.statusPage()) })
	m.HandleFunc("GET /-/drift", func(w http.ResponseWriter, r *http.Request) { s.handleDrift(w) })
	m.HandleFunc("GET /-/intent", func(w http.ResponseWriter, r *http.Request) {
		if s.ensureCurrent(w, r) {
			s.record.mu.RLock()
			meant := s.record.intent // it never changes: a command makes another one
			s.record.mu.RUnlock()
			writeJSON(w, http.StatusOK, meant)
		}
	})
	m.HandleFunc("PUT /-/intent", func(w http.ResponseWriter, r *http.Request) { s.handleSetIntent(w, r) })
	m.HandleFunc("GET /-/releases", func(w http.ResponseWriter, r *http.Request) {
		if !s.ensureCurrent(w, r) {
			return
		}
		var all struct {
			Releases []rollout.ReleaseStatus `json:"releases"`
			Permits  []rollout.Permit        `json:"permits"`
			Bans     []rollout.Ejection      `json:"bans"`
		}
		s.record.read(func(st *rollout.State, _ recordItems) {
			all.Releases, all.Permits, all.Bans = st.Releases(), st.Permits(), st.Ejections()
		})
		for i := range all.Releases {
			all.Releases[i].Units = nil // by name
		}
		writeJSON(w, http.StatusOK, all)
	})
	m.HandleFunc("GET /-/releases/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !s.ensureCurrent(w, r) {
			return
		}
		var a rollout.ReleaseStatus
		var ok bool
		s.record.read(func(st *rollout.State, _ recordItems) { a, ok = st.Release(r.PathValue("name")) })
		if !ok {
			writeJSON(w, http.StatusNotFound, rollout.Result{Error: "no such release"})
			return
		}
		writeJSON(w, http.StatusOK, struct {
			rollout.ReleaseStatus
			Waits string `json:"waits,omitempty"`
		}{a, s.waitReason(a.Name)})
	})
	m.HandleFunc("POST /-/releases", func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			Name string `json:"name"`
			Who  string `json:"who"`
			rollout.ReleaseSpec
			Canary *canary.Spec `json:"canary"`
		}
		if !decodeBody(w, r, &c) {
			return
		}
		open := rollout.Command{Kind: rollout.CommandOpen, Name: c.Name, Requester: c.Who, Release: &c.ReleaseSpec}
		if c.Canary == nil {
			s.proposeAndAnswer(w, r, open)
			return
		}
		ensureSalt(c.Canary)
		body, err := json.Marshal(releaseWithCanary{open.Encode(), *c.Canary})
		if err != nil {
			writeJSON(w, http.StatusBadRequest, rollout.Result{Error: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		a, err := s.submit(ctx, partReleaseWithCanary, body)
		s.answer(w, a, err)
	})
	m.HandleFunc("PUT /-/releases/{name}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		c := rollout.Command{Kind: r.PathValue("verb"), Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")}
		switch c.Kind {
		case rollout.CommandHalt, rollout.CommandResume, rollout.CommandRollBack:
			s.proposeAndAnswer(w, r, c)
		default:
			writeJSON(w, http.StatusNotFound, rollout.Result{Error: "a release can be told to halt, resume, or go back"})
		}
	})
	m.HandleFunc("POST /-/permits", func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			Kind string `json:"kind"`
			Name string `json:"name"`
			Who  string `json:"who"`
			Why  string `json:"why"`
			For  int64  `json:"for_ms"`
		}
		if decodeBody(w, r, &c) {
			s.proposeAndAnswer(w, r, rollout.Command{Kind: rollout.CommandRequestPermit, TargetKind: c.Kind, Name: c.Name, Requester: c.Who, Reason: c.Why, DurationMS: c.For})
		}
	})
	m.HandleFunc("PUT /-/permits/{number}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
		c := rollout.Command{PermitNumber: n}
		switch r.PathValue("verb") {
		case "begin":
			c.Kind = rollout.CommandBeginPermit
		case "done":
			c.Kind = rollout.CommandReturnPermit
		}
		if err != nil || c.Kind == "" {
			writeJSON(w, http.StatusNotFound, rollout.Result{Error: "a permit's number, and begin or done"})
			return
		}
		s.proposeAndAnswer(w, r, c)
	})
	m.HandleFunc("PUT /-/relays/{name}/admit", func(w http.ResponseWriter, r *http.Request) {
		s.proposeAndAnswer(w, r, rollout.Command{Kind: rollout.CommandReadmit, Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")})
	})
	m.HandleFunc("GET /-/canaries", func(w http.ResponseWriter, r *http.Request) {
		if !s.ensureCurrent(w, r) {
			return
		}
		s.record.mu.RLock()
		all := s.record.canary.Canaries()
		s.record.mu.RUnlock()
		s.mu.Lock()
		verdict, leads := s.verdict, s.leaderSince != 0
		s.mu.Unlock()
		out := map[string]any{"canaries": all}
		if leads {
			out["verdict"] = verdict
		}
		writeJSON(w, http.StatusOK, out)
	})
	m.HandleFunc("POST /-/canaries", func(w http.ResponseWriter, r *http.Request) {
		var spec canary.Spec
		if !decodeBody(w, r, &spec) {
			return
		}
		if len(spec.Target.Members) == 0 && spec.Target.Since == 0 { // all that start after the release
			s.record.read(func(st *rollout.State, _ recordItems) {
				a, _ := st.Release(spec.Release)
				spec.Target.Since = a.OpenedAt
			})
		}
		ensureSalt(&spec)
		s.proposeCanaryAndAnswer(w, r, canary.Command{Op: canary.OpOpen, Release: spec.Release, Spec: &spec})
	})
	m.HandleFunc("PUT /-/canaries/{name}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		c := canary.Command{Op: canary.Op(r.PathValue("verb")), Release: r.PathValue("name"), Reason: r.URL.Query().Get("why")}
		switch c.Op {
		case canary.OpPause:
			s.Post(func() { s.PauseCanary(c.Release) }) // here at once, and round without a majority; the record follows
		case canary.OpResume, canary.OpRollBack, canary.OpClose:
		default:
			writeJSON(w, http.StatusNotFound, rollout.Result{Error: "a canary can be told to pause, resume, go back, or be closed"})
			return
		}
		s.proposeCanaryAndAnswer(w, r, c)
	})
	m.HandleFunc("PUT /-/voters/{old}/{new}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		if err := s.node.Replace(ctx, r.PathValue("old"), r.PathValue("new"), r.URL.Query().Get("address")); err != nil {
			writeJSON(w, statusCode(err), rollout.Result{Error: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, rollout.Result{State: "replaced"})
	})
	return m
}

// ensureCurrent has the record here be as new as the call, or says why it is not: an answer of an old record would be taken for the state of now.
func (s *Service) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Has("stale") {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if _, err := s.node.Barrier(ctx); err != nil {
		writeJSON(w, statusCode(err), rollout.Result{Error: err.Error() + "; ?stale shows what this relay has"})
		return false
	}
	return true
}

// waitReason says at the leader why nothing of a release may go out now: a budget that a zone of few never has room in looks like patience else.
func (s *Service) waitReason(release string) (why string) {
	s.mu.Lock()
	led, v := s.leaderSince, s.lastView
	s.mu.Unlock()
	if led == 0 || v.At == 0 {
		return ""
	}
	s.record.read(func(r *rollout.State, h recordItems) { why = r.BlockReasons(max(v.At, h.At), v, s.Budgets())[release] })
	return why
}

// ensureSalt draws what a canary's groups are drawn by, if the caller has not.
func ensureSalt(spec *canary.Spec) {
	for spec.Salt == 0 {
		var b [8]byte
		rand.Read(b[:])
		spec.Salt = binary.LittleEndian.Uint64(b[:])
	}
}

func (s *Service) proposeAndAnswer(w http.ResponseWriter, r *http.Request, c rollout.Command) {
	a, err := s.propose(r.Context(), c)
	s.answer(w, a, err)
}

func (s *Service) answer(w http.ResponseWriter, a rollout.Result, err error) {
	switch {
	case err != nil:
		writeJSON(w, statusCode(err), rollout.Result{Error: err.Error()})
	case a.Error != "":
		writeJSON(w, http.StatusConflict, a)
	default:
		writeJSON(w, http.StatusOK, a)
	}
}

func (s *Service) proposeCanaryAndAnswer(w http.ResponseWriter, r *http.Request, c canary.Command) {
	switch err := s.proposeCanary(r.Context(), c); {
	case errors.Is(err, errRejected):
		writeJSON(w, http.StatusConflict, rollout.Result{Error: err.Error()})
	case err != nil && c.Op == canary.OpPause: // it was posted before: who is told only that it was not agreed would take the arm for open
		writeJSON(w, statusCode(err), rollout.Result{Error: err.Error(), State: "paused here, and at all that can be reached; say it again when there is a majority"})
	case err != nil:
		writeJSON(w, statusCode(err), rollout.Result{Error: err.Error()})
	default:
		writeJSON(w, http.StatusOK, rollout.Result{Name: c.Release, State: string(c.Op)})
	}
}

// statusCode is 503 where a call may be repeated, 504 where it is not known whether it counts: the record tells.
func statusCode(err error) int {
	switch {
	case errors.Is(err, consensus.ErrNoQuorum), errors.Is(err, consensus.ErrQueueFull), errors.Is(err, consensus.ErrClosed):
		return http.StatusServiceUnavailable
	case errors.Is(err, consensus.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusGatewayTimeout
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields() // a misspelt bound must not be taken for none
	if err := d.Decode(to); err != nil {
		writeJSON(w, http.StatusBadRequest, rollout.Result{Error: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, code int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(what)
}

// handleSetIntent has agreed that what a relay runs is meant. The leader alone has heard it.
func (s *Service) handleSetIntent(w http.ResponseWriter, r *http.Request) {
	st := s.node.Status()
	s.mu.Lock()
	leads := s.leaderSince != 0
	c, err := s.controller.intentFromRelay(r.URL.Query().Get("as"), r.URL.Query().Get("item"), cmp.Or(r.URL.Query().Get("who"), r.RemoteAddr))
	s.mu.Unlock()
	switch {
	case !leads:
		w.Header().Set("Leader", st.Leader)
		writeJSON(w, http.StatusMisdirectedRequest, rollout.Result{Error: "ask the leader", Name: st.Leader})
	case err != nil:
		writeJSON(w, http.StatusNotFound, rollout.Result{Error: err.Error()})
	default:
		a, err := s.proposeIntent(r.Context(), c)
		s.answer(w, a, err)
	}
}

// handleDrift answers at the leader, which alone has heard all relays; another one says who leads.
func (s *Service) handleDrift(w http.ResponseWriter) {
	st := s.node.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSince == 0 {
		w.Header().Set("Leader", st.Leader)
		writeJSON(w, http.StatusMisdirectedRequest, rollout.Result{Error: "ask the leader", Name: st.Leader})
		return
	}
	writeJSON(w, http.StatusOK, s.controller.driftStatus(s.now()))
}

// statusPage is what this relay says of its part.
func (s *Service) statusPage() any {
	st := s.node.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{}
	s.record.read(func(r *rollout.State, _ recordItems) { out["version"], out["orders"] = r.Version(), r.Orders(s.Name) })
	relays := map[string]any{}
	now := s.now()
	for name, h := range s.controller.fleet.relays {
		relays[name] = map[string]any{"heard_ms": now - h.receivedAt, "phase": h.Phase, "program": h.Program, "config": h.Config, "follows": h.AppliedVersion, "flows": h.Flows, "zone": h.Zone}
	}
	for k, v := range map[string]any{"name": s.Name, "program": s.Program, "config": s.ConfigDigest, "engine": st, "follows": s.lastObserved.AppliedVersion,
		"missed_looks": s.missedObservations, "bad_words": s.malformedReports, "said_bytes": s.reportBytes, "failed": s.failures} {
		out[k] = v
	}
	if s.leaderSince != 0 {
		out["relays"] = relays
	}
	return out
}
