// Package consensus replicates a record to all relays of a fleet with raft: all relays apply the same
// commands in the same order. The commands are opaque to the package. It uses go.etcd.io/raft/v3 and
// stores raft's log in go.etcd.io/bbolt. A few relays are voters. All others are followers: they
// receive the committed entries from a voter over an HTTP stream and are not part of the raft
// configuration. docs/design/consensus.md describes the design and what it does not guarantee.
package consensus

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
)

// Errors of Propose, Barrier and Replace for calls whose request may have been sent. Once it was sent,
// Propose and Replace report the end of the caller's context as ErrOutcomeUnknown. The texts of these
// errors and of those below are sent to operators in HTTP responses.
var (
	// ErrNoQuorum means that this call committed nothing and will commit nothing later. It may be retried.
	ErrNoQuorum = errors.New("no majority: nothing was agreed")
	// ErrOutcomeUnknown means that the command may have been committed or may still be. Only the
	// record shows which.
	ErrOutcomeUnknown = errors.New("in doubt: it may have been agreed")
)

// Errors of Propose, Barrier and Replace for calls that had no effect.
var (
	// ErrQueueFull means that a queue was full; this call committed nothing.
	ErrQueueFull = errors.New("full: nothing was agreed")
	// ErrClosed means that the node is closed. Replace may return it after it has submitted the change.
	ErrClosed = errors.New("closed")
	// ErrTooLarge means that a command exceeds MaxCommandSize or a report MaxReportSize.
	ErrTooLarge = errors.New("too large")
)

// Size limits, in bytes.
const (
	MaxCommandSize = 256 << 10
	MaxResultSize  = 256 << 10 // of a result of Machine.Apply; the rest is cut off
	MaxReportSize  = 64 << 10
	MaxReplySize   = 2 << 10 // of a reply to a report; a larger one is dropped
	// MaxSnapshotSize limits a machine's snapshot. If a snapshot is larger, an error is logged and
	// the log is not compacted.
	MaxSnapshotSize = 64 << 20
)

// ProposeTimeout bounds Propose, Barrier and Replace if the context has no earlier deadline.
const ProposeTimeout = 10 * time.Second

// Machine is the replicated state machine. Its methods are called from one goroutine. Indexes ascend
// with gaps, since the log also contains raft's own entries. Results and state must depend on the
// commands alone, so that they are the same at every relay.
type Machine interface {
	// Apply applies a command and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state as of the last applied command.
	Snapshot() []byte
	// Restore replaces the whole state. The index may be lower than the last applied one if the fleet
	// has bootstrapped a new record, which can happen only if the voters store nothing on disk.
	Restore(index uint64, snapshot []byte) error
}

// Options configures a node. Name, Listen, Voters, Keys and Machine are required.
type Options struct {
	Name string
	// Voters maps the names of 1, 3 or 5 voters to their addresses (fleet.listen). The record is
	// bootstrapped with these voters, and a relay contacts them first. Later the record itself
	// defines the voters. The bootstrap requires all of them to be up at the same time.
	Voters map[string]string
	// DialAddresses maps names to the addresses that this relay dials where they differ from those
	// in the record.
	DialAddresses map[string]string
	// Listen is host:port. Port 0 selects a free port (tests).
	Listen string
	// Dir is the directory of a voter's log and snapshots. If it is empty, nothing is stored, and
	// after each restart the relay is treated as a voter that lost its directory.
	Dir     string
	Keys    gossip.Keys
	Machine Machine
	// OnReport is called at the leader with each report of a relay, including the leader's own. Calls
	// are made on one goroutine from a bounded queue. The reply is sent back to the sender unless it
	// is empty, larger than MaxReplySize, or the sender no longer waits for it.
	OnReport func(from string, report []byte) (reply []byte)
	// OnReply is called with the leader's name and its reply to a report of this relay; the leader
	// receives its own replies too. Calls are made on one goroutine from a bounded queue. A reply may
	// be lost.
	OnReply func(from string, reply []byte)
	// OnLeadership is called when this relay becomes the leader and when it stops being it. Calls are
	// made on one goroutine, in order. Changes may be skipped, but the last one is always delivered.
	OnLeadership func(leading bool, term uint64)
	Log          logrus.FieldLogger
}
