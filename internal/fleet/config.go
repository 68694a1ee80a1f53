// Package fleet connects a relay to the replicated record of the fleet. It carries commands, status
// reports and desired states between the consensus node (package consensus), the packages that
// decide on releases, canaries and drift (rollout, canary, drift), the relay's core, and operators.
// The relay's event loop never waits for this package. docs/design/fleet-record.md describes the
// design; docs/releases.md is for operators.
package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"dahliarudder/internal/rollout"
)

// Config is the configuration section `fleet`.
type Config struct {
	Listen    string `json:"listen"` // address for other relays: HTTP, sealed with the gossip key
	APIListen string `json:"calls"`  // address of the API for operators and owners of members: HTTP
	Dir       string `json:"dir"`    // directory of the record; "" keeps it in memory
	// Voters has the listen addresses of 1, 3 or 5 relays by name. All other relays are followers.
	Voters map[string]string `json:"voters"`
	// DialAddresses has, by relay name, the address to dial instead of that relay's listen address.
	DialAddresses map[string]string `json:"reach"`
	Disruption    struct {
		Relays  Budget `json:"relays"`
		Members Budget `json:"members"`
		// SpareLoad is the load that the remaining members must be able to carry beyond the present
		// load, as a share of the present load.
		SpareLoad float64 `json:"headroom"`
		// MaxServiceLoss is the share of the service level before a release that the release may
		// cost, beyond noise, before it halts.
		MaxServiceLoss float64 `json:"cost"`
	} `json:"out"`
	// QuarantineDrifted puts drifted relays into quarantine, where they take no clients, as far as the
	// budget allows. Otherwise drift is only shown.
	QuarantineDrifted bool `json:"take_out"`
	// Program is what this relay reports as its program. Default: its version and the digest of its file.
	Program        string `json:"program"`
	StartTimeoutMS int64  `json:"start_ms"` // how long a replacement may take until it serves; default: 30,000

	budgets rollout.Budgets
}

// Budget limits how many relays or members may be out of service at once. Each limit is a number
// ("2") or a share ("25%").
type Budget struct {
	Total string `json:"whole"` // limit for the fleet; default: "1"
	Zone  string `json:"zone"`  // limit for each zone; default: only Total applies
}

// Intervals, timeouts and limits. Each duration is derived from one that the protocol or another package
// sets.
const (
	reportInterval = time.Second // between two status reports of a relay

	// silenceTimeout is the age of its last report at which a relay counts as silent. It covers four
	// reports, of which lost datagrams and a change of the leader cost two.
	silenceTimeout = 4 * reportInterval

	// flowExpiry is the time after which, by the protocol, a client has given up a flow whose relay is
	// silent.
	flowExpiry = 7 * time.Second

	// drainTimeout limits a drain. A relay drains for 3 s and stops for 3 s; a member's flows migrate as
	// fast as other members can take them.
	drainTimeout = 20 * time.Second

	defaultStartTimeoutMS = 30_000 // time that the platform takes until a relay is ready

	planInterval = 200 * time.Millisecond // between two rounds of the leader's control loop

	// viewMaxAge is the greatest age of a view when the commands planned from it are committed: a new
	// leader takes 2 s.
	viewMaxAge = 3 * time.Second

	driftHaltAfter     = 10 * time.Second // drift that blocks releases for longer halts them
	permitWindowMS     = 30_000           // time in which a granted permit must begin
	maxClockDrift      = 0.01             // relative rate error of a machine's clock: 100 times that of quartz
	defaultServiceLoss = 0.05             // default of Disruption.MaxServiceLoss
)

// Check validates the configuration and sets defaults. Dir is the directory of the configuration
// file, relays is the number of relays that should run, and warmup is the duration of a member's
// slow start. Errors begin with the name of the setting inside `fleet`.
func (c *Config) Check(dir string, relays int, warmup time.Duration) (err error) {
	for _, address := range []struct{ name, text string }{{"listen", c.Listen}, {"calls", c.APIListen}} {
		if _, err := netip.ParseAddrPort(address.text); err != nil {
			return fmt.Errorf("%s: %w", address.name, err)
		}
	}
	if n := len(c.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("voters: got %d, must be 1, 3 or 5 (1 is for trials and tolerates no failure; "+
			"an even number tolerates no more failures than one voter less)", n)
	}
	for _, addresses := range []map[string]string{c.Voters, c.DialAddresses} {
		for name, address := range addresses {
			if _, err := netip.ParseAddrPort(address); name == "" || err != nil {
				return fmt.Errorf("voters or reach: address of relay %q: %w", name, err)
			}
		}
	}
	if c.Dir != "" && !filepath.IsAbs(c.Dir) {
		c.Dir = filepath.Join(dir, c.Dir)
	}
	if c.Disruption.SpareLoad < 0 || c.Disruption.SpareLoad > 10 {
		return fmt.Errorf("out.headroom: must be from 0 to 10 (a share of the load), got %v", c.Disruption.SpareLoad)
	}
	if !(c.Disruption.MaxServiceLoss >= 0 && c.Disruption.MaxServiceLoss < 1) {
		return fmt.Errorf("out.cost: must be at least 0 and less than 1 (a share of the service), got %v",
			c.Disruption.MaxServiceLoss)
	}
	if c.StartTimeoutMS < 0 {
		return fmt.Errorf("start_ms: must not be negative, got %d", c.StartTimeoutMS)
	}
	c.budgets = rollout.Budgets{CapacityReserve: c.Disruption.SpareLoad, ServiceTolerance: cmp.Or(c.Disruption.MaxServiceLoss, defaultServiceLoss),
		SilentAfterMS: silenceTimeout.Milliseconds(), FlowHoldMS: (silenceTimeout + flowExpiry).Milliseconds(), ViewMaxAgeMS: viewMaxAge.Milliseconds(),
		DrainTimeoutMS: drainTimeout.Milliseconds(), StartTimeoutMS: cmp.Or(c.StartTimeoutMS, defaultStartTimeoutMS), WarmupMS: warmup.Milliseconds(),
		PermitWindowMS: permitWindowMS, ClockDrift: maxClockDrift, DriftHaltMS: driftHaltAfter.Milliseconds()}
	relayBudget, memberBudget := &c.budgets.Relays, &c.budgets.Members
	for _, limit := range []struct {
		name, text string
		into       *rollout.Limit
	}{
		{"relays.whole", cmp.Or(c.Disruption.Relays.Total, "1"), &relayBudget.Total},
		{"relays.zone", c.Disruption.Relays.Zone, &relayBudget.PerZone},
		{"members.whole", cmp.Or(c.Disruption.Members.Total, "1"), &memberBudget.Total},
		{"members.zone", c.Disruption.Members.Zone, &memberBudget.PerZone},
	} {
		if limit.text == "" {
			continue
		}
		if *limit.into, err = rollout.ParseLimit(limit.text); err != nil {
			return fmt.Errorf("out.%s: %w", limit.name, err)
		}
	}
	if reason := c.budgets.Unusable(map[string]int{"": relays}, nil); reason != "" {
		return fmt.Errorf("out: %s", reason)
	}
	return nil
}

// Budgets returns the limits and timeouts that rollout uses. They are set by Check.
func (c *Config) Budgets() rollout.Budgets { return c.budgets }
