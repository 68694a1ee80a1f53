package line

import (
	"errors"
	"fmt"
	"time"
)

// cause is why a first line is malformed. The set is fixed, whatever clients send.
type cause int

const (
	notOpen       cause = iota // neither PING nor OPEN with three arguments
	tooLong                    // no end within the longest line
	noCRLF                     // an end without CR
	badByte                    // a byte that is not printable ASCII
	badID                      // an id that is not a hexadecimal number
	badKey                     // a key that is not a hexadecimal number
	badPair                    // not name=value, or a repeated name
	badValue                   // a value that is invalid for its name
	unknownClass               // a class that is not in the settings
	unknownTenant              // a tenant that is not in the settings
	missingField               // no class, or no tenant although the settings have tenants
	duplicateID                // the id of a request that is open already
	causeCount                 // the number of causes
)

// String is the cause as it is logged.
func (c cause) String() string {
	return [causeCount]string{"not OPEN", "too long", "no CRLF", "byte", "id", "key", "pair", "value", "class", "tenant",
		"class or tenant missing", "id of an open request"}[c]
}

// malformedError is a line that violates the protocol.
type malformedError struct {
	cause  cause
	detail string
}

func (e *malformedError) Error() string { return "malformed line: " + e.detail }

// maxShownValue is how many bytes of a client's value an error shows.
const maxShownValue = 32

func malformedf(c cause, format string, args ...any) error {
	return &malformedError{c, fmt.Sprintf(format, args...)}
}

// rejectionCount counts the clients that were rejected for one cause.
type rejectionCount struct {
	count    uint64
	logged   uint64        // of which the log has reported
	loggedAt time.Duration // when it last reported
}

// rejectionLogInterval is the time between two log lines of one cause.
const rejectionLogInterval = time.Minute

// countMalformed counts a rejected client by the cause of err. It logs the first of each cause, and then at most every
// rejectionLogInterval how many followed.
func (f *Front) countMalformed(err error) {
	var lineErr *malformedError
	if !errors.As(err, &lineErr) {
		return
	}
	r, now := &f.rejections[lineErr.cause], f.Loop.Now()
	r.count++
	entry := f.Log.WithError(err).WithField("cause", lineErr.cause)
	if r.logged > 0 && now-r.loggedAt < rejectionLogInterval {
		entry.Debug("client rejected")
		return
	}
	entry.WithField("clients", r.count-r.logged).Warn("clients rejected for malformed first lines")
	r.logged, r.loggedAt = r.count, now
}
