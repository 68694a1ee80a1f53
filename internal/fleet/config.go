// Package fleet connects a relay to the fleet's agreed record: it carries commands, reports and desired states between the consensus node
// (consensus), the modules that decide on releases, canaries and drift (rollout, canary, drift), the relay's core, and operators. The relay's
// event loop never waits for it. The design is in docs/design/fleet-record.md; docs/releases.md is for operators.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"dahliarudder/internal/rollout"
)

// Config is the setting `fleet`.
type Config struct {
	Listen        string            `json:"listen"` // between relays: HTTP, sealed with the gossip key
	APIListen     string            `json:"calls"`  // for operators and owners of members: HTTP
	Dir           string            `json:"dir"`    // where the record is stored; "" keeps it in memory
	Voters        map[string]string `json:"voters"` // listen addresses by name: 1, 3 or 5 relays; all others follow
	DialAddresses map[string]string `json:"reach"`  // by name: where this relay reaches another, if not at its listen address
	Disruption    struct {
		Relays  Budget `json:"relays"`
		Members Budget `json:"members"`
		// SpareLoad is the share of the present load that the remaining members must be able to carry on top of it.
		SpareLoad float64 `json:"headroom"`
		// MaxServiceLoss is the share of the service before a release that it may cost, beyond noise, until it halts.
		MaxServiceLoss float64 `json:"cost"`
	} `json:"out"`
	// QuarantineDrifted makes drifted relays take no clients, as far as the budget allows. Otherwise drift is only shown.
	QuarantineDrifted bool   `json:"take_out"`
	Program           string `json:"program"`  // what this relay reports as its program; absent: its version and the digest of its file
	StartTimeoutMS    int64  `json:"start_ms"` // how long a replacement may take until it serves; 30,000 if absent

	budgets rollout.Budgets
}

// Budget is how many may be out at once, each a number ("2") or a share ("25%").
type Budget struct {
	Total string `json:"whole"` // "1" if absent
	Zone  string `json:"zone"`  // of each zone's; as Total if absent
}

// Intervals and timeouts. Each follows from a time that the protocol or another package fixes.
const (
	reportInterval        = time.Second            // of a relay's status reports
	silenceTimeout        = 4 * reportInterval     // four reports lost: datagrams and a change of the leader cost two
	flowExpiry            = 7 * time.Second        // by then the client has given up a flow whose relay is silent, by the protocol
	drainTimeout          = 20 * time.Second       // a relay drains for 3 s and stops for 3 s; a member's flows go as fast as others can take them
	defaultStartTimeoutMS = 30_000                 // what the platform takes until a relay is ready
	planInterval          = 200 * time.Millisecond // of the leader's control loop
	viewMaxAge            = 3 * time.Second        // from a view to the agreement on its plan: a new leader takes two
	driftHaltAfter        = 10 * time.Second       // drift of that age halts a release
	permitWindowMS        = 30_000                 // within which a granted permit must begin
	maxClockDrift         = 0.01                   // between machines: a hundred times that of quartz
	defaultServiceLoss    = 0.05                   // of Disruption.MaxServiceLoss
)

// Check validates the setting and completes it. Dir is the configuration's directory, relays the number of relays that should run, and warmup
// how long a member's slow start takes.
func (c *Config) Check(dir string, relays int, warmup time.Duration) (err error) {
	for _, address := range []struct{ name, text string }{{"listen", c.Listen}, {"calls", c.APIListen}} {
		if _, err := netip.ParseAddrPort(address.text); err != nil {
			return fmt.Errorf("%s: %w", address.name, err)
		}
	}
	if n := len(c.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("voters: %d of them: 3 or 5 outlive a loss, 1 is for trials, an even number outlives no more than one less", n)
	}
	for _, addresses := range []map[string]string{c.Voters, c.DialAddresses} {
		for name, address := range addresses {
			if _, err := netip.ParseAddrPort(address); name == "" || err != nil {
				return fmt.Errorf("%q: %w", name, err)
			}
		}
	}
	if c.Dir != "" && !filepath.IsAbs(c.Dir) {
		c.Dir = filepath.Join(dir, c.Dir)
	}
	if c.Disruption.SpareLoad < 0 || c.Disruption.SpareLoad > 10 {
		return fmt.Errorf("out.headroom: %v is no part of the load", c.Disruption.SpareLoad)
	}
	if !(c.Disruption.MaxServiceLoss >= 0 && c.Disruption.MaxServiceLoss < 1) {
		return fmt.Errorf("out.cost: %v is no part of the service", c.Disruption.MaxServiceLoss)
	}
	if c.StartTimeoutMS < 0 {
		return errors.New("start_ms: below zero")
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

// Budgets returns how much may be out at once, and the times that go with it.
func (c *Config) Budgets() rollout.Budgets { return c.budgets }
