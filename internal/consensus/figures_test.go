package consensus

import (
	"bufio"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// usage is the status and the resource usage that a relay's process reports.
type usage struct {
	Status
	Votes bool // it votes, so that the leader may be killed again
	CPU   time.Duration
	Heap  uint64
}

func usageOf(n *Node) (u usage) {
	u.Status = n.Status()
	e := n.engine()
	u.Votes = e != nil && !e.view.Load().unverified && u.HasQuorum
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapInuse + m.StackInuse
	return u
}

// TestRelayProcess is not a test: TestFigures runs it as the process of a relay. For each line on
// standard input, the process sends a report ("report") or prints its usage.
func TestRelayProcess(t *testing.T) {
	args := os.Getenv("CONSENSUS_RELAY")
	if args == "" {
		t.Skip("runs only as a process that TestFigures starts")
	}
	var o Options
	if err := json.Unmarshal([]byte(args), &o); err != nil {
		t.Fatal(err)
	}
	o.Machine, o.OnReport = &hashMachine{}, func(string, []byte) []byte { return make([]byte, 100) }
	n, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	out := json.NewEncoder(os.Stdout)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if in.Text() == "report" {
			n.Report(make([]byte, 400))
		} else if err := out.Encode(usageOf(n)); err != nil {
			t.Fatal(err)
		}
	}
}

// process is the process of a relay. It runs TestRelayProcess.
type process struct {
	cmd *exec.Cmd
	in  io.Writer
	out *json.Decoder
}

func (p *process) usage() (u usage) {
	fmt.Fprintln(p.in)
	p.out.Decode(&u)
	return u
}

// startVoterProcesses starts each voter in a process of its own. The cluster runs the followers, in
// this process. startProcess starts a voter's process again after it was killed.
func startVoterProcesses(t *testing.T) (f *cluster, processes map[string]*process, startProcess func(name string)) {
	f, processes = newCluster(t, 3, true), map[string]*process{}
	f.onReport = func(string, []byte) []byte { return nil }
	startProcess = func(name string) {
		args, err := json.Marshal(map[string]any{"Name": name, "Voters": f.voters, "Listen": f.addrs[name], "Dir": f.dirs[name], "Keys": f.keys})
		if err != nil {
			t.Fatal(err)
		}
		p := &process{cmd: exec.Command(os.Args[0], "-test.run=^TestRelayProcess$")}
		p.cmd.Env = append(os.Environ(), "CONSENSUS_RELAY="+string(args))
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			t.Fatal(err)
		}
		p.out = json.NewDecoder(out)
		if err := p.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		processes[name] = p
	}
	t.Cleanup(func() {
		for _, p := range processes {
			p.cmd.Process.Kill()
			p.cmd.Wait()
		}
	})
	for name := range f.voters {
		startProcess(name)
	}
	return f, processes, startProcess
}

// proposeUntilCommitted proposes commands at a node until one is committed. Each attempt is a new
// command, not a retry.
func (f *cluster) proposeUntilCommitted(name, command string) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, _, err := f.nodes[name].Propose(ctx, fmt.Appendf(nil, "%s %d", command, i))
		cancel()
		if err == nil {
			return
		}
		if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNoQuorum) {
			f.t.Fatal(err)
		}
	}
}

