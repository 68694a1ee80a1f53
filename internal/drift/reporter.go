package drift

import (
	"cmp"
	"slices"
)

const (
	reportsPerChange  = 3 // words in which a change is told unasked: all of them are lost once in 8,000 at 5% loss, and the leader asks then
	reportsPerRequest = 3 // words for which the leader's asking holds: it repeats it in each reply
	maxResync         = 16
)

// Reporter is in which a relay notes what it has applied and counts what it does. All calls come from one goroutine.
type Reporter struct {
	relay            string
	incarnation, seq uint64
	items            []reportedItem // by group and name
	activities       []Activity     // by item and kind
	wantedGroups     []string
	wantedReports    int
	lastSent         string // after which name the next word's items begin, so that all get their turn
	nextActivity     int
}

type reportedItem struct {
	Applied
	pendingReports int
}

// NewReporter makes the book of a process. Start is above that of every process of this name before it, as a wall clock in milliseconds is.
func NewReporter(relay string, start uint64) *Reporter {
	return &Reporter{relay: sanitize(relay, MaxRelayNameBytes), incarnation: start}
}

func (b *Reporter) find(name string) (int, bool) {
	return slices.BinarySearchFunc(b.items, name, func(e reportedItem, n string) int { return compareByGroup(e.Name, n) })
}

// update changes an item, or makes it. False: the name is none, or there is no room.
func (b *Reporter) update(name string, change func(*Applied)) bool {
	i, ok := b.find(name)
	if !ok {
		if name == "" || len(b.items) >= MaxItems || sanitize(name, MaxNameBytes) != name || len(GroupOf(name)) > MaxGroupNameBytes {
			return false
		}
		b.items = slices.Insert(b.items, i, reportedItem{Applied: Applied{Item: Item{Name: name}}})
		if len(b.digests()) > MaxGroups {
			b.items = slices.Delete(b.items, i, i+1)
			return false
		}
	}
	e := &b.items[i]
	was := e.Applied
	change(&e.Applied)
	if e.Applied != was {
		e.pendingReports = reportsPerChange
	}
	return true
}

// RecordApplied says that an item was applied as agreed. It ends what was refused or local of it. False: there is no room.
func (b *Reporter) RecordApplied(now int64, item Item, from string) bool {
	return b.update(item.Name, func(a *Applied) {
		if a.Item != item || a.LocalOverride || a.RejectedVersion != 0 {
			*a = Applied{Item: item, Since: now, Source: sanitize(from, MaxSourceBytes)}
		}
	})
}

// RecordRejected says that a version was not taken, and why. What it runs stays.
func (b *Reporter) RecordRejected(now int64, item Item, from, why string) bool {
	return b.update(item.Name, func(a *Applied) {
		if a.RejectedVersion != item.Version || a.RejectReason != sanitize(why, MaxReasonBytes) {
			a.RejectedVersion, a.RejectReason = item.Version, sanitize(cmp.Or(why, "refused"), MaxReasonBytes)
			a.Since, a.Source = now, sanitize(from, MaxSourceBytes)
		}
	})
}

// LocalOverride says that an operator's call at this relay changed an item, by whom. Version and digest are what it runs now.
func (b *Reporter) RecordOverride(now int64, item Item, by string) bool {
	return b.update(item.Name, func(a *Applied) {
		if a.Item != item || !a.LocalOverride {
			*a = Applied{Item: item, Since: now, Source: sanitize(by, MaxSourceBytes), LocalOverride: true}
		}
	})
}

// Progress says that the relay has come further with the next version of an item: it is slow, not stuck.
func (b *Reporter) RecordProgress(name string) {
	if i, ok := b.find(name); ok {
		b.items[i].Progress++
	}
}

// Remove says that it runs no such item any more. It is told so for as long as any change is.
func (b *Reporter) Remove(name string) {
	if i, ok := b.find(name); ok {
		b.items[i] = reportedItem{Applied{Item: Item{Name: b.items[i].Name}}, reportsPerChange}
	}
}

// CountActivity adds to what it did. Count what must not happen with 0 at the start, so that the first time is seen to be one. False: there is no room.
func (b *Reporter) CountActivity(item, kind string, count, astray uint64) bool {
	i, ok := slices.BinarySearchFunc(b.activities, Activity{Item: item, Kind: kind}, func(x, y Activity) int {
		return cmp.Or(cmp.Compare(x.Item, y.Item), cmp.Compare(x.Kind, y.Kind))
	})
	if !ok {
		if len(b.activities) >= MaxActivities || item == "" || kind == "" || sanitize(item, MaxNameBytes) != item || sanitize(kind, MaxNameBytes) != kind {
			return false
		}
		b.activities = slices.Insert(b.activities, i, Activity{Item: item, Kind: kind})
	}
	b.activities[i].Count += count
	b.activities[i].Violations += astray
	return true
}

// HandleReply takes the leader's reply. It returns the items to be taken from the record anew.
func (b *Reporter) HandleReply(r Reply) (tell []string) {
	if r.Relay != b.relay || r.Incarnation != b.incarnation {
		return nil // meant for a process before this one
	}
	b.wantedGroups, b.wantedReports = r.WantDetails, reportsPerRequest
	return r.Resync
}

func (b *Reporter) digests() []GroupDigest {
	var list []GroupDigest
	for i := 0; i < len(b.items); {
		name := GroupOf(b.items[i].Name)
		var of []Applied
		for ; i < len(b.items) && GroupOf(b.items[i].Name) == name; i++ {
			of = append(of, b.items[i].Applied)
		}
		list = append(list, GroupDigest{name, DigestOf(of)})
	}
	return list
}

// Report is what to say now. Its encoding is no longer than MaxReportBytes: digests of all groups always; of what is left a third for what it did, the rest
// for items, changed ones first. What does not fit is told by the words after it.
func (b *Reporter) NextReport(now int64) Report {
	b.seq++
	w := Report{Relay: b.relay, Incarnation: b.incarnation, Seq: b.seq, SentAt: now, Groups: b.digests()}
	left := MaxReportBytes - len(w.Encode())
	does := left / 3
	for range b.activities {
		d := b.activities[b.nextActivity%len(b.activities)]
		size := 2 + len(d.append(nil))
		if size > does {
			break
		}
		does, left = does-size, left-size
		w.Activities = append(w.Activities, d)
		b.nextActivity = (b.nextActivity + 1) % len(b.activities)
	}
	start, ok := b.find(b.lastSent)
	if ok {
		start++
	}
	for _, fresh := range []bool{true, false} {
		for k := range b.items {
			e := &b.items[(start+k)%len(b.items)]
			if fresh != (e.pendingReports > 0) || !fresh && (b.wantedReports == 0 || !slices.Contains(b.wantedGroups, GroupOf(e.Name))) ||
				slices.ContainsFunc(w.Items, func(a Applied) bool { return a.Name == e.Name }) {
				continue
			}
			size := 3 + len(e.Applied.append(nil, now))
			if size > left {
				break
			}
			left -= size
			w.Items = append(w.Items, e.Applied)
			e.pendingReports = max(e.pendingReports-1, 0)
			b.lastSent = e.Name
		}
	}
	b.items = slices.DeleteFunc(b.items, func(e reportedItem) bool { return e.empty() && e.pendingReports == 0 })
	b.wantedReports = max(b.wantedReports-1, 0)
	return w
}
