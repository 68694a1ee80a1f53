package pool

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// Watcher asks discovery for the list and then for its changes, one call after another. A call that is late gets a
// second one beside it, and after calls have failed the next one is made after a pause: whatever fails, a change
// has to arrive within the time of budget.go.
type Watcher struct {
	Loop     *netloop.Loop
	Addr     string
	Mapper   MemberMapper
	OnUpdate func(kind policy.ListKind, list []core.Member)
	Log      logrus.FieldLogger
	// Dial connects to discovery, by descriptors that clients cannot use up.
	Dial func(addr string, within time.Duration, h netloop.Handler) *netloop.Conn
	// PushGrace is, where lists are pushed, the grace after what the agent has counts as told; 0 where discovery is asked.
	PushGrace time.Duration
	// Random draws from 0 to 1, for pauses.
	Random func() float64

	generation uint64
	known      bool                // the list of that generation is held
	entries    map[string]Instance // and this is it
	state      watchState
	calls      []*call // that are out, the oldest first
	failures   int     // in a row
	refused    bool    // the last of them by an answer: discovery is up, and full or failing
	pausing    *netloop.Timer
	refreshed  func() // called once when what is out has been answered
}

// watchState is where a watch stands.
type watchState int

const (
	watchIdle    watchState = iota // it has not begun
	watchCalling                   // a call is out that may yet be answered in time
	watchPausing                   // none is, and a pause goes by; a late one may still be out
	watchStopped
)

// watchEvent is what can befall a watch.
type watchEvent int

const (
	watchAsked    watchEvent = iota // it is to begin
	watchFailed                     // the last call that could be answered in time has failed
	watchPaused                     // the pause is over
	watchRestart                    // it is to begin anew, whatever it was doing
	watchAnswered                   // a call is answered, and the next one is made
	watchStop
)

// next is the one transition function of a watch; false says that the event means nothing in that state.
func (s watchState) next(e watchEvent) (watchState, bool) {
	switch {
	case s == watchStopped:
		return s, false
	case e == watchStop:
		return watchStopped, true
	case e == watchRestart:
		return watchCalling, true
	case s == watchIdle && e == watchAsked, s == watchPausing && e == watchPaused, s != watchIdle && e == watchAnswered:
		return watchCalling, true
	case s == watchCalling && e == watchFailed:
		return watchPausing, true
	}
	return s, false
}

func (w *Watcher) step(e watchEvent) (ok bool) {
	w.state, ok = w.state.next(e)
	return ok
}

// SetInitialList says which list is held from the start.
func (w *Watcher) SetInitialList(l *EndpointList) {
	w.hold(&EndpointList{l.Generation, true, l.Instances})
}

func (w *Watcher) hold(l *EndpointList) {
	w.generation, w.known = l.Generation, true
	if l.Full || w.entries == nil {
		w.entries = map[string]Instance{}
	}
	for _, e := range l.Instances {
		if w.entries[e.ID] = e; states[e.Lifecycle] == policy.Gone {
			delete(w.entries, e.ID)
		}
	}
}

// Snapshot is the list that is held, and whether a watch can go on from it.
func (w *Watcher) Snapshot() (l *EndpointList, known bool) {
	l = &EndpointList{Generation: w.generation, Full: true}
	for _, e := range w.entries {
		l.Instances = append(l.Instances, e)
	}
	return l, w.known
}

// Start starts to watch; once begun a watch goes on by itself, and this does nothing.
func (w *Watcher) Start() {
	if w.step(watchAsked) {
		w.dial(watchWait)
	}
}

// Refresh asks at once for what has changed, in the place of the calls that are out, whose answers may be as old as
// they are; done is called when it is told. Before the watch has begun it does nothing.
func (w *Watcher) Refresh(done func()) {
	if w.state == watchIdle || !w.step(watchRestart) {
		return
	}
	w.hangUp()
	w.refreshed = done
	w.dial(0)
}

// SwitchAddress has the watch go on at another address. The first call there asks for the whole list: a generation means
// nothing but where it was given.
func (w *Watcher) SwitchAddress(addr string) {
	if addr == w.Addr || !w.step(watchRestart) {
		return
	}
	w.hangUp()
	w.Addr, w.known, w.failures, w.refused = addr, false, 0, false
	w.dial(watchWait)
}

// Stop ends watching.
func (w *Watcher) Stop() {
	w.step(watchStop)
	w.hangUp()
}

// answered takes the answer of a call; the others that are out have asked for the same.
func (w *Watcher) answered(c *call) {
	list, err := w.read(c)
	if !c.parser.Date.IsZero() {
		w.Mapper.StartTimes.ObserveServerDate(c.parser.Date)
	}
	if err != nil {
		w.failed(c, err)
		return
	}
	w.step(watchAnswered)
	keep := !c.parser.ConnectionClose && c.conn != nil
	w.drop(c, keep)
	w.hangUp()
	w.failures, w.refused = 0, false
	w.hold(list)
	if keep { // first: the gap between two calls of a watch is bounded
		c.again(watchWait)
	} else {
		w.dial(watchWait)
	}
	kind := policy.ListDelta
	if list.Full {
		kind = policy.ListFull
	}
	members := w.Mapper.Members(list)
	w.Mapper.StartTimes.ListReceived()
	w.OnUpdate(kind, members)
	if done := w.refreshed; done != nil {
		w.refreshed = nil
		done()
	}
}

func (w *Watcher) read(c *call) (*EndpointList, error) {
	if c.parser.Status != 200 {
		return nil, refusal(c.parser.Status)
	}
	return Decode(c.parser.Body)
}

// refusal is the status with which discovery refused a call.
type refusal int

// Error names the status.
func (r refusal) Error() string { return fmt.Sprintf("discovery answered %d", int(r)) }

// callsMost is how many calls are out at once: one that is late, and one beside it.
const callsMost = 2

// late makes a second call beside one whose answer is late.
func (w *Watcher) late() {
	if len(w.calls) < callsMost {
		w.Log.Debug("discovery is late: a second call")
		w.dial(0)
	}
}

// failed ends a call that has failed. While another one is out that is in time, that is waited for.
func (w *Watcher) failed(c *call, err error) {
	w.drop(c, false)
	var refused refusal
	w.refused = errors.As(err, &refused)
	if slices.ContainsFunc(w.calls, (*call).inTime) || !w.step(watchFailed) {
		return
	}
	if w.failures++; w.failures == 1 {
		w.Log.WithError(err).Warn("discovery call failed")
	} else {
		w.Log.WithError(err).Debug("discovery call failed")
	}
	w.pausing = w.Loop.After(w.timing().pause(w.failures, w.Random()), w.resume)
}

// timing is that of the calls that do not wait.
func (w *Watcher) timing() timing {
	if w.PushGrace > 0 {
		return pushing(w.PushGrace)
	}
	return asking
}

// resume makes the next call after a pause. It does not wait for news: whether it is answered shows at once.
func (w *Watcher) resume() {
	if w.step(watchPaused) {
		w.dial(0)
	}
}

func (w *Watcher) drop(c *call, keep bool) {
	c.end(keep)
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
}

// hangUp gives up all that is under way.
func (w *Watcher) hangUp() {
	w.pausing.Stop()
	for _, c := range w.calls {
		c.end(false)
	}
	w.calls = nil
}
