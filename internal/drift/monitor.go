package drift

import (
	"cmp"
	"slices"
)

const (
	confirmations      = 2    // how often something has to be seen before it is claimed, or before a claim is taken back
	silentPeriods      = 4    // periods without a word: four lost in a row are 6 in a million at 5% loss, and claim no drift
	detailPeriods      = 15   // periods in which an item of a group that is asked for is told again: 64 take 10 words at most
	maxRecentVersions  = 4    // intended versions remembered for a pair that follows them slowly
	delayWindowPeriods = 30   // periods for which the quickest word tells how late another one is
	maxPendingChanges  = 8192 // changes held between two Ticks
)

// Monitor is the leader's view of all relays. All calls come from one goroutine.
type Monitor struct {
	settings       Settings
	relays         map[string]*relayState
	sorted         []*relayState // by name
	lags           map[string]*lagEstimate
	fleetLag       *lagEstimate // of all groups: what is expected of one of which little is known
	recoveryLag    *lagEstimate // of relays that came back: from their first word until each item was in step
	arrivals       map[Item]*arrivalCount
	pendingChanges []Change
	history        []Change
	counts         Counts
	defect         defect
}

// defect is a defect that tests plant, to see that they find it.
type defect uint8

const (
	noDefect defect = iota
	fixedBound
	noGrace
	partitionIsDrift
)

// arrivalCount is how many of the relays that are heard have arrived at a version.
type arrivalCount struct {
	version             Item
	refs, live, arrived int
	agreedAt            int64 // when it was agreed
	halfTime            int64 // how long half of them took; 0 while they have not
}

type relayState struct {
	name             string
	liveness         Liveness
	livenessAt       int64
	everReported     bool  // heard since this Watch began
	receivedAt       int64 // when its last word came
	sentAt           int64 // when that was said, by this clock
	incarnation, seq uint64
	minDelay         [2]int64 // least that words took, by the difference of the clocks: of this window and the last
	delayWindowAt    int64
	silent           bool
	silentSince      int64
	groups           []*groupState
	activities       []trackedActivity
}

type groupState struct {
	name           string
	items          []*trackedItem
	lag            *lagEstimate
	agreedDigest   uint64 // digest of what is agreed
	reportedDigest uint64 // another one that was said, since when
	reportedSince  int64
	matched        bool // the last word said that digest
	settled        bool // and nothing is left to be looked at while it does
}

type agreedVersion struct {
	version uint64
	at      int64
}

// trackedItem is a relay and an item.
type trackedItem struct {
	agreed           Item
	arrival          *arrivalCount
	recentVersions   [maxRecentVersions]agreedVersion // when the newest versions were agreed, oldest first
	highestAgreed    uint64                           // highest version ever agreed
	lastInSync       uint64                           // version at which it was last in step
	applied          Applied
	appliedKnown     bool   // has is of this process
	detailedAt       int64  // when it was last told in detail
	detailedSeq      uint64 // in which word
	outOfSyncSince   int64  // since when it is not in step; 0 if it is
	progressedAt     int64  // when it last came nearer
	returnedAt       int64  // when the relay came back and has not been in step since; 0 otherwise
	measurable       bool   // its arrival tells of propagation
	isAgreed         bool   // the item is agreed for this relay; else it was told by the relay alone
	inSyncSince      int64  // since when it says without a break that it is in step; 0 if it does not
	inSyncReceivedAt int64  // when that was heard
	state            State
	stateSince       int64
	lastReading      State      // what the last words say
	readingCount     int        // how many of them in a row
	leavingCount     int        // in how many of them it would have left its state
	suspicion        *suspicion // of those that drift or were accused
}

type suspicion struct {
	reason       string
	evidence     []string
	contradicted bool
	sightings    int
	lastSeenAt   int64 // when it was last seen to do otherwise
}

// trackedActivity is one count of a relay.
type trackedActivity struct {
	Activity
	base       uint64 // astray when the grace ended
	sentAt     int64  // when it was last said
	receivedAt int64  // when that was heard
	grewAt     int64  // when astray last rose
}

// NewMonitor makes a Watch that knows nothing.
func NewMonitor(set Settings) *Monitor {
	set.ReportInterval = cmp.Or(set.ReportInterval, 1000)
	set.InFlightGrace = cmp.Or(set.InFlightGrace, 5000)
	set.PriorBound = cmp.Or(set.PriorBound, 15*set.ReportInterval)
	set.MaxBound = cmp.Or(set.MaxBound, 300*set.ReportInterval)
	set.SlowFleetFactor = cmp.Or(set.SlowFleetFactor, 8)
	w := &Monitor{settings: set, relays: map[string]*relayState{}, lags: map[string]*lagEstimate{}, arrivals: map[Item]*arrivalCount{}, fleetLag: &lagEstimate{}, recoveryLag: &lagEstimate{}}
	w.updateBounds()
	return w
}

