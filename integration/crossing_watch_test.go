package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// scriptedDiscovery is a fake discovery service that answers watches as the test says.
type scriptedDiscovery struct {
	addr string

	mu         sync.Mutex
	generation int // of the newest list
	list       []member
	changed    map[string]int          // by member id, the generation of its last change
	watches    map[*scriptedWatch]bool // open watches
	nextCalls  []func(*scriptedWatch)  // handlers of the next calls, one per call
	calls      int                     // calls so far
}

// scriptedWatch is a call to discovery; while it is in watches it waits for a change.
type scriptedWatch struct {
	net.Conn
	since int           // the generation that the caller has, or -1
	done  chan struct{} // closed when the call is finished
}

func newScriptedDiscovery(t testing.TB, list []member) *scriptedDiscovery {
	d := &scriptedDiscovery{generation: 1, list: list, changed: map[string]int{}, watches: map[*scriptedWatch]bool{}}
	for _, m := range list {
		d.changed[m.ID] = 1
	}
	d.addr = listen(t, d.serve).Addr().String()
	return d
}

func (d *scriptedDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		head, err := in.ReadString('\n')
		if err != nil {
			return
		}
		for line := head; line != "\r\n"; {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
		}
		if !d.handleCall(c, strings.Fields(head)[1]) {
			return
		}
	}
}

// handleCall serves one call. It returns false if the connection must be closed.
func (d *scriptedDiscovery) handleCall(c net.Conn, target string) bool {
	u, err := url.Parse(target)
	if err != nil {
		return false
	}
	wait, _ := strconv.Atoi(u.Query().Get("timeout_ms"))
	w := &scriptedWatch{Conn: c, since: -1, done: make(chan struct{})}
	if text := u.Query().Get("since"); text != "" {
		w.since, _ = strconv.Atoi(text)
	}
	d.mu.Lock()
	d.calls++
	if len(d.nextCalls) > 0 {
		handle := d.nextCalls[0]
		d.nextCalls = d.nextCalls[1:]
		d.mu.Unlock()
		handle(w)
		return false
	}
	if w.since != d.generation || wait == 0 {
		text := d.listText(w.since, "")
		d.mu.Unlock()
		return respond(c, text)
	}
	d.watches[w] = true
	d.mu.Unlock()
	select {
	case <-w.done:
		return true
	case <-time.After(time.Duration(wait) * time.Millisecond):
	}
	d.mu.Lock()
	unanswered := d.watches[w]
	delete(d.watches, w)
	text := d.listText(w.since, "")
	d.mu.Unlock()
	if !unanswered { // drain has passed the watch to a handler, which may never answer it
		<-w.done
		return true
	}
	return respond(c, text)
}

// listText returns the answer to a caller that has generation since: the members that have changed
// after it, or all members if since is negative.
func (d *scriptedDiscovery) listText(since int, indent string) string {
	out := fakes.List{Generation: d.generation, Reset: since < 0, Instances: []member{}}
	for _, m := range d.list {
		if since < 0 || d.changed[m.ID] > since {
			out.Instances = append(out.Instances, m)
		}
	}
	text, _ := json.MarshalIndent(out, "", indent)
	if indent == "" {
		text, _ = json.Marshal(out)
	}
	return string(text)
}

func response(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func respond(c net.Conn, text string) bool {
	_, err := fmt.Fprint(c, response(text))
	return err == nil
}

// hasWatch reports whether a watch is open.
func (d *scriptedDiscovery) hasWatch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches) > 0
}

// drain lists a member as DRAINING and returns the time of the change. answerOpen is called for each
// open watch; each of next handles one of the following calls.
func (d *scriptedDiscovery) drain(id string, answerOpen func(w *scriptedWatch, d *scriptedDiscovery), next ...func(*scriptedWatch)) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changed[id] = d.generation
	for i := range d.list {
		if d.list[i].ID == id {
			d.list[i].Lifecycle = "DRAINING"
		}
	}
	d.nextCalls = next
	at := time.Now()
	for w := range d.watches {
		delete(d.watches, w)
		answerOpen(w, d)
	}
	return at
}

// Handlers of open watches.

func answerFullList(w *scriptedWatch, d *scriptedDiscovery) {
	fmt.Fprint(w, response(d.listText(-1, "")))
	close(w.done)
}

func answerIndented(w *scriptedWatch, d *scriptedDiscovery) {
	fmt.Fprint(w, response(d.listText(w.since, "    ")))
	close(w.done)
}

// answerBytewise writes the answer one byte at a time.
func answerBytewise(w *scriptedWatch, d *scriptedDiscovery) {
	w.Conn.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte(response(d.listText(w.since, ""))) {
		w.Write([]byte{b})
	}
	close(w.done)
}

