package config

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"dahliarudder/internal/gossip"
)

// Peers configures the gossip between the relays of an installation.
type Peers struct {
	Listen  string            `json:"listen"`   // UDP, and TCP for reachability checks
	Address string            `json:"address"`  // the address for other relays, if not Listen
	Known   []string          `json:"known"`    // seed addresses
	KeyFile string            `json:"key_file"` // one or two keys, a line each; relative to the configuration
	Reach   map[string]string `json:"reach"`    // by name: overrides of other relays' addresses

	keys gossip.Keys
}

// Keys is the content of the key file.
func (p *Peers) Keys() gossip.Keys { return p.keys }

func (p *Peers) validate(name, dir string) (err error) {
	if name == "" || len(name) > 64 {
		return fmt.Errorf("name: %q: peers know each other by names of 1 to 64 bytes", name)
	}
	if p.Address == "" {
		p.Address = p.Listen
	}
	addresses := append([]string{p.Listen, p.Address}, p.Known...)
	for _, addr := range p.Reach {
		addresses = append(addresses, addr)
	}
	for _, at := range addresses {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	path := p.KeyFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	if p.keys, err = gossip.ReadKeys(path); err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	return nil
}
