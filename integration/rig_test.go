// Package integration starts the built program and speaks to it over sockets.
// The stand-ins for discovery and pool members are written here.
package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// patience is how long a test waits for what must come; only a failing test
// waits that long.
const patience = 30 * time.Second

var program string

// besides is how many tests that may run beside each other do so, on a machine with fewer cores too: they mostly wait for processes.
const besides = 4

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "test.parallel" })
	if !given && runtime.GOMAXPROCS(0) < besides {
		flag.Set("test.parallel", strconv.Itoa(besides))
	}
	dir, err := os.MkdirTemp("", "dahliarudder")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "dahliarudder")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "dahliarudder/cmd/dahliarudder")
	build.Env = append(os.Environ(), "CGO_ENABLED=1") // as the deploy file builds it
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// until waits for ok.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// listen serves connections to a new port of the loopback, each on its own.
func listen(t testing.TB, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

var ports struct {
	sync.Mutex
	host string
	hold net.Listener
	last int
}

const (
	ownFirst = 12000 // below what systems draw ports from
	ownPorts = 20000
)

// ownPort is an address for a relay that has to be known before it listens, or kept while it is down: nobody else is ever given it. Each
// run of the tests has an address of the loopback for itself, held by its first port, and gives no port there twice. Guards against a relay whose
// port was given to another meanwhile: where its peers' port is taken it neither tells nor hears, and serves all the same.
func ownPort(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for n := os.Getpid(); ports.hold == nil; n++ {
		if n-os.Getpid() == 1000 {
			t.Fatal("no address of the loopback is free")
		}
		ports.host = fmt.Sprintf("127.64.%d.%d", n/250%250, 1+n%250)
		ports.hold, _ = net.Listen("tcp", fmt.Sprintf("%s:%d", ports.host, ownFirst)) // until this process ends
	}
	for ports.last++; ports.last < ownPorts; ports.last++ {
		addr := fmt.Sprintf("%s:%d", ports.host, ownFirst+ports.last)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // somebody has it at all addresses
		}
		l.Close()
		if u, err := net.ListenPacket("udp", addr); err == nil {
			u.Close()
			return addr
		}
	}
	t.Fatal("all ports have been given out")
	return ""
}

// ---- Stand-ins ----

// member is an entry of discovery's list.
type member = fakes.Entry

// discovery is the stand-in for discovery, at one address.
type discovery struct {
	*fakes.Discovery
	addr string
}

func newDiscovery(t testing.TB, members ...member) *discovery {
	d := &discovery{Discovery: fakes.NewDiscovery(members...)}
	t.Cleanup(d.Close)
	d.addr = d.open(t)
	return d
}

// open has it served at one more address.
func (d *discovery) open(t testing.TB) string {
	t.Helper()
	addr, err := d.Open("", nil)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// backend is a pool member that bears everything.
type backend struct {
	*fakes.Member
	id string
}

func newBackend(t *testing.T, id string, c *fakes.AttemptCounter) *backend {
	b := &backend{fakes.NewMember(id), id}
	b.Attempts = c
	if _, err := b.Open(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.Kill()
		if bad := b.bad(); len(bad) > 0 {
			t.Errorf("%s got first lines that no client may send: %q", id, bad)
		}
	})
	return b
}

func (b *backend) member() member {
	return member{ID: b.id, Addr: b.Addr(), Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1}
}

func (b *backend) firstLines() []string {
	all, _ := b.FirstLines()
	return all
}

// bad are the first lines that no client may send.
func (b *backend) bad() []string {
	_, bad := b.FirstLines()
	return bad
}

// ---- The relay ----

const settingsText = `{"balancers":1,"zone":0,"zones":["a"],"host-types":["m1"],"me":0,
 "classes":[{"name":"pay-status","aim-ms":500,"deadline-ms":3000,"worth":3,"effect":"read_like","key-scope":"all","window-ms":0},
  {"name":"payee-check","aim-ms":500,"deadline-ms":2000,"worth":5,"effect":"read_like","key-scope":"all","window-ms":0}],
 "tenants":[{"name":"water","share":0.5},{"name":"waste","share":0.5}],
 "limits":{"probes":true,"max-attempts":3,"cancel":true,"connect-timeout-ms":250,"keepalive-ms":5000},
 "report":{"names":["x0","x1","outstanding"],"source":"on_probe"},"prices":{"probe":0.0014},
 "guarantees":{"answer-slack-ms":8,"cold-ms":8600,"cold-from":0.31,"overload-factor":2.5,"ask-within-ms":10000,"drain-grace-ms":250,"fall-ms":3000},
 "extra":{"mode":"proxy","groups":true,"message-aim-ms":[250,100]},"discovery":"subscribe"}`

