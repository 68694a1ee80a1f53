package consensus

// entryKind says what a committed entry holds. Its values are part of the log's and the streams' encoding.
type entryKind byte

const (
	entryEmpty   entryKind = 0 // raft's own
	entryCommand entryKind = 1
	entryVoters  entryKind = 2
)

const proposalIDSize = 16

// proposalID tells a proposal from all others: the random part of its node, and a number.
type proposalID [proposalIDSize]byte

// committedEntry is an entry as it is applied and sent to followers. A change of voters carries its result, so that followers need no raft.
type committedEntry struct {
	index, term uint64
	kind        entryKind
	proposalID  proposalID
	command     []byte
	voters      voterSet
	confState   []byte // raft's own encoding of the configuration
}

// size estimates the memory that the entry takes.
func (e committedEntry) size() int { return 64 + len(e.command) + len(e.confState) + 64*len(e.voters) }

func putEntry(b []byte, e committedEntry) []byte {
	b = putUints(b, e.index, e.term, uint64(e.kind))
	switch e.kind {
	case entryCommand:
		b = putBytes(append(b, e.proposalID[:]...), e.command)
	case entryVoters:
		b = putVoterSet(putBytes(b, e.confState), e.voters)
	}
	return b
}

func (r *reader) entry() (e committedEntry) {
	e.index, e.term = r.uint(), r.uint()
	switch kind := r.uint(); kind {
	case uint64(entryEmpty):
	case uint64(entryCommand):
		e.kind = entryCommand
		if len(r.rest) < proposalIDSize {
			r.fail()
			return e
		}
		copy(e.proposalID[:], r.rest)
		r.rest = r.rest[proposalIDSize:]
		e.command = r.bytes()
	case uint64(entryVoters):
		e.kind = entryVoters
		e.confState, e.voters = r.bytes(), r.voterSet()
	default:
		r.err = errMalformed
	}
	return e
}

// encodeCommand makes the data of a raft entry.
func encodeCommand(id proposalID, command []byte) []byte {
	return append(append([]byte{byte(entryCommand)}, id[:]...), command...)
}

// decodeCommand decodes the data of a normal raft entry. What is no command counts as an empty entry: it changes nothing, at any relay.
func decodeCommand(b []byte) (id proposalID, command []byte, ok bool) {
	if len(b) < 1+proposalIDSize || b[0] != byte(entryCommand) {
		return id, nil, false
	}
	copy(id[:], b[1:])
	return id, b[1+proposalIDSize:], true
}
