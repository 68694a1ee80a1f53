package store

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// TestStoredFormsStore: a SQLite store written by release 63fa232 can be opened, extended, and read
// by its column names.
func TestStoredFormsStore(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", "record.db"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "record.db")
	if err := os.WriteFile(path, written, 0o600); err != nil {
		t.Fatal(err)
	}
	s := openStoreAt(t, Config{Driver: "sqlite", DSN: path}, "run-new", time.UnixMicro(1_800_000_000_000_000))
	request := &core.Request{Name: "client-3", Class: 1, Tenant: 2}
	s.RecordAttempt(request, 1, 0, "s-3", time.Second, 2*time.Second, policy.OK)
	s.RecordAnswer(request, 1, 2*time.Second, core.Served, 1)
	s.waitWritten(t)
	requests := s.queryRows(t, "SELECT run, id, name, class, tenant, answer, tries, at_us FROM requests ORDER BY run, id")
	attempts := s.queryRows(t, "SELECT run, request, try, member, result, start_us, end_us FROM attempts ORDER BY run, request, try")
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
		t.Errorf("rows of requests = %q, want %q", requests, wantRequests)
	}
	if !slices.Equal(attempts, wantAttempts) {
		t.Errorf("rows of attempts = %q, want %q", attempts, wantAttempts)
	}
}

// queryRows returns each row as the text of its values, separated by spaces.
func (s *Store) queryRows(t *testing.T, query string) (result []string) {
	t.Helper()
	rows, err := s.db.Query(query)
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	columns, err := rows.Columns()
	if err != nil {
		t.Fatal(err)
	}
	values, pointers := make([]string, len(columns)), make([]any, len(columns))
	for i := range values {
		pointers[i] = &values[i]
	}
	for rows.Next() {
		if err := rows.Scan(pointers...); err != nil {
			t.Fatal(err)
		}
		result = append(result, strings.Join(values, " "))
	}
	if err := rows.Err(); err != nil {
		t.Fatal(err)
	}
	return result
}
