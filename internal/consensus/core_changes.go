package consensus

import (
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

const (
	healthyTicks  = 3 * heartbeatTicks // a voter that was not heard for so long is not sound
	proposalTicks = 60                 // a newcomer's wish counts so long after it was said
	maxLag        = 1024               // entries that a voter may lack and still count as sound
)

var (
	errUnhealthyVoters  = errors.New("not all other voters are sound")
	errChangeInProgress = errors.New("another change of voters is under way")
	errVoterAlive       = errors.New("the one in its place still answers: are there two relays of this name?")
	errUnknownVoter     = errors.New("no such voter")
)

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
