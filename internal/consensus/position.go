package consensus

import (
	"maps"
	"slices"
)

// logPosition is what is known of a voter's log: the highest term that the voter has shown, and the index of the last entry that it
// acknowledged in that term. It has written both to disk, so a directory that falls short of them is an outdated one.
type logPosition struct{ term, index uint64 }

func (p logPosition) after(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// ownPosition is what this voter has itself written.
func (c *core) ownPosition() logPosition {
	hardState, _, _ := c.storage.InitialState()
	return logPosition{hardState.GetTerm(), c.lastIndex()}
}

// isOutdatedBy says whether another voter remembers a position of this voter that it has not written.
func (c *core) isOutdatedBy(remembered logPosition) bool {
	return remembered.after(c.ownPosition())
}

// noteAcknowledged remembers the position that a voter has shown.
func (c *core) noteAcknowledged(id uint64, p logPosition) {
	if _, ok := c.voters[id]; ok && p.after(c.acknowledged[id]) {
		c.acknowledged[id] = p
	}
}

// putPositions encodes log positions by identity, without their number.
func putPositions(b []byte, positions map[uint64]logPosition) []byte {
	for _, id := range slices.Sorted(maps.Keys(positions)) {
		b = putUints(b, id, positions[id].term, positions[id].index)
	}
	return b
}
