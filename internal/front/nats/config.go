package nats

import (
	"fmt"
	"net/netip"
	"time"

	"dahliarudder/internal/auth"
	"dahliarudder/internal/settings"
)

// Config is the front's section of the configuration file. An integer of zero stands for the default.
type Config struct {
	Listen           string `json:"listen"`
	MaxPayload       int    `json:"max_payload"`       // in bytes; default 1 MiB
	MaxControlLine   int    `json:"max_control_line"`  // in bytes; default 4 KiB
	MaxSubscriptions int    `json:"max_subscriptions"` // per client; default 4096
	MaxConnections   int    `json:"max_connections"`   // of all clients; default: limited by descriptors only
	PingIntervalMS   int    `json:"ping_interval_ms"`  // default 30,000
	MaxPingsOut      int    `json:"ping_max"`          // unanswered PINGs after which a client is closed; default 2
	SlowAfterMS      int    `json:"slow_after_ms"`     // how long a client may leave 64 KiB unread; default 2,000
	WindowMessages   int    `json:"window_messages"`   // per feed; default 512
	WindowBytes      int    `json:"window_bytes"`      // per feed; default 1 MiB
	// LoadSubject is the subject on which members answer requests for their load report; empty if
	// they do not.
	LoadSubject string   `json:"load_subject"`
	MemberFlows int      `json:"member_flows"` // capacity of a member without load reports, in flows; default 10,000
	ConnectURLs []string `json:"connect_urls"` // addresses of other relays, advertised to clients
	Class       string   `json:"class"`        // class of subjects that match no route
	Tenant      string   `json:"tenant"`       // tenant of subjects that match no route
	Routes      []Route  `json:"routes"`

	TLS         *ServerTLS   `json:"tls"`          // nil: plain TCP to clients
	MemberTLS   *MemberTLS   `json:"member_tls"`   // nil: plain TCP to members
	Auth        *auth.Config `json:"auth"`         // nil: no authentication
	MemberLogin *MemberLogin `json:"member_login"` // nil: the client's own credentials are forwarded

	Dir            string `json:"-"` // directory of the configuration file, for relative paths
	noHealthChecks bool   // limits.probes is false in the settings: load is only estimated
}

// Route sets the class and tenant of the subjects that match its pattern. The first matching route
// applies.
type Route struct {
	Subject string `json:"subject"`
	Class   string `json:"class"`
	Tenant  string `json:"tenant"`
}

// intSetting is an integer setting with its default and its range.
type intSetting struct {
	key          string
	value        *int
	defaultValue int
	min, max     int
}

func (c *Config) intSettings() []intSetting {
	return []intSetting{
		{"max_payload", &c.MaxPayload, 1 << 20, 1, 8 << 20},
		{"max_control_line", &c.MaxControlLine, maxControlLine, 256, maxInfo},
		{"max_subscriptions", &c.MaxSubscriptions, 4096, 1, 1 << 20},
		{"max_connections", &c.MaxConnections, 0, 0, 1 << 20},
		{"ping_interval_ms", &c.PingIntervalMS, 30_000, 100, 3_600_000},
		{"ping_max", &c.MaxPingsOut, 2, 1, 100},
		{"slow_after_ms", &c.SlowAfterMS, 2000, 100, 60_000},
		{"window_messages", &c.WindowMessages, 512, 1, 1 << 16},
		{"window_bytes", &c.WindowBytes, 1 << 20, 1, 64 << 20},
		{"member_flows", &c.MemberFlows, 10_000, 1, 1 << 24},
	}
}

func (c *Config) setDefaults() {
	for _, s := range c.intSettings() {
		if *s.value == 0 {
			*s.value = s.defaultValue
		}
	}
}

func (c *Config) slowTimeout() time.Duration { return time.Duration(c.SlowAfterMS) * time.Millisecond }
func (c *Config) pingInterval() time.Duration {
	return time.Duration(c.PingIntervalMS) * time.Millisecond
}

// Validate checks the configuration. The error begins with the key of the invalid value.
func (c *Config) Validate(set *settings.Settings) error {
	for _, s := range c.intSettings() {
		if n := *s.value; n != 0 && (n < s.min || n > s.max) {
			return fmt.Errorf("%s: %d is not between %d and %d", s.key, n, s.min, s.max)
		}
	}
	if c.LoadSubject != "" && !validSubject(c.LoadSubject, false) {
		return fmt.Errorf("load_subject: %q is not a valid subject without wildcards", c.LoadSubject)
	}
	if c.LoadSubject != "" && !set.Limits.Probes {
		return fmt.Errorf("load_subject: settings.limits.probes is false, so no load reports would be requested")
	}
	for i, u := range c.ConnectURLs {
		if _, err := netip.ParseAddrPort(u); err != nil {
			return fmt.Errorf("connect_urls[%d]: %w", i, err)
		}
	}
	for i, r := range append([]Route{{">", c.Class, c.Tenant}}, c.Routes...) {
		prefix := ""
		if i > 0 {
			prefix = fmt.Sprintf("routes[%d].", i-1)
		}
		if !validSubject(r.Subject, true) {
			return fmt.Errorf("%ssubject: %q is not a valid subject", prefix, r.Subject)
		}
		if _, ok := set.Class(r.Class); r.Class != "" && !ok {
			return fmt.Errorf("%sclass: unknown class %q", prefix, r.Class)
		}
		if _, ok := set.Tenant(r.Tenant); r.Tenant != "" && !ok {
			return fmt.Errorf("%stenant: unknown tenant %q", prefix, r.Tenant)
		}
	}
	return nil
}

// AdaptSettings changes the settings for a relay whose members are all NATS servers: each member then
// has a load report, either its own or an estimate.
func (c *Config) AdaptSettings(set *settings.Settings) {
	c.noHealthChecks = !set.Limits.Probes
	set.Limits.Probes, set.Report.Source = true, "on_probe"
}