func (w *Monitor) lagOf(group string) *lagEstimate {
	p := w.lags[group]
	if p == nil {
		if len(w.lags) > 4*MaxGroups {
			return w.fleetLag // names of groups that come and go
		}
		p = &lagEstimate{}
		p.update(w.settings, w.fleetLag.bound)
		w.lags[group] = p
	}
	return p
}

// updateBounds derives the bounds from what was learned.
func (w *Monitor) updateBounds() {
	w.fleetLag.update(w.settings, w.settings.PriorBound)
	w.recoveryLag.update(w.settings, w.settings.PriorBound)
	for _, p := range w.lags {
		p.update(w.settings, w.fleetLag.bound)
	}
}

// ---- What is agreed ----

// SetIntent says what is agreed for a relay, all of it. It makes the relay known; no items forget it.
func (w *Monitor) SetIntent(now int64, name string, items []Item) {
	at, ok := slices.BinarySearchFunc(w.sorted, name, func(r *relayState, n string) int { return cmp.Compare(r.name, n) })
	switch {
	case len(items) == 0 && ok:
		for _, g := range w.sorted[at].groups {
			for _, p := range g.items {
				w.trackArrival(now, p, nil)
			}
		}
		w.sorted = slices.Delete(w.sorted, at, at+1)
		delete(w.relays, name)
		return
	case len(items) == 0:
		return
	case !ok && len(w.sorted) >= MaxRelays:
		w.counts.OverLimit++
		return
	case !ok:
		r := &relayState{name: name, silent: true, silentSince: now, livenessAt: now}
		w.sorted = slices.Insert(w.sorted, at, r)
		w.relays[name] = r
	}
	r := w.sorted[at]
	for _, g := range r.groups {
		for _, p := range g.items {
			p.isAgreed = false
		}
	}
	held := 0
	for _, it := range items {
		g := r.group(GroupOf(it.Name))
		if g == nil && len(r.groups) < MaxGroups {
			g = &groupState{name: GroupOf(it.Name), lag: w.lagOf(GroupOf(it.Name))}
			i, _ := slices.BinarySearchFunc(r.groups, g.name, func(g *groupState, n string) int { return cmp.Compare(g.name, n) })
			r.groups = slices.Insert(r.groups, i, g)
		}
		if held++; g == nil || held > MaxItems {
			w.counts.OverLimit++
			continue
		}
		p := g.find(it.Name)
		if p == nil {
			p = g.add(it.Name, now)
		}
		p.isAgreed = true
		w.agree(now, r, g, p, it)
	}
	for _, g := range r.groups {
		for _, p := range g.items {
			if !p.isAgreed {
				w.trackArrival(now, p, nil)
				p.agreed = Item{Name: p.agreed.Name} // if it still runs it, that is told, and nobody agreed on it any more
			}
		}
		g.updateDigest()
	}
	r.groups = slices.DeleteFunc(r.groups, func(g *groupState) bool { // what nobody asks of it is not looked at
		return !slices.ContainsFunc(g.items, func(p *trackedItem) bool { return p.isAgreed })
	})
}

func (w *Monitor) agree(now int64, r *relayState, g *groupState, p *trackedItem, it Item) {
	if p.agreed == it && p.arrival != nil {
		return
	}
	p.agreed = it
	w.trackArrival(now, p, &it)
	p.highestAgreed = max(p.highestAgreed, it.Version)
	copy(p.recentVersions[:], p.recentVersions[1:])
	p.recentVersions[maxRecentVersions-1] = agreedVersion{it.Version, now}
	if p.outOfSyncSince == 0 {
		p.outOfSyncSince, p.progressedAt, p.readingCount = now, now, 0
		p.measurable = !r.silent && p.state == InSync && p.inSyncSince > 0
	}
	p.inSyncSince = 0
	if p.state == Rejected { // that was another version's answer: a new chance
		p.outOfSyncSince, p.progressedAt, p.measurable = now, now, false
		w.setState(now, r, p, Propagating, "")
	}
	if p.state == InSync {
		w.setState(now, r, p, Propagating, "")
	}
	g.settled = false
}

// trackArrival moves a pair from the version that it was to arrive at to another; nil for none.
func (w *Monitor) trackArrival(now int64, p *trackedItem, to *Item) {
	if t := p.arrival; t != nil {
		if t.refs--; t.refs == 0 {
			delete(w.arrivals, t.version)
		}
		p.arrival = nil
	}
	if to != nil {
		key := Item{Name: to.Name, Version: to.Version}
		if w.arrivals[key] == nil {
			w.arrivals[key] = &arrivalCount{version: key, agreedAt: now}
		}
		p.arrival = w.arrivals[key]
		p.arrival.refs++
	}
}

