package consensus

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// peerMessages are raft messages from another voter. With a heartbeat, the sender also passes on the
// log positions of all voters that it knows.
type peerMessages struct {
	from         uint64
	acknowledged map[uint64]logPosition
	messages     []*pb.Message
}

// encodeMessages encodes raft messages for one voter. They carry the sender's identity; the sender's
// name is in the envelope of the request.
func encodeMessages(from uint64, acknowledged map[uint64]logPosition, messages [][]byte) []byte {
	b := putUints(nil, from, uint64(len(acknowledged)))
	return putList(putPositions(b, acknowledged), messages)
}

func decodeMessages(b []byte) (p peerMessages, err error) {
	r := reader{rest: b}
	p.from = r.uint()
	p.acknowledged = map[uint64]logPosition{}
	for range r.count() {
		id := r.uint()
		p.acknowledged[id] = logPosition{r.uint(), r.uint()}
	}
	for range r.count() {
		m := &pb.Message{}
		if err := proto.Unmarshal(r.bytes(), m); err != nil {
			return peerMessages{}, fmt.Errorf("raft message: %w", err)
		}
		p.messages = append(p.messages, m)
	}
	return p, r.finish()
}
