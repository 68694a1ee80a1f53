// Package http1 parses HTTP/1.1 messages incrementally: responses of discovery and requests of
// operators.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrMalformed is wrapped by every error about bytes that are not a valid HTTP message or exceed the
// limits. The operators' address sends the text of an error about a request in its response, so
// these texts must not change.
var ErrMalformed = errors.New("malformed HTTP")

// Limits of a message, in bytes and lines.
const (
	maxLineLen      = 4 << 10
	maxHeaderLines  = 100 // with the request line or status line
	maxResponseBody = 4 << 20
	maxRequestBody  = 4 << 10
)

// dateLayout is the layout of the Date header (RFC 9110, section 5.6.7), in lower case since the
// parser converts header values to lower case.
const dateLayout = "Mon, 02 Jan 2006 15:04:05 gmt"

// Parser parses one HTTP/1.1 message. Its zero value is ready for a response.
type Parser struct {
	Request         bool // set by the caller to parse a request
	Method, Target  string
	Status          int
	ConnectionClose bool // the server closes the connection after this response
	// Date is the time in the Date header: when the response was made, by the server's clock. It is
	// zero if the header is absent or invalid.
	Date time.Time
	Body []byte

	state            parserState
	lines            int  // lines parsed
	remaining        int  // bytes of the body, or of the current chunk, not received yet
	hasContentLength bool // Content-Length was given
	chunked          bool
}

// parserState is the part of the message that the parser reads next.
type parserState int

const (
	readStart parserState = iota // request line or status line
	readHeader
	readBody  // of known length
	readToEnd // a body that ends with the connection
	readChunkSize
	readChunk
	readChunkEnd // the line end after a chunk
	readTrailer
	readDone
)

// Feed parses bytes. It returns how many it used and whether the message is complete. The caller
// passes the unused bytes again, together with those that follow.
func (p *Parser) Feed(b []byte) (used int, done bool, err error) {
	for p.state != readDone {
		var n int
		var needMore bool
		switch p.state {
		case readBody, readToEnd, readChunk:
			n, needMore, err = p.feedBody(b[used:])
		default:
			n, needMore, err = p.feedLine(b[used:])
		}
		used += n
		if err != nil || needMore {
			return used, false, err
		}
	}
	return used, true, nil
}

// feedBody parses bytes of the body or of a chunk. needMore is true if it has used all bytes and the
// body or chunk is not complete.
func (p *Parser) feedBody(b []byte) (used int, needMore bool, err error) {
	n := len(b)
	if p.state != readToEnd {
		n = min(n, p.remaining)
	}
	if limit := p.maxBody(); len(p.Body)+n > limit {
		return 0, false, fmt.Errorf("%w: body over %d bytes", ErrMalformed, limit)
	}
	p.Body = append(p.Body, b[:n]...)
	if p.state == readToEnd {
		return n, true, nil
	}
	if p.remaining -= n; p.remaining > 0 {
		return n, true, nil
	}
	if p.state == readBody {
		p.state = readDone
	} else {
		p.state = readChunkEnd
	}
	return n, false, nil
}

// feedLine parses one line. needMore is true if the line is not complete.
func (p *Parser) feedLine(b []byte) (used int, needMore bool, err error) {
	end := bytes.IndexByte(b, '\n')
	if end > maxLineLen || end < 0 && len(b) > maxLineLen { // the result must not depend on how the bytes are split
		return 0, false, fmt.Errorf("%w: header line too long", ErrMalformed)
	}
	if end < 0 {
		return 0, true, nil
	}
	return end + 1, false, p.parseLine(strings.TrimSuffix(string(b[:end]), "\r"))
}

func (p *Parser) maxBody() int {
	if p.Request {
		return maxRequestBody
	}
	return maxResponseBody
}

// FinishAtEOF is called when the connection has ended. It reports whether that completes the
// response.
func (p *Parser) FinishAtEOF() bool {
	if p.state == readToEnd {
		p.state = readDone
		p.ConnectionClose = true
		return true
	}
	return false
}

func (p *Parser) parseLine(s string) error {
	if p.lines++; p.lines > maxHeaderLines && p.state <= readHeader {
		return fmt.Errorf("%w: too many header lines", ErrMalformed)
	}
	switch p.state {
	case readStart:
		if p.Request {
			return p.parseRequestLine(s)
		}
		version, rest, _ := strings.Cut(s, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 999 {
			return fmt.Errorf("%w: status line %q", ErrMalformed, s)
		}
		p.Status, p.ConnectionClose, p.state = status, version == "HTTP/1.0", readHeader
	case readHeader:
		if s == "" {
			p.endHeader()
			return nil
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok {
			return fmt.Errorf("%w: header line %q", ErrMalformed, s)
		}
		return p.parseHeader(strings.ToLower(name), strings.ToLower(strings.TrimSpace(value)))
	case readChunkSize:
		size, _, _ := strings.Cut(s, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("%w: chunk size %q", ErrMalformed, s)
		}
		if p.remaining, p.state = int(n), readChunk; n == 0 {
			p.state = readTrailer
		}
	case readChunkEnd:
		if s != "" {
			return fmt.Errorf("%w: chunk without end", ErrMalformed)
		}
		p.state = readChunkSize
	case readTrailer:
		if s == "" {
			p.state = readDone
		}
	}
	return nil
}

func (p *Parser) parseRequestLine(s string) error {
	parts := strings.Split(s, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return fmt.Errorf("%w: call %q", ErrMalformed, s) // a malformed request line
	}
	p.Method, p.Target, p.state = parts[0], parts[1], readHeader
	return nil
}

func (p *Parser) parseHeader(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || p.hasContentLength && int(n) != p.remaining {
			return fmt.Errorf("%w: content length %q", ErrMalformed, value)
		}
		p.remaining, p.hasContentLength = int(n), true
	case "transfer-encoding":
		if value != "chunked" {
			return fmt.Errorf("%w: transfer encoding %q", ErrMalformed, value)
		}
		p.chunked = true
	case "date":
		if date, err := time.Parse(dateLayout, value); err == nil {
			p.Date = date
		}
	case "connection":
		switch value {
		case "close":
			p.ConnectionClose = true
		case "keep-alive":
			p.ConnectionClose = false
		}
	}
	return nil
}

// endHeader chooses, from the header, which part of the message comes next.
func (p *Parser) endHeader() {
	switch {
	case !p.Request && p.Status < 200: // an interim response: the final one follows
		*p = Parser{}
	case p.Status == 204 || p.Status == 304:
		p.state = readDone
	case p.chunked:
		p.remaining, p.state = 0, readChunkSize
	case p.hasContentLength && p.remaining == 0:
		p.state = readDone
	case p.hasContentLength:
		p.state = readBody
	case p.Request: // without a length a request has no body
		p.state = readDone
	default:
		p.state = readToEnd
	}
}
