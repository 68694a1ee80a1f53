package consensus

const (
	maxFrameSize = maxLargeRequest
)

const (
	frameHeartbeat = 'b'
	frameSnapshot  = 's'
	frameEntries   = 'i'
)

// What a request is.
const (
	requestMessages   = 'r' // messages of the engine
	requestPropose    = 'p'
	requestBarrier    = 'b'
	requestReport     = 's'
	requestPeerStatus = 'h'
	requestChange     = 'w'
	requestFollow     = 'f'
)

// How an answer begins.
const (
	codeOK             = 0
	codeWrongEpoch     = 1 // sealed for an earlier process; the right epoch follows
	codeStaleStart     = 2 // the sender's start is too low; the lowest that was refused follows
	codeNoLeader       = 3 // nothing was done
	codeFull           = 4 // nothing was done
	codeNoQuorum       = 5 // nothing was agreed, nor will be
	codeOutcomeUnknown = 6
	codeRejected       = 7 // a text follows
)

const (
	endpointPath    = "/accord"
	maxSmallRequest = 2 << 20 // bytes of a request that is no snapshot
	maxLargeRequest = MaxSnapshotSize + 1<<20
)

func rejection(err error) []byte { return append([]byte{codeRejected}, err.Error()...) }
