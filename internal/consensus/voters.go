package consensus

import (
	"maps"
	"slices"
)

// voter is a voter as the record has it; the key is its identity, which is its id in raft too.
type voter struct{ Name, Addr string }

type voterSet map[uint64]voter

func (m voterSet) ids() []uint64 { return slices.Sorted(maps.Keys(m)) }

// idOf is the identity under which the record has a name; 0 for none.
func (m voterSet) idOf(name string) uint64 {
	for _, id := range m.ids() {
		if m[id].Name == name {
			return id
		}
	}
	return 0
}

func putVoterSet(b []byte, m voterSet) []byte {
	b = putUints(b, uint64(len(m)))
	for _, id := range m.ids() {
		b = putBytes(putBytes(putUints(b, id), m[id].Name), m[id].Addr)
	}
	return b
}

func (r *reader) voterSet() voterSet {
	m := voterSet{}
	for range r.count() {
		id := r.uint()
		m[id] = voter{r.string(), r.string()}
	}
	return m
}

// voterChange is the context of a change of voters.
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

func (m voterSet) withChange(c voterChange) voterSet {
	n := maps.Clone(m)
	delete(n, c.oldID)
	n[c.newID] = voter{c.newName, c.address}
	return n
}
