package line

import (
	"errors"
	"fmt"
	"time"
)

// cause says why a client's first line is malformed. The set is fixed, so that clients cannot add
// to the counters that are kept by cause.
type cause int

const (
	notOpen       cause = iota // neither PING nor OPEN with three arguments
	tooLong                    // longer than maxLineBytes
	noCRLF                     // the line ends without CR
	badByte                    // a byte that is not printable ASCII
	badID                      // the id is not a hexadecimal number of at most 64 bits
	badKey                     // the key is not a hexadecimal number of at most 64 bits
	badPair                    // a field that is not name=value, or a repeated name
	badValue                   // a field with an invalid value
	unknownClass               // a class that is not in the settings
	unknownTenant              // a tenant that is not in the settings
	missingField               // no class, or no tenant although the settings have tenants
	duplicateID                // the id of a request that is already open
	causeCount                 // the number of causes
)

// String returns the name under which the cause is logged.
func (c cause) String() string {
	return [causeCount]string{"not OPEN", "too long", "no CRLF", "byte", "id", "key", "pair", "value", "class", "tenant",
		"class or tenant missing", "id of an open request"}[c]
}

// malformedError reports a line that violates the protocol.
type malformedError struct {
	cause  cause
	detail string
}

func (e *malformedError) Error() string { return "malformed line: " + e.detail }

// maxShownValue limits how many bytes of a client's value an error quotes.
const maxShownValue = 32

func malformedf(c cause, format string, args ...any) error {
	return &malformedError{c, fmt.Sprintf(format, args...)}
}

// rejectionCount counts the clients rejected for one cause.
type rejectionCount struct {
	count    uint64
	logged   uint64        // how many of count the log has reported
	loggedAt time.Duration // when the log last reported some
}

// rejectionLogInterval is the minimum time between two warnings with the same cause.
const rejectionLogInterval = time.Minute

// countMalformed counts a rejected client by the cause of err. It logs a warning for the first
// client of each cause, and then at most one per rejectionLogInterval with the number of clients
// since the last warning.
func (f *Front) countMalformed(err error) {
	var lineErr *malformedError
	if !errors.As(err, &lineErr) {
		return
	}
	r, now := &f.rejections[lineErr.cause], f.Loop.Now()
	r.count++
	entry := f.Log.WithError(err).WithField("cause", lineErr.cause)
	if r.logged > 0 && now-r.loggedAt < rejectionLogInterval {
		entry.Debug("client rejected for a malformed first line")
		return
	}
	entry.WithField("clients", r.count-r.logged).Warn("clients rejected for malformed first lines")
	r.logged, r.loggedAt = r.count, now
}
