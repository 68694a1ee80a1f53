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

// TestReportFits: whatever a relay notes, a report is within its bound, all items get their turn, and it is read as it was written.
func TestReportFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewReporter(strings.Repeat("r", rapid.IntRange(1, MaxRelayNameBytes).Draw(t, "name")), 1<<63)
		long := rapid.IntRange(1, MaxNameBytes).Draw(t, "long")
		n := rapid.IntRange(0, MaxItems+2).Draw(t, "items")
		noted := map[string]bool{}
		for i := range n {
			name := fmt.Sprintf("g%d.%d", i%rapid.IntRange(1, MaxGroups).Draw(t, "groups"), i)
			name += strings.Repeat("x", max(0, long-len(name)))
			it := Item{name, rapid.Uint64().Draw(t, "version"), 1 << 63}
			if i%3 == 0 {
				noted[name] = b.RecordRejected(-1<<62, it, strings.Repeat("ä\n", 30), strings.Repeat("why\x00", 50))
			} else {
				noted[name] = b.RecordApplied(-1<<62, it, "record")
			}
			b.CountActivity(name, KindRemovedMember, 1<<63, 1<<62)
		}
		reported := map[string]bool{}
		done := map[string]bool{}
		for k := range 2*n + 8 {
			if k > n { // and now by request
				var want []string
				for i := range MaxGroups {
					want = append(want, fmt.Sprint("g", i))
				}
				b.HandleReply(Reply{Relay: b.relay, Incarnation: b.incarnation, WantDetails: want})
			}
			w := b.NextReport(1 << 62)
			e := w.Encode()
			if len(e) > MaxReportBytes {
				t.Fatalf("%d bytes", len(e))
			}
			r, err := DecodeReport(e)
			if err != nil || !reflect.DeepEqual(w, r) {
				t.Fatalf("%v\n%+v\n%+v", err, w, r)
			}
			for _, a := range w.Items {
				reported[a.Name] = true
			}
			for _, d := range w.Activities {
				done[d.Item] = true
			}
		}
		for name, ok := range noted {
			if ok != reported[name] {
				t.Fatalf("%s: noted %v, reported %v", name, ok, reported[name])
			}
		}
		if len(done) != min(n, MaxActivities) {
			t.Fatalf("%d of %d counts reported", len(done), min(n, MaxActivities))
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	b := NewReporter("n1", 7)
	b.RecordApplied(1, Item{ItemEjections, 3, 4}, "record")
	b.RecordRejected(1, Item{"config.tls", 3, 4}, "file", "no such key")
	b.CountActivity(ItemEjections, KindRemovedMember, 3, 1)
	f.Add(b.NextReport(9).Encode())
	f.Add([]byte{10, 1, 'a', 42, 2, 10, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		w, err := DecodeReport(in)
		if err != nil {
			return
		}
		if again, err := DecodeReport(w.Encode()); err == nil && !reflect.DeepEqual(w, again) {
			t.Fatalf("%+v\n%+v", w, again)
		}
		monitor := NewMonitor(Settings{})
		monitor.SetIntent(1, w.Relay, []Item{{ItemEjections, 3, 4}, {"config.tls", 2, 2}})
		monitor.HandleReport(2, w)
		w.Seq++
		monitor.HandleReport(3, w)
		monitor.Tick(4)
		monitor.Findings()
		if r, ok := monitor.Reply(w.Relay); ok && len(r.Encode()) > MaxReplyBytes {
			t.Fatal("a long reply")
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
			t.Fatalf("%+v\n%+v %v", r, again, err)
		}
	})
}

// TestDigestGroups: a group's items stand together though another group's name sorts between them, and the leader comes to the same digest.
func TestDigestGroups(t *testing.T) {
	b, w := NewReporter("n1", 1), NewMonitor(Settings{})
	items := []Item{{"config", 1, 2}, {"config-x", 3, 4}, {"config.a", 5, 6}}
	for _, it := range items {
		b.RecordApplied(1, it, "")
	}
	if g := b.NextReport(1).Groups; len(g) != 2 {
		t.Fatal(g)
	}
	slices.Reverse(items)
	w.SetIntent(1, "n1", items)
	w.HandleReport(2, b.NextReport(2))
	if rows := w.Findings(); len(rows) != 0 {
		t.Fatalf("%+v", rows)
	}
}

// TestLongestItem: beside the longest names, digests of all groups and counts, the longest item still gets its turn.
func TestLongestItem(t *testing.T) {
	b := NewReporter(strings.Repeat("r", MaxRelayNameBytes), 1<<63)
	var want []string
	for i := range MaxItems {
		name := fmt.Sprintf("%0*d.%0*d", MaxGroupNameBytes, i%MaxGroups, MaxNameBytes-MaxGroupNameBytes-1, i)
		want = append(want, GroupOf(name))
		b.RecordApplied(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", MaxSourceBytes))
		b.RecordRejected(-1<<62, Item{name, 1 << 63, 1}, strings.Repeat("f", MaxSourceBytes), strings.Repeat("w", MaxReasonBytes))
		b.CountActivity(name, strings.Repeat("k", MaxNameBytes), 1<<63, 1<<63)
		j, _ := b.find(name)
		b.items[j].Progress, b.items[j].LocalOverride = 1<<63, true
	}
	b.seq = 1 << 63
	for range 2 * MaxItems {
		b.HandleReply(Reply{Relay: b.relay, Incarnation: b.incarnation, WantDetails: want[:MaxGroups]})
		w := b.NextReport(1 << 62)
		if n := len(w.Encode()); n > MaxReportBytes || len(w.Items) == 0 || len(w.Activities) == 0 {
			t.Fatalf("%d bytes, %d items, %d counts", n, len(w.Items), len(w.Activities))
		}
	}
}
