package settings

import (
	"fmt"
	"slices"
)

// InvalidSetting is a setting with which a relay starts but cannot work properly.
type InvalidSetting struct {
	Key    string
	Value  any
	Reason string
}

// Error returns the key of the setting, its value, and the reason.
func (s InvalidSetting) Error() string {
	return fmt.Sprintf("settings.%s: %v: %s", s.Key, s.Value, s.Reason)
}

// maxDurationMS is the longest duration that a setting may have: one day, in milliseconds.
const maxDurationMS = 86_400_000

// Validate returns an error for each setting that cannot work, in the order of docs/sites.md. It is
// meant for those who write settings. A relay starts in spite of such settings, with safe values in
// their place, since a relay that does not start serves nobody.
func (s *Settings) Validate() []error {
	v := &validator{names: map[string]bool{}}
	v.reject(s.Balancers < 1, "balancers", s.Balancers, "must be at least 1, the number of relays that share the members")
	v.classes(s)
	v.extra(s)
	v.oneOf("discovery", s.Discovery, "subscribe", "automatic")
	v.guarantees(s)
	v.limits(s)
	v.fraction("prices.cross-zone", s.Prices.CrossZone)
	v.fraction("prices.probe", s.Prices.Probe)
	v.report(s)
	v.tenants(s)
	v.reject(s.Zone < 0 || s.Zone >= max(len(s.Zones), 1), "zone", s.Zone, "must be an index of zones, from 0")
	return v.problems
}

// validator collects the settings that cannot work.
type validator struct {
	problems []error
	names    map[string]bool
}

func (v *validator) reject(invalid bool, key string, value any, reason string) {
	if invalid {
		v.problems = append(v.problems, InvalidSetting{key, value, reason})
	}
}

func (v *validator) duration(key string, ms float64) {
	v.reject(!(ms > 0 && ms <= maxDurationMS), key, ms, "must be over 0 and at most 86400000 ms (one day)")
}

func (v *validator) fraction(key string, value float64) {
	v.reject(!(value >= 0 && value <= 1), key, value, "must be from 0 to 1")
}

// oneOf rejects a value that is not one of those allowed.
func (v *validator) oneOf(key, value string, allowed ...string) {
	last := len(allowed) - 1
	list := ""
	for i, a := range allowed[:last] {
		if i > 0 {
			list += ", "
		}
		list += a
	}
	v.reject(!slices.Contains(allowed, value), key, fmt.Sprintf("%q", value), "must be "+list+" or "+allowed[last])
}

// uniqueName rejects an empty name, and a name that an earlier entry of the same kind has.
func (v *validator) uniqueName(kind, key, name string) {
	v.reject(name == "" || v.names[kind+name], key, fmt.Sprintf("%q", name), "name is missing or duplicate")
	v.names[kind+name] = true
}

func (v *validator) classes(s *Settings) {
	for i, c := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("classes[%d].%s", i, name) }
		v.uniqueName("class ", key("name"), c.Name)
		v.duration(key("aim-ms"), c.LatencyObjective)
		v.duration(key("deadline-ms"), c.Deadline)
		v.reject(c.LatencyObjective > c.Deadline, key("aim-ms"), c.LatencyObjective,
			"must be at most deadline-ms: the client does not wait longer")
		v.reject(!(c.PriorityWeight > 0), key("worth"), c.PriorityWeight,
			"must be over 0: it determines the priority in a shortage")
		v.oneOf(key("effect"), c.Idempotency, "read_like", "idempotency_key", "non_idempotent")
		if c.Idempotency == "idempotency_key" {
			v.duration(key("window-ms"), c.DedupWindow)
			v.oneOf(key("key-scope"), c.Scope, "all", "zone", "cell")
		}
	}
}

func (v *validator) extra(s *Settings) {
	objectives := s.Extra.MessageLatencyObjective
	v.reject(len(objectives) != len(s.Classes), "extra.message-aim-ms", objectives, "must have one value per class")
	for i, ms := range objectives {
		v.duration(fmt.Sprintf("extra.message-aim-ms[%d]", i), ms)
	}
	v.oneOf("extra.mode", s.Extra.Mode, "proxy", "pass")
	quota := s.Extra.Quota
	v.reject(len(quota) > 0 && len(quota) != len(s.Tenants), "extra.tenant-quota-connections", quota,
		"must have one value per tenant")
}

func (v *validator) guarantees(s *Settings) {
	g := s.Guarantees
	v.reject(!(g.SlowStartMinCapacity > 0 && g.SlowStartMinCapacity <= 1), "guarantees.cold-from",
		g.SlowStartMinCapacity, "must be over 0 and at most 1")
	v.duration("guarantees.cold-ms", g.SlowStartDuration)
	v.duration("guarantees.fall-ms", g.OverloadWindow)
	v.reject(!(g.OverloadFactor >= 1), "guarantees.overload-factor", g.OverloadFactor,
		"must be at least 1: otherwise a member counts as overloaded below its capacity")
	v.duration("guarantees.ask-within-ms", g.MaxPollInterval)
	v.duration("guarantees.drain-grace-ms", g.DrainGrace)
}

func (v *validator) limits(s *Settings) {
	l := s.Limits
	v.reject(l.MaxAttempts < 1, "limits.max-attempts", l.MaxAttempts, "must be at least 1: otherwise nothing can be sent")
	v.duration("limits.connect-timeout-ms", l.ConnectTimeout)
	v.duration("limits.keepalive-ms", l.Keepalive)
}

func (v *validator) report(s *Settings) {
	r := s.Report
	v.oneOf("report.source", r.Source, "inline", "on_probe", "off")
	v.reject(r.Source == "on_probe" && !s.Limits.Probes, "report.source", fmt.Sprintf("%q", r.Source),
		"needs limits.probes: with this source, only probes return reports")
	reported := func(name string) bool { return slices.Contains(r.Names, name) }
	v.reject(r.Source != "off" && !reported("x0") && !reported("utilization") && !reported("util"), "report.names",
		r.Names, "must include x0 or utilization: otherwise nothing shows how full a member is")
	v.reject(r.Source != "off" && !reported("outstanding") && !reported("inflight"), "report.names", r.Names,
		"must include outstanding: otherwise nothing shows how many connections make a member full")
}

func (v *validator) tenants(s *Settings) {
	for i, t := range s.Tenants {
		v.uniqueName("tenant ", fmt.Sprintf("tenants[%d].name", i), t.Name)
		v.reject(!(t.Share > 0), fmt.Sprintf("tenants[%d].share", i), t.Share, "must be over 0")
	}
}
