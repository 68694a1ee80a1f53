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

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, func(name string) string { return env[name] })
}

// TestLoad: the variables take precedence over the file, keys that are unknown are
// passed over, and without fronts the line front is on alone.
func TestLoad(t *testing.T) {
	c, err := load(t, `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","more":[1],
		"known":{"generation":7,"instances":[{"instanceId":"s-00000001"}]},`+settingsText+`}`,
		map[string]string{"EDGE_NAME": "n3", "EDGE_LISTEN": "127.0.0.1:3"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:3" || c.Discovery != "127.0.0.1:2" || c.SeedNumber() != 0x8c1f30d27a5be964 ||
		c.KnownList().Generation != 7 || len(c.Decoded().Classes) != 1 || c.Fronts.Line == nil || c.Fronts.NATS != nil || c.Store != nil {
		t.Errorf("%+v", c)
	}
	if _, err := Load("", func(string) string { return "" }); !errors.Is(err, ErrInvalid) {
		t.Errorf("nothing at all: %v", err)
	}
}

// TestInvalid: what the operator's own keys may get wrong is told at the start.
func TestInvalid(t *testing.T) {
	const head = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",` + settingsText + `,`
	if _, err := load(t, head+`"fronts":{"nats":{"listen":"127.0.0.1:4","class":"pay","tenant":"water"}},"store":{"driver":"sqlite","dsn":"x"},"counts_ms":1000}`, nil); err != nil {
		t.Fatal(err)
	}
	for name, rest := range map[string]string{
		"no front":        `"fronts":{}}`,
		"NATS address":    `"fronts":{"nats":{}}}`,
		"NATS payload":    `"fronts":{"nats":{"listen":"127.0.0.1:4","max_payload":-1}}}`,
		"NATS class":      `"fronts":{"nats":{"listen":"127.0.0.1:4","class":"gold"}}}`,
		"NATS route":      `"fronts":{"nats":{"listen":"127.0.0.1:4","routes":[{"subject":"a..b"}]}}}`,
		"NATS load":       `"fronts":{"nats":{"listen":"127.0.0.1:4","load_subject":"a.>"}}}`,
		"store driver":    `"store":{"driver":"paper","dsn":"x"}}`,
		"store without":   `"store":{"driver":"sqlite"}}`,
		"limits":          `"limits":{"sockets":-1}}`,
		"members no list": `"known":[]}`,
		"counts often":    `"counts_ms":10}`,
		"counts below":    `"counts_ms":-1}`,
	} {
		if _, err := load(t, head+rest, nil); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestPeers: the operators' example is sound once its key is there; what it may get wrong is told.
func TestPeers(t *testing.T) {
	text, err := os.ReadFile("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		old, new string
		sound    bool
	}{{"", "", true}, {`"listen": "127.0.0.1:7400"`, `"listen": "here"`, false}, {"127.0.0.1:7401", "there:1", false},
		{"peers.key", "none", false}, {"guide-relay-1", "", false}, {`"peers.key"`, `"peers.key", "reach": {"n1": "x"}`, false}} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "peers.key"), []byte("a key of 32 characters at the least"), 0o600); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, "c.json")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(path, func(string) string { return "" })
		if (err == nil) != tt.sound || err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s in the place of %s: %v", tt.new, tt.old, err)
		}
		if tt.sound && (c.Peers.Address != c.Peers.Listen || len(c.Peers.Keys()) != 1) {
			t.Errorf("%+v", c.Peers)
		}
	}
}

// TestReload: a discovery address that the file has changed counts, also over the
// variable that named the one before; one that it has not changed does not bring
// an older one back. What only a restart takes is named, and nothing else.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}[name]
	}
	c, err := load(t, `{`+settingsText+`}`, map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"})
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
		fresh, err := c.Reload(path, env)
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(c.KeysNeedingRestart(fresh)); fresh.Discovery != step.discovery || got != step.restart {
			t.Errorf("%s: discovery %s, restart for %s", step.text, fresh.Discovery, got)
		}
		c = fresh
	}
	if err := os.WriteFile(path, []byte(`{"discovery":"nowhere",`+settingsText+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Reload(path, env); !errors.Is(err, ErrInvalid) {
		t.Errorf("an address that is none: %v", err)
	}
}

// TestSucceed: a second process goes on where the first one asks, if the file names
// that address, over a variable that names an older one; it never loses its own for a
// first process that knows of none. A second address must be one.
func TestSucceed(t *testing.T) {
	for _, c := range []struct {
		file, first, want string
		same              bool
	}{
		{"127.0.0.1:3", "127.0.0.1:3", "127.0.0.1:3", true},
		{"127.0.0.1:3", "127.0.0.1:2", "127.0.0.1:2", true},
		{"127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:2", false},
		{"", "", "127.0.0.1:2", false},
	} {
		cfg, err := load(t, `{"discovery":"`+c.file+`",`+settingsText+`}`,
			map[string]string{"EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_OPERATOR": "127.0.0.1:5"})
		if err != nil {
			t.Fatal(err)
		}
		if same := cfg.AdoptDiscovery(c.first); same != c.same || cfg.Discovery != c.want || cfg.Operator != "127.0.0.1:5" {
			t.Errorf("%+v: %s, same %v", c, cfg.Discovery, same)
		}
	}
	if _, err := load(t, `{`+settingsText+`}`, map[string]string{"EDGE_LISTEN": "127.0.0.1:1",
		"EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_OPERATOR": "here"}); !errors.Is(err, ErrInvalid) {
		t.Errorf("an operators' address that is none: %v", err)
	}
}

// TestSections: relays of one installation have the same digests whatever is each one's own; what is not each one's own shows in its section alone.
func TestSections(t *testing.T) {
	text := func(name, more string, zone int) string {
		return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"sockets":1024%s},"state":{"dir":%q},`+
			strings.Replace(settingsText, `"settings":{`, `"settings":{"zone":%d,`, 1)+`}`, name, more, name, zone)
	}
	var all []*Config
	for _, c := range []string{text("n1", "", 0), text("n2", "", 1), text("n1", `,"cores":2`, 0)} {
		x, err := load(t, c, nil)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, x)
	}
	a, b, c := all[0].Sections(), all[1].Sections(), all[2].Sections()
	if !maps.Equal(a, b) || all[0].Digest() != all[1].Digest() {
		t.Errorf("each relay's own shows: %v, %v", a, b)
	}
	if a["limits"] == c["limits"] || a["settings"] != c["settings"] || a["peers"] != "" {
		t.Errorf("%v, %v", a, c)
	}
}
