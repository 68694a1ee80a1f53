package store

import (
	"time"

	"dahliarudder/internal/core"
)

// The limits of the queue.
const (
	// defaultQueue is how many queued records stop the admission of requests unless configured.
	defaultQueue = 4096
	// minMaxRecords and maxRecordsFactor, a multiple of the admission limit, determine the most records
	// that the queue ever holds. Beyond the admission limit there is only what admitted requests owe.
	minMaxRecords    = 1 << 16
	maxRecordsFactor = 16
	// defaultMaxBytes is the most bytes that the queue ever holds unless configured.
	defaultMaxBytes = 64 << 20
	// admissionBytesDivisor gives the part of the maximum that stops the admission of requests.
	admissionBytesDivisor = 2
	// recordBytes is what a record takes in the queue besides the name in it. It counts a record twice,
	// since a slice that grows takes up to twice its length.
	recordBytes = 256
)

// record is one row of either table.
type record struct {
	table   table
	request core.ID
	number  int    // of the attempt; of all attempts in the table requests
	result  string // of the attempt, or the final answer
	member  string // of the attempt
	name    string // of the request
	class   int
	tenant  int
	start   time.Duration // of the attempt, on the relay's clock
	end     time.Duration // of the attempt, or when the final answer was given
}

// table is the table that a record belongs to.
type table uint8

const (
	attemptsTable table = iota
	requestsTable
)

// size returns how many bytes the record counts in the queue.
func (r *record) size() int { return recordBytes + len(r.name) }

// queueLimits limit a recordQueue, in records and in bytes. No request is admitted once the queue
// holds an admission limit; it never holds more than a maximum.
type queueLimits struct {
	admissionRecords, maxRecords int
	admissionBytes, maxBytes     int
}

// newQueueLimits returns the limits of a configuration.
func newQueueLimits(cfg Config) queueLimits {
	l := queueLimits{admissionRecords: cfg.Queue, maxBytes: cfg.MaxBytes}
	if l.admissionRecords == 0 {
		l.admissionRecords = defaultQueue
	}
	if l.maxBytes == 0 {
		l.maxBytes = defaultMaxBytes
	}
	l.maxRecords = max(minMaxRecords, maxRecordsFactor*l.admissionRecords)
	l.admissionBytes = l.maxBytes / admissionBytesDivisor
	return l
}

// recordQueue holds the records that are not written yet, in order. It is not safe for concurrent use.
type recordQueue struct {
	queueLimits
	records []record
	bytes   int // of all records, by size
}

// belowAdmission reports whether the queue is below both of its admission limits.
func (q *recordQueue) belowAdmission() bool {
	return len(q.records) < q.admissionRecords && q.bytes < q.admissionBytes
}

// belowHalfAdmission reports whether the queue is at most half full, measured by its admission limits.
func (q *recordQueue) belowHalfAdmission() bool {
	return len(q.records) <= q.admissionRecords/2 && q.bytes <= q.admissionBytes/2
}

// fits reports whether all that admitted requests owe fits above the admission limits.
func (q *recordQueue) fits(owed core.RecordBacklog) bool {
	return owed.Records <= q.maxRecords-q.admissionRecords &&
		owed.Records*recordBytes+owed.NameBytes <= q.maxBytes-q.admissionBytes
}

// push appends a record. It returns false if the queue would exceed a maximum.
func (q *recordQueue) push(r record) bool {
	if len(q.records) >= q.maxRecords || q.bytes+r.size() > q.maxBytes {
		return false
	}
	q.records = append(q.records, r)
	q.bytes += r.size()
	return true
}

// batch returns the oldest records, at most n. They stay valid until they are removed.
func (q *recordQueue) batch(n int) []record { return q.records[:min(len(q.records), n)] }

// remove removes the n oldest records.
func (q *recordQueue) remove(n int) {
	for i := range q.records[:n] {
		q.bytes -= q.records[i].size()
	}
	clear(q.records[:n]) // releases the names
	q.records = q.records[n:]
}
