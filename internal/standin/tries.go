package standin

import (
	"fmt"
	"sync"
)

// Tries counts the attempts of each request over all pool members.
type Tries struct {
	mu       sync.Mutex
	out      map[string]int
	all      map[string]int
	overlaps int
}

// NewTries counts from nothing.
func NewTries() *Tries { return &Tries{out: map[string]int{}, all: map[string]int{}} }

// Begin and End are an attempt's.
func (c *Tries) Begin(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[id]++
	if c.out[id]++; c.out[id] > 1 {
		c.overlaps++
	}
}

// End is called once for each Begin.
func (c *Tries) End(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out[id]--
}

// Broken lists the rules that were broken: two attempts out at once, or more than three.
func (c *Tries) Broken() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overlaps > 0 {
		all = append(all, fmt.Sprintf("%d overlapping attempts", c.overlaps))
	}
	for id, n := range c.all {
		if n > 3 {
			all = append(all, fmt.Sprintf("request %s had %d attempts", id, n))
		}
	}
	return all
}
