package consensus

import (
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

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
