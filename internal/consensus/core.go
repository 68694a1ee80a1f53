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

// A tick is tickEvery; an election begins after electionTicks to twice that without a leader. docs/design/consensus.md has what this gives.
const (
	heartbeatTicks = 2
	electionTicks  = 12
	soundTicks     = 3 * heartbeatTicks // a voter that was not heard for so long is not sound
	wantTicks      = 60                 // a newcomer's wish counts so long after it was said
	behindMost     = 1024               // entries that a voter may lack and still count as sound
	messageMost    = 256 << 10
	inflightMost   = 64
	unwrittenMost  = 8 << 20 // bytes proposed and not yet agreed
)

var (
	errOlder    = errors.New("this directory is older than what this voter has acknowledged")
	errUnsound  = errors.New("not all other voters are sound")
	errPending  = errors.New("another change of voters is under way")
	errNoLeader = errors.New("no leader")
	errAlive    = errors.New("the one in its place still answers: are there two relays of this name?")
	errNoVoter  = errors.New("no such voter")
)

// mark is what is remembered of a voter: the highest term that it was heard in, and the last entry that it acknowledged in that term. It has
// written both, so a directory that falls short of them is an older one.
type mark struct{ term, index uint64 }

func (m mark) over(o mark) bool { return m.term > o.term || m.term == o.term && m.index > o.index }

// wish is of a voter that came back under a new identity, or is to take another's place.
type wish struct {
	old, name, addr string
	id              uint64
	until           int // tick
	ordered         bool
}

func (w wish) encode() []byte {
	return putBytes(putBytes(putBytes(put(nil, flag(w.ordered), w.id), w.old), w.name), w.addr)
}

// core is the engine of one voter: it takes messages, ticks, and that its work was written. It does no I/O and reads no clock.
type core struct {
	id        uint64
	rn        *raft.RawNode
	st        *raft.MemoryStorage
	members   members
	conf      *pb.ConfState
	record    uint64
	unsure    bool // it has not yet heard whether its directory is an older one: it neither votes nor stands
	marks     map[uint64]mark
	wishes    map[string]wish // by name
	heard     map[uint64]int  // tick at which a voter was last heard
	ticks     int
	busy      *work
	tried     int // tick of the last change proposed
	snapIndex uint64
	snapBytes int
	said      string // what the last wish was held up by
}

// work is what has to be written before anything that follows from it goes out.
type work struct {
	rd      raft.Ready
	entries []*pb.Entry
	hard    *pb.HardState
	snap    *pb.Snapshot
	early   []*pb.Message // may go before it is written
	late    []*pb.Message
	marks   map[uint64]mark
	voters  bool // who votes changes: that this is agreed has to outlast a restart, or this voter would count by its old configuration again
}

// write says whether it has to be on disk first.
func (w *work) write() bool { return w.rd.MustSync || w.snap != nil || w.voters }

// newCore begins from what is held: the storage has the last snapshot, which s is, and what follows it.
func newCore(id uint64, st *raft.MemoryStorage, s state, unsure bool, log raft.Logger) (c *core, err error) {
	defer func() {
		if p := recover(); p != nil {
			c, err = nil, fmt.Errorf("engine: %v", p)
		}
	}()
	rn, err := raft.NewRawNode(&raft.Config{ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: st, Applied: s.index,
		MaxSizePerMsg: messageMost, MaxInflightMsgs: inflightMost, MaxUncommittedEntriesSize: unwrittenMost, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: log})
	if err != nil {
		return nil, err
	}
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.conf, conf); err != nil {
		return nil, err
	}
	return &core{id: id, rn: rn, st: st, members: s.members, conf: conf, record: s.record, unsure: unsure, snapIndex: s.index,
		marks: map[uint64]mark{}, wishes: map[string]wish{}, heard: map[uint64]int{}, tried: -electionTicks * 2}, nil
}

