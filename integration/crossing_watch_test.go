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

// scriptedDiscovery answers calls as the test says, byte by byte.
type scriptedDiscovery struct {
	addr string

	mu         sync.Mutex
	generation int // the newest generation
	list       []member
	changed    map[string]int          // by member, when it changed last
	watches    map[*scriptedWatch]bool // that are open now
	nextCalls  []func(*scriptedWatch)  // what happens to the calls that come next, one each
	calls      int                     // calls so far
}

// scriptedWatch is a call that waits for a change.
type scriptedWatch struct {
	net.Conn
	since int
	done  chan struct{}
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

// handleCall serves one; false if the connection is of no more use.
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
	if !unanswered { // it is answered elsewhere, or never
		<-w.done
		return true
	}
	return respond(c, text)
}

// listText is the answer to a reader that has a generation.
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

// hasWatch reports whether a call waits.
func (d *scriptedDiscovery) hasWatch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watches) > 0
}

// drain changes a member; to the watches that are open, and to the calls that come next, happens what is given.
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

// What happens to a call.

func answerFullList(w *scriptedWatch, d *scriptedDiscovery) {
	fmt.Fprint(w, response(d.listText(-1, "")))
	close(w.done)
}

func answerIndented(w *scriptedWatch, d *scriptedDiscovery) {
	fmt.Fprint(w, response(d.listText(w.since, "    ")))
	close(w.done)
}

// answerBytewise has every byte leave by itself.
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

// newWatchRig is a relay whose members accept all attempts, with a scripted discovery.
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
	waitFor(t, "a watch", d.hasWatch)
	return s, d
}

// lastSendTo makes requests, one after another, until the flow of the member that drains is moved, and returns when the last of them reached it.
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
				s.t.Errorf("the flow on the member that drains got %q", line)
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

// openFlowOfMember opens flows until one is at a member that is to drain.
func (s *scriptedRig) openFlowOfMember() (*client, *scriptedMember) {
	s.t.Helper()
	c := s.openFlow(1, "")
	up := c.wantLine("UP ")
	for _, m := range s.members {
		if strings.HasPrefix(up, "UP "+m.id+"/") {
			return c, m
		}
	}
	s.t.Fatalf("no member made %q", up)
	return nil, nil
}

// watchCase is a member's drain during which the watch fails in some way.
type watchCase struct {
	name       string
	deadline   time.Duration // by the protocol, after the drain
	answerOpen func(*scriptedWatch, *scriptedDiscovery)
	nextCalls  []func(*scriptedWatch)
}

func (test watchCase) run(t *testing.T) {
	t.Parallel()
	s, d := newWatchRig(t)
	c, m := s.openFlowOfMember()
	at := d.drain(m.id, test.answerOpen, test.nextCalls...)
	last := s.lastSendTo(m, c).Sub(at)
	t.Logf("the last send went %v after the drain", last.Round(time.Millisecond))
	if limit := test.deadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("sent to a member %v after its drain; %v are allowed", last, limit)
	}
	s.checkAttempts()
}

// TestCrossingWatch: a member drains, and the update comes in one of the forms that the protocol allows, or the watch is reset
// just then.
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

// TestCrossingWatchMoved: SIGHUP moves discovery, and a member drains right after, at the new address alone.
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
	t.Logf("the last send went %v after SIGHUP", last.Round(time.Millisecond))
	if limit := reloadDeadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("sent to a member %v after SIGHUP; %v are allowed", last, limit)
	}
	s.checkAttempts()
	s.waitDescriptorsReleased(before)
}
