package core

import (
	"maps"
	"slices"
	"time"
)

// This file is the states of a request and the events that lead from one to the next. What each event does is in request.go.

// state is where a request stands.
type state uint8

const (
	placing    state = iota // nothing is out; the module looks for a member
	attempting              // its one attempt is out
	serving                 // it is answered, and its flow stands
	over                    // it is answered, and nothing of it is left
)

// out says whether a member holds an attempt or a flow of the request.
func (s state) out() bool { return s == attempting || s == serving }

// final says whether the request has its final answer.
func (s state) final() bool { return s == serving || s == over }

// event is what happens to a request.
type event uint8

const (
	begins   event = iota // an attempt starts
	stands                // the attempt is up
	ended                 // the attempt ended before it was up, or the flow did
	served                // the attempt was served to its end and never was up
	answered              // it is rejected or failed
	left                  // its client goes away
	moved                 // its client is asked to come again
	passed                // another process goes on with its flow
)

// transitions names every event that a state allows, and the state that it leads to.
var transitions = [...]map[event]state{
	placing:    {begins: attempting, answered: over, left: over},
	attempting: {stands: serving, ended: placing, served: over, answered: over, left: over},
	serving:    {ended: over, left: over, moved: over, passed: over},
	over:       {},
}

// step takes an event in. It returns whether the state allows it; if not, that is counted and nothing has changed.
func (c *Core) step(r *request, e event) bool {
	next, allowed := transitions[r.state][e]
	if !allowed {
		c.Counts.IgnoredEvents++
		return false
	}
	r.state = next
	if next == over {
		delete(c.requests, r.id)
	}
	return true
}

// request is one that has no final answer yet, or whose flow stands.
type request struct {
	Request
	id       ID
	v        Downstream
	deadline time.Duration
	state    state
	tries    int     // attempts that have begun
	sends    int     // that the module has asked for: it numbers attempts by them, barred ones too
	member   *member // of the attempt that is out, or of the open flow
	sent     time.Duration
	ran      *trace        // nil while no attempt may have run
	standing bool          // it came with the member that holds it
	leave    time.Duration // when a stop or a drain moves its flow; 0 if none does
	due      time.Duration // when it is moved since its member leaves; 0 if it does not, or the module says when
	owed     bool          // the module has asked for its move, and it was put off
}

// held is all requests in the order in which they came.
func (c *Core) held() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}
