package operator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/netloop/looptest"
)

// relay keeps what it was told; a ban is done when the test says so.
type relay struct {
	peers string
	ready bool
	said  []string
	done  func(error)
}

func (r *relay) Ready() bool          { return r.ready }
func (r *relay) Known(id string) bool { return id == "s-1" || id == "a b" }
func (r *relay) Drain()               { r.said = append(r.said, "drain") }
func (r *relay) Resume()              { r.said = append(r.said, "resume") }
func (r *relay) Peers() string        { return r.peers }
func (r *relay) Recovery() string     { return "" }
func (r *relay) SetEjected(id string, out bool, done func(error)) {
	r.said, r.done = append(r.said, fmt.Sprint(id, " ", out)), done
}

// desk is the second address on a loop of the test's.
func desk(t testing.TB) (*looptest.Harness, *relay, string) {
	b, r, log := looptest.New(t, 8), &relay{ready: true}, logrus.New()
	log.SetOutput(t.Output())
	f := &Front{Loop: b.Loop, Relay: r, Log: log}
	l, err := b.ListenReserved("127.0.0.1:0", MaxCallers, f.Accept)
	if err != nil {
		t.Fatal(err)
	}
	return b, r, l.Addr()
}

func status(p *looptest.Peer) string {
	_, code, _ := strings.Cut(p.ReadLine(), " ")
	code, _, _ = strings.Cut(code, " ")
	return code
}

// TestCalls: what each call is answered, and what it has the relay do.
func TestCalls(t *testing.T) {
	b, r, addr := desk(t)
	for _, call := range []struct{ first, code, said string }{
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
		r.said, r.done = nil, nil
		p := b.Dial(addr)
		text := call.first
		if !strings.Contains(text, "HTTP/1.1") && text != "OPEN" {
			text += " HTTP/1.1\r\nHost: relay"
		}
		for i := range len(text) + 4 { // in pieces, as a slow network brings it
			p.Send((text + "\r\n\r\n")[i : i+1])
			if i%7 == 0 {
				b.RunOnce()
			}
			if call.code == "400" && i > len(text) {
				break // it may be ended by now
			}
		}
		b.WaitFor("the relay to be asked", func() bool { p.Poll(); return r.done != nil || len(p.Received) > 0 })
		if r.done != nil {
			r.done(nil)
		}
		if code := status(p); code != call.code || strings.Join(r.said, ",") != call.said {
			t.Errorf("%s: %s, said %q", call.first, code, r.said)
		}
		p.Received = nil
		b.WaitFor("the end", func() bool { p.Poll(); return p.EndErr != nil })
	}
}

// TestNo: what is not so, or could not be kept, is no yes.
func TestNo(t *testing.T) {
	b, r, addr := desk(t)
	r.ready = false
	p := b.Dial(addr)
	p.Send("GET /-/ready HTTP/1.1\r\n\r\n")
	if code := status(p); code != "503" {
		t.Errorf("not ready: %s", code)
	}
	p = b.Dial(addr)
	p.Send("PUT /-/backends/s-1/disable HTTP/1.1\r\n\r\n")
	p.CloseWrite() // a caller that ends its sending still waits
	b.WaitFor("the relay to be asked", func() bool { return r.done != nil })
	r.done(errors.New("no disk"))
	if code := status(p); code != "500" {
		t.Errorf("not kept: %s", code)
	}
}

// TestSlow: callers that say nothing, or half a call, keep nobody else out, though
// they have all the room there is and the rest of the loop has none left; and they
// are answered and ended in time.
func TestSlow(t *testing.T) {
	b, _, addr := desk(t)
	for b.FreeDescriptors() > 0 {
		b.Loop.Dial(addr, callTimeout, idle{})
	}
	var slow []*looptest.Peer
	for range 3 * MaxCallers {
		p := b.Dial(addr)
		p.Send("GET /-/ready HTTP")
		b.RunOnce()
		slow = append(slow, p)
	}
	p := b.Dial(addr)
	p.Send("GET /-/ready HTTP/1.1\r\n\r\n")
	if code := status(p); code != "200" {
		t.Errorf("among slow callers: %s", code)
	}
	b.Advance(callTimeout)
	for _, p := range slow {
		if code := status(p); code != "408" {
			t.Errorf("a slow caller: %s", code)
		}
	}
}

type idle struct{}

func (idle) Open()             {}
func (idle) Data(b []byte) int { return len(b) }
func (idle) Drained()          {}
func (idle) End(error)         {}
