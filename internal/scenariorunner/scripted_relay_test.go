package scenariorunner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// TestMain lets the test binary also run as the relay under test, which breaks the rule that "script"
// in its configuration names.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		serveScripted(os.Args[3])
	}
	os.Exit(m.Run())
}

// serveScripted runs a minimal relay that follows all rules except the one that its script breaks.
func serveScripted(path string) {
	var c struct {
		Listen, Discovery, Script string
		Known                     fakes.List
	}
	text, _ := os.ReadFile(path)
	json.Unmarshal(text, &c)
	var mu sync.Mutex
	members := map[string]fakes.Entry{}
	order := []string{}
	addMembers := func(l fakes.List) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range l.Instances {
			if _, ok := members[e.ID]; !ok {
				order = append(order, e.ID)
			}
			members[e.ID] = e
		}
	}
	addMembers(c.Known)
	go func() {
		for generation := 0; ; time.Sleep(20 * time.Millisecond) {
			answer, err := http.Get(fmt.Sprintf("http://%s/api/targets?since=%d&timeout_ms=1000", c.Discovery, generation))
			if err != nil {
				continue
			}
			var l fakes.List
			json.NewDecoder(answer.Body).Decode(&l)
			answer.Body.Close()
			addMembers(l)
			generation = l.Generation
		}
	}()
	// pick returns the address of a member with a lifecycle: the newest one for the script "overload
	// in slow start", otherwise the first.
	pick := func(lifecycle string) string {
		mu.Lock()
		defer mu.Unlock()
		all := slices.Clone(order)
		if c.Script == "overload in slow start" {
			slices.Reverse(all)
		}
		for _, id := range all {
			if members[id].Lifecycle == lifecycle {
				return members[id].Addr
			}
		}
		return ""
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		os.Exit(3)
	}
	for {
		client, err := l.Accept()
		if err != nil {
			os.Exit(4)
		}
		go serveClient(client, c.Script, pick)
	}
}

// repeatedScripts are the scripts that misbehave on every request, because their rule is broken only
// under conditions that the scenario brings about at some time. The others misbehave once.
var repeatedScripts = map[string]bool{"overload in slow start": true, "sent to draining": true, "sent for gone client": true, "ignores half close": true, "exits on SIGTERM": true}

var ruleBroken atomic.Bool

func serveClient(client net.Conn, script string, pick func(string) string) {
	defer client.Close()
	in := bufio.NewReader(client)
	line, err := in.ReadString('\n')
	if line == "PING\r\n" {
		io.WriteString(client, "PONG\r\n")
		return
	}
	if err != nil {
		return
	}
	memberAddr := pick("SERVING")
	if !repeatedScripts[script] && ruleBroken.Swap(true) {
		script = "" // one violation is enough
	}
	switch script {
	case "multiple answers":
		io.WriteString(client, "BUSY 9000\r\nBUSY 9000\r\n")
		return
	case "no answer":
		copyWithoutSplice(io.Discard, in)
		return
	case "forged answer":
		io.WriteString(client, "UP s0/0000000000000000\r\n")
		copyWithoutSplice(io.Discard, in)
		return
	case "crash":
		os.Exit(1)
	case "sent for gone client": // makes its attempt after its client has left
		time.Sleep(time.Second)
	case "descriptor leak":
		for range 40 {
			syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
		}
	case "disallowed repeat", "wrong rejection":
		for range 2 {
			attemptAndClose(memberAddr, line)
			if script == "wrong rejection" {
				io.WriteString(client, "BUSY 9000\r\n")
				return
			}
		}
		io.WriteString(client, "ERR\r\n")
		return
	case "ignores half close": // treats a client that closes its sending direction as gone
		in.ReadByte()
		return
	case "sent to draining":
		if drains := pick("DRAINING"); drains != "" {
			memberAddr = drains
		}
	case "concurrent attempts":
		if other, err := net.Dial("tcp", memberAddr); err == nil {
			defer other.Close()
			io.WriteString(other, line)
		}
	case "too many attempts":
		for range 4 {
			attemptAndClose(memberAddr, line)
		}
	}
	member, err := net.Dial("tcp", memberAddr)
	if err != nil {
		io.WriteString(client, "BUSY 200\r\n")
		return
	}
	defer member.Close()
	io.WriteString(member, line)
	out := bufio.NewReader(member)
	up, err := out.ReadString('\n')
	if err != nil {
		up = "BUSY 200\r\n"
	}
	io.WriteString(client, up)
	switch script {
	case "flow cut off":
		time.Sleep(500 * time.Millisecond)
		client.Close()
		time.Sleep(10 * time.Second) // keeps the connection to the member open
		return
	case "flow stalled":
		copyWithoutSplice(io.Discard, in)
		return
	}
	go func() { copyWithoutSplice(member, in); member.(*net.TCPConn).CloseWrite() }()
	copyWithoutSplice(client, out)
}

// attemptAndClose makes an attempt at a member, closes it, and leaves the member time to notice that.
func attemptAndClose(member, line string) {
	c, err := net.Dial("tcp", member)
	if err != nil {
		return
	}
	io.WriteString(c, line)
	bufio.NewReader(c).ReadString('\n')
	c.Close()
	time.Sleep(100 * time.Millisecond)
}

// copyWithoutSplice copies without the splice system call: the runtime keeps pipes for it, which
// would count as a descriptor leak.
func copyWithoutSplice(to io.Writer, from io.Reader) {
	io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}

