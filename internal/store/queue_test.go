package store

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
)

// openBrokenStore opens a store that cannot write requests.
func openBrokenStore(t *testing.T, queue, maxBytes int) *Store {
	t.Helper()
	s := openStoreAt(t, Config{Driver: "sqlite", DSN: t.TempDir() + "/record.db", Queue: queue, MaxBytes: maxBytes}, "run", time.UnixMicro(0))
	if _, err := s.db.Exec("DROP TABLE requests"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(0) })
	return s
}

// TestQueueRejections guards against rejections that fill the memory while the store lags: they are
// queued up to the admission limit and counted beyond it, and nothing that a member has got is dropped.
func TestQueueRejections(t *testing.T) {
	const queue, rejections, served = 16, 1000, 100
	s := openBrokenStore(t, queue, 0)
	for id := range core.ID(rejections) {
		s.RecordAnswer(&core.Request{}, id, 0, core.Rejected, 0)
	}
	if got := s.Stats(); got.Queued != queue || got.Unrecorded != rejections-queue || got.Lost != 0 {
		t.Errorf("after %d rejections: %+v, want %d queued and the others unrecorded", rejections, got, queue)
	}
	for id := range core.ID(served) {
		s.RecordAnswer(&core.Request{}, rejections+id, 0, core.Served, 1)
		s.RecordAnswer(&core.Request{}, 2*rejections+id, 0, core.Rejected, 1)
	}
	if got := s.Stats(); got.Queued != queue+2*served || got.Lost != 0 {
		t.Errorf("after %d answers of placed requests: %+v, want all queued", 2*served, got)
	}
}

// TestQueueBytes guards against long names that fill the memory while the queue has few records.
func TestQueueBytes(t *testing.T) {
	const maxBytes = 1 << 20
	s := openBrokenStore(t, 0, maxBytes)
	long := &core.Request{Name: strings.Repeat("n", 64<<10)}
	for id := range core.ID(100) {
		s.RecordAnswer(long, id, 0, core.Rejected, 0)
	}
	if got := s.Stats(); got.QueuedBytes > maxBytes || got.Unrecorded == 0 || s.isReady() {
		t.Errorf("after 100 rejections with long names: %+v, Ready %v; want at most %d bytes, some unrecorded, not ready",
			got, s.isReady(), maxBytes)
	}
	for id := range core.ID(100) {
		s.RecordAnswer(long, 100+id, 0, core.Failed, 1)
	}
	if got := s.Stats(); got.QueuedBytes > maxBytes || got.Lost == 0 {
		t.Errorf("after 100 failures with long names: %+v, want at most %d bytes and the others counted as lost", got, maxBytes)
	}
}

// TestQueueMaximum guards against an unbounded queue whoever fills it: it never exceeds its maximum of
// records, and Close reports what was lost.
func TestQueueMaximum(t *testing.T) {
	const excess = 10
	s := openBrokenStore(t, 1, 0)
	for id := range core.ID(minMaxRecords + excess) {
		s.RecordAnswer(&core.Request{}, id, 0, core.Served, 1)
	}
	if got := s.Stats(); got.Queued != minMaxRecords || got.Lost != excess {
		t.Errorf("after %d answers: %+v, want %d queued and %d lost", minMaxRecords+excess, got, minMaxRecords, excess)
	}
	if err := s.Close(0); err == nil || !strings.Contains(err.Error(), "65546 records") {
		t.Errorf("Close() = %v, want an error with all 65546 records", err)
	}
}

// TestReadyBacklog guards against admitted requests whose records would exceed the maximum: Ready is
// false unless all that they may add fits above the admission limits.
func TestReadyBacklog(t *testing.T) {
	s := openStoreAt(t, Config{Driver: "sqlite", DSN: t.TempDir() + "/record.db", Queue: 16, MaxBytes: 1 << 20}, "run", time.UnixMicro(0))
	defer s.Close(time.Second)
	free := s.queue.maxBytes - s.queue.admissionBytes
	for _, test := range []struct {
		name string
		owed core.RecordBacklog
		want bool
	}{
		{"nothing", core.RecordBacklog{}, true},
		{"all bytes by records", core.RecordBacklog{Records: free / recordBytes}, true},
		{"one record more", core.RecordBacklog{Records: free/recordBytes + 1}, false},
		{"all bytes by a name", core.RecordBacklog{Records: 1, NameBytes: free - recordBytes}, true},
		{"one byte more", core.RecordBacklog{Records: 1, NameBytes: free - recordBytes + 1}, false},
	} {
		if got := s.Ready(test.owed); got != test.want {
			t.Errorf("Ready with %s owed = %v, want %v", test.name, got, test.want)
		}
	}
}
