package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/gossip"
)

// gossipRig is several relays that are peers by gossip. If they are linked, each relay reaches each
// other one through a proxy of its own.
type gossipRig struct {
	t      testing.TB
	d      *discovery
	relays []*relay
	conf   []string
	links  [][]*fakes.UDPProxy // by sending relay and receiving relay; nil entries for none
	addrs  []string            // gossip addresses
}

const gossipRigKey = "a key of this installation, 32 characters and more"

// newGossipRig starts n relays, with proxies between them if linked.
func newGossipRig(t testing.TB, n int, linked bool) *gossipRig {
	c := &gossipRig{t: t}
	d := newDiscovery(t)
	c.d = d
	for range n {
		c.addrs = append(c.addrs, reservePort(t))
	}
	for i := range n {
		reach := map[string]string{}
		row := make([]*fakes.UDPProxy, n)
		for j := range n {
			if !linked || i == j {
				continue
			}
			l, err := fakes.NewUDPProxy(uint64(i*n + j))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			if err := l.SetTarget(c.addrs[j]); err != nil {
				t.Fatal(err)
			}
			row[j] = l
			reach[fmt.Sprintf("n%d", j)] = l.Addr()
		}
		c.links = append(c.links, row)
		known := []string{"127.0.0.1:9"} // one known address is down
		if i > 0 && linked {
			known = append(known, row[0].Addr())
		} else if i > 0 {
			known = append(known, c.addrs[0])
		}
		path := configure(t, d, map[string]any{"name": fmt.Sprintf("n%d", i), "operator": "127.0.0.1:0", "seed": fmt.Sprintf("%x", 77+i),
			"settings": json.RawMessage(strings.Replace(settingsText, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, n), 1)),
			"peers":    map[string]any{"listen": c.addrs[i], "known": known, "key_file": "key", "reach": reach}})
		writeFile(t, filepath.Join(filepath.Dir(path), "key"), gossipRigKey+"\n")
		c.conf = append(c.conf, path)
		c.relays = append(c.relays, nil)
	}
	for i := range n {
		c.start(i)
	}
	return c
}

func (c *gossipRig) start(i int) { c.relays[i] = start(c.t, c.conf[i], 2) }

// peersAnswer is the part of a relay's report on its peers that the tests read.
type peersAnswer struct {
	Self  struct{ Incarnation, Generation uint64 }
	Live  int
	Down  int
	Share float64 `json:"budgets_divided_by"`
	Peers []struct {
		Name, State, Phase string
		Incarnation        uint64
		Seen               gossip.Digest
	}
	Refused map[string]int
	Clashes int
}

func (c *gossipRig) peersAnswer(i int) (a peersAnswer) {
	client := http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + c.relays[i].addrs["operator"] + "/-/peers")
	if err != nil {
		return a
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	json.Unmarshal(text, &a)
	return a
}

// waitSeen waits until relay i reports relay j in one of the states.
func (c *gossipRig) waitSeen(i, j int, states ...string) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("n%d to report n%d in one of the states %v", i, j, states), func() bool {
		for _, p := range c.peersAnswer(i).Peers {
			for _, s := range states {
				if p.Name == fmt.Sprintf("n%d", j) && p.State == s {
					return true
				}
			}
		}
		time.Sleep(30 * time.Millisecond)
		return false
	})
}

func (c *gossipRig) waitAllAlive() {
	c.t.Helper()
	for i := range c.relays {
		for j := range c.relays {
			if i != j {
				c.waitSeen(i, j, "alive")
			}
		}
	}
}

// cut cuts the links from the relays numbered below side to the others, or restores them if on is false;
// with both set, also the links in the other direction.
func (c *gossipRig) cut(side int, on, both bool) {
	for i, row := range c.links {
		for j, l := range row {
			if l != nil && (i < side && j >= side || both && i >= side && j < side) {
				l.SetCut(on)
			}
		}
	}
}

// TestPeersProcesses: relays that start together, with one known address down, find each other. A
// killed relay is reported as "gone", because its port refuses connections, and as "alive" once it has
// been started again without its state. A suspended relay is reported as "dead" and, when it continues,
// as "alive". A relay that exits after SIGTERM announces this and is reported as "left".
func TestPeersProcesses(t *testing.T) {
	c := newGossipRig(t, 4, false)
	c.waitAllAlive()
	before := c.peersAnswer(1).Peers
	c.relays[3].cmd.Process.Kill()
	for i := range 3 {
		c.waitSeen(i, 3, "gone")
	}
	if a := c.peersAnswer(0); a.Live != 3 || a.Down != 1 {
		t.Errorf("n0 reports %d relays live and %d down, want 3 and 1", a.Live, a.Down)
	}
	c.start(3)
	c.waitAllAlive()
	for _, was := range before {
		for _, is := range c.peersAnswer(1).Peers {
			if was.Name == "n3" && is.Name == "n3" && is.Incarnation <= was.Incarnation {
				t.Errorf("n3 is back with incarnation %d, want more than %d as before", is.Incarnation, was.Incarnation)
			}
		}
	}
	c.relays[2].cmd.Process.Signal(syscall.SIGSTOP)
	c.waitSeen(0, 2, "suspect", "dead")
	c.waitSeen(1, 2, "dead")
	c.relays[2].cmd.Process.Signal(syscall.SIGCONT)
	c.waitAllAlive()
	c.relays[1].stop()
	for _, i := range []int{0, 2, 3} {
		c.waitSeen(i, 1, "left")
	}
}

