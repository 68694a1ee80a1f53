package drift

import (
	"cmp"
	"iter"
	"slices"
)

// SetIntent sets all items that are agreed for a relay and starts tracking the relay if it is new. Without
// items, the Monitor stops tracking the relay.
func (m *Monitor) SetIntent(now int64, name string, items []Item) {
	index, known := slices.BinarySearchFunc(m.sorted, name, func(r *relayState, n string) int { return cmp.Compare(r.name, n) })
	switch {
	case len(items) == 0:
		if known {
			m.removeRelay(now, index)
		}
		return
	case !known && len(m.sorted) >= MaxRelays:
		m.counts.OverLimit++
		return
	case !known:
		r := &relayState{name: name, silent: true, silentSince: now}
		m.sorted = slices.Insert(m.sorted, index, r)
		m.relays[name] = r
	}
	r := m.sorted[index]
	for _, i := range r.allItems() {
		i.isAgreed = false
	}
	for n, item := range items {
		g := r.group(GroupOf(item.Name))
		if g == nil && len(r.groups) < MaxGroups {
			g = r.addGroup(GroupOf(item.Name), m.lagOf(GroupOf(item.Name)))
		}
		if g == nil || n >= MaxItems {
			m.counts.OverLimit++
			continue
		}
		i := g.item(item.Name)
		if i == nil {
			i = g.addItem(item.Name, now)
		}
		i.isAgreed = true
		m.setAgreed(now, r, g, i, item)
	}
	for _, g := range r.groups {
		for _, i := range g.items {
			if !i.isAgreed {
				m.trackArrival(now, i, nil)
				// No version is agreed any more. The item stays tracked, as the relay may still run it.
				i.agreed = Item{Name: i.agreed.Name}
			}
		}
		g.updateDigest()
	}
	// A group without agreed items is not checked.
	r.groups = slices.DeleteFunc(r.groups, func(g *groupState) bool {
		return !slices.ContainsFunc(g.items, func(i *trackedItem) bool { return i.isAgreed })
	})
}

// removeRelay stops tracking the relay at an index of m.sorted.
func (m *Monitor) removeRelay(now int64, index int) {
	r := m.sorted[index]
	for _, i := range r.allItems() {
		m.trackArrival(now, i, nil)
	}
	m.sorted = slices.Delete(m.sorted, index, index+1)
	delete(m.relays, r.name)
}

// setAgreed sets the agreed version of one item.
func (m *Monitor) setAgreed(now int64, r *relayState, g *groupState, i *trackedItem, item Item) {
	if i.agreed == item && i.arrival != nil {
		return
	}
	i.agreed = item
	m.trackArrival(now, i, &item)
	i.highestAgreedVersion = max(i.highestAgreedVersion, item.Version)
	copy(i.recentVersions[:], i.recentVersions[1:])
	i.recentVersions[maxRecentVersions-1] = agreedVersion{item.Version, now}
	if i.outOfSyncSince == 0 {
		i.outOfSyncSince, i.progressedAt, i.reportedStateCount = now, now, 0
		i.lagMeasurable = !r.silent && i.state == InSync && i.inSyncSince > 0
	}
	i.inSyncSince = 0
	if i.state == Rejected { // the relay rejected an earlier version; it may accept this one
		i.outOfSyncSince, i.progressedAt, i.lagMeasurable = now, now, false
		m.setState(now, r, i, Propagating, "")
	}
	if i.state == InSync {
		m.setState(now, r, i, Propagating, "")
	}
	g.settled = false
}

// trackArrival makes an item count towards the arrivals at the version of to, instead of those at its
// previous version. If to is nil, the item counts towards none.
func (m *Monitor) trackArrival(now int64, i *trackedItem, to *Item) {
	if a := i.arrival; a != nil {
		if a.refs--; a.refs == 0 {
			delete(m.arrivals, a.version)
		}
		i.arrival = nil
	}
	if to != nil {
		version := Item{Name: to.Name, Version: to.Version}
		if m.arrivals[version] == nil {
			m.arrivals[version] = &arrivalCount{version: version, agreedAt: now}
		}
		i.arrival = m.arrivals[version]
		i.arrival.refs++
	}
}

// allItems iterates over the items of all groups.
func (r *relayState) allItems() iter.Seq2[*groupState, *trackedItem] {
	return func(yield func(*groupState, *trackedItem) bool) {
		for _, g := range r.groups {
			for _, i := range g.items {
				if !yield(g, i) {
					return
				}
			}
		}
	}
}

func (r *relayState) findGroup(name string) (int, bool) {
	return slices.BinarySearchFunc(r.groups, name, func(g *groupState, n string) int { return cmp.Compare(g.name, n) })
}

// group returns the group with a name, or nil.
func (r *relayState) group(name string) *groupState {
	if index, ok := r.findGroup(name); ok {
		return r.groups[index]
	}
	return nil
}

func (r *relayState) addGroup(name string, lag *lagEstimate) *groupState {
	g := &groupState{name: name, lag: lag}
	index, _ := r.findGroup(name)
	r.groups = slices.Insert(r.groups, index, g)
	return g
}

// item returns the relay's item with a name, or nil.
func (r *relayState) item(name string) *trackedItem {
	if g := r.group(GroupOf(name)); g != nil {
		return g.item(name)
	}
	return nil
}

func (g *groupState) findItem(name string) (int, bool) {
	return slices.BinarySearchFunc(g.items, name, func(i *trackedItem, n string) int { return cmp.Compare(i.agreed.Name, n) })
}

// item returns the item of the group with a name, or nil.
func (g *groupState) item(name string) *trackedItem {
	if index, ok := g.findItem(name); ok {
		return g.items[index]
	}
	return nil
}

func (g *groupState) addItem(name string, now int64) *trackedItem {
	i := &trackedItem{agreed: Item{Name: name}, state: Propagating, stateSince: now, lastReportedState: Propagating}
	i.applied.Name = name
	index, _ := g.findItem(name)
	g.items = slices.Insert(g.items, index, i)
	return i
}

// updateDigest recomputes the digest of the agreed items.
func (g *groupState) updateDigest() {
	var list []Applied
	for _, i := range g.items {
		list = append(list, Applied{Item: i.agreed})
	}
	g.agreedDigest = DigestOf(list)
}
