package consensus

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxRequests     = 512 // served at a time, beside streams
	maxStreams      = 1024
	readTimeout     = 10 * time.Second
	snapshotTimeout = 30 * time.Second
)

// ServeHTTP takes what other relays send.
func (n *Node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != endpointPath {
		n.countRejected("path")
		http.NotFound(w, r)
		return
	}
	select {
	case n.requestSlots <- struct{}{}:
	default:
		n.countDropped("requests")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	free := sync.OnceFunc(func() { <-n.requestSlots })
	defer free()
	if r.ContentLength < 0 || r.ContentLength > maxLargeRequest {
		n.countRejected("size")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.ContentLength > maxSmallRequest { // of unknown senders still: one at a time
		select {
		case n.largeSlot <- struct{}{}:
			defer func() { <-n.largeSlot }()
		default:
			n.countDropped("large")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	rc := http.NewResponseController(w)
	limit := readTimeout
	if r.ContentLength > maxSmallRequest {
		limit = snapshotTimeout
	}
	if err := rc.SetReadDeadline(time.Now().Add(limit)); err != nil {
		n.countRejected("deadline")
		return
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		n.countRejected("read")
		return
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		n.countRejected("deadline")
		return
	}
	req, err := verifyRequest(n.options.Keys, n.options.Name, b)
	if err != nil {
		n.countRejected(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	answer := func(b []byte) {
		out := sealAnswer(req.key, req.tag, 0, b)
		if req.kind == requestFollow { // its answer is frames
			out = append(binary.BigEndian.AppendUint32(nil, uint32(len(out))), out...)
		}
		w.Header()["Date"] = nil
		if _, err := w.Write(out); err != nil {
			n.countDropped("answers")
		}
	}
	switch start, err := n.replayGuard.admit(req); err {
	case nil:
	case errWrongEpoch:
		answer(binary.BigEndian.AppendUint64([]byte{codeWrongEpoch}, n.replayGuard.epoch))
		return
	case errStaleStart:
		answer(binary.BigEndian.AppendUint64([]byte{codeStaleStart}, start))
		return
	default:
		n.countRejected(err.Error())
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if req.kind == requestFollow {
		free()
		n.serveStream(r.Context(), w, rc, req)
		return
	}
	answer(n.handle(r.Context(), req))
}

func (n *Node) handle(ctx context.Context, req envelope) []byte {
	r := reader{rest: req.body}
	switch req.kind {
	case requestMessages:
		from, marks, ms, err := decodeMessages(req.body)
		e := n.engine()
		if err != nil || e == nil {
			return []byte{codeNoLeader}
		}
		select {
		case e.messages <- peerMessages{from, marks, ms}:
			return []byte{codeOK}
		default:
			n.countDropped("steps")
			return []byte{codeFull}
		}
	case requestPropose, requestBarrier:
		hops, ms := r.uint(), r.uint()
		w := &pendingCall{barrier: req.kind == requestBarrier, done: make(chan callResult, 1)}
		copy(w.id[:], r.bytes())
		w.command = r.bytes()
		if r.finish() != nil || len(w.command) > MaxCommandSize {
			return rejection(errMalformed)
		}
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(ms)*time.Millisecond, ProposeTimeout))
		defer cancel()
		res := n.routeCall(ctx, w, int(hops))
		switch {
		case res.err == nil:
			return putBytes(putUints([]byte{codeOK}, res.index), res.answer)
		case errors.Is(res.err, errNoLeader):
			return []byte{codeNoLeader}
		case errors.Is(res.err, ErrQueueFull):
			return []byte{codeFull}
		case errors.Is(res.err, ErrNoQuorum):
			return []byte{codeNoQuorum}
		}
		return []byte{codeOutcomeUnknown}
	case requestReport:
		return n.handleReports(ctx, req.body)
	case requestPeerStatus:
		return n.handlePeerStatus(req.from, req.body)
	case requestChange:
		return n.handleChange(ctx, req.body)
	}
	return rejection(errMalformed)
}
