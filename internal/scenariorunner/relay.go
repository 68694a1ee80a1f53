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

// relay is one relay with its current process. The fields of the process are guarded by the run's
// lock.
type relay struct {
	*run
	name        string
	index, zone int
	dir         string

	listenAddr, operatorAddr, gossipAddr, discoveryAddr string
	consensusAddr, fleetAddr                            string            // used only with a fleet
	voterAddrs                                          map[string]string // by voter name; used only with a fleet

	idleConns           idleConns
	systemFaultsVersion int           // number of times the system faults were set
	lastReadyStart      int           // the value of starts at which the relay was last ready
	processStartedAt    time.Duration // when the current process was started
	initialDescriptors  int           // open descriptors when the relay was first ready

	cmd          *exec.Cmd
	done         chan struct{} // closed when the process ends
	exitStatus   string        // how the process ended; "" while it runs
	exitExpected bool          // the runner has ended the process, so its exit is no crash
	starts       int
	endedCPU     float64 // seconds used by the processes that have ended
	peakMemory   float64 // MB, the highest of the processes whose usage was recorded
	gossipBytes  int     // sent to other relays by the processes whose usage was recorded
}

// Names of files and directories in a relay's directory.
const (
	configFile       = "config.json"
	logFile          = "log"
	gossipKeyFile    = "key"
	stateDir         = "state"
	stateCopyDir     = "old"
	systemFaultsFile = "fault-plan"
)

// start starts a process of the relay.
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
		"RELAY_FAULT_PLAN="+n.path(systemFaultsFile)) // read by test binaries that run as the relay
	// A process group of its own keeps Ctrl-C from the relays: the runner stops them itself.
	// Pdeathsig ends them if the runner dies.
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

// recordExit records the end of a process. A relay that exited with ExitOrderedRestart is restarted;
// any other exit that the runner did not cause is reported as a crash.
func (n *relay) recordExit(cmd *exec.Cmd, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitStatus = "exit status 0"
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

// restartAfterExit restarts a relay that has exited to be restarted, as a service manager does.
func (n *relay) restartAfterExit(ctx context.Context) {
	n.relayDown(n)
	if sleep(ctx, scenario.Millis(n.File.Relays.RestartDelayMs)) {
		n.restart()
	}
}

// exitReason returns how the process ended, or "" while it runs.
func (n *relay) exitReason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitStatus
}

// signal sends a signal to the process if it runs, and returns whether it was sent. With expectExit,
// a later exit of the process is not reported as a crash.
func (n *relay) signal(s syscall.Signal, expectExit bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.exitStatus != "" {
		return false
	}
	n.exitExpected = n.exitExpected || expectExit
	return n.cmd.Process.Signal(s) == nil
}

// stopTimeout is how long a process may take to exit after SIGTERM at the end of the run.
const stopTimeout = 5 * time.Second

// stopGracefully ends the process with SIGTERM, and with SIGKILL if it has not exited within
// stopTimeout.
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