// TestPeersLinks: the links between the relays fail: they are cut in both directions and in one, and
// they lose, duplicate and delay datagrams beyond the timeout of a ping. A relay in the minority uses
// half of its share of the common budgets, and all relays see each other as alive again afterwards.
func TestPeersLinks(t *testing.T) {
	c := newGossipRig(t, 5, true)
	c.waitAllAlive()
	waitFor(t, "n0 and n4 to divide the budgets by five", func() bool {
		return c.peersAnswer(0).Share == 5 && c.peersAnswer(4).Share == 5
	})
	c.cut(2, true, true)
	c.waitSeen(0, 4, "dead")
	c.waitSeen(4, 0, "dead")
	for i := range c.relays {
		waitFor(t, fmt.Sprintf("n%d to divide the budgets according to its side of the cut", i), func() bool {
			if share := c.peersAnswer(i).Share; i >= 2 {
				return share <= 4 && share >= 3 // majority, three of five; the divisor falls by at most a fifth in 5 s
			} else {
				return share == 10 // minority, two of five: half of a fifth
			}
		})
	}
	c.cut(2, false, true)
	c.waitAllAlive()
	c.cut(1, true, false) // n0 receives, but what it sends is lost
	c.waitSeen(4, 0, "suspect", "dead")
	c.cut(1, false, false)
	for _, row := range c.links {
		for _, l := range row {
			if l != nil {
				l.SetImpairment(0.3, 0.2, 50*time.Millisecond, 400*time.Millisecond)
			}
		}
	}
	time.Sleep(5 * time.Second) // long enough for the impairment to have an effect
	for _, row := range c.links {
		for _, l := range row {
			if l != nil {
				l.SetImpairment(0, 0, 0, 0)
			}
		}
	}
	c.waitAllAlive()

	// n1 refuses datagrams that no peer has sent, or that repeat an earlier one, and counts them by reason.
	l := c.links[0][1]
	datagram, _ := l.Last()
	l.Inject(datagram)
	l.Inject(datagram)
	l.Inject(datagram[:20])
	l.Inject(append(append([]byte(nil), datagram[:len(datagram)-1]...), datagram[len(datagram)-1]^1))
	l.Inject(make([]byte, 9000))
	foreign := append([]byte(nil), datagram...)
	foreign[2] ^= 1
	l.Inject(foreign)
	waitFor(t, "n1 to count the refused datagrams", func() bool {
		r := c.peersAnswer(1).Refused
		return r["repeated"] > 0 && r["size"] > 1 && r["tag"] > 0 && r["key"] > 0
	})
	c.waitAllAlive()
}

// TestPeersDuplicateName: two processes have the same name. The others accept the later one, refuse the
// datagrams of the earlier one with this reason, and report no relay as dead. Once both are killed and
// one process with that name is started again, all relays report each other as alive.
func TestPeersDuplicateName(t *testing.T) {
	c := newGossipRig(t, 3, false)
	c.waitAllAlive()
	text, err := os.ReadFile(c.conf[2])
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.Replace(string(text), c.addrs[2], reservePort(t), 1))
	writeFile(t, filepath.Join(filepath.Dir(path), "key"), gossipRigKey+"\n")
	duplicate := start(t, path, 2)
	waitFor(t, "n0 to count the datagrams refused for a duplicate name", func() bool {
		time.Sleep(30 * time.Millisecond)
		return c.peersAnswer(0).Refused["two relays of one name"] > 0
	})
	c.waitSeen(0, 2, "alive")
	c.waitSeen(0, 1, "alive")
	c.waitSeen(1, 0, "alive")
	duplicate.cmd.Process.Kill()
	c.relays[2].cmd.Process.Kill()
	c.start(2)
	c.waitAllAlive()
}

