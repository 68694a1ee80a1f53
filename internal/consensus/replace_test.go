package consensus

import (
	"context"
	"path/filepath"
	"testing"
)

// TestReplace replaces the leader by a follower. A second replacement is rejected while another voter
// is down.
func TestReplace(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3, true)
	f.startVoters()
	f.dirs["r0"] = filepath.Join(f.directory, "r0")
	f.start("r0")
	f.start("r1")
	f.propose("r0", "a")
	f.waitSameState()
	commonVotersIndex := func() (index uint64, same bool) {
		index, same = f.nodes["r1"].Status().VotersIndex, true
		for _, n := range f.nodes {
			same = same && n.Status().VotersIndex == index
		}
		return index, same
	}
	if at, same := commonVotersIndex(); at != 0 || !same {
		t.Fatalf("VotersIndex after the bootstrap = %d (the same at all nodes: %v), want 0 at all nodes", at, same)
	}
	oldLeader := f.leader() // the leader itself is replaced
	if err := f.nodes["v1"].Replace(context.Background(), oldLeader, "r0", f.addrs["r0"]); err != nil {
		t.Fatal(err)
	}
	f.wait("r0 votes", func() bool { s := f.nodes["r0"].Status().Role; return s == RoleVoter || s == RoleLeader })
	f.wait("the old leader follows", func() bool { return f.nodes[oldLeader].Status().Role == RoleFollower })
	f.wait("all nodes have the same VotersIndex above 1", func() bool {
		at, same := commonVotersIndex()
		return at > 1 && same
	})
	f.waitChangeDone("r0")
	f.propose(oldLeader, "b")
	f.waitSameState()
	other := "v0"
	if oldLeader == other {
		other = "v1"
	}
	id := f.nodes[other].Status().Identity
	f.stop(other)
	f.propose(oldLeader, "c") // needs the vote of r0
	f.wait("the leader considers the stopped voter unhealthy", func() bool {
		unhealthy, e := make(chan bool, 1), f.nodes[f.leader()].engine()
		e.tasks <- func() { unhealthy <- e.core.tickCount-e.core.lastContact[id] > healthyTicks }
		return <-unhealthy
	})
	if err := f.nodes["r0"].Replace(context.Background(), "r0", oldLeader, f.addrs[oldLeader]); err == nil {
		t.Fatal("Replace succeeded while another voter was down, want an error")
	}
	f.start(other)
	f.propose(oldLeader, "d")
	f.waitSameState()
}
