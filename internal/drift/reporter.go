package drift

import (
	"cmp"
	"slices"
)

const (
	// At 5% loss, all three reports that carry a change are lost once in 8,000. The leader then requests the
	// items.
	reportsPerChange = 3

	reportsPerRequest = 3 // reports for which a request of the leader applies; the leader repeats it in each reply
	maxResync         = 16

	// Activities may take 1/activityShare of the bytes that are free in a report.
	activityShare = 3

	// Encoding overhead of a nested field: its tag and a length of one byte (up to 127) or two.
	activityOverhead = 2
	itemOverhead     = 3
)

// Reporter records what a relay has applied, counts what it does and builds its reports. It is not
// safe for concurrent use.
type Reporter struct {
	relay              string
	incarnation, seq   uint64
	items              []reportedItem // by group and name
	activities         []Activity     // by item and kind
	requestedGroups    []string       // groups whose items the leader requested
	requestReportsLeft int            // number of reports for which requestedGroups still applies
	lastSentItem       string         // the next report continues after this item, so that all are sent in turn
	nextActivity       int
}

type reportedItem struct {
	Applied
	pendingReports int // number of reports that still have to carry the latest change
}

// NewReporter returns the reporter of a process. The incarnation must be higher than that of every
// earlier process with this relay name, for example the wall clock in ms at the start.
func NewReporter(relay string, incarnation uint64) *Reporter {
	return &Reporter{relay: sanitize(relay, MaxRelayNameBytes), incarnation: incarnation}
}

func (r *Reporter) findItem(name string) (int, bool) {
	return slices.BinarySearchFunc(r.items, name, func(i reportedItem, n string) int { return compareByGroup(i.Name, n) })
}

// update applies change to an item, adding the item if necessary. It returns false if the name is not
// valid or there are too many items or groups.
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

// RecordApplied records that the relay applied an item as agreed, which ends a rejection or an
// override. It returns false if the name is not valid or there are too many items or groups.
func (r *Reporter) RecordApplied(now int64, item Item, source string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.Item != item || a.LocalOverride || a.RejectedVersion != 0 {
			*a = Applied{Item: item, Since: now, Source: sanitize(source, MaxSourceBytes)}
		}
	})
}

// RecordRejected records that the relay rejected a version and why. The version that it runs does not
// change. The result is that of RecordApplied.
func (r *Reporter) RecordRejected(now int64, item Item, source, reason string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.RejectedVersion != item.Version || a.RejectReason != sanitize(reason, MaxReasonBytes) {
			a.RejectedVersion, a.RejectReason = item.Version, sanitize(cmp.Or(reason, "refused"), MaxReasonBytes)
			a.Since, a.Source = now, sanitize(source, MaxSourceBytes)
		}
	})
}

// RecordOverride records that an operator's call at this relay changed an item. The item's version and
// digest are those that the relay runs now. The result is that of RecordApplied.
func (r *Reporter) RecordOverride(now int64, item Item, by string) bool {
	return r.update(item.Name, func(a *Applied) {
		if a.Item != item || !a.LocalOverride {
			*a = Applied{Item: item, Since: now, Source: sanitize(by, MaxSourceBytes), LocalOverride: true}
		}
	})
}

// RecordProgress records that the relay is still working on the next version of an item, so that a slow
// relay is not taken for a stuck one.
func (r *Reporter) RecordProgress(name string) {
	if i, ok := r.findItem(name); ok {
		r.items[i].Progress++
	}
}

// Remove records that the relay no longer runs the item. The removal is sent in as many reports as any
// other change.
func (r *Reporter) Remove(name string) {
	if i, ok := r.findItem(name); ok {
		r.items[i] = reportedItem{Applied{Item: Item{Name: r.items[i].Name}}, reportsPerChange}
	}
}

// CountActivity adds to a count of what the relay did. The Monitor takes the first count it receives as
// the starting point, so report a count of violations with 0 at the start: otherwise the first violations
// are not detected. CountActivity returns false if a name is not valid or there are too many counts.
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

// HandleReply processes the leader's reply and returns the items that the relay should read from the
// record again.
func (r *Reporter) HandleReply(reply Reply) (resync []string) {
	if reply.Relay != r.relay || reply.Incarnation != r.incarnation {
		return nil // the reply is for another relay or an earlier process
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

// NextReport returns the next report to send. Its encoding is at most MaxReportBytes long. It always
// contains the digests of all groups. A third of the remaining bytes is for activities and the rest
// for items, changed ones first. What does not fit is sent in later reports.
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

// addActivities adds as many activities as fit into their share of the free bytes, continuing where the
// previous report stopped, and returns the number of bytes that are still free.
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

// addItems adds as many items as fit: first those that changed, then those that the leader requested.
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
