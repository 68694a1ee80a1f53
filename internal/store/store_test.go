package store

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

func open(t *testing.T, queue int) (*Store, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "record.db")
	log := logrus.New()
	log.SetOutput(t.Output())
	s, err := Open(Config{Driver: "sqlite", DSN: path, Queue: queue}, "run", time.UnixMicro(0), log)
	if err != nil {
		t.Fatal(err)
	}
	return s, path
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

func (s *Store) count(t *testing.T, query string) (n int) {
	t.Helper()
	if err := s.db.QueryRow(query).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// TestRecord: what is put in can be read back, a name that is no text too, and
// a record that is put in twice stands once.
func TestRecord(t *testing.T) {
	s, _ := open(t, 0)
	q := &core.Request{Name: "a\x00\xff", Class: 1, Tenant: 2}
	for range 2 {
		s.RecordAttempt(q, 5, 0, "s-1", time.Second, 2*time.Second, policy.Reset)
		s.RecordAnswer(q, 5, 3*time.Second, core.Failed, 1)
	}
	until(t, "the records", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.queue) == 0 })
	if n := s.count(t, "SELECT count(*) FROM requests WHERE name = 'a??' AND answer = 'failed' AND at_us = 3000000"); n != 1 {
		t.Errorf("%d such answers", n)
	}
	if n := s.count(t, "SELECT count(*) FROM attempts WHERE result = 'reset' AND end_us - start_us = 1000000"); n != 1 {
		t.Errorf("%d such attempts", n)
	}
	if err := s.Close(20 * time.Second); err != nil || s.Ready() {
		t.Errorf("closed with %v, ready %v", err, s.Ready())
	}
}

// TestQueueLimit: a store that cannot write is not ready, loses nothing that was put
// in, and is ready again once it can.
func TestQueueLimit(t *testing.T) {
	s, _ := open(t, 4)
	if _, err := s.db.Exec("ALTER TABLE requests RENAME TO elsewhere"); err != nil {
		t.Fatal(err)
	}
	for id := range core.ID(9) {
		s.RecordAnswer(&core.Request{}, id, 0, core.Served, 0)
	}
	until(t, "the failure", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.failing })
	if s.Ready() {
		t.Error("ready while it fails")
	}
	if _, err := s.db.Exec("ALTER TABLE elsewhere RENAME TO requests"); err != nil {
		t.Fatal(err)
	}
	until(t, "the recovery", s.Ready)
	until(t, "all nine", func() bool { return s.count(t, "SELECT count(*) FROM requests") == 9 })
	if err := s.Close(20 * time.Second); err != nil {
		t.Error(err)
	}
}

// TestCloseBound: the last flush ends in time, and says what it had to leave.
func TestCloseBound(t *testing.T) {
	s, _ := open(t, 0)
	if _, err := s.db.Exec("DROP TABLE requests"); err != nil {
		t.Fatal(err)
	}
	s.RecordAnswer(&core.Request{}, 1, 0, core.Served, 0)
	if err := s.Close(10 * time.Millisecond); err == nil {
		t.Error("a lost record was not told")
	}
}

// TestLogsFailures: a store that fails for a while says so once, and once that it works again, however often it tries.
func TestLogsFailures(t *testing.T) {
	s, _ := open(t, 0)
	log, hook := test.NewNullLogger()
	s.log = log
	told := func(level logrus.Level) (n int) {
		for _, e := range hook.AllEntries() {
			if e.Level == level {
				n++
			}
		}
		return n
	}
	for trouble := 1; trouble <= 2; trouble++ {
		if _, err := s.db.Exec("ALTER TABLE requests RENAME TO elsewhere"); err != nil {
			t.Fatal(err)
		}
		s.RecordAnswer(&core.Request{}, core.ID(trouble), 0, core.Served, 0)
		until(t, "the failure", func() bool { return !s.Ready() })
		time.Sleep(3 * minBackoff) // a few tries more
		if _, err := s.db.Exec("ALTER TABLE elsewhere RENAME TO requests"); err != nil {
			t.Fatal(err)
		}
		until(t, "the recovery", s.Ready)
		until(t, "the word of it", func() bool { return told(logrus.InfoLevel) >= trouble })
		if bad, good := told(logrus.ErrorLevel), told(logrus.InfoLevel); bad != trouble || good != trouble {
			t.Errorf("after %d troubles: %d times told of one, %d times of its end", trouble, bad, good)
		}
	}
	if err := s.Close(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}
