package consensus

import (
	"maps"
	"slices"
)

// logPosition is what is known about the extent of a voter's log: the highest term that the voter
// has sent, and the index of the last entry that it acknowledged in that term. The voter has written
// both to disk, so a directory that lacks them is outdated.
type logPosition struct{ term, index uint64 }

func (p logPosition) after(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// ownPosition returns the position that this voter has written itself.
func (c *core) ownPosition() logPosition {
	hardState, _, _ := c.storage.InitialState()
	return logPosition{hardState.GetTerm(), c.lastIndex()}
}

// isOutdatedBy reports whether a position of this voter that another voter remembers is missing from
// this voter's own log.
func (c *core) isOutdatedBy(remembered logPosition) bool {
	return remembered.after(c.ownPosition())
}

// noteAcknowledged records a position that a voter has acknowledged, if it is later than the one known.
func (c *core) noteAcknowledged(id uint64, p logPosition) {
	if _, ok := c.voters[id]; ok && p.after(c.acknowledged[id]) {
		c.acknowledged[id] = p
	}
}

// putPositions encodes log positions, ordered by identity. It does not encode their number.
func putPositions(b []byte, positions map[uint64]logPosition) []byte {
	for _, id := range slices.Sorted(maps.Keys(positions)) {
		b = putUints(b, id, positions[id].term, positions[id].index)
	}
	return b
}
