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

// The tests named Crossing let two events meet at the built program. Their members answer only what the test tells them to, so that the
// order of the events is forced. What decides is what clients, members, discovery and /proc show.

// Figures of the protocol.
const (
	longestStop  = 3 * time.Second        // the longest deadline of the settings used here; also the most that counts
	stopReserve  = 700 * time.Millisecond // after which the process is killed
	answerLate   = 500 * time.Millisecond // after its time an answer is lost and not only worthless
	drainGrace   = 250 * time.Millisecond // in which something may still go to a member that drains
	timeSlack    = 50 * time.Millisecond  // by which every time limit is extended
	silenceTold  = 6 * time.Second        // after its start what a silent watch misses counts as told
	hangupTold   = 4 * time.Second        // after SIGHUP what the new discovery has counts as told
	arrivalsMost = 256                    // attempts that wait for the test to look at them
)

// scriptedMember is a pool member that answers probes by itself and first lines only as the test says.
type scriptedMember struct {
	t       testing.TB
	id      string
	addr    string
	tries   *fakes.AttemptCounter
	arrived chan *attempt

	mu    sync.Mutex
	lines []arrival
	auto  bool // first lines are answered UP at once
}

// arrival is a first line that has come.
type arrival struct {
	id string
	at time.Time
}

// attempt is one at a scripted member.
type attempt struct {
	net.Conn
	member *scriptedMember
	id     string
	lines  chan string   // what came after the first line
	ended  chan struct{} // the relay has ended the connection
	over   func()
}

func newScriptedMember(t testing.TB, id string, tries *fakes.AttemptCounter) *scriptedMember {
	m := &scriptedMember{t: t, id: id, tries: tries, arrived: make(chan *attempt, arrivalsMost)}
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
	a := &attempt{Conn: c, member: m, id: words[1], lines: make(chan string, arrivalsMost), ended: make(chan struct{})}
	a.over = m.tries.Begin(a.id, c).End
	m.mu.Lock()
	m.lines = append(m.lines, arrival{a.id, time.Now()})
	auto := m.auto
	m.mu.Unlock()
	if auto {
		a.up()
	} else {
		m.arrived <- a
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			break
		}
		a.lines <- strings.TrimSuffix(line, "\r\n")
	}
	a.over()
	close(a.ended)
}

// answers has every first line answered UP from now on, without a word to the test, or none.
func (m *scriptedMember) answers(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.auto = on
}

// arrivals are all first lines that came.
func (m *scriptedMember) arrivals() []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]arrival(nil), m.lines...)
}

func (a *attempt) write(text string) {
	a.member.t.Helper()
	if _, err := fmt.Fprint(a.Conn, text); err != nil {
		a.member.t.Errorf("%s: %v", a.member.id, err)
	}
}

func (a *attempt) up() { a.write("UP " + a.member.id + "/" + a.id + "\r\n") }

// refuse ends the attempt with an answer that proves that it has not run.
func (a *attempt) refuse() {
	a.over()
	a.write("BUSY\r\n")
	a.Close()
}

func (a *attempt) reset() {
	a.over()
	a.Conn.(*net.TCPConn).SetLinger(0)
	a.Close()
}

// next is the next line of the client's.
func (a *attempt) next() string {
	a.member.t.Helper()
	select {
	case line := <-a.lines:
		return line
	case <-time.After(patience):
		a.member.t.Fatal("no line came")
		return ""
	}
}

// waitEnd waits until the relay has ended the attempt's connection.
func (a *attempt) waitEnd() {
	a.member.t.Helper()
	select {
	case <-a.ended:
	case <-time.After(patience):
		a.member.t.Fatal("the attempt's connection stays")
	}
}

// crossing is a relay among scripted members.
type crossing struct {
	*relay
	d       *discovery
	members []*scriptedMember
	tries   *fakes.AttemptCounter
}

func newMembers(t testing.TB, n int, tries *fakes.AttemptCounter) (members []*scriptedMember, list []member) {
	for i := range n {
		m := newScriptedMember(t, fmt.Sprintf("s-%08x", 0x5be2a000+i*0x01234567), tries)
		members, list = append(members, m), append(list, m.entry())
	}
	return members, list
}

