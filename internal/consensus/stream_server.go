package consensus

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"
)

const (
	streamHeartbeatInterval = 500 * time.Millisecond // on a stream that has nothing to say
	maxEntriesFrame         = 256 << 10              // bytes of entries in a frame
)

// serveStream sends a follower what is agreed, as long as it listens.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, req envelope) {
	r := reader{rest: req.body}
	record, index := r.uint(), r.uint()
	defer n.streamCount.Add(-1)
	if n.streamCount.Add(1) > maxStreams || r.finish() != nil {
		n.countDropped("streams")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Date"] = nil
	part := uint64(0)
	frame := func(kind byte, body []byte) bool {
		limit := streamTimeout
		if len(body) > maxSmallRequest {
			limit = snapshotTimeout
		}
		if rc.SetWriteDeadline(time.Now().Add(limit)) != nil {
			return false
		}
		b := sealAnswer(req.key, req.tag, part, append([]byte{kind}, body...))
		part++
		if _, err := w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b)))); err != nil {
			return false
		}
		if _, err := w.Write(b); err != nil {
			return false
		}
		return rc.Flush() == nil
	}
	beat := time.NewTicker(streamHeartbeatInterval)
	defer beat.Stop()
	if e := n.engine(); e == nil || !frame(frameHeartbeat, n.heartbeatFrame(e)) {
		return
	}
	for {
		e := n.engine()
		if e == nil { // no voter any more
			return
		}
		whole, at, items, changed := n.applier.entriesAfter(record, index, maxEntriesFrame)
		if whole != nil {
			if !frame(frameSnapshot, whole) {
				return
			}
			record, _, _ = n.applier.position()
		}
		if len(items) > 0 {
			b := putUints(nil, uint64(len(items)))
			for _, it := range items {
				b = putEntry(b, it)
			}
			if !frame(frameEntries, b) {
				return
			}
		}
		if whole != nil || len(items) > 0 {
			index = at
			continue
		}
		select {
		case <-n.quit:
			return
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			if !frame(frameHeartbeat, n.heartbeatFrame(e)) {
				return
			}
			if n.applier.snapshotDue() {
				select {
				case n.snapshotRequests <- make(chan struct{}):
				default:
				}
			}
		}
	}
}

// heartbeatFrame is what a stream says of the whole.
func (n *Node) heartbeatFrame(e *engine) []byte {
	v := e.view.Load()
	return putBytes(putUints(nil, v.committed, boolToUint(v.leader != 0 && v.diskError == nil)), v.voters[v.leader].Name)
}
