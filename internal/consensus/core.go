package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A tick is tickInterval; an election begins after electionTicks to twice that without a leader. docs/design/consensus.md has what this gives.
const (
	heartbeatTicks      = 2
	electionTicks       = 12
	maxMessageSize      = 256 << 10
	maxInflightMessages = 64
	maxUncommittedSize  = 8 << 20 // recentBytes proposed and not yet agreed
)

var (
	errOutdatedDirectory = errors.New("this directory is older than what this voter has acknowledged")
	errNoLeader          = errors.New("no leader")
)

// core is the engine of one voter: it takes messages, ticks, and that its work was written. It does no I/O and reads no clock.
type core struct {
	id             uint64
	node           *raft.RawNode
	storage        *raft.MemoryStorage
	voters         voterSet
	confState      *pb.ConfState
	recordID       uint64
	unverified     bool // it has not yet heard whether its directory is an older one: it neither votes nor stands
	acknowledged   map[uint64]logPosition
	proposals      map[string]changeProposal // by name
	lastContact    map[uint64]int            // tick at which a voter was last heard
	tickCount      int
	inProgress     *pendingReady
	lastChangeTick int // tick of the last change proposed
	snapshotIndex  uint64
	snapshotSize   int
	changeBlocked  string // what the last wish was held up by
}

// newCore begins from what is held: the storage has the last snapshot, which s is, and what follows it.
func newCore(id uint64, st *raft.MemoryStorage, s recordSnapshot, unsure bool, log raft.Logger) (c *core, err error) {
	defer func() {
		if p := recover(); p != nil {
			c, err = nil, fmt.Errorf("engine: %v", p)
		}
	}()
	rn, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: st, Applied: s.index,
		MaxSizePerMsg: maxMessageSize, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedSize, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: log})
	if err != nil {
		return nil, err
	}
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, conf); err != nil {
		return nil, err
	}
	return &core{id: id, node: rn, storage: st, voters: s.voters, confState: conf, recordID: s.recordID, unverified: unsure, snapshotIndex: s.index,
		acknowledged: map[uint64]logPosition{}, proposals: map[string]changeProposal{}, lastContact: map[uint64]int{}, lastChangeTick: -electionTicks * 2}, nil
}

func (c *core) lastIndex() uint64 { i, _ := c.storage.LastIndex(); return i }

func (c *core) tick() {
	c.tickCount++
	if !c.unverified {
		c.node.Tick()
		if state := c.status().RaftState; state == raft.StateCandidate || state == raft.StatePreCandidate {
			c.node.Tick() // a vote that was split is held again in half the time: else the next leader may take over 2 s
		}
	}
	for name, w := range c.proposals {
		if w.expiryTick < c.tickCount {
			delete(c.proposals, name)
		}
	}
	if c.tickCount%heartbeatTicks == 0 && c.isLeader() {
		c.proposeChange()
	}
}

func (c *core) status() raft.BasicStatus { return c.node.BasicStatus() }

func (c *core) isLeader() bool { return c.status().RaftState == raft.StateLeader }

func (c *core) leader() uint64 { return c.status().Lead }

func (c *core) inJointConfig() bool { return len(c.confState.GetVotersOutgoing()) > 0 }

// peerMessages takes a message from another voter. It fails with errOutdatedDirectory if the message shows this directory to be an older one.
func (c *core) step(m *pb.Message) error {
	from := m.GetFrom()
	if m.GetTo() != c.id || from == c.id || from == raft.None || raft.IsLocalMsg(m.GetType()) || raft.IsLocalMsgTarget(from) {
		return errSize
	}
	switch m.GetType() {
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader, pb.MsgForgetLeader:
		return errSize // calls are passed on by HTTP; none of these is sent by a voter of ours
	case pb.MsgPreVote, pb.MsgPreVoteResp: // their terms are not yet anyone's
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		c.lastContact[from] = c.tickCount
		k := logPosition{term: m.GetTerm()}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() {
			k.index = m.GetIndex()
		}
		c.noteAcknowledged(from, k)
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
		return errOutdatedDirectory // a leader names only what this voter has acknowledged
	}
	return c.node.Step(m)
}

// lastUnstableIndex is the last index, written or not.
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

// propose puts data into the log, at the leader alone.
func (c *core) propose(data []byte) error {
	if !c.isLeader() || c.unverified {
		return errNoLeader
	}
	if err := c.node.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return ErrQueueFull
	} else {
		return err
	}
}

// readIndex asks for an index at which all that was agreed before is applied.
func (c *core) readIndex(id []byte) error {
	if !c.isLeader() || c.unverified {
		return errNoLeader
	}
	c.node.ReadIndex(id)
	return nil
}
