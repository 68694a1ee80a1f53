package fleet

// RelayPhase is how far a relay is in its life cycle. Its text is part of status reports and of the API.
type RelayPhase string

// Phases of a relay.
const (
	RelayStarting    RelayPhase = "starting"
	RelayServing     RelayPhase = "serving"
	RelayDraining    RelayPhase = "draining" // it takes no new clients
	RelayQuarantined RelayPhase = "shut"     // it takes no clients by an order of the record
	RelayLeaving     RelayPhase = "leaving"  // its process is about to end
)

// ObservedState is what a relay is doing, as read on its event loop.
type ObservedState struct {
	Phase          RelayPhase
	ListGeneration uint64 // of discovery's endpoint list
	Flows          int
	// DemandMS and ServedMS count clients' time in milliseconds: ServedMS that in which a flow stood; DemandMS that and the time for which
	// clients were turned away. Time rather than requests: a client that retries ten times is still one client that is not served.
	DemandMS, ServedMS uint64
	MisroutedFlows     uint64 // flows begun at members that had been excluded for longer than the grace period
	Members            []MemberState
	LocalEjections     []string // members that this relay's own operators have ejected
	AppliedExclusions  []string // members that are excluded by the record, as the core has applied it
	AppliedVersion     uint64   // of the record
	CanaryVersion      uint64   // of the canary state that is applied
	CanaryCounts       []byte   // what this relay counted for a canary, encoded
	Peers              []Peer
	// ConfigSections is the digest by section of the running configuration, as far as all relays share it. A section's name has 29 bytes
	// at most. nil: Options.ConfigDigest stands for all of it, as the section "settings".
	ConfigSections map[string]string
	// RejectedItems are items ("config.SECTION") that this relay was given and did not accept, with the reason. An entry goes once a later
	// value is accepted.
	RejectedItems   map[string]string
	PermitsVersion  uint64 // DesiredState.PermitsVersion as last applied; 0: not reported
	QuarantineOrder uint64 // number of the order by which this relay takes no clients; 0: it takes them
}

// MemberState is a member in this relay's endpoint list.
type MemberState struct {
	Name, Zone          string
	DiscoveryState      string // ready, draining or gone
	StartedAt           int64  // wall clock, ms; 0: long ago
	Flows               int
	Capacity            float64
	Successes, Failures uint64 // of attempts and health checks
}

// Peer is another relay as gossip knows it.
type Peer struct {
	Name, Zone  string
	Alive       bool // it answers, or is merely suspected
	Gone        bool // its process has ended, or announced its end
	Serving     bool
	Incarnation uint64
}
