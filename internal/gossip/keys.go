package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
)

const (
	minKeyLen = 32 // characters
	maxKeys   = 2  // the new key and the old one during a rotation
)

// Keys are the shared keys of the installation. The first one signs, all of them verify.
type Keys [][]byte

// ReadKeys reads one or two keys, one per line, from a file that only its owner may access.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("key file %s: mode %04o gives access to group or others, want 0600", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys Keys
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if len(line) < minKeyLen {
			return nil, fmt.Errorf("key file %s: key has %d characters, want at least %d", path, len(line), minKeyLen)
		}
		keys = append(keys, []byte(line))
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("key file %s: found %d keys, want 1 to %d", path, len(keys), maxKeys)
	}
	return keys, nil
}

// keyID returns the ID that identifies a key on the wire without disclosing it.
func keyID(key []byte) []byte {
	sum := sha256.Sum256(key)
	return sum[:keyIDSize]
}

// authTag returns the truncated HMAC-SHA256 of b.
func authTag(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:tagSize]
}
