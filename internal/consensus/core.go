package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// A tick is tickInterval; an election begins after electionTicks to twice that without a leader. docs/design/consensus.md has what this gives.
const (
	heartbeatTicks      = 2
	electionTicks       = 12
	healthyTicks        = 3 * heartbeatTicks // a voter that was not heard for so long is not sound
	proposalTicks       = 60                 // a newcomer's wish counts so long after it was said
	maxLag              = 1024               // entries that a voter may lack and still count as sound
	maxMessageSize      = 256 << 10
	maxInflightMessages = 64
	maxUncommittedSize  = 8 << 20 // recentBytes proposed and not yet agreed
)

var (
	errOutdatedDirectory = errors.New("this directory is older than what this voter has acknowledged")
	errUnhealthyVoters   = errors.New("not all other voters are sound")
	errChangeInProgress  = errors.New("another change of voters is under way")
	errNoLeader          = errors.New("no leader")
	errVoterAlive        = errors.New("the one in its place still answers: are there two relays of this name?")
	errUnknownVoter      = errors.New("no such voter")
)

// logPosition is what is remembered of a voter: the highest term that it was heard in, and the last entry that it acknowledged in that term. It has
// written both, so a directory that falls short of them is an older one.
type logPosition struct{ term, index uint64 }

func (m logPosition) after(o logPosition) bool {
	return m.term > o.term || m.term == o.term && m.index > o.index
}

// sendChange is of a voter that came back under a new identity, or is to take another's place.
type changeProposal struct {
	oldName, newName, address string
	newID                     uint64
	expiryTick                int // tick
	byOperator                bool
}

func (w changeProposal) encode() []byte {
	return putBytes(putBytes(putBytes(putUints(nil, boolToUint(w.byOperator), w.newID), w.oldName), w.newName), w.address)
}

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

// pendingReady is what has to be written before anything that follows from it goes out.
type pendingReady struct {
	rd            raft.Ready
	entries       []*pb.Entry
	hardState     *pb.HardState
	snapshot      *pb.Snapshot
	beforeSync    []*pb.Message // may go before it is written
	afterSync     []*pb.Message
	acknowledged  map[uint64]logPosition
	changesVoters bool // who votes changes: that this is agreed has to outlast a restart, or this voter would count by its old configuration again
}

// mustSync says whether it has to be on disk first.
func (w *pendingReady) mustSync() bool { return w.rd.MustSync || w.snapshot != nil || w.changesVoters }

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

// newStorage makes the engine's storage from what was on disk.
func newStorage(s recordSnapshot, raw []byte, hard *pb.HardState, entries []*pb.Entry) (*raft.MemoryStorage, error) {
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, conf); err != nil {
		return nil, err
	}
	st := raft.NewMemoryStorage()
	err := st.ApplySnapshot(&pb.Snapshot{Data: raw, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: new(s.index), Term: new(s.term)}})
	if err != nil {
		return nil, err
	}
	if hard != nil {
		if err := st.SetHardState(hard); err != nil {
			return nil, err
		}
	}
	return st, st.Append(entries)
}

func (c *core) lastIndex() uint64 { i, _ := c.storage.LastIndex(); return i }

// ownPosition is what this voter has itself written.
func (c *core) ownPosition() logPosition {
	hard, _, _ := c.storage.InitialState()
	return logPosition{hard.GetTerm(), c.lastIndex()}
}

// isOutdatedBy says whether what others remember of this voter is more than it has.
func (c *core) isOutdatedBy(m logPosition) bool {
	return m.after(c.ownPosition())
}

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

// noteAcknowledged remembers what a voter has shown of itself.
func (c *core) noteAcknowledged(id uint64, m logPosition) {
	if _, ok := c.voters[id]; ok && m.after(c.acknowledged[id]) {
		c.acknowledged[id] = m
	}
}

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

// addProposal notes a wish at the leader.
func (c *core) addProposal(w changeProposal) {
	if c.voters[w.newID].Name == w.newName && c.voters[w.newID].Addr == w.address {
		return
	}
	if len(c.proposals) >= 16 {
		if _, ok := c.proposals[w.newName]; !ok {
			return
		}
	}
	w.expiryTick = c.tickCount + proposalTicks
	if held, ok := c.proposals[w.newName]; ok && held.byOperator && !w.byOperator {
		return
	}
	c.proposals[w.newName] = w
}

// checkChange says whether a wish may be granted now: one change at a time, and only while all others are sound.
func (c *core) checkChange(w changeProposal) (old uint64, err error) {
	old = c.voters.idOf(w.oldName)
	switch {
	case old == 0:
		return 0, errUnknownVoter
	case c.voters[w.newID].Name != "" && c.voters[w.newID].Name != w.newName:
		return 0, errSize
	case c.voters.idOf(w.newName) != 0 && c.voters.idOf(w.newName) != old:
		return 0, errSize
	case c.inJointConfig():
		return 0, errChangeInProgress
	}
	committed := c.status().GetCommit()
	err = nil
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		switch {
		case id == c.id:
		case id == old:
			if c.tickCount-c.lastContact[id] < electionTicks && !w.byOperator {
				err = errVoterAlive
			}
		case c.tickCount-c.lastContact[id] > healthyTicks || p.Match+maxLag < committed:
			err = errUnhealthyVoters
		}
	})
	return old, err
}

