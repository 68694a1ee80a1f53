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

// consensusStatus returns the status of relay i's consensus engine.
func (f *fleetRig) consensusStatus(i int) consensus.Status {
	var a struct{ Engine consensus.Status }
	f.call(i, "GET", "/-/fleet", nil, &a)
	return a.Engine
}

// waitNoMajority waits until the relays know that there is no majority. A call before that may
// correctly end with an unknown result.
func (f *fleetRig) waitNoMajority(all ...int) {
	f.t.Helper()
	for _, i := range all {
		waitFor(f.t, fmt.Sprintf("n%d to report that there is no majority", i), func() bool {
			e := f.consensusStatus(i)
			return e.Name != "" && !e.HasQuorum && e.Leader == ""
		})
	}
}

// waitVoter waits until relay i is a voter. The term is checked too because a relay without a running
// engine reports term 0 and the role that it had under an earlier identity. Commands that are recorded
// after waitVoter returns come after the end of the voter change in the log.
func (f *fleetRig) waitVoter(i int) {
	f.t.Helper()
	waitFor(f.t, fmt.Sprintf("n%d to be a voter", i), func() bool {
		e := f.consensusStatus(i)
		return e.Term > 0 && (e.Role == consensus.RoleVoter || e.Role == consensus.RoleLeader)
	})
}

// eject ejects the member by a call at the first relay of at, and waits until all relays of at have
// ejected it. Members have to be ejected in order, beginning with s0.
func (f *fleetRig) eject(member int, at ...int) {
	f.t.Helper()
	f.setEverywhere(at[0], fmt.Sprintf("s%d", member), true)
	for _, i := range at {
		waitFor(f.t, fmt.Sprintf("n%d to have ejected %d members", i, member+1), func() bool {
			return len(f.ejectedMembers(i)) == member+1
		})
	}
}

// TestFleetVoterReplaced: the leader is killed and cut off, and an operator replaces it as a voter by a
// follower. The record continues. Then the new voter and another one are killed, and the old leader is
// started again. Its disk still lists it as a voter, so that it counts two of three voters as up. No
// command must be recorded; the old leader must become a follower, and stay one when all relays are up
// again. Guards against two disjoint majorities.
func TestFleetVoterReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, nil)
	replaced := f.waitLeader()
	a, b := (replaced+1)%3, (replaced+2)%3
	f.kill(replaced)
	f.isolate(replaced, true)
	waitFor(t, "n3 to be a voter", func() bool { // the call is refused while another voter counts as unhealthy
		f.call(3, "PUT", fmt.Sprintf("/-/voters/n%d/n3?address=%s", replaced, f.recordAddrs[3]), nil, nil)
		return f.consensusStatus(3).Voters["n3"] == f.recordAddrs[3]
	})
	f.waitVoter(3)
	f.eject(0, 3, a, b)
	f.kill(b, 3) // according to the replaced relay's disk, two of three voters are left
	f.start(replaced)
	f.isolate(replaced, false)
	f.waitNoMajority(a, replaced)
	// An election takes 1.2 s.
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range []int{replaced, a} {
			if e := f.consensusStatus(i); e.HasQuorum || e.Leader != "" {
				t.Fatalf("n%d reports %+v with one of three voters up, want no majority and no leader", i, e)
			}
		}
	}
	for _, i := range []int{replaced, a} {
		if code := f.call(i, "POST", "/-/releases", map[string]any{"name": "x", "kind": "relay", "all": true}, nil); code == 200 {
			t.Errorf("POST of a release at n%d with one of three voters up = 200, want a failure", i)
		}
	}
	f.start(3) // the majority needs n3's vote, as the replaced relay's vote does not count
	f.eject(1, a, 3, replaced)
	f.start(b)
	f.eject(2, replaced, 0, 1, 2, 3)
	waitFor(t, "GET of the refused release to be answered with 404", func() bool {
		return f.call(replaced, "GET", "/-/releases/x", nil, nil) == 404
	})
	if e := f.consensusStatus(replaced); e.Role != consensus.RoleFollower || e.Voters[e.Name] != "" {
		t.Errorf("consensus status of the replaced relay n%d = %+v, want a follower that is not among the voters",
			replaced, e)
	}
}

// TestFleetVoterForgets: a voter is restarted with an older copy of its directory, and then another one
// with an empty directory. Each reports this, receives the record again and votes under a new identity;
// with another voter down, its vote is needed for a majority. Guards against a voter that votes twice or
// loses commands that it has acknowledged, and against a second record.
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
	ejectNext(older, 0, 1, 2, 3) // afterwards all relays have every command that this one has acknowledged
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
		waitFor(t, fmt.Sprintf("n%d to report a new identity", i), func() bool {
			e := f.consensusStatus(i)
			return e.Identity != 0 && e.Identity != id && strings.Contains(e.IdentityReason, reason)
		})
		f.waitVoter(i)
		ejectNext(3, 0, 1, 2)
		f.kill(other)
		ejectNext(3, i, 3-i-other) // with one voter down, the majority needs its vote
		f.start(other)
		f.waitVoter(other)
		ejectNext(other, 0, 1, 2, 3)
	}
	restartWithDirectory(older, emptied, "older", backup)
	restartWithDirectory(emptied, older, "", "")
	for i := range f.relays {
		if e := f.consensusStatus(i); e.RecordID != recordID {
			t.Errorf("n%d has record %d, want %d as before", i, e.RecordID, recordID)
		}
	}
}
