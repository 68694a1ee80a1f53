package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"dahliarudder/internal/fakes"
)

// lineRig is a relay with a fake discovery and fake members that answer by themselves.
type lineRig struct {
	*relay
	d              *discovery
	members        []*fakeMember
	attemptCounter *fakes.AttemptCounter
}

func newLineRig(t *testing.T, members int, extra map[string]any) *lineRig {
	t.Helper()
	s := &lineRig{attemptCounter: fakes.NewAttemptCounter()}
	var list []member
	for i := range members {
		b := newFakeMember(t, fmt.Sprintf("s-%08x", 0x5be2a000+i*0x01234567), s.attemptCounter)
		s.members = append(s.members, b)
		list = append(list, b.entry())
	}
	s.d = newDiscovery(t, list...)
	fronts := 1
	if extra["operator"] != nil {
		fronts++
	}
	s.relay = start(t, configure(t, s.d, extra), fronts)
	return s
}

// memberOfFlow returns the member named in the UP line of a flow.
func (s *lineRig) memberOfFlow(up string) *fakeMember {
	s.t.Helper()
	for _, b := range s.members {
		if strings.HasPrefix(up, "UP "+b.id+"/") {
			return b
		}
	}
	s.t.Fatalf("%q names none of the members", up)
	return nil
}

// TestFlow: the client gets the UP line of the member that accepted its flow, lines pass both ways
// unchanged, the relay changes only the field d of the first line, and a flow that the member ends with
// BYE ends with an orderly close.
func TestFlow(t *testing.T) {
	s := newLineRig(t, 3, nil)
	for n := range 20 {
		c := s.openFlow(n, ",x-mark=7")
		up := c.wantLine("UP ")
		b := s.memberOfFlow(up)
		if up != fmt.Sprintf("UP %s/%016x", b.id, n) {
			t.Fatalf("UP line = %q, want UP %s/%016x", up, b.id, n)
		}
		for _, word := range []string{"hello", "OPEN sesame", ""} {
			c.send(word)
			c.wantLine("LOAD ")
			if got := c.wantLine("GOT "); !strings.HasSuffix(got, " "+word) {
				t.Fatalf("the member echoed %q, want %q", got, word)
			}
		}
		c.send("END")
		c.wantLine("BYE inflight=1")
		c.wantLine(io.EOF.Error())
		var d int
		lines := b.firstLines()
		want := fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=%%d,g=%016x,x-mark=7", n, n+1, n+2)
		if _, err := fmt.Sscanf(lines[len(lines)-1], want, &d); err != nil || d < 1 || d > 2900 {
			t.Fatalf("the member got %q, want %q", lines[len(lines)-1], want)
		}
	}
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestPing: a front proxy checks with PING whether the relay is ready; the connection stays usable after
// it, for further PINGs and for a request.
func TestPing(t *testing.T) {
	s := newLineRig(t, 1, nil)
	c := s.dial()
	c.send("PING")
	c.wantLine("PONG")
	c.send("PING")
	c.wantLine("PONG")
	c.send("OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=2000")
	c.wantLine("UP ")
}

// TestMemberFaults: with members that reject, fail or reset, a request costs at most three attempts, one
// after another, and gets exactly one final answer.
func TestMemberFaults(t *testing.T) {
	for _, mode := range []fakes.MemberMode{fakes.ModeBusy, fakes.ModeErr, fakes.ModeReset} {
		t.Run(string(mode), func(t *testing.T) {
			s := newLineRig(t, 3, nil)
			s.members[0].SetMode(mode)
			s.members[1].SetMode(mode)
			answers := map[string]int{}
			for n := range 12 {
				c := s.openFlow(n, "")
				answer, _, _ := strings.Cut(c.line(), " ")
				answers[answer]++
				if answer == "UP" {
					c.send("END")
					c.wantLine("BYE")
				}
				c.wantLine(io.EOF.Error())
			}
			if answers["UP"] == 0 || answers["UP"]+answers["BUSY"]+answers["ERR"] != 12 {
				t.Errorf("answers %v, want 12 of UP, BUSY and ERR with at least one UP", answers)
			}
			checkAttemptCounter(t, s.attemptCounter)
			s.stop()
		})
	}
}

// TestAllMembersFail: a request gets its final answer even if all members fail.
func TestAllMembersFail(t *testing.T) {
	s := newLineRig(t, 2, nil)
	for _, b := range s.members {
		b.SetMode("err")
	}
	c := s.openFlow(1, "")
	if answer := c.line(); !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
		t.Errorf("answered %q, want BUSY or ERR", answer)
	}
	c.wantLine(io.EOF.Error())
	checkAttemptCounter(t, s.attemptCounter)
}