// proposeChange proposes a change that was wished for, if it is allowed.
func (c *core) proposeChange() {
	if c.tickCount-c.lastChangeTick < electionTicks {
		return
	}
	c.changeBlocked = ""
	for _, name := range slices.Sorted(maps.Keys(c.proposals)) {
		w := c.proposals[name]
		old, err := c.checkChange(w)
		if err != nil {
			c.changeBlocked = name + ": " + err.Error()
			continue
		}
		c.lastChangeTick = c.tickCount
		change := voterChange{oldID: old, newID: w.newID, newName: w.newName, address: w.address}
		cc := &pb.ConfChangeV2{Context: change.encode(), Changes: []*pb.ConfChangeSingle{
			{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(old)},
			{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(w.newID)}}}
		if old == w.newID { // a new address
			cc.Changes = []*pb.ConfChangeSingle{{Type: pb.ConfChangeType_ConfChangeUpdateNode.Enum(), NodeId: new(old)}}
		}
		if err := c.node.ProposeConfChange(cc); err != nil {
			c.changeBlocked = name + ": " + err.Error()
		}
		return
	}
}

// nextReady is the next work, if there is any and the last is done.
func (c *core) nextReady() *pendingReady {
	if c.inProgress != nil || !c.node.HasReady() {
		return nil
	}
	rd := c.node.Ready()
	w := &pendingReady{rd: rd, entries: rd.Entries, acknowledged: c.acknowledged}
	if !raft.IsEmptyHardState(rd.HardState) {
		w.hardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.snapshot = rd.Snapshot
	}
	for _, e := range rd.CommittedEntries {
		w.changesVoters = w.changesVoters || e.GetType() != pb.EntryNormal
	}
	if w.changesVoters && w.hardState == nil {
		w.hardState, _, _ = c.storage.InitialState()
	}
	for _, m := range rd.Messages {
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap: // a leader's, of what it writes meanwhile itself
			w.beforeSync = append(w.beforeSync, m)
		default:
			w.afterSync = append(w.afterSync, m)
		}
	}
	c.inProgress = w
	return w
}

// advance takes that the work is written. It returns what is to be applied, in order: a snapshot first, if there is one.
func (c *core) advance() (snap *recordSnapshot, items []committedEntry, err error) {
	w := c.inProgress
	c.inProgress = nil
	if w.snapshot != nil {
		s, err := decodeSnapshot(w.snapshot.GetData())
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot: %w", err)
		}
		if err := c.storage.ApplySnapshot(w.snapshot); err != nil {
			return nil, nil, err
		}
		c.snapshotIndex, c.snapshotSize = s.index, len(w.snapshot.GetData())
		c.voters, c.confState, snap = s.voters, w.snapshot.GetMetadata().GetConfState(), &s
	}
	if w.hardState != nil {
		if err := c.storage.SetHardState(w.hardState); err != nil {
			return nil, nil, err
		}
	}
	if err := c.storage.Append(w.entries); err != nil {
		return nil, nil, err
	}
	for _, e := range w.rd.CommittedEntries {
		it, err := c.commitEntry(e)
		if err != nil {
			return nil, nil, err
		}
		items = append(items, it)
	}
	c.node.Advance(w.rd)
	return snap, items, nil
}

func (c *core) commitEntry(e *pb.Entry) (committedEntry, error) {
	it := committedEntry{index: e.GetIndex(), term: e.GetTerm()}
	if e.GetType() == pb.EntryNormal {
		if id, command, ok := decodeCommand(e.GetData()); ok {
			it.kind, it.proposalID, it.command = entryCommand, id, command
		}
		return it, nil
	}
	cc := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil || e.GetType() != pb.EntryConfChangeV2 {
		return it, fmt.Errorf("change of voters at %d: %w", e.GetIndex(), errMalformed)
	}
	c.confState = c.node.ApplyConfChange(cc)
	if len(cc.GetChanges()) > 0 {
		ch, err := decodeVoterChange(cc.GetContext())
		if err != nil {
			return it, err
		}
		c.voters = c.voters.withChange(ch)
		if ch.oldID != ch.newID {
			delete(c.acknowledged, ch.oldID)
			delete(c.lastContact, ch.oldID)
		}
		delete(c.proposals, ch.newName)
	}
	conf, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.confState)
	it.kind, it.voters, it.confState = entryVoters, c.voters, conf
	return it, err
}

// compact drops what a snapshot holds, but for the last entries: keep at most, and no more than retainedBytes.
func (c *core) compact(s recordSnapshot, raw []byte, keep uint64) error {
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, conf); err != nil {
		return err
	}
	if _, err := c.storage.CreateSnapshot(s.index, conf, raw); err != nil {
		return err
	}
	c.snapshotIndex, c.snapshotSize = s.index, len(raw)
	first, _ := c.storage.FirstIndex()
	drop := s.index
	for size := 0; drop >= first && s.index-drop < keep; drop-- {
		es, err := c.storage.Entries(drop, drop+1, 0)
		if err != nil {
			return err
		}
		if size += proto.Size(es[0]); size > retainedBytes {
			break
		}
	}
	if drop < first {
		return nil
	}
	return c.storage.Compact(drop)
}
