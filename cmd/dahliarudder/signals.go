package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are the channels on which this process receives signals. Each kind has a channel of its own that holds one: a pending signal
// stands for all that come after it, and neither kind delays the other.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals subscribes to the signals, whose default action would end the process.
func catchSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// release restores the default actions.
func (s *signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// stopping reports whether a signal to end is pending.
func (s *signals) stopping() bool { return len(s.stop) > 0 }
