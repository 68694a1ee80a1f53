package consensus

// What an entry of the log holds.
const (
	entryEmpty   = 0 // of the engine's own
	entryCommand = 1
	entryVoters  = 2
)

// committedEntry is a committed entry as it is applied and handed to followers. Voters carry what they lead to, so that followers need no engine.
type committedEntry struct {
	index, term uint64
	kind        byte
	proposalID  [16]byte // of the proposal
	command     []byte   // the command
	voters      voterSet
	confState   []byte // the engine's own form of who votes
}

func (it committedEntry) size() int {
	return 64 + len(it.command) + len(it.confState) + 64*len(it.voters)
}

func putEntry(b []byte, it committedEntry) []byte {
	b = putUints(b, it.index, it.term, uint64(it.kind))
	switch it.kind {
	case entryCommand:
		b = putBytes(append(b, it.proposalID[:]...), it.command)
	case entryVoters:
		b = putVoterSet(putBytes(b, it.confState), it.voters)
	}
	return b
}

func (r *reader) entry() (it committedEntry) {
	it.index, it.term = r.uint(), r.uint()
	switch kind := r.uint(); kind {
	case entryEmpty:
	case entryCommand:
		it.kind = entryCommand
		if len(r.rest) < 16 {
			r.err, r.rest = errMalformed, nil
			return it
		}
		copy(it.proposalID[:], r.rest)
		r.rest = r.rest[16:]
		it.command = r.bytes()
	case entryVoters:
		it.kind = entryVoters
		it.confState, it.voters = r.bytes(), r.voterSet()
	default:
		r.err = errMalformed
	}
	return it
}

func encodeCommand(id [16]byte, command []byte) []byte {
	return append(append([]byte{entryCommand}, id[:]...), command...)
}

// decodeCommand takes the data of a normal entry apart. What is no command is an empty entry: it changes nothing, everywhere.
func decodeCommand(b []byte) (id [16]byte, command []byte, ok bool) {
	if len(b) < 17 || b[0] != entryCommand {
		return id, nil, false
	}
	copy(id[:], b[1:17])
	return id, b[17:], true
}
