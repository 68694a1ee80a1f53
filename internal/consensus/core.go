package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A tick is tickInterval. Without a leader, an election begins after electionTicks to twice that. docs/design/consensus.md has the times
// that follow from this.
const (
	heartbeatTicks      = 2
	electionTicks       = 12
	maxMessageSize      = 256 << 10
	maxInflightMessages = 64
	maxUncommittedSize  = 8 << 20 // bytes proposed and not yet committed
	maxCommittedSize    = 1 << 20 // bytes of committed entries in one Ready
)

// errOutdatedDirectory: the voter may not vote with this directory. The text is part of Status.IdentityReason.
var errOutdatedDirectory = errors.New("this directory is older than what this voter has acknowledged")

var errNoLeader = errors.New("no leader")

// core is one voter's raft state machine around a RawNode. It is driven by messages, ticks, and the completion of writes; it does no I/O
// and reads no clock.
type core struct {
	id             uint64
	rawNode        *raft.RawNode
	storage        *raft.MemoryStorage
	voters         voterSet
	confState      *pb.ConfState
	recordID       uint64
	unverified     bool // whether its directory is outdated is not yet known: it neither votes nor campaigns
	acknowledged   map[uint64]logPosition
	proposals      map[string]changeProposal // by the new voter's name
	lastContact    map[uint64]int            // the tick of a voter's last response
	tickCount      int
	inProgress     *pendingReady
	lastChangeTick int // of the last change of voters that was proposed
	snapshotIndex  uint64
	snapshotSize   int
	changeBlocked  string // why the last change of voters was not proposed
}

// newCore starts from storage, which holds the last snapshot, decoded as s, and what follows it.
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

// tick advances raft's logical clock by one tick.
func (c *core) tick() {
	c.tickCount++
	if !c.unverified {
		c.rawNode.Tick()
		if state := c.status().RaftState; state == raft.StateCandidate || state == raft.StatePreCandidate {
			c.rawNode.Tick() // a split vote is retried in half the time: otherwise the next leader may take over 2 s
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

// step takes a message from another voter. It fails with errOutdatedDirectory if the message shows that this directory is outdated.
func (c *core) step(m *pb.Message) error {
	from := m.GetFrom()
	if m.GetTo() != c.id || from == c.id || from == raft.None || raft.IsLocalMsg(m.GetType()) || raft.IsLocalMsgTarget(from) {
		return errMalformed
	}
	switch m.GetType() {
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader, pb.MsgForgetLeader:
		return errMalformed // calls are forwarded by HTTP: no voter sends any of these
	case pb.MsgPreVote, pb.MsgPreVoteResp: // their terms are not yet anyone's
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
		return errOutdatedDirectory // a leader's commit index covers only what this voter has acknowledged
	}
	return c.rawNode.Step(m)
}

// lastUnstableIndex is the index of the last entry, written or not.
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

// propose appends data to the log; only the leader can.
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

// readIndex requests an index up to which all that was committed before is applied; only the leader can.
func (c *core) readIndex(id []byte) error {
	if !c.isLeader() || c.unverified {
		return errNoLeader
	}
	c.rawNode.ReadIndex(id)
	return nil
}