// TestSilentMember: a member that receives a request and never answers must not keep it beyond the
// client's deadline. The client gets its final answer.
func TestSilentMember(t *testing.T) {
	s := newLineRig(t, 2, nil)
	for _, b := range s.members {
		b.SetMode("silent")
	}
	c := s.openFlow(1, "")
	if answer := c.line(); !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
		t.Errorf("answered %q, want BUSY or ERR", answer)
	}
	checkAttemptCounter(t, s.attemptCounter)
}

// TestDrain: when a member drains, its clients get MOVE between two lines, and new flows go to other
// members.
func TestDrain(t *testing.T) {
	s := newLineRig(t, 3, nil)
	flows := map[*fakeMember][]*client{}
	for n := range 12 {
		c := s.openFlow(n, "")
		b := s.memberOfFlow(c.wantLine("UP "))
		flows[b] = append(flows[b], c)
	}
	var drained *fakeMember
	for b := range flows {
		drained = b
	}
	s.d.SetLifecycle(drained.id, "DRAINING")
	for _, c := range flows[drained] {
		c.wantLine("MOVE")
		c.wantLine(io.EOF.Error())
	}
	waitFor(t, "the draining member to have no flows", func() bool { return drained.OpenFlows() == 0 })
	for n := range 12 {
		c := s.openFlow(100+n, "")
		if b := s.memberOfFlow(c.wantLine("UP ")); b == drained {
			t.Errorf("request %d went to the draining member", 100+n)
		}
	}
	for b, clients := range flows {
		for _, c := range clients {
			if b != drained {
				c.send("still here")
				c.wantLine("LOAD ")
				c.wantLine("GOT 1 still here")
			}
		}
	}
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestResumeFlow: a client that resumes a flow is sent to the member that it names in the field at.
func TestResumeFlow(t *testing.T) {
	s := newLineRig(t, 3, nil)
	for n, b := range s.members {
		c := s.openFlow(n, ",at="+b.id)
		if got := s.memberOfFlow(c.wantLine("UP ")); got != b {
			t.Errorf("the flow went to %s, want %s", got.id, b.id)
		}
	}
	c := s.openFlow(9, ",at=s-ffffffff")
	c.wantLine("ERR")
}

// TestTerminate: after SIGINT each client with an open flow gets MOVE, new requests are rejected, PING is
// answered ERR, and the program exits without an error.
func TestTerminate(t *testing.T) {
	s := newLineRig(t, 2, nil)
	flows := s.openFlows(10)
	front, late := s.dial(), s.dial()
	front.send("PING")
	front.wantLine("PONG")
	s.cmd.Process.Signal(os.Interrupt)
	s.waitLogged("msg=stopping")
	front.send("PING")
	front.wantLine("ERR")
	late.send("OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=2000")
	late.wantLine("BUSY ")
	late.wantLine(io.EOF.Error())
	wantMoved(flows...)
	if err := <-s.done; err != nil {
		t.Errorf("the relay exited with %v, want no error", err)
	}
	checkAttemptCounter(t, s.attemptCounter)
}

// TestConnectionEnds: when one side of a flow ends its connection, the relay ends the other side in the
// same manner: by an orderly close or by a reset.
func TestConnectionEnds(t *testing.T) {
	s := newLineRig(t, 1, nil)
	b := s.members[0]
	c := s.openFlow(1, "")
	c.wantLine("UP ")
	c.Conn.(*net.TCPConn).CloseWrite()
	waitFor(t, "the flow at the member to end", func() bool { return b.OpenFlows() == 0 })
	c = s.openFlow(2, "")
	c.wantLine("UP ")
	b.EachConnection(func(m net.Conn) { m.(*net.TCPConn).SetLinger(0); m.Close() })
	if end := c.line(); !strings.Contains(end, "reset") {
		t.Errorf("the client read %q after a reset by the member, want a reset", end)
	}
	c = s.openFlow(3, "")
	c.wantLine("UP ")
	b.EachConnection(func(m net.Conn) { m.(*net.TCPConn).CloseWrite() })
	c.wantLine(io.EOF.Error())
	c = s.openFlow(4, "")
	c.wantLine("UP ")
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	waitFor(t, "the flow at the member to end", func() bool { return b.OpenFlows() == 0 })
	s.stop()
}

// TestDiscoveryLoss: while discovery is down the relay serves from its cached endpoint list and keeps
// polling; when discovery is back, changes are delivered.
func TestDiscoveryLoss(t *testing.T) {
	s := newLineRig(t, 2, nil)
	waitFor(t, "the first call to discovery", func() bool { return s.d.Calls() > 0 })
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	c := s.openFlow(1, "")
	b := s.memberOfFlow(c.wantLine("UP "))
	s.d.SetDown(false)
	s.d.SetLifecycle(b.id, "DRAINING")
	c.wantLine("MOVE")
	s.openFlow(2, "").wantLine("UP ")
	s.stop()
}

// TestReload guards against a SIGHUP that ends the program or loses flows. On SIGHUP the relay reads its
// configuration file again. An invalid file changes nothing, and settings that need a restart are logged.
// The relay switches to a new discovery address with every flow open, also if a second SIGHUP comes
// before the first new address has answered.
func TestReload(t *testing.T) {
	s := newLineRig(t, 3, nil)
	c := s.openFlow(1, "")
	b := s.memberOfFlow(c.wantLine("UP "))
	s.reload(`"discovery"`, `"discover`)
	s.waitLogged("the old configuration stays")
	s.reload(`"discover`, `"discovery"`, `"sockets":1024`, `"sockets":2048`)
	s.waitLogged("keys=\"[limits]\"")

	silent := listen(t, func(net.Conn) { select {} })
	s.reload(s.d.addr, silent.Addr().String())
	s.waitLogged("discovery=\"" + silent.Addr().String())
	drained := s.members[0]
	if drained == b { // the flow at b must stay open
		drained = s.members[1]
	}
	var list []member
	for _, x := range s.members {
		m := x.entry()
		if x == drained {
			m.Lifecycle = "DRAINING"
		}
		list = append(list, m)
	}
	next := newDiscovery(t, list...)
	s.reload(silent.Addr().String(), next.addr)
	waitFor(t, "a watch at the new address", func() bool { return next.Calls() > 1 })
	for n := range 12 {
		if s.memberOfFlow(s.openFlow(100+n, "").wantLine("UP ")) == drained {
			t.Errorf("request %d went to a member that is draining by the list at the new address", 100+n)
		}
	}
	next.SetLifecycle(b.id, "DRAINING")
	c.wantLine("MOVE")
	s.reload(next.addr, silent.Addr().String())
	s.waitLogged("read again")
	s.stop()
}

// TestBadInput: an invalid first line is answered ERR and never reaches a member, and the relay goes on
// serving.
func TestBadInput(t *testing.T) {
	s := newLineRig(t, 1, nil)
	for _, first := range []string{
		"HELLO",
		"",
		"OPEN",
		"OPEN 1 2",
		"OPEN zz 00000000000000bb c=pay-status,t=water,d=1000",
		"OPEN 00000000000000aa  c=pay-status,t=water,d=1000",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000 more",
		"OPEN 00000000000000aa 00000000000000bb c=unheard-of,t=water,d=1000",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=nobody,d=1000",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=soon",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=-5",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000,d=2000",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000,",
		"OPEN 00000000000000aa 00000000000000bb t=water,d=1000",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000\x00",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000\nOPEN",
		"OPEN 00000000000000aa 00000000000000bb c=pay-status,t=water,d=1000,y=" + strings.Repeat("y", 5000),
		strings.Repeat("x", 100000),
	} {
		c := s.dial()
		io.WriteString(c, first+"\r\n")
		if answer := c.line(); answer != "ERR" {
			t.Errorf("first line %.60q was answered %q, want ERR", first, answer)
		}
	}
	s.openFlow(1, "").wantLine("UP ")
	if lines := s.members[0].firstLines(); len(lines) != 1 {
		t.Errorf("the member got the first lines %q, want one", lines)
	}
	s.stop()
}

// TestBadConfig: with an invalid configuration, serve and check end with an error message and no stack
// trace.
func TestBadConfig(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"invalid JSON":           `{"name":`,
		"no settings":            `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`,
		"invalid listen address": `{"listen":"here","discovery":"127.0.0.1:1","settings":` + settingsText + `}`,
		"no classes":             `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`,
		"invalid endpoint list":  `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{"instances":7},"settings":` + settingsText + `}`,
		"invalid seed":           `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"q","settings":` + settingsText + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(dir, "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, sub := range []string{"serve", "check"} {
				out, err := runCommand(sub, "--config", path)
				if err == nil || !strings.Contains(out, "invalid configuration") || strings.Contains(out, "goroutine") {
					t.Errorf("%s: error %v, output %q, want an error and the text \"invalid configuration\"", sub, err, out)
				}
			}
		})
	}
	if out, err := runCommand("version"); err != nil || !strings.HasPrefix(out, "dahliarudder ") {
		t.Errorf("version: output %q, error %v, want output that begins with \"dahliarudder \"", out, err)
	}
}

