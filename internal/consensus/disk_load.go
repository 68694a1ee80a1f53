package consensus

import (
	"bytes"
	"encoding/binary"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storedState is what a directory held.
type storedState struct {
	identity     uint64
	snapshot     []byte // nil: it never voted
	hardState    *pb.HardState
	entries      []*pb.Entry
	acknowledged map[uint64]logPosition
}

// loadFile takes a file apart and holds it against its sums: it is whole, or an error.
func loadFile(b []byte) (h storedState, err error) {
	number, meta, log, err := readPages(b)
	if err != nil {
		return h, err
	}
	values, sum := map[string][]byte{}, uint64(0)
	for _, p := range meta {
		v, err := verifyChecksum(p.value)
		if err != nil {
			return h, err
		}
		values[string(p.key)] = v
		if !bytes.Equal(p.key, keyChecksum) {
			sum ^= pairChecksum(p.key, p.value)
		}
	}
	for _, p := range log {
		raw, err := verifyChecksum(p.value)
		if err != nil {
			return h, err
		}
		sum ^= pairChecksum(p.key, p.value)
		e := &pb.Entry{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return h, err
		}
		if n := len(h.entries); !bytes.Equal(p.key, uint64Key(e.GetIndex())) || n > 0 && h.entries[n-1].GetIndex()+1 != e.GetIndex() {
			return h, errDamaged
		}
		h.entries = append(h.entries, e)
	}
	ident := values[string(keyIdentity)]
	if len(ident) != 8 || !bytes.Equal(values[string(keyChecksum)], encodeChecksum(sum, number)) {
		return h, errDamaged
	}
	h.identity, h.snapshot = binary.BigEndian.Uint64(ident), values[string(keySnapshot)]
	h.hardState = &pb.HardState{}
	if err := proto.Unmarshal(values[string(keyHardState)], h.hardState); err != nil {
		return h, err
	}
	h.acknowledged = map[uint64]logPosition{}
	r := reader{rest: values[string(keyAcknowledged)]}
	for len(r.rest) > 0 && r.err == nil {
		h.acknowledged[r.uint()] = logPosition{r.uint(), r.uint()}
	}
	if r.err != nil || h.snapshot == nil {
		return h, r.err
	}
	s, err := decodeSnapshot(h.snapshot)
	if err != nil {
		return h, err
	}
	// The log holds some entries that the snapshot has too, for those who are a little behind; the engine begins after it.
	for len(h.entries) > 0 && h.entries[0].GetIndex() <= s.index {
		h.entries = h.entries[1:]
	}
	last := s.index
	if n := len(h.entries); n > 0 {
		if h.entries[0].GetIndex() != s.index+1 {
			return h, errDamaged
		}
		last = h.entries[n-1].GetIndex()
	}
	if h.hardState.GetCommit() > last || h.hardState.GetTerm() < s.term {
		return h, errDamaged
	}
	if h.hardState.GetCommit() < s.index {
		h.hardState.Commit = new(s.index)
	}
	return h, nil
}

// stateToStore is what a voter's storage holds, to be written anew.
func stateToStore(identity uint64, st *raft.MemoryStorage, marks map[uint64]logPosition) (storedState, error) {
	snap, err := st.Snapshot()
	if err != nil {
		return storedState{}, err
	}
	hard, _, err := st.InitialState()
	if err != nil {
		return storedState{}, err
	}
	h := storedState{identity: identity, snapshot: snap.GetData(), hardState: hard, acknowledged: marks}
	first, err := st.FirstIndex()
	if err != nil {
		return storedState{}, err
	}
	last, err := st.LastIndex()
	if err != nil {
		return storedState{}, err
	}
	if last >= first {
		h.entries, err = st.Entries(first, last+1, 1<<62)
	}
	return h, err
}
