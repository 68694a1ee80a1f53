package integration

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// The tests named TestCrossing make two events happen in a fixed order at the built program, e.g. a
// member's answer just after SIGTERM. Their fake members answer only when the test tells them to.
// The tests read the results from clients, members, discovery and /proc.

// Limits that follow from the protocol and from the settings used here.
const (
	maxCountedDeadline = 3 * time.Second        // longest deadline in the settings; longer ones count as this
	killMargin         = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline
	lostAnswerDelay    = 500 * time.Millisecond // an answer this long after its deadline counts as lost
	drainGrace         = 250 * time.Millisecond // a draining member may still get new requests this long
	socketTolerance    = 50 * time.Millisecond  // added to every time limit

	// A change that a silent watch has missed counts as delivered this long after the watch began.
	silentWatchDeadline = 6 * time.Second

	// A change at a new discovery address counts as delivered this long after SIGHUP.
	reloadDeadline = 4 * time.Second

	maxArrivals = 256 // capacity of the channels of attempts and lines
)

// scriptedMember is a fake pool member that answers health checks on its own, and attempts only as
// the test says.
type scriptedMember struct {
	t           testing.TB
	id          string
	addr        string
	attempts    *fakes.AttemptCounter
	newAttempts chan *attempt

	mu         sync.Mutex
	firstLines []arrival
	autoAccept bool // answer every attempt with UP at once
}

// arrival is a first line that a member received.
type arrival struct {
	id string
	at time.Time
}

// attempt is an attempt at a scripted member.
type attempt struct {
	net.Conn
	member   *scriptedMember
	id       string
	lines    chan string   // lines after the first one
	ended    chan struct{} // closed when the relay has closed the connection
	countEnd func()        // tells the attempt counter that the attempt has ended
}

func newScriptedMember(t testing.TB, id string, counter *fakes.AttemptCounter) *scriptedMember {
	m := &scriptedMember{t: t, id: id, attempts: counter, newAttempts: make(chan *attempt, maxArrivals)}
	m.addr = listen(t, m.serve).Addr().String()
	return m
}

func (m *scriptedMember) entry() member {
	return member{ID: m.id, Addr: m.addr, Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1}
}

func (m *scriptedMember) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "STATS\r\n" {
			fmt.Fprint(c, "PONG x0=0.1,x1=0,inflight=1\r\n")
			continue
		}
		m.attempt(c, in, line)
		return
	}
}

func (m *scriptedMember) attempt(c net.Conn, in *bufio.Reader, first string) {
	words := strings.Fields(first)
	if len(words) != 4 || words[0] != "OPEN" {
		m.t.Errorf("member %s got the first line %q, want OPEN with 4 fields", m.id, first)
		return
	}
	a := &attempt{Conn: c, member: m, id: words[1], lines: make(chan string, maxArrivals), ended: make(chan struct{})}
	a.countEnd = m.attempts.Begin(a.id, c).End
	m.mu.Lock()
	m.firstLines = append(m.firstLines, arrival{a.id, time.Now()})
	auto := m.autoAccept
	m.mu.Unlock()
	if auto {
		a.accept()
	} else {
		m.newAttempts <- a
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			break
		}
		a.lines <- strings.TrimSuffix(line, "\r\n")
	}
	a.countEnd()
	close(a.ended)
}

// setAutoAccept sets whether the member accepts every attempt by itself.
func (m *scriptedMember) setAutoAccept(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.autoAccept = on
}

// arrivals returns all first lines received so far.
func (m *scriptedMember) arrivals() []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]arrival(nil), m.firstLines...)
}

func (a *attempt) write(text string) {
	a.member.t.Helper()
	if _, err := fmt.Fprint(a.Conn, text); err != nil {
		a.member.t.Errorf("member %s: writing %q: %v", a.member.id, text, err)
	}
}

func (a *attempt) accept() { a.write("UP " + a.member.id + "/" + a.id + "\r\n") }

// reject ends the attempt with BUSY, which tells the relay that the request was not executed.
func (a *attempt) reject() {
	a.countEnd()
	a.write("BUSY\r\n")
	a.Close()
}

func (a *attempt) reset() {
	a.countEnd()
	a.Conn.(*net.TCPConn).SetLinger(0)
	a.Close()
}

