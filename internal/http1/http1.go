// Package http1 reads HTTP/1.1 messages that come in pieces: discovery's answers,
// and the calls of operators.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrMalformed is wrapped by every error about bytes that are no message.
var ErrMalformed = errors.New("malformed HTTP")

// Bounds of a message.
const (
	maxHeadLine = 4 << 10
	maxHead     = 100
	maxBody     = 4 << 20
	maxCall     = 4 << 10 // the body of a call
)

// dateForm is the form of a date in a header (RFC 9110, section 5.6.7), in lower case as header values are read.
const dateForm = "Mon, 02 Jan 2006 15:04:05 gmt"

// Parser reads one HTTP/1.1 message. Its zero value is ready for an answer.
type Parser struct {
	Request         bool // it is a call that is read
	Method, Target  string
	Status          int
	ConnectionClose bool      // the connection ends with this answer
	Date            time.Time // when the answer was made, by the other side's clock; zero if it does not say
	Body            []byte

	state   int
	lines   int
	left    int  // bytes of the body, or of its chunk, still to come
	sized   bool // Content-Length was given
	chunked bool
}

// What the parser reads next.
const (
	readStart = iota
	readHeader
	readBody
	readToEnd
	readChunkSize
	readChunk
	readChunkEnd
	readTrailer
	readDone
)

// Feed takes bytes, returns how many it used and whether the answer is whole.
func (p *Parser) Feed(b []byte) (used int, done bool, err error) {
	for p.state != readDone {
		rest := b[used:]
		switch p.state {
		case readBody, readToEnd, readChunk:
			n := len(rest)
			if p.state != readToEnd {
				n = min(n, p.left)
			}
			if most := p.bodyMost(); len(p.Body)+n > most {
				return used, false, fmt.Errorf("%w: body over %d bytes", ErrMalformed, most)
			}
			p.Body = append(p.Body, rest[:n]...)
			used += n
			if p.state == readToEnd {
				return used, false, nil
			}
			if p.left -= n; p.left > 0 {
				return used, false, nil
			}
			if p.state == readBody {
				p.state = readDone
			} else {
				p.state = readChunkEnd
			}
		default:
			end := bytes.IndexByte(rest, '\n')
			if end > maxHeadLine || end < 0 && len(rest) > maxHeadLine { // alike, however it is cut
				return used, false, fmt.Errorf("%w: header line too long", ErrMalformed)
			}
			if end < 0 {
				return used, false, nil
			}
			used += end + 1
			if err := p.line(strings.TrimSuffix(string(rest[:end]), "\r")); err != nil {
				return used, false, err
			}
		}
	}
	return used, true, nil
}

func (p *Parser) bodyMost() int {
	if p.Request {
		return maxCall
	}
	return maxBody
}

// FinishAtEOF says whether the end of the connection makes the answer whole.
func (p *Parser) FinishAtEOF() bool {
	if p.state == readToEnd {
		p.state = readDone
		p.ConnectionClose = true
		return true
	}
	return false
}

func (p *Parser) line(s string) error {
	if p.lines++; p.lines > maxHead && p.state <= readHeader {
		return fmt.Errorf("%w: too many header lines", ErrMalformed)
	}
	switch p.state {
	case readStart:
		if p.Request {
			return p.callLine(s)
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
			return p.headEnds()
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok {
			return fmt.Errorf("%w: header line %q", ErrMalformed, s)
		}
		return p.header(strings.ToLower(name), strings.ToLower(strings.TrimSpace(value)))
	case readChunkSize:
		size, _, _ := strings.Cut(s, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("%w: chunk size %q", ErrMalformed, s)
		}
		if p.left, p.state = int(n), readChunk; n == 0 {
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

func (p *Parser) callLine(s string) error {
	words := strings.Split(s, " ")
	if len(words) != 3 || words[0] == "" || words[1] == "" || !strings.HasPrefix(words[2], "HTTP/1.") {
		return fmt.Errorf("%w: call %q", ErrMalformed, s)
	}
	p.Method, p.Target, p.state = words[0], words[1], readHeader
	return nil
}

func (p *Parser) header(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || p.sized && int(n) != p.left {
			return fmt.Errorf("%w: content length %q", ErrMalformed, value)
		}
		p.left, p.sized = int(n), true
	case "transfer-encoding":
		if value != "chunked" {
			return fmt.Errorf("%w: transfer encoding %q", ErrMalformed, value)
		}
		p.chunked = true
	case "date":
		if date, err := time.Parse(dateForm, value); err == nil {
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

func (p *Parser) headEnds() error {
	switch {
	case !p.Request && p.Status < 200: // an interim answer: the real one follows
		*p = Parser{}
	case p.Status == 204 || p.Status == 304:
		p.state = readDone
	case p.chunked:
		p.left, p.state = 0, readChunkSize
	case p.sized && p.left == 0:
		p.state = readDone
	case p.sized:
		p.state = readBody
	case p.Request: // it has no body
		p.state = readDone
	default:
		p.state = readToEnd
	}
	return nil
}
