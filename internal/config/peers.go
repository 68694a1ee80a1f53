package config

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"dahliarudder/internal/gossip"
)

// Peers configures the gossip between the relays of an installation.
type Peers struct {
	Listen  string            `json:"listen"`   // for UDP, and for TCP reachability checks
	Address string            `json:"address"`  // address that other relays use; default: Listen
	Known   []string          `json:"known"`    // seed addresses
	KeyFile string            `json:"key_file"` // one or two keys, one per line; relative to the configuration file
	Reach   map[string]string `json:"reach"`    // overrides of other relays' addresses, by relay name

	keys gossip.Keys
}

// Keys returns the keys in the key file.
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
