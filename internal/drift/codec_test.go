package drift

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestReportFits checks that, whatever is recorded, no report exceeds MaxReportBytes, all accepted
// items and counts are reported in turn, and a decoded report equals the encoded one.
func TestReportFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reporter := NewReporter(strings.Repeat("r", rapid.IntRange(1, MaxRelayNameBytes).Draw(t, "name")), 1<<63)
		minNameBytes := rapid.IntRange(1, MaxNameBytes).Draw(t, "minimum bytes of a name")
		n := rapid.IntRange(0, MaxItems+2).Draw(t, "items")
		accepted := map[string]bool{}
		for i := range n {
			name := fmt.Sprintf("g%d.%d", i%rapid.IntRange(1, MaxGroups).Draw(t, "groups"), i)
			name += strings.Repeat("x", max(0, minNameBytes-len(name)))
			item := Item{name, rapid.Uint64().Draw(t, "version"), 1 << 63}
			if i%3 == 0 {
				accepted[name] = reporter.RecordRejected(-1<<62, item, strings.Repeat("ä\n", 30), strings.Repeat("why\x00", 50))
			} else {
				accepted[name] = reporter.RecordApplied(-1<<62, item, "record")
			}
			reporter.CountActivity(name, KindRemovedMember, 1<<63, 1<<62)
		}
		reported := map[string]bool{}
		reportedCounts := map[string]bool{}
		for k := range 2*n + 8 {
			if k > n { // the leader requests all items from here on
				var want []string
				for i := range MaxGroups {
					want = append(want, fmt.Sprint("g", i))
				}
				reporter.HandleReply(Reply{Relay: reporter.relay, Incarnation: reporter.incarnation, WantDetails: want})
			}
			report := reporter.NextReport(1 << 62)
			encoded := report.Encode()
			if len(encoded) > MaxReportBytes {
				t.Fatalf("len(Encode()) = %d bytes, want at most %d", len(encoded), MaxReportBytes)
			}
			decoded, err := DecodeReport(encoded)
			if err != nil || !reflect.DeepEqual(report, decoded) {
				t.Fatalf("DecodeReport(Encode()): error %v\ngot  %+v\nwant %+v", err, decoded, report)
			}
			for _, a := range report.Items {
				reported[a.Name] = true
			}
			for _, d := range report.Activities {
				reportedCounts[d.Item] = true
			}
		}
		for name, ok := range accepted {
			if ok != reported[name] {
				t.Fatalf("item %s: accepted by the reporter: %v, reported: %v", name, ok, reported[name])
			}
		}
		if len(reportedCounts) != min(n, MaxActivities) {
			t.Fatalf("%d activity counts reported, want %d", len(reportedCounts), min(n, MaxActivities))
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	reporter := NewReporter("n1", 7)
	reporter.RecordApplied(1, Item{ItemEjections, 3, 4}, "record")
	reporter.RecordRejected(1, Item{"config.tls", 3, 4}, "file", "no such key")
	reporter.CountActivity(ItemEjections, KindRemovedMember, 3, 1)
	f.Add(reporter.NextReport(9).Encode())
	f.Add([]byte{10, 1, 'a', 42, 2, 10, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		report, err := DecodeReport(in)
		if err != nil {
			return
		}
		if again, err := DecodeReport(report.Encode()); err == nil && !reflect.DeepEqual(report, again) {
			t.Fatalf("report changed when encoded and decoded again:\nbefore %+v\nafter  %+v", report, again)
		}
		monitor := NewMonitor(Settings{})
		monitor.SetIntent(1, report.Relay, []Item{{ItemEjections, 3, 4}, {"config.tls", 2, 2}})
		monitor.HandleReport(2, report)
		report.Seq++
		monitor.HandleReport(3, report)
		monitor.Tick(4)
		monitor.Findings()
		if r, ok := monitor.Reply(report.Relay); ok && len(r.Encode()) > MaxReplyBytes {
			t.Fatalf("len(Reply.Encode()) = %d bytes, want at most %d", len(r.Encode()), MaxReplyBytes)
		}
	})
}

func FuzzDecodeReply(f *testing.F) {
	f.Add(Reply{"n1", 1, 2, []string{ItemEjections}, []string{ItemEjections, ItemDrains}}.Encode())
	f.Fuzz(func(t *testing.T, in []byte) {
		r, err := DecodeReply(in)
		if err != nil {
			return
		}
		if again, err := DecodeReply(r.Encode()); err != nil || !bytes.Equal(again.Encode(), r.Encode()) {
			t.Fatalf("reply changed when encoded and decoded again:\nbefore %+v\nafter  %+v, error %v", r, again, err)
		}
	})
}

// TestDigestGroups checks that a group has one digest even if the name of another group sorts between
// its items, and that the leader computes the same digest from the agreed items.
func TestDigestGroups(t *testing.T) {
	reporter, monitor := NewReporter("n1", 1), NewMonitor(Settings{})
	items := []Item{{"config", 1, 2}, {"config-x", 3, 4}, {"config.a", 5, 6}}
	for _, item := range items {
		reporter.RecordApplied(1, item, "")
	}
	if g := reporter.NextReport(1).Groups; len(g) != 2 {
		t.Fatalf("report has groups %v, want 2 groups", g)
	}
	slices.Reverse(items)
	monitor.SetIntent(1, "n1", items)
	monitor.HandleReport(2, reporter.NextReport(2))
	if findings := monitor.Findings(); len(findings) != 0 {
		t.Fatalf("Findings() = %+v, want none for a relay in sync", findings)
	}
}

// TestLongestItem checks that every report has room for an item and an activity, even if all names,
// reasons and numbers are as long as they can be.
func TestLongestItem(t *testing.T) {
	reporter := NewReporter(strings.Repeat("r", MaxRelayNameBytes), 1<<63)
	var want []string
	for i := range MaxItems {
		name := fmt.Sprintf("%0*d.%0*d", MaxGroupNameBytes, i%MaxGroups, MaxNameBytes-MaxGroupNameBytes-1, i)
		want = append(want, GroupOf(name))
		reporter.RecordApplied(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", MaxSourceBytes))
		reporter.RecordRejected(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", MaxSourceBytes), strings.Repeat("w", MaxReasonBytes))
		reporter.CountActivity(name, strings.Repeat("k", MaxNameBytes), 1<<63, 1<<63)
		j, _ := reporter.findItem(name)
		reporter.items[j].Progress, reporter.items[j].LocalOverride = 1<<63, true
	}
	reporter.seq = 1 << 63
	for range 2 * MaxItems {
		reporter.HandleReply(Reply{Relay: reporter.relay, Incarnation: reporter.incarnation, WantDetails: want[:MaxGroups]})
		report := reporter.NextReport(1 << 62)
		if n := len(report.Encode()); n > MaxReportBytes || len(report.Items) == 0 || len(report.Activities) == 0 {
			t.Fatalf("report has %d bytes, %d items and %d activities, want at most %d bytes and at least 1 of each", n, len(report.Items),
				len(report.Activities), MaxReportBytes)
		}
	}
}