// nextLine returns the next line from the client.
func (a *attempt) nextLine() string {
	a.member.t.Helper()
	select {
	case line := <-a.lines:
		return line
	case <-time.After(eventTimeout):
		a.member.t.Fatalf("member %s got no line within %v", a.member.id, eventTimeout)
		return ""
	}
}

// waitClosed waits until the relay has closed the connection to the member.
func (a *attempt) waitClosed() {
	a.member.t.Helper()
	select {
	case <-a.ended:
	case <-time.After(eventTimeout):
		a.member.t.Fatalf("member %s: the relay did not close the connection within %v", a.member.id, eventTimeout)
	}
}

// scriptedRig is a relay with scripted members and a fake discovery.
type scriptedRig struct {
	*relay
	d              *discovery
	members        []*scriptedMember
	attemptCounter *fakes.AttemptCounter
}

func newScriptedMembers(t testing.TB, n int, counter *fakes.AttemptCounter) (members []*scriptedMember, list []member) {
	for i := range n {
		m := newScriptedMember(t, fmt.Sprintf("s-%08x", 0x5be2a000+i*0x01234567), counter)
		members, list = append(members, m), append(list, m.entry())
	}
	return members, list
}

func newScriptedRig(t *testing.T, members int, extra map[string]any) *scriptedRig {
	t.Helper()
	s := &scriptedRig{attemptCounter: fakes.NewAttemptCounter()}
	var list []member
	s.members, list = newScriptedMembers(t, members, s.attemptCounter)
	s.d = newDiscovery(t, list...)
	fronts := 1
	if extra["operator"] != nil {
		fronts++
	}
	s.relay = start(t, configure(t, s.d, extra), fronts)
	waitFor(t, "the first watch at discovery", func() bool { return s.d.Calls() > 1 })
	return s
}

// nextAttempt waits for the next attempt at any member and returns it.
func (s *scriptedRig) nextAttempt() *attempt {
	s.t.Helper()
	var got *attempt
	waitFor(s.t, "an attempt", func() bool {
		for _, m := range s.members {
			select {
			case got = <-m.newAttempts:
				return true
			default:
			}
		}
		return false
	})
	return got
}

// attemptCount counts the attempts of request number n at all members.
func (s *scriptedRig) attemptCount(n int) (count int) {
	for _, m := range s.members {
		for _, a := range m.arrivals() {
			if a.id == requestID(n) {
				count++
			}
		}
	}
	return count
}

// requestID returns the id of request number n.
func requestID(n int) string { return fmt.Sprintf("%016x", n) }

// openWithDeadline is openFlow with a deadline of the caller's choice.
func (s *scriptedRig) openWithDeadline(n int, deadline time.Duration) *client {
	s.t.Helper()
	c := s.dial()
	c.send(firstLine(n, deadline))
	return c
}

func firstLine(n int, deadline time.Duration) string {
	return fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=%d,g=%016x", n, n+1, deadline.Milliseconds(), n+2)
}

// newFlow opens an accepted flow and returns both ends.
func (s *scriptedRig) newFlow(n int) (*client, *attempt) {
	s.t.Helper()
	c := s.openFlow(n, "")
	a := s.nextAttempt()
	if a.id != requestID(n) {
		s.t.Fatalf("nextAttempt() has request id %s, want %s", a.id, requestID(n))
	}
	a.accept()
	c.wantLine("UP ")
	return c, a
}

// newFlows opens count accepted flows, as requests 1 to count, and returns their clients.
func (s *scriptedRig) newFlows(count int) (all []*client) {
	s.t.Helper()
	for n := range count {
		c, _ := s.newFlow(n + 1)
		all = append(all, c)
	}
	return all
}

// entries returns the entries of the members in discovery's list.
func (s *scriptedRig) entries() (all []member) {
	for _, m := range s.members {
		all = append(all, m.entry())
	}
	return all
}

// terminate sends SIGTERM, waits until the relay logs that it is stopping, and returns the time of
// the signal.
func (s *scriptedRig) terminate() time.Time {
	s.t.Helper()
	at := time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitLogged("msg=stopping")
	return at
}

