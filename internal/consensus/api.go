// Package consensus is the raft-replicated record of a fleet: all relays apply the same sequence of commands in the same order. The
// commands are opaque to it. The raft implementation is go.etcd.io/raft/v3, its log is stored in go.etcd.io/bbolt. A few relays are
// voters; all others are followers that receive the committed entries from a voter over an HTTP stream, outside the raft configuration.
// docs/design/consensus.md describes the design and what it does not promise.
package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
)

// Errors of Propose, Barrier and Replace. The end of the caller's context counts as ErrOutcomeUnknown once a request was sent.
var (
	// ErrNoQuorum says that nothing was committed, and nothing will be by this call. The call may be retried.
	ErrNoQuorum = errors.New("no majority: nothing was agreed")
	// ErrOutcomeUnknown says that the command may have been committed, or may still be. Only the record itself can tell.
	ErrOutcomeUnknown = errors.New("in doubt: it may have been agreed")
	// ErrQueueFull says that a queue is full; nothing was committed by this call.
	ErrQueueFull = errors.New("full: nothing was agreed")
	// ErrClosed says that the node is closed.
	ErrClosed = errors.New("closed")
	// ErrTooLarge says that a command exceeds MaxCommandSize, or a report MaxReportSize.
	ErrTooLarge = errors.New("too large")
)

// Size limits, in bytes.
const (
	MaxCommandSize = 256 << 10
	MaxResultSize  = 256 << 10 // of what Machine.Apply returns; the rest is cut off
	MaxReportSize  = 64 << 10
	MaxReplySize   = 2 << 10 // of a reply to a report; a larger one is dropped
	// MaxSnapshotSize bounds a machine's snapshot. If a machine returns more, that is an error, and the log is not compacted.
	MaxSnapshotSize = 64 << 20
)

// ProposeTimeout bounds Propose, Barrier and Replace if the context has no earlier deadline.
const ProposeTimeout = 10 * time.Second

// Machine is the replicated state machine. All calls come from one goroutine, with ascending indexes; there are gaps between them, since
// the log has entries of raft's own. Results and state must depend on the commands alone: they are the same at every relay.
type Machine interface {
	Apply(index uint64, command []byte) (answer []byte)
	// Snapshot returns the whole state as of the last applied command.
	Snapshot() []byte
	// Restore replaces the whole state. The index may be lower than the last applied one, if the fleet bootstrapped a new record (only
	// when voters keep nothing on disk).
	Restore(index uint64, snapshot []byte) error
}

// Options configure a node. Name, Listen, Voters, Keys and Machine are required.
type Options struct {
	Name string
	// Voters maps names to addresses (of fleet.listen): 1, 3 or 5. It is the configuration that the record is bootstrapped with, and whom
	// a relay contacts first; later the record itself says who votes. All of them have to be up once for the bootstrap.
	Voters map[string]string
	// DialAddresses maps names to the addresses at which this relay reaches them, where these differ from those in the record.
	DialAddresses map[string]string
	// Listen is host:port; ":0" takes any port (tests).
	Listen string
	// Dir holds a voter's log and snapshots. If it is empty, nothing is stored, and each restart is that of a voter that lost its directory.
	Dir     string
	Keys    gossip.Keys
	Machine Machine
	// OnReport is called at the leader with each relay's reports, its own included: on one goroutine, from a bounded queue. The reply goes
	// back to the sender, unless it is empty, larger than MaxReplySize, or late.
	OnReport func(from string, report []byte) (reply []byte)
	// OnReply is called with the reply of the leader, by name, to a report of this relay: on one goroutine, from a bounded queue, possibly
	// never. The leader receives its own replies too.
	OnReply func(from string, reply []byte)
	// OnLeadership is called when this relay becomes the leader or ceases to be: on one goroutine, in order. The last state is always delivered.
	OnLeadership func(leading bool, term uint64)
	Log          logrus.FieldLogger
}

// Roles in a Status. Their values are part of the status page's JSON.
const (
	RoleLeader     = "leader"
	RoleVoter      = "voter"
	RoleFollower   = "follower" // not a voter: it follows a voter's stream
	RoleJoining    = "waiting"  // a voter by name that is not yet in the raft configuration: it bootstraps the record or waits to be added; it follows meanwhile
	RoleDiskFailed = "mute"     // a voter whose disk fails: it does not vote, and follows
)

// Status is a node's view of itself and of the record. The JSON names are those of the status page.
type Status struct {
	Name, Role, Leader string
	RecordID           uint64 `json:"Record"` // drawn at the bootstrap; 0 before
	Identity           uint64 // of this relay's directory; a voter's raft id
	Term               uint64
	Applied, Committed uint64
	LogFirst, LogLast  uint64 // indexes that the voter's log holds
	LogBytes           int
	SnapshotIndex      uint64
	SnapshotBytes      int
	HasQuorum          bool      `json:"Majority"` // a leader with a quorum is known, here or at the voter whose stream is followed
	QuorumSince        time.Time `json:"Since"`    // when HasQuorum last changed
	StreamSource       string    `json:"Follows"`  // the voter whose stream is followed, if any
	Voters             map[string]string
	VotersIndex        uint64 `json:"VotersAt"` // the index at which these voters were committed; 0 as bootstrapped
	BytesIn, BytesOut  uint64 // of HTTP connections, headers included
	Dropped            map[string]uint64
	Rejected           map[string]uint64 `json:"Refused"` // requests rejected by the envelope check, by reason
	DiskError          string            `json:"Disk"`    // the disk's last error; "" if it works
	EngineError        string            `json:"Engine"`  // why the engine ended, or what blocks a change of voters; "" if nothing does
	// DuplicateNames are names, its own included, under which two relays seem to send, or one that restarts repeatedly, as seen in the last seconds.
	DuplicateNames []string `json:"Twins"`
	// IdentityReason says how this voter got its identity if that was not its first: such as after it lost its directory.
	IdentityReason string `json:"Taken"`
}

// Start starts a node. An unusable directory is no error: the node starts without a vote and reports it in Status.
func Start(o Options) (*Node, error) { return startWith(o, nil) }

// Addr is the address that it listens on.
func (n *Node) Addr() string { return n.addr }

// Propose has a command committed, from any relay. It returns the machine's result and the index once a relay that knows has applied it;
// this relay's machine may still be behind (WaitApplied). A command is never proposed twice: an error other than ErrOutcomeUnknown says
// that nothing was committed.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	return n.propose(ctx, command)
}

// Barrier returns when all that was committed before the call is applied here. It needs a quorum, and adds nothing to the log.
func (n *Node) Barrier(ctx context.Context) (index uint64, err error) { return n.barrier(ctx) }

// WaitApplied returns when the machine here has applied the entries up to index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error { return n.waitApplied(ctx, index) }

// Report sends a report to the leader, within about a second, possibly never: a full queue drops it (ErrQueueFull) and counts.
func (n *Node) Report(report []byte) error { return n.say(report) }

// Replace makes the relay newName, at address, a voter in the place of oldName. The new relay has to run already. It returns when the
// record has the change; it is rejected unless all other voters are healthy, or while another change is in progress. If both names are
// equal, only the address changes.
func (n *Node) Replace(ctx context.Context, oldName, newName, address string) error {
	return n.replace(ctx, oldName, newName, address)
}

// Status returns the node's current status.
func (n *Node) Status() Status { return n.status() }

// Close stops the node and waits for its goroutines; it closes its connections and files.
func (n *Node) Close() error { return n.close() }
