package consensus

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"dahliarudder/internal/gossip"
)

const (
	maxRequests = 512 // served at a time, except streams
	readTimeout = 10 * time.Second
)

// serveHTTP serves the requests of other relays.
func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != endpointPath {
		n.countRejected(rejectedPath)
		http.NotFound(w, r)
		return
	}
	select {
	case n.requestSlots <- struct{}{}:
	default:
		n.countDropped(droppedRequests)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	release := sync.OnceFunc(func() { <-n.requestSlots })
	defer release()
	if r.ContentLength < 0 || r.ContentLength > maxLargeRequest {
		n.countRejected(rejectedSize)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	timeout := readTimeout
	if r.ContentLength > maxSmallRequest { // one at a time, since the sender is not verified yet
		select {
		case n.largeSlot <- struct{}{}:
			defer func() { <-n.largeSlot }()
		default:
			n.countDropped(droppedLargeRequests)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		timeout = snapshotTimeout
	}
	rc := http.NewResponseController(w)
	req, ok := n.readRequest(w, rc, r, timeout)
	if !ok {
		return
	}
	if req.kind == requestFollow {
		release()
		n.serveStream(r.Context(), w, rc, req)
		return
	}
	n.respond(w, req, n.handle(r.Context(), req))
}

// readRequest reads a request and verifies its envelope. If it returns false, the request is already
// answered or counted, and the caller has nothing left to do.
func (n *Node) readRequest(w http.ResponseWriter, rc *http.ResponseController, r *http.Request, timeout time.Duration) (req envelope, ok bool) {
	body, rejected := readBody(rc, r, timeout)
	if rejected != "" {
		n.countRejected(rejected)
		return req, false
	}
	req, err := verifyRequest(n.options.Keys, n.options.Name, body)
	if err != nil {
		n.countRejected(gossip.RejectReason(err))
		w.WriteHeader(http.StatusForbidden)
		return req, false
	}
	start, err := n.replayGuard.admit(req)
	switch {
	case err == nil:
		return req, true
	case errors.Is(err, errWrongEpoch):
		n.respond(w, req, binary.BigEndian.AppendUint64([]byte{codeWrongEpoch}, n.replayGuard.epoch))
	case errors.Is(err, errStaleStart):
		n.respond(w, req, binary.BigEndian.AppendUint64([]byte{codeStaleStart}, start))
	default:
		n.countRejected(gossip.RejectReason(err))
		w.WriteHeader(http.StatusForbidden)
	}
	return req, false
}

// readBody reads a request's body within timeout. If that fails, it returns the key of
// Status.Rejected to count the request under.
func readBody(rc *http.ResponseController, r *http.Request, timeout time.Duration) (body []byte, rejected string) {
	if err := rc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, rejectedDeadline
	}
	body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, rejectedRead
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, rejectedDeadline
	}
	return body, ""
}

// respond writes a sealed response.
func (n *Node) respond(w http.ResponseWriter, req envelope, body []byte) {
	sealed := sealResponse(req.key, req.tag, 0, body)
	if req.kind == requestFollow { // the sender expects a frame of a stream
		sealed = append(binary.BigEndian.AppendUint32(nil, uint32(len(sealed))), sealed...)
	}
	w.Header()["Date"] = nil
	if _, err := w.Write(sealed); err != nil {
		n.countDropped(droppedResponses)
	}
}

// handle handles a verified request and returns the response.
func (n *Node) handle(ctx context.Context, req envelope) []byte {
	switch req.kind {
	case requestMessages:
		return n.handleMessages(req.body)
	case requestPropose, requestBarrier:
		return n.handleCall(ctx, req)
	case requestReport:
		return n.handleReports(ctx, req.body)
	case requestPeerStatus:
		return n.handlePeerStatus(req.body)
	case requestChange:
		return n.handleChange(ctx, req.body)
	}
	return rejection(errMalformed)
}

// handleMessages passes raft messages to the engine.
func (n *Node) handleMessages(body []byte) []byte {
	p, err := decodeMessages(body)
	e := n.engine()
	if err != nil || e == nil {
		return []byte{codeNoLeader}
	}
	select {
	case e.messages <- p:
		return []byte{codeOK}
	default:
		n.countDropped(droppedMessages)
		return []byte{codeQueueFull}
	}
}
