package gossip

import "time"

// BudgetDivisor is by how many relays a budget is divided that all of them share, such as the one for members in slow
// start. It does no I/O. docs/design/peers.md, "What it changes", has why no group of relays that cannot see each other
// can spend more than a third over the budget together, which is what the decision module leaves of the rule.
type BudgetDivisor struct {
	Configured int // relays

	current, target float64
	changedAt       time.Duration // when current or target last changed
	allKnown        bool          // every configured relay was once known to be alive or down
}

const (
	maxDecrease      = 0.2             // the divisor falls by such a part at most
	decreaseInterval = 5 * time.Second // in this time: by then those on the other side of a partition know that they are few
	minorityFactor   = 2.0             // a relay that sees no majority takes this part of its budget: the others may not count it
	maxOverspend     = 1.2             // times the budget, by what is computed here; the decision module leaves a third
)

// Update returns the divisor, given how many relays are alive, this one included, and how many are known for certain to be
// down. It rises at once, which is the safe side, and falls in steps.
func (d *BudgetDivisor) Update(now time.Duration, live, down int) float64 {
	configured := float64(d.Configured)
	alive := min(float64(live), configured)
	// Relays known to be down may be back on the far side of a partition, and take plain parts if they are a majority by themselves.
	target := alive / min(1, maxOverspend-(configured-alive)/configured)
	majority := 2*float64(live) > max(configured-float64(down), 1)
	if !majority {
		target = minorityFactor * configured
	}
	if d.current == 0 {
		d.current, d.changedAt = max(target, configured), now
	}
	if target != d.target {
		d.target, d.changedAt = target, now // while the view still changes the divisor does not fall
	}
	if majority && live+down >= d.Configured && d.current <= configured && target < d.current {
		d.current, d.changedAt = target, now // no relay is merely silent: those that are down for certain spend nothing, so it need not wait
	}
	if d.allKnown = d.allKnown || live+down >= d.Configured; !d.allKnown {
		target = max(target, configured) // just started: relays that it does not know yet may take it for down, and divide by fewer
	}
	if target >= d.current {
		d.current, d.changedAt = target, now
	} else if steps := int((now - d.changedAt) / decreaseInterval); steps > 0 {
		d.decrease(target, steps)
		d.changedAt += time.Duration(steps) * decreaseInterval
	}
	return d.current
}

// decrease lowers the divisor towards its target by so many steps.
func (d *BudgetDivisor) decrease(target float64, steps int) {
	configured := float64(d.Configured)
	for range min(steps, 64) { // more than it takes to get there
		if d.current > configured {
			d.current = max(configured, target) // out of a minority: as at its start
		} else {
			d.current = max(d.current*(1-maxDecrease), target)
		}
	}
}
