package gossip

import (
	"bytes"
	"cmp"
	"errors"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var (
	oldKey = []byte("the key that was used before, 32 and more")
	newKey = []byte("the key that comes into use, 32 and more")
)

// TestEnvelope checks that each datagram of a peer is accepted once, also out of order and with a
// clock that is minutes off, and with either key while the key file has both. Datagrams that are
// truncated, altered, of an unknown key, replayed, too old or of an earlier process are rejected with
// the matching error.
func TestEnvelope(t *testing.T) {
	const now = time.Hour
	wall := uint64(1_800_000_000_000)
	senderClock := wall - 5*60_000
	s := Sealer{Keys: Keys{oldKey}, Name: "n1", Start: 7000}
	o := Opener{Keys: Keys{newKey, oldKey}}
	var sealed [][]byte
	for i := range 80 {
		sealed = append(sealed, s.Seal([]byte{byte(i)}, senderClock+uint64(i)))
	}
	expectOpen := func(b []byte, at time.Duration, want error) {
		t.Helper()
		name, content, err := o.Open(at, wall+uint64((at-now).Milliseconds()), "10.0.0.1:7", b)
		if !errors.Is(err, want) || want == nil && (name != "n1" || len(content) != 1) {
			t.Errorf("Open = %q, %v, error %v; want error %v", name, content, err, want)
		}
	}
	expectOpen(sealed[0], now, nil)
	expectOpen(sealed[2], now, nil)
	expectOpen(sealed[1], now, nil)
	expectOpen(sealed[1], now, ErrReplayed)
	expectOpen(sealed[2], now, ErrReplayed)
	expectOpen(sealed[79], now, nil)
	expectOpen(sealed[10], now, ErrReplayed) // too far behind to tell whether it was received
	expectOpen(sealed[20], now, nil)
	expectOpen(sealed[20], now, ErrReplayed)
	expectOpen(sealed[50], now+31*time.Second, ErrTooOld)
	expectOpen(sealed[3][:30], now, ErrSize)
	expectOpen(make([]byte, 9000), now, ErrSize)
	changed := bytes.Clone(sealed[4])
	changed[len(changed)-1] ^= 1
	expectOpen(changed, now, ErrBadTag)
	foreignKey := Sealer{Keys: Keys{[]byte("a key that nobody here has, 32 and more")}, Name: "n1", Start: 9000}
	expectOpen(foreignKey.Seal([]byte{1}, senderClock), now, ErrUnknownKey)
	unknownVersion := bytes.Clone(sealed[5])
	unknownVersion[0] = 2
	expectOpen(unknownVersion, now, ErrVersion)

	restarted := Sealer{Keys: Keys{newKey}, Name: "n1", Start: 8000} // a restarted process that signs with the new key
	expectOpen(restarted.Seal([]byte{1}, senderClock+1000), now+time.Second, nil)
	expectOpen(sealed[60], now+time.Second, ErrTooOld) // from the previous process
	name, _, err := o.Open(now+time.Second, wall, "10.0.0.2:7", s.Seal([]byte{1}, senderClock+1000))
	if !errors.Is(err, ErrNameConflict) {
		t.Errorf("Open of a datagram from a second relay with the same name = %q, error %v; want %v",
			name, err, ErrNameConflict)
	}
	clockSetBack := Sealer{Keys: Keys{newKey}, Name: "n1", Start: 100} // a process whose clock was set back
	expectOpen(clockSetBack.Seal([]byte{1}, senderClock+2000), now+2*time.Second, ErrTooOld)
	expectOpen(clockSetBack.Seal([]byte{1}, senderClock), now+2*senderReset, nil)
	if o.Rejected["repeated"] != 4 || o.Rejected["tag"] != 1 {
		t.Errorf("Rejected = %v, want 4 under \"repeated\" and 1 under \"tag\"", o.Rejected)
	}
	o.Prune(now + time.Hour)
	if len(o.senders) != 0 {
		t.Errorf("Prune kept %d senders that have been silent for an hour, want none", len(o.senders))
	}
}

// TestRejectedKeys checks the key under which Opener.Rejected counts each rejection. The keys are part
// of the answer to GET /-/peers.
func TestRejectedKeys(t *testing.T) {
	const now = time.Hour
	const minute = 60_000 // in milliseconds of the clocks
	const addr, otherAddr = "10.0.0.1:7", "10.0.0.2:7"
	seal := func(name string, start, seq uint64) []byte {
		s := Sealer{Keys: Keys{oldKey}, Name: name, Start: start, seq: seq - 1}
		return s.Seal([]byte("content"), minute)
	}
	withByte := func(b []byte, at int, value byte) []byte {
		b[at] = value
		return b
	}
	foreignKey := Sealer{Keys: Keys{newKey}, Name: "n1", Start: 7000}
	for _, tt := range []struct {
		name     string
		key      string
		err      error
		datagram []byte
		clock    uint64
		from     string
		senders  int // number of other senders that are known already
	}{
		{name: "datagram too short", key: "size", err: ErrSize, datagram: seal("n1", 7000, 201)[:headerSize]},
		{name: "datagram too long", key: "size", err: ErrSize, datagram: make([]byte, MaxDatagramSize+1)},
		{name: "empty name", key: "size", err: ErrSize, datagram: seal("", 7000, 201)},
		{name: "too many senders", key: "size", err: ErrSize, datagram: seal("n2", 7000, 1), senders: maxSenders - 1},
		{name: "unknown version", key: "version", err: ErrVersion, datagram: withByte(seal("n1", 7000, 201), 0, envelopeVersion+1)},
		{name: "unknown key", key: "key", err: ErrUnknownKey, datagram: foreignKey.Seal([]byte("content"), minute)},
		{name: "altered content", key: "tag", err: ErrBadTag, datagram: withByte(seal("n1", 7000, 201), headerSize+2, 'X')},
		{name: "earlier process", key: "old", err: ErrTooOld, datagram: seal("n1", 6000, 201)},
		{name: "delayed", key: "old", err: ErrTooOld, datagram: seal("n1", 7000, 201), clock: 2 * minute},
		{name: "replayed", key: "repeated", err: ErrReplayed, datagram: seal("n1", 7000, 200)},
		{name: "behind the replay window", key: "repeated", err: ErrReplayed, datagram: seal("n1", 7000, 100)},
		{name: "two relays with one name", key: "two relays of one name", err: ErrNameConflict, datagram: seal("n1", 6000, 201), from: otherAddr},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := Opener{Keys: Keys{oldKey}}
			if _, _, err := o.Open(now, minute, addr, seal("n1", 7000, 200)); err != nil {
				t.Fatalf("Open of the first datagram: error %v, want none", err)
			}
			for i := range tt.senders {
				o.senders[strings.Repeat("x", i+1)] = &sender{lastContact: now}
			}
			_, _, err := o.Open(now, max(tt.clock, minute), cmp.Or(tt.from, addr), tt.datagram)
			if !errors.Is(err, tt.err) {
				t.Errorf("Open: error %v, want %v", err, tt.err)
			}
			if want := map[string]int{tt.key: 1}; !maps.Equal(o.Rejected, want) {
				t.Errorf("Rejected = %v, want %v", o.Rejected, want)
			}
		})
	}
}

