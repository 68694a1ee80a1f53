// Package store is the store of record: each request's final answer and each
// attempt, in SQLite or PostgreSQL. The relay's loop hands records over and never
// waits; one goroutine writes them in batches. See docs/design.md, "The store".
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

// Config is how the operator's file names the store.
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

// schema makes the tables. A run is one life of one relay: request ids start
// anew with each.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS requests (run TEXT NOT NULL, id BIGINT NOT NULL, name TEXT NOT NULL,
 class BIGINT NOT NULL, tenant BIGINT NOT NULL, answer TEXT NOT NULL, tries BIGINT NOT NULL,
 at_us BIGINT NOT NULL, PRIMARY KEY (run, id))`,
	`CREATE TABLE IF NOT EXISTS attempts (run TEXT NOT NULL, request BIGINT NOT NULL, try BIGINT NOT NULL,
 member TEXT NOT NULL, result TEXT NOT NULL, start_us BIGINT NOT NULL, end_us BIGINT NOT NULL,
 PRIMARY KEY (run, request, try))`,
}

// insertStatement is a statement; writing a record again changes nothing, so a batch whose
// commit was in doubt may be repeated.
func insertStatement(driver, table, columns string) string {
	n := strings.Count(columns, ",") + 1
	marks := make([]string, n)
	for i := range marks {
		if marks[i] = "?"; driver == "postgres" {
			marks[i] = fmt.Sprintf("$%d", i+1)
		}
	}
	return fmt.Sprintf("INSERT INTO %s (%s) VALUES (%s) ON CONFLICT DO NOTHING", table, columns, strings.Join(marks, ", "))
}

type record struct {
	isAttempt bool
	values    []any
}

// Store is an open store.
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
	failing bool
	closing bool
	wake    chan struct{}
	done    chan struct{}
	stop    context.CancelFunc
	ctx     context.Context
}

// Open connects, makes the tables and starts the writer. Clock times count from
// epoch.
func Open(cfg Config, run string, epoch time.Time, log logrus.FieldLogger) (*Store, error) {
	driver, dsn := cfg.Driver, cfg.DSN
	if driver == "postgres" {
		driver = "pgx"
	} else if !strings.Contains(dsn, "busy_timeout") {
		// Two processes write during an upgrade: one waits for the other's lock.
		mark := "?"
		if strings.Contains(dsn, "?") {
			mark = "&"
		}
		dsn += mark + "_pragma=busy_timeout(4000)"
	}
	db, err := sql.Open(driver, dsn)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db.SetMaxOpenConns(1) // one writer; SQLite takes no more
	s := &Store{db: db, log: log, run: run, epoch: epoch, queueLimit: cfg.Queue,
		insertAttempt: insertStatement(cfg.Driver, "attempts", "run, request, try, member, result, start_us, end_us"),
		insertRequest: insertStatement(cfg.Driver, "requests", "run, id, name, class, tenant, answer, tries, at_us"),
		wake:          make(chan struct{}, 1), done: make(chan struct{})}
	if s.queueLimit == 0 {
		s.queueLimit = defaultQueue
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	for _, statement := range schema {
		if _, err := db.ExecContext(ctx, statement); err != nil {
			db.Close()
			return nil, fmt.Errorf("store: making the tables: %w", err)
		}
	}
	go s.runWriter()
	return s, nil
}

// Ready says whether what follows will be recorded: the writer works and keeps
// up. What is under way is always taken, so the queue may pass its bound by the
// records of the requests that are held.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failing && !s.closing && len(s.queue) < s.queueLimit
}

var resultNames = map[policy.Result]string{
	policy.OK: "ok", policy.Error: "error", policy.Full: "full", policy.Timeout: "timeout",
	policy.ConnectFailed: "connect_failed", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "moot",
}

// RecordAttempt records the end of an attempt.
func (s *Store) RecordAttempt(_ *core.Request, id core.ID, try int, member string, start, end time.Duration, result policy.Result) {
	s.enqueue(record{true, []any{s.run, int64(id), int64(try), member, resultNames[result], s.timestamp(start), s.timestamp(end)}})
}

// RecordAnswer records a final answer.
func (s *Store) RecordAnswer(q *core.Request, id core.ID, at time.Duration, answer core.Answer, tries int) {
	s.enqueue(record{false, []any{s.run, int64(id), sanitizeText(q.Name), int64(q.Class), int64(q.Tenant), string(answer), int64(tries), s.timestamp(at)}})
}

// sanitizeText makes a client's name fit for a column of text: one that a database
// refuses would keep the whole batch out for good.
func sanitizeText(name string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(name, "?"), "\x00", "?")
}

func (s *Store) timestamp(at time.Duration) int64 { return s.epoch.Add(at).UnixMicro() }

func (s *Store) enqueue(r record) {
	s.mu.Lock()
	s.queue = append(s.queue, r)
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runWriter is the writer's goroutine.
func (s *Store) runWriter() {
	defer close(s.done)
	pause := minBackoff
	for {
		s.mu.Lock()
		batch := s.queue[:min(len(s.queue), maxBatch)]
		closing := s.closing
		s.mu.Unlock()
		if len(batch) == 0 {
			if closing {
				return
			}
			<-s.wake
			continue
		}
		err := s.commit(batch)
		s.mu.Lock()
		if err == nil {
			s.queue = append([]record(nil), s.queue[len(batch):]...)
		}
		failed := s.failing
		s.failing = err != nil
		s.mu.Unlock()
		if err == nil {
			if failed {
				s.log.Info("the store works again")
			}
			pause = minBackoff
			continue
		}
		if !failed {
			s.log.WithError(err).Error("the store fails; new requests are rejected")
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(pause):
			pause = min(2*pause, maxBackoff)
		}
	}
}

func (s *Store) commit(batch []record) error {
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	for _, r := range batch {
		statement := s.insertRequest
		if r.isAttempt {
			statement = s.insertAttempt
		}
		if _, err := tx.ExecContext(ctx, statement, r.values...); err != nil {
			return err
		}
	}
	return tx.Commit()
}

// Close writes what waits, for at most so long, and closes the store. It says
// how many records it had to leave.
func (s *Store) Close(within time.Duration) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.done:
	case <-time.After(within):
		s.stop()
		<-s.done
	}
	s.stop()
	s.mu.Lock()
	left := len(s.queue)
	s.mu.Unlock()
	err := s.db.Close()
	if left > 0 {
		return fmt.Errorf("store: %d records were not written in time", left)
	}
	return err
}
