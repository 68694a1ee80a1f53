package consensus

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var errMalformed = errors.New("short or malformed")

// reader takes apart what writer made. The first error stays; what is read after it is empty.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err, r.rest = errMalformed, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errMalformed, nil
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// count is a number of things of which each takes at least a byte.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errMalformed, nil
		return 0
	}
	return int(n)
}

// list is at most so many byte strings: more are an error.
func (r *reader) list(most int) (l [][]byte) {
	n := r.count()
	if n > most {
		r.err, r.rest = errMalformed, nil
		return nil
	}
	for range n {
		l = append(l, r.bytes())
	}
	return l
}

func (r *reader) string() string { return string(r.bytes()) }

func (r *reader) finish() error {
	if r.err == nil && len(r.rest) > 0 {
		return errMalformed
	}
	return r.err
}

func putUints(b []byte, vs ...uint64) []byte {
	for _, v := range vs {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func putBytes[T string | []byte](b []byte, v T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func putList(b []byte, l [][]byte) []byte {
	b = putUints(b, uint64(len(l)))
	for _, v := range l {
		b = putBytes(b, v)
	}
	return b
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// voter is a voter as the record has it; the key is its identity, which is its id in raft too.
type voter struct{ Name, Addr string }

type voterSet map[uint64]voter

func (m voterSet) ids() []uint64 { return slices.Sorted(maps.Keys(m)) }

// idOf is the identity under which the record has a name; 0 for none.
func (m voterSet) idOf(name string) uint64 {
	for _, id := range m.ids() {
		if m[id].Name == name {
			return id
		}
	}
	return 0
}

func putVoterSet(b []byte, m voterSet) []byte {
	b = putUints(b, uint64(len(m)))
	for _, id := range m.ids() {
		b = putBytes(putBytes(putUints(b, id), m[id].Name), m[id].Addr)
	}
	return b
}

func (r *reader) voterSet() voterSet {
	m := voterSet{}
	for range r.count() {
		id := r.uint()
		m[id] = voter{r.string(), r.string()}
	}
	return m
}

// voterChange is the context of a change of voters.
type voterChange struct {
	oldID, newID     uint64
	newName, address string
}

func (c voterChange) encode() []byte {
	return putBytes(putBytes(putUints(nil, c.oldID, c.newID), c.newName), c.address)
}

func decodeVoterChange(b []byte) (voterChange, error) {
	r := reader{rest: b}
	c := voterChange{oldID: r.uint(), newID: r.uint(), newName: r.string(), address: r.string()}
	return c, r.finish()
}

func (m voterSet) withChange(c voterChange) voterSet {
	n := maps.Clone(m)
	delete(n, c.oldID)
	n[c.newID] = voter{c.newName, c.address}
	return n
}

// What an entry of the log holds.
const (
	entryEmpty   = 0 // of the engine's own
	entryCommand = 1
	entryVoters  = 2
)

// committedEntry is a committed entry as it is applied and handed to followers. Voters carry what they lead to, so that followers need no engine.
type committedEntry struct {
	index, term uint64
	kind        byte
	proposalID  [16]byte // of the proposal
	command     []byte   // the command
	voters      voterSet
	confState   []byte // the engine's own form of who votes
}

func (it committedEntry) size() int {
	return 64 + len(it.command) + len(it.confState) + 64*len(it.voters)
}

func putEntry(b []byte, it committedEntry) []byte {
	b = putUints(b, it.index, it.term, uint64(it.kind))
	switch it.kind {
	case entryCommand:
		b = putBytes(append(b, it.proposalID[:]...), it.command)
	case entryVoters:
		b = putVoterSet(putBytes(b, it.confState), it.voters)
	}
	return b
}

func (r *reader) entry() (it committedEntry) {
	it.index, it.term = r.uint(), r.uint()
	switch kind := r.uint(); kind {
	case entryEmpty:
	case entryCommand:
		it.kind = entryCommand
		if len(r.rest) < 16 {
			r.err, r.rest = errMalformed, nil
			return it
		}
		copy(it.proposalID[:], r.rest)
		r.rest = r.rest[16:]
		it.command = r.bytes()
	case entryVoters:
		it.kind = entryVoters
		it.confState, it.voters = r.bytes(), r.voterSet()
	default:
		r.err = errMalformed
	}
	return it
}

func encodeCommand(id [16]byte, command []byte) []byte {
	return append(append([]byte{entryCommand}, id[:]...), command...)
}

// decodeCommand takes the data of a normal entry apart. What is no command is an empty entry: it changes nothing, everywhere.
func decodeCommand(b []byte) (id [16]byte, command []byte, ok bool) {
	if len(b) < 17 || b[0] != entryCommand {
		return id, nil, false
	}
	copy(id[:], b[1:17])
	return id, b[17:], true
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
