package scenariorunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dahliarudder/internal/atomicfile"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/scenario"
)

// userHertz is the unit of processor time in /proc.
const userHertz = 100

// relay is one process of the program, and those that come after it under its name.
type relay struct {
	*run
	name                                                string
	index, zone                                         int
	dir                                                 string
	listenAddr, operatorAddr, gossipAddr, discoveryAddr string
	consensusAddr, fleetAddr                            string            // of the fleet
	voterAddrs                                          map[string]string // the voters, by name

	idleConns          idleConns
	systemFaults       int
	readyStart         int           // the last of its starts that was ready
	began              time.Duration // when its process started
	initialDescriptors int           // descriptors, when it was ready for the first time

	cmd          *exec.Cmd
	done         chan struct{}
	exitStatus   string // it ended
	exitExpected bool   // its end
	starts       int
	endedCPU     float64 // of processes that have ended
	peakMemory   float64 // MB, the most of any
	gossipBytes  int     // to other relays
}

// writeConfig writes its files.
func (n *relay) writeConfig() error {
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	c := map[string]any{}
	for k, v := range n.config {
		c[k] = v
	}
	settings := map[string]json.RawMessage{}
	if err := json.Unmarshal(n.config["settings"], &settings); err != nil {
		return err
	}
	settings["balancers"], _ = json.Marshal(n.File.Relays.Count)
	settings["zone"], _ = json.Marshal(n.zone)
	settings["me"], _ = json.Marshal(n.index)
	c["settings"], c["name"], c["listen"], c["operator"], c["discovery"] = settings, n.name, n.listenAddr, n.operatorAddr, n.discoveryAddr
	c["seed"] = fmt.Sprintf("%x", n.plan.Seed+uint64(n.index)*7919+uint64(n.starts))
	list := n.discovery.Snapshot(nil) // outside the lock of door
	for i, e := range list.Instances {
		list.Instances[i].Addr = n.memberAddr(n.name, e)
	}
	c["known"] = list   // later starts hold what the first one held: a list that may be old
	delete(c, "store")  // what is rehearsed is not put on record
	delete(c, "fronts") // clients speak the line protocol
	if _, on := c["state"]; on {
		st := map[string]any{}
		json.Unmarshal(n.config["state"], &st)
		st["dir"] = filepath.Join(n.dir, "state") // never the operator's own
		c["state"] = st
	}
	if _, on := c["fleet"]; on {
		p := map[string]any{}
		json.Unmarshal(n.config["fleet"], &p)
		voters := map[string]string{}
		for _, o := range n.relays[:min(n.File.Relays.Voters, len(n.relays))] {
			voters[o.name] = o.consensusAddr
		}
		p["listen"], p["calls"], p["dir"], p["voters"], p["reach"] = n.consensusAddr, n.fleetAddr, filepath.Join(n.dir, "state", "record"), voters, n.voterAddrs
		c["fleet"] = p
	}
	if _, on := c["peers"]; on {
		p := map[string]any{}
		json.Unmarshal(n.config["peers"], &p)
		reach, known := map[string]string{}, []string{}
		for _, o := range n.relays {
			if o == n {
				continue
			}
			addr := o.gossipAddr
			if w := n.links[scenario.Link{From: n.name, To: o.name}]; w != nil {
				addr = w.udp.Addr()
				reach[o.name] = addr
				w.udp.SetTarget(o.gossipAddr)
			}
			if len(known) < 3 {
				known = append(known, addr)
			}
		}
		p["listen"], p["known"], p["reach"], p["key_file"] = n.gossipAddr, known, reach, "key"
		delete(p, "address")
		c["peers"] = p
		if err := os.WriteFile(filepath.Join(n.dir, "key"), []byte("a key that lives as long as the rehearsal does\n"), 0o600); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "config.json"), text, 0o600)
}

// start begins a process.
func (n *relay) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	state := filepath.Join(n.dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	cmd := exec.Command(n.program, "serve", "--config", filepath.Join(n.dir, "config.json"))
	cmd.Stderr, cmd.Stdout, cmd.Dir = log, log, state
	cmd.Env = append(os.Environ(), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_CONFIG=", "EDGE_OPERATOR=", "TMPDIR="+state,
		"RELAY_TROUBLE="+filepath.Join(n.dir, "trouble")) // read by test programs that start themselves as the relay
	// A group of its own: Ctrl-C is for the rehearsal, which ends them itself; and they never outlive it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.exitStatus, n.exitExpected = cmd, done, "", false
	n.starts++
	n.began = n.now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.locked(func(at time.Duration) {
			n.exitStatus = "with no error"
			if err != nil {
				n.exitStatus = err.Error()
			}
			n.endedCPU += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
			ordered := cmd.ProcessState.ExitCode() == rollout.ExitOrderedRestart
			if ordered && !n.closing {
				go n.restartAfterExit()
			}
			if !n.exitExpected && !n.closing && !ordered {
				n.judge.RelayCrashed(at, n.name, n.exitStatus)
			}
		})
		close(done)
	}()
	return nil
}