// storageOf makes the engine's storage from what was on disk.
func storageOf(s state, raw []byte, hard *pb.HardState, entries []*pb.Entry) (*raft.MemoryStorage, error) {
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.conf, conf); err != nil {
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

func (c *core) lastIndex() uint64 { i, _ := c.st.LastIndex(); return i }

// own is what this voter has itself written.
func (c *core) own() mark {
	hard, _, _ := c.st.InitialState()
	return mark{hard.GetTerm(), c.lastIndex()}
}

// older says whether what others remember of this voter is more than it has.
func (c *core) older(m mark) bool {
	return m.over(c.own())
}

func (c *core) tick() {
	c.ticks++
	if !c.unsure {
		c.rn.Tick()
		if state := c.basic().RaftState; state == raft.StateCandidate || state == raft.StatePreCandidate {
			c.rn.Tick() // a vote that was split is held again in half the time: else the next leader may take over 2 s
		}
	}
	for name, w := range c.wishes {
		if w.until < c.ticks {
			delete(c.wishes, name)
		}
	}
	if c.ticks%heartbeatTicks == 0 && c.leads() {
		c.grant()
	}
}

func (c *core) basic() raft.BasicStatus { return c.rn.BasicStatus() }

func (c *core) leads() bool { return c.basic().RaftState == raft.StateLeader }

func (c *core) leader() uint64 { return c.basic().Lead }

func (c *core) joint() bool { return len(c.conf.GetVotersOutgoing()) > 0 }

// hear remembers what a voter has shown of itself.
func (c *core) hear(id uint64, m mark) {
	if _, ok := c.members[id]; ok && m.over(c.marks[id]) {
		c.marks[id] = m
	}
}

// step takes a message from another voter. It fails with errOlder if the message shows this directory to be an older one.
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
		c.heard[from] = c.ticks
		k := mark{term: m.GetTerm()}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() {
			k.index = m.GetIndex()
		}
		c.hear(from, k)
	default:
		c.hear(from, mark{term: m.GetTerm()})
	}
	if c.unsure {
		switch m.GetType() {
		case pb.MsgVote, pb.MsgPreVote, pb.MsgTimeoutNow:
			return nil
		}
	}
	if m.GetType() == pb.MsgHeartbeat && m.GetTerm() >= c.basic().GetTerm() && m.GetCommit() > c.unstableLast() {
		return errOlder // a leader names only what this voter has acknowledged
	}
	return c.rn.Step(m)
}

// unstableLast is the last index, written or not.
func (c *core) unstableLast() uint64 {
	last := c.lastIndex()
	if c.busy != nil {
		if c.busy.snap != nil {
			last = max(last, c.busy.snap.GetMetadata().GetIndex())
		}
		if n := len(c.busy.entries); n > 0 {
			last = max(last, c.busy.entries[n-1].GetIndex())
		}
	}
	return last
}

// propose puts data into the log, at the leader alone.
func (c *core) propose(data []byte) error {
	if !c.leads() || c.unsure {
		return errNoLeader
	}
	if err := c.rn.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return ErrQueueFull
	} else {
		return err
	}
}

// read asks for an index at which all that was agreed before is applied.
func (c *core) read(id []byte) error {
	if !c.leads() || c.unsure {
		return errNoLeader
	}
	c.rn.ReadIndex(id)
	return nil
}

// wants notes a wish at the leader.
func (c *core) wants(w wish) {
	if c.members[w.id].Name == w.name && c.members[w.id].Addr == w.addr {
		return
	}
	if len(c.wishes) >= 16 {
		if _, ok := c.wishes[w.name]; !ok {
			return
		}
	}
	w.until = c.ticks + wantTicks
	if held, ok := c.wishes[w.name]; ok && held.ordered && !w.ordered {
		return
	}
	c.wishes[w.name] = w
}

// allowed says whether a wish may be granted now: one change at a time, and only while all others are sound.
func (c *core) allowed(w wish) (old uint64, err error) {
	old = c.members.named(w.old)
	switch {
	case old == 0:
		return 0, errNoVoter
	case c.members[w.id].Name != "" && c.members[w.id].Name != w.name:
		return 0, errSize
	case c.members.named(w.name) != 0 && c.members.named(w.name) != old:
		return 0, errSize
	case c.joint():
		return 0, errPending
	}
	committed := c.basic().GetCommit()
	err = nil
	c.rn.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		switch {
		case id == c.id:
		case id == old:
			if c.ticks-c.heard[id] < electionTicks && !w.ordered {
				err = errAlive
			}
		case c.ticks-c.heard[id] > soundTicks || p.Match+behindMost < committed:
			err = errUnsound
		}
	})
	return old, err
}

