package gossip

import "time"

// BudgetDivisor is by how many relays a budget is divided that all of them share, as a budget for members that have just started
// is. It does no I/O. docs/design/peers.md, "What it changes", has why no group of relays that cannot see each other can
// spend more than a third over the budget together, which is what the decision module leaves of the rule.
type BudgetDivisor struct {
	Configured      int
	current, target float64
	changedAt       time.Duration
	complete        bool // it has once known of every relay that it lives or is down
}

const (
	maxDecrease      = 0.2             // at most such a part
	decreaseInterval = 5 * time.Second // in this time: by then those on the other side know that they are few
	minorityFactor   = 2.0             // who sees no majority takes this part of its budget: others may not count it
	maxOverBudget    = 1.2             // of the budget, at most, by what is reckoned here; the decision module leaves a third
)

// At is the divisor, given how many relays live, this one included, and how many are known for certain to be down.
func (d *BudgetDivisor) Update(now time.Duration, live, down int) float64 {
	all := float64(d.Configured)
	l := min(float64(live), all)
	// Who was known to be down may be back on the far side of a cut, and all that are there, a majority by themselves, take plain parts.
	want := l / min(1, maxOverBudget-(all-l)/all)
	majority := 2*float64(live) > max(all-float64(down), 1)
	if !majority {
		want = minorityFactor * all
	}
	if d.current == 0 {
		d.current, d.changedAt = max(want, all), now
	}
	if want != d.target {
		d.target, d.changedAt = want, now // a view that still changes is no ground to take more
	}
	if majority && live+down >= d.Configured && d.current <= all && want < d.current {
		d.current, d.changedAt = want, now // nobody is merely silent: who is down for certain spends nothing, and that needs no waiting
	}
	if d.complete = d.complete || live+down >= d.Configured; !d.complete {
		want = max(want, all) // just started: those that it has not heard of may hold it for down, and divide by fewer
	}
	if want >= d.current {
		d.current, d.changedAt = want, now // at once: it is the cautious side
	} else if steps := int((now - d.changedAt) / decreaseInterval); steps > 0 {
		for range min(steps, 64) {
			if next := d.current * (1 - maxDecrease); d.current > all {
				d.current = max(all, want) // who was alone, as at its start
			} else {
				d.current = max(next, want)
			}
		}
		d.changedAt += time.Duration(steps) * decreaseInterval
	}
	return d.current
}
