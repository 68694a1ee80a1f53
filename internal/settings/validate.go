package settings

import (
	"fmt"
	"slices"
)

// InvalidSetting is a setting with which the relay would start, yet could not do its work.
type InvalidSetting struct {
	Key    string
	Value  any
	Reason string
}

// Error names the setting, its value and the reason.
func (p InvalidSetting) Error() string {
	return fmt.Sprintf("settings.%s: %v: %s", p.Key, p.Value, p.Reason)
}

// Validate names every setting that cannot work, in the order of the page of sites. A relay starts all the same, with
// safe values in their place: an instance that does not start serves nobody. It is for whoever writes a site's settings.
func (s *Settings) Validate() []error {
	var found []error
	refuse := func(bad bool, key string, value any, reason string) {
		if bad {
			found = append(found, InvalidSetting{key, value, reason})
		}
	}
	span := func(ms float64, key string) {
		refuse(!(ms > 0 && ms <= 86_400_000), key, ms, "not over 0 and at most a day, in milliseconds")
	}
	part := func(v float64, key string) { refuse(!(v >= 0 && v <= 1), key, v, "not from 0 to 1") }
	names := map[string]bool{}
	name := func(kind, key, n string) {
		refuse(n == "" || names[kind+n], key, fmt.Sprintf("%q", n), "no name, or one that stands twice")
		names[kind+n] = true
	}
	refuse(s.Balancers < 1, "balancers", s.Balancers, "under 1: it is how many relays share the members")
	for i, c := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("classes[%d].%s", i, name) }
		name("class ", key("name"), c.Name)
		span(c.LatencyObjective, key("aim-ms"))
		span(c.Deadline, key("deadline-ms"))
		refuse(c.LatencyObjective > c.Deadline, key("aim-ms"), c.LatencyObjective, "over deadline-ms: wanted later than the client waits")
		refuse(!(c.PriorityWeight > 0), key("worth"), c.PriorityWeight, "not over 0: who goes first in a shortage depends on it")
		refuse(!slices.Contains([]string{"read_like", "idempotency_key", "non_idempotent"}, c.Idempotency), key("effect"),
			fmt.Sprintf("%q", c.Idempotency), "not read_like, idempotency_key or non_idempotent")
		if c.Idempotency == "idempotency_key" {
			span(c.DedupWindow, key("window-ms"))
			refuse(!slices.Contains([]string{"all", "zone", "cell"}, c.Scope), key("key-scope"),
				fmt.Sprintf("%q", c.Scope), "not all, zone or cell")
		}
	}
	aims := s.Extra.MessageLatencyObjective
	refuse(len(aims) != len(s.Classes), "extra.message-aim-ms", aims, "not one for each class")
	for i, aim := range aims {
		span(aim, fmt.Sprintf("extra.message-aim-ms[%d]", i))
	}
	refuse(!slices.Contains([]string{"proxy", "pass"}, s.Extra.Mode), "extra.mode", fmt.Sprintf("%q", s.Extra.Mode),
		"not proxy or pass")
	quota := s.Extra.Quota
	refuse(len(quota) > 0 && len(quota) != len(s.Tenants), "extra.tenant-quota-connections", quota,
		"not one for each tenant")
	refuse(!slices.Contains([]string{"subscribe", "automatic"}, s.Discovery), "discovery",
		fmt.Sprintf("%q", s.Discovery), "not subscribe or automatic")
	g := s.Guarantees
	refuse(!(g.SlowStartMinCapacity > 0 && g.SlowStartMinCapacity <= 1), "guarantees.cold-from", g.SlowStartMinCapacity, "not over 0 and at most 1")
	span(g.SlowStartDuration, "guarantees.cold-ms")
	span(g.OverloadWindow, "guarantees.fall-ms")
	refuse(!(g.OverloadFactor >= 1), "guarantees.overload-factor", g.OverloadFactor, "under 1: a member would fall below its capacity")
	span(g.MaxPollInterval, "guarantees.ask-within-ms")
	span(g.DrainGrace, "guarantees.drain-grace-ms")
	l := s.Limits
	refuse(l.MaxAttempts < 1, "limits.max-attempts", l.MaxAttempts, "under 1: nothing could be sent")
	span(l.ConnectTimeout, "limits.connect-timeout-ms")
	span(l.Keepalive, "limits.keepalive-ms")
	part(s.Prices.CrossZone, "prices.cross-zone")
	part(s.Prices.Probe, "prices.probe")
	r := s.Report
	refuse(!slices.Contains([]string{"inline", "on_probe", "off"}, r.Source), "report.source",
		fmt.Sprintf("%q", r.Source), "not inline, on_probe or off")
	refuse(r.Source == "on_probe" && !l.Probes, "report.source", fmt.Sprintf("%q", r.Source),
		"reports come with probes alone, and limits.probes forbids them")
	told := func(name string) bool { return slices.Contains(r.Names, name) }
	refuse(r.Source != "off" && !told("x0") && !told("utilization") && !told("util"), "report.names", r.Names,
		"neither x0 nor utilization: nothing tells how full a member is")
	refuse(r.Source != "off" && !told("outstanding") && !told("inflight"), "report.names", r.Names,
		"no outstanding: nothing tells how many connections fill a member")
	for i, t := range s.Tenants {
		name("tenant ", fmt.Sprintf("tenants[%d].name", i), t.Name)
		refuse(!(t.Share > 0), fmt.Sprintf("tenants[%d].share", i), t.Share, "not over 0")
	}
	refuse(s.Zone < 0 || s.Zone >= max(len(s.Zones), 1), "zone", s.Zone, "not the place of one of zones, from 0")
	return found
}
