package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"dahliarudder/policy"
)

// facts is the settings text, as far as the module needs it; other keys are ignored.
type facts struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Aim      float64 `json:"aim-ms"`
		Deadline float64 `json:"deadline-ms"`
		Window   float64 `json:"window-ms"`
		Effect   string  `json:"effect"`
		Scope    string  `json:"key-scope"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Groups     bool      `json:"groups"`
		MessageAim []float64 `json:"message-aim-ms"`
		Mode       string    `json:"mode"`
		Quota      []float64 `json:"tenant-quota-connections"`
	} `json:"extra"`
	Guarantees struct {
		Slack     float64 `json:"answer-slack-ms"`
		AskWithin float64 `json:"ask-within-ms"`
		ColdFrom  float64 `json:"cold-from"`
		Cold      float64 `json:"cold-ms"`
		Overload  float64 `json:"overload-factor"`
	} `json:"guarantees"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		MaxAttempts    int     `json:"max-attempts"`
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
		Share float64 `json:"share"`
	} `json:"tenants"`
	Zone  int               `json:"zone"`
	Zones []json.RawMessage `json:"zones"`
}

// decodeSettings turns the settings text into settings and the names of the
// report values. Senseless values are left to the module.
func decodeSettings(text []byte) (policy.Settings, []string, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return policy.Settings{}, nil, fmt.Errorf("%w: settings: %v", ErrMalformed, err)
	}
	span := func(ms float64) time.Duration {
		d, _ := millis(ms)
		return d
	}
	set := policy.Settings{
		Balancers: f.Balancers, Zone: f.Zone, Zones: len(f.Zones), Groups: f.Extra.Groups,
		Pass: f.Extra.Mode == "pass", Subscribe: f.Discovery == "subscribe",
		CanProbe: f.Limits.Probes, CanCancel: f.Limits.Cancel,
		MaxAttempts:    f.Limits.MaxAttempts,
		ConnectTimeout: span(f.Limits.ConnectTimeout),
		AskWithin:      span(f.Guarantees.AskWithin), AnswerSlack: span(f.Guarantees.Slack),
		ColdFrom: f.Guarantees.ColdFrom, ColdFor: span(f.Guarantees.Cold),
		FallMultiple: f.Guarantees.Overload,
		PriceCross:   f.Prices.CrossZone,
		PriceProbe:   f.Prices.Probe,
	}
	switch f.Report.Source {
	case "on_probe":
		set.Reports = policy.ReportsOnProbe
	case "inline":
		set.Reports = policy.ReportsInline
	}
	for i, c := range f.Classes {
		class := policy.Class{Aim: span(c.Aim), Deadline: span(c.Deadline), Window: span(c.Window)}
		if i < len(f.Extra.MessageAim) {
			class.MessageAim = span(f.Extra.MessageAim[i])
		}
		switch c.Effect {
		case "read_like":
		case "idempotency_key":
			class.Effect = policy.Keyed
		default: // unknown effects are handled as the most delicate one
			class.Effect = policy.Unsafe
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
	for i, t := range f.Tenants {
		tenant := policy.Tenant{Share: t.Share}
		if i < len(f.Extra.Quota) {
			tenant.Quota = f.Extra.Quota[i]
		}
		set.Tenants = append(set.Tenants, tenant)
	}
	return set, f.Report.Names, nil
}
