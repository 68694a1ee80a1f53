package fleet

// RelayPhase is the phase of a relay's life cycle. Its text is sent in status reports and in the API.
type RelayPhase string

// Phases of a relay.
const (
	RelayStarting    RelayPhase = "starting"
	RelayServing     RelayPhase = "serving"
	RelayDraining    RelayPhase = "draining" // takes no new clients
	RelayQuarantined RelayPhase = "shut"     // takes no clients, by an order of the record
	RelayLeaving     RelayPhase = "leaving"  // the process is about to end
)

// ObservedState is the actual state of a relay, as read on its event loop.
type ObservedState struct {
	Phase          RelayPhase
	ListGeneration uint64 // generation of discovery's endpoint list; 0: not reported
	Flows          int
	// DemandMS and ServedMS count clients' time in milliseconds. ServedMS counts the time in which a flow
	// was open; DemandMS adds the time for which clients were turned away. They count time instead of
	// requests because a client that retries ten times is still one client that is not served.
	DemandMS, ServedMS uint64
	MisroutedFlows     uint64 // flows opened at members that had been excluded for longer than the grace period
	Members            []MemberState
	LocalEjections     []string // members ejected by operators at this relay only
	AppliedExclusions  []string // members excluded by the record, as the core has applied it
	AppliedVersion     uint64   // applied version of the record
	CanaryVersion      uint64   // applied version of the canary state
	CanaryCounts       []byte   // this relay's counts for the canary, encoded
	Peers              []Peer
	// ConfigSections has a digest for each section of the running configuration that all relays share.
	// Section names have at most 29 bytes. If it is nil, Options.ConfigDigest is reported for the whole
	// configuration, as the section "settings".
	ConfigSections map[string]string
	// RejectedItems has the items ("config.SECTION") whose new value this relay received and rejected,
	// with the reason. An item is removed when a later value is accepted.
	RejectedItems   map[string]string
	PermitsVersion  uint64 // DesiredState.PermitsVersion as last applied; 0: not reported
	QuarantineOrder uint64 // number of the order by which this relay takes no clients; 0: no such order
}

// MemberState is a member in this relay's endpoint list.
type MemberState struct {
	Name, Zone          string
	DiscoveryState      string // ready, draining or gone
	StartedAt           int64  // wall clock, ms; 0: too long ago to matter
	Flows               int
	Capacity            float64
	Successes, Failures uint64 // of attempts and health checks
}

// Peer is another relay, as gossip reports it.
type Peer struct {
	Name, Zone  string
	Alive       bool // it answers, or is only suspected to have failed
	Gone        bool // its process has ended or has announced its end
	Serving     bool
	Incarnation uint64
}
