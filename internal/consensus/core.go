package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Raft's parameters. Without a leader, a voter starts an election after a random number of ticks
// between electionTicks and twice that. docs/design/consensus.md lists the resulting times.
const (
	heartbeatTicks      = 2         // of tickInterval each
	electionTicks       = 12        // of tickInterval each
	maxMessageSize      = 256 << 10 // bytes of entries in one append message
	maxInflightMessages = 64        // append messages that a voter has not acknowledged yet
	maxUncommittedSize  = 8 << 20   // bytes of proposed entries that are not committed yet
	maxCommittedSize    = 1 << 20   // bytes of committed entries in one Ready
)

// errOutdatedDirectory means that the voter must not vote with this directory: it lacks entries or terms
// that the voter has acknowledged. The text is part of Status.IdentityReason.
var errOutdatedDirectory = errors.New("this directory is older than what this voter has acknowledged")

// errNoLeader means that a call was not proposed: no leader is known, or the leader cannot take calls.
var errNoLeader = errors.New("call not proposed: no leader can take it")

// core is one voter's raft state machine, built on raft.RawNode. Its inputs are messages, ticks and
// completed writes; it does no I/O and reads no clock.
type core struct {
	id             uint64
	rawNode        *raft.RawNode
	storage        *raft.MemoryStorage
	voters         voterSet
	confState      *pb.ConfState
	recordID       uint64
	unverified     bool                      // the directory may be outdated: this voter neither votes nor campaigns
	acknowledged   map[uint64]logPosition    // highest position known of each voter, by identity
	proposals      map[string]changeProposal // by the new voter's name
	lastContact    map[uint64]int            // tick of a voter's last response, by identity
	tickCount      int
	inProgress     *pendingReady // not advanced yet; nil if there is none
	lastChangeTick int           // of the last proposed change of voters
	snapshotIndex  uint64
	snapshotSize   int
	changeBlocked  string // why a pending change of voters was not proposed at the last check
}

// newCore creates a core from a storage that holds a snapshot, decoded as s, and the entries after it.
func newCore(id uint64, storage *raft.MemoryStorage, s recordSnapshot, unverified bool, log raft.Logger) (c *core, err error) {
	defer func() {
		if p := recover(); p != nil {
			c, err = nil, fmt.Errorf("engine: %v", p)
		}
	}()
	node, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: storage, Applied: s.index,
		MaxSizePerMsg: maxMessageSize, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedSize, MaxCommittedSizePerReady: maxCommittedSize,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: log})
	if err != nil {
		return nil, fmt.Errorf("new raft node: %w", err)
	}
	confState := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, confState); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return &core{id: id, rawNode: node, storage: storage, voters: s.voters, confState: confState, recordID: s.recordID, unverified: unverified, snapshotIndex: s.index,
		acknowledged: map[uint64]logPosition{}, proposals: map[string]changeProposal{}, lastContact: map[uint64]int{}, lastChangeTick: -electionTicks * 2}, nil
}

func (c *core) lastIndex() uint64 { i, _ := c.storage.LastIndex(); return i }

func (c *core) status() raft.BasicStatus { return c.rawNode.BasicStatus() }

func (c *core) isLeader() bool { return c.status().RaftState == raft.StateLeader }

func (c *core) inJointConfig() bool { return len(c.confState.GetVotersOutgoing()) > 0 }

// tick advances raft's logical clock by one tick, or by two for a candidate.
func (c *core) tick() {
	c.tickCount++
	if !c.unverified {
		c.rawNode.Tick()
		if state := c.status().RaftState; state == raft.StateCandidate || state == raft.StatePreCandidate {
			c.rawNode.Tick() // retries a split vote after half the time: otherwise an election can take over 2 s
		}
	}
	for name, p := range c.proposals {
		if p.expiryTick < c.tickCount {
			delete(c.proposals, name)
		}
	}
	if c.tickCount%heartbeatTicks == 0 && c.isLeader() {
		c.proposeChange()
	}
}

// step handles a message from another voter. It returns errOutdatedDirectory if the message shows that
// this voter's directory is outdated.
func (c *core) step(m *pb.Message) error {
	from := m.GetFrom()
	if m.GetTo() != c.id || from == c.id || from == raft.None || raft.IsLocalMsg(m.GetType()) || raft.IsLocalMsgTarget(from) {
		return errMalformed
	}
	switch m.GetType() {
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader, pb.MsgForgetLeader:
		return errMalformed // voters do not send these: calls are forwarded as HTTP requests
	case pb.MsgPreVote, pb.MsgPreVoteResp: // the term may be one that no voter has adopted yet
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		c.lastContact[from] = c.tickCount
		p := logPosition{term: m.GetTerm()}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() {
			p.index = m.GetIndex()
		}
		c.noteAcknowledged(from, p)
	default:
		c.noteAcknowledged(from, logPosition{term: m.GetTerm()})
	}
	if c.unverified {
		switch m.GetType() {
		case pb.MsgVote, pb.MsgPreVote, pb.MsgTimeoutNow:
			return nil
		}
	}
	if m.GetType() == pb.MsgHeartbeat && m.GetTerm() >= c.status().GetTerm() && m.GetCommit() > c.lastUnstableIndex() {
		return errOutdatedDirectory // a leader sends a commit index no higher than this voter has acknowledged
	}
	return c.rawNode.Step(m)
}

// lastUnstableIndex returns the index of the last entry, including entries that are being written.
func (c *core) lastUnstableIndex() uint64 {
	last := c.lastIndex()
	if c.inProgress != nil {
		if c.inProgress.snapshot != nil {
			last = max(last, c.inProgress.snapshot.GetMetadata().GetIndex())
		}
		if n := len(c.inProgress.entries); n > 0 {
			last = max(last, c.inProgress.entries[n-1].GetIndex())
		}
	}
	return last
}

// propose appends data to the log. It returns errNoLeader if this voter is not the leader.
func (c *core) propose(data []byte) error {
	if !c.isLeader() || c.unverified {
		return errNoLeader
	}
	err := c.rawNode.Propose(data)
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrQueueFull
	}
	return err
}

// readIndex requests a read index: once this node has applied it, everything committed before the request
// is applied. It returns errNoLeader if this voter is not the leader.
func (c *core) readIndex(id []byte) error {
	if !c.isLeader() || c.unverified {
		return errNoLeader
	}
	c.rawNode.ReadIndex(id)
	return nil
}
