package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"dahliarudder/internal/pool"
	"dahliarudder/internal/settings"
)

// validate checks all sections, decodes the settings and the known list, and loads the files that
// the sections name. An error of a reload is also reported to the fleet as the reason why the relay
// rejected the configuration.
func (c *Config) validate() error {
	if c.Fronts == nil {
		c.Fronts = &Fronts{Line: &struct{}{}}
	}
	for _, check := range []func() error{c.validateAddresses, c.validateLimits, c.validateSettings, c.validateNATS, c.validatePeers,
		c.validateState, c.validateFleet, c.validateStore, c.validateKnown, c.validateCounts, c.validateSeed} {
		if err := check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	return nil
}

func (c *Config) validateAddresses() error {
	type address struct{ key, addr string }
	addresses := []address{{"discovery", c.Discovery}}
	if c.Fronts.Line != nil {
		addresses = append(addresses, address{"listen", c.Listen})
	}
	if c.Fronts.NATS != nil {
		addresses = append(addresses, address{"fronts.nats.listen", c.Fronts.NATS.Listen})
	}
	if len(addresses) == 1 {
		return errors.New("no front is on")
	}
	if c.Operator != "" {
		addresses = append(addresses, address{"operator", c.Operator})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	return nil
}

func (c *Config) validateLimits() error {
	if len(c.Settings) == 0 {
		return errors.New("no settings")
	}
	if c.Limits.Sockets < 0 || c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		return errors.New("limits below zero")
	}
	return nil
}

func (c *Config) validateSettings() (err error) {
	if c.decoded, err = settings.Decode(c.Settings); err != nil {
		return err
	}
	if len(c.decoded.Classes) == 0 {
		return errors.New("settings name no classes")
	}
	return nil
}

// validateNATS also loads the files of the NATS front.
func (c *Config) validateNATS() (err error) {
	if c.Fronts.NATS == nil {
		return nil
	}
	if err := c.Fronts.NATS.Validate(c.decoded); err != nil {
		return fmt.Errorf("fronts.nats: %w", err)
	}
	if c.security, err = c.Fronts.NATS.LoadSecurity(); err != nil {
		return fmt.Errorf("fronts.nats.%w", err)
	}
	if c.Fronts.Line == nil {
		c.Fronts.NATS.AdaptSettings(c.decoded)
	}
	return nil
}

func (c *Config) validatePeers() error {
	if c.Peers == nil {
		return nil
	}
	return c.Peers.validate(c.Name, c.dir)
}

func (c *Config) validateState() error {
	if c.State == nil {
		return nil
	}
	return c.State.validate(c.dir)
}

func (c *Config) validateFleet() error {
	if c.Fleet == nil {
		return nil
	}
	if c.Peers == nil {
		return errors.New("fleet: peers are not configured: the fleet needs their membership and their key")
	}
	slowStart := settings.Duration(c.decoded.Guarantees.SlowStartDuration)
	if err := c.Fleet.Check(c.dir, max(c.decoded.Balancers, 1), slowStart); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	return nil
}

func (c *Config) validateStore() error {
	if c.Store == nil {
		return nil
	}
	if err := c.Store.Check(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (c *Config) validateKnown() (err error) {
	if len(c.Known) == 0 || string(c.Known) == "null" {
		return nil
	}
	if c.known, err = pool.Decode(c.Known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// validateCounts rejects an interval so short that the log would itself take much processor time.
func (c *Config) validateCounts() error {
	if c.CountsMS != 0 && !(c.CountsMS >= minCountsMS && c.CountsMS <= maxCountsMS) {
		return fmt.Errorf("counts_ms: %v is neither 0 nor from %d to %d", c.CountsMS, minCountsMS, maxCountsMS)
	}
	return nil
}

func (c *Config) validateSeed() error {
	if c.Seed == "" {
		return nil
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}
