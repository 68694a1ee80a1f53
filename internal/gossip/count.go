package gossip

import "time"

// BudgetDivisor is by how many relays a budget is divided that all of them share, as a budget for members that have just started
// is. It does no I/O. docs/design/peers.md, "What it changes", has why no group of relays that cannot see each other can
// spend more than a third over the budget together, which is what the decision module leaves of the rule.
type BudgetDivisor struct {
	Configured int
	now, want  float64
	at         time.Duration
	whole      bool // it has once known of every relay that it lives or is down
}

const (
	fall      = 0.2             // at most such a part
	fallEvery = 5 * time.Second // in this time: by then those on the other side know that they are few
	fewer     = 2.0             // who sees no majority takes this part of its budget: others may not count it
	over      = 1.2             // of the budget, at most, by what is reckoned here; the decision module leaves a third
)

// At is the divisor, given how many relays live, this one included, and how many are known for certain to be down.
func (d *BudgetDivisor) Update(now time.Duration, live, down int) float64 {
	all := float64(d.Configured)
	l := min(float64(live), all)
	// Who was known to be down may be back on the far side of a cut, and all that are there, a majority by themselves, take plain parts.
	want := l / min(1, over-(all-l)/all)
	majority := 2*float64(live) > max(all-float64(down), 1)
	if !majority {
		want = fewer * all
	}
	if d.now == 0 {
		d.now, d.at = max(want, all), now
	}
	if want != d.want {
		d.want, d.at = want, now // a view that still changes is no ground to take more
	}
	if majority && live+down >= d.Configured && d.now <= all && want < d.now {
		d.now, d.at = want, now // nobody is merely silent: who is down for certain spends nothing, and that needs no waiting
	}
	if d.whole = d.whole || live+down >= d.Configured; !d.whole {
		want = max(want, all) // just started: those that it has not heard of may hold it for down, and divide by fewer
	}
	if want >= d.now {
		d.now, d.at = want, now // at once: it is the cautious side
	} else if steps := int((now - d.at) / fallEvery); steps > 0 {
		for range min(steps, 64) {
			if next := d.now * (1 - fall); d.now > all {
				d.now = max(all, want) // who was alone, as at its start
			} else {
				d.now = max(next, want)
			}
		}
		d.at += time.Duration(steps) * fallEvery
	}
	return d.now
}
