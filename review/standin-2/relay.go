package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"dahliarudder/internal/fakes"
)

// object is a JSON object of a configuration.
type object = map[string]any

// settings returns settings like those of a deployment with a few relays: three classes, three
// tenants, one zone.
func settings(relays int) object {
	return object{
		"balancers": relays,
		"classes": []object{
			{"name": "pay-status", "aim-ms": 500, "deadline-ms": 3000, "worth": 3, "effect": "read_like", "key-scope": "all", "window-ms": 0},
			{"name": "payee-check", "aim-ms": 500, "deadline-ms": 2000, "worth": 5, "effect": "read_like", "key-scope": "all", "window-ms": 0},
			{"name": "balance-poll", "aim-ms": 300, "deadline-ms": 1200, "worth": 1, "effect": "read_like", "key-scope": "all", "window-ms": 0},
		},
		"discovery": "subscribe",
		"extra": object{"groups": false, "message-aim-ms": []int{250, 100, 50}, "mode": "proxy",
			"tenant-quota-connections": []int{78, 78, 65}},
		"guarantees": object{"answer-slack-ms": 8, "ask-within-ms": 10000, "cold-from": 0.31, "cold-ms": 8600,
			"drain-grace-ms": 250, "fall-ms": 3000, "overload-factor": 2.5},
		"host-types": []string{"fast-pair"},
		"limits": object{"cancel": true, "connect-timeout-ms": 250, "keepalive-ms": 5000, "max-attempts": 3,
			"max-retry-after-ms": 1500, "probes": true},
		"prices":  object{"cross-zone": 0.01, "probe": 0.0014},
		"report":  object{"names": []string{"x0", "x1", "outstanding"}, "source": "on_probe"},
		"tenants": []object{{"name": "water", "share": 0.4}, {"name": "waste", "share": 0.3}, {"name": "harbour", "share": 0.3}},
		"zone":    0, "zones": []string{"kirkton"},
	}
}

// relay is a relay's configuration and its processes.
type relay struct {
	play     *play
	name     string
	listen   string
	operator string
	config   object
	tmp      string // TMPDIR of its processes
}

// process is one process of a relay.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	status string
}

// newRelay returns a relay whose configuration may still be extended.
func newRelay(p *play, name, discovery string, relays int) (*relay, error) {
	r := &relay{play: p, name: name, listen: freeAddr(), operator: freeAddr(), tmp: filepath.Join(p.dir, "tmp-"+name)}
	r.config = object{"name": name, "listen": r.listen, "operator": r.operator, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings(relays)}
	return r, os.MkdirAll(r.tmp, 0o700)
}

// usedPorts are those that freeAddr has returned.
var usedPorts = map[string]bool{}

// relayHost is the loopback address at which the relays of this run listen. Connections that others
// make do not start from it, so they cannot take a port that freeAddr has returned.
var relayHost = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(250))

