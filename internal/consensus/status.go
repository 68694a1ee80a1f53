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

// The keys of Status.Dropped, which are part of the status page's JSON.
const (
	droppedTasks           = "others"      // the engine's queue was full
	droppedMessages        = "steps"       // raft messages from other voters: the engine's queue was full
	droppedSender          = "sender"      // raft messages that name another sender than their request
	droppedCalls           = "calls"       // the engine's queue was full
	droppedPendingCalls    = "pending"     // too many calls in flight
	droppedRaftMessages    = "engine"      // raft messages to another voter: its queue was full
	droppedMarshal         = "marshal"     // raft messages that could not be encoded
	droppedUnreachable     = "unreachable" // raft messages that another voter did not acknowledge
	droppedRequests        = "requests"    // too many requests in flight
	droppedLargeRequests   = "large"
	droppedResponses       = "answers" // the connection failed
	droppedStreams         = "streams" // too many followers, or a malformed request
	droppedLeadership      = "led"     // changes of leadership that a newer one replaced
	droppedReports         = "said"    // this relay's reports: its queue was full
	droppedUndelivered     = "unheard" // this relay's reports: no voter took them
	droppedIncomingReports = "heard"   // reports at the leader: its queue was full
	droppedUnanswered      = "unanswered"
	droppedReplySize       = "answersize"
	droppedReplies         = "told" // replies to this relay: its queue was full
)

// The keys of Status.Rejected beside the errors of the envelope check.
const (
	rejectedPath     = "path"
	rejectedSize     = "size"
	rejectedDeadline = "deadline"
	rejectedRead     = "read"
)

// duplicateWindow is the period over which restarts of one name are counted.
const duplicateWindow = 5 * time.Second

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
func (n *Node) Status() Status {
	n.updateQuorum()
	s := Status{Name: n.options.Name, Voters: map[string]string{}, BytesIn: n.bytesIn.Load(), BytesOut: n.bytesOut.Load()}
	s.RecordID, s.Applied, _ = n.applier.position()
	voters, votersIndex := n.applier.voterSetAt()
	s.VotersIndex = votersIndex
	for _, v := range voters {
		s.Voters[v.name] = v.address
	}
	if leader, _, ok := n.knownLeader(); ok {
		s.Leader = leader.name
	}
	e := n.engine()
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Role, s.Identity, s.IdentityReason = n.role, n.identity, n.identityReason
	s.HasQuorum, s.QuorumSince = n.hasQuorum, n.quorumSince
	s.DiskError, s.EngineError = n.diskError, n.engineError
	s.Committed, s.StreamSource = n.followState.commitIndex, n.followState.source
	s.DuplicateNames = slices.Clone(n.duplicateNames)
	if e != nil {
		v := e.view.Load()
		s.Term, s.Committed, s.LogFirst, s.LogLast, s.SnapshotIndex, s.SnapshotBytes = v.term, v.commitIndex, v.firstIndex, v.lastIndex, v.snapshotIndex, v.snapshotSize
		s.EngineError = v.changeBlocked
		if v.diskError != nil {
			s.DiskError = v.diskError.Error()
		}
	}
	s.Dropped, s.Rejected = maps.Clone(n.dropped), maps.Clone(n.rejected)
	s.LogBytes = n.applier.logBytes()
	return s
}

// updateQuorum notes whether a leader with a quorum is known, and for how long a voter has known none.
func (n *Node) updateQuorum() {
	hasQuorum := false
	role := ""
	e := n.engine()
	if e != nil {
		v := e.view.Load()
		hasQuorum = v.hasLeader()
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
	case e == nil || hasQuorum:
		n.leaderlessSince = time.Time{}
	case n.leaderlessSince.IsZero():
		n.leaderlessSince = time.Now()
	}
	if !hasQuorum && n.followState.hasQuorum && time.Since(n.followState.updatedAt) < streamTimeout {
		hasQuorum = true
	}
	if role != "" {
		n.role = role
	}
	if hasQuorum != n.hasQuorum {
		n.hasQuorum, n.quorumSince = hasQuorum, time.Now()
	}
}

// updateDuplicateNames adds newly found duplicate names; at the end of a window it drops those not found in it.
func (n *Node) updateDuplicateNames(endOfWindow bool) {
	names := n.replayGuard.duplicateNames(endOfWindow)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(n.duplicateNames, name) {
			n.duplicateNames = append(n.duplicateNames, name)
			n.log().WithField("relay", name).Error("consensus: two relays seem to have this name, or one restarts repeatedly")
		}
	}
	if endOfWindow {
		n.duplicateNames = names
	}
}

func (n *Node) setRole(role string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.role = role
}

// countDropped counts what a full queue or a failed connection lost, under one of the dropped keys.
func (n *Node) countDropped(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[key]++
}

// countRejected counts a request that was not let in, under one of the rejected keys or an envelope error.
func (n *Node) countRejected(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejected[key]++
}
