// Package consensus is the raft-replicated record of a fleet: all relays apply the same sequence of commands in the same order. The
// commands are opaque to it. The raft implementation is go.etcd.io/raft/v3, its log is stored in go.etcd.io/bbolt. A few relays are
// voters; all others are followers that receive the committed entries from a voter over an HTTP stream, outside the raft configuration.
// docs/design/consensus.md describes the design and what it does not promise.
package consensus

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
)

// Errors of Propose, Barrier and Replace that tell the outcome. The end of the caller's context counts as ErrOutcomeUnknown once a
// request was sent.
var (
	// ErrNoQuorum says that nothing was committed, and nothing will be by this call. The call may be retried.
	ErrNoQuorum = errors.New("no majority: nothing was agreed")
	// ErrOutcomeUnknown says that the command may have been committed, or may still be. Only the record itself can tell.
	ErrOutcomeUnknown = errors.New("in doubt: it may have been agreed")
)

// Errors of Propose, Barrier and Replace for calls that were not sent.
var (
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
