// Package config reads what a relay is told at its start: the EDGE_* variables
// and the JSON file that EDGE_CONFIG names. An operator's own file has the same
// form, plus "fronts" and "store".
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"

	"dahliarudder/internal/fleet"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/settings"
	"dahliarudder/internal/store"
)

// The bounds of counts_ms: at most ten lines a second, at least one an hour.
const minCountsMS, mostCountsMS = 100, 3_600_000

// ErrInvalid is wrapped by every error about a configuration that cannot be used.
var ErrInvalid = errors.New("invalid configuration")

// Config is the whole configuration.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // the second address, for operators; empty for none
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
	Peers    *Peers          `json:"peers"`  // nil: this relay knows of no other
	State    *State          `json:"state"`  // nil: nothing is kept for the next start
	Fleet    *fleet.Config   `json:"fleet"`  // nil: nothing is agreed with other relays
	// CountsMS is how often, in milliseconds, the relay logs what it has counted since the
	// last time; 0: never.
	CountsMS float64 `json:"counts_ms"`

	decoded         *settings.Settings
	known           *pool.List
	security        *nats.Security // of the NATS front
	dir             string         // of the file
	discoveryInFile string         // discovery as the file has it
}

// State is where and how often a relay keeps what its next start can use.
type State struct {
	Dir     string  `json:"dir"`      // relative to the configuration
	EveryMS float64 `json:"every_ms"` // 5,000 if absent
}

// The bounds of state.every_ms.
const minStateMS, usualStateMS, mostStateMS = 1000, 5000, 600_000

func (s *State) validate(dir string) error {
	if s.Dir == "" {
		return errors.New("state.dir: names no directory")
	}
	if !filepath.IsAbs(s.Dir) {
		s.Dir = filepath.Join(dir, s.Dir)
	}
	if s.EveryMS == 0 {
		s.EveryMS = usualStateMS
	}
	if !(s.EveryMS >= minStateMS && s.EveryMS <= mostStateMS) {
		return fmt.Errorf("state.every_ms: %v is not from %d to %d", s.EveryMS, minStateMS, mostStateMS)
	}
	return nil
}

// Peers is how this relay and the others of its installation know of each other.
type Peers struct {
	Listen  string            `json:"listen"`   // UDP, and TCP that says no more than that a process is there
	Address string            `json:"address"`  // what others reach it at, if not Listen
	Known   []string          `json:"known"`    // addresses to begin with
	KeyFile string            `json:"key_file"` // one or two keys, a line each; relative to the configuration
	Reach   map[string]string `json:"reach"`    // by name: where this relay reaches one, if not at the address it names

	keys gossip.Keys
}

// Keys is what the file holds.
func (p *Peers) Keys() gossip.Keys { return p.keys }

func (p *Peers) validate(name, dir string) (err error) {
	if name == "" || len(name) > 64 {
		return fmt.Errorf("name: %q: peers know each other by names of 1 to 64 bytes", name)
	}
	if p.Address == "" {
		p.Address = p.Listen
	}
	addresses := append([]string{p.Listen, p.Address}, p.Known...)
	for _, at := range p.Reach {
		addresses = append(addresses, at)
	}
	for _, at := range addresses {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("peers: %v", err)
		}
	}
	path := p.KeyFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	if p.keys, err = gossip.ReadKeys(path); err != nil {
		return fmt.Errorf("peers.key_file: %v", err)
	}
	return nil
}

// Fronts are the fronts that are on. Pool members speak the protocol of the
// front that serves the request; they are probed by the line front if it is on.
type Fronts struct {
	Line *struct{}    `json:"line"` // listens at the configuration's address
	NATS *nats.Config `json:"nats"`
}

// restartOnly is what only a start takes: who may enter is read again on SIGHUP.
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

// Load reads the file, if path is not empty, and lets the variables that env
// knows take precedence.
func Load(path string, env func(string) string) (*Config, error) {
	c, err := readFile(path)
	if err != nil {
		return nil, err
	}
	c.override(env)
	return c, c.validate()
}

// Reload reads the file again. The variables cannot change while the program
// runs, so a discovery address that the file has changed since takes precedence
// over them.
func (c *Config) Reload(path string, env func(string) string) (*Config, error) {
	fresh, err := readFile(path)
	if err != nil {
		return nil, err
	}
	fresh.override(env)
	switch fresh.discoveryInFile {
	case c.discoveryInFile:
		fresh.Discovery = c.Discovery
	case "":
	default:
		fresh.Discovery = fresh.discoveryInFile
	}
	return fresh, fresh.validate()
}

// KeysNeedingRestart names the keys in which fresh differs and which only a start takes.
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
			return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
		}
		if err := json.Unmarshal(text, c); err != nil {
			return nil, fmt.Errorf("%w: %s: %v", ErrInvalid, path, err)
		}
	}
	c.discoveryInFile, c.dir = c.Discovery, filepath.Dir(path)
	if c.Fronts != nil && c.Fronts.NATS != nil {
		c.Fronts.NATS.Dir = filepath.Dir(path)
	}
	return c, nil
}

// override lets the variables take precedence.
func (c *Config) override(env func(string) string) {
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_OPERATOR", &c.Operator}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
}

