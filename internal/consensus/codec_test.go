package consensus

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func samples(t interface{ Fatal(...any) }) [][]byte {
	s, err := bootstrapSnapshot(3, voterSet{7: {"a", "b"}, 9: {"c", "d"}}, []byte("machine"))
	if err != nil {
		t.Fatal(err)
	}
	m, err := proto.Marshal(&pb.Message{Type: pb.MsgApp.Enum(), From: new(uint64(7)), To: new(uint64(9)), Entries: []*pb.Entry{{Data: []byte("x")}}})
	if err != nil {
		t.Fatal(err)
	}
	items := putUints(nil, 3)
	items = putEntry(items, committedEntry{index: 4, term: 1, kind: entryCommand, proposalID: proposalID{1}, command: []byte("c")})
	items = putEntry(items, committedEntry{index: 5, term: 1})
	items = putEntry(items, committedEntry{index: 6, term: 2, kind: entryVoters, confState: s.confState, voters: s.voters})
	hi := putUints(putVoterSet(putUints([]byte{codeOK}, 1, 7, 3, 9), s.voters), 4, 5, 1, 1)
	return [][]byte{s.encode(), encodeMessages(7, map[uint64]logPosition{9: {1, 2}}, [][]byte{m}), items, hi, voterChange{7, 9, "a", "b"}.encode(), encodeCommand(proposalID{2}, []byte("c"))}
}

// FuzzDecode: nothing that a relay may be sent ends it or makes it allocate more than arrived; what is decoded is encoded the same way.
func FuzzDecode(f *testing.F) {
	for _, b := range samples(f) {
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add(bytes.Repeat([]byte{0xff}, 40))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeSnapshot(b); err == nil {
			again, err := decodeSnapshot(s.encode())
			if err != nil || !bytes.Equal(again.encode(), s.encode()) {
				t.Fatal("snapshot")
			}
		}
		if p, err := decodeMessages(b); err == nil {
			if len(p.acknowledged)+len(p.messages) > len(b) {
				t.Fatal("more than came", p.from)
			}
		}
		if _, err := decodePeerStatus(b); err == nil && b[0] != codeOK {
			t.Fatal("peer status")
		}
		_, _ = decodeVoterChange(b)
		_, _, _ = decodeCommand(b)
		r := reader{rest: b}
		n := 0
		for range r.count() {
			if it := r.entry(); r.err == nil {
				r2 := reader{rest: putEntry(nil, it)}
				if again := r2.entry(); r2.finish() != nil || again.index != it.index || !bytes.Equal(again.command, it.command) {
					t.Fatal("entry")
				}
			}
			n++
		}
		if n > len(b) {
			t.Fatal("more than came")
		}
	})
}
