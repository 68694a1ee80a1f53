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

// lineRig is a relay with its discovery and members.
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

// memberOfFlow is the member that has a flow, by the UP line.
func (s *lineRig) memberOfFlow(up string) *fakeMember {
	s.t.Helper()
	for _, b := range s.members {
		if strings.HasPrefix(up, "UP "+b.id+"/") {
			return b
		}
	}
	s.t.Fatalf("no member made %q", up)
	return nil
}

// TestFlow: flows come up with a member's receipt, lines pass both ways
// unchanged, only d is rewritten, and a served flow ends politely.
func TestFlow(t *testing.T) {
	s := newLineRig(t, 3, nil)
	for n := range 20 {
		c := s.openFlow(n, ",x-mark=7")
		up := c.wantLine("UP ")
		b := s.memberOfFlow(up)
		if up != fmt.Sprintf("UP %s/%016x", b.id, n) {
			t.Fatalf("receipt %q", up)
		}
		for _, word := range []string{"hello", "OPEN sesame", ""} {
			c.send(word)
			c.wantLine("LOAD ")
			if got := c.wantLine("GOT "); !strings.HasSuffix(got, " "+word) {
				t.Fatalf("got %q for %q", got, word)
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

// TestPing: a front admits a relay by PING on a connection that may go on.
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

// TestMemberFaults: members that turn away, fail or reset cost a request at most three
// attempts, one after another, and every request gets exactly one final answer.
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
				t.Errorf("answers %v", answers)
			}
			checkAttemptCounter(t, s.attemptCounter)
			s.stop()
		})
	}
}

// TestAllMembersFail: with no member that works a request still gets its final answer.
func TestAllMembersFail(t *testing.T) {
	s := newLineRig(t, 2, nil)
	for _, b := range s.members {
		b.SetMode("err")
	}
	c := s.openFlow(1, "")
	if answer := c.line(); !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
		t.Errorf("answer %q", answer)
	}
	c.wantLine(io.EOF.Error())
	checkAttemptCounter(t, s.attemptCounter)
}

// TestSilentMember: a member that receives a request and does not answer must not keep it beyond the client's deadline.
func TestSilentMember(t *testing.T) {
	s := newLineRig(t, 2, nil)
	for _, b := range s.members {
		b.SetMode("silent")
	}
	c := s.openFlow(1, "")
	if answer := c.line(); !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
		t.Errorf("answer %q", answer)
	}
	checkAttemptCounter(t, s.attemptCounter)
}

// TestDrain: when a member drains, its clients are moved between two lines, and new ones go elsewhere.
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
	waitFor(t, "the member to be left", func() bool { return drained.OpenFlows() == 0 })
	for n := range 12 {
		c := s.openFlow(100+n, "")
		if b := s.memberOfFlow(c.wantLine("UP ")); b == drained {
			t.Error("sent to a draining member")
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

// TestResumeFlow: a client that resumes a flow goes to the member that has it.
func TestResumeFlow(t *testing.T) {
	s := newLineRig(t, 3, nil)
	for n, b := range s.members {
		c := s.openFlow(n, ",at="+b.id)
		if got := s.memberOfFlow(c.wantLine("UP ")); got != b {
			t.Errorf("went to %s instead of %s", got.id, b.id)
		}
	}
	c := s.openFlow(9, ",at=s-ffffffff")
	c.wantLine("ERR")
}

// TestTerminate: on SIGTERM every client with an open flow gets MOVE, new requests are answered, a front sees that the relay is
// not ready, and the program exits.
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
		t.Errorf("ended with %v", err)
	}
	checkAttemptCounter(t, s.attemptCounter)
}

// TestConnectionEnds: an end is answered in its manner, politely or by a reset, both ways.
func TestConnectionEnds(t *testing.T) {
	s := newLineRig(t, 1, nil)
	b := s.members[0]
	c := s.openFlow(1, "")
	c.wantLine("UP ")
	c.Conn.(*net.TCPConn).CloseWrite()
	waitFor(t, "the member's end", func() bool { return b.OpenFlows() == 0 })
	c = s.openFlow(2, "")
	c.wantLine("UP ")
	b.EachConnection(func(m net.Conn) { m.(*net.TCPConn).SetLinger(0); m.Close() })
	if end := c.line(); !strings.Contains(end, "reset") {
		t.Errorf("a member's reset reached the client as %q", end)
	}
	c = s.openFlow(3, "")
	c.wantLine("UP ")
	b.EachConnection(func(m net.Conn) { m.(*net.TCPConn).CloseWrite() })
	c.wantLine(io.EOF.Error())
	c = s.openFlow(4, "")
	c.wantLine("UP ")
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	waitFor(t, "the member's end", func() bool { return b.OpenFlows() == 0 })
	s.stop()
}

