package consensus

import (
	"bytes"
	"encoding/binary"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// storedState is the content of a voter's database file.
type storedState struct {
	identity     uint64
	snapshot     []byte // encoded; nil if this relay has not been a voter under this identity
	hardState    *pb.HardState
	entries      []*pb.Entry // after the snapshot
	acknowledged map[uint64]logPosition
}

// loadFile decodes the content of a database file and verifies its checksums.
func loadFile(file []byte) (stored storedState, err error) {
	txID, meta, log, err := readPages(file)
	if err != nil {
		return stored, err
	}
	values, metaChecksum, err := loadMeta(meta)
	if err != nil {
		return stored, err
	}
	entries, logChecksum, err := loadEntries(log)
	if err != nil {
		return stored, err
	}
	identity := values[string(keyIdentity)]
	if len(identity) != 8 || !bytes.Equal(values[string(keyChecksum)], encodeChecksum(metaChecksum^logChecksum, txID)) {
		return stored, errDamaged
	}
	stored = storedState{identity: binary.BigEndian.Uint64(identity), snapshot: values[string(keySnapshot)], hardState: &pb.HardState{}, entries: entries}
	if err := proto.Unmarshal(values[string(keyHardState)], stored.hardState); err != nil {
		return stored, err
	}
	if stored.acknowledged, err = loadPositions(values[string(keyAcknowledged)]); err != nil || stored.snapshot == nil {
		return stored, err
	}
	err = stored.alignWithSnapshot()
	return stored, err
}

// loadMeta verifies the pairs of bucketMeta and returns their contents and their part of the checksum over
// all pairs.
func loadMeta(pairs []keyValue) (values map[string][]byte, checksum uint64, err error) {
	values = map[string][]byte{}
	for _, p := range pairs {
		content, err := verifyChecksum(p.value)
		if err != nil {
			return nil, 0, err
		}
		values[string(p.key)] = content
		if !bytes.Equal(p.key, keyChecksum) {
			checksum ^= pairChecksum(p.key, p.value)
		}
	}
	return values, checksum, nil
}

// loadEntries verifies the pairs of bucketLog, whose indexes must have no gaps. It returns the entries and
// their part of the checksum over all pairs.
func loadEntries(pairs []keyValue) (entries []*pb.Entry, checksum uint64, err error) {
	for _, p := range pairs {
		content, err := verifyChecksum(p.value)
		if err != nil {
			return nil, 0, err
		}
		checksum ^= pairChecksum(p.key, p.value)
		e := &pb.Entry{}
		if err := proto.Unmarshal(content, e); err != nil {
			return nil, 0, err
		}
		if n := len(entries); !bytes.Equal(p.key, uint64Key(e.GetIndex())) || n > 0 && entries[n-1].GetIndex()+1 != e.GetIndex() {
			return nil, 0, errDamaged
		}
		entries = append(entries, e)
	}
	return entries, checksum, nil
}

func loadPositions(b []byte) (map[uint64]logPosition, error) {
	positions := map[uint64]logPosition{}
	r := reader{rest: b}
	for len(r.rest) > 0 && r.err == nil {
		id := r.uint()
		positions[id] = logPosition{r.uint(), r.uint()}
	}
	return positions, r.err
}

// alignWithSnapshot checks the entries and the hard state against the snapshot. It drops the entries up to
// the snapshot, which the file keeps for voters that lag a little: raft's log begins after the snapshot.
func (s *storedState) alignWithSnapshot() error {
	snapshot, err := decodeSnapshot(s.snapshot)
	if err != nil {
		return err
	}
	for len(s.entries) > 0 && s.entries[0].GetIndex() <= snapshot.index {
		s.entries = s.entries[1:]
	}
	last := snapshot.index
	if n := len(s.entries); n > 0 {
		if s.entries[0].GetIndex() != snapshot.index+1 {
			return errDamaged
		}
		last = s.entries[n-1].GetIndex()
	}
	if s.hardState.GetCommit() > last || s.hardState.GetTerm() < snapshot.term {
		return errDamaged
	}
	if s.hardState.GetCommit() < snapshot.index {
		s.hardState.Commit = new(snapshot.index)
	}
	return nil
}

// stateToStore returns the content of a new database file for a voter's raft storage.
func stateToStore(identity uint64, storage *raft.MemoryStorage, acknowledged map[uint64]logPosition) (storedState, error) {
	snapshot, err := storage.Snapshot()
	if err != nil {
		return storedState{}, err
	}
	hardState, _, err := storage.InitialState()
	if err != nil {
		return storedState{}, err
	}
	stored := storedState{identity: identity, snapshot: snapshot.GetData(), hardState: hardState, acknowledged: acknowledged}
	first, err := storage.FirstIndex()
	if err != nil {
		return storedState{}, err
	}
	last, err := storage.LastIndex()
	if err != nil {
		return storedState{}, err
	}
	if last >= first {
		stored.entries, err = storage.Entries(first, last+1, 1<<62)
	}
	return stored, err
}
