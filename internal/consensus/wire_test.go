package consensus

import (
	"bytes"
	"encoding/binary"
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
	items = putEntry(items, committedEntry{index: 4, term: 1, kind: entryCommand, proposalID: [16]byte{1}, command: []byte("c")})
	items = putEntry(items, committedEntry{index: 5, term: 1})
	items = putEntry(items, committedEntry{index: 6, term: 2, kind: entryVoters, confState: s.confState, voters: s.voters})
	hi := putUints(putVoterSet(putUints([]byte{codeOK}, 1, 7, 3, 9), s.voters), 4, 5, 1, 1)
	return [][]byte{s.encode(), encodeMessages(7, map[uint64]logPosition{9: {1, 2}}, [][]byte{m}), items, hi, voterChange{7, 9, "a", "b"}.encode(), encodeCommand([16]byte{2}, []byte("c"))}
}

// FuzzDecode: nothing that a relay may be sent ends it or makes it hold more than came; what is read is written the same way.
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
				t.Fatal("state")
			}
		}
		if p, err := decodeMessages(b); err == nil {
			if len(p.acknowledged)+len(p.messages) > len(b) {
				t.Fatal("more than came", p.from)
			}
		}
		if _, err := decodePeerStatus(b); err == nil && b[0] != codeOK {
			t.Fatal("hello")
		}
		_, _ = decodeVoterChange(b)
		_, _, _ = decodeCommand(b)
		r := reader{rest: b}
		n := 0
		for range r.count() {
			if it := r.entry(); r.err == nil {
				r2 := reader{rest: putEntry(nil, it)}
				if again := r2.entry(); r2.finish() != nil || again.index != it.index || !bytes.Equal(again.command, it.command) {
					t.Fatal("item")
				}
			}
			n++
		}
		if n > len(b) {
			t.Fatal("more than came")
		}
	})
}

func FuzzEnvelope(f *testing.F) {
	keys := [][]byte{[]byte("key one"), []byte("key two")}
	good, _ := sealRequest(keys[1], 4, 5, 6, requestReport, "from", "to", []byte("body"))
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{envelopeVersion})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := verifyRequest(keys, "to", b)
		if err == nil && !bytes.Equal(b, good) {
			again, _ := sealRequest(r.key, r.epoch, r.start, r.sequence, r.kind, r.from, "to", r.body)
			if !bytes.Equal(again, b) {
				t.Fatal("let in, and not sealed so")
			}
		}
	})
}

func TestEnvelope(t *testing.T) {
	keys := [][]byte{[]byte("key one"), []byte("key two")}
	f := replayGuard{epoch: 4}
	check := func(epoch, start, seq uint64) error {
		b, _ := sealRequest(keys[0], epoch, start, seq, requestPropose, "a", "b", []byte("x"))
		r, err := verifyRequest(keys, "b", b)
		if err != nil {
			t.Fatal(err)
		}
		_, err = f.admit(r)
		return err
	}
	for _, c := range []struct {
		epoch, start, seq uint64
		want              error
	}{
		{3, 9, 1, errWrongEpoch}, {4, 9, 1, nil}, {4, 9, 1, errReplayed}, {4, 9, 500, nil}, {4, 9, 2, nil}, {4, 9, 2, errReplayed}, {4, 9, 499, nil},
		{4, 9, 500 + replayWindow, nil}, {4, 9, 500, errReplayed}, {4, 9, 501, nil}, {4, 9, 501, errReplayed}, {4, 8, 900, errStaleStart}, {4, 10, 1, nil}, {4, 9, 9000, errStaleStart},
	} {
		if err := check(c.epoch, c.start, c.seq); err != c.want {
			t.Errorf("%v: %v", c, err)
		}
	}
	b, tag := sealRequest(keys[0], 1, 2, 3, requestPropose, "a", "b", nil)
	if _, err := verifyRequest(keys, "c", b); err != errWrongReceiver {
		t.Errorf("for another: %v", err)
	}
	for i := range b {
		c := bytes.Clone(b)
		c[i] ^= 1
		if _, err := verifyRequest(keys, "b", c); err == nil {
			t.Fatalf("byte %d turned, and let in", i)
		}
	}
	a := sealAnswer(keys[0], tag, 0, []byte("yes"))
	if got, err := verifyAnswer(keys[0], tag, 0, a); err != nil || string(got) != "yes" {
		t.Fatal(err)
	}
	_, other := sealRequest(keys[0], 1, 2, 4, requestPropose, "a", "b", nil)
	if _, err := verifyAnswer(keys[0], other, 0, a); err == nil {
		t.Error("an answer to another request")
	}
	if _, err := verifyAnswer(keys[0], tag, binary.MaxVarintLen16, a); err == nil {
		t.Error("an answer's other part")
	}
}
