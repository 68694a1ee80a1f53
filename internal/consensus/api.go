// Package consensus is how relays agree on one sequence of commands, and survive. It carries opaque commands and decides nothing about
// them. The engine is go.etcd.io/raft/v3 with its log in go.etcd.io/bbolt; a few relays vote, all others follow by a stream.
// docs/design/consensus.md says how, and what it does not promise.
package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
)

// What Propose and Barrier may fail with, beside the context's own end, which counts as ErrDoubt once something was sent on.
var (
	// ErrNoMajority: nothing was agreed, and nothing will be from this call. It may be called again.
	ErrNoMajority = errors.New("no majority: nothing was agreed")
	// ErrDoubt: it may have been agreed, or may yet be. Only the record can tell.
	ErrDoubt = errors.New("in doubt: it may have been agreed")
	// ErrFull: a ring is full; nothing was agreed from this call.
	ErrFull = errors.New("full: nothing was agreed")
	// ErrClosed: the node is closed.
	ErrClosed = errors.New("closed")
	// ErrSize: a command or word is larger than CommandMost or WordMost.
	ErrSize = errors.New("too large")
)

// Bounds.
const (
	CommandMost = 256 << 10 // bytes of a command
	ResultMost  = 256 << 10 // bytes of a machine's answer; what is longer is cut off
	WordMost    = 64 << 10  // bytes of a word said
	AnswerMost  = 2 << 10   // bytes of an answer to a word; what is longer is dropped
	// SnapshotMost bounds a machine's snapshot. A machine that returns more is in error: the log is not truncated, and Status says so.
	SnapshotMost = 64 << 20
)

// Machine is what commands are applied to. All calls come from one goroutine, with ascending indexes; there are gaps between
// them, since the engine has entries of its own. What it answers and holds depends on the commands alone: it is the same at every relay.
type Machine interface {
	Apply(index uint64, command []byte) (answer []byte)
	// Snapshot is all of it, of what was applied last.
	Snapshot() []byte
	// Restore replaces all of it. The index may be lower than what was applied, if the fleet began a new record (memory only).
	Restore(index uint64, snapshot []byte) error
}

// Options say what a node is. Name, Listen, Voters, Keys and Machine are needed.
type Options struct {
	Name string
	// Voters are names and addresses (of fleet.listen): 1, 3 or 5. This is how the record begins, and where a relay asks first; later
	// the record itself says who votes. Every one of them has to be up once for the record to begin.
	Voters map[string]string
	// Reach says by name where this relay reaches another, if that is not the address that the record has.
	Reach map[string]string
	// Listen is host:port; ":0" takes any port (tests).
	Listen string
	// Dir holds the log and snapshots of a voter. "" keeps nothing: each restart is then a return with nothing.
	Dir     string
	Keys    gossip.Keys
	Machine Machine
	// Heard is called at the leader with what relays said, its own words included: on a goroutine of its own, from a bounded ring. What it
	// answers goes back to who said the word, unless it is empty, larger than AnswerMost, or late.
	Heard func(from string, word []byte) (answer []byte)
	// Told is called with what the leader, by name, answered to a word of this relay's own: on a goroutine of its own, from a bounded ring,
	// maybe never. The leader tells itself too.
	Told func(from string, answer []byte)
	// Led is called when this relay begins or ends to lead: on a goroutine of its own, in order, the last state always told.
	Led func(leading bool, term uint64)
	Log logrus.FieldLogger
}

// Roles in a Status.
const (
	RoleLeader   = "leader"
	RoleVoter    = "voter"
	RoleFollower = "follower" // no voter: it follows by a stream
	RoleWaiting  = "waiting"  // a voter by name that is not yet in the record: it founds it, or waits to be taken in; it follows meanwhile
	RoleMute     = "mute"     // a voter whose disk fails: it does not vote, and follows
)

// Status is what a node says of itself.
type Status struct {
	Name, Role, Leader string
	Record             uint64 // which record: drawn when it began; 0 before
	Identity           uint64 // of this relay's directory
	Term               uint64
	Applied, Committed uint64
	LogFirst, LogLast  uint64 // what the voter's log holds
	LogBytes           int
	SnapshotIndex      uint64
	SnapshotBytes      int
	Majority           bool      // a leader with a majority is heard, here or by the voter that is followed
	Since              time.Time // when Majority last changed
	Follows            string    // the voter whose stream is read, if any
	Voters             map[string]string
	VotersAt           uint64 // the index at which these voters were agreed; 0 as founded
	BytesIn, BytesOut  uint64 // of HTTP connections, headers included
	Dropped            map[string]uint64
	Refused            map[string]uint64 // requests refused by the envelope, by reason
	Disk               string            // what the disk last said; "" if it is well
	Engine             string            // what the engine gave up with; "" if it is well
	// Twins are names under which two relays seem to send, or one that starts over and over, as this relay saw in the last seconds: its own too.
	Twins []string
	// Taken says how this voter came to its identity if that was not its first: such as after an emptied directory.
	Taken string
}

// Start begins. An unusable directory is no error: the node starts without a vote and says so in Status.
func Start(o Options) (*Node, error) { return start(o) }

// Addr is where it listens.
func (n *Node) Addr() string { return n.addr }

// Propose has a command agreed, from any relay. It returns the machine's answer and the index once a relay that knows has applied it;
// this relay's machine may still be behind (WaitApplied). It is never repeated: an error other than ErrDoubt says that nothing
// was agreed. Without a deadline in the context it gives up after ProposeMost.
func (n *Node) Propose(ctx context.Context, command []byte) (answer []byte, index uint64, err error) {
	return n.propose(ctx, command)
}

// ProposeMost is how long Propose and Barrier try, if the context has no earlier end.
const ProposeMost = 10 * time.Second

// Barrier returns when all that was agreed before the call is applied here. It needs a majority, and puts nothing into the log.
func (n *Node) Barrier(ctx context.Context) (index uint64, err error) { return n.barrier(ctx) }

// WaitApplied returns when the machine here has applied up to index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error { return n.waitApplied(ctx, index) }

// Say tells the leader something, within about a second, maybe never: a full ring drops it (ErrFull) and counts.
func (n *Node) Say(word []byte) error { return n.say(word) }

// Replace has the relay new, at address, vote in the place of old. New has to run already. It returns when the record has it; it is
// refused unless all other voters are sound, or while another change is under way. With new equal to old the address changes.
func (n *Node) Replace(ctx context.Context, old, new, address string) error {
	return n.replace(ctx, old, new, address)
}

// Status is what there is to say now.
func (n *Node) Status() Status { return n.status() }

// Close ends it: connections, threads, files.
func (n *Node) Close() error { return n.close() }
