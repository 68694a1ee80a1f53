package consensus

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// encodedSamples returns one valid encoding of each kind that FuzzDecode decodes.
func encodedSamples(t interface{ Fatal(...any) }) [][]byte {
	s, err := bootstrapSnapshot(3, voterSet{7: {"a", "b"}, 9: {"c", "d"}}, []byte("machine"))
	if err != nil {
		t.Fatal(err)
	}
	m, err := proto.Marshal(&pb.Message{Type: pb.MsgApp.Enum(), From: new(uint64(7)), To: new(uint64(9)), Entries: []*pb.Entry{{Data: []byte("x")}}})
	if err != nil {
		t.Fatal(err)
	}
	entries := putUints(nil, 3)
	entries = putEntry(entries, committedEntry{index: 4, term: 1, kind: entryCommand, proposalID: proposalID{1}, command: []byte("c")})
	entries = putEntry(entries, committedEntry{index: 5, term: 1})
	entries = putEntry(entries, committedEntry{index: 6, term: 2, kind: entryVoters, confState: s.confState, voters: s.voters})
	status := putUints(putVoterSet(putUints([]byte{codeOK}, 1, 7, 3, 9), s.voters), 4, 5, 1, 1)
	return [][]byte{s.encode(), encodeMessages(7, map[uint64]logPosition{9: {1, 2}}, [][]byte{m}), entries, status, voterChange{7, 9, "a", "b"}.encode(), encodeCommand(proposalID{2}, []byte("c"))}
}

// FuzzDecode guards against input from another relay that crashes a decoder or makes it allocate more
// elements than bytes arrived, and against decoded values that do not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	for _, b := range encodedSamples(f) {
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add(bytes.Repeat([]byte{0xff}, 40))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeSnapshot(b); err == nil {
			redecoded, err := decodeSnapshot(s.encode())
			if err != nil || !bytes.Equal(redecoded.encode(), s.encode()) {
				t.Fatalf("decodeSnapshot(s.encode()) does not return s = %+v; error %v", s, err)
			}
		}
		if p, err := decodeMessages(b); err == nil {
			if len(p.acknowledged)+len(p.messages) > len(b) {
				t.Fatalf("decodeMessages(%d bytes) = %d positions and %d messages from %d, want no more than bytes",
					len(b), len(p.acknowledged), len(p.messages), p.from)
			}
		}
		if _, err := decodePeerStatus(b); err == nil && b[0] != codeOK {
			t.Fatalf("decodePeerStatus accepts a response with code %d, want only code %d", b[0], codeOK)
		}
		_, _ = decodeVoterChange(b)
		_, _, _ = decodeCommand(b)
		r := reader{rest: b}
		decoded := 0
		for range r.count() {
			if entry := r.entry(); r.err == nil {
				r2 := reader{rest: putEntry(nil, entry)}
				if redecoded := r2.entry(); r2.finish() != nil || redecoded.index != entry.index || !bytes.Equal(redecoded.command, entry.command) {
					t.Fatalf("entry read from its own encoding = %+v, error %v; want %+v", redecoded, r2.finish(), entry)
				}
			}
			decoded++
		}
		if decoded > len(b) {
			t.Fatalf("reader.count() allows %d entries in %d bytes, want no more entries than bytes", decoded, len(b))
		}
	})
}
