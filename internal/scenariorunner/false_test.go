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

// The test's own program is also the relay that it rehearses: one that breaks a rule as its configuration's "script" says.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		falseRelay(os.Args[3])
	}
	os.Exit(m.Run())
}

// falseRelay is as simple as a relay can be that keeps all rules, but for what the script says.
func falseRelay(path string) {
	var c struct {
		Listen, Discovery, Script string
		Known                     fakes.List
	}
	text, _ := os.ReadFile(path)
	json.Unmarshal(text, &c)
	var mu sync.Mutex
	members := map[string]fakes.Entry{}
	order := []string{}
	learn := func(l fakes.List) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range l.Instances {
			if _, ok := members[e.ID]; !ok {
				order = append(order, e.ID)
			}
			members[e.ID] = e
		}
	}
	learn(c.Known)
	go func() {
		for at := 0; ; time.Sleep(20 * time.Millisecond) {
			answer, err := http.Get(fmt.Sprintf("http://%s/api/targets?since=%d&timeout_ms=1000", c.Discovery, at))
			if err != nil {
				continue
			}
			var l fakes.List
			json.NewDecoder(answer.Body).Decode(&l)
			answer.Body.Close()
			learn(l)
			at = l.Generation
		}
	}()
	// pick is a member with that lifecycle: the newest one for "cold", else the first.
	pick := func(lifecycle string) string {
		mu.Lock()
		defer mu.Unlock()
		all := slices.Clone(order)
		if c.Script == "cold" {
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
		go serveFalsely(client, c.Script, pick)
	}
}

// often is the scripts that break their rule only under conditions of the rehearsal's.
var often = map[string]bool{"cold": true, "draining": true, "sent late": true, "deaf": true, "ends at once": true}

var brokeOnce atomic.Bool

func serveFalsely(client net.Conn, script string, pick func(string) string) {
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
	at := pick("SERVING")
	if !often[script] && brokeOnce.Swap(true) {
		script = "" // once is enough
	}
	switch script {
	case "two answers":
		io.WriteString(client, "BUSY 9000\r\nBUSY 9000\r\n")
		return
	case "no answer":
		carry(io.Discard, in)
		return
	case "false answer":
		io.WriteString(client, "UP s0/0000000000000000\r\n")
		carry(io.Discard, in)
		return
	case "crash":
		os.Exit(1)
	case "sent late": // whatever its client does meanwhile
		time.Sleep(time.Second)
	case "leaks":
		for range 40 {
			syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
		}
	case "repeats", "false hope":
		for range 2 {
			if other, err := net.Dial("tcp", at); err == nil {
				io.WriteString(other, line)
				bufio.NewReader(other).ReadString('\n')
				other.Close()
				time.Sleep(100 * time.Millisecond) // the member has seen the end of it
			}
			if script == "false hope" {
				io.WriteString(client, "BUSY 9000\r\n")
				return
			}
		}
		io.WriteString(client, "ERR\r\n")
		return
	case "deaf": // who ends its sending is taken to have gone
		if _, err := in.ReadByte(); err == nil {
			return
		}
		return
	case "draining":
		if drains := pick("DRAINING"); drains != "" {
			at = drains
		}
	case "two out":
		if other, err := net.Dial("tcp", at); err == nil {
			defer other.Close()
			io.WriteString(other, line)
		}
	case "too many":
		for range 4 {
			if other, err := net.Dial("tcp", at); err == nil {
				io.WriteString(other, line)
				bufio.NewReader(other).ReadString('\n')
				other.Close()
				time.Sleep(100 * time.Millisecond) // the member has seen the end of it
			}
		}
	}
	member, err := net.Dial("tcp", at)
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
	case "cut off":
		time.Sleep(500 * time.Millisecond)
		client.Close()
		time.Sleep(10 * time.Second) // the member's side stays
		return
	case "waiting":
		carry(io.Discard, in)
		return
	}
	go func() { carry(member, in); member.(*net.TCPConn).CloseWrite() }()
	carry(client, out)
}

// carry copies without the system's splice, for which the runtime keeps pipes that would be taken for a leak.
func carry(to io.Writer, from io.Reader) {
	io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}

