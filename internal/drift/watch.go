package drift

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

const (
	twice      = 2    // how often something has to be seen before it is claimed, or before a claim is taken back
	silentFor  = 4    // periods without a word: four lost in a row are 6 in a million at 5% loss, and claim no drift
	untoldFor  = 15   // periods in which an item of a group that is asked for is told again: 64 take 10 words at most
	marksMost  = 4    // intended versions remembered for a pair that follows them slowly
	offsetFor  = 30   // periods for which the quickest word tells how late another one is
	unsaidMost = 8192 // changes held between two Ticks
)

// Watch is the leader's view of all relays. All calls come from one goroutine.
type Watch struct {
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
	life       Life
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
	Doing
	base uint64 // astray when the grace ended
	said int64  // when it was last said
	grew int64  // when astray last rose
}

// New makes a Watch that knows nothing.
func New(set Settings) *Watch {
	set.Period = cmp.Or(set.Period, 1000)
	set.InFlight = cmp.Or(set.InFlight, 5000)
	set.Prior = cmp.Or(set.Prior, 15*set.Period)
	set.Most = cmp.Or(set.Most, 300*set.Period)
	set.Patience = cmp.Or(set.Patience, 8)
	w := &Watch{set: set, relays: map[string]*relay{}, paces: map[string]*pace{}, tallies: map[Item]*tally{}, all: &pace{}, back: &pace{}}
	w.reckon()
	return w
}

func (w *Watch) pace(group string) *pace {
	p := w.paces[group]
	if p == nil {
		if len(w.paces) > 4*GroupsMost {
			return w.all // names of groups that come and go
		}
		p = &pace{}
		p.reckon(w.set, w.all.bound)
		w.paces[group] = p
	}
	return p
}

// reckon derives the bounds from what was learned.
func (w *Watch) reckon() {
	w.all.reckon(w.set, w.set.Prior)
	w.back.reckon(w.set, w.set.Prior)
	for _, p := range w.paces {
		p.reckon(w.set, w.all.bound)
	}
}

// ---- What is agreed ----

