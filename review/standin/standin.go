// Package standin holds what the review's cases share: the start of relays as separate processes, the
// record of a run, and small clients and servers that follow the operators' pages.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotRun    = 2
	processesWait = 5 * time.Second
)

// Case is one run of a case.
type Case struct {
	Root    string // of the repository
	Dir     string // temporary folder of this run
	Trouble bool   // whether the disruption takes place

	started time.Time
	mu      sync.Mutex
	record  *os.File
	relays  []*Relay
	broken  []string
}

// New starts a run of the case in review/name, and its record.txt. The working directory has to be the
// root of the repository.
func New(name string) *Case {
	root, err := os.Getwd()
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	c.Must(err)
	c.record, err = os.Create(filepath.Join(root, "review", name, "record.txt"))
	c.Must(err)
	c.Dir, err = os.MkdirTemp("", "review-"+name+"-")
	c.Must(err)
	c.Logf("case %s, disruption %v", name, c.Trouble)
	return c
}

// Logf adds a line to the record.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// Broken notes that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Logf("RULE BROKEN: "+format, args...)
	c.mu.Lock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
	c.mu.Unlock()
}

// Must ends the run as one that could not take place if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.NotRun("%v", err)
	}
}

// NotRun ends the run as one that could not take place.
func (c *Case) NotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c.record != nil {
		c.Logf("NOT RUN: %s", text)
	}
	fmt.Println("not run:", text)
	c.end(exitNotRun)
}

// Finish ends the run with its verdict.
func (c *Case) Finish() {
	if len(c.broken) > 0 {
		c.Logf("verdict: broken, %d times", len(c.broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(c.broken), c.broken[0])
		c.end(exitBroken)
	}
	c.Logf("verdict: held")
	fmt.Println("held")
	c.end(exitHeld)
}

// end ends all processes that the run has started, and the run.
func (c *Case) end(code int) {
	for _, r := range c.relays {
		r.Signal(syscall.SIGKILL)
		r.WaitEnd(processesWait)
	}
	if c.Dir != "" {
		os.RemoveAll(c.Dir)
	}
	if c.record != nil {
		c.record.Close()
	}
	os.Exit(code)
}

// FreeAddr returns a loopback address whose port is free.
func (c *Case) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Config reads a configuration of the repository, as a tree that the case may change.
func (c *Case) Config(path string) map[string]any {
	text, err := os.ReadFile(filepath.Join(c.Root, path))
	c.Must(err)
	var tree map[string]any
	c.Must(json.Unmarshal(text, &tree))
	return tree
}

// Relay is a process of the project's program.
type Relay struct {
	c     *Case
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// WriteConfig writes a configuration into the run's folder.
func (c *Case) WriteConfig(name string, config map[string]any) string {
	text, err := json.MarshalIndent(config, "", " ")
	c.Must(err)
	path := filepath.Join(c.Dir, name+".json")
	c.Must(os.WriteFile(path, text, 0o600))
	return path
}

// StartRelay starts a relay by the run line of the deploy file. tmp is its $TMPDIR; an empty one is made
// if it is empty. env are further variables. Its log goes to the record.
func (c *Case) StartRelay(name, config, tmp string, env ...string) *Relay {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		c.NotRun("the deploy file has no run line")
	}
	if tmp == "" {
		tmp, err = os.MkdirTemp(c.Dir, "tmp-")
		c.Must(err)
	}
	r := &Relay{c: c, name: name, cmd: exec.Command("/bin/sh", "-c", string(run[1])), ended: make(chan struct{})}
	r.cmd.Dir = c.Root
	r.cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+config, "TMPDIR="+tmp), env...)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r.cmd.Stdout, r.cmd.Stderr = (*logWriter)(r), (*logWriter)(r)
	c.Must(r.cmd.Start())
	c.relays = append(c.relays, r)
	c.Logf("%s: started as process %d", name, r.cmd.Process.Pid)
	go func() {
		err := r.cmd.Wait()
		c.Logf("%s: process %d ended: %v", name, r.cmd.Process.Pid, err)
		close(r.ended)
	}()
	return r
}

// logWriter writes a relay's log to the record.
type logWriter Relay

// Write implements io.Writer.
func (w *logWriter) Write(b []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimRight(string(b), "\n"), "\n") {
		w.c.Logf("%s says: %s", w.name, line)
	}
	return len(b), nil
}

// Pid returns the id of the relay's process.
func (r *Relay) Pid() int { return r.cmd.Process.Pid }

// Signal sends a signal to the relay, if it still runs.
func (r *Relay) Signal(s syscall.Signal) {
	if !r.HasEnded() {
		r.c.Logf("%s: %v to process %d", r.name, s, r.Pid())
		r.cmd.Process.Signal(s)
	}
}

// HasEnded reports whether the relay's process has ended.
func (r *Relay) HasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// WaitEnd waits until the relay's process has ended, and reports whether it has in time.
func (r *Relay) WaitEnd(atMost time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(atMost):
		return false
	}
}

// WaitFor waits until ready returns true, and reports whether it did in time.
func WaitFor(atMost time.Duration, ready func() bool) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ready() {
			return true
		}
	}
	return false
}
