// Package operator serves the relay's second address: the calls by which operators
// ask whether it is ready, take members out, and empty it. One call a connection,
// HTTP/1.1. It decides nothing. See docs/design.md, "The operators' address".
package operator

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/http1"
	"dahliarudder/internal/netloop"
)

const (
	// MaxCallers is how many connections have room at once.
	MaxCallers = 12
	// callTimeout is how long a caller may take to send its call.
	callTimeout = 5 * time.Second
)

// Relay is what calls are handed to.
type Relay interface {
	// Ready says whether this process can serve.
	Ready() bool
	// Known says whether there is such a member.
	Known(member string) bool
	// SetEjected takes a member out, or puts it back, and then calls done, once, from the
	// loop.
	SetEjected(member string, out bool, done func(error))
	Drain()
	Resume()
	// Peers is what is known of the other relays, as JSON; empty if this one knows of none.
	Peers() string
	// Recovery is what this relay came back with; empty where no state is kept.
	Recovery() string
}

// Front serves the second address.
type Front struct {
	Loop  *netloop.Loop
	Relay Relay
	Log   logrus.FieldLogger
}

// Accept serves a caller.
func (f *Front) Accept(conn *netloop.Conn) {
	c := &caller{front: f, conn: conn}
	c.parser.Request = true
	late := func() { c.answer(http.StatusRequestTimeout, "no whole call came") }
	c.timer = f.Loop.After(callTimeout, late)
	conn.SetEvictable(late)
	conn.SetHandler(c)
}

// caller is one connection, good for one call.
type caller struct {
	front  *Front
	conn   *netloop.Conn
	parser http1.Parser
	timer  *netloop.Timer
	called bool
}

// Open is told by the loop.
func (c *caller) Open() {}

// Drained is told by the loop.
func (c *caller) Drained() {}

// Data is told by the loop.
func (c *caller) Data(b []byte) int {
	if c.called {
		return len(b)
	}
	used, done, err := c.parser.Feed(b)
	switch {
	case err != nil:
		c.answer(http.StatusBadRequest, err.Error())
	case done:
		c.called = true
		c.conn.SetEvictable(nil)
		c.dispatch(c.parser.Method, c.parser.Target)
	}
	return used
}

// End is told by the loop. A caller that has ended its sending may still wait for
// its answer.
func (c *caller) End(error) {
	if !c.called {
		c.answer(http.StatusBadRequest, "no whole call came")
	}
}

// The calls and their methods.
const (
	pathReady    = "/-/ready"
	pathDrain    = "/-/drain"
	pathResume   = "/-/resume"
	pathPeers    = "/-/peers"
	pathRecovery = "/-/recovery"
	pathBackends = "/-/backends/"
)

func (c *caller) dispatch(method, target string) {
	path, _, _ := strings.Cut(target, "?")
	want := http.MethodPut
	var do func()
	switch path {
	case pathReady:
		want, do = http.MethodGet, func() {
			if c.front.Relay.Ready() {
				c.answer(http.StatusOK, "ready")
			} else {
				c.answer(http.StatusServiceUnavailable, "not ready")
			}
		}
	case pathPeers:
		want, do = http.MethodGet, func() {
			if text := c.front.Relay.Peers(); text != "" {
				c.answer(http.StatusOK, text)
			} else {
				c.answer(http.StatusNotFound, "peers are not set up")
			}
		}
	case pathRecovery:
		want, do = http.MethodGet, func() {
			if text := c.front.Relay.Recovery(); text != "" {
				c.answer(http.StatusOK, text)
			} else {
				c.answer(http.StatusNotFound, "no state is kept")
			}
		}
	case pathDrain:
		do = func() { c.front.Relay.Drain(); c.answer(http.StatusOK, "draining") }
	case pathResume:
		do = func() { c.front.Relay.Resume(); c.answer(http.StatusOK, "serving") }
	default:
		id, verb, ok := strings.Cut(strings.TrimPrefix(path, pathBackends), "/")
		id, err := url.PathUnescape(id)
		if !strings.HasPrefix(path, pathBackends) || !ok || err != nil || id == "" || verb != "disable" && verb != "enable" {
			c.answer(http.StatusNotFound, "no such call")
			return
		}
		do = func() { c.setEjected(id, verb == "disable") }
	}
	if method != want {
		c.answer(http.StatusMethodNotAllowed, "use "+want)
		return
	}
	do()
}

func (c *caller) setEjected(member string, out bool) {
	if !c.front.Relay.Known(member) {
		c.answer(http.StatusNotFound, "no such backend")
		return
	}
	c.front.Relay.SetEjected(member, out, func(err error) {
		switch {
		case err != nil:
			c.front.Log.WithError(err).WithField("member", member).Error("an operator's call failed")
			c.answer(http.StatusInternalServerError, "could not be kept")
		case out:
			c.answer(http.StatusOK, "disabled")
		default:
			c.answer(http.StatusOK, "enabled")
		}
	})
}

// answer is the one end of a caller.
func (c *caller) answer(status int, text string) {
	c.called = true
	c.timer.Stop()
	if c.parser.Target != "" {
		c.front.Log.WithFields(logrus.Fields{"call": c.parser.Method + " " + c.parser.Target, "status": status}).Info("operator")
	}
	allow := ""
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: " + strings.TrimPrefix(text, "use ") + "\r\n"
	}
	c.conn.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), allow, len(text)+1, text))
	c.conn.Finish()
}