// TestDiscoveryLoss: while discovery is down the relay serves from its cached list and goes on polling; once discovery is back,
// changes arrive.
func TestDiscoveryLoss(t *testing.T) {
	s := newLineRig(t, 2, nil)
	waitFor(t, "the first watch", func() bool { return s.d.Calls() > 0 })
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

// TestReload: on SIGHUP the file is read again. One that cannot be used changes nothing; settings that need a restart are
// named; discovery's new address takes over with every flow open, also when a second SIGHUP comes before the first new address
// has answered. Guards against SIGHUP ending the program.
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
	if drained == b { // that flow is to stay
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
			t.Error("sent to a member that the new address says is draining")
		}
	}
	next.SetLifecycle(b.id, "DRAINING")
	c.wantLine("MOVE")
	s.reload(next.addr, silent.Addr().String())
	s.waitLogged("read again")
	s.stop()
}

// TestBadInput: an invalid first line gets an error answer and never reaches a member; the relay goes on.
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
			t.Errorf("%.60q was answered %q", first, answer)
		}
	}
	s.openFlow(1, "").wantLine("UP ")
	if lines := s.members[0].firstLines(); len(lines) != 1 {
		t.Errorf("members got %q", lines)
	}
	s.stop()
}

// TestBadConfig: a configuration that cannot be used ends with a plain error.
func TestBadConfig(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"no JSON":     `{"name":`,
		"no settings": `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`,
		"no address":  `{"listen":"here","discovery":"127.0.0.1:1","settings":` + settingsText + `}`,
		"no classes":  `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`,
		"odd list":    `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{"instances":7},"settings":` + settingsText + `}`,
		"odd seed":    `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"q","settings":` + settingsText + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(dir, "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, sub := range []string{"serve", "check"} {
				out, err := runCommand(sub, "--config", path)
				if err == nil || !strings.Contains(out, "invalid configuration") || strings.Contains(out, "goroutine") {
					t.Errorf("%s: %v, %s", sub, err, out)
				}
			}
		})
	}
	if out, err := runCommand("version"); err != nil || !strings.HasPrefix(out, "dahliarudder ") {
		t.Errorf("version: %s, %v", out, err)
	}
}

// TestDescriptorLimit: with few descriptors left, clients are rejected before accepting or
// connecting fails, and the relay recovers when they go.
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
			t.Fatalf("answer %q", answer)
		}
	}
	if up == 0 || busy == 0 {
		t.Errorf("%d up, %d busy", up, busy)
	}
	for _, c := range clients {
		c.Close()
	}
	waitFor(t, "the flows' end", func() bool { return s.members[0].OpenFlows() == 0 })
	n := 1000
	waitFor(t, "room", func() bool { n++; return strings.HasPrefix(s.openFlow(n, "").line(), "UP ") })
	s.stop()
}

// TestIdleConnectionFlood: more connections than there are descriptors, which send nothing or one PING and stay, do not keep
// usual clients out. Guards against a relay that keeps them until its descriptors are exhausted.
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

// TestCounts: with counts_ms each relay logs what it counted in each span, and the
// spans add up to what happened.
func TestCounts(t *testing.T) {
	s := newLineRig(t, 2, map[string]any{"counts_ms": 100})
	for n := range 5 {
		s.openFlow(n, "").wantLine("UP ")
	}
	countsLine := regexp.MustCompile(`msg=counts at=[0-9.]+ attempts=\d+ barred=\d+ failed=\d+ left=\d+ moves=\d+ rejected=\d+ requests=(\d+)`)
	waitFor(t, "five requests counted", func() bool {
		n := 0
		for _, m := range countsLine.FindAllStringSubmatch(s.relay.log.String(), -1) {
			k, _ := strconv.Atoi(m[1])
			n += k
		}
		return n == 5
	})
}
