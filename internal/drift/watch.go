package drift

import (
	"cmp"
	"slices"
)

const (
	twice      = 2    // how often something has to be seen before it is claimed, or before a claim is taken back
	silentFor  = 4    // periods without a word: four lost in a row are 6 in a million at 5% loss, and claim no drift
	untoldFor  = 15   // periods in which an item of a group that is asked for is told again: 64 take 10 words at most
	marksMost  = 4    // intended versions remembered for a pair that follows them slowly
	offsetFor  = 30   // periods for which the quickest word tells how late another one is
	unsaidMost = 8192 // changes held between two Ticks
)

// Monitor is the leader's view of all relays. All calls come from one goroutine.
type Monitor struct {
	set     Settings
	relays  map[string]*relay
	order   []*relay // by name
	paces   map[string]*pace
	all     *pace // of all groups: what is expected of one of which little is known
	back    *pace // of relays that came back: from their first word until each item was in step
	tallies map[Item]*tally
	changes []Change
	history []Change
	counts  Counts
	flaw    flaw
}

// flaw is a defect that tests plant, to see that they find it.
type flaw uint8

const (
	sound flaw = iota
	fixedBound
	noGrace
	cutIsDrift
)

// tally is how many of the relays that are heard have arrived at a version.
type tally struct {
	of                Item
	refs, live, there int
	at                int64 // when it was agreed
	half              int64 // how long half of them took; 0 while they have not
}

type relay struct {
	name       string
	life       Liveness
	lifeAt     int64
	ever       bool  // heard since this Watch began
	heard      int64 // when its last word came
	said       int64 // when that was said, by this clock
	start, seq uint64
	offset     [2]int64 // least that words took, by the difference of the clocks: of this window and the last
	offsetAt   int64
	quiet      bool
	quietAt    int64
	groups     []*group
	does       []doing
}

type group struct {
	name    string
	pairs   []*pair
	pace    *pace
	intent  uint64 // digest of what is agreed
	said    uint64 // another one that was said, since when
	saidAt  int64
	matched bool // the last word said that digest
	settled bool // and nothing is left to be looked at while it does
}

type mark struct {
	version uint64
	at      int64
}

// pair is a relay and an item.
type pair struct {
	intent   Item
	tally    *tally
	marks    [marksMost]mark // when the newest versions were agreed, oldest first
	top      uint64          // highest version ever agreed
	best     uint64          // version at which it was last in step
	has      Applied
	known    bool   // has is of this process
	told     int64  // when it was last told in detail
	toldBy   uint64 // in which word
	behind   int64  // since when it is not in step; 0 if it is
	moved    int64  // when it last came nearer
	returned int64  // when the relay came back and has not been in step since; 0 otherwise
	clean    bool   // its arrival tells of propagation
	agreed   bool   // the item is agreed for this relay; else it was told by the relay alone
	claim    int64  // since when it says without a break that it is in step; 0 if it does not
	claimed  int64  // when that was heard
	state    State
	since    int64
	cond     State    // what the last words say
	words    int      // how many of them in a row
	pends    int      // in how many of them it would have left its state
	trouble  *trouble // of those that drift or were accused
}

type trouble struct {
	why      string
	evidence []string
	accused  bool
	saw      int
	grew     int64 // when it was last seen to do otherwise
}

// doing is one count of a relay.
type doing struct {
	Activity
	base uint64 // astray when the grace ended
	said int64  // when it was last said
	came int64  // when that was heard
	grew int64  // when astray last rose
}

// NewMonitor makes a Watch that knows nothing.
func NewMonitor(set Settings) *Monitor {
	set.ReportInterval = cmp.Or(set.ReportInterval, 1000)
	set.InFlightGrace = cmp.Or(set.InFlightGrace, 5000)
	set.PriorBound = cmp.Or(set.PriorBound, 15*set.ReportInterval)
	set.MaxBound = cmp.Or(set.MaxBound, 300*set.ReportInterval)
	set.SlowFleetFactor = cmp.Or(set.SlowFleetFactor, 8)
	w := &Monitor{set: set, relays: map[string]*relay{}, paces: map[string]*pace{}, tallies: map[Item]*tally{}, all: &pace{}, back: &pace{}}
	w.reckon()
	return w
}

