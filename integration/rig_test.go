// Package integration tests the built program over sockets, with fakes of discovery, pool members, NATS
// servers and PostgreSQL.
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

// eventTimeout is how long a test waits for an event before it fails.
const eventTimeout = 30 * time.Second

// program is the path of the built program.
var program string

// minParallel is the least number of tests that may run in parallel, also on a machine with fewer cores:
// the tests spend most of their time waiting for processes.
const minParallel = 4

func TestMain(m *testing.M) {
	flag.Parse()
	parallelSet := false
	flag.Visit(func(f *flag.Flag) { parallelSet = parallelSet || f.Name == "test.parallel" })
	if !parallelSet && runtime.GOMAXPROCS(0) < minParallel {
		flag.Set("test.parallel", strconv.Itoa(minParallel))
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

// waitFor waits until ok returns true and fails the test after eventTimeout. event describes in messages
// what it waits for.
func waitFor(t testing.TB, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", eventTimeout, event)
		}
	}
}

// listen listens on a free port of the loopback and calls serve for each connection in its own goroutine.
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

// loopbackPorts is the loopback address of this test run and the last port that reservePort has used.
var loopbackPorts struct {
	sync.Mutex
	host   string
	holder net.Listener // on firstReservedPort; shows other test runs that host is in use
	last   int          // offset from firstReservedPort
}

const (
	firstReservedPort = 12000 // below the ephemeral port range
	reservedPorts     = 20000 // ports from firstReservedPort on
)

// reservePort returns an address for a relay, for cases in which the address must be known before the
// relay listens or must stay free while the relay is down. Each test run has a loopback address of its
// own, which it claims by listening on firstReservedPort, and uses each port once. Otherwise another
// process might take the port meanwhile, and a relay that cannot bind its gossip port serves without
// gossip.
func reservePort(t testing.TB) string {
	t.Helper()
	loopbackPorts.Lock()
	defer loopbackPorts.Unlock()
	for n := os.Getpid(); loopbackPorts.holder == nil; n++ {
		if n-os.Getpid() == 1000 {
			t.Fatal("all 1000 loopback addresses tried are taken by other test runs")
		}
		loopbackPorts.host = fmt.Sprintf("127.64.%d.%d", n/250%250, 1+n%250)
		// Stays open until this process ends.
		loopbackPorts.holder, _ = net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackPorts.host, firstReservedPort))
	}
	for loopbackPorts.last++; loopbackPorts.last < reservedPorts; loopbackPorts.last++ {
		addr := fmt.Sprintf("%s:%d", loopbackPorts.host, firstReservedPort+loopbackPorts.last)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // another process listens on this port at all addresses
		}
		l.Close()
		if u, err := net.ListenPacket("udp", addr); err == nil {
			u.Close()
			return addr
		}
	}
	t.Fatalf("all %d ports of %s are used up", reservedPorts, loopbackPorts.host)
	return ""
}

// ---- Fakes ----

// member is a pool member's entry in discovery's list.
type member = fakes.Entry

// discovery is a fake discovery service at one address.
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

// open serves the list at a further address and returns it.
func (d *discovery) open(t testing.TB) string {
	t.Helper()
	addr, err := d.Open("", nil)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// fakeMember is a fake pool member with unlimited capacity, which answers by itself.
type fakeMember struct {
	*fakes.Member
	id string
}

func newFakeMember(t *testing.T, id string, counter *fakes.AttemptCounter) *fakeMember {
	b := &fakeMember{fakes.NewMember(id), id}
	b.Attempts = counter
	if _, err := b.Open(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.Kill()
		if invalid := b.invalidFirstLines(); len(invalid) > 0 {
			t.Errorf("member %s got invalid first lines: %q", id, invalid)
		}
	})
	return b
}

func (b *fakeMember) entry() member {
	return member{ID: b.id, Addr: b.Addr(), Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1}
}

func (b *fakeMember) firstLines() []string {
	all, _ := b.FirstLines()
	return all
}