// relay is the program, running.
type relay struct {
	t    testing.TB
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan error
	addr map[string]string // where each front listens
	path string            // of its configuration
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// configure writes a configuration; more holds further keys.
func configure(t testing.TB, d *discovery, more map[string]any) string {
	t.Helper()
	c := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": d.Snapshot(nil),
		"settings": json.RawMessage(settingsText)}
	for k, v := range more {
		c[k] = v
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, string(text))
	return path
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

var serving = regexp.MustCompile(`msg=serving front=(\w+) listen="([0-9.:]+)"`)

// start runs the program until it serves.
func start(t testing.TB, config string, fronts int) *relay {
	t.Helper()
	r := launch(t, config)
	r.serves(fronts)
	return r
}

// launch runs the program.
func launch(t testing.TB, config string) *relay {
	t.Helper()
	return launchProgram(t, program, config)
}

// launchProgram runs some program as the relay, with more variables in its environment.
func launchProgram(t testing.TB, path, config string, more ...string) *relay {
	t.Helper()
	r := &relay{t: t, cmd: exec.Command(path, "serve", "--config", config), log: &syncBuffer{},
		done: make(chan error, 1), addr: map[string]string{}, path: config}
	r.cmd.Stderr = r.log
	r.cmd.Env = append(os.Environ(), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_CONFIG=", "EDGE_OPERATOR=",
		"TMPDIR="+filepath.Dir(config)) // private, and shared by all that run with this file
	r.cmd.Env = append(r.cmd.Env, more...)
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { r.done <- r.cmd.Wait() }()
	t.Cleanup(func() {
		r.cmd.Process.Kill()
		if t.Failed() {
			t.Logf("the relay's log:\n%s", r.log)
		}
	})
	return r
}

// serves waits until so many fronts listen.
func (r *relay) serves(fronts int) {
	r.t.Helper()
	until(r.t, "the relay to serve", func() bool {
		for _, m := range serving.FindAllStringSubmatch(r.log.String(), -1) {
			r.addr[m[1]] = m[2]
		}
		select {
		case err := <-r.done:
			r.t.Fatalf("the relay has ended: %v", err)
		default:
		}
		return len(r.addr) == fronts
	})
}

// call is an operator's call; it returns the answer's status.
func (r *relay) call(method, path string) int {
	r.t.Helper()
	q, err := http.NewRequest(method, "http://"+r.addr["operator"]+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode
}

// put is a call that must be answered with yes.
func (r *relay) put(path string) {
	r.t.Helper()
	if code := r.call("PUT", path); code != 200 {
		r.t.Fatalf("PUT %s: %d", path, code)
	}
}

// reload puts new text in the place of parts of the configuration and sends
// SIGHUP.
func (r *relay) reload(oldnew ...string) {
	r.t.Helper()
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.t.Fatal(err)
	}
	write(r.t, r.path, strings.NewReplacer(oldnew...).Replace(string(text)))
	r.cmd.Process.Signal(syscall.SIGHUP)
}

// logged waits for a text in the log.
func (r *relay) logged(text string) {
	r.t.Helper()
	until(r.t, "the log to tell: "+text, func() bool { return strings.Contains(r.log.String(), text) })
}

// stop sends SIGTERM and waits for a clean end.
func (r *relay) stop() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Errorf("the relay ended with %v", err)
		}
	case <-time.After(patience):
		r.t.Fatal("the relay does not end")
	}
}

// ---- Clients ----

type client struct {
	t testing.TB
	net.Conn
	in  *bufio.Reader
	got string // its final answer, where that was noted
}

func (r *relay) dial() *client {
	r.t.Helper()
	return r.dialFront("line")
}

func (r *relay) dialFront(front string) *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr[front])
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{t: r.t, Conn: c, in: bufio.NewReader(c)}
}

// open sends a first line for request number n.
func (r *relay) open(n int, more string) *client {
	r.t.Helper()
	c := r.dial()
	c.say(fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=2900,g=%016x%s", n, n+1, n+2, more))
	return c
}

// hold opens so many flows.
func (r *relay) hold(n int) (held []*client) {
	r.t.Helper()
	for i := range n {
		c := r.open(i, "")
		c.want("UP ")
		held = append(held, c)
	}
	return held
}

// moved wants all of them to be asked to move.
func moved(held ...*client) {
	for _, c := range held {
		c.t.Helper()
		c.want("MOVE")
		c.want(io.EOF.Error())
	}
}

func (c *client) say(line string) {
	c.t.Helper()
	if _, err := io.WriteString(c, line+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

// line reads a line; at the end of the connection it is the error's text.
func (c *client) line() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

// want reads a line that starts so.
func (c *client) want(prefix string) string {
	c.t.Helper()
	line := c.line()
	if !strings.HasPrefix(line, prefix) {
		c.t.Fatalf("got %q, want %q", line, prefix)
	}
	return line
}

// natsDial connects to the NATS front without a library.
func (r *relay) natsDial() *client {
	r.t.Helper()
	return r.dialFront("nats")
}

// run runs a sub-command to its end.
func run(args ...string) (string, error) {
	out, err := exec.Command(program, args...).CombinedOutput()
	return string(out), err
}
