package policy

import (
	"testing"
	"time"
)

// TestMigrateFromUnavailable: the connections of a server that drains, is deleted or is no longer listed are migrated as soon as the list
// changes, once each; those of other servers stay.
func TestMigrateFromUnavailable(t *testing.T) {
	for _, tt := range []struct {
		name string
		kind ListKind
		list func(list []Endpoint) []Endpoint
	}{
		{"draining", ListDelta, func(list []Endpoint) []Endpoint { list[0].State = Draining; return list[:1] }},
		{"deleted", ListDelta, func(list []Endpoint) []Endpoint { list[0].State = Gone; return list[:1] }},
		{"not listed", ListFull, func(list []Endpoint) []Endpoint { return list[1:] }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(settings(), fleet(2, 1))
			for id := range RequestID(6) {
				h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, fleet(2, 1)[id%2].ID)
			}
			for range 2 {
				h.UpdateEndpoints(h.now, tt.kind, tt.list(fleet(2, 1)))
			}
			if len(h.migrations) != 3 || h.migrations[0]%2 != 0 || h.migrations[1]%2 != 0 || h.migrations[2]%2 != 0 {
				t.Errorf("migrated %v", h.migrations)
			}
		})
	}
}

// TestBacklog: a report with a long backlog migrates connections, one with a short backlog does not, and the next report at once migrates no
// more. Sites without message latencies have no other sign of a full server.
func TestBacklog(t *testing.T) {
	h := newHarness(settings(), fleet(4, 1))
	m := h.members[0]
	for id := range RequestID(40) {
		h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, m.ID)
	}
	report := Report{Connections: 40, Load: 2, Util: -1, Backlog: 0.05}
	if h.ProbeResult(h.now, m.ID, OK, report); len(h.migrations) != 0 {
		t.Fatalf("migrated %d with a short backlog", len(h.migrations))
	}
	report.Backlog = 0.5
	h.ProbeResult(h.now, m.ID, OK, report)
	migrated := len(h.migrations)
	if migrated == 0 || migrated == 40 {
		t.Fatalf("migrated %d of 40", migrated)
	}
	if h.ProbeResult(h.now, m.ID, OK, report); len(h.migrations) != migrated {
		t.Error("migrated more before the effect can show")
	}
}

// TestBacklogMigrates: a server with a backlog gets no new connections and loses some, however low its present load is, as every message
// waits there.
func TestBacklogMigrates(t *testing.T) {
	h := newHarness(settings(), fleet(2, 1))
	full, free := h.members[0], h.members[1]
	for id := range RequestID(30) {
		h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, full.ID)
	}
	h.ProbeResult(h.now, free.ID, OK, Report{Connections: 30, Load: 0.5, Util: -1, Backlog: 0})
	h.ProbeResult(h.now, full.ID, OK, Report{Connections: 30, Load: 0.3, Util: -1, Backlog: 1.5})
	if len(h.migrations) == 0 || len(h.migrations) == 30 {
		t.Errorf("migrated %d of 30", len(h.migrations))
	}
	for id := range RequestID(6) {
		h.Request(h.now, Request{ID: 200 + id, Deadline: h.now + 2*time.Second, Load: 0.01})
		for ; len(h.probes) > 0; h.probes = h.probes[1:] {
			report := Report{Connections: 30, Load: 0.5, Util: -1}
			if h.probes[0] == full.ID {
				report.Load, report.Backlog = 0.3, 1.5
			}
			h.ProbeResult(h.now, h.probes[0], OK, report)
		}
	}
	for _, s := range h.sends {
		if s.member == full.ID {
			t.Fatal("sent to a server with a backlog")
		}
	}
	if len(h.sends) == 0 {
		t.Error("nothing was sent")
	}
}

// TestMigrateExcess: connections are migrated from a server over its capacity, not from one that is filling up.
func TestMigrateExcess(t *testing.T) {
	for _, tt := range []struct {
		load     float64
		migrates bool
	}{{0.5, false}, {0.8, false}, {2, true}} {
		h := newHarness(settings(), fleet(4, 1))
		m := h.members[0]
		for id := range RequestID(40) {
			h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, m.ID)
		}
		h.applyReport(h.now, m, Report{Connections: 40, Load: tt.load, Util: -1})
		h.ObserveLatency(h.now, 100, 90*ms)
		if got := len(h.migrations) > 0; got != tt.migrates {
			t.Errorf("load %v: migrated %d", tt.load, len(h.migrations))
		}
		if len(h.migrations) > 36 {
			t.Errorf("load %v: migrated %d of 40, too many at once", tt.load, len(h.migrations))
		}
	}
}

// TestMigrationOrder: connections of a tenant over its quota are migrated from a full server before the others.
func TestMigrationOrder(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 0.5, Quota: 10}, {Share: 0.5, Quota: 100}}
	h := newHarness(set, fleet(4, 1))
	m := h.members[0]
	for id := range RequestID(80) {
		h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1, Tenant: int(id % 2)}, m.ID)
	}
	h.applyReport(h.now, m, Report{Connections: 80, Load: 1.1, Util: -1})
	h.migrateExcess(h.now, m)
	migrated := [2]int{}
	for _, id := range h.migrations {
		migrated[id%2]++
	}
	if migrated[0] <= migrated[1] {
		t.Errorf("migrated %d of the tenant over its quota, %d of the other", migrated[0], migrated[1])
	}
}

// TestOverloadMigration: a report of an overloaded server migrates the connections with the least priority weight for their load, about as
// much load as the excess, once for each report, and not for a momentary stall. The reports have a load but no backlog.
func TestOverloadMigration(t *testing.T) {
	for name, set := range siteSettings() {
		for _, tt := range []struct {
			name        string
			loads       []float64 // of the reports, one a second
			least, most float64   // part of the load that is migrated
		}{
			{"filling up", []float64{0.8, 0.9}, 0, 0},
			{"overloaded", []float64{1.2}, 0.25, 0.6},
			{"the same report again", []float64{1.2, 1.2}, 0.25, 0.6},
			{"a momentary stall", []float64{0.7, 9}, 0, 0.3},
			{"far overloaded", []float64{4, 4.1, 4.2}, 0.7, 1},
		} {
			t.Run(name+"/"+tt.name, func(t *testing.T) {
				h := newHarness(set, fleet(4, 1))
				m := h.members[0]
				for id := range RequestID(60) { // the second class is five times as heavy
					h.AddExisting(h.now, Request{ID: 100 + id, Class: int(id % 2), Load: 0.1 + 0.4*float64(id%2)}, m.ID)
				}
				for _, load := range tt.loads {
					h.now += time.Second
					h.ProbeResult(h.now, m.ID, OK, Report{Connections: 60, Load: load, Util: -1, Backlog: -1})
				}
				migrated, highValue := 0.0, 0
				for _, id := range h.migrations {
					migrated += (0.1 + 0.4*float64(id%2)) / 18
					highValue += 1 - int(id%2)
				}
				if migrated < tt.least || migrated > tt.most {
					t.Errorf("%.2f of the load migrated, want %v to %v", migrated, tt.least, tt.most)
				}
				if highValue > 0 && migrated < 0.8 {
					t.Errorf("%d of high value migrated with %.2f of the load", highValue, migrated)
				}
			})
		}
	}
}
