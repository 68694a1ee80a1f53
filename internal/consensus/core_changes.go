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
	healthyTicks       = 3 * heartbeatTicks // a voter that has not responded for longer is unhealthy
	changeProposalTTL  = 60                 // ticks until a change proposal expires, unless it is repeated
	maxLag             = 1024               // committed entries that a healthy voter may lack
	maxChangeProposals = 16
)

// Reasons why a change of voters cannot be proposed now. The texts are sent in rejections and shown in
// Status.EngineError.
var (
	errUnhealthyVoters  = errors.New("not all other voters are sound") // another voter does not respond, or lags
	errChangeInProgress = errors.New("another change of voters is under way")
	// The voter to be replaced still responds, which suggests that two relays have its name.
	errVoterAlive   = errors.New("the one in its place still answers: are there two relays of this name?")
	errUnknownVoter = errors.New("no such voter")
)

// changeProposal is a request to the leader to change the voters. It comes from a voter that has a new
// identity, or from an operator (Replace).
type changeProposal struct {
	oldName, newName, address string
	newID                     uint64
	expiryTick                int
	byOperator                bool
}

func (p changeProposal) encode() []byte {
	return putBytes(putBytes(putBytes(putUints(nil, boolToUint(p.byOperator), p.newID), p.oldName), p.newName), p.address)
}

func (r *reader) changeProposal() changeProposal {
	return changeProposal{byOperator: r.uint() == 1, newID: r.uint(), oldName: r.string(), newName: r.string(), address: r.string()}
}

// addProposal stores a change proposal until the leader can propose it to raft. A voter's own proposal
// does not replace an operator's for the same name.
func (c *core) addProposal(p changeProposal) {
	if c.voters[p.newID].name == p.newName && c.voters[p.newID].address == p.address {
		return
	}
	if len(c.proposals) >= maxChangeProposals {
		if _, ok := c.proposals[p.newName]; !ok {
			return
		}
	}
	p.expiryTick = c.tickCount + changeProposalTTL
	if previous, ok := c.proposals[p.newName]; ok && previous.byOperator && !p.byOperator {
		return
	}
	c.proposals[p.newName] = p
}

// errInvalidChange rejects a change that would give one identity two names, or one name two identities.
// The text is sent in rejections and shown in Status.EngineError.
var errInvalidChange = errors.New("size")

// checkChange returns an error if a change may not be proposed now. Only one change is allowed at a time,
// and only while all other voters are healthy. oldID is the identity of the voter to be replaced.
func (c *core) checkChange(p changeProposal) (oldID uint64, err error) {
	oldID = c.voters.idOf(p.oldName)
	switch {
	case oldID == 0:
		return 0, errUnknownVoter
	case c.voters[p.newID].name != "" && c.voters[p.newID].name != p.newName:
		return 0, errInvalidChange
	case c.voters.idOf(p.newName) != 0 && c.voters.idOf(p.newName) != oldID:
		return 0, errInvalidChange
	case c.inJointConfig():
		return 0, errChangeInProgress
	}
	committed := c.status().GetCommit()
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		switch {
		case id == c.id:
		case id == oldID:
			if c.tickCount-c.lastContact[id] < electionTicks && !p.byOperator {
				err = errVoterAlive
			}
		case c.tickCount-c.lastContact[id] > healthyTicks || progress.Match+maxLag < committed:
			err = errUnhealthyVoters
		}
	})
	return oldID, err
}

// proposeChange proposes the first pending change, in the order of names, that checkChange allows.
func (c *core) proposeChange() {
	if c.tickCount-c.lastChangeTick < electionTicks {
		return
	}
	c.changeBlocked = ""
	for _, name := range slices.Sorted(maps.Keys(c.proposals)) {
		p := c.proposals[name]
		oldID, err := c.checkChange(p)
		if err != nil {
			c.changeBlocked = name + ": " + err.Error()
			continue
		}
		c.lastChangeTick = c.tickCount
		context := voterChange{oldID: oldID, newID: p.newID, newName: p.newName, address: p.address}.encode()
		change := &pb.ConfChangeV2{Context: context, Changes: []*pb.ConfChangeSingle{
			{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(oldID)},
			{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(p.newID)}}}
		if oldID == p.newID { // only the voter's address changes
			change.Changes = []*pb.ConfChangeSingle{{Type: pb.ConfChangeType_ConfChangeUpdateNode.Enum(), NodeId: new(oldID)}}
		}
		if err := c.rawNode.ProposeConfChange(change); err != nil {
			c.changeBlocked = name + ": " + err.Error()
		}
		return
	}
}
