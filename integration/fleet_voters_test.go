package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/consensus"
)

// consensusStatus is a relay's report on its part in the consensus.
func (f *fleetRig) consensusStatus(i int) consensus.Status {
	var a struct{ Engine consensus.Status }
	f.call(i, "GET", "/-/fleet", nil, &a)
	return a.Engine
}

// waitNoMajority waits until these relays know that there is no majority: a call before that may end in doubt, by rights.
func (f *fleetRig) waitNoMajority(all ...int) {
	f.t.Helper()
	for _, i := range all {
		waitFor(f.t, fmt.Sprintf("n%d to miss the majority", i), func() bool {
			e := f.consensusStatus(i)
			return e.Name != "" && !e.HasQuorum && e.Leader == ""
		})
	}
}

// waitVoter waits until a relay votes. Without an engine there is no term: its role is then what it was under an identity that it gave up. What is
// agreed after this stands in the log behind the end of the change of voters.
func (f *fleetRig) waitVoter(i int) {
	f.t.Helper()
	waitFor(f.t, fmt.Sprintf("n%d to vote", i), func() bool {
		e := f.consensusStatus(i)
		return e.Term > 0 && (e.Role == consensus.RoleVoter || e.Role == consensus.RoleLeader)
	})
}

// eject has the next member out at these relays, by a call at the first of them; s0 is the first.
func (f *fleetRig) eject(member int, at ...int) {
	f.t.Helper()
	f.setEverywhere(at[0], fmt.Sprintf("s%d", member), true)
	for _, i := range at {
		waitFor(f.t, fmt.Sprintf("n%d to follow", i), func() bool { return len(f.ejectedMembers(i)) == member+1 })
	}
}

// TestFleetVoterReplaced: the leader is killed and cut off, and an operator makes a follower vote in its place. The record
// continues. The old process returns while the new voter and another one are down, with a disk by which it votes and two of
// three are present: nothing is agreed and it follows, also when all are up again. Guards against two disjoint majorities.
func TestFleetVoterReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, nil)
	replaced := f.waitLeader()
	a, b := (replaced+1)%3, (replaced+2)%3
	f.kill(replaced)
	f.isolate(replaced, true)
	waitFor(t, "n3 to be a voter", func() bool { // the call is refused while those that are left have not settled
		f.call(3, "PUT", fmt.Sprintf("/-/voters/n%d/n3?address=%s", replaced, f.recordAddrs[3]), nil, nil)
		return f.consensusStatus(3).Voters["n3"] == f.recordAddrs[3]
	})
	f.waitVoter(3)
	f.eject(0, 3, a, b)
	f.kill(b, 3) // by the old one's disk, two of three are left
	f.start(replaced)
	f.isolate(replaced, false)
	f.waitNoMajority(a, replaced)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // elections take 1.2 s
		for _, i := range []int{replaced, a} {
			if e := f.consensusStatus(i); e.HasQuorum || e.Leader != "" {
				t.Fatalf("n%d has a majority with one of three voters there: %+v", i, e)
			}
		}
	}
	for _, i := range []int{replaced, a} {
		if code := f.call(i, "POST", "/-/releases", map[string]any{"name": "x", "kind": "relay", "all": true}, nil); code == 200 {
			t.Errorf("n%d has a call agreed with one of three voters there", i)
		}
	}
	f.start(3) // its vote is needed, and that of the old one is not
	f.eject(1, a, 3, replaced)
	f.start(b)
	f.eject(2, replaced, 0, 1, 2, 3)
	waitFor(t, "what was refused to be unknown", func() bool { return f.call(replaced, "GET", "/-/releases/x", nil, nil) == 404 })
	if e := f.consensusStatus(replaced); e.Role != consensus.RoleFollower || e.Voters[e.Name] != "" {
		t.Errorf("%+v", e)
	}
}

// TestFleetVoterForgets: a voter is started with an older copy of its directory, and then another one with an emptied
// directory. Each reports so, votes as a new voter, which is then needed, and receives all that was agreed. Guards against a
// voter that votes twice or loses what it has acknowledged, and against a second record.
func TestFleetVoterForgets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 10, nil)
	l := f.waitLeader()
	older, emptied := (l+1)%3, (l+2)%3
	dir := func(i int) string { return filepath.Join(filepath.Dir(f.conf[i]), "record") }
	ejected := 0
	ejectNext := func(at ...int) { f.eject(ejected, at...); ejected++ }
	ejectNext(3, 0, 1, 2)
	recordID := f.consensusStatus(l).RecordID
	f.kill(older)
	backup := filepath.Join(t.TempDir(), "kept")
	if err := os.CopyFS(backup, os.DirFS(dir(older))); err != nil {
		t.Fatal(err)
	}
	f.start(older)
	f.waitVoter(older)
	ejectNext(3, 0, 1, 2)
	ejectNext(older, 0, 1, 2, 3) // what it has acknowledged before the last one is known to the others
	restartWithDirectory := func(i, other int, reason, backup string) {
		t.Helper()
		id := f.consensusStatus(i).Identity
		f.kill(i)
		if err := os.RemoveAll(dir(i)); err != nil {
			t.Fatal(err)
		}
		if backup != "" {
			if err := os.CopyFS(dir(i), os.DirFS(backup)); err != nil {
				t.Fatal(err)
			}
		}
		f.start(i)
		waitFor(t, fmt.Sprintf("n%d to be another voter", i), func() bool {
			e := f.consensusStatus(i)
			return e.Identity != 0 && e.Identity != id && strings.Contains(e.IdentityReason, reason)
		})
		f.waitVoter(i)
		ejectNext(3, 0, 1, 2)
		f.kill(other)
		ejectNext(3, i, 3-i-other) // its vote is needed
		f.start(other)
		f.waitVoter(other)
		ejectNext(other, 0, 1, 2, 3)
	}
	restartWithDirectory(older, emptied, "older", backup)
	restartWithDirectory(emptied, older, "", "")
	for i := range f.relays {
		if e := f.consensusStatus(i); e.RecordID != recordID {
			t.Errorf("n%d is of record %d, which was %d", i, e.RecordID, recordID)
		}
	}
}
