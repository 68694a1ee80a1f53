package consensus

// logPosition is what is remembered of a voter: the highest term that it was heard in, and the last entry that it acknowledged in that term. It has
// written both, so a directory that falls short of them is an older one.
type logPosition struct{ term, index uint64 }

func (m logPosition) after(o logPosition) bool {
	return m.term > o.term || m.term == o.term && m.index > o.index
}

// ownPosition is what this voter has itself written.
func (c *core) ownPosition() logPosition {
	hard, _, _ := c.storage.InitialState()
	return logPosition{hard.GetTerm(), c.lastIndex()}
}

// isOutdatedBy says whether what others remember of this voter is more than it has.
func (c *core) isOutdatedBy(m logPosition) bool {
	return m.after(c.ownPosition())
}

// noteAcknowledged remembers what a voter has shown of itself.
func (c *core) noteAcknowledged(id uint64, m logPosition) {
	if _, ok := c.voters[id]; ok && m.after(c.acknowledged[id]) {
		c.acknowledged[id] = m
	}
}
