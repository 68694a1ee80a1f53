package consensus

import (
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// peerMessages is what another voter sent.
type peerMessages struct {
	from         uint64
	acknowledged map[uint64]logPosition
	messages     []*pb.Message
}

// batch is messages of the engine for one voter. The sender's identity goes with them: the name is in the envelope.
func encodeMessages(from uint64, marks map[uint64]logPosition, ms [][]byte) []byte {
	b := putUints(nil, from, uint64(len(marks)))
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		b = putUints(b, id, marks[id].term, marks[id].index)
	}
	return putList(b, ms)
}

func decodeMessages(b []byte) (from uint64, marks map[uint64]logPosition, ms []*pb.Message, err error) {
	r := reader{rest: b}
	from = r.uint()
	marks = map[uint64]logPosition{}
	for range r.count() {
		id := r.uint()
		marks[id] = logPosition{r.uint(), r.uint()}
	}
	for range r.count() {
		m := &pb.Message{}
		if err := proto.Unmarshal(r.bytes(), m); err != nil {
			return 0, nil, nil, err
		}
		ms = append(ms, m)
	}
	return from, marks, ms, r.finish()
}
