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

// Watcher keeps the endpoint list up to date by long polls of discovery, one after another. A poll that is overdue gets a
// second one beside it, and after failures the next one comes after a backoff: whatever fails, a change has to arrive
// within the deadline of timing.go.
type Watcher struct {
	Loop     *netloop.Loop
	Addr     string
	Mapper   MemberMapper
	OnUpdate func(kind policy.ListKind, list []core.Member)
	Log      logrus.FieldLogger
	// Dial connects to discovery, with descriptors that clients cannot use up.
	Dial func(addr string, within time.Duration, h netloop.Handler) *netloop.Conn
	// PushGrace is set where an agent of the relay's own has lists pushed to it: the grace after which what the agent has counts
	// as delivered. It is 0 where discovery itself is polled.
	PushGrace time.Duration
	// Random draws from 0 to 1, for backoffs.
	Random func() float64

	generation   uint64
	hasList      bool                // a poll can continue from the list of that generation
	instances    map[string]Instance // the list, by instance ID
	state        watchState
	polls        []*poll // in flight, the oldest first
	failures     int     // in a row
	lastRejected bool    // the last failure was an answer: discovery is up, and overloaded or failing
	backoffTimer *netloop.Timer
	onRefreshed  func() // called once when the poll in flight is answered
}

// watchState is the state of a watch.
type watchState int

const (
	watchIdle       watchState = iota // it has not started
	watchPolling                      // a poll is in flight that may still be answered in time
	watchBackingOff                   // none is, until the backoff is over; an overdue one may still be in flight
	watchStopped
)

// watchEvent is an event of a watch.
type watchEvent int

const (
	watchStart       watchEvent = iota // it is to start
	watchPollsFailed                   // the last poll that could be answered in time has failed
	watchBackoffOver                   // the backoff has passed
	watchRestart                       // it is to start anew, in whatever state it is
	watchAnswered                      // a poll is answered, and the next one is sent
	watchStop
)

// next is the transition function of a watch; false says that the event does not apply in that state.
func (s watchState) next(e watchEvent) (watchState, bool) {
	switch {
	case s == watchStopped:
		return s, false
	case e == watchStop:
		return watchStopped, true
	case e == watchRestart:
		return watchPolling, true
	case s == watchIdle && e == watchStart, s == watchBackingOff && e == watchBackoffOver, s != watchIdle && e == watchAnswered:
		return watchPolling, true
	case s == watchPolling && e == watchPollsFailed:
		return watchBackingOff, true
	}
	return s, false
}

func (w *Watcher) transition(e watchEvent) (ok bool) {
	w.state, ok = w.state.next(e)
	return ok
}

// SetInitialList sets the list to start from.
func (w *Watcher) SetInitialList(l *EndpointList) {
	w.applyList(&EndpointList{l.Generation, true, l.Instances})
}

func (w *Watcher) applyList(l *EndpointList) {
	w.generation, w.hasList = l.Generation, true
	if l.Full || w.instances == nil {
		w.instances = map[string]Instance{}
	}
	for _, instance := range l.Instances {
		if w.instances[instance.ID] = instance; lifecycleStates[instance.Lifecycle] == policy.Gone {
			delete(w.instances, instance.ID)
		}
	}
}

// Snapshot is the current list, and whether a watch can continue from it.
func (w *Watcher) Snapshot() (l *EndpointList, resumable bool) {
	l = &EndpointList{Generation: w.generation, Full: true}
	for _, instance := range w.instances {
		l.Instances = append(l.Instances, instance)
	}
	return l, w.hasList
}

// Start starts the watch. Once started it goes on by itself, and this does nothing.
func (w *Watcher) Start() {
	if w.transition(watchStart) {
		w.dial(longPollWait)
	}
}

// Refresh polls for changes at once, in place of the polls in flight, whose answers may be as old as they are; done is
// called after OnUpdate. Before the watch has started it does nothing.
func (w *Watcher) Refresh(done func()) {
	if w.state == watchIdle || !w.transition(watchRestart) {
		return
	}
	w.abandonPolls()
	w.onRefreshed = done
	w.dial(0)
}

