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
	callMost     = 256 << 10
	callersMost  = 32
	headerWithin = 5 * time.Second
)

// open begins to take calls.
func (s *Service) open() error {
	l, err := net.Listen("tcp4", s.APIListen)
	if err != nil {
		return fmt.Errorf("fleet.calls: %w", err)
	}
	room := make(chan struct{}, callersMost)
	mux := s.routes()
	s.door = &http.Server{ReadHeaderTimeout: headerWithin, ReadTimeout: headerWithin, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case room <- struct{}{}:
			defer func() { <-room }()
			mux.ServeHTTP(w, r)
		default:
			say(w, http.StatusServiceUnavailable, rollout.Result{Error: "too many calls"})
		}
	})}
	s.Log.WithField("listen", l.Addr().String()).WithField("front", "fleet").Info("serving")
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		if err := s.door.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Log.WithError(err).Error("fleet: no more calls are taken")
		}
	}()
	return nil
}

func (s *Service) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/fleet", func(w http.ResponseWriter, _ *http.Request) { say(w, http.StatusOK, s.account()) })
	m.HandleFunc("GET /-/drift", func(w http.ResponseWriter, r *http.Request) { s.tellDrift(w) })
	m.HandleFunc("GET /-/intent", func(w http.ResponseWriter, r *http.Request) {
		if s.current(w, r) {
			s.record.mu.RLock()
			meant := s.record.intent // it never changes: a command makes another one
			s.record.mu.RUnlock()
			say(w, http.StatusOK, meant)
		}
	})
	m.HandleFunc("PUT /-/intent", func(w http.ResponseWriter, r *http.Request) { s.mean(w, r) })
	m.HandleFunc("GET /-/releases", func(w http.ResponseWriter, r *http.Request) {
		if !s.current(w, r) {
			return
		}
		var all struct {
			Releases []rollout.ReleaseStatus `json:"releases"`
			Permits  []rollout.Permit        `json:"permits"`
			Bans     []rollout.Ejection      `json:"bans"`
		}
		s.record.read(func(st *rollout.State, _ held) {
			all.Releases, all.Permits, all.Bans = st.Releases(), st.Permits(), st.Ejections()
		})
		for i := range all.Releases {
			all.Releases[i].Units = nil // by name
		}
		say(w, http.StatusOK, all)
	})
	m.HandleFunc("GET /-/releases/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !s.current(w, r) {
			return
		}
		var a rollout.ReleaseStatus
		var ok bool
		s.record.read(func(st *rollout.State, _ held) { a, ok = st.Release(r.PathValue("name")) })
		if !ok {
			say(w, http.StatusNotFound, rollout.Result{Error: "no such release"})
			return
		}
		say(w, http.StatusOK, struct {
			rollout.ReleaseStatus
			Waits string `json:"waits,omitempty"`
		}{a, s.waits(a.Name)})
	})
	m.HandleFunc("POST /-/releases", func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			Name string `json:"name"`
			Who  string `json:"who"`
			rollout.ReleaseSpec
			Canary *canary.Spec `json:"canary"`
		}
		if !take(w, r, &c) {
			return
		}
		open := rollout.Command{Kind: rollout.CommandOpen, Name: c.Name, Requester: c.Who, Release: &c.ReleaseSpec}
		if c.Canary == nil {
			s.agree(w, r, open)
			return
		}
		salt(c.Canary)
		body, err := json.Marshal(opening{open.Encode(), *c.Canary})
		if err != nil {
			say(w, http.StatusBadRequest, rollout.Result{Error: err.Error()})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callWithin)
		defer cancel()
		a, err := s.agreed(ctx, partBoth, body)
		s.answer(w, a, err)
	})
	m.HandleFunc("PUT /-/releases/{name}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		c := rollout.Command{Kind: r.PathValue("verb"), Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")}
		switch c.Kind {
		case rollout.CommandHalt, rollout.CommandResume, rollout.CommandRollBack:
			s.agree(w, r, c)
		default:
			say(w, http.StatusNotFound, rollout.Result{Error: "a release can be told to halt, resume, or go back"})
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
		if take(w, r, &c) {
			s.agree(w, r, rollout.Command{Kind: rollout.CommandRequestPermit, TargetKind: c.Kind, Name: c.Name, Requester: c.Who, Reason: c.Why, DurationMS: c.For})
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
			say(w, http.StatusNotFound, rollout.Result{Error: "a permit's number, and begin or done"})
			return
		}
		s.agree(w, r, c)
	})
	m.HandleFunc("PUT /-/relays/{name}/admit", func(w http.ResponseWriter, r *http.Request) {
		s.agree(w, r, rollout.Command{Kind: rollout.CommandReadmit, Name: r.PathValue("name"), Requester: r.RemoteAddr, Reason: r.URL.Query().Get("why")})
	})
	m.HandleFunc("GET /-/canaries", func(w http.ResponseWriter, r *http.Request) {
		if !s.current(w, r) {
			return
		}
		s.record.mu.RLock()
		all := s.record.canary.Canaries()
		s.record.mu.RUnlock()
		s.mu.Lock()
		verdict, leads := s.verdict, s.ledAt != 0
		s.mu.Unlock()
		out := map[string]any{"canaries": all}
		if leads {
			out["verdict"] = verdict
		}
		say(w, http.StatusOK, out)
	})
	m.HandleFunc("POST /-/canaries", func(w http.ResponseWriter, r *http.Request) {
		var spec canary.Spec
		if !take(w, r, &spec) {
			return
		}
		if len(spec.Arm.Members) == 0 && spec.Arm.Since == 0 { // all that start after the release
			s.record.read(func(st *rollout.State, _ held) {
				a, _ := st.Release(spec.Release)
				spec.Arm.Since = a.OpenedAt
			})
		}
		salt(&spec)
		s.agreeTrial(w, r, canary.Command{Do: "open", Release: spec.Release, Spec: &spec})
	})
	m.HandleFunc("PUT /-/canaries/{name}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		c := canary.Command{Do: r.PathValue("verb"), Release: r.PathValue("name"), Why: r.URL.Query().Get("why")}
		switch c.Do {
		case "pause":
			s.Post(func() { s.PauseCanary(c.Release) }) // here at once, and round without a majority; the record follows
		case "resume", "back", "close":
		default:
			say(w, http.StatusNotFound, rollout.Result{Error: "a canary can be told to pause, resume, go back, or be closed"})
			return
		}
		s.agreeTrial(w, r, c)
	})
	m.HandleFunc("PUT /-/voters/{old}/{new}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callWithin)
		defer cancel()
		if err := s.node.Replace(ctx, r.PathValue("old"), r.PathValue("new"), r.URL.Query().Get("address")); err != nil {
			say(w, status(err), rollout.Result{Error: err.Error()})
			return
		}
		say(w, http.StatusOK, rollout.Result{State: "replaced"})
	})
	return m
}

