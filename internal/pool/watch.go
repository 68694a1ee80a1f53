package pool

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/http1"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// How calls wait. What discovery has to tell counts as told 2 s after the wait
// of a call ends, so an answer that has not come by then is given up: a new call
// brings it sooner than a dead connection.
const (
	watchWait   = 4 * time.Second
	answerGrace = 1800 * time.Millisecond
	dialWithin  = time.Second
)

// Watch asks discovery for the list and then for its changes, one call after
// another, until a call fails; then the relay's decision module says when to ask
// again, by Ask.
type Watch struct {
	Loop  *netloop.Loop
	Addr  string
	Names Names
	Told  func(kind policy.ListKind, list []core.Member)
	Log   logrus.FieldLogger

	generation uint64
	known      bool             // the list of that generation is held
	entries    map[string]Entry // and this is it
	watching   bool
	conn       *netloop.Conn
	parser     http1.Parser
	within     *netloop.Timer
	stopped    bool
	fresh      func() // the call that is out is to be answered at once, and then this is called
}

// Hold says which list is held from the start.
func (w *Watch) Hold(l *List) { w.hold(&List{l.Generation, true, l.Instances}) }

func (w *Watch) hold(l *List) {
	w.generation, w.known = l.Generation, true
	if l.Full || w.entries == nil {
		w.entries = map[string]Entry{}
	}
	for _, e := range l.Instances {
		if w.entries[e.ID] = e; states[e.Lifecycle] == policy.Gone {
			delete(w.entries, e.ID)
		}
	}
}

// List is the list that is held, and whether a watch can go on from it.
func (w *Watch) List() (l *List, known bool) {
	l = &List{Generation: w.generation, Full: true}
	for _, e := range w.entries {
		l.Instances = append(l.Instances, e)
	}
	return l, w.known
}

// Ask starts to watch; while a watch goes on it does nothing.
func (w *Watch) Ask() {
	if !w.watching && !w.stopped {
		w.watching = true
		w.call()
	}
}

// Refresh asks at once for what has changed, in the place of the call that is out, whose answer may be as old as it is; done is
// called when it is told. While no watch goes on it does nothing.
func (w *Watch) Refresh(done func()) {
	if w.watching && !w.stopped {
		w.hangUp()
		w.fresh = done
		w.call()
	}
}

// Move has the watch go on at another address. The first call there asks for the
// whole list: a generation means nothing but where it was given.
func (w *Watch) Move(addr string) {
	if w.stopped || addr == w.Addr {
		return
	}
	w.hangUp()
	w.Addr, w.known, w.watching = addr, false, true
	w.call()
}

// Stop ends watching.
func (w *Watch) Stop() {
	w.stopped = true
	w.hangUp()
}

func (w *Watch) call() {
	w.parser = http1.Parser{}
	wait := dialWithin
	if w.conn == nil {
		w.conn = w.Loop.Dial(w.Addr, dialWithin, w)
	} else {
		wait = w.ask()
	}
	w.await(wait)
}

// await gives what is under way so long.
func (w *Watch) await(d time.Duration) {
	w.within.Stop()
	w.within = w.Loop.After(d, func() { w.failed(errors.New("no answer in time")) })
}

// ask writes the call and returns how long to wait for its answer. The first
// one asks for everything that was missed and answers at once.
func (w *Watch) ask() time.Duration {
	path := "/api/targets"
	wait := time.Duration(0)
	switch {
	case w.known && w.fresh != nil:
		path = fmt.Sprintf("/api/targets?since=%d&timeout_ms=0", w.generation)
	case w.known:
		path = fmt.Sprintf("/api/targets?since=%d&timeout_ms=%d", w.generation, watchWait.Milliseconds())
		wait = watchWait
	}
	w.conn.Write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, w.Addr))
	return wait + answerGrace
}

// Open is told by the loop.
func (w *Watch) Open() { w.await(w.ask()) }

// Drained is told by the loop.
func (w *Watch) Drained() {}

// Data is told by the loop.
func (w *Watch) Data(b []byte) int {
	n, done, err := w.parser.Feed(b)
	if err != nil {
		w.failed(err)
	} else if done {
		w.answered()
	}
	return n
}

// End is told by the loop.
func (w *Watch) End(err error) {
	if w.parser.Finish() {
		w.answered()
		return
	}
	w.failed(fmt.Errorf("discovery: %w", err))
}

func (w *Watch) answered() {
	if w.parser.Status != 200 {
		w.failed(fmt.Errorf("discovery answered %d", w.parser.Status))
		return
	}
	list, err := Decode(w.parser.Body)
	if err != nil {
		w.failed(err)
		return
	}
	kind := policy.ListDelta
	if list.Full {
		kind = policy.ListFull
	}
	if w.parser.Closes {
		w.hangUp()
	}
	done := w.fresh
	w.fresh = nil
	w.hold(list)
	w.call() // first: the gap between two calls of a watch is bounded
	w.Told(kind, w.Names.Members(list))
	if done != nil {
		done()
	}
}

// failed ends the watch.
func (w *Watch) failed(err error) {
	w.hangUp()
	if w.stopped {
		return
	}
	w.watching, w.fresh = false, nil
	w.Log.WithError(err).Warn("discovery call failed")
	w.Told(policy.ListFailed, nil)
}

func (w *Watch) hangUp() {
	w.within.Stop()
	if w.conn != nil {
		w.conn.Finish()
		w.conn = nil
	}
}
