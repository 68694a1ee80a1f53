// Package operator serves the operators' address of the relay: HTTP/1.1 calls that query its readiness, eject and restore members, and
// drain it. Each connection carries one call. It decides nothing. See docs/design.md, "The operators' address".
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
	// MaxCallers bounds the connections that are open at once.
	MaxCallers = 12
	// callTimeout is how long a caller has to send its request.
	callTimeout = 5 * time.Second
)

// Relay is what the calls act on. Its methods are called on the loop.
type Relay interface {
	// Ready reports whether this process can serve clients.
	Ready() bool
	// Known reports whether there is a member of that name.
	Known(member string) bool
	// SetEjected ejects a member or restores it, and then calls done once, on the loop.
	SetEjected(member string, ejected bool, done func(error))
	// Drain drains the relay until Resume.
	Drain()
	// Resume ends a drain.
	Resume()
	// Peers is the gossip state as JSON; empty where gossip is off.
	Peers() string
	// Recovery is the recovery report as JSON; empty where no state directory is configured.
	Recovery() string
}

// Front serves the operators' address.
type Front struct {
	Loop  *netloop.Loop
	Relay Relay
	Log   logrus.FieldLogger
}

// Accept serves a connection of an operator.
func (f *Front) Accept(conn *netloop.Conn) {
	c := &caller{front: f, conn: conn}
	c.parser.Request = true
	timedOut := func() { c.answer(http.StatusRequestTimeout, "no whole call came") }
	c.timer = f.Loop.After(callTimeout, timedOut)
	conn.SetEvictable(timedOut)
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

// Open implements netloop.Handler.
func (c *caller) Open() {}

// Drained implements netloop.Handler.
func (c *caller) Drained() {}

// Data implements netloop.Handler.
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

// End implements netloop.Handler. A caller that has closed its sending side may still wait for
// its answer.
func (c *caller) End(error) {
	if !c.called {
		c.answer(http.StatusBadRequest, "no whole call came")
	}
}

// The paths of the calls.
const (
	pathReady    = "/-/ready"
	pathDrain    = "/-/drain"
	pathResume   = "/-/resume"
	pathPeers    = "/-/peers"
	pathRecovery = "/-/recovery"
	pathBackends = "/-/backends/"
)

// route is one call: its method, and what it does.
type route struct {
	method string
	handle func(c *caller)
}

var routes = map[string]route{
	pathReady:    {http.MethodGet, (*caller).ready},
	pathPeers:    {http.MethodGet, (*caller).peers},
	pathRecovery: {http.MethodGet, (*caller).recovery},
	pathDrain:    {http.MethodPut, func(c *caller) { c.front.Relay.Drain(); c.answer(http.StatusOK, "draining") }},
	pathResume:   {http.MethodPut, func(c *caller) { c.front.Relay.Resume(); c.answer(http.StatusOK, "serving") }},
}

func (c *caller) dispatch(method, target string) {
	path, _, _ := strings.Cut(target, "?")
	r, ok := routes[path]
	if !ok {
		member, ejected, valid := parseBackendCall(path)
		if !valid {
			c.answer(http.StatusNotFound, "no such call")
			return
		}
		r = route{http.MethodPut, func(c *caller) { c.setEjected(member, ejected) }}
	}
	if method != r.method {
		c.answer(http.StatusMethodNotAllowed, "use "+r.method)
		return
	}
	r.handle(c)
}

// parseBackendCall parses the path of a call that disables or enables a member.
func parseBackendCall(path string) (member string, disable, valid bool) {
	rest, isBackend := strings.CutPrefix(path, pathBackends)
	id, verb, ok := strings.Cut(rest, "/")
	member, err := url.PathUnescape(id)
	if !isBackend || !ok || err != nil || member == "" || verb != "disable" && verb != "enable" {
		return "", false, false
	}
	return member, verb == "disable", true
}

func (c *caller) ready() {
	if c.front.Relay.Ready() {
		c.answer(http.StatusOK, "ready")
	} else {
		c.answer(http.StatusServiceUnavailable, "not ready")
	}
}

func (c *caller) peers() { c.answerIfSet(c.front.Relay.Peers(), "peers are not set up") }

func (c *caller) recovery() { c.answerIfSet(c.front.Relay.Recovery(), "no state is kept") }

// answerIfSet answers with a text, and with 404 and the reason if it is empty.
func (c *caller) answerIfSet(text, otherwise string) {
	if text == "" {
		c.answer(http.StatusNotFound, otherwise)
		return
	}
	c.answer(http.StatusOK, text)
}

func (c *caller) setEjected(member string, ejected bool) {
	if !c.front.Relay.Known(member) {
		c.answer(http.StatusNotFound, "no such backend")
		return
	}
	c.front.Relay.SetEjected(member, ejected, func(err error) {
		switch {
		case err != nil:
			c.front.Log.WithError(err).WithField("member", member).Error("an operator's call failed")
			c.answer(http.StatusInternalServerError, "could not be kept")
		case ejected:
			c.answer(http.StatusOK, "disabled")
		default:
			c.answer(http.StatusOK, "enabled")
		}
	})
}

// answer responds to the call and closes the connection.
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
