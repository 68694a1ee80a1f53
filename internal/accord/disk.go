package accord

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// One file, accord.db. Every value has a checksum; what does not add up when it is opened is set aside, and the relay comes back
// under a new identity, since nobody can say what it may have voted for.
const (
	dbName   = "accord.db"
	lockWait = time.Second
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyIdent   = []byte("identity")
	keyHard    = []byte("hard")
	keyState   = []byte("state")
	keyMarks   = []byte("marks")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errDamaged = errors.New("damaged")
)

// held is what a directory held.
type held struct {
	identity uint64
	state    []byte // nil: it never voted
	hard     *pb.HardState
	entries  []*pb.Entry
	marks    map[uint64]mark
}

// disk is the voter's file. All calls come from one goroutine at a time.
type disk struct {
	dir   string
	db    *bbolt.DB
	fault func(op string) error // tests plant failures here: open, write, sync, rename
}

func (d *disk) failing(op string) error {
	if d.fault == nil {
		return nil
	}
	return d.fault(op)
}

func sealed(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli)), b...)
}

func unsealed(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, errDamaged
	}
	return append([]byte(nil), b[4:]...), nil
}

func logKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// guarded runs what touches the mapped file: a page that is not there any more is an error, not the end of the process.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return f()
}

// openDB opens the file. In a goroutine of its own with a bound: a damaged file may make a library walk in circles.
func openDB(path string) (*bbolt.DB, error) {
	type opened struct {
		db  *bbolt.DB
		err error
	}
	done := make(chan opened, 1)
	go func() {
		var o opened
		o.err = guarded(func() (err error) {
			o.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
			return err
		})
		done <- o
	}()
	select {
	case o := <-done:
		return o.db, o.err
	case <-time.After(10 * lockWait):
		return nil, fmt.Errorf("%w: not open in time", errDamaged)
	}
}

// whole says whether the file is as long as its newest sound meta page claims: one that was cut off is found before anything is mapped, since
// the library looks at pages on goroutines of its own too, where a missing one would end the process.
func whole(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	const head, size = 16, 64 // of a page; of what follows on a meta page: magic, version, page size, flags, root, sequence, freelist, pages, number, sum
	var newest, need uint64
	for _, at := range []int64{0, int64(os.Getpagesize())} {
		b := make([]byte, head+size)
		if _, err := f.ReadAt(b, at); err != nil {
			return fmt.Errorf("%w: %d bytes", errDamaged, info.Size())
		}
		m := b[head:]
		sum := fnv.New64a()
		sum.Write(m[:size-8])
		order := binary.NativeEndian
		if order.Uint32(m) != 0xED0CDAED || order.Uint64(m[56:]) != sum.Sum64() {
			continue
		}
		if number := order.Uint64(m[48:]); number >= newest {
			newest, need = number, order.Uint64(m[40:])*uint64(order.Uint32(m[8:]))
		}
	}
	if need == 0 || uint64(info.Size()) < need {
		return fmt.Errorf("%w: %d of %d bytes", errDamaged, info.Size(), need)
	}
	return nil
}

// open reads what the directory holds. With no file, or one that is set aside as damaged, it makes one with the identity fresh.
func (d *disk) open(fresh uint64) (h held, note string, err error) {
	if err := d.failing("open"); err != nil {
		return h, "", err
	}
	if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return h, "", err
	}
	path := filepath.Join(d.dir, dbName)
	_, missing := os.Stat(path)
	err = whole(path)
	if missing == nil && err == nil {
		if d.db, err = openDB(path); err == nil {
			err = guarded(func() error { return d.load(&h) })
		}
	}
	switch {
	case missing == nil && err == nil:
		return h, "", nil
	case missing == nil && (errors.Is(err, bbolt.ErrTimeout) || os.IsPermission(err)):
		return h, "", err // another process has it, or nobody may: nothing is wrong with what it holds
	case missing == nil:
		note = "the directory's file was damaged and set aside: " + err.Error()
		if d.db != nil {
			_ = guarded(d.db.Close)
			d.db = nil
		}
		if err := os.Rename(path, path+".bad"); err != nil {
			return h, note, err
		}
	case !os.IsNotExist(missing):
		return h, "", missing
	}
	return held{identity: fresh}, note, d.rewrite(held{identity: fresh}, nil)
}

func (d *disk) load(h *held) error {
	return d.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return errDamaged
		}
		get := func(key []byte) ([]byte, error) {
			b := meta.Get(key)
			if b == nil {
				return nil, nil
			}
			return unsealed(b)
		}
		ident, err := get(keyIdent)
		if err != nil || len(ident) != 8 {
			return errDamaged
		}
		h.identity = binary.BigEndian.Uint64(ident)
		if h.state, err = get(keyState); err != nil {
			return err
		}
		b, err := get(keyHard)
		if err != nil {
			return err
		}
		if h.hard = (&pb.HardState{}); b != nil {
			if err := proto.Unmarshal(b, h.hard); err != nil {
				return err
			}
		}
		if b, err = get(keyMarks); err != nil {
			return err
		}
		h.marks = map[uint64]mark{}
		r := reader{b: b}
		for b != nil && len(r.b) > 0 && r.err == nil {
			h.marks[r.uint()] = mark{r.uint(), r.uint()}
		}
		if r.err != nil {
			return r.err
		}
		if h.state == nil {
			return nil
		}
		s, err := decodeState(h.state)
		if err != nil {
			return err
		}
		c := log.Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			raw, err := unsealed(v)
			if err != nil || len(k) != 8 {
				return errDamaged
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(raw, e); err != nil {
				return err
			}
			if e.GetIndex() != binary.BigEndian.Uint64(k) || len(h.entries) > 0 && h.entries[len(h.entries)-1].GetIndex()+1 != e.GetIndex() {
				return errDamaged
			}
			h.entries = append(h.entries, e)
		}
		// The log holds some entries that the snapshot has too, for those who are a little behind; the engine begins after it.
		for len(h.entries) > 0 && h.entries[0].GetIndex() <= s.index {
			h.entries = h.entries[1:]
		}
		last := s.index
		if n := len(h.entries); n > 0 {
			if h.entries[0].GetIndex() != s.index+1 {
				return errDamaged
			}
			last = h.entries[n-1].GetIndex()
		}
		if h.hard.GetCommit() > last || h.hard.GetTerm() < s.term {
			return errDamaged
		}
		if h.hard.GetCommit() < s.index {
			h.hard.Commit = new(s.index)
		}
		return nil
	})
}