// TestFigures measures latency, failover and traffic, and checks no limits. To run it:
// CONSENSUS_FIGURES=1 go test -run TestFigures -v -timeout 30m ./internal/consensus
func TestFigures(t *testing.T) {
	if os.Getenv("CONSENSUS_FIGURES") == "" {
		t.Skip("only measures; set CONSENSUS_FIGURES=1 to run it")
	}
	load := func() string { b, _ := os.ReadFile("/proc/loadavg"); return string(b[:min(4, len(b))]) }
	ms := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	t.Run("commit", func(t *testing.T) {
		f := newCluster(t, 3, true)
		f.startVoters()
		f.start("r0")
		f.propose("r0", "a")
		for _, at := range []string{f.leader(), "r0"} {
			h := hdrhistogram.New(1, 60e6, 3)
			for i := range 500 {
				begin := time.Now()
				f.nodes[at].Propose(context.Background(), fmt.Appendf(nil, "c%d", i))
				h.RecordValue(time.Since(begin).Microseconds())
			}
			t.Logf("commit at %s (r0 is a follower, the other the leader): p50 %.2f ms, p99 %.2f ms; load %s",
				at, ms(h, 50), ms(h, 99), load())
		}
		var wg sync.WaitGroup
		begin := time.Now()
		const workers, each = 64, 100
		for w := range workers {
			wg.Go(func() {
				for i := range each {
					if _, _, err := f.nodes["r0"].Propose(context.Background(), fmt.Appendf(nil, "w%d.%d", w, i)); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		t.Logf("%d concurrent proposers: %.0f commits per second", workers, workers*each/time.Since(begin).Seconds())
	})
	t.Run("killed", func(t *testing.T) {
		f, processes, startProcess := startVoterProcesses(t)
		f.start("r0")
		h := hdrhistogram.New(1, 60e6, 3)
		for i := range 40 {
			f.wait("all voters vote", func() bool {
				n := 0
				for _, p := range processes {
					if u := p.usage(); u.Votes {
						n++
						if u.IdentityReason != "" {
							t.Errorf("a killed voter has a new identity after its restart, want its old one; reason: %s", u.IdentityReason)
						}
					}
				}
				return n == len(processes)
			})
			f.proposeUntilCommitted("r0", "before")
			leader := ""
			f.wait("r0 knows the leader, and the leader's process agrees", func() bool {
				leader = f.nodes["r0"].Status().Leader
				return leader != "" && processes[leader].usage().Role == RoleLeader
			})
			for range 32 { // so that writes are in progress when the leader is killed
				go f.nodes["r0"].Propose(context.Background(), make([]byte, 5000))
			}
			time.Sleep(time.Duration(i%8) * time.Millisecond)
			begin := time.Now()
			if err := processes[leader].cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			f.proposeUntilCommitted("r0", fmt.Sprint("after ", i))
			took := time.Since(begin)
			h.RecordValue(took.Microseconds())
			if took > 1300*time.Millisecond { // takes more than one election
				t.Logf("kill %d: next commit after %v; load %s", i, took.Round(time.Millisecond), load())
			}
			processes[leader].cmd.Wait()
			startProcess(leader)
		}
		t.Logf("from the kill of the leader's process to the next commit (%d kills): p50 %.0f ms, p99 %.0f ms, max %.0f ms; load %s",
			h.TotalCount(), ms(h, 50), ms(h, 99), float64(h.Max())/1000, load())
	})
	t.Run("virtual", func(t *testing.T) { // the model in virtual time: one-way delays up to delay, disk writes up to 8 ms
		defer func(r io.Reader) { crand.Reader = r }(crand.Reader)
		for _, delay := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
			h := hdrhistogram.New(1, 60e6, 3)
			for seed := range uint64(3000) {
				crand.Reader = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
				w := newModel(seed, 3, 0)
				w.delay = delay
				currentLeader := func() *modelNode {
					for _, n := range w.nodes {
						if n.core != nil && n.core.isLeader() {
							return n
						}
					}
					return nil
				}
				for w.run(4*time.Second + time.Duration(seed%100)*time.Millisecond); currentLeader() == nil; {
					w.run(w.now + tickInterval)
				}
				w.kill(currentLeader())
				begin := w.now
				for currentLeader() == nil {
					w.run(w.now + time.Millisecond)
				}
				h.RecordValue((w.now - begin).Microseconds())
			}
			t.Logf("one-way delays up to %v, %d kills: a leader after p50 %.0f ms, p99 %.0f ms, max %.0f ms",
				delay, h.TotalCount(), ms(h, 50), ms(h, 99), ms(h, 100))
		}
	})
	for _, followers := range []int{12, 40, 300} {
		t.Run(fmt.Sprint("bytes", followers), func(t *testing.T) {
			f, processes, _ := startVoterProcesses(t)
			for i := range followers {
				f.start(fmt.Sprintf("r%d", i))
			}
			f.proposeUntilCommitted("r0", "a")
			f.waitSameState()
			time.Sleep(preferredRetryInterval + 3*time.Second)
			for _, busy := range []bool{false, true} {
				time.Sleep(2 * time.Second)
				collectUsage := func() map[string]usage {
					m := map[string]usage{}
					for name, p := range processes {
						m[name] = p.usage()
					}
					for name, n := range f.nodes {
						if name == "r1" { // all followers share this process, so its usage is counted once
							m[name] = usageOf(n)
						} else {
							m[name] = usage{Status: n.Status()}
						}
					}
					return m
				}
				before, begin, proposed := collectUsage(), time.Now(), 0
				for i := 0; time.Since(begin) < 10*time.Second; i++ {
					if busy {
						f.proposeUntilCommitted("r1", fmt.Sprintf("%0500d", i))
						proposed++
						if i%10 == 0 {
							for _, n := range f.nodes {
								if err := n.Report(make([]byte, 400)); err != nil {
									t.Error(err)
								}
							}
							for _, p := range processes {
								fmt.Fprintln(p.in, "report")
							}
						}
					}
					time.Sleep(100*time.Millisecond - time.Since(begin)%(100*time.Millisecond))
				}
				after, secs := collectUsage(), time.Since(begin).Seconds()
				type row struct{ n, in, out, cpu, heap float64 }
				rows := map[string]row{}
				streams := map[string]int{}
				for name, u := range after {
					role, earlier := u.Role, before[name]
					totals := rows[role]
					totals.n++
					totals.in += float64(u.BytesIn-earlier.BytesIn) / secs
					totals.out += float64(u.BytesOut-earlier.BytesOut) / secs
					totals.cpu += float64(u.CPU-earlier.CPU) / 1e6 / secs
					totals.heap += float64(u.Heap) / 1e6
					rows[role] = totals
					streams[u.StreamSource]++
				}
				t.Logf("%d followers, busy %v: %.1f proposals per second, streams by source %v, load %s",
					followers, busy, float64(proposed)/secs, streams, load())
				for _, role := range []string{RoleLeader, RoleVoter, RoleFollower} {
					totals := rows[role]
					t.Logf("  %s: mean of %v relays: %.0f B/s in, %.0f B/s out, %.2f ms CPU per second, %.2f MB",
						role, totals.n, totals.in/totals.n, totals.out/totals.n, totals.cpu/totals.n, totals.heap/totals.n)
				}
				t.Logf("  all voters: %.0f B/s in, %.0f B/s out; CPU of all relays: %.0f ms per second",
					rows[RoleLeader].in+rows[RoleVoter].in, rows[RoleLeader].out+rows[RoleVoter].out,
					rows[RoleLeader].cpu+rows[RoleVoter].cpu+rows[RoleFollower].cpu)
			}
		})
	}
}
