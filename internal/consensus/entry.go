package consensus

// entryKind is the kind of a committed entry. Its values are part of the encoding of the log and the streams.
type entryKind byte

const (
	entryEmpty   entryKind = 0 // has no command, such as raft's own entries
	entryCommand entryKind = 1
	entryVoters  entryKind = 2
)

const proposalIDSize = 16 // bytes

// proposalID identifies a proposal. It consists of its node's random part and a sequence number.
type proposalID [proposalIDSize]byte

// committedEntry is a committed entry as it is applied and sent to followers. A change of voters carries
// the resulting voters and configuration, so that followers do not need raft.
type committedEntry struct {
	index, term uint64
	kind        entryKind
	proposalID  proposalID
	command     []byte
	voters      voterSet
	confState   []byte // raft's configuration as an encoded raftpb.ConfState
}

// size estimates the entry's memory size in bytes.
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

// encodeCommand encodes a command as the data of a raft entry.
func encodeCommand(id proposalID, command []byte) []byte {
	return append(append([]byte{byte(entryCommand)}, id[:]...), command...)
}

// decodeCommand decodes the data of a normal raft entry. If it is not a command, ok is false, and every
// relay treats the entry as empty.
func decodeCommand(b []byte) (id proposalID, command []byte, ok bool) {
	if len(b) < 1+proposalIDSize || b[0] != byte(entryCommand) {
		return id, nil, false
	}
	copy(id[:], b[1:])
	return id, b[1+proposalIDSize:], true
}
