// Package settings decodes and validates the settings of a deployment, and translates them for
// package policy. The settings are a JSON text, which an instance gets in the simulator's first
// message and a real relay in its configuration.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"dahliarudder/policy"
)

// ErrMalformed is wrapped by every error about a text that does not decode as settings.
var ErrMalformed = errors.New("malformed settings")

// Settings is the decoded settings text. Keys that the program does not use are ignored. Times are in
// milliseconds.
type Settings struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name             string  `json:"name"`
		LatencyObjective float64 `json:"aim-ms"`
		Deadline         float64 `json:"deadline-ms"`
		DedupWindow      float64 `json:"window-ms"`
		Idempotency      string  `json:"effect"`
		PriorityWeight   float64 `json:"worth"`
		Scope            string  `json:"key-scope"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Groups                  bool      `json:"groups"`
		MessageLatencyObjective []float64 `json:"message-aim-ms"`
		Mode                    string    `json:"mode"`
		Quota                   []float64 `json:"tenant-quota-connections"`
	} `json:"extra"`
	Guarantees struct {
		AnswerSlack          float64 `json:"answer-slack-ms"`
		MaxPollInterval      float64 `json:"ask-within-ms"`
		SlowStartMinCapacity float64 `json:"cold-from"`
		SlowStartDuration    float64 `json:"cold-ms"`
		DrainGrace           float64 `json:"drain-grace-ms"`
		OverloadWindow       float64 `json:"fall-ms"`
		OverloadFactor       float64 `json:"overload-factor"`
	} `json:"guarantees"`
	HostTypes []string `json:"host-types"`
	Limits    struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		Keepalive      float64 `json:"keepalive-ms"`
		MaxAttempts    int     `json:"max-attempts"`
		MaxRetryAfter  float64 `json:"max-retry-after-ms"`
		RetryAfter     *bool   `json:"retry-after"` // whether rejections carry a retry-after; absent: true
		Probes         bool    `json:"probes"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"cross-zone"`
		Probe     float64 `json:"probe"`
	} `json:"prices"`
	Report struct {
		Names  []string `json:"names"`
		Source string   `json:"source"`
	} `json:"report"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Zone  int    `json:"zone"`
	Zones []Zone `json:"zones"`
}

// Zone is the name of a zone. A JSON value that is not a string gives an empty name, but still
// counts as a zone.
type Zone string

// UnmarshalJSON accepts any value, and stores it if it is a string.
func (z *Zone) UnmarshalJSON(text []byte) error {
	var name string
	if json.Unmarshal(text, &name) == nil {
		*z = Zone(name)
	}
	return nil
}

// Decode decodes the settings text. Invalid values are left to Validate and to package policy. Errors
// wrap ErrMalformed.
func Decode(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s, nil
}

// Policy returns the settings as package policy takes them.
func (s *Settings) Policy() policy.Settings {
	set := policy.Settings{
		Balancers: s.Balancers, Zone: s.Zone, Zones: len(s.Zones), Groups: s.Extra.Groups,
		PassThrough: s.Extra.Mode == "pass", Subscribe: s.Discovery == "subscribe",
		CanProbe: s.Limits.Probes, CanCancel: s.Limits.Cancel,
		MaxAttempts:    s.Limits.MaxAttempts,
		ConnectTimeout: Duration(s.Limits.ConnectTimeout), MaxRetryAfter: Duration(s.Limits.MaxRetryAfter),
		MaxPollInterval: Duration(s.Guarantees.MaxPollInterval), AnswerSlack: Duration(s.Guarantees.AnswerSlack),
		SlowStartMinCapacity: s.Guarantees.SlowStartMinCapacity, SlowStartDuration: Duration(s.Guarantees.SlowStartDuration),
		OverloadFactor: s.Guarantees.OverloadFactor, OverloadWindow: Duration(s.Guarantees.OverloadWindow),
		CrossZonePrice: s.Prices.CrossZone,
		ProbePrice:     s.Prices.Probe,
	}
	switch s.Report.Source {
	case "on_probe":
		set.Reports = policy.ReportsOnProbe
	case "inline":
		set.Reports = policy.ReportsInline
	}
	for i, c := range s.Classes {
		class := policy.Class{LatencyObjective: Duration(c.LatencyObjective), Deadline: Duration(c.Deadline), DedupWindow: Duration(c.DedupWindow), PriorityWeight: c.PriorityWeight}
		if i < len(s.Extra.MessageLatencyObjective) {
			class.MessageLatencyObjective = Duration(s.Extra.MessageLatencyObjective[i])
		}
		switch c.Idempotency {
		case "read_like":
		case "idempotency_key":
			class.Idempotency = policy.IdempotencyKey
		default: // an unknown value is treated as the strictest one
			class.Idempotency = policy.NonIdempotent
		}
		switch c.Scope {
		case "all":
		case "zone":
			class.Scope = policy.ScopeZone
		default:
			class.Scope = policy.ScopeCell
		}
		set.Classes = append(set.Classes, class)
	}
	for i, t := range s.Tenants {
		tenant := policy.Tenant{Share: t.Share}
		if i < len(s.Extra.Quota) {
			tenant.Quota = s.Extra.Quota[i]
		}
		set.Tenants = append(set.Tenants, tenant)
	}
	return set
}

// Class returns the index of the class of that name, and whether there is one.
func (s *Settings) Class(name string) (int, bool) {
	for i, c := range s.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}

// Tenant returns the index of the tenant of that name, and whether the name is valid. In a deployment
// without tenants, only the empty name is.
func (s *Settings) Tenant(name string) (int, bool) {
	for i, t := range s.Tenants {
		if t.Name == name {
			return i, true
		}
	}
	return 0, len(s.Tenants) == 0 && name == ""
}

// Report returns the load report that consists of the named values. Both the simulator's names and
// those of the settings are accepted. Values that are NaN or infinite are ignored.
func Report(values map[string]float64) policy.Report {
	report := policy.NoReport
	for _, f := range []struct {
		target *float64
		names  [2]string
	}{
		{&report.Connections, [2]string{"outstanding", "inflight"}},
		{&report.Load, [2]string{"x0", ""}},
		{&report.Backlog, [2]string{"x1", ""}},
		{&report.Util, [2]string{"utilization", "util"}},
	} {
		for _, name := range f.names {
			if v, ok := values[name]; name != "" && ok && !math.IsNaN(v) && !math.IsInf(v, 0) {
				*f.target = v
			}
		}
	}
	return report
}

// Duration converts milliseconds to a duration, 0 if they are out of range.
func Duration(ms float64) time.Duration {
	d, _ := ParseMillis(ms)
	return d
}

// ParseMillis converts milliseconds to a duration. It returns false if they are NaN or out of range.
func ParseMillis(ms float64) (time.Duration, bool) {
	const limit = 9e12 // about 285 years; a time.Duration covers 292
	if math.IsNaN(ms) || ms < -limit || ms > limit {
		return 0, false
	}
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond, true
}
