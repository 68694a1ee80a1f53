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

// Watcher keeps the endpoint list up to date with consecutive long polls of discovery. When a poll is
// overdue, a second one is sent beside it, and after failures the next poll waits for a backoff.
// Whatever fails, a change must arrive within deliveryDeadline.
type Watcher struct {
	Loop     *netloop.Loop
	Addr     string
	Mapper   MemberMapper
	OnUpdate func(kind policy.ListKind, list []core.Member)
	Log      logrus.FieldLogger
	// Dial connects to discovery. It uses file descriptors that are reserved, so that clients cannot
	// exhaust them.
	Dial func(addr string, within time.Duration, h netloop.Handler) *netloop.Conn
	// PushGrace is set if Addr is a local agent to which discovery pushes lists: it is the grace
	// period that pushTiming divides. It is 0 if discovery itself is polled.
	PushGrace time.Duration
	// Random returns a random number in [0, 1], used for backoffs.
	Random func() float64

	generation   uint64
	hasList      bool                // a poll can continue from the list of this generation
	instances    map[string]Instance // the list, by instance ID
	state        watchState
	polls        []*poll // in flight, the oldest first
	failures     int     // consecutive failures
	lastRejected bool    // the last failure was an answer, so discovery is up but overloaded or failing
	backoffTimer *netloop.Timer
	onRefreshed  func() // called once, after the next answer
}

// watchState is the state of a watch.
type watchState int

const (
	watchIdle       watchState = iota // not started
	watchPolling                      // a poll is in flight that is not overdue
	watchBackingOff                   // waiting for the backoff; an overdue poll may still be in flight
	watchStopped
)

// watchEvent is an event of a watch.
type watchEvent int

const (
	watchStart       watchEvent = iota // Start was called
	watchPollsFailed                   // a poll has failed and no poll is left that is not overdue
	watchBackoffOver                   // the backoff has passed
	watchRestart                       // Refresh or SwitchAddress was called
	watchAnswered                      // a poll was answered, and the next one is to be sent
	watchStop
)

// next is the transition function of a watch. It returns false if the event does not apply to the
// state.
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

// Snapshot returns the current list, and whether a watch can continue from it.
func (w *Watcher) Snapshot() (l *EndpointList, resumable bool) {
	l = &EndpointList{Generation: w.generation, Full: true}
	for _, instance := range w.instances {
		l.Instances = append(l.Instances, instance)
	}
	return l, w.hasList
}

// Start starts the watch, which then continues by itself. On a started watch it does nothing.
func (w *Watcher) Start() {
	if w.transition(watchStart) {
		w.dial(longPollWait)
	}
}

// Refresh polls for changes at once. It replaces the polls in flight, whose answers may be as old as
// the polls. Done is called after OnUpdate. Before the watch has started, Refresh does nothing.
func (w *Watcher) Refresh(done func()) {
	if w.state == watchIdle || !w.transition(watchRestart) {
		return
	}
	w.abandonPolls()
	w.onRefreshed = done
	w.dial(0)
}

// SwitchAddress continues the watch at another address. The first poll there requests the full list,
// since a generation is only valid at the discovery that issued it.
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

// handleAnswer applies the answer of a poll and sends the next poll. Other polls in flight would bring
// the same changes and are abandoned.
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
	if keepConn { // poll before calling OnUpdate: the protocol limits the gap between two polls
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

// statusError is the HTTP status of an answer other than 200.
type statusError int

// Error returns a text that names the status.
func (e statusError) Error() string { return fmt.Sprintf("discovery answered with status %d", int(e)) }

// maxPolls is the maximum number of polls in flight: an overdue one and the one beside it.
const maxPolls = 2

// startSecondPoll sends a poll on a second connection, beside an overdue poll.
func (w *Watcher) startSecondPoll() {
	if len(w.polls) < maxPolls {
		w.Log.Debug("discovery answer overdue: starting a second poll")
		w.dial(0)
	}
}

// handleFailure ends a failed poll, and starts a backoff unless another poll is pending.
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

// timing returns the timeouts of immediate polls.
func (w *Watcher) timing() timing {
	if w.PushGrace > 0 {
		return pushTiming(w.PushGrace)
	}
	return pollTiming
}

// retry polls after a backoff. It asks for an immediate answer, to find out at once whether discovery
// answers.
func (w *Watcher) retry() {
	if w.transition(watchBackoffOver) {
		w.dial(0)
	}
}

func (w *Watcher) removePoll(p *poll, keepConn bool) {
	p.close(keepConn)
	w.polls = slices.DeleteFunc(w.polls, func(other *poll) bool { return other == p })
}

// abandonPolls ends all polls in flight, and the backoff.
func (w *Watcher) abandonPolls() {
	w.backoffTimer.Stop()
	for _, p := range w.polls {
		p.close(false)
	}
	w.polls = nil
}
