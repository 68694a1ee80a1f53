// Package drift answers whether each relay runs what was agreed. It does no I/O and reads no clock: time (wall clock, ms), words and intent are
// passed in, what to send and what was found is returned. A Book is the relay's side, a Watch the leader's. docs/design/drift.md says why.
package drift

// Bounds of what is said and held, whatever is claimed.
const (
	MaxReportBytes    = 900  // bytes of an encoded word, which is said once in a period
	MaxReplyBytes     = 1200 // bytes of an encoded reply
	MaxRelays         = 1024
	MaxItems          = 64 // of one relay
	MaxGroups         = 16
	MaxActivities     = 16
	MaxNameBytes      = 36 // bytes of an item's name, and of a kind of doing
	MaxGroupNameBytes = 16 // bytes of a group's name
	MaxRelayNameBytes = 64
	MaxSourceBytes    = 24
	MaxReasonBytes    = 100 // bytes of a reason, and of a piece of evidence
	MaxEvidence       = 4   // pieces of evidence kept for a pair: the first, and the newest
	MaxHistory        = 256 // changes kept for operators
)

// Names of items whose group is the whole name; "config.SECTION" is of the group "config".
const (
	ItemProgram       = "program"
	ItemConfig        = "config"
	ItemEndpointList  = "list"
	ItemEjections     = "bans"
	ItemDrains        = "drains"
	ItemCanaryWeights = "weights"
	ItemVoters        = "voters"
	ItemPermits       = "permits"
)

// KindRemovedMember is a kind of Doing of Bans and Drains: new flows and attempts at members that are agreed out. All of them are astray.
const KindRemovedMember = "out"

// Item is a thing that is agreed, or run, in one version. Versions of an item rise; what is taken back is agreed anew as a higher one, or the
// former one is agreed again.
type Item struct {
	Name    string `json:"Name"`
	Version uint64 `json:"Version"`
	Digest  uint64 `json:"Digest"`
}

// Applied is what a relay runs of an item. Version 0 says that it runs none, though it may have refused one.
type Applied struct {
	Item
	Since           int64  // by the relay's clock
	Source          string // record, stream, snapshot, file, a call, ...
	RejectReason    string // why it did not take RejectedVersion; "" if nothing was refused since
	RejectedVersion uint64
	Progress        uint64 // rises while it works on the next version: a slow disk is not a stuck relay
	LocalOverride   bool   // by an operator's call at that relay
}

// Activity is what a relay did, counted since its start.
type Activity struct {
	Item, Kind        string
	Count, Violations uint64 // all; of them what it must not do by what it claims to have applied
}

// GroupDigest is the digest over all items of a group, see GroupOf and DigestOf.
type GroupDigest struct {
	Name   string
	Digest uint64
}

// Report is what a relay says of itself once in a period.
type Report struct {
	Relay            string
	Incarnation, Seq uint64 // Incarnation rises with each process of that name, Seq with each of its words
	SentAt           int64  // the relay's clock: differences alone are used
	Groups           []GroupDigest
	Items            []Applied // of groups that changed or that the leader asked for, as far as they fit; the rest in the next words
	Activities       []Activity
}

// Reply is what the leader has to say to a relay: of which groups it wants details, and which items it should take from the record anew.
type Reply struct {
	Relay               string
	Incarnation, Seq    uint64 // of the word that it answers
	WantDetails, Resync []string
}

// Liveness is what others (peers, the record) know of a relay's process.
type Liveness uint8

const (
	Alive       Liveness = iota // a word of its own, or others, say so
	Unreachable                 // nobody hears it: cut off, stopped, or dead
	Terminated                  // no process, for certain
	Restarting                  // ordered to
	Upgrading                   // another process takes its place
)

// State of a pair of relay and item.
type State uint8

const (
	InSync        State = iota // it runs what was agreed
	Propagating                // it does not yet, and nothing is claimed of it
	Lagging                    // it runs an older version beyond the bound
	Rejected                   // it said that it does not take the version
	Regressed                  // it runs less than it ran
	Ahead                      // it runs a version or digest that nobody agreed on
	Overridden                 // an operator changed it at that relay
	Contradicting              // it says that it is in step, and what it does says otherwise
	Unknown                    // nothing is known of it
)

// Settings of a Watch. New fills in what is 0.
type Settings struct {
	ReportInterval   int64    // ms between the words of a relay; 1000
	InFlightGrace    int64    // ms that an attempt begun before a change may still take: the longest time an attempt is given; 5000
	PriorBound       int64    // ms until a version counts as late while too little is known of its propagation; 15 periods
	MaxBound         int64    // ms, the bound that no propagation measured goes beyond, and how long a relay may move without arriving; 300 periods
	UnmeasuredGroups []string // groups whose versions tell nothing of how long one takes: they have the bound of all others
	SlowFleetFactor  float64  // times the bound while most of the fleet has not arrived either, and times what half took while little is known; 8
}

// Finding is a pair that is not in step, for operators. A relay that is not heard has one row with no item.
type Finding struct {
	Relay          string
	State          State
	Since          int64 // in this state
	OutOfSyncSince int64 // since when it is not in step; 0 if it was never heard to be
	Agreed         Item
	Applied        Applied // Since by the relay's clock
	Reason         string
	Evidence       []string
}

// Change is a pair that went from one state to another.
type Change struct {
	At          int64
	Relay, Item string
	From, To    State
	Reason      string
}

// Counts is what a Watch could not use.
type Counts struct {
	Reports      uint64 `json:"Words"`   // heard
	UnknownRelay uint64 `json:"Unknown"` // of relays without an intent
	Stale        uint64 `json:"Old"`     // repeated or overtaken
	OverLimit    uint64 `json:"Full"`    // relays or items beyond the bounds
}