func (c *Config) validate() error {
	if c.Fronts == nil {
		c.Fronts = &Fronts{Line: &struct{}{}}
	}
	type address struct{ name, addr string }
	addresses := []address{{"discovery", c.Discovery}}
	if c.Fronts.Line != nil {
		addresses = append(addresses, address{"listen", c.Listen})
	}
	if c.Fronts.NATS != nil {
		addresses = append(addresses, address{"fronts.nats.listen", c.Fronts.NATS.Listen})
	}
	if len(addresses) == 1 {
		return fmt.Errorf("%w: no front is on", ErrInvalid)
	}
	if c.Operator != "" {
		addresses = append(addresses, address{"operator", c.Operator})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%w: %s: %v", ErrInvalid, a.name, err)
		}
	}
	if len(c.Settings) == 0 {
		return fmt.Errorf("%w: no settings", ErrInvalid)
	}
	if c.Limits.Sockets < 0 || c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		return fmt.Errorf("%w: limits below zero", ErrInvalid)
	}
	var err error
	if c.decoded, err = settings.Decode(c.Settings); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	if len(c.decoded.Classes) == 0 {
		return fmt.Errorf("%w: settings name no classes", ErrInvalid)
	}
	if c.Fronts.NATS != nil {
		if err := c.Fronts.NATS.Validate(c.decoded); err != nil {
			return fmt.Errorf("%w: fronts.nats: %v", ErrInvalid, err)
		}
		if c.security, err = c.Fronts.NATS.LoadSecurity(); err != nil {
			return fmt.Errorf("%w: fronts.nats.%v", ErrInvalid, err)
		}
		if c.Fronts.Line == nil {
			c.Fronts.NATS.AdaptSettings(c.decoded)
		}
	}
	if c.Peers != nil {
		if err := c.Peers.validate(c.Name, c.dir); err != nil {
			return fmt.Errorf("%w: %v", ErrInvalid, err)
		}
	}
	if c.State != nil {
		if err := c.State.validate(c.dir); err != nil {
			return fmt.Errorf("%w: %v", ErrInvalid, err)
		}
	}
	if c.Fleet != nil {
		if c.Peers == nil {
			return fmt.Errorf("%w: fleet: peers are not set up: who lives is theirs to say, and the key that seals is theirs", ErrInvalid)
		}
		warm := settings.Span(c.decoded.Guarantees.Cold)
		if err := c.Fleet.Check(c.dir, max(c.decoded.Balancers, 1), warm); err != nil {
			return fmt.Errorf("%w: fleet.%v", ErrInvalid, err)
		}
	}
	if c.Store != nil {
		if err := c.Store.Check(); err != nil {
			return fmt.Errorf("%w: store: %v", ErrInvalid, err)
		}
	}
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if c.known, err = pool.Decode(c.Known); err != nil {
			return fmt.Errorf("%w: known: %v", ErrInvalid, err)
		}
	}
	if c.CountsMS != 0 && !(c.CountsMS >= minCountsMS && c.CountsMS <= mostCountsMS) {
		// Guards against a log that costs the processor time it is meant to account for.
		return fmt.Errorf("%w: counts_ms: %v is neither 0 nor from %d to %d", ErrInvalid, c.CountsMS,
			minCountsMS, mostCountsMS)
	}
	if c.Seed != "" {
		if _, err := strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return fmt.Errorf("%w: seed: %v", ErrInvalid, err)
		}
	}
	return nil
}

// AdoptDiscovery takes over where discovery is from the process whose place this one takes,
// if the file names that: a variable may be older than what SIGHUP has brought there.
// It returns whether both ask at the same address.
func (c *Config) AdoptDiscovery(discovery string) bool {
	if discovery != "" && c.discoveryInFile == discovery {
		c.Discovery = discovery
	}
	return c.Discovery == discovery
}

// perRelayKeys are keys of what is each relay's own, in whatever section: where it is and what it is called.
var perRelayKeys = []string{"zone", "me", "listen", "address", "calls", "reach", "known", "dir", "key_file", "program"}

// Sections is what all relays of an installation have the same of their configurations: a digest of each section that is set.
func (c *Config) Sections() map[string]string {
	out := map[string]string{}
	for name, section := range map[string]any{"settings": c.Settings, "limits": c.Limits, "fronts": c.Fronts, "store": c.Store, "peers": c.Peers,
		"state": c.State, "fleet": c.Fleet, "counts_ms": c.CountsMS} {
		text, err := json.Marshal(section)
		var all any
		if err != nil || json.Unmarshal(text, &all) != nil || all == nil {
			continue
		}
		removeKeys(all, perRelayKeys)
		text, _ = json.Marshal(all) // keys in order, so that one digest is of one meaning
		out[name] = digest(text)
	}
	return out
}

// Digest is of all sections together: what a release of a configuration names.
func (c *Config) Digest() string {
	text, _ := json.Marshal(c.Sections())
	return digest(text)
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:4])
}

func removeKeys(all any, keys []string) {
	switch x := all.(type) {
	case map[string]any:
		for k, v := range x {
			if slices.Contains(keys, k) {
				delete(x, k)
			} else {
				removeKeys(v, keys)
			}
		}
	case []any:
		for _, v := range x {
			removeKeys(v, keys)
		}
	}
}

// Security is what the files of the NATS front hold, nil if it is off.
func (c *Config) Security() *nats.Security { return c.security }

// Decoded is the settings.
func (c *Config) Decoded() *settings.Settings { return c.decoded }

// KnownList is the list of members as last held, nil if there is none.
func (c *Config) KnownList() *pool.List { return c.known }

// SeedNumber is the seed of random numbers.
func (c *Config) SeedNumber() uint64 {
	n, _ := strconv.ParseUint(c.Seed, 16, 64)
	return n
}
