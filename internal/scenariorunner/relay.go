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
	name                               string
	index, zone                        int
	dir                                string
	listen, operator, peers, discovery string
	record, calls                      string            // of the fleet
	reach                              map[string]string // the voters, by name

	idlers   idlers
	troubles int
	readied  int           // the last of its starts that was ready
	began    time.Duration // when its process started
	held     int           // descriptors, when it was ready for the first time

	cmd    *exec.Cmd
	done   chan struct{}
	how    string // it ended
	wanted bool   // its end
	starts int
	cpu    float64 // of processes that have ended
	memory float64 // MB, the most of any
	bytes  int     // to other relays
}

// configure writes its files.
func (n *relay) configure() error {
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
	c["settings"], c["name"], c["listen"], c["operator"], c["discovery"] = settings, n.name, n.listen, n.operator, n.discovery
	c["seed"] = fmt.Sprintf("%x", n.plan.Seed+uint64(n.index)*7919+uint64(n.starts))
	list := n.disc.Snapshot(nil) // outside the lock of door
	for i, e := range list.Instances {
		list.Instances[i].Addr = n.door(n.name, e)
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
			voters[o.name] = o.record
		}
		p["listen"], p["calls"], p["dir"], p["voters"], p["reach"] = n.record, n.calls, filepath.Join(n.dir, "state", "record"), voters, n.reach
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
			addr := o.peers
			if w := n.ways[[2]string{n.name, o.name}]; w != nil {
				addr = w.udp.Addr()
				reach[o.name] = addr
				w.udp.SetTarget(o.peers)
			}
			if len(known) < 3 {
				known = append(known, addr)
			}
		}
		p["listen"], p["known"], p["reach"], p["key_file"] = n.peers, known, reach, "key"
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
	n.cmd, n.done, n.how, n.wanted = cmd, done, "", false
	n.starts++
	n.began = n.now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.with(func(at time.Duration) {
			n.how = "with no error"
			if err != nil {
				n.how = err.Error()
			}
			n.cpu += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
			ordered := cmd.ProcessState.ExitCode() == rollout.ExitOrderedRestart
			if ordered && !n.closing {
				go n.host()
			}
			if !n.wanted && !n.closing && !ordered {
				n.judge.RelayCrashed(at, n.name, n.how)
			}
		})
		close(done)
	}()
	return nil
}

// endedByMember says how its process ended, "" while it runs.
func (n *relay) ended() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.how
}

// remember keeps what the process has used, before it is ended. What the system tells of an ended one includes what its parent held.
func (n *relay) remember() {
	_, memory, bytes := n.look()
	n.mu.Lock()
	n.memory, n.bytes = max(n.memory, memory), n.bytes+bytes
	n.mu.Unlock()
}

// signal sends one to the process if it runs. Wanted: its end is meant.
func (n *relay) signal(s syscall.Signal, wanted bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.how != "" {
		return false
	}
	n.wanted = n.wanted || wanted
	return n.cmd.Process.Signal(s) == nil
}

// prepare has the next process find no state, or an older one.
func (n *relay) prepare(s scenario.Step) error {
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

// change merges into its configuration file, which the process reads on SIGHUP and the next one at its start.
func (n *relay) change(body json.RawMessage) error {
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

// trouble has a test program's wall clock be off and its system calls fail as the text says; nothing ends that.
func (n *relay) trouble(text json.RawMessage) error {
	n.troubles++
	t := map[string]any{}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &t); err != nil {
			return err
		}
	}
	t["number"] = n.troubles
	whole, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(n.dir, "trouble"), whole)
}

// descriptors is how many its process holds.
func (n *relay) descriptors() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// look reads what the process has used so far and what it has sent to others.
func (n *relay) look() (cpu, memory float64, bytes int) {
	n.mu.Lock()
	cpu, memory, bytes = n.cpu, n.memory, 0
	cmd, runs := n.cmd, n.how == ""
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
		for _, p := range n.account() {
			bytes += p.Out
		}
	}
	return cpu, memory, bytes
}

func lastParen(text []byte) int { return bytes.LastIndexByte(text, ')') + 1 }

// seen is what a relay says of another.
type seen struct {
	Name, State string
	Out         int `json:"bytes_out"`
}

// account asks the relay what it knows of the others.
func (n *relay) account() []seen {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.operator + "/-/peers")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<22))
	var said struct{ Peers []seen }
	json.Unmarshal(text, &said)
	return said.Peers
}

// finish ends the process, in peace first.
func (n *relay) finish() {
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
