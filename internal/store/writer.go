package store

import (
	"context"
	"database/sql"
	"fmt"
	"time"
)

// enqueue queues a record and wakes the writer. A record beyond the maximum of the queue is lost.
func (s *Store) enqueue(r record) {
	s.mu.Lock()
	queued := s.queue.push(r)
	firstLost := !queued && s.stats.Lost == 0
	if !queued {
		s.stats.Lost++
	}
	s.mu.Unlock()
	if firstLost {
		s.log.Error("the store's queue has reached its maximum; records are lost")
	}
	s.wakeWriter()
}

// enqueueUnplaced queues the answer of a request that no member has got, unless the queue has reached
// its admission limit. Nothing was admitted for it, so there may be any number of such requests.
func (s *Store) enqueueUnplaced(r record) {
	s.mu.Lock()
	if s.queue.belowAdmission() {
		s.mu.Unlock()
		s.enqueue(r)
		return
	}
	s.stats.Unrecorded++
	began := !s.skipping
	s.skipping = true
	s.mu.Unlock()
	if began {
		s.log.Warn("the store's queue is full; requests are rejected and their rejections not recorded")
	}
}

// endSkipping logs the end of a period in which rejections were not recorded, once the queue has
// emptied to half of its admission limit.
func (s *Store) endSkipping() {
	s.mu.Lock()
	ended := s.skipping && s.queue.belowHalfAdmission()
	unrecorded := s.stats.Unrecorded
	if ended {
		s.skipping = false
	}
	s.mu.Unlock()
	if ended {
		s.log.WithField("unrecorded", unrecorded).Info("the store's queue has space again; rejections are recorded")
	}
}

// wakeWriter makes the writer check the queue. It never blocks.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runWriter is the writer goroutine. It ends when the store is closing and the queue is empty, or
// when ctx is done.
func (s *Store) runWriter(ctx context.Context) {
	defer close(s.writerDone)
	if !s.createTables(ctx) {
		return
	}
	size := newBatchSize()
	backoff := minBackoff
	for {
		batch, closing := s.nextBatch(size.records)
		if len(batch) == 0 {
			if closing {
				return
			}
			<-s.wake
			continue
		}
		startedAt := time.Now()
		err := s.commit(ctx, batch)
		s.batchDone(len(batch), err)
		if err == nil {
			size.succeeded(len(batch), time.Since(startedAt))
			s.endSkipping()
			backoff = minBackoff
			continue
		}
		size.failed(len(batch))
		if !waitBackoff(ctx, &backoff) {
			return
		}
	}
}

// waitBackoff waits before a retry and doubles the backoff, up to maxBackoff. It returns false if ctx
// is done first.
func waitBackoff(ctx context.Context, backoff *time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(*backoff):
		*backoff = min(2**backoff, maxBackoff)
		return true
	}
}

// createTables creates the missing tables and retries until all exist. Each statement has a timeout of
// its own, and one that has succeeded is not repeated, so that a slow database gets on. It returns
// false if ctx is done first.
func (s *Store) createTables(ctx context.Context) bool {
	backoff := minBackoff
	for remaining := schema; len(remaining) > 0; {
		err := s.execute(ctx, remaining[0])
		if err == nil {
			remaining = remaining[1:]
			continue
		}
		s.tablesFailed(err)
		if !waitBackoff(ctx, &backoff) {
			return false
		}
	}
	s.tablesCreated()
	return true
}

// execute executes one statement without arguments.
func (s *Store) execute(ctx context.Context, statement string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := s.db.ExecContext(ctx, statement)
	return err
}

// tablesFailed logs the first failure to create the tables.
func (s *Store) tablesFailed(err error) {
	select {
	case <-s.firstAttempt:
	default:
		s.log.WithError(err).Error("the store cannot be opened yet; requests are rejected")
		close(s.firstAttempt)
	}
}

// tablesCreated makes the store ready.
func (s *Store) tablesCreated() {
	s.mu.Lock()
	s.opened = true
	s.mu.Unlock()
	select {
	case <-s.firstAttempt:
		s.log.Info("the store is open")
	default:
		close(s.firstAttempt)
	}
}

// nextBatch returns the records to be written next, at most maximum, and whether the store is closing.
func (s *Store) nextBatch(maximum int) (batch []record, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.batch(maximum), s.closing
}

// batchDone removes a batch from the queue if it was written. It logs the begin and the end of an outage.
func (s *Store) batchDone(records int, err error) {
	s.mu.Lock()
	if err == nil {
		s.queue.remove(records)
	}
	wasFailing := s.failing
	s.failing = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		s.log.WithError(err).Error("the store fails; new requests are rejected")
	case err == nil && wasFailing:
		s.log.Info("the store works again")
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
	for i := range batch {
		if err := s.insert(ctx, tx, &batch[i]); err != nil {
			return fmt.Errorf("inserting a record: %w", err)
		}
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("committing: %w", err)
	}
	return nil
}

// insert inserts one record.
func (s *Store) insert(ctx context.Context, tx *sql.Tx, r *record) (err error) {
	switch r.table {
	case attemptsTable:
		_, err = tx.ExecContext(ctx, s.insertAttempt, s.run, int64(r.request), int64(r.number), r.member, r.result,
			s.timestamp(r.start), s.timestamp(r.end))
	case requestsTable:
		_, err = tx.ExecContext(ctx, s.insertRequest, s.run, int64(r.request), r.name, int64(r.class), int64(r.tenant), r.result,
			int64(r.number), s.timestamp(r.end))
	}
	return err
}
