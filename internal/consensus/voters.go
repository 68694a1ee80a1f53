package consensus

import (
	"maps"
	"slices"
)

// voter is the name and address of a voter in the record.
type voter struct{ name, address string }

// voterSet maps each voter's identity, which is its raft id, to its name and address.
type voterSet map[uint64]voter

func (s voterSet) ids() []uint64 { return slices.Sorted(maps.Keys(s)) }

// idOf returns the identity of the voter with that name, or 0 if there is none.
func (s voterSet) idOf(name string) uint64 {
	for _, id := range s.ids() {
		if s[id].name == name {
			return id
		}
	}
	return 0
}

func putVoterSet(b []byte, s voterSet) []byte {
	b = putUints(b, uint64(len(s)))
	for _, id := range s.ids() {
		b = putBytes(putBytes(putUints(b, id), s[id].name), s[id].address)
	}
	return b
}

func (r *reader) voterSet() voterSet {
	s := voterSet{}
	for range r.count() {
		id := r.uint()
		s[id] = voter{r.string(), r.string()}
	}
	return s
}

// voterChange is the context of a raft configuration change: the voter newID, with that name and
// address, replaces the voter oldID.
type voterChange struct {
	oldID, newID     uint64
	newName, address string
}

func (c voterChange) encode() []byte {
	return putBytes(putBytes(putUints(nil, c.oldID, c.newID), c.newName), c.address)
}

func decodeVoterChange(b []byte) (voterChange, error) {
	r := reader{rest: b}
	c := voterChange{oldID: r.uint(), newID: r.uint(), newName: r.string(), address: r.string()}
	return c, r.finish()
}

func (s voterSet) withChange(c voterChange) voterSet {
	changed := maps.Clone(s)
	delete(changed, c.oldID)
	changed[c.newID] = voter{c.newName, c.address}
	return changed
}
