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

func (f *cluster) startVoters() {
	for name := range f.voters {
		f.start(name)
	}
}

// waitChangeDone waits until all voters have the new voter and have left the joint configuration. In
// the joint configuration a commit also needs a majority of the old voters.
func (f *cluster) waitChangeDone(name string) {
	f.t.Helper()
	id := f.nodes[name].Status().Identity
	f.wait(name+" is a voter at all voters, and none is in a joint configuration", func() bool {
		n := 0
		for _, node := range f.nodes {
			if e := node.engine(); e != nil {
				if v := e.view.Load(); v.voters.idOf(name) != id || v.inJointConfig {
					return false
				}
				n++
			}
		}
		return n == len(f.voters)
	})
}

// hashMachine is a machine whose state depends on the order of the commands: a hash over all of them,
// and their number.
type hashMachine struct {
	mu              sync.Mutex
	applied         uint64
	hash            uint64
	last            string
	snapshotPadding int
}

func (s *hashMachine) Apply(index uint64, c []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied++
	for _, b := range c {
		s.hash = (s.hash ^ uint64(b)) * 1099511628211
	}
	s.last = string(c)
	return fmt.Appendf(nil, "%d:%s", s.applied, c)
}

func (s *hashMachine) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.applied), s.hash)
	return append(b, make([]byte, s.snapshotPadding)...)
}

func (s *hashMachine) Restore(index uint64, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b) < 16 {
		return errMalformed
	}
	s.applied, s.hash = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

func (s *hashMachine) state() (n, hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied, s.hash
}

// cluster runs several nodes in one process. Its maps are keyed by the names of the nodes.
type cluster struct {
	t             testing.TB
	keys          [][]byte
	voters        map[string]string
	nodes         map[string]*Node
	machines      map[string]*hashMachine
	directory     string
	dirs          map[string]string
	addrs         map[string]string
	dialAddresses map[string]map[string]string
	faults        map[string]func(string) error
	onReport      func(from string, report []byte) []byte
	onReply       func(at, from, reply string)
}

var loopbackHosts atomic.Uint32

// freeAddr returns an address with a free port on a loopback host of its own, so that no other test
// and no outgoing connection takes the port while a node is down.
func freeAddr(t testing.TB) string {
	h := loopbackHosts.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, h/250, 1+h%250))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newCluster(t testing.TB, voters int, disk bool) *cluster {
	f := &cluster{t: t, directory: t.TempDir(), keys: [][]byte{[]byte("a key of the installation, 32 or more")}, voters: map[string]string{}, nodes: map[string]*Node{}, machines: map[string]*hashMachine{},
		dirs: map[string]string{}, addrs: map[string]string{}, dialAddresses: map[string]map[string]string{}, faults: map[string]func(string) error{}}
	for i := range voters {
		name := fmt.Sprintf("v%d", i)
		f.voters[name] = freeAddr(t)
		f.addrs[name] = f.voters[name]
		if disk {
			f.dirs[name] = filepath.Join(f.directory, name)
		}
	}
	t.Cleanup(func() { // runs before the directory above is removed: a running node would still write into it
		var wg sync.WaitGroup
		for _, n := range f.nodes {
			wg.Go(func() { n.Close() })
		}
		wg.Wait()
	})
	return f
}

func (f *cluster) start(name string) *Node {
	f.t.Helper()
	if f.addrs[name] == "" {
		f.addrs[name] = freeAddr(f.t)
	}
	m := &hashMachine{}
	onReply := func(from string, reply []byte) {
		if f.onReply != nil {
			f.onReply(name, from, string(reply))
		}
	}
	n, err := startWithFaults(Options{Name: name, Voters: f.voters, DialAddresses: f.dialAddresses[name], Listen: f.addrs[name], Dir: f.dirs[name], Keys: f.keys, Machine: m, OnReport: f.onReport, OnReply: onReply}, f.faults[name])
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name], f.machines[name] = n, m
	return n
}

func (f *cluster) stop(name string) {
	f.t.Helper()
	if err := f.nodes[name].Close(); err != nil {
		f.t.Fatal(err)
	}
	delete(f.nodes, name)
}

func (f *cluster) wait(condition string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for name, n := range f.nodes {
				f.t.Logf("%s: %+v", name, n.Status())
			}
			f.t.Fatalf("condition not met within 30 s: %s", condition)
		}
	}
}

func (f *cluster) propose(name, command string) uint64 {
	f.t.Helper()
	// Without a leader that is up, the outcome of a call may be unknown: the node contacts all voters in
	// turn, including one that is down.
	f.wait(name+" knows a leader that is up", func() bool {
		leader, voterEngine := f.nodes[f.nodes[name].Status().Leader], f.nodes[name].engine()
		return leader != nil && leader.Status().Role == RoleLeader && (voterEngine == nil || voterEngine.view.Load().leader != 0)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, index, err := f.nodes[name].Propose(ctx, []byte(command))
	if err != nil {
		for name, n := range f.nodes {
			f.t.Logf("%s: %+v", name, n.Status())
		}
		f.t.Fatalf("Propose(%.40q) at %s: %v", command, name, err)
	}
	var n int
	var c string
	if _, err := fmt.Sscanf(string(result), "%d:%s", &n, &c); err != nil || c != command {
		f.t.Fatalf("Propose(%.40q) at %s = %.40q, want <number>:<command>", command, name, result)
	}
	return index
}

func (f *cluster) leader() string {
	name := ""
	f.wait("a leader is elected", func() bool {
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

// waitSameState waits until all machines have applied the same commands.
func (f *cluster) waitSameState() {
	f.t.Helper()
	f.wait("all machines have the same state", func() bool {
		var n, hash uint64
		first := true
		for _, m := range f.machines {
			count, machineHash := m.state()
			if first {
				n, hash, first = count, machineHash, false
			}
			if count != n || machineHash != hash {
				return false
			}
		}
		return true
	})
}
