package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

// One file, accord.db. Every value has a checksum, and a sum over all of them stands beside them. Who starts reads the file by itself (pages.go)
// and then writes it anew, so that the library never meets a page that was damaged since: it would walk in circles, or end the process. What
// does not add up is set aside, and the relay comes back under a new identity, since nobody can say what it may have voted for.
const (
	databaseFile = "accord.db"
	lockFile     = "accord.lock" // storedState while a process uses the directory
	lockTimeout  = time.Second
)

var (
	bucketMeta      = []byte("meta")
	bucketLog       = []byte("log")
	keyIdentity     = []byte("identity")
	keyHardState    = []byte("hard")
	keySnapshot     = []byte("state")
	keyAcknowledged = []byte("marks")
	keyChecksum     = []byte("sum")
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)

	errDamaged = errors.New("damaged")
	errInUse   = errors.New("another process has this directory")
)

// storedState is what a directory held.
type storedState struct {
	identity     uint64
	snapshot     []byte // nil: it never voted
	hardState    *pb.HardState
	entries      []*pb.Entry
	acknowledged map[uint64]logPosition
}

// disk is the voter's file. All calls come from one goroutine at a time.
type disk struct {
	directory   string
	db          *bbolt.DB
	lock        *os.File
	injectFault func(op string) error // tests plant failures here: open, write, sync, rename
}

func (d *disk) faultAt(op string) error {
	if d.injectFault == nil {
		return nil
	}
	return d.injectFault(op)
}

func withChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli)), b...)
}

func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, errDamaged
	}
	return append([]byte(nil), b[4:]...), nil
}

func uint64Key(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// recoverFaults runs what touches the mapped file: a page that is not there any more is an error, not the end of the process.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return f()
}

// lockDirectory locks the directory, so that no two processes write it.
func (d *disk) lockDirectory() error {
	if d.lock != nil {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(d.directory, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 20) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			d.lock = f
			return nil
		}
		if time.Now().After(end) {
			return errors.Join(errInUse, err, f.Close())
		}
	}
}

// open reads what the directory holds, and writes it anew. With no file, or one that is set aside as damaged, it makes one with the identity fresh.
func (d *disk) open(fresh uint64) (h storedState, note string, err error) {
	defer func() {
		if err != nil {
			err = errors.Join(err, d.close())
		}
	}()
	if err := d.faultAt("open"); err != nil {
		return h, "", err
	}
	if err := os.MkdirAll(d.directory, 0o700); err != nil {
		return h, "", err
	}
	if err := d.lockDirectory(); err != nil {
		return h, "", err
	}
	path := filepath.Join(d.directory, databaseFile)
	b, err := os.ReadFile(path)
	switch {
	case err == nil:
		if h, err = loadFile(b); err != nil {
			note = "the directory's file was damaged and set aside: " + err.Error()
			if err := os.Rename(path, path+".bad"); err != nil {
				return h, note, err
			}
			h = storedState{identity: fresh}
		}
	case os.IsNotExist(err):
		h = storedState{identity: fresh}
	default: // nobody may read it, or it cannot be read now: nothing says that what it holds is wrong
		return h, "", err
	}
	return h, note, d.rewrite(h, nil)
}

// pairChecksum is a pair's part of the sum over all; a value begins with its own checksum.
func pairChecksum(k, v []byte) uint64 {
	if len(v) < 4 {
		return 0
	}
	h := fnv.New64a()
	h.Write(k)
	h.Write(v[:4])
	return h.Sum64()
}

// encodeChecksum also holds the number of the transaction, so that an older page in the place of a newer one, with all that hangs on it, is found.
func encodeChecksum(sum, number uint64) []byte { return append(uint64Key(sum), uint64Key(number)...) }

