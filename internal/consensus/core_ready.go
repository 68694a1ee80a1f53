package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// pendingReady is a raft Ready. Its entries, hard state and snapshot have to be written before afterSync
// is sent.
type pendingReady struct {
	rd           raft.Ready
	entries      []*pb.Entry
	hardState    *pb.HardState
	snapshot     *pb.Snapshot
	beforeSync   []*pb.Message // may be sent before the write
	afterSync    []*pb.Message // must be sent after the write
	acknowledged map[uint64]logPosition
	// changesVoters: a committed entry changes the voters. The commit index has to be on disk before
	// the change takes effect, or after a restart this voter would count votes by the old configuration.
	changesVoters bool
}

// mustSync reports whether the write has to be on disk before advance is called.
func (p *pendingReady) mustSync() bool { return p.rd.MustSync || p.snapshot != nil || p.changesVoters }

// nextReady returns the next Ready. It returns nil if there is none, or if the previous one is not
// advanced yet.
func (c *core) nextReady() *pendingReady {
	if c.inProgress != nil || !c.rawNode.HasReady() {
		return nil
	}
	rd := c.rawNode.Ready()
	p := &pendingReady{rd: rd, entries: rd.Entries, acknowledged: c.acknowledged}
	if !raft.IsEmptyHardState(rd.HardState) {
		p.hardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		p.snapshot = rd.Snapshot
	}
	for _, e := range rd.CommittedEntries {
		p.changesVoters = p.changesVoters || e.GetType() != pb.EntryNormal
	}
	if p.changesVoters && p.hardState == nil {
		p.hardState, _, _ = c.storage.InitialState()
	}
	for _, m := range rd.Messages {
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap: // a leader may send entries while it writes them itself
			p.beforeSync = append(p.beforeSync, m)
		default:
			p.afterSync = append(p.afterSync, m)
		}
	}
	c.inProgress = p
	return p
}

// advance completes the Ready in progress, whose write has succeeded. It returns what has to be applied:
// the snapshot, if there is one, and then the entries.
func (c *core) advance() (snapshot *recordSnapshot, entries []committedEntry, err error) {
	p := c.inProgress
	c.inProgress = nil
	if p.snapshot != nil {
		s, err := decodeSnapshot(p.snapshot.GetData())
		if err != nil {
			return nil, nil, fmt.Errorf("snapshot: %w", err)
		}
		if err := c.storage.ApplySnapshot(p.snapshot); err != nil {
			return nil, nil, fmt.Errorf("apply snapshot: %w", err)
		}
		c.snapshotIndex, c.snapshotSize = s.index, len(p.snapshot.GetData())
		c.voters, c.confState, snapshot = s.voters, p.snapshot.GetMetadata().GetConfState(), &s
	}
	if p.hardState != nil {
		if err := c.storage.SetHardState(p.hardState); err != nil {
			return nil, nil, fmt.Errorf("set hard state: %w", err)
		}
	}
	if err := c.storage.Append(p.entries); err != nil {
		return nil, nil, fmt.Errorf("append entries: %w", err)
	}
	for _, e := range p.rd.CommittedEntries {
		entry, err := c.commitEntry(e)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, entry)
	}
	c.rawNode.Advance(p.rd)
	return snapshot, entries, nil
}

// commitEntry decodes a committed entry. If the entry changes the voters, the change takes effect here.
func (c *core) commitEntry(e *pb.Entry) (committedEntry, error) {
	entry := committedEntry{index: e.GetIndex(), term: e.GetTerm()}
	if e.GetType() == pb.EntryNormal {
		if id, command, ok := decodeCommand(e.GetData()); ok {
			entry.kind, entry.proposalID, entry.command = entryCommand, id, command
		}
		return entry, nil
	}
	confChange := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), confChange); err != nil || e.GetType() != pb.EntryConfChangeV2 {
		return entry, fmt.Errorf("change of voters at %d: %w", e.GetIndex(), errMalformed)
	}
	c.confState = c.rawNode.ApplyConfChange(confChange)
	if len(confChange.GetChanges()) > 0 { // empty in the entry that leaves the joint configuration
		change, err := decodeVoterChange(confChange.GetContext())
		if err != nil {
			return entry, err
		}
		c.voters = c.voters.withChange(change)
		if change.oldID != change.newID {
			delete(c.acknowledged, change.oldID)
			delete(c.lastContact, change.oldID)
		}
		delete(c.proposals, change.newName)
	}
	confState, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.confState)
	entry.kind, entry.voters, entry.confState = entryVoters, c.voters, confState
	return entry, err
}

// compact truncates the log up to a snapshot. It keeps the last entries before the snapshot: at most
// retain entries, and about retainedBytes.
func (c *core) compact(s recordSnapshot, encoded []byte, retain uint64) error {
	confState := &pb.ConfState{}
	if err := proto.Unmarshal(s.confState, confState); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	if _, err := c.storage.CreateSnapshot(s.index, confState, encoded); err != nil {
		return fmt.Errorf("create snapshot: %w", err)
	}
	c.snapshotIndex, c.snapshotSize = s.index, len(encoded)
	first, _ := c.storage.FirstIndex()
	last := s.index // the last entry to be dropped
	for size := 0; last >= first && s.index-last < retain; last-- {
		entries, err := c.storage.Entries(last, last+1, 0)
		if err != nil {
			return fmt.Errorf("read entry %d: %w", last, err)
		}
		if size += proto.Size(entries[0]); size > retainedBytes {
			break
		}
	}
	if last < first {
		return nil
	}
	return c.storage.Compact(last)
}
