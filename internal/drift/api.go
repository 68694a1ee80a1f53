// Package drift answers whether each relay runs what was agreed. It does no I/O and reads no clock: time (wall clock, ms), words and intent are
// passed in, what to send and what was found is returned. A Book is the relay's side, a Watch the leader's. docs/design/drift.md says why.
package drift

// Bounds of what is said and held, whatever is claimed.
const (
	WordMost    = 900  // bytes of an encoded word, which is said once in a period
	ReplyMost   = 1200 // bytes of an encoded reply
	RelaysMost  = 1024
	ItemsMost   = 64 // of one relay
	GroupsMost  = 16
	DoingsMost  = 16
	NameMost    = 36 // bytes of an item's name, and of a kind of doing
	GroupMost   = 16 // bytes of a group's name
	RelayMost   = 64
	FromMost    = 24
	WhyMost     = 100 // bytes of a reason, and of a piece of evidence
	EvidenceFor = 4   // pieces of evidence kept for a pair: the first, and the newest
	HistoryMost = 256 // changes kept for operators
)

// Names of items whose group is the whole name; "config.SECTION" is of the group "config".
const (
	Program = "program"
	Config  = "config"
	List    = "list"
	Bans    = "bans"
	Drains  = "drains"
	Weights = "weights"
	Voters  = "voters"
	Permits = "permits"
)

// Kinds of what a relay counts of itself. An arm's kind is KindArm and the arm's name.
const (
	KindOut    = "out"    // of Bans and Drains: new flows and attempts at members that are agreed out; all of them are astray
	KindPermit = "permit" // of Permits: attempts beyond the permit's time; all of them are astray
	KindArm    = "arm."   // of Weights: new flows at the arm; astray are those that the agreed weight had not drawn
)

// Item is a thing that is agreed, or run, in one version. Versions of an item rise; what is taken back is agreed anew as a higher one, or the
// former one is agreed again.
type Item struct {
	Name            string
	Version, Digest uint64
}

// Applied is what a relay runs of an item. Version 0 says that it runs none, though it may have refused one.
type Applied struct {
	Item
	Since          int64  // by the relay's clock
	From           string // record, stream, snapshot, file, a call, ...
	Refused        string // why it did not take RefusedVersion; "" if nothing was refused since
	RefusedVersion uint64
	Step           uint64 // rises while it works on the next version: a slow disk is not a stuck relay
	Local          bool   // by an operator's call at that relay
}

// Doing is what a relay did, counted since its start.
type Doing struct {
	Item, Kind    string
	Count, Astray uint64 // all; of them what it must not do by what it claims to have applied
}

// Group is the digest over all items of a group, see GroupOf and DigestOf.
type Group struct {
	Name   string
	Digest uint64
}

// Word is what a relay says of itself once in a period.
type Word struct {
	Relay      string
	Start, Seq uint64 // Start rises with each process of that name, Seq with each of its words
	At         int64  // the relay's clock: differences alone are used
	Groups     []Group
	Items      []Applied // of groups that changed or that the leader asked for, as far as they fit; the rest in the next words
	Does       []Doing
}

// Reply is what the leader has to say to a relay: of which groups it wants details, and which items it should take from the record anew.
type Reply struct {
	Relay      string
	Start, Seq uint64 // of the word that it answers
	Want, Tell []string
}

// Life is what others (peers, the record) know of a relay's process.
type Life uint8

const (
	Live       Life = iota // a word of its own, or others, say so
	Silent                 // nobody hears it: cut off, stopped, or dead
	Gone                   // no process, for certain
	Restarting             // ordered to
	Upgrading              // another process takes its place
)

// State of a pair of relay and item.
type State uint8

const (
	InStep      State = iota // it runs what was agreed
	OnItsWay                 // it does not yet, and nothing is claimed of it
	Late                     // it runs an older version beyond the bound
	Refused                  // it said that it does not take the version
	GoneBack                 // it runs less than it ran
	Ahead                    // it runs a version or digest that nobody agreed on
	Local                    // an operator changed it at that relay
	Contradicts              // it says that it is in step, and what it does says otherwise
	NotHeard                 // nothing is known of it
)

// Settings of a Watch. New fills in what is 0.
type Settings struct {
	Period   int64    // ms between the words of a relay; 1000
	InFlight int64    // ms that an attempt begun before a change may still take: the longest time an attempt is given; 5000
	Prior    int64    // ms until a version counts as late while too little is known of its propagation; 15 periods
	Most     int64    // ms, the bound that no propagation measured goes beyond, and how long a relay may move without arriving; 300 periods
	Unpaced  []string // groups whose versions tell nothing of how long one takes: they have the bound of all others
	Patience float64  // times the bound while most of the fleet has not arrived either, and times what half took while little is known; 8
}

// Row is a pair that is not in step, for operators. A relay that is not heard has one row with no item.
type Row struct {
	Relay    string
	State    State
	Since    int64 // in this state
	Behind   int64 // since when it is not in step; 0 if it was never heard to be
	Intent   Item
	Applied  Applied // Since by the relay's clock
	Why      string
	Evidence []string
}

// Change is a pair that went from one state to another.
type Change struct {
	At          int64
	Relay, Item string
	From, To    State
	Why         string
}

// Counts is what a Watch could not use.
type Counts struct {
	Words, Unknown, Old, Full uint64 // heard; of relays without an intent; repeated or overtaken; relays or items beyond the bounds
}
