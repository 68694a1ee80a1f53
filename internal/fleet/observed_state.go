package fleet

// ObservedState is what a relay does, as its loop tells.
type ObservedState struct {
	Phase              string
	ListGeneration     uint64
	Flows              int
	DemandMS, ServedMS uint64 // time of clients, ms: that in which a flow stood, and with that for which they were sent away. One who comes again ten times is no ten who are not served
	MisroutedFlows     uint64 // flows begun at members that were out for longer than the grace
	Members            []MemberState
	LocalEjections     []string // addMembers that its own operators have taken out
	AppliedExclusions  []string // and by the fleet's word, as the core has them
	AppliedVersion     uint64
	CanaryVersion      uint64 // the version of the canaries that it goes by
	CanaryCounts       []byte // what it counted for a canary
	Peers              []Peer
	// ConfigSections is what it runs of its configuration now: the digest by section, of what all relays have the same. A section's name is 29 bytes
	// at most. nil: Options.Settings stands for all of it, as the section "settings".
	ConfigSections map[string]string
	// RejectedItems is what it was given and did not take, by item ("config.SECTION"): why. An entry goes when a later one was taken.
	RejectedItems   map[string]string
	PermitsVersion  uint64 // Orders.Permits as the loop had it last; 0: it does not tell
	QuarantineOrder uint64 // the number of the order by which it takes no clients; 0: it takes them
}

// MemberState is a member as this relay's list has it.
type MemberState struct {
	Name, Zone, DiscoveryState string // listed: ready, draining, gone
	StartedAt                  int64  // wall clock, ms; 0 long ago
	Out                        bool
	Flows                      int
	Capacity                   float64
	Successes, Failures        uint64
}

// Peer is another relay as peers know it.
type Peer struct {
	Name, Zone  string
	Alive       bool // it answers, or is merely suspected
	Gone        bool // no process is there, or it said so
	Serving     bool
	Incarnation uint64
}
