package consensus

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sum is a machine that shows order: a hash over all commands, and their number.
type sum struct {
	mu   sync.Mutex
	n    uint64
	hash uint64
	last string
	pad  int
}

func (s *sum) Apply(index uint64, c []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	for _, b := range c {
		s.hash = (s.hash ^ uint64(b)) * 1099511628211
	}
	s.last = string(c)
	return fmt.Appendf(nil, "%d:%s", s.n, c)
}

func (s *sum) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.n), s.hash)
	return append(b, make([]byte, s.pad)...)
}

func (s *sum) Restore(index uint64, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b) < 16 {
		return errMalformed
	}
	s.n, s.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

func (s *sum) now() (n, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n, s.hash
}

// fleet is several nodes in one process.
type fleet struct {
	t      testing.TB
	keys   [][]byte
	voters map[string]string
	nodes  map[string]*Node
	ms     map[string]*sum
	temp   string
	dirs   map[string]string
	addrs  map[string]string
	reach  map[string]map[string]string
	fault  map[string]func(string) error
	heard  func(from string, word []byte) []byte
	told   func(at, from, answer string)
}

var hosts atomic.Uint32

// freeAddr is on a loopback address of its own: no other test, and no connection's near end, takes the port while a node is down.
func freeAddr(t testing.TB) string {
	h := hosts.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, h/250, 1+h%250))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newFleet(t testing.TB, voters int, disk bool) *fleet {
	f := &fleet{t: t, temp: t.TempDir(), keys: [][]byte{[]byte("a key of the installation, 32 or more")}, voters: map[string]string{}, nodes: map[string]*Node{}, ms: map[string]*sum{},
		dirs: map[string]string{}, addrs: map[string]string{}, reach: map[string]map[string]string{}, fault: map[string]func(string) error{}}
	for i := range voters {
		name := fmt.Sprintf("v%d", i)
		f.voters[name] = freeAddr(t)
		f.addrs[name] = f.voters[name]
		if disk {
			f.dirs[name] = filepath.Join(f.temp, name)
		}
	}
	t.Cleanup(func() { // before the directory above is removed: a node that still runs would write into it
		var wg sync.WaitGroup
		for _, n := range f.nodes {
			wg.Go(func() { n.Close() })
		}
		wg.Wait()
	})
	return f
}

func (f *fleet) up(name string) *Node {
	f.t.Helper()
	if f.addrs[name] == "" {
		f.addrs[name] = freeAddr(f.t)
	}
	m := &sum{}
	told := func(from string, answer []byte) {
		if f.told != nil {
			f.told(name, from, string(answer))
		}
	}
	n, err := startWithFaults(Options{Name: name, Voters: f.voters, DialAddresses: f.reach[name], Listen: f.addrs[name], Dir: f.dirs[name], Keys: f.keys, Machine: m, OnReport: f.heard, OnReply: told}, f.fault[name])
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name], f.ms[name] = n, m
	return n
}

func (f *fleet) down(name string) {
	f.t.Helper()
	if err := f.nodes[name].Close(); err != nil {
		f.t.Fatal(err)
	}
	delete(f.nodes, name)
}

func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for name, n := range f.nodes {
				f.t.Logf("%s: %+v", name, n.Status())
			}
			f.t.Fatalf("not in 30 s: %s", what)
		}
	}
}

func (f *fleet) propose(name, command string) uint64 {
	f.t.Helper()
	f.wait("a leader that it knows", func() bool { // else a call may end in doubt, by rights: it asks all in turn, one that is down too
		l, e := f.nodes[f.nodes[name].Status().Leader], f.nodes[name].engine()
		return l != nil && l.Status().Role == RoleLeader && (e == nil || e.view.Load().leader != 0)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, index, err := f.nodes[name].Propose(ctx, []byte(command))
	if err != nil {
		for name, n := range f.nodes {
			f.t.Logf("%s: %+v", name, n.Status())
		}
		f.t.Fatalf("%s at %s: %v", command, name, err)
	}
	var n int
	var c string
	if _, err := fmt.Sscanf(string(a), "%d:%s", &n, &c); err != nil || c != command {
		f.t.Fatalf("answer %q", a)
	}
	return index
}

func (f *fleet) leader() string {
	name := ""
	f.wait("a leader", func() bool {
		for n := range f.nodes {
			if f.nodes[n].Status().Role == RoleLeader {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// same waits until all have applied the same.
func (f *fleet) same() {
	f.t.Helper()
	f.wait("all the same", func() bool {
		var n, hash uint64
		first := true
		for _, m := range f.ms {
			a, b := m.now()
			if first {
				n, hash, first = a, b, false
			}
			if a != n || b != hash {
				return false
			}
		}
		return true
	})
}

func TestAgree(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{1, 3} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, voters, true)
			f.allUp()
			f.up("r0")
			for i := range 20 {
				f.propose([]string{"v0", "r0"}[i%2], fmt.Sprintf("c%d", i))
			}
			f.same()
			if _, err := f.nodes["r0"].Barrier(context.Background()); err != nil {
				t.Fatal(err)
			}
			for name := range f.nodes {
				f.down(name)
			}
			f.allUp()
			f.up("r0")
			f.propose("r0", "after")
			f.same()
			if n, _ := f.ms["r0"].now(); n != 21 {
				t.Fatalf("%d commands", n)
			}
		})
	}
}