func (w *Monitor) pace(group string) *pace {
	p := w.paces[group]
	if p == nil {
		if len(w.paces) > 4*MaxGroups {
			return w.all // names of groups that come and go
		}
		p = &pace{}
		p.reckon(w.set, w.all.bound)
		w.paces[group] = p
	}
	return p
}

// reckon derives the bounds from what was learned.
func (w *Monitor) reckon() {
	w.all.reckon(w.set, w.set.PriorBound)
	w.back.reckon(w.set, w.set.PriorBound)
	for _, p := range w.paces {
		p.reckon(w.set, w.all.bound)
	}
}

// ---- What is agreed ----

// SetIntent says what is agreed for a relay, all of it. It makes the relay known; no items forget it.
func (w *Monitor) SetIntent(now int64, name string, items []Item) {
	at, ok := slices.BinarySearchFunc(w.order, name, func(r *relay, n string) int { return cmp.Compare(r.name, n) })
	switch {
	case len(items) == 0 && ok:
		for _, g := range w.order[at].groups {
			for _, p := range g.pairs {
				w.retally(now, p, nil)
			}
		}
		w.order = slices.Delete(w.order, at, at+1)
		delete(w.relays, name)
		return
	case len(items) == 0:
		return
	case !ok && len(w.order) >= MaxRelays:
		w.counts.OverLimit++
		return
	case !ok:
		r := &relay{name: name, quiet: true, quietAt: now, lifeAt: now}
		w.order = slices.Insert(w.order, at, r)
		w.relays[name] = r
	}
	r := w.order[at]
	for _, g := range r.groups {
		for _, p := range g.pairs {
			p.agreed = false
		}
	}
	held := 0
	for _, it := range items {
		g := r.group(GroupOf(it.Name))
		if g == nil && len(r.groups) < MaxGroups {
			g = &group{name: GroupOf(it.Name), pace: w.pace(GroupOf(it.Name))}
			i, _ := slices.BinarySearchFunc(r.groups, g.name, func(g *group, n string) int { return cmp.Compare(g.name, n) })
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
		p.agreed = true
		w.intend(now, r, g, p, it)
	}
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if !p.agreed {
				w.retally(now, p, nil)
				p.intent = Item{Name: p.intent.Name} // if it still runs it, that is told, and nobody agreed on it any more
			}
		}
		g.reckon()
	}
	r.groups = slices.DeleteFunc(r.groups, func(g *group) bool { // what nobody asks of it is not looked at
		return !slices.ContainsFunc(g.pairs, func(p *pair) bool { return p.agreed })
	})
}

func (w *Monitor) intend(now int64, r *relay, g *group, p *pair, it Item) {
	if p.intent == it && p.tally != nil {
		return
	}
	p.intent = it
	w.retally(now, p, &it)
	p.top = max(p.top, it.Version)
	copy(p.marks[:], p.marks[1:])
	p.marks[marksMost-1] = mark{it.Version, now}
	if p.behind == 0 {
		p.behind, p.moved, p.words = now, now, 0
		p.clean = !r.quiet && p.state == InSync && p.claim > 0
	}
	p.claim = 0
	if p.state == Rejected { // that was another version's answer: a new chance
		p.behind, p.moved, p.clean = now, now, false
		w.enter(now, r, p, Propagating, "")
	}
	if p.state == InSync {
		w.enter(now, r, p, Propagating, "")
	}
	g.settled = false
}

// retally moves a pair from the version that it was to arrive at to another; nil for none.
func (w *Monitor) retally(now int64, p *pair, to *Item) {
	if t := p.tally; t != nil {
		if t.refs--; t.refs == 0 {
			delete(w.tallies, t.of)
		}
		p.tally = nil
	}
	if to != nil {
		key := Item{Name: to.Name, Version: to.Version}
		if w.tallies[key] == nil {
			w.tallies[key] = &tally{of: key, at: now}
		}
		p.tally = w.tallies[key]
		p.tally.refs++
	}
}

