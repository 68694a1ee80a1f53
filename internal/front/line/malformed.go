package line

import (
	"errors"
	"fmt"
	"time"
)

// This file is what the front counts and logs of clients that do not keep to the protocol.

// cause is why a first line is none. There are few, whatever clients send.
type cause int

const (
	notOpen       cause = iota // neither PING nor OPEN with three words
	tooLong                    // no end within the longest line
	noCRLF                     // an end without CR
	badByte                    // a byte that is no printable ASCII
	badID                      // an id that is no hexadecimal number
	badKey                     // a key that is none
	badPair                    // no name and value, or a name twice
	badValue                   // a value that its name does not take
	unknownClass               // a class that the settings do not have
	unknownTenant              // a tenant that they do not have
	missing                    // no class, or no tenant where there are any
	openID                     // the id of a request that is open here
	causes
)

// String is the cause as it stands in the log.
func (c cause) String() string {
	return [causes]string{"not OPEN", "too long", "no CRLF", "byte", "id", "key", "pair", "value", "class", "tenant",
		"class or tenant missing", "id of an open request"}[c]
}

// malformedError is a line that is not as the protocol has it.
type malformedError struct {
	cause  cause
	detail string
}

func (e *malformedError) Error() string { return "malformed line: " + e.detail }

// shown is how much of a word of the client's an error shows.
const shown = 32

func malformed(c cause, format string, args ...any) error {
	return &malformedError{c, fmt.Sprintf(format, args...)}
}

// refusals is how many clients were refused for one cause.
type refusals struct {
	count  uint64
	told   uint64        // of which the log has told
	toldAt time.Duration // when it last did
}

// refusalsEvery bounds how often the log tells of one cause: a line a minute is found, and floods nothing.
const refusalsEvery = time.Minute

// refuse counts a client that is refused by its cause, and logs the first of each; of further ones it logs how many there
// were, at most every refusalsEvery.
func (f *Front) refuse(err error) {
	var why *malformedError
	if !errors.As(err, &why) {
		return
	}
	r, now := &f.refused[why.cause], f.Loop.Now()
	r.count++
	entry := f.Log.WithError(err).WithField("cause", why.cause)
	if r.told > 0 && now-r.toldAt < refusalsEvery {
		entry.Debug("client refused")
		return
	}
	entry.WithField("clients", r.count-r.told).Warn("clients are refused for what they send")
	r.told, r.toldAt = r.count, now
}

// MalformedCounts is how many clients were refused for what they sent, by cause. Causes that nobody gave are left out.
func (f *Front) MalformedCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for c, r := range f.refused {
		if r.count > 0 {
			counts[cause(c).String()] = r.count
		}
	}
	return counts
}