// SwitchAddress continues the watch at another address. The first poll there asks for the full list: a generation means
// nothing but where it was issued.
func (w *Watcher) SwitchAddress(addr string) {
	if addr == w.Addr || !w.transition(watchRestart) {
		return
	}
	w.abandonPolls()
	w.Addr, w.hasList, w.failures, w.lastRejected = addr, false, 0, false
	w.dial(longPollWait)
}

// Stop ends the watch.
func (w *Watcher) Stop() {
	w.transition(watchStop)
	w.abandonPolls()
}

// handleAnswer applies the answer of a poll and sends the next one. Others in flight asked for the same, and are abandoned.
func (w *Watcher) handleAnswer(p *poll) {
	list, err := w.decodeAnswer(p)
	if !p.parser.Date.IsZero() {
		w.Mapper.StartTimes.ObserveDiscoveryDate(p.parser.Date)
	}
	if err != nil {
		w.handleFailure(p, err)
		return
	}
	w.transition(watchAnswered)
	keepConn := !p.parser.ConnectionClose && p.conn != nil
	w.removePoll(p, keepConn)
	w.abandonPolls()
	w.failures, w.lastRejected = 0, false
	w.applyList(list)
	if keepConn { // before the update is handed on: the gap between two polls is bounded
		p.reuse(longPollWait)
	} else {
		w.dial(longPollWait)
	}
	kind := policy.ListDelta
	if list.Full {
		kind = policy.ListFull
	}
	members := w.Mapper.Members(list)
	w.Mapper.StartTimes.ListReceived()
	w.OnUpdate(kind, members)
	if done := w.onRefreshed; done != nil {
		w.onRefreshed = nil
		done()
	}
}

func (w *Watcher) decodeAnswer(p *poll) (*EndpointList, error) {
	if p.parser.Status != 200 {
		return nil, statusError(p.parser.Status)
	}
	return Decode(p.parser.Body)
}

// statusError is the HTTP status with which discovery rejected a poll.
type statusError int

// Error names the status.
func (e statusError) Error() string { return fmt.Sprintf("discovery answered %d", int(e)) }

// maxPolls is how many polls are in flight at once: one that is overdue, and one beside it.
const maxPolls = 2

// startSecondPoll polls on a second connection, beside a poll that is overdue.
func (w *Watcher) startSecondPoll() {
	if len(w.polls) < maxPolls {
		w.Log.Debug("discovery answer overdue: starting a second poll")
		w.dial(0)
	}
}

// handleFailure ends a poll that has failed, and backs off unless another one may still be answered in time.
func (w *Watcher) handleFailure(p *poll, err error) {
	w.removePoll(p, false)
	var status statusError
	w.lastRejected = errors.As(err, &status)
	if slices.ContainsFunc(w.polls, (*poll).pending) || !w.transition(watchPollsFailed) {
		return
	}
	if w.failures++; w.failures == 1 {
		w.Log.WithError(err).Warn("discovery call failed")
	} else {
		w.Log.WithError(err).Debug("discovery call failed")
	}
	w.backoffTimer = w.Loop.After(w.timing().backoff(w.failures, w.Random()), w.retry)
}

// timing is that of immediate polls.
func (w *Watcher) timing() timing {
	if w.PushGrace > 0 {
		return pushTiming(w.PushGrace)
	}
	return pollTiming
}

// retry polls after a backoff. The poll is immediate, so that it shows at once whether discovery answers.
func (w *Watcher) retry() {
	if w.transition(watchBackoffOver) {
		w.dial(0)
	}
}

func (w *Watcher) removePoll(p *poll, keepConn bool) {
	p.close(keepConn)
	w.polls = slices.DeleteFunc(w.polls, func(other *poll) bool { return other == p })
}

// abandonPolls ends all polls in flight, and a backoff.
func (w *Watcher) abandonPolls() {
	w.backoffTimer.Stop()
	for _, p := range w.polls {
		p.close(false)
	}
	w.polls = nil
}
