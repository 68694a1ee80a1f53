// Package drift detects relays that do not run what was agreed for them.
//
// A Reporter runs on each relay: it records what the relay has applied, counts what the relay does
// and builds its reports. A Monitor runs on the leader: it compares the reports with what was agreed
// and returns findings. The package does no I/O and reads no clock: callers pass in the time (wall
// clock, in ms), received reports and agreed items, and send the reports and replies that it
// returns. docs/design/drift.md gives the reasons behind the design.
package drift

// Limits on what is sent and stored. Decoding and the Monitor enforce them on every report.
const (
	MaxReportBytes    = 900  // size of an encoded report; a relay sends one per interval
	MaxReplyBytes     = 1200 // size of an encoded reply
	MaxRelays         = 1024
	MaxItems          = 64 // per relay
	MaxGroups         = 16 // per relay
	MaxActivities     = 16 // per relay
	MaxNameBytes      = 36 // of an item name or an activity kind
	MaxGroupNameBytes = 16
	MaxRelayNameBytes = 64
	MaxSourceBytes    = 24
	MaxReasonBytes    = 100 // of a reason or one piece of evidence
	MaxEvidence       = 4   // pieces of evidence per item: the first three and the newest
	MaxHistory        = 256 // state changes stored by a Monitor
)

// Item names without a dot, which are also the names of their groups. An item "config.SECTION"
// belongs to the group "config".
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

// KindRemovedMember is the Activity kind, for ItemEjections and ItemDrains, that counts new flows and
// attempts sent to members that are agreed to be ejected or drained. Each one is a violation.
const KindRemovedMember = "out"

// Item identifies one version of something that is agreed on or that a relay runs. The agreed versions
// of an item usually rise. To roll back, the earlier content is agreed on as a higher version, or the
// earlier version is agreed on again.
type Item struct {
	Name    string `json:"Name"`
	Version uint64 `json:"Version"`
	Digest  uint64 `json:"Digest"`
}

// Applied is what a relay runs of an item. Version 0 means that it runs none, although it may have
// rejected a version.
type Applied struct {
	Item
	Since           int64  // when it was applied, rejected or overridden, by the relay's clock
	Source          string // where the version came from: the record, a file, an operator's call, ...
	RejectReason    string // why the relay rejected RejectedVersion; "" if there is none
	RejectedVersion uint64 // 0 if no version was rejected since the last one was applied
	// Progress rises while the relay works on the next version, so that a slow relay is not taken for a
	// stuck one.
	Progress      uint64
	LocalOverride bool // an operator's call at that relay changed the item
}

// empty reports whether the relay neither runs nor has rejected any version of the item.
func (a Applied) empty() bool {
	return a.Version == 0 && a.Digest == 0 && a.RejectedVersion == 0 && !a.LocalOverride
}

// Activity counts how often a relay did something since its process started.
type Activity struct {
	Item, Kind string
	Count      uint64
	Violations uint64 // how many of Count contradict what the relay reports to have applied
}

// GroupDigest is the digest of all items of a group. See GroupOf and DigestOf.
type GroupDigest struct {
	Name   string
	Digest uint64
}

// Report is what a relay sends to the leader once per interval.
type Report struct {
	Relay       string
	Incarnation uint64 // rises with each process that has this relay name
	Seq         uint64 // rises with each report of the process
	SentAt      int64  // by the relay's clock; the Monitor uses only differences
	Groups      []GroupDigest
	Items       []Applied // changed or requested items; those that do not fit follow in later reports
	Activities  []Activity
}

// Reply is the leader's answer to a report.
type Reply struct {
	Relay            string
	Incarnation, Seq uint64   // of the report that is answered
	WantDetails      []string // groups whose items the relay should include in its reports
	Resync           []string // items that the relay should read from the record again
}

// Liveness is what gossip and the record say about a relay's process.
type Liveness uint8

// The values of Liveness.
const (
	Alive       Liveness = iota // the relay itself or other relays report it alive
	Unreachable                 // no relay receives anything from it: it is partitioned, stopped or dead
	Terminated                  // the process is certain to have ended
	Restarting                  // restarting as ordered
	Upgrading                   // a new process is replacing the old one
)

// Settings configures a Monitor. NewMonitor replaces zero values by the defaults given below. Times
// are in ms; an interval is ReportInterval.
type Settings struct {
	ReportInterval int64 // between two reports of a relay; default 1000
	InFlightGrace  int64 // longest duration of an attempt, which may begin just before a change; default 5000
	PriorBound     int64 // lag bound while there are few samples of the lag; default 15 intervals
	MaxBound       int64 // highest lag bound, also for a relay that makes progress; default 300 intervals
	// UnmeasuredGroups are groups whose lag is not sampled because it says nothing about how long
	// propagation takes. They use the lag bound of the whole fleet.
	UnmeasuredGroups []string
	// SlowFleetFactor multiplies the lag bound of a version while fewer than half of the reporting
	// relays run it. While a group has few lag samples, the bound is at least this factor times the
	// time that half of the relays took. Default 8.
	SlowFleetFactor float64
}

// Finding describes an item of a relay that is not in sync. A relay that does not report has one
// finding, with the state Unknown and no item.
type Finding struct {
	Relay          string
	State          State
	Since          int64 // when the item entered State
	OutOfSyncSince int64 // 0 if the relay reports the item in sync
	Agreed         Item
	Applied        Applied // Since is by the relay's clock
	Reason         string
	Evidence       []string
}

// Change is a state change of one of a relay's items, or of the relay itself if Item is empty.
type Change struct {
	At          int64
	Relay, Item string
	From, To    State
	Reason      string
}

// Counts counts the reports that a Monitor received and the input that it discarded.
type Counts struct {
	Reports      uint64 `json:"Words"`   // reports that were processed
	UnknownRelay uint64 `json:"Unknown"` // reports and sightings of relays for which nothing is agreed
	Stale        uint64 `json:"Old"`     // reports that were repeated, out of order or from a replaced process
	OverLimit    uint64 `json:"Full"`    // relays, items, activities or changes dropped because of a limit
}