func answerReset(w *scriptedWatch, _ *scriptedDiscovery) {
	w.Conn.(*net.TCPConn).SetLinger(0)
	w.Conn.Close()
	close(w.done)
}

// newWatchRig returns a relay with a scripted discovery and members that accept all attempts.
func newWatchRig(t *testing.T) (*scriptedRig, *scriptedDiscovery) {
	t.Helper()
	s := &scriptedRig{attemptCounter: fakes.NewAttemptCounter()}
	var list []member
	s.members, list = newScriptedMembers(t, 2, s.attemptCounter)
	for _, m := range s.members {
		m.setAutoAccept(true)
	}
	d := newScriptedDiscovery(t, list)
	s.relay = start(t, configure(t, &discovery{Discovery: fakes.NewDiscovery(list...), addr: d.addr}, nil), 1)
	waitFor(t, "an open watch at discovery", d.hasWatch)
	return s, d
}

// lastSendTo sends requests, one after another, until the relay moves flow, which is at the draining
// member, and then ten more. It returns the time at which that member received its last first line.
func (s *scriptedRig) lastSendTo(drained *scriptedMember, flow *client) time.Time {
	s.t.Helper()
	flowLine := make(chan string, 1)
	go func() { flowLine <- flow.line() }()
	n := 1000
	sendRequest := func() {
		c := s.openFlow(n, "")
		c.line() // UP or BUSY
		c.Close()
		n++
	}
	for waiting := true; waiting; sendRequest() {
		select {
		case line := <-flowLine:
			if line != "MOVE" {
				s.t.Errorf("the flow on the draining member got %q, want MOVE", line)
			}
			waiting = false
		default:
		}
	}
	for range 10 {
		sendRequest()
	}
	last := time.Time{}
	for _, a := range drained.arrivals() {
		if a.at.After(last) {
			last = a.at
		}
	}
	return last
}

// openFlowOfMember opens a flow and returns the client and the member that accepted it.
func (s *scriptedRig) openFlowOfMember() (*client, *scriptedMember) {
	s.t.Helper()
	c := s.openFlow(1, "")
	up := c.wantLine("UP ")
	for _, m := range s.members {
		if strings.HasPrefix(up, "UP "+m.id+"/") {
			return c, m
		}
	}
	s.t.Fatalf("%q names none of the members", up)
	return nil, nil
}

// watchCase is a case in which a member drains while the watch is answered in an unusual way or fails.
type watchCase struct {
	name       string
	deadline   time.Duration // the longest time between the drain and its delivery by the protocol
	answerOpen func(*scriptedWatch, *scriptedDiscovery)
	nextCalls  []func(*scriptedWatch)
}

func (test watchCase) run(t *testing.T) {
	t.Parallel()
	s, d := newWatchRig(t)
	c, m := s.openFlowOfMember()
	at := d.drain(m.id, test.answerOpen, test.nextCalls...)
	last := s.lastSendTo(m, c).Sub(at)
	t.Logf("the last request reached the member %v after it was listed as draining", last.Round(time.Millisecond))
	if limit := test.deadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("a request reached the draining member %v after it was listed as draining, want at most %v", last, limit)
	}
	s.checkAttempts()
}

// TestCrossingWatch guards against requests to a member that has begun to drain. Discovery sends the
// update in one of the forms that the protocol allows, or resets the watch at that moment.
func TestCrossingWatch(t *testing.T) {
	t.Parallel()
	for _, test := range []watchCase{
		{"in pieces", 0, answerBytewise, nil},
		{"indented", 0, answerIndented, nil},
		{"whole list", 0, answerFullList, nil},
		{"reset", silentWatchDeadline, answerReset, nil},
	} {
		t.Run(test.name, test.run)
	}
}

// TestCrossingWatchMoved: SIGHUP changes the discovery address, and a member starts to drain right
// after it, in the list at the new address only.
func TestCrossingWatchMoved(t *testing.T) {
	t.Parallel()
	s, old := newWatchRig(t)
	c, m := s.openFlowOfMember()
	before := s.descriptors()
	next := newScriptedDiscovery(t, s.entries())
	at := time.Now()
	s.reload(old.addr, next.addr)
	next.drain(m.id, answerFullList)
	last := s.lastSendTo(m, c).Sub(at)
	t.Logf("the last request reached the member %v after SIGHUP", last.Round(time.Millisecond))
	if limit := reloadDeadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("a request reached the draining member %v after SIGHUP, want at most %v", last, limit)
	}
	s.checkAttempts()
	s.waitDescriptorsReleased(before)
}
