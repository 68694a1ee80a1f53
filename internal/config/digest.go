package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// perRelayKeys are the keys, in any section, whose values differ between relays by design:
// locations, addresses and names.
var perRelayKeys = []string{"zone", "me", "listen", "address", "calls", "reach", "known", "dir", "key_file", "program"}

// Sections returns the digest of each section that is set. Relays of one installation have equal
// digests if they have the same configuration, since perRelayKeys are left out.
func (c *Config) Sections() map[string]string {
	out := map[string]string{}
	for name, section := range map[string]any{"settings": c.Settings, "limits": c.Limits, "fronts": c.Fronts, "store": c.Store, "peers": c.Peers,
		"state": c.State, "fleet": c.Fleet, "counts_ms": c.CountsMS} {
		text, err := json.Marshal(section)
		var value any
		if err != nil || json.Unmarshal(text, &value) != nil || value == nil {
			continue
		}
		removeKeys(value, perRelayKeys)
		text, _ = json.Marshal(value) // sorts the keys, so that equal sections have equal digests
		out[name] = digest(text)
	}
	return out
}

// Digest returns the digest of all sections together, by which releases identify a configuration.
func (c *Config) Digest() string {
	text, _ := json.Marshal(c.Sections())
	return digest(text)
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:4])
}

func removeKeys(value any, keys []string) {
	switch x := value.(type) {
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
