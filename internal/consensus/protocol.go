package consensus

// endpointPath is the HTTP path of all requests between relays.
const endpointPath = "/accord"

// requestKind is the kind of a request. Its values are part of the wire format.
type requestKind byte

const (
	requestMessages   requestKind = 'r' // raft messages
	requestPropose    requestKind = 'p'
	requestBarrier    requestKind = 'b'
	requestReport     requestKind = 's' // reports for the leader
	requestPeerStatus requestKind = 'h'
	requestChange     requestKind = 'w' // a change proposal
	requestFollow     requestKind = 'f' // a follower's stream
)

// The first byte of a response.
const (
	codeOK             = 0
	codeWrongEpoch     = 1 // sealed for an earlier process of the receiver; the current epoch follows
	codeStaleStart     = 2 // the sender's start is too low; the start that it has to exceed follows
	codeNoLeader       = 3 // nothing was done
	codeQueueFull      = 4 // nothing was done
	codeNoQuorum       = 5 // nothing was committed, nor will be
	codeOutcomeUnknown = 6
	codeRejected       = 7 // the reason follows as text
)

// The first byte of a frame of a follower's stream.
const (
	frameStatus   = 'b'
	frameSnapshot = 's'
	frameEntries  = 'i'
)

// Sizes in bytes.
const (
	maxSmallRequest = 2 << 20 // of a request or response without a snapshot
	maxLargeRequest = MaxSnapshotSize + 1<<20
	maxFrameSize    = maxLargeRequest
)

func rejection(err error) []byte { return append([]byte{codeRejected}, err.Error()...) }
