package consensus

import (
	"maps"
	"slices"
	"time"
)

// Roles in a Status. Their values are part of the status page's JSON.
const (
	RoleLeader     = "leader"
	RoleVoter      = "voter"
	RoleFollower   = "follower" // not a voter: it follows a voter's stream
	RoleJoining    = "waiting"  // a voter by name that is not yet in the raft configuration: it bootstraps the record or waits to be added; it follows meanwhile
	RoleDiskFailed = "mute"     // a voter whose disk fails: it does not vote, and follows
)

// Status is a node's view of itself and of the record. The JSON names are those of the status page.
type Status struct {
	Name, Role, Leader string
	RecordID           uint64 `json:"Record"` // drawn at the bootstrap; 0 before
	Identity           uint64 // of this relay's directory; a voter's raft id
	Term               uint64
	Applied, Committed uint64
	LogFirst, LogLast  uint64 // indexes that the voter's log holds
	LogBytes           int
	SnapshotIndex      uint64
	SnapshotBytes      int
	HasQuorum          bool      `json:"Majority"` // a leader with a quorum is known, here or at the voter whose stream is followed
	QuorumSince        time.Time `json:"Since"`    // when HasQuorum last changed
	StreamSource       string    `json:"Follows"`  // the voter whose stream is followed, if any
	Voters             map[string]string
	VotersIndex        uint64 `json:"VotersAt"` // the index at which these voters were committed; 0 as bootstrapped
	BytesIn, BytesOut  uint64 // of HTTP connections, headers included
	Dropped            map[string]uint64
	Rejected           map[string]uint64 `json:"Refused"` // requests rejected by the envelope check, by reason
	DiskError          string            `json:"Disk"`    // the disk's last error; "" if it works
	EngineError        string            `json:"Engine"`  // why the engine ended, or what blocks a change of voters; "" if nothing does
	// DuplicateNames are names, its own included, under which two relays seem to send, or one that restarts repeatedly, as seen in the last seconds.
	DuplicateNames []string `json:"Twins"`
	// IdentityReason says how this voter got its identity if that was not its first: such as after it lost its directory.
	IdentityReason string `json:"Taken"`
}

// Status returns the node's current status.
func (n *Node) Status() Status { return n.status() }

const (
	duplicateWindow = 5 * time.Second
)

// updateQuorum notes whether a leader with a majority is heard, and for how long a voter has had none.
func (n *Node) updateQuorum() {
	ok := false
	role := ""
	e := n.engine()
	if e != nil {
		v := e.view.Load()
		ok = v.leader != 0 && v.diskError == nil
		switch {
		case v.diskError != nil:
			role = RoleDiskFailed
		case v.isLeader:
			role = RoleLeader
		default:
			role = RoleVoter
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case e == nil || ok:
		n.leaderlessSince = time.Time{}
	case n.leaderlessSince.IsZero():
		n.leaderlessSince = time.Now()
	}
	if !ok && n.followState.hasQuorum && time.Since(n.followState.updatedAt) < streamTimeout {
		ok = true
	}
	if role != "" {
		n.role = role
	}
	if ok != n.hasQuorum {
		n.hasQuorum, n.quorumSince = ok, time.Now()
	}
}

// updateDuplicateNames notes which names two relays seem to send under, at once; at the end of a while, which do no longer.
func (n *Node) updateDuplicateNames(ends bool) bool {
	names := n.replayGuard.duplicateNames(ends)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(n.duplicateNames, name) {
			n.duplicateNames = append(n.duplicateNames, name)
			n.log().WithField("relay", name).Error("accord: two relays seem to have this name, or one starts over and over")
		}
	}
	if ends {
		n.duplicateNames = names
	}
	return ends
}

func (n *Node) status() Status {
	n.updateQuorum()
	s := Status{Name: n.options.Name, Voters: map[string]string{}, BytesIn: n.bytesIn.Load(), BytesOut: n.bytesOut.Load()}
	s.RecordID, s.Applied, _ = n.applier.position()
	ms, at := n.applier.voterSetAt()
	s.VotersIndex = at
	for _, m := range ms {
		s.Voters[m.Name] = m.Addr
	}
	if m, _, ok := n.knownLeader(); ok {
		s.Leader = m.Name
	}
	e := n.engine()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Role, s.Identity, s.HasQuorum, s.QuorumSince, s.DiskError, s.EngineError, s.IdentityReason = n.role, n.identity, n.hasQuorum, n.quorumSince, n.diskError, n.engineError, n.identityReason
	s.Committed = n.followState.commitIndex
	s.StreamSource, s.DuplicateNames = n.followState.source, slices.Clone(n.duplicateNames)
	if e != nil {
		v := e.view.Load()
		s.Term, s.Committed, s.LogFirst, s.LogLast, s.SnapshotIndex, s.SnapshotBytes = v.term, v.committed, v.firstIndex, v.lastIndex, v.snapshotIndex, v.snapshotBytes
		s.EngineError = v.changeBlocked
		if v.diskError != nil {
			s.DiskError = v.diskError.Error()
		}
	}
	s.Dropped, s.Rejected = maps.Clone(n.dropped), maps.Clone(n.rejected)
	s.LogBytes = n.applier.logBytes()
	return s
}