// freeAddr returns a free TCP and UDP address of the loopback.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp4", relayHost+":0")
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp4", addr)
		l.Close()
		if err == nil {
			u.Close()
		}
		if err == nil && !usedPorts[addr] {
			usedPorts[addr] = true
			return addr
		}
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// run starts a process of the relay with the command `run` of the deploy file. suffix tells the files
// of its processes apart; change, if not nil, changes this process's copy of the configuration.
func (r *relay) run(suffix string, change func(object)) (*process, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, unusable("%v", err)
	}
	command := runLine.FindSubmatch(text)
	if command == nil {
		return nil, unusable("the deploy file has no line run")
	}
	if _, err := os.Stat("bin/dahliarudder"); err != nil {
		return nil, unusable("the program is not built: %v", err)
	}
	config := object{}
	for k, v := range r.config {
		config[k] = v
	}
	if change != nil {
		change(config)
	}
	encoded, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.play.dir, r.name+suffix+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", string(command[1]))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.tmp, "EDGE_CONFIG=" + path}
	cmd.Stdout = &lineLogger{play: r.play, prefix: r.name + suffix + ": "}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, unusable("%v", err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	r.play.logf("started %s%s", r.name, suffix)
	go func() {
		cmd.Wait()
		p.status = cmd.ProcessState.String()
		r.play.logf("%s%s ended: %s", r.name, suffix, p.status)
		close(p.exited)
	}()
	r.play.atEnd(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
	return p, nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// lineLogger copies a process's log into the record.
type lineLogger struct {
	play   *play
	prefix string
	rest   []byte
}

func (l *lineLogger) Write(b []byte) (int, error) {
	l.rest = append(l.rest, b...)
	for {
		end := bytes.IndexByte(l.rest, '\n')
		if end < 0 {
			return len(b), nil
		}
		l.play.logf("%s%s", l.prefix, l.rest[:end])
		l.rest = l.rest[end+1:]
	}
}

// call makes one call at an operators' address and returns its status.
func call(method, addr, path string, timeout time.Duration) (status int, body string, err error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), nil
}

// awaitReady waits until a relay answers that it is ready.
func awaitReady(p *process, operator string, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.hasEnded() {
			return unusable("a relay has ended before it was ready: %s", p.status)
		}
		if status, _, err := call("GET", operator, "/-/ready", time.Second); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return unusable("a relay was not ready within %v", timeout)
}

// pool is discovery with its members.
type pool struct {
	discovery *fakes.Discovery
	members   []*member
}

// newPool starts members s1, s2, ... and discovery.
func newPool(p *play, count int) (*pool, error) {
	s := &pool{}
	var entries []fakes.Entry
	for i := range count {
		m, err := newMember(p, fmt.Sprintf("s%d", i+1))
		if err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
		entries = append(entries, fakes.Entry{ID: m.id, Zone: "kirkton", Kind: "fast-pair", Lifecycle: fakes.Serving, Weight: 1})
	}
	s.discovery = fakes.NewDiscovery(entries...)
	p.atEnd(s.discovery.Close)
	return s, nil
}

// openFor returns discovery's address for one relay, which reaches the members at addresses of its own.
func (s *pool) openFor(relay string) (string, error) {
	addrs := map[string]string{}
	for _, m := range s.members {
		addr, err := m.openFor(relay)
		if err != nil {
			return "", err
		}
		addrs[m.id] = addr
	}
	return s.discovery.Open(relay, func(e fakes.Entry) string { return addrs[e.ID] })
}

// clientAnswer is what a client got for its request.
type clientAnswer struct {
	id, answer string
	err        error
}

var errNoAnswer = errors.New("no answer")

// open makes a client's request at a relay, and returns its answer. A connection that was served is
// held for the given time and then ended.
func open(addr, id, class string, hold time.Duration) clientAnswer {
	out := clientAnswer{id: id}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	fmt.Fprintf(c, "OPEN %s %s c=%s,t=water,d=2000,h=2\r\n", id, id, class)
	c.SetReadDeadline(time.Now().Add(4 * time.Second))
	line, err := readLine(c)
	if err != nil {
		out.err = fmt.Errorf("%w: %w", errNoAnswer, err)
		return out
	}
	if out.answer = line; strings.HasPrefix(line, "UP") {
		time.Sleep(hold)
		fmt.Fprint(c, "END\r\n")
		c.SetReadDeadline(time.Now().Add(time.Second))
		io.ReadAll(c)
	}
	return out
}

// readLine reads one line byte by byte, so that nothing behind it is lost.
func readLine(c net.Conn) (string, error) {
	var line []byte
	for b := make([]byte, 1); ; {
		if _, err := c.Read(b); err != nil {
			return string(line), err
		}
		if b[0] == '\n' {
			return strings.TrimSuffix(string(line), "\r"), nil
		}
		line = append(line, b[0])
	}
}

// within reports whether a condition becomes true in time.
func within(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
