package consensus

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// A voter's directory holds one database file. Each value in it has a checksum, and the file also holds a
// checksum over all key/value pairs. At the start the file is read without bbolt (disk_pages.go) and then
// rewritten, so that bbolt never opens a damaged file: on a damaged page it could loop forever or crash
// the process. A file that fails its checksums is renamed, and the relay starts with a new identity, since
// it cannot tell what it voted for under the old one.
const (
	databaseFile  = "accord.db"
	lockFile      = "accord.lock" // locked while a process uses the directory
	damagedSuffix = ".bad"
	newSuffix     = ".new" // of a file that is not complete yet
	lockTimeout   = time.Second
)

// Operations for which tests inject faults.
const (
	faultOpen   = "open"
	faultWrite  = "write"
	faultSync   = "sync"
	faultRename = "rename"
)

// The texts are shown in Status: errDamaged in IdentityReason and DiskError, the others in DiskError.
var (
	errDamaged = errors.New("damaged") // a file, page or value is malformed or fails its checksum
	errInUse   = errors.New("another process has this directory")
	errNoFile  = errors.New("no file") // the database is not open
)

// disk is a voter's directory with its database file. Its methods must not be called concurrently.
type disk struct {
	directory   string
	db          *bbolt.DB
	lock        *os.File
	injectFault func(op string) error // for tests; nil otherwise
}

func (d *disk) faultAt(op string) error {
	if d.injectFault == nil {
		return nil
	}
	return d.injectFault(op)
}

// recoverFaults runs f, which accesses the memory-mapped file. A fault, such as a page that is no longer
// there, becomes an error instead of crashing the process.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return f()
}

// open reads the directory's file and rewrites it. If there is no file or it is damaged, open creates one
// with newIdentity; a damaged file is renamed first. damage describes the damage; it is empty if there
// was none.
func (d *disk) open(newIdentity uint64) (stored storedState, damage string, err error) {
	defer func() {
		if err != nil {
			err = errors.Join(err, d.close())
		}
	}()
	if err := d.faultAt(faultOpen); err != nil {
		return stored, "", err
	}
	if err := os.MkdirAll(d.directory, 0o700); err != nil {
		return stored, "", err
	}
	if err := d.lockDirectory(); err != nil {
		return stored, "", err
	}
	path := filepath.Join(d.directory, databaseFile)
	file, err := os.ReadFile(path)
	switch {
	case err == nil:
		if stored, err = loadFile(file); err != nil {
			damage = "the directory's file was damaged and set aside: " + err.Error()
			if err := os.Rename(path, path+damagedSuffix); err != nil {
				return stored, damage, err
			}
			stored = storedState{identity: newIdentity}
		}
	case errors.Is(err, fs.ErrNotExist):
		stored = storedState{identity: newIdentity}
	default: // the file cannot be read now, which does not mean that its content is damaged
		return stored, "", err
	}
	return stored, damage, d.rewrite(stored, nil)
}

// lockDirectory locks the directory against other processes.
func (d *disk) lockDirectory() error {
	if d.lock != nil {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(d.directory, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 20) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			d.lock = f
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(errInUse, err, f.Close())
		}
	}
}

// rewrite replaces the file by a new one with the stored state, followed by pending if that is not nil. A
// voter recovers from a failed write in this way: after a failed fsync the file's content is unknown, but
// everything that this voter has acknowledged is in memory.
func (d *disk) rewrite(stored storedState, pending *diskWrite) error {
	if err := d.faultAt(faultOpen); err != nil {
		return err
	}
	path := filepath.Join(d.directory, databaseFile)
	if d.db != nil {
		old := d.db
		d.db = nil
		_ = recoverFaults(old.Close) // an error does not matter: the file is replaced
	}
	if err := os.Remove(path + newSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(path+newSuffix, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return err
	}
	d.db = db
	if err := d.fillNewFile(path, stored, pending); err != nil {
		d.db = nil
		return errors.Join(err, recoverFaults(db.Close))
	}
	return nil
}

// fillNewFile writes the new file and renames it to path.
func (d *disk) fillNewFile(path string, stored storedState, pending *diskWrite) error {
	err := recoverFaults(func() error {
		return d.db.Update(func(tx *bbolt.Tx) error {
			for _, bucket := range [][]byte{bucketMeta, bucketLog} {
				if _, err := tx.CreateBucket(bucket); err != nil {
					return err
				}
			}
			return fillTransaction(tx, diskWrite{identity: stored.identity, compaction: stored.snapshot, hardState: stored.hardState, entries: stored.entries, acknowledged: stored.acknowledged})
		})
	})
	if err != nil {
		return err
	}
	if pending != nil {
		if err := d.write(*pending); err != nil {
			return err
		}
	}
	if err := d.faultAt(faultSync); err != nil {
		return err
	}
	if err := d.faultAt(faultRename); err != nil {
		return err
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return err
	}
	return syncDirectory(d.directory)
}

func syncDirectory(directory string) error {
	f, err := os.Open(directory)
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
