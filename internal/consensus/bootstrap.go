package consensus

import (
	"maps"
	"slices"
	"time"
)

// bootstrap begins a record, if this relay is the first by name of the voters and all of them are up and hold nothing. Who holds a record, or
// has a log, is told from who is new by the answers: so a voter that comes back with nothing never begins a second one.
func (n *Node) bootstrap(identity uint64) {
	names := slices.Sorted(maps.Keys(n.options.Voters))
	if names[0] != n.options.Name {
		return
	}
	record := randomID()
	ms := voterSet{identity: {n.options.Name, n.options.Voters[n.options.Name]}}
	for _, bind := range []uint64{0, record} {
		for _, name := range names[1:] {
			h, err := n.queryPeer(voter{name, n.options.Voters[name]}, identity, bind)
			if err != nil || h.state != peerEmpty || h.identity == 0 {
				return
			}
			if bind != 0 {
				ms[h.identity] = voter{name, n.options.Voters[name]}
			}
		}
	}
	if len(ms) != len(names) {
		return
	}
	if r, _, _ := n.applier.position(); r != 0 {
		return
	}
	s, err := bootstrapSnapshot(record, ms, n.applier.initialMachine)
	if err != nil {
		return
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return
	}
	if err := n.startFromSnapshot(identity, n.currentDisk(), s, s.encode(), false); err != nil {
		n.log().WithField("error", err.Error()).Error("accord: founding")
	}
}

const (
	bootstrapReservation = 10 * time.Second
)
