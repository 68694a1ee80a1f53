package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// TestStoredFormsStore: a SQLite store of record written by release 63fa232 is opened, written to and read by its columns' names.
func TestStoredFormsStore(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", "record.db"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "record.db")
	if err := os.WriteFile(path, written, 0o600); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(t.Output())
	s, err := Open(Config{Driver: "sqlite", DSN: path}, "run-new", time.UnixMicro(1_800_000_000_000_000), log)
	if err != nil {
		t.Fatal(err)
	}
	q := &core.Request{Name: "client-3", Class: 1, Tenant: 2}
	s.RecordAttempt(q, 1, 0, "s-3", time.Second, 2*time.Second, policy.OK)
	s.RecordAnswer(q, 1, 2*time.Second, core.Served, 1)
	until(t, "the records", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.queue) == 0 })
	var requests, attempts []string
	rows, err := s.db.Query("SELECT run, id, name, class, tenant, answer, tries, at_us FROM requests ORDER BY run, id")
	if err != nil {
		t.Fatal(err)
	}
	for rows.Next() {
		var run, name, answer string
		var id, class, tenant, tries, at int64
		if err := rows.Scan(&run, &id, &name, &class, &tenant, &answer, &tries, &at); err != nil {
			t.Fatal(err)
		}
		requests = append(requests, fmtRow(run, id, name, class, tenant, answer, tries, at))
	}
	rows.Close()
	rows, err = s.db.Query("SELECT run, request, try, member, result, start_us, end_us FROM attempts ORDER BY run, request, try")
	if err != nil {
		t.Fatal(err)
	}
	for rows.Next() {
		var run, member, result string
		var request, try, start, end int64
		if err := rows.Scan(&run, &request, &try, &member, &result, &start, &end); err != nil {
			t.Fatal(err)
		}
		attempts = append(attempts, fmtRow(run, request, try, member, result, start, end))
	}
	rows.Close()
	if err := s.Close(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	wantRequests := []string{
		"run-head 11 client-1 2 3 served 2 1800000003000000",
		"run-head 12 client-2 1 0 failed 0 1800000004000000",
		"run-new 1 client-3 1 2 served 1 1800000002000000",
	}
	wantAttempts := []string{
		"run-head 11 0 s-1 reset 1800000001000000 1800000002000000",
		"run-head 11 1 s-2 ok 1800000002000000 1800000003000000",
		"run-new 1 0 s-3 ok 1800000001000000 1800000002000000",
	}
	if !slices.Equal(requests, wantRequests) {
		t.Errorf("requests %q", requests)
	}
	if !slices.Equal(attempts, wantAttempts) {
		t.Errorf("attempts %q", attempts)
	}
}

func fmtRow(values ...any) string {
	text := ""
	for i, v := range values {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprint(v)
	}
	return text
}
