package drift

import (
	"cmp"
	"slices"
)

const (
	reportsPerChange  = 3 // in which a change is sent unasked: all of them are lost once in 8,000 at 5% loss, and then the leader asks
	reportsPerRequest = 3 // for which a request of the leader holds: it repeats it in each reply
	maxResync         = 16

	// activityShare is the divisor for the part of a report's free bytes that activities may take.
	activityShare = 3

	// Of a nested field: a tag and a length of up to 127, or longer.
	activityOverhead = 2
	itemOverhead     = 3
)

// Reporter notes what a relay has applied, counts what it does, and makes its reports. It is for one goroutine.
type Reporter struct {
	relay              string
	incarnation, seq   uint64
	items              []reportedItem // by group and name
	activities         []Activity     // by item and kind
	requestedGroups    []string       // of which the leader wants the items
	requestReportsLeft int            // for which the request still holds
	lastSentItem       string         // after which the next report's items begin, so that all get their turn
	nextActivity       int
}

type reportedItem struct {
	Applied
	pendingReports int // in which it is still to be sent unasked
}

// NewReporter returns the reporter of a process. The incarnation is above that of every earlier process of this name, as a wall clock in
// milliseconds is.
func NewReporter(relay string, incarnation uint64) *Reporter {
	return &Reporter{relay: sanitize(relay, MaxRelayNameBytes), incarnation: incarnation}
}

func (r *Reporter) findItem(name string) (int, bool) {
	return slices.BinarySearchFunc(r.items, name, func(i reportedItem, n string) int { return compareByGroup(i.Name, n) })
}

// update changes an item, or adds it. False if the name is not valid, or there are too many.
func (r *Reporter) update(name string, change func(*Applied)) bool {
	i, ok := r.findItem(name)
	if !ok {
		if name == "" || len(r.items) >= MaxItems || sanitize(name, MaxNameBytes) != name || len(GroupOf(name)) > MaxGroupNameBytes {
			return false
		}
		r.items = slices.Insert(r.items, i, reportedItem{Applied: Applied{Item: Item{Name: name}}})
		if len(r.groupDigests()) > MaxGroups {
			r.items = slices.Delete(r.items, i, i+1)
			return false
		}
	}
	item := &r.items[i]
	before := item.Applied
	change(&item.Applied)
	if item.Applied != before {
		item.pendingReports = reportsPerChange
	}
	return true
}

// RecordApplied notes that an item was applied as agreed. It ends a rejection or an override. False if there are too many items.
func (r *Reporter) RecordApplied(now int64, item Item, source string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.Item != item || a.LocalOverride || a.RejectedVersion != 0 {
			*a = Applied{Item: item, Since: now, Source: sanitize(source, MaxSourceBytes)}
		}
	})
}

// RecordRejected notes that a version was rejected, and why. What the relay runs stays.
func (r *Reporter) RecordRejected(now int64, item Item, source, reason string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.RejectedVersion != item.Version || a.RejectReason != sanitize(reason, MaxReasonBytes) {
			a.RejectedVersion, a.RejectReason = item.Version, sanitize(cmp.Or(reason, "refused"), MaxReasonBytes)
			a.Since, a.Source = now, sanitize(source, MaxSourceBytes)
		}
	})
}

// RecordOverride notes that an operator's call at this relay changed an item. Version and digest are what the relay runs now.
func (r *Reporter) RecordOverride(now int64, item Item, by string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.Item != item || !a.LocalOverride {
			*a = Applied{Item: item, Since: now, Source: sanitize(by, MaxSourceBytes), LocalOverride: true}
		}
	})
}

// RecordProgress notes that the relay got further with the next version of an item: it is slow, not stuck.
func (r *Reporter) RecordProgress(name string) {
	if i, ok := r.findItem(name); ok {
		r.items[i].Progress++
	}
}

// Remove notes that the relay does not run the item any more. That is reported in as many reports as any change.
func (r *Reporter) Remove(name string) {
	if i, ok := r.findItem(name); ok {
		r.items[i] = reportedItem{Applied{Item: Item{Name: r.items[i].Name}}, reportsPerChange}
	}
}

