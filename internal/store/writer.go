package store

import (
	"context"
	"fmt"
	"time"
)

// enqueue appends a record to the queue and wakes the writer.
func (s *Store) enqueue(r record) {
	s.mu.Lock()
	s.queue = append(s.queue, r)
	s.mu.Unlock()
	s.wakeWriter()
}

// wakeWriter makes the writer check the queue. It never blocks.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runWriter is the writer goroutine. It ends when the store is closing and the queue is empty, or
// when ctx is done and a write has failed.
func (s *Store) runWriter(ctx context.Context) {
	defer close(s.writerDone)
	backoff := minBackoff
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
		err := s.commit(ctx, batch)
		s.mu.Lock()
		if err == nil {
			s.queue = append([]record(nil), s.queue[len(batch):]...)
		}
		wasFailing := s.failing
		s.failing = err != nil
		s.mu.Unlock()
		if err == nil {
			if wasFailing {
				s.log.Info("the store works again") // logged once per outage, like the error below
			}
			backoff = minBackoff
			continue
		}
		if !wasFailing {
			s.log.WithError(err).Error("the store fails; new requests are rejected")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// commit writes a batch in one transaction.
func (s *Store) commit(ctx context.Context, batch []record) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("beginning a transaction: %w", err)
	}
	defer tx.Rollback() // no effect after Commit
	for _, r := range batch {
		statement := s.insertRequest
		if r.isAttempt {
			statement = s.insertAttempt
		}
		if _, err := tx.ExecContext(ctx, statement, r.values...); err != nil {
			return fmt.Errorf("inserting a record: %w", err)
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("committing: %w", err)
	}
	return nil
}
