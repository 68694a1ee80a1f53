package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// TestDiskFails checks that a voter whose disk fails stops voting but still follows the record, and that it
// votes again under the same identity, also after a restart, once the disk works again.
func TestDiskFails(t *testing.T) {
	t.Parallel()
	ops := []string{"sync"}
	if os.Getenv("CONSENSUS_SEEDS") != "" {
		ops = append(ops, "write")
	}
	for _, op := range ops {
		var failing atomic.Bool
		f := newCluster(t, 3, true)
		f.faults["v1"] = func(at string) error {
			if failing.Load() && (at == op || at == "open") {
				return fmt.Errorf("no space left at %s", at)
			}
			return nil
		}
		f.startVoters()
		f.propose("v1", "a")
		failing.Store(true)
		for i := range 3 {
			f.propose("v0", fmt.Sprint("b", i))
		}
		f.wait("v1's status reports the disk failure", func() bool {
			s := f.nodes["v1"].Status()
			return s.Role == RoleDiskFailed && s.DiskError != ""
		})
		f.propose("v2", "c")
		f.wait("v1 applies all 5 commands while its disk fails", func() bool {
			n, _ := f.machines["v1"].state()
			return n == 5
		})
		failing.Store(false)
		f.wait("v1 votes again", func() bool {
			s := f.nodes["v1"].Status()
			return s.Role != RoleDiskFailed && s.DiskError == ""
		})
		other := "v0"
		if f.leader() == other {
			other = "v2"
		}
		f.stop(other) // now a majority needs v1's vote
		f.propose("v1", "d")
		id := f.nodes["v1"].Status().Identity
		f.stop("v1")
		f.start("v1")
		f.start(other)
		f.propose("v1", "e")
		f.waitSameState()
		if now := f.nodes["v1"].Status().Identity; now != id {
			t.Fatalf("identity of v1 after a restart = %d, want %d as before", now, id)
		}
	}
}

// TestUnusableDirectory checks that a voter whose directory cannot be created starts and reports the error.
func TestUnusableDirectory(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 1, false)
	file := filepath.Join(f.directory, "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.dirs["v0"] = filepath.Join(file, "dir") // cannot be created
	f.start("v0")
	f.wait("v0's status reports the disk failure", func() bool {
		s := f.nodes["v0"].Status()
		return s.DiskError != "" && s.Role == RoleDiskFailed
	})
}

// TestLostDirectory checks that a voter whose directory was lost, damaged or replaced by an older copy does
// not vote under its old identity, and votes again under a new one.
func TestLostDirectory(t *testing.T) {
	t.Parallel()
	for _, failure := range []string{"emptied", "in memory", "damaged", "older"} {
		t.Run(failure, func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, 3, failure != "in memory")
			f.startVoters()
			f.propose("v1", "a")
			f.waitSameState()
			id := f.nodes["v2"].Status().Identity
			f.stop("v2")
			path := filepath.Join(f.dirs["v2"], databaseFile)
			file, err := os.ReadFile(path)
			if err != nil && f.dirs["v2"] != "" {
				t.Fatal(err)
			}
			if failure == "older" {
				f.start("v2")
				f.wait("v2 votes", func() bool { return f.nodes["v2"].Status().Role != RoleJoining })
				f.propose("v2", "forgotten")
				f.waitSameState()
				time.Sleep(3 * heartbeatTicks * tickInterval) // lets the others learn what v2 has acknowledged
				f.stop("v2")
			}
			if failure == "damaged" {
				file[os.Getpagesize()+pageHeaderSize+20] ^= 1
			}
			if failure == "emptied" {
				err = os.Remove(path)
			} else if f.dirs["v2"] != "" {
				err = os.WriteFile(path, file, 0o600)
			}
			if err != nil && f.dirs["v2"] != "" {
				t.Fatal(err)
			}
			f.propose("v1", "b")
			f.start("v2")
			f.wait("v2 votes under a new identity, and its status gives the reason", func() bool {
				s := f.nodes["v2"].Status()
				return s.Identity != id && (s.Role == RoleVoter || s.Role == RoleLeader) && (strings.Contains(s.IdentityReason, failure) || failure == "emptied" || failure == "in memory")
			})
			f.waitChangeDone("v2")
			f.stop("v1")
			f.propose("v2", "c") // a majority needs v2's vote
			f.start("v1")
			f.propose("v1", "d")
			f.waitSameState()
		})
	}
}

