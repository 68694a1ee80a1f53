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

// A voter's directory holds one file. Each value in it has a checksum, and a checksum over all of them stands beside them. At the start the
// file is read without bbolt (disk_pages.go) and then rewritten, so that bbolt never meets a damaged page: it would loop, or end the process.
// A file that fails its checksums is set aside, and the relay comes back under a new identity, since nobody knows what it has voted for.
const (
	databaseFile  = "accord.db"
	lockFile      = "accord.lock" // locked while a process uses the directory
	damagedSuffix = ".bad"
	newSuffix     = ".new"
	lockTimeout   = time.Second
)

// The operations at which tests inject faults.
const (
	faultOpen   = "open"
	faultWrite  = "write"
	faultSync   = "sync"
	faultRename = "rename"
)

var (
	errDamaged = errors.New("damaged")
	errInUse   = errors.New("another process has this directory")
	errNoFile  = errors.New("no file")
)

// disk is a voter's file. All calls come from one goroutine at a time.
type disk struct {
	directory   string
	db          *bbolt.DB
	lock        *os.File
	injectFault func(op string) error
}

func (d *disk) faultAt(op string) error {
	if d.injectFault == nil {
		return nil
	}
	return d.injectFault(op)
}

// recoverFaults runs f, which accesses the mapped file: a page that is no longer there is an error, not the end of the process.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return f()
}

// open reads what the directory holds and rewrites it. If there is no file, or a damaged one, which it sets aside, it makes one with a new
// identity. damage says what was wrong with the file.
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
	default: // it cannot be read now, but nothing says that its content is damaged
		return stored, "", err
	}
	return stored, damage, d.rewrite(stored, nil)
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

// rewrite writes a new file with all that is stored, and pending if it is not nil, and puts it in the place of the old one. This is how a
// voter comes back after a failed write: nobody knows what a file holds after a failed fsync, but what this voter acknowledged is in memory.
func (d *disk) rewrite(stored storedState, pending *diskWrite) error {
	if err := d.faultAt(faultOpen); err != nil {
		return err
	}
	path := filepath.Join(d.directory, databaseFile)
	if d.db != nil {
		old := d.db
		d.db = nil
		_ = recoverFaults(old.Close) // it failed before, and is replaced
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

// fillNewFile writes the new file and renames it.
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
