package scenariorunner

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"dahliarudder/internal/rollout"
	"dahliarudder/internal/scenario"
)

// relay is one relay: its current process and those before it. The lock guards what belongs to the process.
type relay struct {
	*run
	name        string
	index, zone int
	dir         string

	listenAddr, operatorAddr, gossipAddr, discoveryAddr string
	consensusAddr, fleetAddr                            string            // with a fleet
	voterAddrs                                          map[string]string // by name; with a fleet

	idleConns           idleConns
	systemFaultsVersion int           // how many times its system faults were set
	lastReadyStart      int           // the last of its starts that was ready
	processStartedAt    time.Duration // when its process started
	initialDescriptors  int           // when it was first ready

	cmd          *exec.Cmd
	done         chan struct{} // closed at the end of the process
	exitStatus   string        // how the process ended; "" while it runs
	exitExpected bool
	starts       int
	endedCPU     float64 // seconds, of the processes that have ended
	peakMemory   float64 // MB, of any process
	gossipBytes  int     // sent to other relays by the processes that have ended
}

// Names in a relay's directory.
const (
	configFile       = "config.json"
	logFile          = "log"
	gossipKeyFile    = "key"
	stateDir         = "state"
	stateCopyDir     = "old"
	systemFaultsFile = "fault-plan"
)

// start starts a process.
func (n *relay) start() error {
	log, err := os.OpenFile(n.path(logFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	state := n.path(stateDir)
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	cmd := exec.Command(n.program, "serve", "--config", n.path(configFile))
	cmd.Stderr, cmd.Stdout, cmd.Dir = log, log, state
	cmd.Env = append(os.Environ(), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_CONFIG=", "EDGE_OPERATOR=", "TMPDIR="+state,
		"RELAY_FAULT_PLAN="+n.path(systemFaultsFile)) // read by test programs that start themselves as the relay
	// A process group of its own: Ctrl-C is for the runner, which ends the relays itself. They never outlive it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.exitStatus, n.exitExpected = cmd, done, "", false
	n.starts++
	n.processStartedAt = n.now()
	n.mu.Unlock()
	go func() {
		defer close(done)
		n.recordExit(cmd, cmd.Wait())
	}()
	return nil
}

func (n *relay) path(name string) string { return filepath.Join(n.dir, name) }

// recordExit records the end of a process. A relay that ended in order to be restarted is restarted.
func (n *relay) recordExit(cmd *exec.Cmd, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitStatus = "with no error"
	if err != nil {
		n.exitStatus = err.Error()
	}
	n.endedCPU += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	restartOrdered := cmd.ProcessState.ExitCode() == rollout.ExitOrderedRestart
	if restartOrdered && !n.closing {
		n.background.start(n.restartAfterExit)
	}
	if !n.exitExpected && !n.closing && !restartOrdered {
		n.judge.RelayCrashed(n.now(), n.name, n.exitStatus)
	}
}

// restartAfterExit restarts, as a service manager does, a relay that has ended for that.
func (n *relay) restartAfterExit(ctx context.Context) {
	n.relayDown(n)
	if sleep(ctx, scenario.Millis(n.File.Relays.RestartDelayMs)) {
		n.restart()
	}
}

// exitReason is how the process ended; "" while it runs.
func (n *relay) exitReason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitStatus
}

// signal sends a signal to the process if it runs. With expectExit the end of the process is no crash.
func (n *relay) signal(s syscall.Signal, expectExit bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.exitStatus != "" {
		return false
	}
	n.exitExpected = n.exitExpected || expectExit
	return n.cmd.Process.Signal(s) == nil
}

// stopTimeout is how long a process may take to end after SIGTERM when the run is over.
const stopTimeout = 5 * time.Second

// stopGracefully ends the process, by SIGKILL if it does not end by SIGTERM.
func (n *relay) stopGracefully() {
	if n.done == nil {
		return
	}
	n.signal(syscall.SIGCONT, true)
	n.signal(syscall.SIGTERM, true)
	select {
	case <-n.done:
	case <-time.After(stopTimeout):
		n.signal(syscall.SIGKILL, true)
		<-n.done
	}
}