// writeSampleFile writes a database file with the given number of entries, one of which is then replaced, and
// a compaction. It returns the file and the state that loadFile reads from it.
func writeSampleFile(t *testing.T, entries int) (file []byte, stored storedState) {
	d := &disk{directory: t.TempDir()}
	if _, _, err := d.open(5); err != nil {
		t.Fatal(err)
	}
	s, err := bootstrapSnapshot(9, voterSet{5: {"v0", "a"}}, []byte("machine"))
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(d.write(diskWrite{snapshot: s.encode(), hardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))}}))
	entry := func(i, term uint64, size int) diskWrite {
		return diskWrite{entries: []*pb.Entry{{Index: new(i), Term: new(term), Data: bytes.Repeat([]byte("d"), size)}}, hardState: &pb.HardState{Term: new(term), Vote: new(uint64(5)), Commit: new(i)},
			acknowledged: map[uint64]logPosition{7: {term, i}}}
	}
	for i := range uint64(entries) {
		must(d.write(entry(i+2, 1, 300+int(i%7)*40)))
	}
	must(d.write(entry(uint64(entries)/2, 2, 9000))) // larger than a page; deletes the entries after it
	s.index, s.machineState = uint64(entries)/4, bytes.Repeat([]byte("m"), 6000)
	must(d.write(diskWrite{compaction: s.encode(), compactedIndex: s.index - 3}))
	must(d.close())
	file, err = os.ReadFile(filepath.Join(d.directory, databaseFile))
	must(err)
	stored, err = loadFile(file)
	must(err)
	if n := len(stored.entries); stored.identity != 5 || n == 0 || stored.entries[0].GetIndex() != s.index+1 || stored.entries[n-1].GetTerm() != 2 || stored.hardState.GetVote() != 5 || stored.acknowledged[7].term != 2 {
		t.Fatalf("loadFile() does not return what was written: got %+v, want identity and vote 5, entries from index %d with the last of term 2, and term 2 acknowledged by voter 7",
			stored, s.index+1)
	}
	return file, stored
}

