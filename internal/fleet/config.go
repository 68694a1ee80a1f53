// Package fleet puts the agreed record beside a relay: it carries between the record's engine (accord), what decides about releases and
// drift (rollout, drift), the relay's core, and operators. The relay's loop never waits for it. See docs/design/fleet-record.md;
// docs/releases.md is for operators.
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
	Listen        string            `json:"listen"` // between relays: HTTP, sealed with the key of peers
	APIListen     string            `json:"calls"`  // for operators and owners of members: HTTP
	Dir           string            `json:"dir"`    // what was agreed is kept there; "" keeps nothing
	Voters        map[string]string `json:"voters"` // by name, where they listen: 1, 3 or 5; all other relays follow
	DialAddresses map[string]string `json:"reach"`  // by name: where this relay reaches one, if not where it listens
	Disruption    struct {
		Relays         Budget  `json:"relays"`
		Members        Budget  `json:"members"`
		SpareLoad      float64 `json:"headroom"` // what is left sound carries the load of now and this part more
		MaxServiceLoss float64 `json:"cost"`     // the part of the service of before that a release may cost, beyond noise, before it halts
	} `json:"out"`
	QuarantineDrifted bool   `json:"take_out"` // relays that drift take no clients, as far as the budget bears it; false if absent: drift is only shown
	Program           string `json:"program"`  // what this relay says that it runs; absent: its version and the digest of its file
	StartTimeoutMS    int64  `json:"start_ms"` // what is replaced may take so long until it serves; 30,000 if absent

	budgets rollout.Budgets
}

// Budget is how many may be out at once, each a number ("2") or a part ("25%").
type Budget struct {
	Total string `json:"whole"` // "1" if absent
	Zone  string `json:"zone"`  // of each zone's; as whole if absent
}

// What a relay's silence and an order's time are measured by. Each stands on a time that another page fixes.
const (
	reportInterval     = time.Second            // a relay's word to the leader
	silenceTimeout     = 4 * reportInterval     // four words missed, as lost datagrams and a new leader cost two
	flowExpiry         = 7 * time.Second        // by then a flow whose relay says nothing is over at its client, by the protocol
	maxDrain           = 20 * time.Second       // a relay's drain takes 3 s and its stop 3 s; a member's flows go as fast as others bear
	defaultStartMS     = 30_000                 // the platform's time until a relay is ready
	planInterval       = 200 * time.Millisecond // the leader's look at what is next
	planFreshness      = 3 * time.Second        // from a look until the step that rests on it is agreed: a new leader takes two
	maxDriftBlock      = 10 * time.Second       // a release halts when drift has stood so long
	permitWindowMS     = 30_000                 // a permit is begun within
	maxClockDrift      = 0.01                   // clocks of one machine to another: a hundred times what quartz does
	defaultServiceLoss = 0.05                   // of the service before: what a release may cost beyond noise, if the setting does not say
)

// Check makes the setting usable, or says why it is not. Dir is where the configuration stands, balancers the number of relays that
// should run, warm how long a member is cold.
func (c *Config) Check(dir string, balancers int, warm time.Duration) (err error) {
	for _, a := range [][2]string{{"listen", c.Listen}, {"calls", c.APIListen}} {
		if _, err := netip.ParseAddrPort(a[1]); err != nil {
			return fmt.Errorf("%s: %v", a[0], err)
		}
	}
	if n := len(c.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("voters: %d of them: 3 or 5 outlive a loss, 1 is for trials, an even number outlives no more than one less", n)
	}
	for _, m := range []map[string]string{c.Voters, c.DialAddresses} {
		for name, at := range m {
			if _, err := netip.ParseAddrPort(at); name == "" || err != nil {
				return fmt.Errorf("%q: %v", name, err)
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
	start := cmp.Or(c.StartTimeoutMS, defaultStartMS)
	c.budgets = rollout.Budgets{CapacityReserve: c.Disruption.SpareLoad, SilentAfterMS: silenceTimeout.Milliseconds(), FlowHoldMS: (silenceTimeout + flowExpiry).Milliseconds(),
		ViewMaxAgeMS: planFreshness.Milliseconds(), DrainMS: maxDrain.Milliseconds(), StartMS: start, WarmupMS: warm.Milliseconds(), PermitWindowMS: permitWindowMS,
		ClockDrift: maxClockDrift, DriftHaltMS: maxDriftBlock.Milliseconds(), ServiceTolerance: cmp.Or(c.Disruption.MaxServiceLoss, defaultServiceLoss)}
	for _, p := range []struct {
		name, text string
		to         *rollout.Limit
	}{{"relays.whole", cmp.Or(c.Disruption.Relays.Total, "1"), &c.budgets.Relays.Total}, {"relays.zone", c.Disruption.Relays.Zone, &c.budgets.Relays.PerZone},
		{"members.whole", cmp.Or(c.Disruption.Members.Total, "1"), &c.budgets.Members.Total}, {"members.zone", c.Disruption.Members.Zone, &c.budgets.Members.PerZone}} {
		if p.text == "" {
			continue
		}
		if *p.to, err = rollout.ParseLimit(p.text); err != nil {
			return fmt.Errorf("out.%s: %v", p.name, err)
		}
	}
	if why := c.budgets.Unusable(map[string]int{"": balancers}, nil); why != "" {
		return fmt.Errorf("out: %s", why)
	}
	return nil
}

// Budgets are what may be out, and the times that go with it.
func (c *Config) Budgets() rollout.Budgets { return c.budgets }
