package consensus

import (
	"maps"
	"time"

	"go.etcd.io/raft/v3"
)

// engineView is what the engine shows of itself.
type engineView struct {
	isLeader, unverified, inJointConfig bool
	leader, term, committed             uint64
	firstIndex, lastIndex               uint64
	snapshotIndex                       uint64
	snapshotBytes                       int
	diskError                           error
	voters                              voterSet
	acknowledged                        map[uint64]logPosition
	changeBlocked                       string
	at                                  time.Time
}

func (e *engine) publishView() {
	b := e.core.status()
	v := &engineView{isLeader: b.RaftState == raft.StateLeader && e.diskError == nil && e.core.tickCount >= e.silentUntilTick, unverified: e.core.unverified, inJointConfig: e.core.inJointConfig(), leader: b.Lead, term: b.GetTerm(), committed: b.GetCommit(),
		voters: e.core.voters, acknowledged: maps.Clone(e.core.acknowledged), changeBlocked: e.core.changeBlocked, diskError: e.diskError, at: time.Now()}
	v.firstIndex, _ = e.core.storage.FirstIndex()
	v.lastIndex = e.core.lastIndex()
	v.snapshotIndex, v.snapshotBytes = e.core.snapshotIndex, e.core.snapshotSize
	if e.diskError != nil || b.RaftState == raft.StateLeader && !v.isLeader {
		v.leader = 0
	}
	e.view.Store(v)
	if v.isLeader != e.announcedLeading || v.isLeader && v.term != e.announcedTerm {
		e.announcedLeading, e.announcedTerm = v.isLeader, v.term
		e.node.announceLeadership(v.isLeader, v.term)
	}
}