func newCrossing(t *testing.T, members int, more map[string]any) *crossing {
	t.Helper()
	s := &crossing{tries: fakes.NewAttemptCounter()}
	var list []member
	s.members, list = newMembers(t, members, s.tries)
	s.d = newDiscovery(t, list...)
	fronts := 1
	if more["operator"] != nil {
		fronts++
	}
	s.relay = start(t, configure(t, s.d, more), fronts)
	until(t, "the first watch", func() bool { return s.d.Calls() > 1 })
	return s
}

// attempt waits for the next one at any member.
func (s *crossing) attempt() *attempt {
	s.t.Helper()
	var got *attempt
	until(s.t, "an attempt", func() bool {
		for _, m := range s.members {
			select {
			case got = <-m.arrived:
				return true
			default:
			}
		}
		return false
	})
	return got
}

// attempts counts those of one request, at all members.
func (s *crossing) attempts(n int) (count int) {
	for _, m := range s.members {
		for _, a := range m.arrivals() {
			if a.id == name(n) {
				count++
			}
		}
	}
	return count
}

// name is the id that request number n has.
func name(n int) string { return fmt.Sprintf("%016x", n) }

// openFor is open with another wait.
func (s *crossing) openFor(n int, wait time.Duration) *client {
	s.t.Helper()
	c := s.dial()
	c.say(firstLine(n, wait))
	return c
}

func firstLine(n int, wait time.Duration) string {
	return fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=%d,g=%016x", n, n+1, wait.Milliseconds(), n+2)
}

// flow opens one that stands, and returns both ends.
func (s *crossing) flow(n int) (*client, *attempt) {
	s.t.Helper()
	c := s.open(n, "")
	a := s.attempt()
	if a.id != name(n) {
		s.t.Fatalf("an attempt of request %s, want %s", a.id, name(n))
	}
	a.up()
	c.want("UP ")
	return c, a
}

// terminate sends SIGTERM, and returns when, once the relay says that it stops.
func (s *crossing) terminate() time.Time {
	s.t.Helper()
	at := time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.logged("msg=stopping")
	return at
}

// gone waits for the end of the process, which must be in time.
func (s *crossing) gone(since time.Time) {
	s.t.Helper()
	s.ends()
	took := time.Since(since)
	s.t.Logf("gone %v after SIGTERM", took.Round(time.Millisecond))
	if took > longestStop+stopReserve {
		s.t.Errorf("the process ended %v after SIGTERM", took)
	}
	s.checkTries()
}

func (s *crossing) checkTries() {
	s.t.Helper()
	for _, broken := range s.tries.Violations() {
		s.t.Error(broken)
	}
}

// descriptors is how many a process holds.
func descriptors(t testing.TB, pid int) int {
	t.Helper()
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(held)
}

func (r *relay) descriptors() int {
	r.t.Helper()
	return descriptors(r.t, r.cmd.Process.Pid)
}

// settled waits until the relay holds no more descriptors than before. Its probes' connections take some seconds to go.
func (r *relay) settled(before int) {
	r.t.Helper()
	for end := time.Now().Add(patience); r.descriptors() > before; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d descriptors, %d before: %q", r.descriptors(), before, r.links())
		}
	}
}

// links are what the relay's descriptors stand for; TCP sockets with their lines in /proc/net/tcp: own address, the other one, state.
func (r *relay) links() (all []string) {
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

// freeze stops the process, and returns once it stands still.
func (r *relay) freeze() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGSTOP)
	until(r.t, "the process to stand still", func() bool {
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

// thaw has it go on.
func (r *relay) thaw() { r.cmd.Process.Signal(syscall.SIGCONT) }

// door is where a member is served whose machine lets no connection come up until opened.
type door struct {
	l      net.Listener
	serve  func(net.Conn)
	filler []net.Conn
}

// fillWithin is how long a connection may take that is to fill a queue of the loopback.
const fillWithin = 200 * time.Millisecond

// newDoor is closed: the queue of its socket is full, so that the kernel drops what knocks.
func newDoor(t testing.TB, serve func(net.Conn)) *door {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{l: l, serve: serve}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	until(t, "a full queue", func() bool {
		c, err := net.DialTimeout("tcp", d.addr(), fillWithin)
		if err == nil {
			d.filler = append(d.filler, c)
		}
		return err != nil
	})
	return d
}

func (d *door) addr() string { return d.l.Addr().String() }

// open has it serve.
func (d *door) open() {
	for _, c := range d.filler {
		c.Close()
	}
	go func() {
		for {
			c, err := d.l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
}

// States of a socket in /proc/net/tcp.
const synSent = "02"

// sockets counts the sockets to an address in a state, as the kernel shows them.
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
