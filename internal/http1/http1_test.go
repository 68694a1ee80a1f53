package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// FuzzParser: the result does not depend on how the bytes are split, and no input makes the parser
// panic.
func FuzzParser(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nhello",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 None\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 " + strings.Repeat("x", 5000) + "\r\n\r\n",
		"GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + strings.Repeat("x", 9999),
	} {
		f.Add([]byte(s), uint8(3), false)
		f.Add([]byte(s), uint8(3), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8, call bool) {
		read := func(step int) (p Parser, done bool, err error) {
			p.Request = call
			unread := []byte{}
			for rest := text; len(rest) > 0 && !done && err == nil; {
				n := min(step, len(rest))
				unread, rest = append(unread, rest[:n]...), rest[n:]
				var used int
				used, done, err = p.Feed(unread)
				unread = unread[used:]
			}
			return p, done, err
		}
		p, done, err := read(len(text) + 1)
		q, done2, err2 := read(int(step)%7 + 1)
		if done != done2 || (err == nil) != (err2 == nil) || err == nil && (p.Status != q.Status || p.Method != q.Method || p.Target != q.Target || string(p.Body) != string(q.Body)) {
			t.Errorf("Feed of all bytes at once: done %v, error %v, status %d, body %q; in steps: done %v, error %v, status %d, body %q; want the same",
				done, err, p.Status, p.Body, done2, err2, q.Status, q.Body)
		}
	})
}

// TestParser: status, body and ConnectionClose of valid responses, and the responses that are
// malformed.
func TestParser(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello":                                            "200 hello false",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n":      "200 hello false",
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n":     "503  true",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n":                            "malformed",
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":                                                          "malformed",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n":                                           "malformed",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff ff\r\n":                               "malformed",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 200) + "\r\n":                               "malformed",
		"HTTP/1.1 200 " + strings.Repeat("x", 9000):                                                    "malformed",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("x", maxResponseBody+1): "malformed",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                             "malformed",
	} {
		var p Parser
		_, done, err := p.Feed([]byte(text))
		got := fmt.Sprint(p.Status, " ", string(p.Body), " ", p.ConnectionClose)
		if errors.Is(err, ErrMalformed) {
			got = "malformed"
		} else if !done {
			got = "incomplete"
		}
		if got != want {
			t.Errorf("response %.60q parsed as %q, want %q", text, got, want)
		}
	}
}

// TestRequest: method, target, body and completeness of valid requests, and the requests that are
// malformed.
func TestRequest(t *testing.T) {
	for text, want := range map[string]string{
		"GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n":                   "GET /-/ready  true",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}":           "PUT /-/drain {} true",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{":            "PUT /-/drain { false",
		"GET /-/ready HTTP/1.1\r\nHost: relay\r\n":                       "GET /-/ready  false",
		"GET /-/ready\r\n\r\n":                                           "malformed",
		"GET  /-/ready HTTP/1.1\r\n\r\n":                                 "malformed",
		"GET /-/ready SPDY/3\r\n\r\n":                                    "malformed",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: -1\r\n\r\n":            "malformed",
		"PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + repeatX(5000): "malformed",
		"GET /" + repeatX(5000) + " HTTP/1.1\r\n\r\n":                    "malformed",
	} {
		p := Parser{Request: true}
		_, done, err := p.Feed([]byte(text))
		got := fmt.Sprint(p.Method, " ", p.Target, " ", string(p.Body), " ", done)
		if errors.Is(err, ErrMalformed) {
			got = "malformed"
		}
		if got != want {
			t.Errorf("request %.60q parsed as %q, want %q", text, got, want)
		}
	}
}

func repeatX(n int) string { return strings.Repeat("x", n) }

// TestDate: a Date header in the standard format is parsed; any other value is ignored.
func TestDate(t *testing.T) {
	for value, want := range map[string]int64{"Wed, 02 Dec 2026 12:30:45 GMT": 1796214645, "soon": 0, "": 0} {
		p := &Parser{}
		if _, done, err := p.Feed([]byte("HTTP/1.1 200 OK\r\nDate: " + value + "\r\nContent-Length: 0\r\n\r\n")); !done || err != nil {
			t.Fatalf("Feed with date %q: done %v, error %v; want a complete response", value, done, err)
		}
		if want == 0 && !p.Date.IsZero() || want != 0 && p.Date.Unix() != want {
			t.Errorf("date %q parsed as %v, want Unix time %d (0: no date)", value, p.Date, want)
		}
	}
}
