package drift

import (
	"cmp"
	"slices"
)

const (
	freshFor = 3 // words in which a change is told unasked: all of them are lost once in 8,000 at 5% loss, and the leader asks then
	wantFor  = 3 // words for which the leader's asking holds: it repeats it in each reply
	tellMost = 16
)

// Book is in which a relay notes what it has applied and counts what it does. All calls come from one goroutine.
type Book struct {
	relay      string
	start, seq uint64
	items      []entry // by group and name
	does       []Doing // by item and kind
	want       []string
	wantLeft   int
	next       string // after which name the next word's items begin, so that all get their turn
	nextDoing  int
}

type entry struct {
	Applied
	fresh int
}

// NewBook makes the book of a process. Start is above that of every process of this name before it, as a wall clock in milliseconds is.
func NewBook(relay string, start uint64) *Book {
	return &Book{relay: cut(relay, RelayMost), start: start}
}

func (b *Book) find(name string) (int, bool) {
	return slices.BinarySearchFunc(b.items, name, func(e entry, n string) int { return byGroup(e.Name, n) })
}

// set changes an item, or makes it. False: the name is none, or there is no room.
func (b *Book) set(name string, change func(*Applied)) bool {
	i, ok := b.find(name)
	if !ok {
		if name == "" || len(b.items) >= ItemsMost || cut(name, NameMost) != name || len(GroupOf(name)) > GroupMost {
			return false
		}
		b.items = slices.Insert(b.items, i, entry{Applied: Applied{Item: Item{Name: name}}})
		if len(b.groups()) > GroupsMost {
			b.items = slices.Delete(b.items, i, i+1)
			return false
		}
	}
	e := &b.items[i]
	was := e.Applied
	change(&e.Applied)
	if e.Applied != was {
		e.fresh = freshFor
	}
	return true
}

// Note says that an item was applied as agreed. It ends what was refused or local of it. False: there is no room.
func (b *Book) Note(now int64, item Item, from string) bool {
	return b.set(item.Name, func(a *Applied) {
		if a.Item != item || a.Local || a.RefusedVersion != 0 {
			*a = Applied{Item: item, Since: now, From: cut(from, FromMost)}
		}
	})
}

// Refuse says that a version was not taken, and why. What it runs stays.
func (b *Book) Refuse(now int64, item Item, from, why string) bool {
	return b.set(item.Name, func(a *Applied) {
		if a.RefusedVersion != item.Version || a.Refused != cut(why, WhyMost) {
			a.RefusedVersion, a.Refused = item.Version, cut(cmp.Or(why, "refused"), WhyMost)
			a.Since, a.From = now, cut(from, FromMost)
		}
	})
}

// Local says that an operator's call at this relay changed an item, by whom. Version and digest are what it runs now.
func (b *Book) Local(now int64, item Item, by string) bool {
	return b.set(item.Name, func(a *Applied) {
		if a.Item != item || !a.Local {
			*a = Applied{Item: item, Since: now, From: cut(by, FromMost), Local: true}
		}
	})
}

// Step says that the relay has come further with the next version of an item: it is slow, not stuck.
func (b *Book) Step(name string) {
	if i, ok := b.find(name); ok {
		b.items[i].Step++
	}
}

// Drop says that it runs no such item any more. It is told so for as long as any change is.
func (b *Book) Drop(name string) {
	if i, ok := b.find(name); ok {
		b.items[i] = entry{Applied{Item: Item{Name: b.items[i].Name}}, freshFor}
	}
}

// Count adds to what it did. Count what must not happen with 0 at the start, so that the first time is seen to be one. False: there is no room.
func (b *Book) Count(item, kind string, count, astray uint64) bool {
	i, ok := slices.BinarySearchFunc(b.does, Doing{Item: item, Kind: kind}, func(x, y Doing) int {
		return cmp.Or(cmp.Compare(x.Item, y.Item), cmp.Compare(x.Kind, y.Kind))
	})
	if !ok {
		if len(b.does) >= DoingsMost || item == "" || kind == "" || cut(item, NameMost) != item || cut(kind, NameMost) != kind {
			return false
		}
		b.does = slices.Insert(b.does, i, Doing{Item: item, Kind: kind})
	}
	b.does[i].Count += count
	b.does[i].Astray += astray
	return true
}

// Hear takes the leader's reply. It returns the items to be taken from the record anew.
func (b *Book) Hear(r Reply) (tell []string) {
	if r.Relay != b.relay || r.Start != b.start {
		return nil // meant for a process before this one
	}
	b.want, b.wantLeft = r.Want, wantFor
	return r.Tell
}

func (b *Book) groups() []Group {
	var list []Group
	for i := 0; i < len(b.items); {
		name := GroupOf(b.items[i].Name)
		var of []Applied
		for ; i < len(b.items) && GroupOf(b.items[i].Name) == name; i++ {
			of = append(of, b.items[i].Applied)
		}
		list = append(list, Group{name, DigestOf(of)})
	}
	return list
}

// Word is what to say now. Its encoding is no longer than WordMost: digests of all groups always; of what is left a third for what it did, the rest
// for items, changed ones first. What does not fit is told by the words after it.
func (b *Book) Word(now int64) Word {
	b.seq++
	w := Word{Relay: b.relay, Start: b.start, Seq: b.seq, At: now, Groups: b.groups()}
	left := WordMost - len(w.Encode())
	does := left / 3
	for range b.does {
		d := b.does[b.nextDoing%len(b.does)]
		size := 2 + len(d.append(nil))
		if size > does {
			break
		}
		does, left = does-size, left-size
		w.Does = append(w.Does, d)
		b.nextDoing = (b.nextDoing + 1) % len(b.does)
	}
	start, ok := b.find(b.next)
	if ok {
		start++
	}
	for _, fresh := range []bool{true, false} {
		for k := range b.items {
			e := &b.items[(start+k)%len(b.items)]
			if fresh != (e.fresh > 0) || !fresh && (b.wantLeft == 0 || !slices.Contains(b.want, GroupOf(e.Name))) ||
				slices.ContainsFunc(w.Items, func(a Applied) bool { return a.Name == e.Name }) {
				continue
			}
			size := 3 + len(e.Applied.append(nil, now))
			if size > left {
				break
			}
			left -= size
			w.Items = append(w.Items, e.Applied)
			e.fresh = max(e.fresh-1, 0)
			b.next = e.Name
		}
	}
	b.items = slices.DeleteFunc(b.items, func(e entry) bool { return e.none() && e.fresh == 0 })
	b.wantLeft = max(b.wantLeft-1, 0)
	return w
}
