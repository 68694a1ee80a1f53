package consensus

import (
	"maps"
	"slices"
	"time"
)

// bootstrapReservation is how long a relay stays reserved for one bootstrap.
const bootstrapReservation = 10 * time.Second

// bootstrap creates the record if this relay's name is the first of the voters' in sorted order and all
// voters are up and empty. A voter that has a record or a log reports so, and the bootstrap is
// abandoned: therefore a voter that returns with an empty directory cannot create a second record.
func (n *Node) bootstrap(identity uint64) {
	names := slices.Sorted(maps.Keys(n.options.Voters))
	if names[0] != n.options.Name {
		return
	}
	recordID := randomID()
	voters := voterSet{identity: {n.options.Name, n.options.Voters[n.options.Name]}}
	for _, bootstrapID := range []uint64{0, recordID} { // the first pass only checks, the second reserves
		for _, name := range names[1:] {
			v := voter{name, n.options.Voters[name]}
			status, err := n.queryPeer(v, identity, bootstrapID)
			if err != nil || status.state != peerEmpty || status.identity == 0 {
				return
			}
			if bootstrapID != 0 {
				voters[status.identity] = v
			}
		}
	}
	if len(voters) != len(names) {
		return
	}
	if current, _, _ := n.applier.position(); current != 0 {
		return
	}
	s, err := bootstrapSnapshot(recordID, voters, n.applier.initialMachineState)
	if err != nil {
		return
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return
	}
	if err := n.startFromSnapshot(identity, n.currentDisk(), s, s.encode()); err != nil {
		n.log().WithField("error", err.Error()).Error("consensus: starting the engine after the bootstrap failed")
	}
}
