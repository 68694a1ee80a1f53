package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals is what the system tells this process. Each kind has a channel of its own, in which one waits at most: a
// signal that is not heeded yet stands for all that come after it, and none keeps the other kind from being heard.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals takes signals over from the system, by whose defaults each ends the process.
func catchSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// release leaves signals to the system again.
func (s *signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// stopping says that the process was told to end.
func (s *signals) stopping() bool { return len(s.stop) > 0 }
