package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// bootstrapSnapshot is how a record begins: at index 1, agreed by those who found it.
func bootstrapSnapshot(record uint64, m voterSet, blank []byte) (recordSnapshot, error) {
	conf, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ConfState{Voters: m.ids(), AutoLeave: new(false)})
	return recordSnapshot{recordID: record, index: 1, term: 1, confState: conf, voters: m, machineState: blank}, err
}

// newStorage makes the engine's storage from what was on disk.
func newStorage(s recordSnapshot, raw []byte, hard *pb.HardState, entries []*pb.Entry) (*raft.MemoryStorage, error) {
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, conf); err != nil {
		return nil, err
	}
	st := raft.NewMemoryStorage()
	err := st.ApplySnapshot(&pb.Snapshot{Data: raw, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(s.index), Term: new(s.term)}})
	if err != nil {
		return nil, err
	}
	if hard != nil {
		if err := st.SetHardState(hard); err != nil {
			return nil, err
		}
	}
	return st, st.Append(entries)
}

// recordSnapshot is a snapshot: all that a relay holds of the record at an index.
type recordSnapshot struct {
	recordID     uint64
	index, term  uint64
	confState    []byte
	voters       voterSet
	machineState []byte
	votersIndex  uint64 // the index at which members were agreed; 0 as founded
}

func (s recordSnapshot) encode() []byte {
	b := putUints(nil, s.recordID, s.index, s.term)
	return putUints(putBytes(putVoterSet(putBytes(b, s.confState), s.voters), s.machineState), s.votersIndex)
}

func decodeSnapshot(b []byte) (recordSnapshot, error) {
	r := reader{rest: b}
	s := recordSnapshot{recordID: r.uint(), index: r.uint(), term: r.uint(), confState: r.bytes(), voters: r.voterSet(), machineState: r.bytes(), votersIndex: r.uint()}
	if err := r.finish(); err != nil {
		return s, err
	}
	var cs pb.ConfState
	return s, proto.Unmarshal(s.confState, &cs)
}
