package consensus

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"
)

const (
	maxStreams           = 1024
	streamStatusInterval = 500 * time.Millisecond // between status frames on a stream without entries
	maxEntriesFrame      = 256 << 10              // approximate limit in bytes of the entries in one frame
)

// streamWriter writes the frames of one follower's stream.
type streamWriter struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	req   envelope
	frame uint64 // number of the next frame
}

func (s *streamWriter) write(kind byte, body []byte) error {
	timeout := streamTimeout
	if len(body) > maxSmallRequest {
		timeout = snapshotTimeout
	}
	if err := s.rc.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	b := sealResponse(s.req.key, s.req.tag, s.frame, append([]byte{kind}, body...))
	s.frame++
	if _, err := s.w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b)))); err != nil {
		return err
	}
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}

// serveStream sends the record to a follower, from the follower's position on, until the connection
// fails or this relay does not vote any more.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, req envelope) {
	r := reader{rest: req.body}
	recordID, index := r.uint(), r.uint()
	defer n.streamCount.Add(-1)
	if n.streamCount.Add(1) > maxStreams || r.finish() != nil {
		n.countDropped(droppedStreams)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Date"] = nil
	stream := &streamWriter{w: w, rc: rc, req: req}
	ticker := time.NewTicker(streamStatusInterval)
	defer ticker.Stop()
	if e := n.engine(); e == nil || stream.write(frameStatus, statusFrame(e)) != nil {
		return
	}
	for {
		e := n.engine()
		if e == nil {
			return
		}
		batch, changed := n.applier.entriesAfter(recordID, index, maxEntriesFrame)
		if batch.snapshot != nil {
			if stream.write(frameSnapshot, batch.snapshot) != nil {
				return
			}
			recordID, _, _ = n.applier.position()
		}
		if len(batch.entries) > 0 && stream.write(frameEntries, encodeEntries(batch.entries)) != nil {
			return
		}
		if !batch.empty() {
			index = batch.index
			continue
		}
		select {
		case <-n.quit:
			return
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if stream.write(frameStatus, statusFrame(e)) != nil {
				return
			}
			if n.applier.snapshotDue() {
				n.requestSnapshot()
			}
		}
	}
}

// statusFrame returns the body of a status frame: the commit index, whether there is a quorum, and
// the leader's name. The frame also shows that the stream works.
func statusFrame(e *engine) []byte {
	v := e.view.Load()
	return putBytes(putUints(nil, v.commitIndex, boolToUint(v.hasLeader())), v.voters[v.leader].name)
}
