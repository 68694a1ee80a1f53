package store

import "time"

const (
	maxBatch     = 512 // records in one transaction
	initialBatch = 32  // records in the first transaction
	// batchDuration is how long a transaction should take. It is well below writeTimeout, and below the
	// time that a stopping process has for its last records.
	batchDuration = 500 * time.Millisecond
	// batchGrowth limits how much larger a batch may be than the one before it.
	batchGrowth = 2
)

// batchSize adapts the number of records in one transaction to the speed of the database, so that a
// transaction ends within its timeout however slow the database has become.
type batchSize struct {
	records int // of the next transaction, at least 1 and at most maxBatch
}

func newBatchSize() batchSize { return batchSize{records: initialBatch} }

// succeeded adapts the size after a transaction with that many records.
func (b *batchSize) succeeded(records int, took time.Duration) {
	fitting := maxBatch
	if took > 0 {
		fitting = int(min(float64(records)*float64(batchDuration)/float64(took), maxBatch))
	}
	if fitting > b.records && records < b.records {
		return // a batch that was not full says nothing about larger ones
	}
	b.records = max(1, min(fitting, batchGrowth*b.records))
}

// failed makes the next transaction smaller than the one that failed.
func (b *batchSize) failed(records int) { b.records = max(1, records/2) }