// TestReadKeys checks that one or two keys of sufficient length are read from a file that only its
// owner may access, and that other files are rejected.
func TestReadKeys(t *testing.T) {
	for _, tt := range []struct {
		text string
		mode os.FileMode
		keys int
	}{{string(oldKey) + "\n", 0o600, 1}, {string(newKey) + "\n\n" + string(oldKey), 0o400, 2}, {string(oldKey), 0o640, 0},
		{"short\n", 0o600, 0}, {"", 0o600, 0}, {strings.Repeat(string(oldKey)+"\n", 3), 0o600, 0}} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(tt.text), tt.mode); err != nil {
			t.Fatal(err)
		}
		if keys, err := ReadKeys(path); len(keys) != tt.keys || (err == nil) != (tt.keys > 0) {
			t.Errorf("ReadKeys of %q with mode %04o = %d keys, error %v; want %d keys",
				tt.text, tt.mode, len(keys), err, tt.keys)
		}
	}
}

// FuzzDecode checks that decoding respects its limits for any input, and that a decoded message is
// the same after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	m := Message{Kind: PingReq, Seq: 7, Target: "n2", TargetAddr: "10.0.0.2:1", Updates: []Update{{Name: "n1", Addr: "10.0.0.1:1", State: Suspect,
		Incarnation: math.MaxUint64, Zone: "a", Phase: Draining, Generation: 4, Flows: 5, Rate: 6, Accuser: "n3", Unknown: []byte{0x78, 1}}}}
	b, _ := m.Append(nil, MaxDatagramSize)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add([]byte{0x2a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		if len(m.Updates) > maxUpdates {
			t.Fatalf("Decode returned %d updates, want at most %d", len(m.Updates), maxUpdates)
		}
		encoded, n := m.Append(nil, 1<<20)
		decoded, err := Decode(encoded)
		if err != nil || n != len(m.Updates) || !reflect.DeepEqual(m, decoded) {
			t.Errorf("message %+v encoded and decoded again = %+v with %d of %d updates, error %v",
				m, decoded, n, len(m.Updates), err)
		}
	})
}

// FuzzOpen checks that only bytes sealed with a configured key are accepted.
func FuzzOpen(f *testing.F) {
	s := Sealer{Keys: Keys{oldKey}, Name: "n1", Start: 1}
	sealed := s.Seal([]byte("content"), 5)
	f.Add(sealed)
	f.Add(sealed[:len(sealed)-1])
	f.Add([]byte{envelopeVersion})
	f.Fuzz(func(t *testing.T, b []byte) {
		o := Opener{Keys: Keys{oldKey}}
		if _, _, err := o.Open(time.Hour, 5, "a", b); err == nil && !bytes.Equal(b, sealed) {
			t.Errorf("Open accepted %x, which was not sealed with the key", b)
		}
	})
}
