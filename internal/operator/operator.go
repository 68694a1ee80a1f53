// Package operator serves the HTTP/1.1 address for operators. Its calls query the relay's readiness,
// gossip state and recovery report, eject and restore members, and drain the relay. Each connection
// carries one call. See docs/design.md, "The operators' address".
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
	// MaxCallers is the largest number of connections that are open at once.
	MaxCallers = 12
	// callTimeout is how long a caller may take to send its request.
	callTimeout = 5 * time.Second
)

// Relay is the relay that the calls act on. Its methods are called on the event loop.
type Relay interface {
	// Ready reports whether this process can serve clients.
	Ready() bool
	// Known reports whether the relay has a member of that name.
	Known(member string) bool
	// SetEjected ejects a member or restores it. It calls done once, on the event loop, when that
	// is stored or has failed.
	SetEjected(member string, ejected bool, done func(error))
	// Drain drains the relay until Resume is called.
	Drain()
	// Resume ends a drain.
	Resume()
	// Peers returns the gossip state as JSON, or an empty string if gossip is off.
	Peers() string
	// Recovery returns the recovery report as JSON, or an empty string if no state directory is
	// configured.
	Recovery() string
}

// Front is the front for operators. The texts of its responses are part of the interface to
// operators' tools and must not change.
type Front struct {
	Loop  *netloop.Loop
	Relay Relay
	Log   logrus.FieldLogger
}

// Accept reads one call from a new connection and answers it.
func (f *Front) Accept(conn *netloop.Conn) {
	c := &caller{front: f, conn: conn}
	c.parser.Request = true
	// The text means: the request was not received completely, in time or before the connection was
	// needed for another caller.
	timedOut := func() { c.answer(http.StatusRequestTimeout, "no whole call came") }
	c.timer = f.Loop.After(callTimeout, timedOut)
	conn.SetEvictable(timedOut)
	conn.SetHandler(c)
}

// caller is one connection. It serves one call.
type caller struct {
	front  *Front
	conn   *netloop.Conn
	parser http1.Parser
	timer  *netloop.Timer // for callTimeout
	called bool           // the request is complete, or an error has been answered
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

// End implements netloop.Handler. A caller that has sent its complete request may close its sending
// side and still gets its answer; an incomplete request is an error.
func (c *caller) End(error) {
	if !c.called {
		c.answer(http.StatusBadRequest, "no whole call came")
	}
}

// Paths of the calls.
const (
	pathReady    = "/-/ready"
	pathDrain    = "/-/drain"
	pathResume   = "/-/resume"
	pathPeers    = "/-/peers"
	pathRecovery = "/-/recovery"
	pathBackends = "/-/backends/"
)

// route is one call: its HTTP method and its handler.
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

// parseBackendCall parses the path of a call that disables (ejects) or enables (restores) a member:
// /-/backends/MEMBER/disable or /-/backends/MEMBER/enable.
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

// The text means: gossip is off.
func (c *caller) peers() { c.answerIfSet(c.front.Relay.Peers(), "peers are not set up") }

// The text means: no state directory is configured.
func (c *caller) recovery() { c.answerIfSet(c.front.Relay.Recovery(), "no state is kept") }

// answerIfSet responds with text, or with status 404 and the reason if text is empty.
func (c *caller) answerIfSet(text, reason string) {
	if text == "" {
		c.answer(http.StatusNotFound, reason)
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
			c.front.Log.WithError(err).WithField("member", member).Error("operator call to eject or restore a member failed")
			c.answer(http.StatusInternalServerError, "could not be kept") // the ejection could not be stored
		case ejected:
			c.answer(http.StatusOK, "disabled")
		default:
			c.answer(http.StatusOK, "enabled")
		}
	})
}

// answer sends the response, logs the call and closes the connection. A text for status 405 must be
// "use " and the allowed method, which it also sends in the Allow header.
func (c *caller) answer(status int, text string) {
	c.called = true
	c.timer.Stop()
	if c.parser.Target != "" {
		c.front.Log.WithFields(logrus.Fields{"call": c.parser.Method + " " + c.parser.Target, "status": status}).Info("operator call answered")
	}
	allow := ""
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: " + strings.TrimPrefix(text, "use ") + "\r\n"
	}
	c.conn.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), allow, len(text)+1, text))
	c.conn.Finish()
}
