// Package config reads the configuration of a relay: the EDGE_* environment variables
// and the JSON file that EDGE_CONFIG names. An operator's own file has the same
// form, plus "fronts" and "store".
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"

	"dahliarudder/internal/fleet"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/settings"
	"dahliarudder/internal/store"
)

// The bounds of counts_ms: at most ten lines a second, at least one an hour.
const minCountsMS, maxCountsMS = 100, 3_600_000

// ErrInvalid is wrapped by every error about a configuration that cannot be used.
var ErrInvalid = errors.New("invalid configuration")

// Config is the configuration of a relay.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // address for operators' calls; empty: none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Fronts   *Fronts         `json:"fronts"` // nil: the line front alone
	Store    *store.Config   `json:"store"`  // nil: nothing is recorded
	Peers    *Peers          `json:"peers"`  // nil: no gossip with other relays
	State    *State          `json:"state"`  // nil: no snapshots
	Fleet    *fleet.Config   `json:"fleet"`  // nil: no fleet record
	// CountsMS is the interval, in milliseconds, at which the relay logs what it counted in the
	// last interval; 0: never.
	CountsMS float64 `json:"counts_ms"`

	decoded         *settings.Settings
	known           *pool.EndpointList
	security        *nats.Security // contents of the NATS front's files
	dir             string         // directory of the configuration file
	discoveryInFile string         // discovery address in the file, which a variable may override
}

// Fronts are the fronts that are on. Pool members speak the protocol of the front that serves the
// request. Health checks go through the line front if it is on.
type Fronts struct {
	Line *struct{}    `json:"line"` // listens at Config.Listen
	NATS *nats.Config `json:"nats"`
}

// restartOnly returns the part of the configuration whose changes need a restart. Credentials do not:
// they are read again on SIGHUP.
func (f *Fronts) restartOnly() Fronts {
	if f == nil {
		return Fronts{}
	}
	out := *f
	if f.NATS != nil {
		n := *f.NATS
		n.Auth = nil
		out.NATS = &n
	}
	return out
}

// Load reads the configuration file, unless path is empty, and the environment variables, which take
// precedence, and validates the result. Errors wrap ErrInvalid.
func Load(path string, env func(string) string) (*Config, error) {
	c, err := readFile(path)
	if err != nil {
		return nil, err
	}
	c.applyEnvironment(env)
	return c, c.validate()
}

// Reload reads the file again. Environment variables cannot change while the program runs, so a
// discovery address that has changed in the file since the last load takes precedence over the
// variable.
func (c *Config) Reload(path string, env func(string) string) (*Config, error) {
	fresh, err := readFile(path)
	if err != nil {
		return nil, err
	}
	fresh.applyEnvironment(env)
	switch fresh.discoveryInFile {
	case c.discoveryInFile:
		fresh.Discovery = c.Discovery
	case "":
	default:
		fresh.Discovery = fresh.discoveryInFile
	}
	return fresh, fresh.validate()
}

// KeysNeedingRestart returns the keys whose values differ in fresh and take effect only after a
// restart.
func (c *Config) KeysNeedingRestart(fresh *Config) []string {
	var keys []string
	for _, k := range []struct {
		key      string
		old, new any
	}{
		{"name", c.Name, fresh.Name}, {"listen", c.Listen, fresh.Listen},
		{"operator", c.Operator, fresh.Operator}, {"seed", c.Seed, fresh.Seed},
		{"limits", c.Limits, fresh.Limits}, {"known", c.known, fresh.known}, {"settings", c.decoded, fresh.decoded},
		{"fronts", c.Fronts.restartOnly(), fresh.Fronts.restartOnly()}, {"store", c.Store, fresh.Store},
		{"counts_ms", c.CountsMS, fresh.CountsMS}, {"peers", c.Peers, fresh.Peers},
		{"state", c.State, fresh.State}, {"fleet", c.Fleet, fresh.Fleet},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// readFile reads the file, if path is not empty.
func readFile(path string) (*Config, error) {
	c := &Config{}
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if err := json.Unmarshal(text, c); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, path, err)
		}
	}
	c.discoveryInFile, c.dir = c.Discovery, filepath.Dir(path)
	if c.Fronts != nil && c.Fronts.NATS != nil {
		c.Fronts.NATS.Dir = filepath.Dir(path)
	}
	return c, nil
}

// applyEnvironment sets the values that environment variables override.
func (c *Config) applyEnvironment(env func(string) string) {
	for _, v := range []struct {
		name   string
		target *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_OPERATOR", &c.Operator}} {
		if s := env(v.name); s != "" {
			*v.target = s
		}
	}
}

// AdoptDiscovery takes over the discovery address of the predecessor in a hot restart if the file has
// the same one: the environment variable may be older than the predecessor's last reload. It returns
// whether both processes now use the same address.
func (c *Config) AdoptDiscovery(discovery string) bool {
	if discovery != "" && c.discoveryInFile == discovery {
		c.Discovery = discovery
	}
	return c.Discovery == discovery
}

// Security returns the contents of the NATS front's files, nil if the front is off.
func (c *Config) Security() *nats.Security { return c.security }

// Decoded returns the decoded settings.
func (c *Config) Decoded() *settings.Settings { return c.decoded }

// KnownList returns the configured endpoint list, nil if there is none.
func (c *Config) KnownList() *pool.EndpointList { return c.known }

// SeedNumber returns the seed for random numbers, 0 if none is configured.
func (c *Config) SeedNumber() uint64 {
	n, _ := strconv.ParseUint(c.Seed, 16, 64)
	return n
}
