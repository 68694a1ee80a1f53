package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

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