// loadFile takes a file apart and holds it against its sums: it is whole, or an error.
func loadFile(b []byte) (h storedState, err error) {
	number, meta, log, err := readPages(b)
	if err != nil {
		return h, err
	}
	values, sum := map[string][]byte{}, uint64(0)
	for _, p := range meta {
		v, err := verifyChecksum(p.value)
		if err != nil {
			return h, err
		}
		values[string(p.key)] = v
		if !bytes.Equal(p.key, keyChecksum) {
			sum ^= pairChecksum(p.key, p.value)
		}
	}
	for _, p := range log {
		raw, err := verifyChecksum(p.value)
		if err != nil {
			return h, err
		}
		sum ^= pairChecksum(p.key, p.value)
		e := &pb.Entry{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return h, err
		}
		if n := len(h.entries); !bytes.Equal(p.key, uint64Key(e.GetIndex())) || n > 0 && h.entries[n-1].GetIndex()+1 != e.GetIndex() {
			return h, errDamaged
		}
		h.entries = append(h.entries, e)
	}
	ident := values[string(keyIdentity)]
	if len(ident) != 8 || !bytes.Equal(values[string(keyChecksum)], encodeChecksum(sum, number)) {
		return h, errDamaged
	}
	h.identity, h.snapshot = binary.BigEndian.Uint64(ident), values[string(keySnapshot)]
	h.hardState = &pb.HardState{}
	if err := proto.Unmarshal(values[string(keyHardState)], h.hardState); err != nil {
		return h, err
	}
	h.acknowledged = map[uint64]logPosition{}
	r := reader{rest: values[string(keyAcknowledged)]}
	for len(r.rest) > 0 && r.err == nil {
		h.acknowledged[r.uint()] = logPosition{r.uint(), r.uint()}
	}
	if r.err != nil || h.snapshot == nil {
		return h, r.err
	}
	s, err := decodeSnapshot(h.snapshot)
	if err != nil {
		return h, err
	}
	// The log holds some entries that the snapshot has too, for those who are a little behind; the engine begins after it.
	for len(h.entries) > 0 && h.entries[0].GetIndex() <= s.index {
		h.entries = h.entries[1:]
	}
	last := s.index
	if n := len(h.entries); n > 0 {
		if h.entries[0].GetIndex() != s.index+1 {
			return h, errDamaged
		}
		last = h.entries[n-1].GetIndex()
	}
	if h.hardState.GetCommit() > last || h.hardState.GetTerm() < s.term {
		return h, errDamaged
	}
	if h.hardState.GetCommit() < s.index {
		h.hardState.Commit = new(s.index)
	}
	return h, nil
}

// putUints is one write: whatever is not nil.
type diskWrite struct {
	identity       uint64
	snapshot       []byte // a snapshot that replaces the log
	compaction     []byte // a snapshot of this voter's own; entries up to drop are dropped
	compactedIndex uint64
	hardState      *pb.HardState
	entries        []*pb.Entry
	acknowledged   map[uint64]logPosition
}

func (d *disk) write(w diskWrite) error {
	if err := d.faultAt("write"); err != nil {
		return err
	}
	if d.db == nil {
		return errors.New("no file")
	}
	return recoverFaults(func() error {
		tx, err := d.db.Begin(true)
		if err != nil {
			return err
		}
		if err := fillTransaction(tx, w); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		if err := d.faultAt("sync"); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		return tx.Commit()
	})
}

