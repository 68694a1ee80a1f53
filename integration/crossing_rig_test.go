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

// The tests named Crossing force two events at the built program into one order. Their members answer only what the test tells them to.
// Results are taken from clients, members, discovery and /proc.

// Figures of the protocol.
const (
	maxCountedDeadline  = 3 * time.Second        // the longest deadline of these settings, and the most that counts
	killMargin          = 700 * time.Millisecond // after the deadline the process is killed
	lostAnswerDelay     = 500 * time.Millisecond // this late an answer counts as lost
	drainGrace          = 250 * time.Millisecond // for which something may still go to a draining member
	socketTolerance     = 50 * time.Millisecond  // extends every time limit
	silentWatchDeadline = 6 * time.Second        // after the start of a silent watch what it misses counts as delivered
	reloadDeadline      = 4 * time.Second        // after SIGHUP the new discovery's changes count as delivered
	maxArrivals         = 256                    // attempts that wait for the test
)

// scriptedMember is a fake pool member that answers health checks by itself and first lines only as the test says.
type scriptedMember struct {
	t           testing.TB
	id          string
	addr        string
	attempts    *fakes.AttemptCounter
	newAttempts chan *attempt

	mu         sync.Mutex
	firstLines []arrival
	autoAccept bool // first lines are answered UP at once
}

// arrival is a first line that was received.
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
	ended    chan struct{} // closed when the relay has ended the connection
	countEnd func()
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
		m.t.Errorf("%s got the first line %q", m.id, first)
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

// setAutoAccept makes the member accept every attempt by itself from now on, or ends that.
func (m *scriptedMember) setAutoAccept(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.autoAccept = on
}

// arrivals returns all first lines received.
func (m *scriptedMember) arrivals() []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]arrival(nil), m.firstLines...)
}

func (a *attempt) write(text string) {
	a.member.t.Helper()
	if _, err := fmt.Fprint(a.Conn, text); err != nil {
		a.member.t.Errorf("%s: %v", a.member.id, err)
	}
}

func (a *attempt) accept() { a.write("UP " + a.member.id + "/" + a.id + "\r\n") }

// reject ends the attempt with BUSY, which says that it has not run.
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

// nextLine returns the client's next line.
func (a *attempt) nextLine() string {
	a.member.t.Helper()
	select {
	case line := <-a.lines:
		return line
	case <-time.After(eventTimeout):
		a.member.t.Fatal("no line came")
		return ""
	}
}

// waitClosed waits until the relay has ended the connection.
func (a *attempt) waitClosed() {
	a.member.t.Helper()
	select {
	case <-a.ended:
	case <-time.After(eventTimeout):
		a.member.t.Fatal("the attempt's connection stays")
	}
}

// scriptedRig is a relay among scripted members.
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
	waitFor(t, "the first watch", func() bool { return s.d.Calls() > 1 })
	return s
}

// nextAttempt waits for the next attempt at any member.
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

// openWithDeadline is openFlow with another deadline.
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
		s.t.Fatalf("an attempt of request %s, want %s", a.id, requestID(n))
	}
	a.accept()
	c.wantLine("UP ")
	return c, a
}

// newFlows opens flows, from request 1 on, and returns the clients' ends.
func (s *scriptedRig) newFlows(count int) (all []*client) {
	s.t.Helper()
	for n := range count {
		c, _ := s.newFlow(n + 1)
		all = append(all, c)
	}
	return all
}

// entries are the members' entries in discovery's list.
func (s *scriptedRig) entries() (all []member) {
	for _, m := range s.members {
		all = append(all, m.entry())
	}
	return all
}

// terminate sends SIGTERM, waits until the relay logs that it stops, and returns when it was sent.
func (s *scriptedRig) terminate() time.Time {
	s.t.Helper()
	at := time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitLogged("msg=stopping")
	return at
}

// wantTimelyExit waits for the end of the process, which has to be in time.
func (s *scriptedRig) wantTimelyExit(since time.Time) {
	s.t.Helper()
	s.waitExit()
	took := time.Since(since)
	s.t.Logf("gone %v after SIGTERM", took.Round(time.Millisecond))
	if took > maxCountedDeadline+killMargin {
		s.t.Errorf("the process ended %v after SIGTERM", took)
	}
	s.checkAttempts()
}

func (s *scriptedRig) checkAttempts() {
	s.t.Helper()
	for _, violation := range s.attemptCounter.Violations() {
		s.t.Error(violation)
	}
}

// descriptors counts a process's descriptors.
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

// waitDescriptorsReleased waits until the relay has no more descriptors than before. Connections for health checks take some seconds.
func (r *relay) waitDescriptorsReleased(before int) {
	r.t.Helper()
	for end := time.Now().Add(eventTimeout); r.descriptors() > before; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d descriptors, %d before: %q", r.descriptors(), before, r.describeDescriptors())
		}
	}
}

// describeDescriptors describes the relay's descriptors: TCP sockets by local address, remote address and state from /proc/net/tcp.
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
	waitFor(r.t, "the process to stand still", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
		if err != nil || len(tasks) == 0 {
			r.t.Fatal("the process has gone")
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

// resume continues a suspended process.
func (r *relay) resume() { r.cmd.Process.Signal(syscall.SIGCONT) }

// blockedListener is the listener of a member that is unreachable until unblocked: no connection is established or refused.
type blockedListener struct {
	listener       net.Listener
	serve          func(net.Conn)
	backlogFillers []net.Conn
}

// fillTimeout is after how long a connection on the loopback counts as blocked.
const fillTimeout = 200 * time.Millisecond

// newBlockedListener returns a blocked listener: its accept queue is full, so that the kernel drops handshakes.
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
	waitFor(t, "a full queue", func() bool {
		c, err := net.DialTimeout("tcp", b.addr(), fillTimeout)
		if err == nil {
			b.backlogFillers = append(b.backlogFillers, c)
		}
		return err != nil
	})
	return b
}

func (b *blockedListener) addr() string { return b.listener.Addr().String() }

// unblock serves connections.
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

// States of a socket in /proc/net/tcp.
const synSent = "02"

// sockets counts the sockets to an address in a state of /proc/net/tcp.
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
