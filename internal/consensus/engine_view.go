package consensus

import (
	"maps"

	"go.etcd.io/raft/v3"
)

// engineView is a copy of the engine's state for other goroutines.
type engineView struct {
	isLeader, unverified bool
	inJointConfig        bool
	// leader is 0 if none is known, while the disk fails, and if it is this voter before
	// engine.noLeadershipUntilTick.
	leader, term, commitIndex uint64
	firstIndex, lastIndex     uint64
	snapshotIndex             uint64
	snapshotSize              int
	diskError                 error
	voters                    voterSet
	acknowledged              map[uint64]logPosition
	changeBlocked             string
}

// hasLeader reports whether the disk works and a leader is known.
func (v *engineView) hasLeader() bool { return v.leader != 0 && v.diskError == nil }

// publishView updates the view for other goroutines and announces a change of leadership.
func (e *engine) publishView() {
	status := e.core.status()
	v := &engineView{isLeader: status.RaftState == raft.StateLeader && e.diskError == nil && e.core.tickCount >= e.noLeadershipUntilTick,
		unverified: e.core.unverified, inJointConfig: e.core.inJointConfig(), leader: status.Lead, term: status.GetTerm(), commitIndex: status.GetCommit(), snapshotIndex: e.core.snapshotIndex, snapshotSize: e.core.snapshotSize,
		voters: e.core.voters, acknowledged: maps.Clone(e.core.acknowledged), changeBlocked: e.core.changeBlocked, diskError: e.diskError}
	v.firstIndex, _ = e.core.storage.FirstIndex()
	v.lastIndex = e.core.lastIndex()
	if e.diskError != nil || status.RaftState == raft.StateLeader && !v.isLeader {
		v.leader = 0
	}
	e.view.Store(v)
	if v.isLeader != e.announcedLeading || v.isLeader && v.term != e.announcedTerm {
		e.announcedLeading, e.announcedTerm = v.isLeader, v.term
		e.node.announceLeadership(v.isLeader, v.term)
	}
}
