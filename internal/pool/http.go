package pool

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of an answer.
const (
	maxHeadLine = 4 << 10
	maxHead     = 100
	maxBody     = 4 << 20
)

// parser reads one HTTP/1.1 answer. Its zero value is ready.
type parser struct {
	status int
	closes bool // the connection ends with this answer
	body   []byte

	state   int
	lines   int
	left    int  // bytes of the body, or of its chunk, still to come
	sized   bool // Content-Length was given
	chunked bool
}

// What the parser reads next.
const (
	readStatus = iota
	readHeader
	readBody
	readToEnd
	readChunkSize
	readChunk
	readChunkEnd
	readTrailer
	readDone
)

// feed takes bytes, returns how many it used and whether the answer is whole.
func (p *parser) feed(b []byte) (used int, done bool, err error) {
	for p.state != readDone {
		rest := b[used:]
		switch p.state {
		case readBody, readToEnd, readChunk:
			n := len(rest)
			if p.state != readToEnd {
				n = min(n, p.left)
			}
			if len(p.body)+n > maxBody {
				return used, false, fmt.Errorf("%w: body over %d bytes", ErrMalformed, maxBody)
			}
			p.body = append(p.body, rest[:n]...)
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
			if end < 0 {
				if len(rest) > maxHeadLine {
					return used, false, fmt.Errorf("%w: header line too long", ErrMalformed)
				}
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

// finish says whether the end of the connection makes the answer whole.
func (p *parser) finish() bool {
	if p.state == readToEnd {
		p.state = readDone
		p.closes = true
		return true
	}
	return false
}

func (p *parser) line(s string) error {
	if p.lines++; p.lines > maxHead && p.state <= readHeader {
		return fmt.Errorf("%w: too many header lines", ErrMalformed)
	}
	switch p.state {
	case readStatus:
		version, rest, _ := strings.Cut(s, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 999 {
			return fmt.Errorf("%w: status line %q", ErrMalformed, s)
		}
		p.status, p.closes, p.state = status, version == "HTTP/1.0", readHeader
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

func (p *parser) header(name, value string) error {
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
	case "connection":
		switch value {
		case "close":
			p.closes = true
		case "keep-alive":
			p.closes = false
		}
	}
	return nil
}

func (p *parser) headEnds() error {
	switch {
	case p.status < 200: // an interim answer: the real one follows
		*p = parser{}
	case p.status == 204 || p.status == 304:
		p.state = readDone
	case p.chunked:
		p.left, p.state = 0, readChunkSize
	case p.sized && p.left == 0:
		p.state = readDone
	case p.sized:
		p.state = readBody
	default:
		p.state = readToEnd
	}
	return nil
}
