// Package drift answers whether each relay runs what was agreed.
//
// A Reporter is one relay's side: it notes what the relay has applied and counts what it does. A Monitor is the leader's side: it compares the
// relays' reports with what was agreed, and gives findings. The package does no I/O and reads no clock: times (wall clock, ms), reports and
// what is agreed are passed in, reports and replies to send are returned. docs/design/drift.md gives the reasons behind the design.
package drift

// Bounds on what is sent and stored, whatever a report claims.
const (
	MaxReportBytes    = 900  // of an encoded report, which is sent once in an interval
	MaxReplyBytes     = 1200 // of an encoded reply
	MaxRelays         = 1024
	MaxItems          = 64 // of one relay
	MaxGroups         = 16
	MaxActivities     = 16
	MaxNameBytes      = 36 // of an item's name, and of a kind of activity
	MaxGroupNameBytes = 16
	MaxRelayNameBytes = 64
	MaxSourceBytes    = 24
	MaxReasonBytes    = 100 // of a reason, and of a piece of evidence
	MaxEvidence       = 4   // pieces of evidence stored for an item: the first ones and the newest
	MaxHistory        = 256 // changes stored for operators
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

// KindRemovedMember is a kind of Activity of ItemEjections and ItemDrains: new flows and attempts at members that are agreed to be ejected or
// drained. Each is a violation.
const KindRemovedMember = "out"

// Item is a version of something that is agreed on, or that a relay runs. Versions of an item rise; to go back, the former content is agreed
// on as a higher version, or the former version is agreed on again.
type Item struct {
	Name    string `json:"Name"`
	Version uint64 `json:"Version"`
	Digest  uint64 `json:"Digest"`
}

// Applied is what a relay runs of an item. With version 0 it runs none, though it may have rejected one.
type Applied struct {
	Item
	Since           int64  // by the relay's clock
	Source          string // record, stream, snapshot, file, a call, ...
	RejectReason    string // why it rejected RejectedVersion; "" if it has rejected none since
	RejectedVersion uint64
	Progress        uint64 // rises while it works on the next version: a slow disk is not a stuck relay
	LocalOverride   bool   // changed by an operator's call at that relay
}

// empty reports whether the relay runs nothing of the item and rejected nothing.
func (a Applied) empty() bool {
	return a.Version == 0 && a.Digest == 0 && a.RejectedVersion == 0 && !a.LocalOverride
}

// Activity is a count of what a relay did since its start.
type Activity struct {
	Item, Kind string
	Count      uint64
	Violations uint64 // of Count: what it must not do by what it claims to have applied
}

// GroupDigest is the digest over all items of a group, see GroupOf and DigestOf.
type GroupDigest struct {
	Name   string
	Digest uint64
}

// Report is what a relay reports of itself once in an interval.
type Report struct {
	Relay       string
	Incarnation uint64 // rises with each process of that name
	Seq         uint64 // rises with each report of the process
	SentAt      int64  // by the relay's clock: only differences are used
	Groups      []GroupDigest
	Items       []Applied // of groups that changed or that the leader asked for, as far as they fit; the rest in the next reports
	Activities  []Activity
}

// Reply is the leader's answer to a report.
type Reply struct {
	Relay            string
	Incarnation, Seq uint64   // of the report that it answers
	WantDetails      []string // groups whose items the relay should report
	Resync           []string // items that the relay should take from the record again
}

// Liveness is what other relays and the record know of a relay's process.
type Liveness uint8

// The values of Liveness.
const (
	Alive       Liveness = iota // by its own report, or by others
	Unreachable                 // nobody receives from it: partitioned, stopped, or dead
	Terminated                  // no process, for certain
	Restarting                  // as ordered
	Upgrading                   // another process is taking its place
)

// Settings of a Monitor. NewMonitor replaces zeros by the defaults. Times are in ms.
type Settings struct {
	ReportInterval   int64    // between the reports of a relay; 1000
	InFlightGrace    int64    // the longest time of an attempt: one that began before a change may still end after it; 5000
	PriorBound       int64    // the lag bound while little is known of propagation; 15 intervals
	MaxBound         int64    // the highest lag bound, and how long a relay may make progress without arriving; 300 intervals
	UnmeasuredGroups []string // groups whose arrivals tell nothing of propagation: they have the fleet's lag bound
	SlowFleetFactor  float64  // times the bound while most of the fleet has not arrived, and times what half of it took while little is known; 8
}

// Finding is an item of a relay that is not in sync, for operators. A relay that does not report has one finding, without an item.
type Finding struct {
	Relay          string
	State          State
	Since          int64 // in this state
	OutOfSyncSince int64 // 0 if it was never reported to be
	Agreed         Item
	Applied        Applied // its Since is by the relay's clock
	Reason         string
	Evidence       []string
}

// Change is an item of a relay that went from one state to another. Without an item it is the relay itself.
type Change struct {
	At          int64
	Relay, Item string
	From, To    State
	Reason      string
}

// Counts are the reports that a Monitor received, and what it could not use.
type Counts struct {
	Reports      uint64 `json:"Words"`   // used
	UnknownRelay uint64 `json:"Unknown"` // of relays for which nothing is agreed
	Stale        uint64 `json:"Old"`     // repeated or overtaken
	OverLimit    uint64 `json:"Full"`    // relays, items or changes beyond the bounds
}
