package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

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
