package consensus

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
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
	errDamaged      = errors.New("damaged")
	errInUse        = errors.New("another process has this directory")
)

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