// invalidFirstLines returns the first lines received that are not valid.
func (b *fakeMember) invalidFirstLines() []string {
	_, invalid := b.FirstLines()
	return invalid
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

// relay is a running process of the program.
type relay struct {
	t          testing.TB
	cmd        *exec.Cmd
	log        *syncBuffer
	done       chan error
	addrs      map[string]string // listen addresses, by front
	configPath string
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

// configure writes a configuration file with extra as further top-level keys and returns its path.
func configure(t testing.TB, d *discovery, extra map[string]any) string {
	t.Helper()
	c := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": d.Snapshot(nil),
		"settings": json.RawMessage(settingsText)}
	for k, v := range extra {
		c[k] = v
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, string(text))
	return path
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

var servingLine = regexp.MustCompile(`msg=serving front=(\w+) listen="([0-9.:]+)"`)

// start starts the program and waits until it serves the given number of fronts.
func start(t testing.TB, config string, fronts int) *relay {
	t.Helper()
	r := launch(t, config)
	r.waitServing(fronts)
	return r
}

// launch starts the program and does not wait.
func launch(t testing.TB, config string) *relay {
	t.Helper()
	return launchProgram(t, program, config)
}

// launchProgram starts the executable at path as the relay, with further environment variables.
func launchProgram(t testing.TB, path, config string, env ...string) *relay {
	t.Helper()
	r := &relay{t: t, cmd: exec.Command(path, "serve", "--config", config), log: &syncBuffer{},
		done: make(chan error, 1), addrs: map[string]string{}, configPath: config}
	r.cmd.Stderr = r.log
	r.cmd.Env = append(os.Environ(), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_CONFIG=", "EDGE_OPERATOR=",
		"TMPDIR="+filepath.Dir(config)) // private to the test, shared by all processes with this configuration file
	r.cmd.Env = append(r.cmd.Env, env...)
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

// waitServing waits until the given number of fronts listen, and records their addresses.
func (r *relay) waitServing(fronts int) {
	r.t.Helper()
	waitFor(r.t, fmt.Sprintf("the relay to serve %d fronts", fronts), func() bool {
		for _, m := range servingLine.FindAllStringSubmatch(r.log.String(), -1) {
			r.addrs[m[1]] = m[2]
		}
		select {
		case err := <-r.done:
			r.t.Fatalf("the relay exited with %v before it served", err)
		default:
		}
		return len(r.addrs) == fronts
	})
}

// call makes an operator call and returns the HTTP status.
func (r *relay) call(method, path string) int {
	r.t.Helper()
	q, err := http.NewRequest(method, "http://"+r.addrs["operator"]+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	c := http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode
}

// mustPut makes an operator's PUT call and fails the test unless the answer is 200.
func (r *relay) mustPut(path string) {
	r.t.Helper()
	if code := r.call("PUT", path); code != 200 {
		r.t.Fatalf("PUT %s: status %d, want 200", path, code)
	}
}

// reload replaces texts in the configuration file, given as pairs of old and new, and sends SIGHUP.
func (r *relay) reload(oldnew ...string) {
	r.t.Helper()
	text, err := os.ReadFile(r.configPath)
	if err != nil {
		r.t.Fatal(err)
	}
	writeFile(r.t, r.configPath, strings.NewReplacer(oldnew...).Replace(string(text)))
	r.cmd.Process.Signal(syscall.SIGHUP)
}

// waitLogged waits until the relay's log contains text.
func (r *relay) waitLogged(text string) {
	r.t.Helper()
	waitFor(r.t, fmt.Sprintf("the log to contain %q", text), func() bool { return strings.Contains(r.log.String(), text) })
}

// stop sends SIGTERM and waits until the relay exits, which must be without an error.
func (r *relay) stop() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Errorf("the relay exited with %v, want no error", err)
		}
	case <-time.After(eventTimeout):
		r.t.Fatalf("the relay did not exit within %v after SIGTERM", eventTimeout)
	}
}

// ---- Clients ----

type client struct {
	t testing.TB
	net.Conn
	in          *bufio.Reader
	finalAnswer string // empty until wantAnswerInTime has read the final answer
}

func (r *relay) dial() *client {
	r.t.Helper()
	return r.dialFront("line")
}

func (r *relay) dialFront(front string) *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addrs[front])
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(eventTimeout))
	return &client{t: r.t, Conn: c, in: bufio.NewReader(c)}
}

// openFlow connects and sends the first line of request number n, with extraFields appended.
func (r *relay) openFlow(n int, extraFields string) *client {
	r.t.Helper()
	c := r.dial()
	c.send(fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=2900,g=%016x%s", n, n+1, n+2, extraFields))
	return c
}

// openFlows opens n flows and waits until each is accepted.
func (r *relay) openFlows(n int) (flows []*client) {
	r.t.Helper()
	for i := range n {
		c := r.openFlow(i, "")
		c.wantLine("UP ")
		flows = append(flows, c)
	}
	return flows
}

// wantMoved checks that each client gets MOVE and then the end of the connection.
func wantMoved(flows ...*client) {
	for _, c := range flows {
		c.t.Helper()
		c.wantLine("MOVE")
		c.wantLine(io.EOF.Error())
	}
}

func (c *client) send(line string) {
	c.t.Helper()
	if _, err := io.WriteString(c, line+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

// line reads a line. If reading fails it returns the error's text instead, which is EOF after an orderly
// close.
func (c *client) line() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

// wantLine reads a line and fails the test unless it starts with prefix.
func (c *client) wantLine(prefix string) string {
	c.t.Helper()
	line := c.line()
	if !strings.HasPrefix(line, prefix) {
		c.t.Fatalf("got line %q, want prefix %q", line, prefix)
	}
	return line
}

// natsDial connects to the NATS front without a client library.
func (r *relay) natsDial() *client {
	r.t.Helper()
	return r.dialFront("nats")
}

// runCommand runs a sub-command of the program and returns its combined output.
func runCommand(args ...string) (string, error) {
	out, err := exec.Command(program, args...).CombinedOutput()
	return string(out), err
}
