package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// recordSnapshot is the complete record as of an index.
type recordSnapshot struct {
	recordID     uint64
	index, term  uint64
	confState    []byte
	voters       voterSet
	machineState []byte
	votersIndex  uint64 // the index at which voters were committed; 0 for the voters of the bootstrap
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
	var confState pb.ConfState
	return s, proto.Unmarshal(s.confState, &confState)
}

// bootstrapSnapshot returns the first snapshot of a record, at index 1, with the voters that
// bootstrap it.
func bootstrapSnapshot(recordID uint64, voters voterSet, machineState []byte) (recordSnapshot, error) {
	confState, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ConfState{Voters: voters.ids(), AutoLeave: new(false)})
	return recordSnapshot{recordID: recordID, index: 1, term: 1, confState: confState, voters: voters, machineState: machineState}, err
}

// newStorage returns raft storage with a snapshot, given both decoded and encoded, and with the hard
// state and entries that follow it. The hard state may be nil.
func newStorage(s recordSnapshot, encoded []byte, hardState *pb.HardState, entries []*pb.Entry) (*raft.MemoryStorage, error) {
	confState := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, confState); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	storage := raft.NewMemoryStorage()
	err := storage.ApplySnapshot(&pb.Snapshot{Data: encoded, Metadata: &pb.SnapshotMetadata{ConfState: confState, Index: new(s.index), Term: new(s.term)}})
	if err != nil {
		return nil, fmt.Errorf("apply snapshot: %w", err)
	}
	if hardState != nil {
		if err := storage.SetHardState(hardState); err != nil {
			return nil, fmt.Errorf("set hard state: %w", err)
		}
	}
	return storage, storage.Append(entries)
}