// grant proposes a change that was wished for, if it is allowed.
func (c *core) grant() {
	if c.ticks-c.tried < electionTicks {
		return
	}
	c.said = ""
	for _, name := range slices.Sorted(maps.Keys(c.wishes)) {
		w := c.wishes[name]
		old, err := c.allowed(w)
		if err != nil {
			c.said = name + ": " + err.Error()
			continue
		}
		c.tried = c.ticks
		change := change{old: old, new: w.id, name: w.name, addr: w.addr}
		cc := &pb.ConfChangeV2{Context: change.encode(), Changes: []*pb.ConfChangeSingle{
			{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(old)},
			{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(w.id)}}}
		if old == w.id { // a new address
			cc.Changes = []*pb.ConfChangeSingle{{Type: pb.ConfChangeType_ConfChangeUpdateNode.Enum(), NodeId: new(old)}}
		}
		if err := c.rn.ProposeConfChange(cc); err != nil {
			c.said = name + ": " + err.Error()
		}
		return
	}
}

// ready is the next work, if there is any and the last is done.
func (c *core) ready() *work {
	if c.busy != nil || !c.rn.HasReady() {
		return nil
	}
	rd := c.rn.Ready()
	w := &work{rd: rd, entries: rd.Entries, marks: c.marks}
	if !raft.IsEmptyHardState(rd.HardState) {
		w.hard = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.snap = rd.Snapshot
	}
	for _, e := range rd.CommittedEntries {
		w.voters = w.voters || e.GetType() != pb.EntryNormal
	}
	if w.voters && w.hard == nil {
		w.hard, _, _ = c.st.InitialState()
	}
	for _, m := range rd.Messages {
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap: // a leader's, of what it writes meanwhile itself
			w.early = append(w.early, m)
		default:
			w.late = append(w.late, m)
		}
	}
	c.busy = w
	return w
}

// done takes that the work is written. It returns what is to be applied, in order: a snapshot first, if there is one.
func (c *core) done() (snap *state, items []item, err error) {
	w := c.busy
	c.busy = nil
	if w.snap != nil {
		s, err := decodeState(w.snap.GetData())
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot: %w", err)
		}
		if err := c.st.ApplySnapshot(w.snap); err != nil {
			return nil, nil, err
		}
		c.snapIndex, c.snapBytes = s.index, len(w.snap.GetData())
		c.members, c.conf, snap = s.members, w.snap.GetMetadata().GetConfState(), &s
	}
	if w.hard != nil {
		if err := c.st.SetHardState(w.hard); err != nil {
			return nil, nil, err
		}
	}
	if err := c.st.Append(w.entries); err != nil {
		return nil, nil, err
	}
	for _, e := range w.rd.CommittedEntries {
		it, err := c.commit(e)
		if err != nil {
			return nil, nil, err
		}
		items = append(items, it)
	}
	c.rn.Advance(w.rd)
	return snap, items, nil
}

func (c *core) commit(e *pb.Entry) (item, error) {
	it := item{index: e.GetIndex(), term: e.GetTerm()}
	if e.GetType() == pb.EntryNormal {
		if id, command, ok := decodeCommand(e.GetData()); ok {
			it.kind, it.id, it.data = entryCommand, id, command
		}
		return it, nil
	}
	cc := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil || e.GetType() != pb.EntryConfChangeV2 {
		return it, fmt.Errorf("change of voters at %d: %w", e.GetIndex(), errShort)
	}
	c.conf = c.rn.ApplyConfChange(cc)
	if len(cc.GetChanges()) > 0 {
		ch, err := decodeChange(cc.GetContext())
		if err != nil {
			return it, err
		}
		c.members = c.members.apply(ch)
		if ch.old != ch.new {
			delete(c.marks, ch.old)
			delete(c.heard, ch.old)
		}
		delete(c.wishes, ch.name)
	}
	conf, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.conf)
	it.kind, it.members, it.conf = entryVoters, c.members, conf
	return it, err
}

// compact drops what a snapshot holds, but for the last entries: keep at most, and no more than keepBytes.
func (c *core) compact(s state, raw []byte, keep uint64) error {
	conf := &pb.ConfState{}
	if err := proto.Unmarshal(s.conf, conf); err != nil {
		return err
	}
	if _, err := c.st.CreateSnapshot(s.index, conf, raw); err != nil {
		return err
	}
	c.snapIndex, c.snapBytes = s.index, len(raw)
	first, _ := c.st.FirstIndex()
	drop := s.index
	for size := 0; drop >= first && s.index-drop < keep; drop-- {
		es, err := c.st.Entries(drop, drop+1, 0)
		if err != nil {
			return err
		}
		if size += proto.Size(es[0]); size > keepBytes {
			break
		}
	}
	if drop < first {
		return nil
	}
	return c.st.Compact(drop)
}