// wantTimelyExit waits until the process has ended. It checks that the process ended before SIGKILL would
// come, and checks the attempts as checkAttempts does. since is the time of SIGTERM.
func (s *scriptedRig) wantTimelyExit(since time.Time) {
	s.t.Helper()
	s.waitExit()
	took := time.Since(since)
	s.t.Logf("the process ended %v after SIGTERM", took.Round(time.Millisecond))
	if took > maxCountedDeadline+killMargin {
		s.t.Errorf("the process ended %v after SIGTERM, want at most %v", took, maxCountedDeadline+killMargin)
	}
	s.checkAttempts()
}

// checkAttempts fails the test if a request had two attempts in flight at once, or more than three
// attempts.
func (s *scriptedRig) checkAttempts() {
	s.t.Helper()
	for _, violation := range s.attemptCounter.Violations() {
		s.t.Error(violation)
	}
}

// descriptors returns the number of open file descriptors of a process.
func descriptors(t testing.TB, pid int) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

func (r *relay) descriptors() int {
	r.t.Helper()
	return descriptors(r.t, r.cmd.Process.Pid)
}

// waitDescriptorsReleased waits until the relay has at most before open descriptors. This may take some
// seconds, because connections of health checks stay open for a while.
func (r *relay) waitDescriptorsReleased(before int) {
	r.t.Helper()
	for end := time.Now().Add(eventTimeout); r.descriptors() > before; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("the relay has %d open descriptors, want at most %d; open: %q",
				r.descriptors(), before, r.describeDescriptors())
		}
	}
}

// describeDescriptors returns the link target of each of the relay's descriptors; for a TCP socket
// it returns the local address, remote address and state from /proc/net/tcp instead.
func (r *relay) describeDescriptors() (all []string) {
	text, _ := os.ReadFile("/proc/net/tcp")
	tcp := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 9 {
			tcp["socket:["+fields[9]+"]"] = strings.Join(fields[1:4], " ")
		}
	}
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", r.cmd.Process.Pid))
	for _, path := range paths {
		to, _ := os.Readlink(path)
		all = append(all, cmp.Or(tcp[to], to))
	}
	return all
}

// suspend stops the process by SIGSTOP and waits until all its threads are stopped.
func (r *relay) suspend() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(r.t, "all threads of the process to stop", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
		if err != nil || len(tasks) == 0 {
			r.t.Fatalf("no threads in /proc of the suspended relay (error: %v); it has ended", err)
		}
		for _, task := range tasks {
			text, err := os.ReadFile(task)
			if err != nil {
				return false
			}
			_, state, _ := strings.Cut(string(text), ") ")
			if !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return true
	})
}

// resume lets a suspended process continue.
func (r *relay) resume() { r.cmd.Process.Signal(syscall.SIGCONT) }

// blockedListener is the listener of an unreachable member: until unblock is called, connections to
// it are neither established nor refused.
type blockedListener struct {
	listener       net.Listener
	serve          func(net.Conn)
	backlogFillers []net.Conn
}

// fillTimeout is how long a dial on the loopback may take before the accept queue counts as full.
const fillTimeout = 200 * time.Millisecond

// newBlockedListener returns a listener with a full accept queue, so that the kernel drops
// handshakes.
func newBlockedListener(t testing.TB, serve func(net.Conn)) *blockedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &blockedListener{listener: l, serve: serve}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the accept queue to be full", func() bool {
		c, err := net.DialTimeout("tcp", b.addr(), fillTimeout)
		if err == nil {
			b.backlogFillers = append(b.backlogFillers, c)
		}
		return err != nil
	})
	return b
}

func (b *blockedListener) addr() string { return b.listener.Addr().String() }

// unblock empties the accept queue and serves connections from now on.
func (b *blockedListener) unblock() {
	for _, c := range b.backlogFillers {
		c.Close()
	}
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

// synSent is the state SYN_SENT of a socket in /proc/net/tcp.
const synSent = "02"

// sockets counts the sockets with remote address to in the given state of /proc/net/tcp.
func sockets(t testing.TB, to, state string) (count int) {
	t.Helper()
	_, port, err := net.SplitHostPort(to)
	if err != nil {
		t.Fatal(err)
	}
	number, _ := strconv.Atoi(port)
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 3 && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", number)) && fields[3] == state {
			count++
		}
	}
	return count
}
