package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are the channels on which this process receives signals. Each kind has a channel of its
// own, so that neither delays the other. A channel buffers one signal, which also covers later ones
// of its kind.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals subscribes to the signals, whose default action is to end the process.
func catchSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// release restores the default actions of the signals.
func (s *signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// stopping reports whether SIGTERM or SIGINT is pending.
func (s *signals) stopping() bool { return len(s.stop) > 0 }
