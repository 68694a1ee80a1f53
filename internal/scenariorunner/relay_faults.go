package scenariorunner

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"dahliarudder/internal/scenario"
)

// applyToRelay applies a step to a relay.
func (r *run) applyToRelay(n *relay, s scenario.Step) {
	switch s.Action {
	case scenario.ActionKill:
		n.recordUsage()
		r.relayDown(n)
		n.signal(syscall.SIGKILL, true)
	case scenario.ActionTerminate:
		r.terminate(n, s.SignalSeries)
	case scenario.ActionStart:
		r.background.start(func(context.Context) { n.startAgain(s) })
	case scenario.ActionStop:
		r.relayDown(n)
		n.signal(syscall.SIGSTOP, false)
	case scenario.ActionPause: // not excused: a pause this short must not affect clients
		n.signal(syscall.SIGSTOP, false)
	case scenario.ActionContinue:
		r.continueRelay(n, s)
	case scenario.ActionOpenIdle:
		r.openIdleConns(n, s.IdleConnections)
	case scenario.ActionCloseIdle:
		r.closeIdleConns(n)
	default:
		r.configureRelay(n, s)
	}
}

// configureRelay applies a step that changes a relay's files or calls its API.
func (r *run) configureRelay(n *relay, s scenario.Step) {
	switch s.Action {
	case scenario.ActionCall:
		r.background.start(func(ctx context.Context) { r.operatorCall(ctx, n, s) })
	case scenario.ActionCopyState:
		if err := n.copyState(); err != nil {
			r.Progress("relay %s: cannot copy the state directory: %v\n", n.name, err)
		}
	case scenario.ActionConfigure:
		if err := n.patchConfig(s.Body); err != nil {
			r.Progress("relay %s: cannot patch the configuration: %v\n", n.name, err)
			return
		}
		n.signal(syscall.SIGHUP, false)
	case scenario.ActionSystemFaults, scenario.ActionEndSystemFaults:
		if s.Action == scenario.ActionEndSystemFaults {
			s.Body = nil
		}
		if err := n.setSystemFaults(s.Body); err != nil {
			r.Progress("relay %s: cannot set the system faults: %v\n", n.name, err)
		}
	}
}

// relayDown records that a relay stops answering now.
func (r *run) relayDown(n *relay) {
	r.locked(func(at time.Duration) {
		r.judge.BeginExcuse(at, n.name)
		r.peerViews.relayDown(at, n.name)
	})
}

// continueRelay sends SIGCONT to a stopped or paused relay.
func (r *run) continueRelay(n *relay, s scenario.Step) {
	n.signal(syscall.SIGCONT, false)
	if s.Fault >= 0 && r.File.Faults[s.Fault].Action == scenario.ActionPause {
		return
	}
	r.locked(func(at time.Duration) {
		r.judge.EndExcuse(at+wakeUpExcuse, n.name)
		r.peerViews.relayUp(at, n.name)
	})
}

// startAgain waits until a relay's process has ended, and starts the next one.
func (n *relay) startAgain(s scenario.Step) {
	<-n.done
	if err := n.prepareState(s); err != nil {
		n.Progress("relay %s: cannot prepare the state directory for its next start: %v\n", n.name, err)
	}
	n.restart()
}

// restart starts the next process of a relay that has ended, unless the run is over.
func (n *relay) restart() {
	n.locked(func(at time.Duration) {
		n.judge.EndExcuse(at, n.name)
		n.judge.RelayRestarted(n.name)
		n.peerViews.relayUp(at, n.name)
	})
	n.mu.Lock()
	closing := n.closing
	n.mu.Unlock()
	if closing {
		return
	}
	if err := n.start(); err != nil {
		n.locked(func(at time.Duration) { n.judge.RelayCrashed(at, n.name, err.Error()) })
	}
}

const (
	// frontRemovalDelay is how long after SIGTERM the front still assigns clients to the relay; the
	// protocol specifies 0.2 to 0.4 s.
	frontRemovalDelay = 300 * time.Millisecond
	// SIGKILL follows SIGTERM after the longest deadline of a class, limited to maxCountedDeadline,
	// plus killMargin.
	maxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	seriesInterval     = 50 * time.Millisecond
)

// signalSeries are the signals sent after the SIGTERM of a step that has the series option.
var signalSeries = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP}

// terminate sends SIGTERM, and SIGKILL at the earliest time that the protocol allows. Nothing is
// excused: the judge expects an answer to every request that the relay has accepted, and MOVE before
// the end of each flow.
func (r *run) terminate(n *relay, series bool) {
	n.recordUsage()
	n.signal(syscall.SIGTERM, true)
	kill := time.AfterFunc(r.killAfter(), func() { n.signal(syscall.SIGKILL, true) })
	if series {
		r.background.start(func(context.Context) {
			for _, s := range signalSeries {
				time.Sleep(seriesInterval)
				n.signal(s, true)
			}
		})
	}
	r.background.start(func(context.Context) {
		time.Sleep(frontRemovalDelay)
		r.front.remove(n.name)
		<-n.done
		kill.Stop()
		r.locked(func(at time.Duration) { r.peerViews.relayDown(at, n.name) })
	})
}

// killAfter returns the shortest time after SIGTERM at which SIGKILL is allowed.
func (r *run) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.settings.Policy().Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// idleDialTimeout is how long opening one idle connection may take. After the first failure no more
// are opened.
const idleDialTimeout = time.Second

// openIdleConns opens connections to a relay on which nothing is sent.
func (r *run) openIdleConns(n *relay, count int) {
	r.locked(func(at time.Duration) { r.judge.BeginIdleFlood(at, n.name) })
	r.background.start(func(context.Context) {
		for range count {
			c, err := net.DialTimeout("tcp", n.listenAddr, idleDialTimeout)
			if err != nil {
				return
			}
			n.idleConns.add(c)
		}
	})
}

// closeIdleConns closes the connections that openIdleConns opened.
func (r *run) closeIdleConns(n *relay) {
	n.idleConns.closeAll()
	r.locked(func(at time.Duration) { r.judge.EndIdleFlood(at+wakeUpExcuse, n.name) })
}

// idleConns holds connections on which nothing is sent.
type idleConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (i *idleConns) add(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns = append(i.conns, c)
}

func (i *idleConns) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		c.Close()
	}
	i.conns = nil
}
