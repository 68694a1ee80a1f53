package gossip

import "time"

// BudgetDivisor computes the number of relays by which a shared budget, such as the one for members
// in slow start, is divided. It does no I/O. Groups of relays that cannot see each other together
// exceed the budget by at most a third, which is the margin that the decision module leaves below
// the limit; docs/design/peers.md, "What it changes", explains why.
type BudgetDivisor struct {
	Configured int // relays

	current, target float64
	changedAt       time.Duration // when current or target last changed
	allKnown        bool          // every configured relay has been seen alive or down at some time
}

const (
	// maxDecrease is the largest part by which the divisor falls in one decreaseInterval.
	maxDecrease = 0.2
	// decreaseInterval is the time between two decreases. Within it the relays on the other side of
	// a partition notice that they are in the minority.
	decreaseInterval = 5 * time.Second
	// minorityFactor times the configured number of relays is the divisor of a relay that does not
	// see a majority: the others may not count it.
	minorityFactor = 2.0
	// maxOverspend, times the budget, is the most that this computation lets all relays use
	// together. The decision module leaves a margin of a third.
	maxOverspend = 1.2
)

// Update returns the divisor, given the number of relays that are alive, this one included, and the
// number that are certain to be down. The divisor rises at once, which is safe, and falls in steps.
func (d *BudgetDivisor) Update(now time.Duration, live, down int) float64 {
	configured := float64(d.Configured)
	alive := min(float64(live), configured)
	// Relays that look down may have returned on the other side of a partition. If they form a
	// majority there, they use full shares, so this side divides by more than its live count.
	target := alive / min(1, maxOverspend-(configured-alive)/configured)
	majority := 2*float64(live) > max(configured-float64(down), 1)
	if !majority {
		target = minorityFactor * configured
	}
	if d.current == 0 {
		d.current, d.changedAt = max(target, configured), now
	}
	if target != d.target {
		d.target, d.changedAt = target, now // the divisor does not fall while the view still changes
	}
	if majority && live+down >= d.Configured && d.current <= configured && target < d.current {
		// Every relay that does not answer is certain to be down and uses no budget: no need to wait.
		d.current, d.changedAt = target, now
	}
	if d.allKnown = d.allKnown || live+down >= d.Configured; !d.allKnown {
		// This relay has just started. Relays that it has not seen yet may consider it down and
		// divide by fewer.
		target = max(target, configured)
	}
	if target >= d.current {
		d.current, d.changedAt = target, now
	} else if steps := int((now - d.changedAt) / decreaseInterval); steps > 0 {
		d.decrease(target, steps)
		d.changedAt += time.Duration(steps) * decreaseInterval
	}
	return d.current
}

// decrease lowers the divisor towards target by the given number of steps.
func (d *BudgetDivisor) decrease(target float64, steps int) {
	configured := float64(d.Configured)
	for range min(steps, 64) { // enough steps to reach any target
		if d.current > configured {
			d.current = max(configured, target) // no longer in a minority: restart from the initial value
		} else {
			d.current = max(d.current*(1-maxDecrease), target)
		}
	}
}
