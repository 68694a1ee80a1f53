package nats

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dahliarudder/internal/settings"
)

// TestConfigErrors checks that the error for an invalid value begins with the key of the value.
func TestConfigErrors(t *testing.T) {
	set, err := settings.Decode([]byte(`{"classes":[{"name":"pay"}],"tenants":[{"name":"water"}],"limits":{"probes":false}}`))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	junk := filepath.Join(dir, "junk.pem")
	if err := os.WriteFile(junk, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	const hash = `$2a$04$aBcDeFgHiJkLmNoPqRsTuu5Zv5v5v5v5v5v5v5v5v5v5v5v5v5v5v`
	for text, key := range map[string]string{
		`"max_payload":-1`:                                  "max_payload: ",
		`"window_messages":100000`:                          "window_messages: ",
		`"ping_interval_ms":1`:                              "ping_interval_ms: ",
		`"load_subject":"a.*"`:                              "load_subject: ",
		`"load_subject":"load"`:                             "load_subject: settings.limits.probes",
		`"connect_urls":["127.0.0.1:1","here"]`:             "connect_urls[1]: ",
		`"class":"other"`:                                   "class: ",
		`"routes":[{"subject":"a..b"}]`:                     "routes[0].subject: ",
		`"routes":[{"subject":"a","tenant":"x"}]`:           "routes[0].tenant: ",
		`"tls":{"cert":"none.pem","key":"none.key"}`:        "tls.",
		`"tls":{"cert":"junk.pem","key":"junk.pem"}`:        "tls.cert: ",
		`"tls":{"min_version":"1.1"}`:                       "tls.min_version: ",
		`"member_tls":{"ca":"junk.pem"}`:                    "member_tls.ca: ",
		`"auth":{}`:                                         "auth.users: ",
		`"auth":{"users":[{}]}`:                             "auth.users[0]: ",
		`"auth":{"users":[{"user":"a","password":"word"}]}`: "auth.users[0].password: ",
		`"auth":{"users":[{"user":"a","password":"` + hash + `","permissions":{"publish":{"deny":["a..b"]}}}]}`: "auth.users[0].permissions.publish.deny[0]: ",
		`"auth":{"users":[{"nkey":"UABC"}]}`:                               "auth.users[0].nkey: ",
		`"auth":{"jwt":{"operators":["x"]}}`:                               "auth.jwt.operators[0]: ",
		`"auth":{"jwt":{"accounts":["x"]}}`:                                "auth.jwt.accounts[0]: ",
		`"auth":{"jwt":{}}`:                                                "auth.jwt.accounts: ",
		`"member_login":{}`:                                                "member_login.user: ",
		`"member_login":{"nkey_seed_file":"junk.pem"}`:                     "member_login.nkey_seed_file: ",
		`"member_login":{"credentials_file":"none"}`:                       "member_login.credentials_file: ",
		`"max_control_line":4096,"tls":null,"connect_urls":["[::1]:4222"]`: "",
	} {
		c := &Config{}
		if err := json.Unmarshal([]byte("{"+text+"}"), c); err != nil {
			t.Fatalf("json.Unmarshal({%s}) = %v", text, err)
		}
		c.Dir = dir
		err := c.Validate(set)
		if err == nil {
			_, err = c.LoadSecurity()
		}
		switch {
		case key == "" && err != nil:
			t.Errorf("%s: Validate or LoadSecurity = %v, want no error", text, err)
		case key != "" && (err == nil || !strings.HasPrefix(err.Error(), key)):
			t.Errorf("%s: Validate or LoadSecurity = %v, want an error that begins with %q", text, err, key)
		}
	}
}