// endedByMember says how its process ended, "" while it runs.
func (n *relay) exitReason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitStatus
}

// recordUsage keeps what the process has used, before it is ended. What the system tells of an ended one includes what its parent held.
func (n *relay) recordUsage() {
	_, memory, bytes := n.readUsage()
	n.mu.Lock()
	n.peakMemory, n.gossipBytes = max(n.peakMemory, memory), n.gossipBytes+bytes
	n.mu.Unlock()
}

// signal sends one to the process if it runs. Wanted: its end is meant.
func (n *relay) signal(s syscall.Signal, wanted bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.exitStatus != "" {
		return false
	}
	n.exitExpected = n.exitExpected || wanted
	return n.cmd.Process.Signal(s) == nil
}

// prepareState has the next process find no state, or an older one.
func (n *relay) prepareState(s scenario.Step) error {
	state, old := filepath.Join(n.dir, "state"), filepath.Join(n.dir, "old")
	switch {
	case s.LoseState:
		return os.RemoveAll(state)
	case s.OldState:
		if err := os.RemoveAll(state); err != nil {
			return err
		}
		return os.CopyFS(state, os.DirFS(old))
	}
	return nil
}

// copyState keeps the state as it is now, for a later start. A process may be writing it: so may one be whose disk was copied.
func (n *relay) copyState() error {
	old := filepath.Join(n.dir, "old")
	if err := os.RemoveAll(old); err != nil {
		return err
	}
	return os.CopyFS(old, os.DirFS(filepath.Join(n.dir, "state")))
}

// patchConfig merges into its configuration file, which the process reads on SIGHUP and the next one at its start.
func (n *relay) patchConfig(body json.RawMessage) error {
	path := filepath.Join(n.dir, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if text, err = scenario.MergePatch(text, body); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// setSystemFaults has a test program's wall clock be off and its system calls fail as the text says; nothing ends that.
func (n *relay) setSystemFaults(text json.RawMessage) error {
	n.systemFaults++
	t := map[string]any{}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &t); err != nil {
			return err
		}
	}
	t["number"] = n.systemFaults
	whole, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(n.dir, "trouble"), whole)
}

// openDescriptors is how many its process holds.
func (n *relay) openDescriptors() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// readUsage reads what the process has used so far and what it has sent to others.
func (n *relay) readUsage() (cpu, memory float64, bytes int) {
	n.mu.Lock()
	cpu, memory, bytes = n.endedCPU, n.peakMemory, 0
	cmd, runs := n.cmd, n.exitStatus == ""
	_, peers := n.config["peers"]
	n.mu.Unlock()
	if cmd == nil || !runs {
		return cpu, memory, 0
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid)); err == nil {
		if f := strings.Fields(string(text[lastParen(text):])); len(f) > 12 {
			user, _ := strconv.ParseFloat(f[11], 64)
			system, _ := strconv.ParseFloat(f[12], 64)
			cpu += (user + system) / userHertz
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid)); err == nil {
		for _, l := range strings.Split(string(text), "\n") {
			if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
				memory = max(memory, kb/1024)
			}
		}
	}
	if peers {
		for _, p := range n.peerStates() {
			bytes += p.Out
		}
	}
	return cpu, memory, bytes
}

func lastParen(text []byte) int { return bytes.LastIndexByte(text, ')') + 1 }

// peerState is what a relay says of another.
type peerState struct {
	Name, State string
	Out         int `json:"bytes_out"`
}

// peerStates asks the relay what it knows of the others.
func (n *relay) peerStates() []peerState {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.operatorAddr + "/-/peers")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<22))
	var said struct{ Peers []peerState }
	json.Unmarshal(text, &said)
	return said.Peers
}

// stopGracefully ends the process, in peace first.
func (n *relay) stopGracefully() {
	if n.done == nil {
		return
	}
	n.signal(syscall.SIGCONT, true)
	n.signal(syscall.SIGTERM, true)
	select {
	case <-n.done:
	case <-time.After(5 * time.Second):
		n.signal(syscall.SIGKILL, true)
		<-n.done
	}
}
