package consensus

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var errShort = errors.New("short or malformed")

// reader takes apart what writer made. The first error stays; what is read after it is empty.
type reader struct {
	b   []byte
	err error
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.err, r.b = errShort, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.err, r.b = errShort, nil
		return nil
	}
	b := r.b[:n:n]
	r.b = r.b[n:]
	return b
}

// count is a number of things of which each takes at least a byte.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.err, r.b = errShort, nil
		return 0
	}
	return int(n)
}

// list is at most so many byte strings: more are an error.
func (r *reader) list(most int) (l [][]byte) {
	n := r.count()
	if n > most {
		r.err, r.b = errShort, nil
		return nil
	}
	for range n {
		l = append(l, r.bytes())
	}
	return l
}

func (r *reader) string() string { return string(r.bytes()) }

func (r *reader) end() error {
	if r.err == nil && len(r.b) > 0 {
		return errShort
	}
	return r.err
}

func put(b []byte, vs ...uint64) []byte {
	for _, v := range vs {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func putBytes[T string | []byte](b []byte, v T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func putList(b []byte, l [][]byte) []byte {
	b = put(b, uint64(len(l)))
	for _, v := range l {
		b = putBytes(b, v)
	}
	return b
}

func flag(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// member is a voter as the record has it; the key is its identity, which is its id in raft too.
type member struct{ Name, Addr string }

type members map[uint64]member

func (m members) ids() []uint64 { return slices.Sorted(maps.Keys(m)) }

// named is the identity under which the record has a name; 0 for none.
func (m members) named(name string) uint64 {
	for _, id := range m.ids() {
		if m[id].Name == name {
			return id
		}
	}
	return 0
}

func putMembers(b []byte, m members) []byte {
	b = put(b, uint64(len(m)))
	for _, id := range m.ids() {
		b = putBytes(putBytes(put(b, id), m[id].Name), m[id].Addr)
	}
	return b
}

func (r *reader) members() members {
	m := members{}
	for range r.count() {
		id := r.uint()
		m[id] = member{r.string(), r.string()}
	}
	return m
}

// change is the context of a change of voters.
type change struct {
	old, new   uint64
	name, addr string
}

func (c change) encode() []byte { return putBytes(putBytes(put(nil, c.old, c.new), c.name), c.addr) }

func decodeChange(b []byte) (change, error) {
	r := reader{b: b}
	c := change{old: r.uint(), new: r.uint(), name: r.string(), addr: r.string()}
	return c, r.end()
}

func (m members) apply(c change) members {
	n := maps.Clone(m)
	delete(n, c.old)
	n[c.new] = member{c.name, c.addr}
	return n
}

// What an entry of the log holds.
const (
	entryEmpty   = 0 // of the engine's own
	entryCommand = 1
	entryVoters  = 2
)

// item is a committed entry as it is applied and handed to followers. Voters carry what they lead to, so that followers need no engine.
type item struct {
	index, term uint64
	kind        byte
	id          [16]byte // of the proposal
	data        []byte   // the command
	members     members
	conf        []byte // the engine's own form of who votes
}

func (it item) size() int { return 64 + len(it.data) + len(it.conf) + 64*len(it.members) }

func putItem(b []byte, it item) []byte {
	b = put(b, it.index, it.term, uint64(it.kind))
	switch it.kind {
	case entryCommand:
		b = putBytes(append(b, it.id[:]...), it.data)
	case entryVoters:
		b = putMembers(putBytes(b, it.conf), it.members)
	}
	return b
}

func (r *reader) item() (it item) {
	it.index, it.term = r.uint(), r.uint()
	switch kind := r.uint(); kind {
	case entryEmpty:
	case entryCommand:
		it.kind = entryCommand
		if len(r.b) < 16 {
			r.err, r.b = errShort, nil
			return it
		}
		copy(it.id[:], r.b)
		r.b = r.b[16:]
		it.data = r.bytes()
	case entryVoters:
		it.kind = entryVoters
		it.conf, it.members = r.bytes(), r.members()
	default:
		r.err = errShort
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

// state is a snapshot: all that a relay holds of the record at an index.
type state struct {
	record      uint64
	index, term uint64
	conf        []byte
	members     members
	machine     []byte
	votersAt    uint64 // the index at which members were agreed; 0 as founded
}

func (s state) encode() []byte {
	b := put(nil, s.record, s.index, s.term)
	return put(putBytes(putMembers(putBytes(b, s.conf), s.members), s.machine), s.votersAt)
}

func decodeState(b []byte) (state, error) {
	r := reader{b: b}
	s := state{record: r.uint(), index: r.uint(), term: r.uint(), conf: r.bytes(), members: r.members(), machine: r.bytes(), votersAt: r.uint()}
	if err := r.end(); err != nil {
		return s, err
	}
	var cs pb.ConfState
	return s, proto.Unmarshal(s.conf, &cs)
}

// batch is messages of the engine for one voter. The sender's identity goes with them: the name is in the envelope.
func encodeBatch(from uint64, marks map[uint64]mark, ms [][]byte) []byte {
	b := put(nil, from, uint64(len(marks)))
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		b = put(b, id, marks[id].term, marks[id].index)
	}
	return putList(b, ms)
}

func decodeBatch(b []byte) (from uint64, marks map[uint64]mark, ms []*pb.Message, err error) {
	r := reader{b: b}
	from = r.uint()
	marks = map[uint64]mark{}
	for range r.count() {
		id := r.uint()
		marks[id] = mark{r.uint(), r.uint()}
	}
	for range r.count() {
		m := &pb.Message{}
		if err := proto.Unmarshal(r.bytes(), m); err != nil {
			return 0, nil, nil, err
		}
		ms = append(ms, m)
	}
	return from, marks, ms, r.end()
}
