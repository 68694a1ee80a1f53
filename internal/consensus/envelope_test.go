package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"
)

// TestDuplicateNames checks that two relays with the same name are reported by the relays that receive from
// them and by themselves, and that a relay that is restarted once is not reported.
func TestDuplicateNames(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3, false)
	f.startVoters()
	f.start("r1")
	f.nodes["duplicate of r0"], f.addrs["r0"] = f.start("r0"), freeAddr(t)
	f.start("r0")
	f.propose("r1", "a")
	f.stop("r1")
	f.start("r1")
	reported := map[string]bool{}
	f.wait("both relays named r0 and a voter report the duplicate name", func() bool {
		for name, n := range f.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			n.Barrier(ctx) // sends a request; it may fail
			cancel()
			for _, duplicate := range n.Status().DuplicateNames {
				if duplicate != "r0" {
					t.Fatalf("%s reports the duplicate name %s, want only r0", name, duplicate)
				}
				reported[name] = true
			}
		}
		return reported["r0"] && reported["duplicate of r0"] && (reported["v0"] || reported["v1"] || reported["v2"])
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
			resealed, _ := sealRequest(r.key, r.epoch, r.start, r.sequence, r.kind, r.from, "to", r.body)
			if !bytes.Equal(resealed, b) {
				t.Fatalf("verifyRequest accepts %x, but sealRequest with its fields returns %x", b, resealed)
			}
		}
	})
}

func TestEnvelope(t *testing.T) {
	keys := [][]byte{[]byte("key one"), []byte("key two")}
	guard := replayGuard{epoch: 4}
	check := func(epoch, start, seq uint64) error {
		b, _ := sealRequest(keys[0], epoch, start, seq, requestPropose, "a", "b", []byte("x"))
		r, err := verifyRequest(keys, "b", b)
		if err != nil {
			t.Fatal(err)
		}
		_, err = guard.admit(r)
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
			t.Errorf("admit(epoch %d, start %d, sequence %d) = %v, want %v", c.epoch, c.start, c.seq, err, c.want)
		}
	}
	b, tag := sealRequest(keys[0], 1, 2, 3, requestPropose, "a", "b", nil)
	if _, err := verifyRequest(keys, "c", b); err != errWrongReceiver {
		t.Errorf("verifyRequest of a request for b at c: error %v, want %v", err, errWrongReceiver)
	}
	for i := range b {
		flipped := bytes.Clone(b)
		flipped[i] ^= 1
		if _, err := verifyRequest(keys, "b", flipped); err == nil {
			t.Fatalf("verifyRequest accepts a request with a flipped bit in byte %d", i)
		}
	}
	sealedResponse := sealResponse(keys[0], tag, 0, []byte("yes"))
	if got, err := verifyResponse(keys[0], tag, 0, sealedResponse); err != nil || string(got) != "yes" {
		t.Fatalf("verifyResponse of a sealed response = %q, %v; want %q and no error", got, err, "yes")
	}
	_, otherTag := sealRequest(keys[0], 1, 2, 4, requestPropose, "a", "b", nil)
	if _, err := verifyResponse(keys[0], otherTag, 0, sealedResponse); err == nil {
		t.Error("verifyResponse accepts a response to another request")
	}
	if _, err := verifyResponse(keys[0], tag, binary.MaxVarintLen16, sealedResponse); err == nil {
		t.Error("verifyResponse accepts another part of the same response")
	}
}
