package consensus

import (
	"maps"
	"slices"
	"time"
)

// Roles in a Status. Their values are part of the status page's JSON.
const (
	RoleLeader   = "leader"
	RoleVoter    = "voter"
	RoleFollower = "follower" // not a voter: it follows a voter's stream
	// RoleJoining is the role of a relay that has a voter's name but is not in the raft configuration
	// yet. It bootstraps the record or waits until it is added, and follows a voter's stream meanwhile.
	RoleJoining    = "waiting"
	RoleDiskFailed = "mute" // a voter whose disk or engine failed: it does not vote, and follows a stream
)

// The keys of Status.Dropped, which are part of the status page's JSON.
const (
	droppedTasks           = "others"      // functions queued by tryOnEngine: the engine's queue was full
	droppedMessages        = "steps"       // raft messages from other voters: the engine's queue was full
	droppedSender          = "sender"      // raft messages that name another sender than their request
	droppedCalls           = "calls"       // proposals and barriers: the engine's queue was full
	droppedPendingCalls    = "pending"     // proposals and barriers: maxPendingCalls wait already
	droppedRaftMessages    = "engine"      // raft messages to another voter: its queue was full
	droppedMarshal         = "marshal"     // raft messages that could not be encoded
	droppedUnreachable     = "unreachable" // requests with raft messages that another voter did not answer
	droppedRequests        = "requests"    // requests: maxRequests are served already
	droppedLargeRequests   = "large"       // large requests: another one is served already
	droppedResponses       = "answers"     // responses: the connection failed
	droppedStreams         = "streams"     // streams: too many followers, or a malformed request
	droppedLeadership      = "led"         // changes of leadership: the queue was full, and a newer one replaced them
	droppedReports         = "said"        // this relay's reports: its queue was full
	droppedUndelivered     = "unheard"     // batches of this relay's reports: no voter accepted them
	droppedIncomingReports = "heard"       // reports at the leader: its queue was full
	droppedUnanswered      = "unanswered"  // requests with reports: maxReplyWaiters wait already, or a time-out
	droppedReplySize       = "answersize"  // replies: larger than MaxReplySize
	droppedReplies         = "told"        // replies to this relay: its queue was full
)

// The keys of Status.Rejected, besides the reasons of the errors that the envelope check returns
// (gossip.RejectReason).
const (
	rejectedPath     = "path"     // not a POST to endpointPath
	rejectedSize     = "size"     // no content length, or more than maxLargeRequest
	rejectedDeadline = "deadline" // the connection's read deadline could not be set
	rejectedRead     = "read"     // the body could not be read in time
)

// duplicateWindow is the period over which restarts of one name are counted.
const duplicateWindow = 5 * time.Second

// Status is a node's own state and its view of the record. The JSON names are those of the status
// page.
type Status struct {
	Name, Role, Leader string
	RecordID           uint64 `json:"Record"` // random, drawn at the bootstrap; 0 before
	Identity           uint64 // of this relay's directory; a voter's raft id
	Term               uint64
	Applied, Committed uint64
	LogFirst, LogLast  uint64 // first and last index in the voter's log
	LogBytes           int    // estimated memory size of the recently applied entries
	SnapshotIndex      uint64
	SnapshotBytes      int
	// HasQuorum is true if a leader with a quorum is known, here or at the voter whose stream is
	// followed.
	HasQuorum    bool      `json:"Majority"`
	QuorumSince  time.Time `json:"Since"`   // when HasQuorum last changed
	StreamSource string    `json:"Follows"` // the voter whose stream is followed, if any
	Voters       map[string]string
	// VotersIndex is the index at which these voters were committed; 0 for those of the bootstrap.
	VotersIndex       uint64 `json:"VotersAt"`
	BytesIn, BytesOut uint64 // of HTTP connections, headers included
	Dropped           map[string]uint64
	Rejected          map[string]uint64 `json:"Refused"` // requests rejected before they were handled, by reason
	DiskError         string            `json:"Disk"`    // the disk's last error; "" if it works
	// EngineError says why the engine failed, or what blocks a change of voters. It is empty if neither.
	EngineError string `json:"Engine"`
	// DuplicateNames are the names, this relay's own included, under which two relays seem to send or
	// one relay restarts repeatedly, as seen in the last seconds.
	DuplicateNames []string `json:"Twins"`
	// IdentityReason says why this relay took a new identity since its process started: its directory
	// was damaged or outdated, or it was replaced as a voter. It is empty otherwise.
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

// updateQuorum updates whether a leader with a quorum is known, since when the engine knows no
// leader, and the role.
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

// updateDuplicateNames adds newly found duplicate names. At the end of a window it drops the names
// that were not found in it.
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

// countDropped counts a loss under one of the dropped keys.
func (n *Node) countDropped(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[key]++
}

// countRejected counts a rejected request under one of the rejected keys, or under the reason of an
// error of the envelope check.
func (n *Node) countRejected(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejected[key]++
}