// put is one write: whatever is not nil.
type diskWrite struct {
	state   []byte // a snapshot that replaces the log
	compact []byte // a snapshot of this voter's own; entries up to drop are dropped
	drop    uint64
	hard    *pb.HardState
	entries []*pb.Entry
	marks   map[uint64]mark
}

func (d *disk) write(w diskWrite) error {
	if err := d.failing("write"); err != nil {
		return err
	}
	if d.db == nil {
		return errors.New("no file")
	}
	return guarded(func() error {
		tx, err := d.db.Begin(true)
		if err != nil {
			return err
		}
		if err := fill(tx, w); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		if err := d.failing("sync"); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		return tx.Commit()
	})
}

func fill(tx *bbolt.Tx, w diskWrite) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return errDamaged
	}
	log.FillPercent = 0.95 // it is written in order
	if w.state != nil {
		if err := tx.DeleteBucket(bucketLog); err != nil {
			return err
		}
		var err error
		if log, err = tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		if err := meta.Put(keyState, sealed(w.state)); err != nil {
			return err
		}
	}
	if w.compact != nil {
		if err := meta.Put(keyState, sealed(w.compact)); err != nil {
			return err
		}
		c := log.Cursor()
		for k, _ := c.First(); k != nil && len(k) == 8 && binary.BigEndian.Uint64(k) <= w.drop; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	if w.hard != nil {
		b, err := proto.Marshal(w.hard)
		if err != nil {
			return err
		}
		if err := meta.Put(keyHard, sealed(b)); err != nil {
			return err
		}
	}
	if len(w.marks) > 0 {
		var b []byte
		for _, id := range sortedKeys(w.marks) {
			b = put(b, id, w.marks[id].term, w.marks[id].index)
		}
		if err := meta.Put(keyMarks, sealed(b)); err != nil {
			return err
		}
	}
	for i, e := range w.entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if i == 0 { // what stood behind it was another leader's
			c := log.Cursor()
			for k, _ := c.Seek(logKey(e.GetIndex())); k != nil; k, _ = c.Seek(logKey(e.GetIndex())) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if err := log.Put(logKey(e.GetIndex()), sealed(b)); err != nil {
			return err
		}
	}
	return nil
}

// rewrite makes the file anew with all that is held, and puts it in the place of the old one. It is how a voter comes back after a failed
// write: what a file holds after a failed fsync is nobody's knowledge, what this voter acknowledged is in memory.
func (d *disk) rewrite(h held, more *diskWrite) error {
	if err := d.failing("open"); err != nil {
		return err
	}
	path := filepath.Join(d.dir, dbName)
	if d.db != nil {
		old := d.db
		d.db = nil
		_ = guarded(old.Close) // it failed before, and is replaced
	}
	if err := os.Remove(path + ".new"); err != nil && !os.IsNotExist(err) {
		return err
	}
	db, err := openDB(path + ".new")
	if err != nil {
		return err
	}
	d.db = db
	err = guarded(func() error {
		return db.Update(func(tx *bbolt.Tx) error {
			meta, err := tx.CreateBucketIfNotExists(bucketMeta)
			if err != nil {
				return err
			}
			if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
				return err
			}
			if err := meta.Put(keyIdent, sealed(binary.BigEndian.AppendUint64(nil, h.identity))); err != nil {
				return err
			}
			return fill(tx, diskWrite{compact: h.state, hard: h.hard, entries: h.entries, marks: h.marks})
		})
	})
	if err == nil && more != nil {
		err = d.write(*more)
	}
	if err == nil {
		err = d.failing("sync")
	}
	if err == nil {
		if err = d.failing("rename"); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err == nil {
		err = syncDir(d.dir)
	}
	if err != nil {
		d.db = nil
		return errors.Join(err, guarded(db.Close))
	}
	return nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d *disk) close() error {
	if d.db == nil {
		return nil
	}
	db := d.db
	d.db = nil
	return guarded(db.Close)
}

// heldBy is what a voter's storage holds, to be written anew.
func heldBy(identity uint64, st *raft.MemoryStorage, marks map[uint64]mark) (held, error) {
	snap, err := st.Snapshot()
	if err != nil {
		return held{}, err
	}
	hard, _, err := st.InitialState()
	if err != nil {
		return held{}, err
	}
	h := held{identity: identity, state: snap.GetData(), hard: hard, marks: marks}
	first, err := st.FirstIndex()
	if err != nil {
		return held{}, err
	}
	last, err := st.LastIndex()
	if err != nil {
		return held{}, err
	}
	if last >= first {
		h.entries, err = st.Entries(first, last+1, 1<<62)
	}
	return h, err
}