// current has the record here be as new as the call, or says why it is not: an answer of an old record would be taken for the state of now.
func (s *Service) current(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Has("stale") {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), callWithin)
	defer cancel()
	if _, err := s.node.Barrier(ctx); err != nil {
		say(w, status(err), rollout.Result{Error: err.Error() + "; ?stale shows what this relay has"})
		return false
	}
	return true
}

// waits says at the leader why nothing of a release may go out now: a budget that a zone of few never has room in looks like patience else.
func (s *Service) waits(release string) (why string) {
	s.mu.Lock()
	led, v := s.ledAt, s.view
	s.mu.Unlock()
	if led == 0 || v.At == 0 {
		return ""
	}
	s.record.read(func(r *rollout.State, h held) { why = r.BlockReasons(max(v.At, h.At), v, s.Budgets())[release] })
	return why
}

// salt draws what a canary's groups are drawn by, if the caller has not.
func salt(spec *canary.Spec) {
	for spec.Salt == 0 {
		var b [8]byte
		rand.Read(b[:])
		spec.Salt = binary.LittleEndian.Uint64(b[:])
	}
}

func (s *Service) agree(w http.ResponseWriter, r *http.Request, c rollout.Command) {
	a, err := s.propose(r.Context(), c)
	s.answer(w, a, err)
}