func (r *relayState) group(name string) *groupState {
	i, ok := slices.BinarySearchFunc(r.groups, name, func(g *groupState, n string) int { return cmp.Compare(g.name, n) })
	if !ok {
		return nil
	}
	return r.groups[i]
}

func (r *relayState) item(item string) *trackedItem {
	if g := r.group(GroupOf(item)); g != nil {
		return g.find(item)
	}
	return nil
}

func (g *groupState) find(name string) *trackedItem {
	i, ok := slices.BinarySearchFunc(g.items, name, func(p *trackedItem, n string) int { return cmp.Compare(p.agreed.Name, n) })
	if !ok {
		return nil
	}
	return g.items[i]
}

func (g *groupState) add(name string, now int64) *trackedItem {
	p := &trackedItem{agreed: Item{Name: name}, state: Propagating, stateSince: now, lastReading: Propagating}
	p.applied.Name = name
	i, _ := slices.BinarySearchFunc(g.items, name, func(p *trackedItem, n string) int { return cmp.Compare(p.agreed.Name, n) })
	g.items = slices.Insert(g.items, i, p)
	return p
}

// updateDigest makes the digest of what is agreed anew.
func (g *groupState) updateDigest() {
	var list []Applied
	for _, p := range g.items {
		list = append(list, Applied{Item: p.agreed})
	}
	g.agreedDigest = DigestOf(list)
}

// ---- Time ----

// SetLiveness says what others know of a relay's process.
func (w *Monitor) SetLiveness(now int64, relay string, how Liveness) {
	if r := w.relays[relay]; r != nil && r.liveness != how {
		r.liveness, r.livenessAt = how, now
	}
}

// Tick is due once in a period. It returns what changed since the last one.
func (w *Monitor) Tick(now int64) []Change {
	w.updateBounds()
	for _, t := range w.arrivals {
		t.live, t.arrived = 0, 0
	}
	for _, r := range w.sorted {
		w.checkSilence(now, r)
		for _, g := range r.groups {
			for _, p := range g.items {
				if p.arrival != nil && !r.silent {
					p.arrival.live++
					if p.state == InSync || p.state == Contradicting || p.inSyncSince > 0 {
						p.arrival.arrived++
					}
				}
				if p.suspicion != nil && (p.suspicion.contradicted || p.suspicion.sightings > 0) {
					w.forgive(now, r, g, p)
				}
			}
		}
	}
	for _, t := range w.arrivals {
		if t.halfTime == 0 && t.live > 0 && 2*t.arrived >= t.live {
			t.halfTime = max(now-t.agreedAt, 1)
		}
	}
	changes := w.pendingChanges
	w.pendingChanges = nil
	return changes
}

// checkSilence notes that a relay is not heard. Nothing is claimed of it then.
func (w *Monitor) checkSilence(now int64, r *relayState) {
	silent := silentPeriods * w.settings.ReportInterval
	if r.liveness == Unreachable || r.liveness == Terminated {
		silent = 2 * w.settings.ReportInterval
	}
	if r.silent || now-r.receivedAt <= silent {
		return
	}
	if w.defect == partitionIsDrift {
		for _, g := range r.groups {
			for _, p := range g.items {
				if p.state == Propagating && w.overdue(now, g, p) {
					w.setState(now, r, p, Lagging, "")
				}
			}
		}
		return
	}
	r.silent, r.silentSince = true, r.receivedAt
	w.recordChange(Change{At: now, Relay: r.name, From: Propagating, To: Unknown, Reason: r.silenceReason()})
}

func (r *relayState) silenceReason() string {
	switch r.liveness {
	case Terminated:
		return "gone"
	case Restarting:
		return "restarting"
	case Upgrading:
		return "upgrading"
	case Unreachable:
		return "others do not hear it either"
	}
	return "says nothing"
}

// forgive drops what a relay was accused of once it has behaved for as long as the accusation had to wait.
func (w *Monitor) forgive(now int64, r *relayState, g *groupState, p *trackedItem) {
	if r.silent || min(now, r.sentAt)-p.suspicion.lastSeenAt <= w.settings.InFlightGrace+g.lag.bound {
		return
	}
	p.suspicion.contradicted, p.suspicion.sightings = false, 0
	for i := range r.activities {
		if r.activities[i].Item == p.agreed.Name {
			r.activities[i].base = r.activities[i].Violations
		}
	}
	if p.state == Contradicting {
		to := Propagating
		if p.inSyncSince > 0 {
			to = InSync
		}
		w.setState(now, r, p, to, "behaves")
	}
}