// TestScriptedRelays checks that the judge reports the rule that a scripted relay breaks and no
// other, and that it reports nothing for a relay that follows all rules.
func TestScriptedRelays(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	config := `{"limits":{"cores":1},"settings":{"balancers":1,"zones":["a"],"host-types":["m1"],
	 "classes":[{"name":"pay","aim-ms":500,"deadline-ms":2500,"worth":1,"effect":"read_like","key-scope":"all"}],
	 "tenants":[{"name":"water","share":1}],"limits":{"max-attempts":4,"probes":true},"report":{"names":["x0"],"source":"on_probe"},
	 "guarantees":{"answer-slack-ms":8,"cold-ms":8600,"cold-from":0.31,"overload-factor":2.5,"drain-grace-ms":250,"fall-ms":1000}}}`
	if err := os.WriteFile(filepath.Join(dir, "config.json"), []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	for script, rule := range map[string]scenario.Rule{
		"honest": "", "multiple answers": scenario.MultipleAnswers, "no answer": scenario.NoAnswer, "forged answer": scenario.ForgedAnswer,
		"concurrent attempts": scenario.ConcurrentAttempts, "too many attempts": scenario.TooManyAttempts, "sent to draining": scenario.SentToDraining, "overload in slow start": scenario.OverloadedInSlowStart,
		"flow cut off": scenario.FlowCutOff, "flow stalled": scenario.FlowStalled, "crash": scenario.RelayCrash,
		"sent for gone client": scenario.SentForGoneClient, "disallowed repeat": scenario.DisallowedRepeat, "wrong rejection": scenario.WrongRejection, "descriptor leak": scenario.DescriptorLeak,
		"ignores half close": scenario.NoAnswer, "exits on SIGTERM": scenario.FlowCutOff,
	} {
		t.Run(script, func(t *testing.T) {
			t.Parallel()
			seconds, step := 6, `{"at_ms":1500,"do":"drain","who":["s0"]}`
			if script == "overload in slow start" {
				step = `{"at_ms":1500,"do":"replace","who":["s0"]}`
			}
			effect, leave := "read_like", 0.0
			switch script {
			case "flow stalled":
				seconds = 12
			case "sent for gone client", "ignores half close":
				leave, step = 1, "" // without the drain: an attempt a second later would go to a draining member
			case "disallowed repeat", "wrong rejection":
				effect = "non_idempotent"
			case "exits on SIGTERM":
				step = `{"at_ms":3000,"do":"term","who":["n0"]}`
			}
			f, err := scenario.Decode(fmt.Appendf(nil, `{"config":"config.json","settle":true,"change":{"script":%q,"settings":{"classes":[{"name":"pay","aim-ms":500,"deadline-ms":2500,"worth":1,"effect":%q,"key-scope":"all"}]}},"seed":3,"seconds":%d,"from_ms":1000,
			 "relays":{"count":1},"members":{"count":3,"cores":[1,1],"open_ms":40,"leave_ms":3000},"front":{"ping_ms":200},
			 "clients":{"standing":5,"per_second":%d,"stay_ms":20000,"load":[0.001,0.001],"line_ms":200,"leave":%g},"faults":[%s]}`,
				script, effect, seconds, map[bool]int{true: 24, false: 6}[script == "overload in slow start"], leave, step))
			if err != nil {
				t.Fatalf("scenario.Decode failed: %v", err)
			}
			r := &Runner{File: f, Dir: dir, Program: self, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
			x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
			if err != nil {
				t.Fatalf("RunVariant failed: %v", err)
			}
			broken := map[scenario.Rule]int{}
			for _, b := range x.Violations {
				broken[b.Rule]++
			}
			// A request that the relay has accepted just before the exit stays unanswered: the same fault.
			if script == "exits on SIGTERM" {
				delete(broken, scenario.NoAnswer)
			}
			if rule != "" && broken[rule] == 0 || len(broken) > 1 || rule == "" && len(broken) > 0 {
				t.Errorf("judge reported violations by rule %v, want only %q\n%v", broken, rule, x.Violations)
			}
			if rule == scenario.FlowCutOff && script == "exits on SIGTERM" && broken[rule] < 3 {
				t.Errorf("%d flows reported as cut off when the relay exited on SIGTERM, want at least 3", broken[rule])
			}
			if rule == "" && x.Service < 0.5 {
				t.Errorf("share of the demand served well = %.2f, want at least 0.5; answers %v", x.Service, x.Answers)
			}
			page := filepath.Join(r.WorkDir, "page.html")
			if err := WritePage(page, "about", []*Result{x}); err != nil {
				t.Fatalf("WritePage failed: %v", err)
			}
			if text, _ := os.ReadFile(page); strings.Count(string(text), "</svg>") != 2 || strings.Contains(string(text), "http") && strings.Contains(string(text), "src=") {
				t.Error("the page does not contain exactly two plots, or it refers to an external resource")
			}
		})
	}
}

// TestFiles checks that the shipped scenarios are valid with the configurations that they name.
func TestFiles(t *testing.T) {
	all, err := filepath.Glob("../../deploy/scenarios/*.json")
	if err != nil || len(all) == 0 {
		t.Fatalf("glob of the shipped scenarios = %v, error %v, want at least one file", all, err)
	}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := scenario.Decode(text)
		if err != nil {
			t.Errorf("scenario.Decode(%s) failed: %v", path, err)
			continue
		}
		for _, v := range f.Variants {
			if _, _, err := (&Runner{File: f, Dir: filepath.Dir(path)}).Settings(v); err != nil {
				t.Errorf("Settings of %s, variant %q, failed: %v", path, v.Name, err)
			}
		}
	}
}

// TestFreeAddr checks that an address is returned only once, although nobody listens at it yet.
func TestFreeAddr(t *testing.T) {
	r := &run{usedAddrs: map[string]bool{}}
	for range 900 { // enough for the same random port to be drawn again
		if _, err := r.freeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.usedAddrs) != 900 {
		t.Errorf("freeAddr returned %d different addresses in 900 calls, want 900", len(r.usedAddrs))
	}
}