func fillTransaction(tx *bbolt.Tx, w diskWrite) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return errDamaged
	}
	var sum uint64
	if b := meta.Get(keyChecksum); len(b) > 12 {
		sum = binary.BigEndian.Uint64(b[4:])
	}
	set := func(b *bbolt.Bucket, k, v []byte) error {
		v = withChecksum(v)
		sum ^= pairChecksum(k, b.Get(k)) ^ pairChecksum(k, v)
		return b.Put(k, v)
	}
	drop := func(from, to uint64) error {
		c := log.Cursor()
		for k, v := c.Seek(uint64Key(from)); len(k) == 8 && binary.BigEndian.Uint64(k) <= to; k, v = c.Seek(uint64Key(from)) {
			sum ^= pairChecksum(k, v)
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	}
	log.FillPercent = 0.95 // it is written in order
	if w.identity != 0 {
		if err := set(meta, keyIdentity, uint64Key(w.identity)); err != nil {
			return err
		}
	}
	if w.snapshot != nil {
		if err := errors.Join(drop(0, math.MaxUint64), set(meta, keySnapshot, w.snapshot)); err != nil {
			return err
		}
	}
	if w.compaction != nil {
		if err := errors.Join(drop(0, w.compactedIndex), set(meta, keySnapshot, w.compaction)); err != nil {
			return err
		}
	}
	if w.hardState != nil {
		b, err := proto.Marshal(w.hardState)
		if err != nil {
			return err
		}
		if err := set(meta, keyHardState, b); err != nil {
			return err
		}
	}
	if len(w.acknowledged) > 0 {
		var b []byte
		for _, id := range slices.Sorted(maps.Keys(w.acknowledged)) {
			b = putUints(b, id, w.acknowledged[id].term, w.acknowledged[id].index)
		}
		if err := set(meta, keyAcknowledged, b); err != nil {
			return err
		}
	}
	for i, e := range w.entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if i == 0 { // what stood behind it was another leader's
			if err := drop(e.GetIndex(), math.MaxUint64); err != nil {
				return err
			}
		}
		if err := set(log, uint64Key(e.GetIndex()), b); err != nil {
			return err
		}
	}
	return meta.Put(keyChecksum, withChecksum(encodeChecksum(sum, uint64(tx.ID()))))
}

// rewrite makes the file anew with all that is held, and puts it in the place of the old one. It is how a voter comes back after a failed
// write: what a file holds after a failed fsync is nobody's knowledge, what this voter acknowledged is in memory.
func (d *disk) rewrite(h storedState, more *diskWrite) error {
	if err := d.faultAt("open"); err != nil {
		return err
	}
	path := filepath.Join(d.directory, databaseFile)
	if d.db != nil {
		old := d.db
		d.db = nil
		_ = recoverFaults(old.Close) // it failed before, and is replaced
	}
	if err := os.Remove(path + ".new"); err != nil && !os.IsNotExist(err) {
		return err
	}
	db, err := bbolt.Open(path+".new", 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return err
	}
	d.db = db
	err = recoverFaults(func() error {
		return db.Update(func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{bucketMeta, bucketLog} {
				if _, err := tx.CreateBucket(b); err != nil {
					return err
				}
			}
			return fillTransaction(tx, diskWrite{identity: h.identity, compaction: h.snapshot, hardState: h.hardState, entries: h.entries, acknowledged: h.acknowledged})
		})
	})
	if err == nil && more != nil {
		err = d.write(*more)
	}
	if err == nil {
		err = d.faultAt("sync")
	}
	if err == nil {
		if err = d.faultAt("rename"); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err == nil {
		err = syncDirectory(d.directory)
	}
	if err != nil {
		d.db = nil
		return errors.Join(err, recoverFaults(db.Close))
	}
	return nil
}

func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *disk) close() error {
	db, lock := d.db, d.lock
	d.db, d.lock = nil, nil
	var err error
	if db != nil {
		err = recoverFaults(db.Close)
	}
	if lock != nil {
		err = errors.Join(err, lock.Close())
	}
	return err
}

// stateToStore is what a voter's storage holds, to be written anew.
func stateToStore(identity uint64, st *raft.MemoryStorage, marks map[uint64]logPosition) (storedState, error) {
	snap, err := st.Snapshot()
	if err != nil {
		return storedState{}, err
	}
	hard, _, err := st.InitialState()
	if err != nil {
		return storedState{}, err
	}
	h := storedState{identity: identity, snapshot: snap.GetData(), hardState: hard, acknowledged: marks}
	first, err := st.FirstIndex()
	if err != nil {
		return storedState{}, err
	}
	last, err := st.LastIndex()
	if err != nil {
		return storedState{}, err
	}
	if last >= first {
		h.entries, err = st.Entries(first, last+1, 1<<62)
	}
	return h, err
}