// TestFileRoundTrip writes random transactions and checks that the file, read without bbolt, holds the same
// state as the model test's disk after the same writes.
func TestFileRoundTrip(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 1))
	d, node, w := &disk{directory: t.TempDir()}, &modelNode{disk: storedState{identity: 5}}, &world{}
	if _, _, err := d.open(5); err != nil {
		t.Fatal(err)
	}
	s, err := bootstrapSnapshot(9, voterSet{5: {"v0", "a"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	last, term := uint64(1), uint64(1)
	for i := range 120 {
		dw := diskWrite{acknowledged: map[uint64]logPosition{7: {term, last}}}
		kind := rng.IntN(8)
		if i == 0 {
			kind = 0
		}
		switch kind {
		case 0: // another voter's snapshot
			last += uint64(rng.IntN(3))
			s.index, s.term, s.machineState = last, term, make([]byte, rng.IntN(20000))
			dw.snapshot = s.encode()
		case 1: // this voter's own snapshot, which compacts the log
			s.index += uint64(rng.IntN(int(last-s.index) + 1))
			s.machineState = make([]byte, rng.IntN(20000))
			dw.compaction, dw.compactedIndex = s.encode(), s.index-min(s.index, uint64(rng.IntN(10)))
		default: // entries, some of which replace earlier ones
			if rng.IntN(3) == 0 && last > s.index {
				term++
				last -= uint64(rng.IntN(int(last - s.index)))
			}
			for range rng.IntN(12) {
				last++
				dw.entries = append(dw.entries, &pb.Entry{Index: new(last), Term: new(term), Data: make([]byte, rng.IntN(200)*rng.IntN(40))})
			}
		}
		dw.hardState = &pb.HardState{Term: new(term), Vote: new(uint64(5)), Commit: new(s.index)}
		if err := d.write(dw); err != nil {
			t.Fatal(err)
		}
		node.writing = &dw
		w.completeWrite(node)
		file, err := os.ReadFile(filepath.Join(d.directory, databaseFile))
		if err != nil {
			t.Fatal(err)
		}
		stored, err := loadFile(file)
		if err != nil {
			t.Fatalf("loadFile after write %d: %v", i, err)
		}
		want := node.disk
		for len(want.entries) > 0 && want.entries[0].GetIndex() <= s.index {
			want.entries = want.entries[1:]
		}
		format := func(h storedState) string {
			return fmt.Sprint(h.identity, h.snapshot, h.hardState, h.entries, h.acknowledged)
		}
		if format(stored) != format(want) {
			t.Fatalf("loadFile after write %d returns %d entries and differs from the model's disk, which has %d",
				i, len(stored.entries), len(want.entries))
		}
		if i%20 == 19 {
			if err := d.close(); err != nil {
				t.Fatal(err)
			}
			if _, damage, err := d.open(6); damage != "" || err != nil {
				t.Fatalf("open of an intact directory: damage %q, error %v; want neither", damage, err)
			}
			node.disk.entries = stored.entries
		}
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
}

// TestDamagedFile truncates a file, flips bits, copies pages over others and makes pages their own children.
// loadFile must reject each such file or return the original state. Then it checks that open creates a new
// identity for a damaged file, keeps the identity of an intact one, and locks the directory.
func TestDamagedFile(t *testing.T) {
	t.Parallel()
	good, stored := writeSampleFile(t, 60)
	step := 199 // coprime to 8 and to the page size, so that the flips cover each bit position and page offset
	if os.Getenv("CONSENSUS_SEEDS") != "" {
		step = 1
	}
	for n := 0; n < len(good); n += step {
		// A file that only lacks unused pages at its end is accepted.
		if got, err := loadFile(good[:n]); err == nil && !reflect.DeepEqual(got, stored) {
			t.Fatalf("loadFile accepts a file truncated to %d bytes and returns another state", n)
		}
	}
	unaffected, rejected := 0, 0
	b := bytes.Clone(good)
	for bit := 0; bit < 8*len(b); bit += step {
		b[bit/8] ^= 1 << (bit % 8)
		switch got, err := loadFile(b); {
		case err != nil:
			rejected++
		case reflect.DeepEqual(got, stored): // the bit is in a free page or in unused space
			unaffected++
		default:
			t.Fatalf("loadFile accepts a file with bit %d flipped and returns another state", bit)
		}
		b[bit/8] ^= 1 << (bit % 8)
	}
	size := os.Getpagesize()
	// Each page replaces each other page but keeps the page number of the replaced one, as an older
	// version of that page would.
	for from := 0; from < len(b); from += size {
		for to := 0; to < len(b); to += size {
			copy(b[to+8:to+size], good[from+8:from+size])
			if got, err := loadFile(b); err == nil && !reflect.DeepEqual(got, stored) {
				t.Fatalf("loadFile accepts a file with the page at %d copied to %d and returns another state", from, to)
			}
			copy(b[to:to+size], good[to:to+size])
		}
	}
	for id := 0; id < len(b)/size; id++ { // a page that is its own child would make a naive reader loop forever
		if p := b[id*size:]; binary.NativeEndian.Uint16(p[8:]) == pageKindBranch {
			binary.NativeEndian.PutUint64(p[pageHeaderSize+8:], uint64(id))
			if got, err := loadFile(b); err == nil && !reflect.DeepEqual(got, stored) {
				t.Fatalf("loadFile accepts a file whose page %d is its own child and returns another state", id)
			}
		}
	}
	t.Logf("bit flips: %d in unused space, %d rejected", unaffected, rejected)
	if unaffected == 0 || rejected == 0 {
		t.Errorf("bit flips: %d in unused space, %d rejected; want some of both", unaffected, rejected)
	}
	dir := t.TempDir()
	for i, c := range []struct {
		file []byte
		id   uint64
	}{{nil, 6}, {good[:size], 6}, {good, 5}, {good, 5}, {good[:3*size], 6}} {
		if err := os.WriteFile(filepath.Join(dir, databaseFile), c.file, 0o600); err != nil {
			t.Fatal(err)
		}
		d := &disk{directory: dir}
		got, damage, err := d.open(6)
		if err != nil || got.identity != c.id || (damage == "") != (c.id == 5) || (got.snapshot == nil) != (c.id == 6) {
			t.Fatalf("open, case %d: error %v, damage %q, identity %d, snapshot of %d bytes; want identity %d: 5 with the stored snapshot, or 6 after damage without one",
				i, err, damage, got.identity, len(got.snapshot), c.id)
		}
		if i == 2 {
			if _, _, err := (&disk{directory: dir}).open(7); !errors.Is(err, errInUse) {
				t.Errorf("second open of a directory in use: error %v, want %v", err, errInUse)
			}
		}
		if err := d.close(); err != nil {
			t.Fatal(err)
		}
	}
}