func (s *Service) answer(w http.ResponseWriter, a rollout.Result, err error) {
	switch {
	case err != nil:
		say(w, status(err), rollout.Result{Error: err.Error()})
	case a.Error != "":
		say(w, http.StatusConflict, a)
	default:
		say(w, http.StatusOK, a)
	}
}

func (s *Service) agreeTrial(w http.ResponseWriter, r *http.Request, c canary.Command) {
	switch err := s.proposeTrial(r.Context(), c); {
	case errors.Is(err, errRefused):
		say(w, http.StatusConflict, rollout.Result{Error: err.Error()})
	case err != nil && c.Do == "pause": // it was posted before: who is told only that it was not agreed would take the arm for open
		say(w, status(err), rollout.Result{Error: err.Error(), State: "paused here, and at all that can be reached; say it again when there is a majority"})
	case err != nil:
		say(w, status(err), rollout.Result{Error: err.Error()})
	default:
		say(w, http.StatusOK, rollout.Result{Name: c.Release, State: c.Do})
	}
}

// status is 503 where a call may be repeated, 504 where it is not known whether it counts: the record tells.
func status(err error) int {
	switch {
	case errors.Is(err, consensus.ErrNoQuorum), errors.Is(err, consensus.ErrQueueFull), errors.Is(err, consensus.ErrClosed):
		return http.StatusServiceUnavailable
	case errors.Is(err, consensus.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusGatewayTimeout
	}
}

func take(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, callMost))
	d.DisallowUnknownFields() // a misspelt bound must not be taken for none
	if err := d.Decode(to); err != nil {
		say(w, http.StatusBadRequest, rollout.Result{Error: err.Error()})
		return false
	}
	return true
}

func say(w http.ResponseWriter, code int, what any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(what)
}

// mean has agreed that what a relay runs is meant. The leader alone has heard it.
func (s *Service) mean(w http.ResponseWriter, r *http.Request) {
	st := s.node.Status()
	s.mu.Lock()
	leads := s.ledAt != 0
	c, err := s.helm.as(r.URL.Query().Get("as"), r.URL.Query().Get("item"), cmp.Or(r.URL.Query().Get("who"), r.RemoteAddr))
	s.mu.Unlock()
	switch {
	case !leads:
		w.Header().Set("Leader", st.Leader)
		say(w, http.StatusMisdirectedRequest, rollout.Result{Error: "ask the leader", Name: st.Leader})
	case err != nil:
		say(w, http.StatusNotFound, rollout.Result{Error: err.Error()})
	default:
		a, err := s.proposeMeaning(r.Context(), c)
		s.answer(w, a, err)
	}
}

// tellDrift answers at the leader, which alone has heard all relays; another one says who leads.
func (s *Service) tellDrift(w http.ResponseWriter) {
	st := s.node.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledAt == 0 {
		w.Header().Set("Leader", st.Leader)
		say(w, http.StatusMisdirectedRequest, rollout.Result{Error: "ask the leader", Name: st.Leader})
		return
	}
	say(w, http.StatusOK, s.helm.page(s.now()))
}

// account is what this relay says of its part.
func (s *Service) account() any {
	st := s.node.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{}
	s.record.read(func(r *rollout.State, _ held) { out["version"], out["orders"] = r.Version(), r.Orders(s.Name) })
	relays := map[string]any{}
	now := s.now()
	for name, h := range s.helm.scene.words {
		relays[name] = map[string]any{"heard_ms": now - h.at, "phase": h.Phase, "program": h.Program, "config": h.Config, "follows": h.Follows, "flows": h.Flows, "zone": h.Zone}
	}
	for k, v := range map[string]any{"name": s.Name, "program": s.Program, "config": s.ConfigDigest, "engine": st, "follows": s.look.AppliedVersion,
		"missed_looks": s.missed, "bad_words": s.bad, "said_bytes": s.said, "failed": s.fails} {
		out[k] = v
	}
	if s.ledAt != 0 {
		out["relays"] = relays
	}
	return out
}
