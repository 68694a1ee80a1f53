package consensus

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestLeaderClosedAndMajorityLost closes the leader of three voters and then its successor. With two
// voters commands are committed; with one, calls fail with ErrNoQuorum and commit nothing, until the
// closed voters are started again.
func TestLeaderClosedAndMajorityLost(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3, true)
	f.startVoters()
	f.start("r0")
	f.propose("r0", "a")
	firstLeader := f.leader()
	f.stop(firstLeader)
	f.propose("r0", "b")
	secondLeader := f.leader()
	f.stop(secondLeader)
	// While a relay still forwards a call to the stopped leader, the outcome of the call is unknown.
	f.wait("no remaining relay knows a leader", func() bool {
		for _, n := range f.nodes {
			if s := n.Status(); s.HasQuorum || s.Leader != "" {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	_, _, err := f.nodes["r0"].Propose(ctx, []byte("refused"))
	cancel()
	if !errors.Is(err, ErrNoQuorum) {
		t.Fatalf("Propose without a majority: got %v, want ErrNoQuorum", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	if _, err := f.nodes["r0"].Barrier(ctx); !errors.Is(err, ErrNoQuorum) {
		t.Fatalf("Barrier without a majority: got %v, want ErrNoQuorum", err)
	}
	cancel()
	f.start(firstLeader)
	f.start(secondLeader)
	f.propose("r0", "c")
	f.waitSameState()
	if n, _ := f.machines["r0"].state(); n != 3 {
		t.Fatalf("r0 applied %d commands, want 3: a rejected command may have been committed", n)
	}
}

// TestSilentLinks cuts connections that stay open: a follower changes to another voter's stream, and
// the voters replace a leader that they cannot reach.
func TestSilentLinks(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3, true)
	links := f.linkAll("v0", "v1", "v2", "r0")
	f.startVoters()
	f.start("r0")
	f.propose("r0", "a")
	// The link of the follower's stream is cut: the follower changes to another voter.
	f.wait("r0 follows a stream", func() bool { return f.nodes["r0"].Status().StreamSource != "" })
	source := f.nodes["r0"].Status().StreamSource
	links["r0>"+source].cut.Store(true)
	f.wait("r0 follows another voter's stream", func() bool {
		s := f.nodes["r0"].Status().StreamSource
		return s != "" && s != source
	})
	links["r0>"+source].cut.Store(false)
	// The leader is cut off from the other voters: it steps down, and they elect another leader.
	leader := f.leader()
	for way, w := range links {
		if !strings.HasPrefix(way, "r0") && strings.Contains(way, leader) {
			w.cut.Store(true)
		}
	}
	f.wait("the old leader steps down", func() bool { return f.nodes[leader].Status().Role == RoleVoter })
	f.wait("another voter leads", func() bool {
		for name, n := range f.nodes {
			if name != leader && n.Status().Role == RoleLeader {
				return true
			}
		}
		return false
	})
	for name := range f.voters {
		if name != leader {
			f.propose(name, "b"+name)
		}
	}
	for _, w := range links {
		w.cut.Store(false)
	}
	f.propose("r0", "c")
	f.waitSameState()
}

// TestGapGetsSnapshot commits more than the log and the recent entries hold while a voter and a
// follower are down: the log is compacted, and both catch up with a snapshot.
func TestGapGetsSnapshot(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3, true)
	f.startVoters()
	f.start("r0")
	f.propose("r0", "a")
	f.waitSameState()
	f.stop("r0")
	leader := f.leader()
	stoppedVoter := "v0"
	if leader == stoppedVoter {
		stoppedVoter = "v1"
	}
	f.stop(stoppedVoter)
	largeCommand := strings.Repeat("x", 200<<10)
	for range 30 { // more than the log and the recent entries hold
		f.propose(leader, largeCommand)
	}
	s := f.nodes[leader].Status()
	if s.LogBytes > maxRecentBytes+MaxCommandSize || s.SnapshotIndex == 0 {
		t.Fatalf("LogBytes = %d, want at most %d; SnapshotIndex = %d, want above 0",
			s.LogBytes, maxRecentBytes+MaxCommandSize, s.SnapshotIndex)
	}
	f.wait("the log is compacted", func() bool { s := f.nodes[leader].Status(); return s.LogLast-s.LogFirst < 16 })
	info, err := os.Stat(filepath.Join(f.dirs[leader], databaseFile))
	if err != nil || info.Size() > 16<<20 {
		t.Fatalf("the leader's file has %d bytes, want at most %d: %v", info.Size(), 16<<20, err)
	}
	f.start(stoppedVoter)
	f.start("r0")
	f.propose("r0", "z")
	f.waitSameState()
}
