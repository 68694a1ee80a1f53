package consensus

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dahliarudder/internal/gossip"
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

// FuzzEnvelope checks that verifyRequest accepts only requests that sealRequest returns for the same fields.
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

// TestEnvelope checks which epochs, starts and sequence numbers the replay guard admits, that an altered
// request and one for another relay are rejected, and that a response is valid only for its request and
// part.
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

// deadlineRecorder is a ResponseRecorder whose read deadline can be set unless err is set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	err error
}

func (r deadlineRecorder) SetReadDeadline(time.Time) error { return r.err }

// TestRejectedKeys checks the key under which Status.Rejected counts each request that is rejected before
// it is handled. The keys are part of the answer to GET /-/fleet. A request with a wrong epoch or a low
// start is answered with a response code and not counted.
func TestRejectedKeys(t *testing.T) {
	key, otherKey := []byte("a key of the installation, 32 or more"), []byte("a key that this node does not have, 32")
	const epoch, start = 4, 9
	const unknownKind = 'x'
	seal := func(epoch, start, sequence uint64, from, to string) []byte {
		b, _ := sealRequest(key, epoch, start, sequence, unknownKind, from, to, []byte("body"))
		return b
	}
	valid := func() []byte { return seal(epoch, start, 2, "a", "v0") }
	withByte := func(b []byte, at int, value byte) []byte {
		b[at] = value
		return b
	}
	foreign, _ := sealRequest(otherKey, epoch, start, 2, unknownKind, "a", "v0", nil)
	badName := withByte(valid(), envelopeFixedSize, maxNameSize) // longer than the rest of the request
	badName = append(badName[:len(badName)-tagSize], computeTag(key, badName[:len(badName)-tagSize])...)
	for _, tt := range []struct {
		name        string
		key         string // "" if the request is not counted
		status      int
		code        byte // of the sealed response, if status is 200
		body        []byte
		method      string
		length      int64 // announced length minus the length of the body
		deadlineErr error
		senders     int // number of other senders that are known already
	}{
		{name: "method", key: "path", status: http.StatusNotFound, body: valid(), method: http.MethodGet},
		{name: "announced length", key: "size", status: http.StatusRequestEntityTooLarge, body: valid(), length: maxLargeRequest},
		{name: "read deadline", key: "deadline", status: http.StatusOK, body: valid(), deadlineErr: http.ErrNotSupported},
		{name: "truncated body", key: "read", status: http.StatusOK, body: valid(), length: 1},
		{name: "short envelope", key: "size", status: http.StatusForbidden, body: valid()[:tagSize]},
		{name: "name length", key: "size", status: http.StatusForbidden, body: badName},
		{name: "empty sender", key: "size", status: http.StatusForbidden, body: seal(epoch, start, 2, "", "v0")},
		{name: "too many senders", key: "size", status: http.StatusForbidden, body: seal(epoch, start, 1, "b", "v0"), senders: maxSenders - 1},
		{name: "unknown version", key: "version", status: http.StatusForbidden, body: withByte(valid(), 0, envelopeVersion+1)},
		{name: "unknown key", key: "key", status: http.StatusForbidden, body: foreign},
		{name: "altered body", key: "tag", status: http.StatusForbidden, body: withByte(valid(), len(valid())-tagSize-1, 'X')},
		{name: "wrong receiver", key: "for another relay", status: http.StatusForbidden, body: seal(epoch, start, 2, "a", "v1")},
		{name: "replayed", key: "repeated", status: http.StatusForbidden, body: seal(epoch, start, 1, "a", "v0")},
		{name: "wrong epoch", status: http.StatusOK, code: codeWrongEpoch, body: seal(epoch-1, start, 2, "a", "v0")},
		{name: "stale start", status: http.StatusOK, code: codeStaleStart, body: seal(epoch, start-1, 2, "a", "v0")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(Options{Name: "v0", Voters: map[string]string{"v0": ""}, Keys: [][]byte{key}, Machine: &hashMachine{}}, nil)
			n.replayGuard.epoch = epoch
			n.replayGuard.senders = map[string]*senderWindow{}
			for i := range tt.senders {
				n.replayGuard.senders[fmt.Sprint("sender ", i)] = &senderWindow{}
			}
			post := func(method string, body []byte, length int64, deadlineErr error) *httptest.ResponseRecorder {
				r := httptest.NewRequest(method, endpointPath, bytes.NewReader(body))
				r.ContentLength = int64(len(body)) + length
				w := deadlineRecorder{httptest.NewRecorder(), deadlineErr}
				n.serveHTTP(w, r)
				return w.ResponseRecorder
			}
			if w := post(http.MethodPost, seal(epoch, start, 1, "a", "v0"), 0, nil); w.Code != http.StatusOK || len(n.Status().Rejected) != 0 {
				t.Fatalf("valid request: status %d, Rejected = %v; want status 200 and none", w.Code, n.Status().Rejected)
			}
			w := post(cmp.Or(tt.method, http.MethodPost), tt.body, tt.length, tt.deadlineErr)
			if w.Code != tt.status {
				t.Errorf("status %d, want %d", w.Code, tt.status)
			}
			if response := w.Body.Bytes(); tt.code != 0 && (len(response) != tagSize+9 || response[tagSize] != tt.code) {
				t.Errorf("response %x, want a sealed response with code %d and a value of 8 bytes", response, tt.code)
			}
			want := map[string]uint64{}
			if tt.key != "" {
				want[tt.key] = 1
			}
			if got := n.Status().Rejected; !maps.Equal(got, want) {
				t.Errorf("Rejected = %v, want %v", got, want)
			}
		})
	}
}

// TestInvalidResponseError checks the error of a replacement whose new relay answers without a valid tag.
// The text is sent to the operator in the HTTP response to the replacement.
func TestInvalidResponseError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, tagSize+1))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	n := newNode(Options{Name: "v0", Voters: map[string]string{"v0": ""}, Keys: [][]byte{[]byte("key one")}, Machine: &hashMachine{}}, nil)
	defer n.Close()
	err := n.Replace(context.Background(), "v0", "r0", address)
	if !errors.Is(err, gossip.ErrBadTag) {
		t.Errorf("Replace: error %v, want one that wraps %v", err, gossip.ErrBadTag)
	}
	if want := "consensus: r0 at " + address + ": answer of r0: tag"; err == nil || err.Error() != want {
		t.Errorf("Replace: error %v, want %s", err, want)
	}
}
