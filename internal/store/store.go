// Package store keeps the record of requests: each request's final answer and each
// attempt, in SQLite or PostgreSQL. The relay's loop hands over records and never waits;
// one goroutine writes them in batches. See docs/design.md, "The store".
package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // the driver "pgx"
	"github.com/sirupsen/logrus"
	_ "modernc.org/sqlite" // the driver "sqlite"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// Config is the store's section of the configuration file.
type Config struct {
	Driver string `json:"driver"` // sqlite or postgres
	DSN    string `json:"dsn"`
	Queue  int    `json:"queue"` // records that may wait before new requests are rejected
}

// Check says what is wrong with the configuration.
func (c *Config) Check() error {
	if c.Driver != "sqlite" && c.Driver != "postgres" {
		return fmt.Errorf("unknown driver %q: sqlite or postgres", c.Driver)
	}
	if c.DSN == "" {
		return errors.New("no dsn")
	}
	if c.Queue < 0 {
		return errors.New("queue below zero")
	}
	return nil
}

const (
	defaultQueue = 4096
	maxBatch     = 512
	writeTimeout = 5 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// schema makes the tables. A run is one process of one relay: request ids start anew
// with each.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS requests (run TEXT NOT NULL, id BIGINT NOT NULL, name TEXT NOT NULL,
 class BIGINT NOT NULL, tenant BIGINT NOT NULL, answer TEXT NOT NULL, tries BIGINT NOT NULL,
 at_us BIGINT NOT NULL, PRIMARY KEY (run, id))`,
	`CREATE TABLE IF NOT EXISTS attempts (run TEXT NOT NULL, request BIGINT NOT NULL, try BIGINT NOT NULL,
 member TEXT NOT NULL, result TEXT NOT NULL, start_us BIGINT NOT NULL, end_us BIGINT NOT NULL,
 PRIMARY KEY (run, request, try))`,
}

// insertStatement is an INSERT that changes nothing if the record exists, so that a batch
// whose commit was in doubt may be repeated.
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

// record is a row of one of the tables.
type record struct {
	isAttempt bool // a row of attempts; otherwise of requests
	values    []any
}

// Store is an open store. Its writer goroutine runs from Open to Close.
type Store struct {
	db            *sql.DB
	log           logrus.FieldLogger
	run           string
	epoch         time.Time
	queueLimit    int
	insertAttempt string
	insertRequest string

	mu      sync.Mutex
	queue   []record
	failing bool // the latest write failed
	closing bool

	wake       chan struct{}
	writerDone chan struct{}
	stopWriter context.CancelFunc
}

// Open connects, makes the tables and starts the writer. Clock times count from epoch.
func Open(cfg Config, run string, epoch time.Time, log logrus.FieldLogger) (*Store, error) {
	db, err := sql.Open(dataSource(cfg))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db.SetMaxOpenConns(1) // one writer; SQLite allows no more
	if err := makeTables(db); err != nil {
		db.Close()
		return nil, err
	}
	s := &Store{db: db, log: log, run: run, epoch: epoch, queueLimit: cfg.Queue,
		insertAttempt: insertStatement(cfg.Driver, "attempts", "run, request, try, member, result, start_us, end_us"),
		insertRequest: insertStatement(cfg.Driver, "requests", "run, id, name, class, tenant, answer, tries, at_us"),
		wake:          make(chan struct{}, 1), writerDone: make(chan struct{})}
	if s.queueLimit == 0 {
		s.queueLimit = defaultQueue
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stopWriter = stop
	go s.runWriter(ctx)
	return s, nil
}

// dataSource is the name of the driver and its data source.
func dataSource(cfg Config) (driver, dsn string) {
	if cfg.Driver == "postgres" {
		return "pgx", cfg.DSN
	}
	if strings.Contains(cfg.DSN, "busy_timeout") {
		return cfg.Driver, cfg.DSN
	}
	// Two processes write during an upgrade: each waits for the other's lock.
	separator := "?"
	if strings.Contains(cfg.DSN, "?") {
		separator = "&"
	}
	return cfg.Driver, cfg.DSN + separator + "_pragma=busy_timeout(4000)"
}

func makeTables(db *sql.DB) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for _, statement := range schema {
		if _, err := db.ExecContext(ctx, statement); err != nil {
			return fmt.Errorf("store: making the tables: %w", err)
		}
	}
	return nil
}

// Ready reports whether what follows will be recorded: the writer works and keeps up. Records
// of requests that were accepted are always taken, so these may exceed the queue's limit.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failing && !s.closing && len(s.queue) < s.queueLimit
}

// resultNames are the results as stored.
var resultNames = map[policy.Result]string{
	policy.OK: "ok", policy.Error: "error", policy.Full: "full", policy.Timeout: "timeout",
	policy.ConnectFailed: "connect_failed", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
}

// RecordAttempt records the end of an attempt.
func (s *Store) RecordAttempt(_ *core.Request, id core.ID, attempt int, member string, start, end time.Duration, result policy.Result) {
	s.enqueue(record{true, []any{s.run, int64(id), int64(attempt), member, resultNames[result], s.timestamp(start),
		s.timestamp(end)}})
}

// RecordAnswer records a final answer.
func (s *Store) RecordAnswer(q *core.Request, id core.ID, at time.Duration, answer core.Answer, attempts int) {
	s.enqueue(record{false, []any{s.run, int64(id), sanitizeText(q.Name), int64(q.Class), int64(q.Tenant), string(answer),
		int64(attempts), s.timestamp(at)}})
}

// sanitizeText makes a client's name fit for a column of text: one that the database
// refuses would block the whole batch forever.
func sanitizeText(name string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(name, "?"), "\x00", "?")
}

func (s *Store) timestamp(at time.Duration) int64 { return s.epoch.Add(at).UnixMicro() }

// Close writes the queue, for at most that long, stops the writer and closes the
// database. Its error says how many records were not written.
func (s *Store) Close(timeout time.Duration) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.writerDone:
	case <-time.After(timeout):
		s.stopWriter()
		<-s.writerDone
	}
	s.stopWriter()
	s.mu.Lock()
	left := len(s.queue)
	s.mu.Unlock()
	err := s.db.Close()
	if left > 0 {
		return fmt.Errorf("store: %d records were not written in time", left)
	}
	return err
}