// TestDescriptorLimit: when few descriptors are left, the relay rejects clients before accept or connect
// fails, and it accepts requests again when clients leave.
func TestDescriptorLimit(t *testing.T) {
	s := newLineRig(t, 1, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 100}})
	var clients []*client
	up, busy := 0, 0
	for n := range 60 {
		c := s.openFlow(n, "")
		clients = append(clients, c)
		switch answer := c.line(); {
		case strings.HasPrefix(answer, "UP "):
			up++
		case strings.HasPrefix(answer, "BUSY "):
			busy++
		default:
			t.Fatalf("request %d was answered %q, want UP or BUSY", n, answer)
		}
	}
	if up == 0 || busy == 0 {
		t.Errorf("%d requests were accepted and %d rejected, want some of each", up, busy)
	}
	for _, c := range clients {
		c.Close()
	}
	waitFor(t, "all flows at the member to end", func() bool { return s.members[0].OpenFlows() == 0 })
	n := 1000
	waitFor(t, "a request to be accepted", func() bool {
		n++
		return strings.HasPrefix(s.openFlow(n, "").line(), "UP ")
	})
	s.stop()
}

// TestIdleConnectionFlood guards against idle connections that exhaust the descriptors. More clients
// connect than there are descriptors; they send nothing, or one PING, and stay. Requests of other clients
// must be served all the same.
func TestIdleConnectionFlood(t *testing.T) {
	s := newLineRig(t, 1, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 100}})
	flow := s.openFlow(1, "")
	flow.wantLine("UP ")
	for n := range 250 {
		if c := s.dial(); n%2 == 0 {
			c.send("PING")
			c.wantLine("PONG")
		}
	}
	for n := range 10 {
		s.openFlow(100+n, "").wantLine("UP ")
	}
	flow.send("still here")
	flow.wantLine("LOAD ")
	flow.wantLine("GOT 1 still here")
	s.stop()
}

// TestCounts: with counts_ms set, the relay logs at that interval what it has counted since the last
// time, and the logged counts of requests add up to the number of requests.
func TestCounts(t *testing.T) {
	s := newLineRig(t, 2, map[string]any{"counts_ms": 100})
	for n := range 5 {
		s.openFlow(n, "").wantLine("UP ")
	}
	countsLine := regexp.MustCompile(`msg=counts at=[0-9.]+ attempts=\d+ barred=\d+ failed=\d+ left=\d+ moves=\d+ rejected=\d+ requests=(\d+)`)
	waitFor(t, "the logged counts to add up to five requests", func() bool {
		n := 0
		for _, m := range countsLine.FindAllStringSubmatch(s.relay.log.String(), -1) {
			k, _ := strconv.Atoi(m[1])
			n += k
		}
		return n == 5
	})
}