// TestPeersPortTaken: another process has a relay's TCP port, while its UDP port is free. The relay
// still becomes a peer of the others, and opens its TCP listener once the port is free. Guards against a
// relay that serves but receives no gossip, not even the pause of a canary.
func TestPeersPortTaken(t *testing.T) {
	c := newGossipRig(t, 2, false)
	c.waitAllAlive()
	c.relays[1].stop()
	other, err := net.Listen("tcp", c.addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c.start(1)
	c.waitAllAlive()
	other.Close()
	waitFor(t, "n1 to listen on its TCP port", func() bool {
		d, err := net.Dial("tcp", c.addrs[1])
		if err == nil {
			d.Close()
		}
		return err == nil
	})
}

// TestPeersObservations: a relay's observations of its members reach the other relays.
func TestPeersObservations(t *testing.T) {
	c := newGossipRig(t, 2, false)
	b := newFakeMember(t, "s-5be2a000", fakes.NewAttemptCounter())
	b.SetMode(fakes.ModeErr)
	c.d.Put(b.entry())
	waitFor(t, "n1 to report the failures that n0 observed", func() bool {
		c.relays[0].openFlow(int(time.Now().UnixNano()&0xffffff), "").line()
		for _, p := range c.peersAnswer(1).Peers {
			if len(p.Seen.Members) == 1 && p.Seen.Members[0].Name == b.id && p.Seen.Members[0].Failures > 0 && p.Seen.Zones[0].Name == "a" {
				return true
			}
		}
		time.Sleep(30 * time.Millisecond)
		return false
	})
}

// TestPeersStale: the connection on which one relay waits for changes from discovery no longer carries
// data but stays open. The relay learns by gossip that the others have a newer list, polls again, and
// learns that a member drains, seconds before its own call times out.
func TestPeersStale(t *testing.T) {
	c := newGossipRig(t, 3, false)
	a, b := newFakeMember(t, "s-5be2a000", fakes.NewAttemptCounter()), newFakeMember(t, "s-5be2a001", fakes.NewAttemptCounter())
	c.d.Put(a.entry())
	c.d.Put(b.entry())
	proxy, err := fakes.NewTCPProxy(c.d.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	c.relays[0].reload(c.d.addr, proxy.Addr())
	c.waitAllAlive()
	generation := func(i int) uint64 { return c.peersAnswer(i).Self.Generation }
	waitFor(t, "all relays to have the list of generation 3", func() bool {
		return generation(0) == 3 && generation(1) == 3 && generation(2) == 3
	})
	time.Sleep(200 * time.Millisecond) // until n0 has sent its next call to discovery
	proxy.Stall()
	c.d.SetLifecycle(b.id, "DRAINING")
	waitFor(t, "n0 to have the list of generation 4", func() bool {
		time.Sleep(50 * time.Millisecond)
		return generation(0) == 4
	})
	c.relays[0].waitLogged("other relays hold a newer list")
	if strings.Contains(c.relays[0].log.String(), "no answer in time") {
		t.Error("n0's own call to discovery timed out, want n0 to poll again before that")
	}
}

// TestPeersOff: without the setting peers the operator call /-/peers is answered 404. The configuration
// check rejects a key file that other users may read.
func TestPeersOff(t *testing.T) {
	s := newLineRig(t, 1, map[string]any{"operator": "127.0.0.1:0"})
	if code := s.call("GET", "/-/peers"); code != http.StatusNotFound {
		t.Errorf("GET /-/peers without the setting peers = %d, want 404", code)
	}
	d := newDiscovery(t)
	path := configure(t, d, map[string]any{"peers": map[string]any{"listen": "127.0.0.1:0", "key_file": "key"}})
	key := filepath.Join(filepath.Dir(path), "key")
	writeFile(t, key, gossipRigKey)
	if out, err := runCommand("check", "--config", path); err != nil {
		t.Errorf("check with a private key file: %v, output %s", err, out)
	}
	if err := os.Chmod(key, 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := runCommand("check", "--config", path); err == nil || !strings.Contains(out, "0600") {
		t.Errorf("check with a key file of mode 0644: %v, output %s; want an error that names mode 0600", err, out)
	}
}

// TestPeersFifty measures, with PEERS_PROCESSES relays, how soon all others report a killed relay. It is
// skipped unless PEERS_PROCESSES is set.
func TestPeersFifty(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("PEERS_PROCESSES"))
	if err != nil {
		t.Skip("PEERS_PROCESSES is not set")
	}
	c := newGossipRig(t, n, false)
	waitFor(t, "the first and the last relay to report all relays as live", func() bool {
		time.Sleep(time.Second)
		return c.peersAnswer(0).Live == n && c.peersAnswer(n-1).Live == n
	})
	time.Sleep(10 * time.Second)
	var took []time.Duration
	c.relays[n/2].cmd.Process.Kill()
	killed, seen := time.Now(), map[int]bool{n / 2: true}
	for len(seen) < n && time.Since(killed) < eventTimeout {
		for i := range n {
			if !seen[i] && c.peersAnswer(i).Live < n {
				seen[i] = true
				took = append(took, time.Since(killed))
			}
		}
	}
	slices.Sort(took)
	t.Logf("%d of %d relays reported the killed one; p50 %v, last %v",
		len(took), n-1, took[len(took)/2], took[len(took)-1])
	usage, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.relays[0].cmd.Process.Pid))
	for line := range strings.Lines(string(usage)) {
		if strings.HasPrefix(line, "VmRSS") {
			t.Log(strings.TrimSpace(line))
		}
	}
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.relays[0].cmd.Process.Pid))
	f := strings.Fields(string(stat))
	t.Logf("processor time of n0 in clock ticks: user %s, system %s", f[13], f[14])
}