// CountActivity adds to a count of what the relay did. Count what must not happen with 0 at the start, so that its first time is seen to be
// one. False if there are too many kinds.
func (r *Reporter) CountActivity(item, kind string, count, violations uint64) bool {
	i, ok := slices.BinarySearchFunc(r.activities, Activity{Item: item, Kind: kind}, func(x, y Activity) int {
		return cmp.Or(cmp.Compare(x.Item, y.Item), cmp.Compare(x.Kind, y.Kind))
	})
	if !ok {
		if len(r.activities) >= MaxActivities || item == "" || kind == "" || sanitize(item, MaxNameBytes) != item || sanitize(kind, MaxNameBytes) != kind {
			return false
		}
		r.activities = slices.Insert(r.activities, i, Activity{Item: item, Kind: kind})
	}
	r.activities[i].Count += count
	r.activities[i].Violations += violations
	return true
}

// HandleReply takes the leader's reply, and returns the items to take from the record again.
func (r *Reporter) HandleReply(reply Reply) (resync []string) {
	if reply.Relay != r.relay || reply.Incarnation != r.incarnation {
		return nil // for an earlier process
	}
	r.requestedGroups, r.requestReportsLeft = reply.WantDetails, reportsPerRequest
	return reply.Resync
}

func (r *Reporter) groupDigests() []GroupDigest {
	var list []GroupDigest
	for i := 0; i < len(r.items); {
		group := GroupOf(r.items[i].Name)
		var items []Applied
		for ; i < len(r.items) && GroupOf(r.items[i].Name) == group; i++ {
			items = append(items, r.items[i].Applied)
		}
		list = append(list, GroupDigest{group, DigestOf(items)})
	}
	return list
}

// NextReport returns the report to send now. Its encoding is at most MaxReportBytes long: it always has the digests of all groups; of what is
// left a third is for activities, the rest for items, changed ones first. What does not fit is in the next reports.
func (r *Reporter) NextReport(now int64) Report {
	r.seq++
	report := Report{Relay: r.relay, Incarnation: r.incarnation, Seq: r.seq, SentAt: now, Groups: r.groupDigests()}
	free := MaxReportBytes - len(report.Encode())
	free = r.addActivities(&report, free)
	r.addItems(&report, free)
	r.items = slices.DeleteFunc(r.items, func(i reportedItem) bool { return i.empty() && i.pendingReports == 0 })
	r.requestReportsLeft = max(r.requestReportsLeft-1, 0)
	return report
}

// addActivities adds as many activities as their share of the free bytes allows, in turn, and returns what is still free.
func (r *Reporter) addActivities(report *Report, free int) int {
	share := free / activityShare
	for range r.activities {
		a := r.activities[r.nextActivity%len(r.activities)]
		size := activityOverhead + len(a.append(nil))
		if size > share {
			break
		}
		share, free = share-size, free-size
		report.Activities = append(report.Activities, a)
		r.nextActivity = (r.nextActivity + 1) % len(r.activities)
	}
	return free
}

// addItems adds as many items as fit: first those that changed, then those that the leader wants.
func (r *Reporter) addItems(report *Report, free int) {
	start, ok := r.findItem(r.lastSentItem)
	if ok {
		start++
	}
	for _, changed := range []bool{true, false} {
		for k := range r.items {
			item := &r.items[(start+k)%len(r.items)]
			if changed != (item.pendingReports > 0) || !changed && !r.requested(item.Name) ||
				slices.ContainsFunc(report.Items, func(a Applied) bool { return a.Name == item.Name }) {
				continue
			}
			size := itemOverhead + len(item.Applied.append(nil, report.SentAt))
			if size > free {
				break
			}
			free -= size
			report.Items = append(report.Items, item.Applied)
			item.pendingReports = max(item.pendingReports-1, 0)
			r.lastSentItem = item.Name
		}
	}
}

func (r *Reporter) requested(item string) bool {
	return r.requestReportsLeft > 0 && slices.Contains(r.requestedGroups, GroupOf(item))
}