// Intend says what is agreed for a relay, all of it. It makes the relay known; no items forget it.
func (w *Watch) Intend(now int64, name string, items []Item) {
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
	case !ok && len(w.order) >= RelaysMost:
		w.counts.Full++
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
		if g == nil && len(r.groups) < GroupsMost {
			g = &group{name: GroupOf(it.Name), pace: w.pace(GroupOf(it.Name))}
			i, _ := slices.BinarySearchFunc(r.groups, g.name, func(g *group, n string) int { return cmp.Compare(g.name, n) })
			r.groups = slices.Insert(r.groups, i, g)
		}
		if held++; g == nil || held > ItemsMost {
			w.counts.Full++
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

func (w *Watch) intend(now int64, r *relay, g *group, p *pair, it Item) {
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
		p.clean = !r.quiet && p.state == InStep && p.claim > 0
	}
	p.claim = 0
	if p.state == Refused { // that was another version's answer: a new chance
		p.behind, p.moved, p.clean = now, now, false
		w.enter(now, r, p, OnItsWay, "")
	}
	if p.state == InStep {
		w.enter(now, r, p, OnItsWay, "")
	}
	g.settled = false
}

// retally moves a pair from the version that it was to arrive at to another; nil for none.
func (w *Watch) retally(now int64, p *pair, to *Item) {
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
	p := &pair{intent: Item{Name: name}, state: OnItsWay, since: now, cond: OnItsWay}
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

// ---- What is said ----

// sent is when a word was said, by this clock. The quickest word of the last half minute tells the difference of the clocks.
func (r *relay) sent(now, at int64, period int64) int64 {
	d := now - at
	if now-r.offsetAt > offsetFor*period {
		r.offset[1], r.offset[0], r.offsetAt = r.offset[0], d, now
	}
	r.offset[0] = min(r.offset[0], d)
	return max(now-(d-min(r.offset[0], r.offset[1])), r.said)
}

// Hear takes what a relay says it has applied and did.
func (w *Watch) Hear(now int64, word Word) {
	r := w.relays[word.Relay]
	switch {
	case r == nil:
		w.counts.Unknown++
		return
	case r.ever && word.Start == r.start && word.Seq <= r.seq, r.ever && word.Start < r.start && !r.quiet:
		w.counts.Old++ // repeated, overtaken, or of a process that another one has replaced
		return
	}
	w.counts.Words++
	restarted := !r.ever || word.Start != r.start
	if restarted {
		r.offset, r.offsetAt, r.does = [2]int64{now - word.At, now - word.At}, now, r.does[:0]
	}
	said := r.sent(now, word.At, w.set.Period)
	if restarted || r.quiet && w.flaw != cutIsDrift {
		w.begin(said, r, restarted)
	}
	if gap := said - r.said - w.set.Period; r.ever && 2*gap > 3*w.set.Period && w.flaw != cutIsDrift {
		r.missed(said, gap)
	}
	if r.quiet {
		if r.ever {
			w.tell(Change{At: now, Relay: r.name, From: NotHeard, To: OnItsWay})
		}
		r.quiet = false
	}
	if r.life == Silent || r.life == Gone {
		r.life, r.lifeAt = Live, now // its own word is the better proof
	}
	r.ever, r.start, r.seq, r.heard, r.said = true, word.Start, word.Seq, now, said
	w.details(said, r, word.Items)
	for _, g := range r.groups {
		w.compare(said, r, g, word)
	}
	for _, d := range word.Does {
		w.did(said, r, d)
	}
}

// missed takes the time in which words are missing off what its pairs had: only time in which a relay was heard makes it late, so that one that was
// stopped or cut off for less than it takes to be not heard is no drift either.
func (r *relay) missed(said, gap int64) {
	for _, g := range r.groups {
		if g.settled {
			continue
		}
		for _, p := range g.pairs {
			if p.behind > 0 {
				p.moved = min(said, max(p.moved, p.behind)+gap)
			}
		}
	}
}

// begin starts all clocks of a relay anew: it restarted, or was not heard for a while. What it says from here on counts, within the bound for those
// that come back.
func (w *Watch) begin(said int64, r *relay, restarted bool) {
	why := "heard again"
	if restarted {
		why = "restarted"
	}
	for _, g := range r.groups {
		g.settled = false
		for _, p := range g.pairs {
			p.behind, p.moved, p.returned = said, said, said
			p.claim, p.words, p.pends, p.clean = 0, 0, 0, false
			if restarted {
				p.known, p.toldBy, p.has = false, 0, Applied{Item: Item{Name: p.intent.Name}}
			}
			if p.trouble != nil {
				p.trouble.accused, p.trouble.saw = false, 0
			}
			w.enter(said, r, p, OnItsWay, why)
		}
	}
}

// details takes what a word tells of single items.
func (w *Watch) details(said int64, r *relay, items []Applied) {
	for _, a := range items {
		g := r.group(GroupOf(a.Name))
		if g == nil {
			continue
		}
		p := g.find(a.Name)
		if p == nil && a.none() {
			continue
		}
		if p == nil {
			n := 0
			for _, g := range r.groups {
				n += len(g.pairs)
			}
			if n >= 2*ItemsMost { // as many as are agreed, and as many that are not
				w.counts.Full++
				continue
			}
			p = g.add(a.Name, said)
			p.behind, p.moved, g.settled = said, said, false
		}
		if p.known && (a.Version > p.has.Version && a.Version <= p.top || a.Item == p.has.Item && a.Step > p.has.Step) {
			p.moved = said
		}
		if p.known && a.Version > p.has.Version && a.Item != p.intent && p.behind > 0 && p.returned == 0 {
			if i := slices.IndexFunc(p.marks[:], func(m mark) bool { return m.version > a.Version }); i >= 0 {
				p.behind = max(p.behind, p.marks[i].at) // it has taken all that was agreed before that
			}
		}
		p.has, p.known, p.told, p.toldBy = a, true, said, r.seq
	}
}

// compare looks at a group by its digest, and at each of its items of which the word tells anything.
func (w *Watch) compare(said int64, r *relay, g *group, word Word) {
	digest := DigestOf(nil)
	for _, d := range word.Groups {
		if d.Name == g.name {
			digest = d.Digest
		}
	}
	g.matched = digest == g.intent
	if g.matched && g.settled {
		return
	}
	whole := g.matched
	if g.matched {
		g.pairs = slices.DeleteFunc(g.pairs, func(p *pair) bool {
			if !p.agreed {
				w.enter(said, r, p, InStep, "gone")
			}
			return !p.agreed
		})
		for _, p := range g.pairs {
			if p.has.Item != p.intent || p.has.Local || p.has.RefusedVersion != 0 {
				p.has = Applied{Item: p.intent, Since: word.At, From: p.has.From}
			}
			p.known = true
		}
	} else {
		var list []Applied
		for _, p := range g.pairs {
			list = append(list, p.has)
		}
		whole = DigestOf(list) == digest // all that it has was told; of the rest it has nothing
		if digest != g.said {
			g.said, g.saidAt = digest, said
		}
		for _, p := range g.pairs { // what is not told though it was asked for is there no more
			if !whole && said-max(p.told, g.saidAt) > untoldFor*w.set.Period {
				p.has = Applied{Item: Item{Name: p.intent.Name}}
			}
		}
	}
	g.settled = g.matched
	for _, p := range g.pairs {
		if whole {
			p.known = true
		}
		if !whole && p.toldBy != r.seq {
			p.claim = 0
			continue
		}
		w.judge(said, r, g, p)
		if p.state != InStep || p.words < twice {
			g.settled = false
		}
	}
}

// ---- What it means ----

// reading is what a pair's words say, whatever time it took.
func (p *pair) reading() State {
	switch {
	case p.has.Local:
		return Local
	case p.has.Item == p.intent:
		return InStep
	case p.has.RefusedVersion == p.intent.Version && p.has.RefusedVersion != 0:
		return Refused
	case p.has.Version > p.top, p.has.Version == p.intent.Version && p.has.Digest != p.intent.Digest:
		return Ahead
	case p.has.Version < p.best:
		return GoneBack
	}
	return Late
}

// judge takes one more word on a pair.
func (w *Watch) judge(said int64, r *relay, g *group, p *pair) {
	cond := p.reading()
	if cond != p.cond {
		p.cond, p.words = cond, 0
	}
	p.words++
	if cond == InStep {
		w.arrive(said, g, p)
	} else {
		p.claim = 0
		if p.behind == 0 {
			p.behind, p.moved, p.clean = said, said, false
		}
	}
	held := (r.life == Restarting || r.life == Upgrading) && (p.returned > 0 || byRestart(g.name))
	if held && cond != InStep { // it is being seen to, and its time begins when that is over
		p.behind, p.moved, p.clean = said, said, false
	}
	next := OnItsWay
	switch cond {
	case InStep, Refused, Local:
		next = cond
	case GoneBack:
		if p.returned == 0 || w.overdue(said, g, p) {
			next = cond
		}
	default:
		if p.words >= twice && w.overdue(said, g, p) {
			next = cond
		}
	}
	if p.trouble != nil && p.trouble.accused && next <= OnItsWay {
		next = Contradicts
	}
	// A claim is taken back, or changed, on the second word that says so. It is made on the evidence above.
	if p.state >= Late && next != p.state {
		if p.pends++; p.pends < twice {
			return
		}
	}
	p.pends = 0
	if next != p.state {
		w.enter(said, r, p, next, w.why(said, g, p, next))
	}
}

// arrive notes that a relay says it runs what is agreed.
func (w *Watch) arrive(said int64, g *group, p *pair) {
	if p.behind > 0 {
		slow := p.tally != nil && p.tally.live >= 3 && 2*p.tally.there <= p.tally.live // so it was for most
		switch {
		case p.returned > 0:
			if p.state < Late && said > p.behind { // who was in step by its first word tells nothing of how long it takes
				w.back.add(said - p.behind)
			}
		case p.clean && (p.state < Late || slow):
			g.pace.add(said - p.behind)
			if g.pace != w.all {
				w.all.add(said - p.behind)
			}
		}
	}
	if p.claim == 0 {
		p.claim = said
	}
	p.behind, p.returned, p.clean = 0, 0, false
	p.best = p.intent.Version
}

// byRestart is whether a group's items are taken by a process that begins, so that their time is that of the restart.
func byRestart(group string) bool { return group == Program || group == Config }

// overdue is whether a pair had all the time that propagation takes in this fleet.
func (w *Watch) overdue(said int64, g *group, p *pair) bool {
	bound := g.pace.bound
	if p.returned > 0 {
		bound = max(bound, w.back.bound)
	}
	if w.flaw == fixedBound {
		return said-p.behind > 5*w.set.Period
	}
	switch t := p.tally; {
	case t == nil || t.live == 1 || t.live == 2: // nobody to be compared with
	case 2*t.there < t.live || t.live == 0: // most of the fleet has not arrived (or it was agreed just now): it is slow, not the relay
		bound = int64(w.set.Patience * float64(bound))
	case g.pace.n < paceHeld: // little is known but how long half of them took
		bound = max(bound, int64(w.set.Patience*float64(t.half)))
	}
	return said-max(p.behind, p.moved) > bound || said-p.behind > max(w.set.Most, bound) // who moves has a slow disk, yet not for ever
}

func (w *Watch) why(now int64, g *group, p *pair, to State) string {
	for_ := fmt.Sprintf("%.1f s", float64(now-p.behind)/1000)
	switch to {
	case Late:
		return fmt.Sprintf("runs %d for %s, %d is agreed; the fleet takes %.1f s at most", p.has.Version, for_, p.intent.Version, float64(g.pace.bound)/1000)
	case Refused:
		return fmt.Sprintf("refused %d: %s", p.has.RefusedVersion, p.has.Refused)
	case GoneBack:
		return fmt.Sprintf("runs %d, ran %d before", p.has.Version, p.best)
	case Ahead:
		if !p.agreed {
			return fmt.Sprintf("runs %d, no such item is agreed", p.has.Version)
		}
		return fmt.Sprintf("runs %d/%x, which nobody agreed on; %d/%x is", p.has.Version, p.has.Digest, p.intent.Version, p.intent.Digest)
	case Local:
		return "changed by a call at this relay: " + p.has.From
	case Contradicts:
		return p.trouble.evidence[len(p.trouble.evidence)-1]
	}
	return ""
}

// enter puts a pair into a state. What goes between in step and on its way is not told: that is every change of every item.
func (w *Watch) enter(now int64, r *relay, p *pair, to State, why string) {
	if p.state == to {
		return
	}
	from := p.state
	p.state, p.since, p.pends = to, now, 0
	if to >= Late {
		if p.trouble == nil {
			p.trouble = &trouble{}
		}
		p.trouble.why = cut(why, WhyMost)
		if to != Contradicts {
			p.trouble.note(why)
		}
	}
	if from >= Late || to >= Late {
		w.tell(Change{At: now, Relay: r.name, Item: p.intent.Name, From: from, To: to, Why: cut(why, WhyMost)})
	}
	if to == InStep {
		p.trouble = nil
	}
}

// note keeps a piece of evidence: the first ones, and the newest.
func (t *trouble) note(evidence string) {
	if len(t.evidence) == EvidenceFor {
		t.evidence = t.evidence[:EvidenceFor-1]
	}
	t.evidence = append(t.evidence, cut(evidence, WhyMost))
}

func (w *Watch) tell(c Change) {
	if len(w.history) >= HistoryMost {
		w.history = slices.Delete(w.history, 0, 1)
	}
	w.history = append(w.history, c)
	if len(w.changes) >= unsaidMost {
		w.counts.Full++
		return
	}
	w.changes = append(w.changes, c)
}

// ---- What it does ----

// did takes one of a relay's counts. What was under way when it applied an item may still be counted for as long as an attempt takes, so the count
// of the first word after that is where astray begins.
func (w *Watch) did(said int64, r *relay, d Doing) {
	i := slices.IndexFunc(r.does, func(x doing) bool { return x.Item == d.Item && x.Kind == d.Kind })
	if i < 0 {
		if len(r.does) >= DoingsMost {
			w.counts.Full++
			return
		}
		r.does = append(r.does, doing{Doing: d, base: d.Astray, said: said})
		return
	}
	x := &r.does[i]
	p, grace := r.pair(d.Item), w.set.InFlight
	if w.flaw == noGrace {
		grace = 0
	}
	switch {
	case p == nil || p.claim == 0 || x.said < p.claim+grace || d.Astray < x.base:
		x.base = d.Astray
	case d.Astray == x.Astray && said-x.grew > grace+r.group(GroupOf(d.Item)).pace.bound:
		x.base = d.Astray // one send astray in a long time is chance: an attempt that hung, a race
	case d.Astray > x.Astray && d.Astray-x.base >= twice:
		w.accuse(said, r, p, fmt.Sprintf("%d sends of %q astray by its own count since it said that it runs %d", d.Astray-x.base, d.Kind, p.has.Version))
	}
	if d.Astray != x.Astray {
		x.grew = said
	}
	x.Doing, x.said = d, said
}

// Saw takes that others saw a relay do otherwise than an item asks, each time that it is seen anew. What they say may have been under way, and took
// its time to get here.
func (w *Watch) Saw(now int64, relay, item, evidence string) {
	r := w.relays[relay]
	if r == nil {
		w.counts.Unknown++
		return
	}
	p, g := r.pair(item), r.group(GroupOf(item))
	if p == nil || p.claim == 0 || now < p.claim+w.set.InFlight+g.pace.bound {
		return
	}
	if p.trouble == nil {
		p.trouble = &trouble{}
	}
	p.trouble.saw++
	p.trouble.grew = now
	p.trouble.note(evidence)
	if p.trouble.saw >= twice {
		w.accuse(now, r, p, evidence)
	}
}

func (w *Watch) accuse(now int64, r *relay, p *pair, evidence string) {
	if p.trouble == nil {
		p.trouble = &trouble{}
	}
	p.trouble.grew = now
	if len(p.trouble.evidence) == 0 || p.trouble.evidence[len(p.trouble.evidence)-1] != cut(evidence, WhyMost) {
		p.trouble.note(evidence)
	}
	if !p.trouble.accused {
		p.trouble.accused = true
		r.group(GroupOf(p.intent.Name)).settled = false
		if p.state <= OnItsWay {
			w.enter(now, r, p, Contradicts, evidence)
		}
	}
}

// ---- Time ----

// Alive says what others know of a relay's process.
func (w *Watch) Alive(now int64, relay string, how Life) {
	if r := w.relays[relay]; r != nil && r.life != how {
		r.life, r.lifeAt = how, now
	}
}

// Tick is due once in a period. It returns what changed since the last one.
func (w *Watch) Tick(now int64) []Change {
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
					if p.state == InStep || p.state == Contradicts || p.claim > 0 {
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
func (w *Watch) listen(now int64, r *relay) {
	silent := silentFor * w.set.Period
	if r.life == Silent || r.life == Gone {
		silent = 2 * w.set.Period
	}
	if r.quiet || now-r.heard <= silent {
		return
	}
	if w.flaw == cutIsDrift {
		for _, g := range r.groups {
			for _, p := range g.pairs {
				if p.state == OnItsWay && w.overdue(now, g, p) {
					w.enter(now, r, p, Late, "")
				}
			}
		}
		return
	}
	r.quiet, r.quietAt = true, r.heard
	w.tell(Change{At: now, Relay: r.name, From: OnItsWay, To: NotHeard, Why: r.silence()})
}

func (r *relay) silence() string {
	switch r.life {
	case Gone:
		return "gone"
	case Restarting:
		return "restarting"
	case Upgrading:
		return "upgrading"
	case Silent:
		return "others do not hear it either"
	}
	return "says nothing"
}

// relent drops what a relay was accused of once it has behaved for as long as the accusation had to wait.
func (w *Watch) relent(now int64, r *relay, g *group, p *pair) {
	if r.quiet || min(now, r.said)-p.trouble.grew <= w.set.InFlight+g.pace.bound {
		return
	}
	p.trouble.accused, p.trouble.saw = false, 0
	for i := range r.does {
		if r.does[i].Item == p.intent.Name {
			r.does[i].base = r.does[i].Astray
		}
	}
	if p.state == Contradicts {
		to := OnItsWay
		if p.claim > 0 {
			to = InStep
		}
		w.enter(now, r, p, to, "behaves")
	}
}

// ---- What is shown, and what follows ----

// Rows is all that is not in step, by relay and item. A relay that is not heard has one row.
func (w *Watch) Rows() []Row {
	var rows []Row
	for _, r := range w.order {
		if r.quiet {
			rows = append(rows, Row{Relay: r.name, State: NotHeard, Since: r.quietAt, Why: r.silence()})
			continue
		}
		for _, g := range r.groups {
			for _, p := range g.pairs {
				if p.state == InStep {
					continue
				}
				row := Row{Relay: r.name, State: p.state, Since: p.since, Behind: p.behind, Intent: p.intent, Applied: p.has}
				if p.trouble != nil {
					row.Why, row.Evidence = p.trouble.why, slices.Clone(p.trouble.evidence)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// History is the last changes, oldest first.
func (w *Watch) History() []Change { return slices.Clone(w.history) }

// rank orders what drifts by how much it is to be mistrusted.
var rank = map[State]int{Contradicts: 6, GoneBack: 5, Ahead: 4, Refused: 3, Late: 2, Local: 1}

// worst is the pair of a relay that ranks highest, the longest in it, then by name.
func (r *relay) worst() (worst *pair) {
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if rank[p.state] > 0 && (worst == nil || rank[p.state] > rank[worst.state] || rank[p.state] == rank[worst.state] && p.since < worst.since) {
				worst = p
			}
		}
	}
	return worst
}

// Blocks says why a release must not step on, as to the relays that count: one of them is late or worse, or was not heard. "" if nothing. Who is on its way
// does not block; Lacking names it.
func (w *Watch) Blocks(relays []string) string {
	var why []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		switch {
		case r == nil:
			why = append(why, name+": nothing is known of it")
		case r.quiet:
			why = append(why, name+": not heard, "+r.silence())
		default:
			if p := r.worst(); p != nil {
				why = append(why, fmt.Sprintf("%s: %s %s, %s", name, p.intent.Name, p.state, p.trouble.why))
			}
		}
	}
	if len(why) > 3 {
		why = append(why[:3], fmt.Sprintf("and %d more", len(why)-3))
	}
	return strings.Join(why, "; ")
}

// Lacking is which of the relays are not known to be in step with an item.
func (w *Watch) Lacking(item string, relays []string) []string {
	var lack []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		if r == nil || r.quiet {
			lack = append(lack, name)
		} else if p := r.pair(item); p == nil || p.state != InStep {
			lack = append(lack, name)
		}
	}
	return lack
}

// Want is the groups of which a relay is asked for details: those whose digest is not the agreed one.
func (w *Watch) Want(relay string) []string {
	r := w.relays[relay]
	if r == nil || r.quiet {
		return nil
	}
	var want []string
	for _, g := range r.groups {
		if !g.matched {
			want = append(want, g.name)
		}
	}
	return want
}

// Reply is what to send a relay back; false if there is nothing to say.
func (w *Watch) Reply(relay string) (Reply, bool) {
	r := w.relays[relay]
	want := w.Want(relay)
	if r == nil || len(want) == 0 {
		return Reply{}, false
	}
	reply := Reply{Relay: r.name, Start: r.start, Seq: r.seq, Want: want}
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if (p.state == Late || p.state == GoneBack || p.state == Ahead) && p.agreed && len(reply.Tell) < tellMost {
				reply.Tell = append(reply.Tell, p.intent.Name)
			}
		}
	}
	return reply, true
}

// TakeOut is which relays are to take no clients because of drift: never more than the budget, those that are out by it already and still
// drift first, then the worst. An operator's own call takes nobody out, nor does silence.
func (w *Watch) TakeOut(budget int, out []string) []string {
	type candidate struct {
		name  string
		rank  int
		since int64
	}
	var list []candidate
	for _, r := range w.order {
		if p := r.worst(); p != nil && !r.quiet && p.state != Local {
			c := candidate{r.name, rank[p.state], p.since}
			if slices.Contains(out, r.name) {
				c.rank += 100
			}
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(-cmp.Compare(x.rank, y.rank), cmp.Compare(x.since, y.since), cmp.Compare(x.name, y.name))
	})
	var take []string
	for _, c := range list[:min(max(budget, 0), len(list))] {
		take = append(take, c.name)
	}
	slices.Sort(take)
	return take
}

// Bound is how long a version of an item's group may be on its way now, in ms.
func (w *Watch) Bound(group string) int64 {
	if p := w.paces[group]; p != nil {
		return p.bound
	}
	return w.all.bound
}

// Counts is what could not be used.
func (w *Watch) Counts() Counts { return w.counts }
