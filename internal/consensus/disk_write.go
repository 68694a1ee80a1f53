package consensus

import (
	"encoding/binary"
	"errors"
	"math"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The file's buckets, and the keys in bucketMeta. In bucketLog an entry's key is its index. These names are
// part of the stored format.
var (
	bucketMeta      = []byte("meta")
	bucketLog       = []byte("log")
	keyIdentity     = []byte("identity")
	keyHardState    = []byte("hard")
	keySnapshot     = []byte("state")
	keyAcknowledged = []byte("marks")
	keyChecksum     = []byte("sum")
)

// logFillPercent is higher than bbolt's default because entries are written in ascending order.
const logFillPercent = 0.95

// diskWrite is the content of one transaction. Fields with the zero value are not written.
type diskWrite struct {
	identity       uint64
	snapshot       []byte // the log begins with it: it replaces all stored entries
	compaction     []byte // this voter's own snapshot; entries up to compactedIndex are deleted
	compactedIndex uint64
	hardState      *pb.HardState
	entries        []*pb.Entry // replace all stored entries from the first one's index on
	acknowledged   map[uint64]logPosition
}

func (d *disk) write(w diskWrite) error {
	if err := d.faultAt(faultWrite); err != nil {
		return err
	}
	if d.db == nil {
		return errNoFile
	}
	return recoverFaults(func() error {
		tx, err := d.db.Begin(true)
		if err != nil {
			return err
		}
		if err := fillTransaction(tx, w); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		if err := d.faultAt(faultSync); err != nil {
			return errors.Join(err, tx.Rollback())
		}
		return tx.Commit()
	})
}

func fillTransaction(tx *bbolt.Tx, w diskWrite) error {
	t, err := newTransaction(tx)
	if err != nil {
		return err
	}
	if w.identity != 0 {
		if err := t.put(t.meta, keyIdentity, uint64Key(w.identity)); err != nil {
			return err
		}
	}
	if w.snapshot != nil {
		if err := errors.Join(t.deleteEntries(0, math.MaxUint64), t.put(t.meta, keySnapshot, w.snapshot)); err != nil {
			return err
		}
	}
	if w.compaction != nil {
		if err := errors.Join(t.deleteEntries(0, w.compactedIndex), t.put(t.meta, keySnapshot, w.compaction)); err != nil {
			return err
		}
	}
	if w.hardState != nil {
		if err := t.putMessage(t.meta, keyHardState, w.hardState); err != nil {
			return err
		}
	}
	if len(w.acknowledged) > 0 {
		if err := t.put(t.meta, keyAcknowledged, putPositions(nil, w.acknowledged)); err != nil {
			return err
		}
	}
	if err := t.putEntries(w.entries); err != nil {
		return err
	}
	return t.finish()
}

// transaction is a bbolt transaction that updates the checksum over all pairs.
type transaction struct {
	tx        *bbolt.Tx
	meta, log *bbolt.Bucket
	checksum  uint64
}

func newTransaction(tx *bbolt.Tx) (*transaction, error) {
	t := &transaction{tx: tx, meta: tx.Bucket(bucketMeta), log: tx.Bucket(bucketLog)}
	if t.meta == nil || t.log == nil {
		return nil, errDamaged
	}
	t.log.FillPercent = logFillPercent
	if value := t.meta.Get(keyChecksum); len(value) > checksumSize+8 {
		t.checksum = binary.BigEndian.Uint64(value[checksumSize:])
	}
	return t, nil
}

func (t *transaction) put(b *bbolt.Bucket, key, content []byte) error {
	value := withChecksum(content)
	t.checksum ^= pairChecksum(key, b.Get(key)) ^ pairChecksum(key, value)
	return b.Put(key, value)
}

func (t *transaction) putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	content, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return t.put(b, key, content)
}

// putEntries writes entries. Stored entries at these and higher indexes are deleted first: another leader
// proposed them, and they were not committed.
func (t *transaction) putEntries(entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := t.deleteEntries(entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, e := range entries {
		if err := t.putMessage(t.log, uint64Key(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries with indexes from..to, both inclusive.
func (t *transaction) deleteEntries(from, to uint64) error {
	c := t.log.Cursor()
	for key, value := c.Seek(uint64Key(from)); len(key) == 8 && binary.BigEndian.Uint64(key) <= to; key, value = c.Seek(uint64Key(from)) {
		t.checksum ^= pairChecksum(key, value)
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// finish writes the checksum over all pairs.
func (t *transaction) finish() error {
	return t.meta.Put(keyChecksum, withChecksum(encodeChecksum(t.checksum, uint64(t.tx.ID()))))
}
