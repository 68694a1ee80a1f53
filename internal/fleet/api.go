package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dahliarudder/internal/consensus"
	"dahliarudder/internal/latelisten"
	"dahliarudder/internal/rollout"
)

// Limits of the API.
const (
	maxBodyBytes       = 256 << 10
	maxConcurrentCalls = 32
	headerTimeout      = 5 * time.Second
)

// route is one method and path of the API with its handler.
type route struct {
	pattern string // as http.ServeMux takes it
	handle  http.HandlerFunc
}

// routes returns all routes of the API. The GET routes for intent, releases and canaries answer from
// this relay's copy of the record, once it is current (see ensureCurrent).
func (s *Service) routes() []route {
	return []route{
		{"GET /-/fleet", s.handleStatus},
		{"GET /-/drift", s.handleDrift},
		{"GET /-/intent", s.handleGetIntent},
		{"PUT /-/intent", s.handleSetIntent},
		{"GET /-/releases", s.handleListReleases},
		{"GET /-/releases/{name}", s.handleGetRelease},
		{"POST /-/releases", s.handleOpenRelease},
		{"PUT /-/releases/{name}/{verb}", s.handleControlRelease},
		{"POST /-/permits", s.handleRequestPermit},
		{"PUT /-/permits/{number}/{verb}", s.handleUpdatePermit},
		{"PUT /-/relays/{name}/admit", s.handleReadmitRelay},
		{"GET /-/canaries", s.handleListCanaries},
		{"POST /-/canaries", s.handleOpenCanary},
		{"PUT /-/canaries/{name}/{verb}", s.handleControlCanary},
		{"PUT /-/voters/{old}/{new}", s.handleReplaceVoter},
	}
}

// startAPI listens on fleet.calls and serves the API until Close.
func (s *Service) startAPI() error {
	listener, err := latelisten.Listen("tcp4", s.APIListen, s.Log, func(addr net.Addr) {
		s.Log.WithField("listen", addr.String()).WithField("front", "fleet").Info("serving")
	})
	if err != nil {
		return fmt.Errorf("fleet.calls: %w", err)
	}
	mux := http.NewServeMux()
	for _, r := range s.routes() {
		mux.HandleFunc(r.pattern, r.handle)
	}
	s.api = &http.Server{ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, Handler: limitConcurrency(mux)}
	s.run(func() {
		if err := s.api.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.Log.WithError(err).Error("fleet: the API server stopped")
		}
	})
	return nil
}

// limitConcurrency answers 503 to calls beyond maxConcurrentCalls at a time.
func limitConcurrency(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxConcurrentCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			writeError(w, http.StatusServiceUnavailable, "too many calls")
		}
	})
}

// ensureCurrent waits until this relay's copy of the record includes everything that was committed
// before the call. If that fails it answers with an error and returns false: a caller would take an
// answer from an older copy for the present state. With the query parameter `stale` it returns true
// without waiting.
func (s *Service) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Has("stale") {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if _, err := s.node.Barrier(ctx); err != nil {
		writeError(w, statusCode(err), err.Error()+"; ?stale shows what this relay has")
		return false
	}
	return true
}

// proposeAndAnswer proposes a rollout command and answers with its result.
func (s *Service) proposeAndAnswer(w http.ResponseWriter, r *http.Request, c rollout.Command) {
	result, err := s.propose(r.Context(), c)
	writeResult(w, result, err)
}

// writeResult answers 409 if the record rejected the command, and as in statusCode if proposing it
// failed.
func writeResult(w http.ResponseWriter, result rollout.Result, err error) {
	switch {
	case err != nil:
		writeError(w, statusCode(err), err.Error())
	case result.Error != "":
		writeJSON(w, http.StatusConflict, result)
	default:
		writeJSON(w, http.StatusOK, result)
	}
}

// statusCode returns the HTTP status for an error of the consensus node: 503 if the call had no
// effect and may be repeated, 413 if the command is too large, and 504 if it is unknown whether the
// command took effect; the caller has to look at the record.
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

// decodeBody decodes the request's JSON body, or answers 400.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields() // otherwise a misspelt limit would pass as an absent one
	if err := d.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// writeError answers with a JSON body that has the text as its error.
func writeError(w http.ResponseWriter, code int, text string) {
	writeJSON(w, code, rollout.Result{Error: text})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(body)
}
