// Package store writes the record of requests, each request's final answer and each of its attempts,
// to SQLite or PostgreSQL. The event loop queues records and never waits; one goroutine writes them
// in batches. See docs/design.md, "The store".
package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/stdlib" // registers the driver "pgx"
	"github.com/sirupsen/logrus"
	_ "modernc.org/sqlite" // registers the driver "sqlite"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// Config is the store's section of the configuration file.
type Config struct {
	Driver string `json:"driver"` // sqlite or postgres
	DSN    string `json:"dsn"`
	Queue  int    `json:"queue"` // queued records at which new requests are rejected; 0 for defaultQueue
	// MaxBytes is the most bytes of records that may be queued; 0 for defaultMaxBytes.
	MaxBytes int `json:"-"`
}

// Check returns an error if the configuration is not valid.
func (c *Config) Check() error {
	if c.Driver != "sqlite" && c.Driver != "postgres" {
		return fmt.Errorf("driver %q is unknown: want sqlite or postgres", c.Driver)
	}
	if c.DSN == "" {
		return errors.New("dsn is empty")
	}
	if c.Queue < 0 {
		return fmt.Errorf("queue is %d: want 0 or more", c.Queue)
	}
	return nil
}

const (
	writeTimeout = 5 * time.Second // for one transaction, and for creating one table
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// schema creates the tables, one statement each. The column run identifies one process of one relay.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS requests (run TEXT NOT NULL, id BIGINT NOT NULL, name TEXT NOT NULL,
 class BIGINT NOT NULL, tenant BIGINT NOT NULL, answer TEXT NOT NULL, tries BIGINT NOT NULL,
 at_us BIGINT NOT NULL, PRIMARY KEY (run, id))`,
	`CREATE TABLE IF NOT EXISTS attempts (run TEXT NOT NULL, request BIGINT NOT NULL, try BIGINT NOT NULL,
 member TEXT NOT NULL, result TEXT NOT NULL, start_us BIGINT NOT NULL, end_us BIGINT NOT NULL,
 PRIMARY KEY (run, request, try))`,
}

// insertStatement returns an INSERT that does nothing if the row exists. A batch whose commit may or
// may not have succeeded can therefore be written again.
func insertStatement(driver, table, columns string) string {
	n := strings.Count(columns, ",") + 1
	placeholders := make([]string, n)
	for i := range placeholders {
		if placeholders[i] = "?"; driver == "postgres" {
			placeholders[i] = fmt.Sprintf("$%d", i+1)
		}
	}
	return fmt.Sprintf("INSERT INTO %s (%s) VALUES (%s) ON CONFLICT DO NOTHING", table, columns, strings.Join(placeholders, ", "))
}

// Stats describes the queue of a store.
type Stats struct {
	Queued, QueuedBytes int // records that are not written yet; their bytes
	Unrecorded          int // rejections that were not recorded, since the queue had reached its admission limit
	Lost                int // other records that were not recorded, since the queue had reached its maximum
}

// Store is an open store. Its writer goroutine runs from Open to Close.
type Store struct {
	db            *sql.DB
	log           logrus.FieldLogger
	run           string    // value of the column run
	epoch         time.Time // wall-clock time of clock time 0
	insertAttempt string
	insertRequest string

	mu       sync.Mutex
	queue    recordQueue
	stats    Stats // without Queued and QueuedBytes
	skipping bool  // rejections are not recorded; reset by endSkipping
	opened   bool  // the tables exist
	failing  bool  // the latest write failed
	closing  bool

	wake         chan struct{}
	firstAttempt chan struct{} // closed by the writer
	writerDone   chan struct{}
	stopWriter   context.CancelFunc
}

// Open starts the writer goroutine, which connects to the database and creates missing tables, and
// retries until that succeeds. Until then the store is not ready. Open itself does not wait, and fails
// only if the configuration cannot be used. The times passed to RecordAttempt and RecordAnswer count
// from epoch.
func Open(cfg Config, run string, epoch time.Time, log logrus.FieldLogger) (*Store, error) {
	if err := checkDSN(cfg); err != nil {
		return nil, err
	}
	db, err := sql.Open(dataSource(cfg))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db.SetMaxOpenConns(1) // one goroutine writes, and SQLite allows one writer only
	s := &Store{db: db, log: log, run: run, epoch: epoch, queue: recordQueue{queueLimits: newQueueLimits(cfg)},
		insertAttempt: insertStatement(cfg.Driver, "attempts", "run, request, try, member, result, start_us, end_us"),
		insertRequest: insertStatement(cfg.Driver, "requests", "run, id, name, class, tenant, answer, tries, at_us"),
		wake:          make(chan struct{}, 1), firstAttempt: make(chan struct{}), writerDone: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	s.stopWriter = stop
	go s.runWriter(ctx)
	return s, nil
}

// dataSource returns the name of the driver and the data source name for it.
func dataSource(cfg Config) (driver, dsn string) {
	if cfg.Driver == "postgres" {
		return "pgx", cfg.DSN
	}
	if strings.Contains(cfg.DSN, "busy_timeout") {
		return cfg.Driver, cfg.DSN
	}
	// During a hot restart two processes write; each waits up to 4000 ms for the other's lock.
	separator := "?"
	if strings.Contains(cfg.DSN, "?") {
		separator = "&"
	}
	return cfg.Driver, cfg.DSN + separator + "_pragma=busy_timeout(4000)"
}

// checkDSN returns an error for a PostgreSQL connection URL that cannot be parsed. A file that the URL
// names and that cannot be read now is no such error.
func checkDSN(cfg Config) error {
	if cfg.Driver != "postgres" {
		return nil
	}
	var unreadable *fs.PathError
	if _, err := pgx.ParseConfig(cfg.DSN); err != nil && !errors.As(err, &unreadable) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// FirstAttempt returns a channel that is closed once the first attempt to open the database has
// succeeded or failed.
func (s *Store) FirstAttempt() <-chan struct{} { return s.firstAttempt }

// Opened reports whether the database has been opened and its tables exist.
func (s *Store) Opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Ready reports whether a new request would be recorded: the tables exist, writes succeed, the store is
// not closing, the queue is below its admission limits, and all that admitted requests may still add, the new one
// included, fits above them. What an admitted request adds is therefore queued whatever the store does.
func (s *Store) Ready(owed core.RecordBacklog) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened && !s.failing && !s.closing && s.queue.belowAdmission() && s.queue.fits(owed)
}

// Stats returns the current figures of the queue.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Queued, stats.QueuedBytes = len(s.queue.records), s.queue.bytes
	return stats
}

// resultNames are the results as stored in the column result; they must not change.
var resultNames = map[policy.Result]string{
	policy.OK: "ok", policy.Error: "error", policy.Full: "full", policy.Timeout: "timeout",
	policy.ConnectFailed: "connect_failed", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
}

// RecordAttempt queues a record of an attempt that has ended. The first attempt has number 0.
func (s *Store) RecordAttempt(_ *core.Request, id core.ID, attempt int, member string, start, end time.Duration, result policy.Result) {
	s.enqueue(record{table: attemptsTable, request: id, number: attempt, member: member, result: resultNames[result],
		start: start, end: end})
}

// RecordAnswer queues a record of a request's final answer. The rejection of a request that no member
// has got is recorded only while the queue is below its admission limits, and counted otherwise.
func (s *Store) RecordAnswer(q *core.Request, id core.ID, at time.Duration, answer core.Answer, attempts int) {
	r := record{table: requestsTable, request: id, number: attempts, result: string(answer), name: sanitizeText(q.Name),
		class: q.Class, tenant: q.Tenant, end: at}
	if answer == core.Rejected && attempts == 0 {
		s.enqueueUnplaced(r)
	} else {
		s.enqueue(r)
	}
}

// sanitizeText replaces bytes that a text column cannot store. A name that the database rejects
// would make its batch fail on every retry.
func sanitizeText(name string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(name, "?"), "\x00", "?")
}

// timestamp returns a time of the relay's clock as stored.
func (s *Store) timestamp(at time.Duration) int64 { return s.epoch.Add(at).UnixMicro() }

// Close writes the queued records, waits at most timeout for that, stops the writer and closes the
// database. It returns an error with the number of records that were not written.
func (s *Store) Close(timeout time.Duration) error {
	s.mu.Lock()
	s.closing = true
	written := len(s.queue.records) == 0
	s.mu.Unlock()
	if written { // the writer may still wait for the database, with nothing to write
		s.stopWriter()
	}
	s.wakeWriter()
	select {
	case <-s.writerDone:
	case <-time.After(timeout):
		s.stopWriter()
		<-s.writerDone
	}
	s.stopWriter()
	stats := s.Stats()
	if stats.Unrecorded > 0 {
		s.log.WithField("unrecorded", stats.Unrecorded).Warn("rejections were not recorded")
	}
	err := s.db.Close()
	if missing := stats.Queued + stats.Lost; missing > 0 {
		return fmt.Errorf("store: %d records were not written in time", missing)
	}
	return err
}
