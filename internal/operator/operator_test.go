package operator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/netloop/looptest"
)

// fakeRelay records the calls that it receives. An ejection ends when the test calls finishEjection.
type fakeRelay struct {
	peers          string
	ready          bool
	calls          []string
	finishEjection func(error)
}

func (r *fakeRelay) Ready() bool          { return r.ready }
func (r *fakeRelay) Known(id string) bool { return id == "s-1" || id == "a b" }
func (r *fakeRelay) Drain()               { r.calls = append(r.calls, "drain") }
func (r *fakeRelay) Resume()              { r.calls = append(r.calls, "resume") }
func (r *fakeRelay) Peers() string        { return r.peers }
func (r *fakeRelay) Recovery() string     { return "" }
func (r *fakeRelay) SetEjected(id string, ejected bool, done func(error)) {
	r.calls, r.finishEjection = append(r.calls, fmt.Sprint(id, " ", ejected)), done
}

// newTestFront starts a front for a fake relay on a test loop. It returns the harness, the relay and
// the front's address.
func newTestFront(t testing.TB) (*looptest.Harness, *fakeRelay, string) {
	t.Helper()
	h, r, log := looptest.New(t, 8), &fakeRelay{ready: true}, logrus.New()
	log.SetOutput(t.Output())
	f := &Front{Loop: h.Loop, Relay: r, Log: log}
	l, err := h.ListenReserved("127.0.0.1:0", MaxCallers, f.Accept)
	if err != nil {
		t.Fatal(err)
	}
	return h, r, l.Addr()
}

// readStatus reads the status code of the response that p receives.
func readStatus(p *looptest.Peer) string {
	_, rest, _ := strings.Cut(p.ReadLine(), " ")
	status, _, _ := strings.Cut(rest, " ")
	return status
}

// TestCalls: each request gets the right status code, and the relay receives the right calls.
func TestCalls(t *testing.T) {
	h, r, addr := newTestFront(t)
	for _, tt := range []struct{ request, status, call string }{
		{"GET /-/ready", "200", ""},
		{"GET /-/ready?verbose=1", "200", ""},
		{"PUT /-/drain", "200", "drain"},
		{"PUT /-/resume", "200", "resume"},
		{"PUT /-/backends/s-1/disable", "200", "s-1 true"},
		{"PUT /-/backends/s-1/enable", "200", "s-1 false"},
		{"PUT /-/backends/a%20b/enable", "200", "a b false"},
		{"PUT /-/backends/s-2/disable", "404", ""},
		{"PUT /-/backends//disable", "404", ""},
		{"PUT /-/backends/s-1/", "404", ""},
		{"PUT /-/backends/s-1/disable/now", "404", ""},
		{"PUT /-/backends/%zz/disable", "404", ""},
		{"PUT /backends/s-1/disable", "404", ""},
		{"GET /", "404", ""},
		{"PUT /-/ready", "405", ""},
		{"GET /-/drain", "405", ""},
		{"DELETE /-/backends/s-1/disable", "405", ""},
		{"OPEN", "400", ""},
		{"PUT /-/drain HTTP/1.1\r\nContent-Length: x", "400", ""},
	} {
		r.calls, r.finishEjection = nil, nil
		p := h.Dial(addr)
		text := tt.request
		if !strings.Contains(text, "HTTP/1.1") && text != "OPEN" {
			text += " HTTP/1.1\r\nHost: relay"
		}
		for i := range len(text) + 4 { // byte by byte, as on a slow network
			p.Send((text + "\r\n\r\n")[i : i+1])
			if i%7 == 0 {
				h.RunOnce()
			}
			if tt.status == "400" && i > len(text) {
				break // the connection may be closed by now
			}
		}
		h.WaitFor("an ejection or a response to "+tt.request, func() bool { p.Poll(); return r.finishEjection != nil || len(p.Received) > 0 })
		if r.finishEjection != nil {
			r.finishEjection(nil)
		}
		if status := readStatus(p); status != tt.status || strings.Join(r.calls, ",") != tt.call {
			t.Errorf("%s: status %s, calls %q; want status %s, calls %q",
				tt.request, status, r.calls, tt.status, tt.call)
		}
		p.Received = nil
		h.WaitFor("the connection to be closed", func() bool { p.Poll(); return p.EndErr != nil })
	}
}

// TestErrorStatus: a readiness query to a relay that is not ready, and an ejection that could not be
// stored, get an error status.
func TestErrorStatus(t *testing.T) {
	h, r, addr := newTestFront(t)
	r.ready = false
	p := h.Dial(addr)
	p.Send("GET /-/ready HTTP/1.1\r\n\r\n")
	if status := readStatus(p); status != "503" {
		t.Errorf("readiness of a relay that is not ready: status %s, want 503", status)
	}
	p = h.Dial(addr)
	p.Send("PUT /-/backends/s-1/disable HTTP/1.1\r\n\r\n")
	p.CloseWrite() // a caller that half-closes its connection still waits for the answer
	h.WaitFor("the ejection", func() bool { return r.finishEjection != nil })
	r.finishEjection(errors.New("no disk"))
	if status := readStatus(p); status != "500" {
		t.Errorf("ejection that could not be stored: status %s, want 500", status)
	}
}

// TestSlowCallers: callers that send half a request and stop do not keep others out, even if they
// use all connections of the front and the loop has no descriptor left. They get status 408 once the
// time to send a request is over.
func TestSlowCallers(t *testing.T) {
	h, _, addr := newTestFront(t)
	for h.FreeDescriptors() > 0 {
		h.Loop.Dial(addr, callTimeout, idleConn{})
	}
	var slow []*looptest.Peer
	for range 3 * MaxCallers {
		p := h.Dial(addr)
		p.Send("GET /-/ready HTTP")
		h.RunOnce()
		slow = append(slow, p)
	}
	p := h.Dial(addr)
	p.Send("GET /-/ready HTTP/1.1\r\n\r\n")
	if status := readStatus(p); status != "200" {
		t.Errorf("caller beside slow callers: status %s, want 200", status)
	}
	h.Advance(callTimeout)
	for _, p := range slow {
		if status := readStatus(p); status != "408" {
			t.Errorf("slow caller: status %s, want 408", status)
		}
	}
}

// idleConn is a handler that reads and sends nothing.
type idleConn struct{}

func (idleConn) Open()             {}
func (idleConn) Data(b []byte) int { return len(b) }
func (idleConn) Drained()          {}
func (idleConn) End(error)         {}