// TestFalseRelays: the judge catches each rule that a scripted relay breaks, and nothing else; the relay that breaks none is
// found to break none.
func TestFalseRelays(t *testing.T) {
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
	for script, rule := range map[string]string{
		"honest": "", "two answers": scenario.MultipleAnswers, "no answer": scenario.NoAnswer, "false answer": scenario.ForgedAnswer,
		"two out": scenario.ConcurrentAttempts, "too many": scenario.TooManyAttempts, "draining": scenario.SentToDraining, "cold": scenario.OverloadedInSlowStart,
		"cut off": scenario.FlowCutOff, "waiting": scenario.FlowStalled, "crash": scenario.RelayCrash,
		"sent late": scenario.SentForGoneClient, "repeats": scenario.DisallowedRepeat, "false hope": scenario.WrongRejection, "leaks": scenario.DescriptorLeak,
		"deaf": scenario.NoAnswer, "ends at once": scenario.FlowCutOff,
	} {
		t.Run(script, func(t *testing.T) {
			t.Parallel()
			seconds, step := 6, `{"at_ms":1500,"do":"drain","who":["s0"]}`
			if script == "cold" {
				step = `{"at_ms":1500,"do":"replace","who":["s0"]}`
			}
			effect, leave := "read_like", 0.0
			switch script {
			case "waiting":
				seconds = 12
			case "sent late", "deaf":
				leave, step = 1, "" // what waits a second would go to a member that drains by then
			case "repeats", "false hope":
				effect = "non_idempotent"
			case "ends at once":
				step = `{"at_ms":3000,"do":"term","who":["n0"]}`
			}
			f, err := scenario.Decode(fmt.Appendf(nil, `{"config":"config.json","settle":true,"change":{"script":%q,"settings":{"classes":[{"name":"pay","aim-ms":500,"deadline-ms":2500,"worth":1,"effect":%q,"key-scope":"all"}]}},"seed":3,"seconds":%d,"from_ms":1000,
			 "relays":{"count":1},"members":{"count":3,"cores":[1,1],"open_ms":40,"leave_ms":3000},"front":{"ping_ms":200},
			 "clients":{"standing":5,"per_second":%d,"stay_ms":20000,"load":[0.001,0.001],"line_ms":200,"leave":%g},"faults":[%s]}`,
				script, effect, seconds, map[bool]int{true: 24, false: 6}[script == "cold"], leave, step))
			if err != nil {
				t.Fatal(err)
			}
			r := &Runner{File: f, Dir: dir, Program: self, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
			x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
			if err != nil {
				t.Fatal(err)
			}
			broken := map[string]int{}
			for _, b := range x.Violations {
				broken[b.Rule]++
			}
			if script == "ends at once" { // it may have taken a request just then, which is the same fault
				delete(broken, scenario.NoAnswer)
			}
			if rule != "" && broken[rule] == 0 || len(broken) > 1 || rule == "" && len(broken) > 0 {
				t.Errorf("found %v, want %q\n%v", broken, rule, x.Violations)
			}
			if rule == scenario.FlowCutOff && script == "ends at once" && broken[rule] < 3 {
				t.Errorf("%d clients cut off as the relay ended at once", broken[rule])
			}
			if rule == "" && x.Service < 0.5 {
				t.Errorf("%.2f well served; answers %v", x.Service, x.Answers)
			}
			page := filepath.Join(r.WorkDir, "page.html")
			if err := WritePage(page, "about", []*Result{x}); err != nil {
				t.Fatal(err)
			}
			if text, _ := os.ReadFile(page); strings.Count(string(text), "</svg>") != 2 || strings.Contains(string(text), "http") && strings.Contains(string(text), "src=") {
				t.Error("the page has not its two plots, or needs something else")
			}
		})
	}
}

// TestFiles: the rehearsals that are shipped can be used, with the configurations that they name.
func TestFiles(t *testing.T) {
	all, err := filepath.Glob("../../deploy/scenarios/*.json")
	if err != nil || len(all) == 0 {
		t.Fatal(err, all)
	}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := scenario.Decode(text)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		for _, v := range f.Variants {
			if _, _, err := (&Runner{File: f, Dir: filepath.Dir(path)}).Settings(v); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}

// TestFree: an address is given once, though nobody listens at it yet.
func TestFree(t *testing.T) {
	r := &run{usedAddrs: map[string]bool{}}
	for range 900 { // enough for the same number to be drawn again
		if _, err := r.freeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.usedAddrs) != 900 {
		t.Errorf("%d addresses for 900", len(r.usedAddrs))
	}
}
