package config

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settingsText = `"settings":{"zones":["a"],"classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like"}],"tenants":[{"name":"water","share":1}]}`

func loadText(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, func(name string) string { return env[name] })
}

// TestLoad checks that environment variables take precedence over the file, that unknown keys are
// ignored, and that only the line front is on if no fronts are configured.
func TestLoad(t *testing.T) {
	c, err := loadText(t, `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","more":[1],
		"known":{"generation":7,"instances":[{"instanceId":"s-00000001"}]},`+settingsText+`}`,
		map[string]string{"EDGE_NAME": "n3", "EDGE_LISTEN": "127.0.0.1:3"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:3" || c.Discovery != "127.0.0.1:2" || c.SeedNumber() != 0x8c1f30d27a5be964 ||
		c.KnownList().Generation != 7 || len(c.Decoded().Classes) != 1 || c.Fronts.Line == nil || c.Fronts.NATS != nil || c.Store != nil {
		t.Errorf("Load = %+v, want name and listen address of the environment, the other values of the file, "+
			"and only the line front", c)
	}
	if _, err := Load("", func(string) string { return "" }); !errors.Is(err, ErrInvalid) {
		t.Errorf("Load without a file and variables: error %v, want %v", err, ErrInvalid)
	}
}

// TestLoadInvalid checks that invalid values of the operator's keys are errors.
func TestLoadInvalid(t *testing.T) {
	const head = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",` + settingsText + `,`
	if _, err := loadText(t, head+`"fronts":{"nats":{"listen":"127.0.0.1:4","class":"pay","tenant":"water"}},"store":{"driver":"sqlite","dsn":"x"},"counts_ms":1000}`, nil); err != nil {
		t.Fatal(err)
	}
	for name, rest := range map[string]string{
		"no front":           `"fronts":{}}`,
		"NATS address":       `"fronts":{"nats":{}}}`,
		"NATS payload":       `"fronts":{"nats":{"listen":"127.0.0.1:4","max_payload":-1}}}`,
		"NATS class":         `"fronts":{"nats":{"listen":"127.0.0.1:4","class":"gold"}}}`,
		"NATS route":         `"fronts":{"nats":{"listen":"127.0.0.1:4","routes":[{"subject":"a..b"}]}}}`,
		"NATS load":          `"fronts":{"nats":{"listen":"127.0.0.1:4","load_subject":"a.>"}}}`,
		"store driver":       `"store":{"driver":"paper","dsn":"x"}}`,
		"store without dsn":  `"store":{"driver":"sqlite"}}`,
		"limits":             `"limits":{"sockets":-1}}`,
		"known is no object": `"known":[]}`,
		"counts too often":   `"counts_ms":10}`,
		"counts negative":    `"counts_ms":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := loadText(t, head+rest, nil); !errors.Is(err, ErrInvalid) {
				t.Errorf("Load: error %v, want %v", err, ErrInvalid)
			}
		})
	}
}

// TestPeers checks that the operators' example is valid with a key file, and that invalid
// addresses, keys and names are errors.
func TestPeers(t *testing.T) {
	text, err := os.ReadFile("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name, old, new string
		valid          bool
	}{
		{"the example", "", "", true},
		{"listen address", `"listen": "127.0.0.1:7400"`, `"listen": "here"`, false},
		{"seed address", "127.0.0.1:7401", "there:1", false},
		{"no key file", "peers.key", "none", false},
		{"no name", "guide-relay-1", "", false},
		{"address override", `"peers.key"`, `"peers.key", "reach": {"n1": "x"}`, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "peers.key"), []byte("a key of 32 characters at the least"), 0o600); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "c.json")
			if err := os.WriteFile(path, []byte(strings.Replace(string(text), tt.old, tt.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			c, err := Load(path, func(string) string { return "" })
			if (err == nil) != tt.valid || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("Load with %q in place of %q: error %v, want valid = %v", tt.new, tt.old, err, tt.valid)
			}
			if tt.valid && (c.Peers.Address != c.Peers.Listen || len(c.Peers.Keys()) != 1) {
				t.Errorf("Load of the example: peers = %+v, want Address equal to Listen, and one key", c.Peers)
			}
		})
	}
}

// TestReload checks that a discovery address that changes in the file takes precedence over the
// environment variable, that one that does not change does not restore an earlier address, and that
// only keys that need a restart are reported.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}[name]
	}
	c, err := loadText(t, `{`+settingsText+`}`, map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ text, discovery, restart string }{
		{`{` + settingsText + `}`, "127.0.0.1:2", "[]"},
		{`{"discovery":"127.0.0.1:3",` + settingsText + `}`, "127.0.0.1:3", "[]"},
		{`{"discovery":"127.0.0.1:3","seed":"7",` + settingsText + `}`, "127.0.0.1:3", "[seed]"},
		{`{"discovery":"127.0.0.1:2","seed":"7","known":{},` + settingsText + `}`, "127.0.0.1:2", "[known]"},
		{`{"seed":"7","known":{},` + settingsText + `}`, "127.0.0.1:2", "[]"},
	} {
		if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		reloaded, err := c.Reload(path, env)
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(c.KeysNeedingRestart(reloaded)); reloaded.Discovery != step.discovery || got != step.restart {
			t.Errorf("Reload of %s: discovery %s, keys that need a restart %s, want %s and %s",
				step.text, reloaded.Discovery, got, step.discovery, step.restart)
		}
		c = reloaded
	}
	if err := os.WriteFile(path, []byte(`{"discovery":"nowhere",`+settingsText+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Reload(path, env); !errors.Is(err, ErrInvalid) {
		t.Errorf("Reload with an invalid discovery address: error %v, want %v", err, ErrInvalid)
	}
}

// TestAdoptDiscovery checks that a successor adopts its predecessor's discovery address if the file
// has the same one, even if an environment variable has an earlier one, and otherwise keeps its
// own. It also checks that an invalid operator address is an error.
func TestAdoptDiscovery(t *testing.T) {
	for _, c := range []struct {
		file, predecessor, want string
		same                    bool
	}{
		{"127.0.0.1:3", "127.0.0.1:3", "127.0.0.1:3", true},
		{"127.0.0.1:3", "127.0.0.1:2", "127.0.0.1:2", true},
		{"127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:2", false},
		{"", "", "127.0.0.1:2", false},
	} {
		cfg, err := loadText(t, `{"discovery":"`+c.file+`",`+settingsText+`}`,
			map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_OPERATOR": "127.0.0.1:5"})
		if err != nil {
			t.Fatal(err)
		}
		if same := cfg.AdoptDiscovery(c.predecessor); same != c.same || cfg.Discovery != c.want || cfg.Operator != "127.0.0.1:5" {
			t.Errorf("discovery %q in the file, predecessor at %s: AdoptDiscovery = %v, discovery %s, operator %s; "+
				"want %v, %s, 127.0.0.1:5", c.file, c.predecessor, same, cfg.Discovery, cfg.Operator, c.same, c.want)
		}
	}
	if _, err := loadText(t, `{`+settingsText+`}`, map[string]string{"EDGE_LISTEN": "127.0.0.1:1",
		"EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_OPERATOR": "here"}); !errors.Is(err, ErrInvalid) {
		t.Errorf("Load with an invalid operator address: error %v, want %v", err, ErrInvalid)
	}
}

// TestSections checks that relays of one installation have equal digests although their names,
// zones and directories differ, and that any other difference changes only the digest of its
// section.
func TestSections(t *testing.T) {
	text := func(name, extraLimits string, zone int) string {
		return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":1024%s},"state":{"dir":%q},`+
			strings.Replace(settingsText, `"settings":{`, `"settings":{"zone":%d,`, 1)+`}`, name, extraLimits, name, zone)
	}
	var configs []*Config
	for _, c := range []string{text("n1", "", 0), text("n2", "", 1), text("n1", `,"cores":2`, 0)} {
		config, err := loadText(t, c, nil)
		if err != nil {
			t.Fatal(err)
		}
		configs = append(configs, config)
	}
	a, b, c := configs[0].Sections(), configs[1].Sections(), configs[2].Sections()
	if !maps.Equal(a, b) || configs[0].Digest() != configs[1].Digest() {
		t.Errorf("digests of two relays of one installation differ: %v, %v", a, b)
	}
	if a["limits"] == c["limits"] || a["settings"] != c["settings"] || a["peers"] != "" {
		t.Errorf("digests %v and %v, want different ones for limits only, and none for peers", a, c)
	}
}