func (r *relay) group(name string) *group {
	i, ok := slices.BinarySearchFunc(r.groups, name, func(g *group, n string) int { return cmp.Compare(g.name, n) })
	if !ok {
		return nil
	}
	return r.groups[i]
}

func (r *relay) pair(item string) *pair {
	if g := r.group(GroupOf(item)); g != nil {
		return g.find(item)
	}
	return nil
}

func (g *group) find(name string) *pair {
	i, ok := slices.BinarySearchFunc(g.pairs, name, func(p *pair, n string) int { return cmp.Compare(p.intent.Name, n) })
	if !ok {
		return nil
	}
	return g.pairs[i]
}

func (g *group) add(name string, now int64) *pair {
	p := &pair{intent: Item{Name: name}, state: Propagating, since: now, cond: Propagating}
	p.has.Name = name
	i, _ := slices.BinarySearchFunc(g.pairs, name, func(p *pair, n string) int { return cmp.Compare(p.intent.Name, n) })
	g.pairs = slices.Insert(g.pairs, i, p)
	return p
}

// reckon makes the digest of what is agreed anew.
func (g *group) reckon() {
	var list []Applied
	for _, p := range g.pairs {
		list = append(list, Applied{Item: p.intent})
	}
	g.intent = DigestOf(list)
}

// ---- Time ----

// SetLiveness says what others know of a relay's process.
func (w *Monitor) SetLiveness(now int64, relay string, how Liveness) {
	if r := w.relays[relay]; r != nil && r.life != how {
		r.life, r.lifeAt = how, now
	}
}

// Tick is due once in a period. It returns what changed since the last one.
func (w *Monitor) Tick(now int64) []Change {
	w.reckon()
	for _, t := range w.tallies {
		t.live, t.there = 0, 0
	}
	for _, r := range w.order {
		w.listen(now, r)
		for _, g := range r.groups {
			for _, p := range g.pairs {
				if p.tally != nil && !r.quiet {
					p.tally.live++
					if p.state == InSync || p.state == Contradicting || p.claim > 0 {
						p.tally.there++
					}
				}
				if p.trouble != nil && (p.trouble.accused || p.trouble.saw > 0) {
					w.relent(now, r, g, p)
				}
			}
		}
	}
	for _, t := range w.tallies {
		if t.half == 0 && t.live > 0 && 2*t.there >= t.live {
			t.half = max(now-t.at, 1)
		}
	}
	changes := w.changes
	w.changes = nil
	return changes
}

// listen notes that a relay is not heard. Nothing is claimed of it then.
func (w *Monitor) listen(now int64, r *relay) {
	silent := silentFor * w.set.ReportInterval
	if r.life == Unreachable || r.life == Terminated {
		silent = 2 * w.set.ReportInterval
	}
	if r.quiet || now-r.heard <= silent {
		return
	}
	if w.flaw == cutIsDrift {
		for _, g := range r.groups {
			for _, p := range g.pairs {
				if p.state == Propagating && w.overdue(now, g, p) {
					w.enter(now, r, p, Lagging, "")
				}
			}
		}
		return
	}
	r.quiet, r.quietAt = true, r.heard
	w.tell(Change{At: now, Relay: r.name, From: Propagating, To: Unknown, Reason: r.silence()})
}

func (r *relay) silence() string {
	switch r.life {
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

// relent drops what a relay was accused of once it has behaved for as long as the accusation had to wait.
func (w *Monitor) relent(now int64, r *relay, g *group, p *pair) {
	if r.quiet || min(now, r.said)-p.trouble.grew <= w.set.InFlightGrace+g.pace.bound {
		return
	}
	p.trouble.accused, p.trouble.saw = false, 0
	for i := range r.does {
		if r.does[i].Item == p.intent.Name {
			r.does[i].base = r.does[i].Violations
		}
	}
	if p.state == Contradicting {
		to := Propagating
		if p.claim > 0 {
			to = InSync
		}
		w.enter(now, r, p, to, "behaves")
	}
}
