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
	finished                // it is answered, and nothing of it is left
)

// out says whether a member holds an attempt or a flow of the request.
func (s state) out() bool { return s == attempting || s == serving }

// final says whether the request has its final answer.
func (s state) final() bool { return s == serving || s == finished }

// event is what happens to a request.
type event uint8

const (
	attemptStarted     event = iota // an attempt starts
	attemptEstablished              // the attempt is up
	attemptEnded                    // the attempt ended before it was up, or the flow did
	servedWithoutFlow               // the attempt was served to its end and never was up
	answered                        // it is rejected or failed
	clientGone                      // its client goes away
	migrated                        // its client is asked to come again
	handedOver                      // another process goes on with its flow
)

// transitions names every event that a state allows, and the state that it leads to.
var transitions = [...]map[event]state{
	placing:    {attemptStarted: attempting, answered: finished, clientGone: finished},
	attempting: {attemptEstablished: serving, attemptEnded: placing, servedWithoutFlow: finished, answered: finished, clientGone: finished},
	serving:    {attemptEnded: finished, clientGone: finished, migrated: finished, handedOver: finished},
	finished:   {},
}

// transition takes an event in. It returns whether the state allows it; if not, that is counted and nothing has changed.
func (c *Core) transition(r *request, e event) bool {
	next, allowed := transitions[r.state][e]
	if !allowed {
		c.Counts.IgnoredEvents++
		return false
	}
	r.state = next
	if next == finished {
		delete(c.requests, r.id)
	}
	return true
}

// request is one that has no final answer yet, or whose flow stands.
type request struct {
	Request
	id                ID
	downstream        Downstream
	deadline          time.Duration
	state             state
	attempts          int     // attempts that have begun
	policySends       int     // that the module has asked for: it numbers attempts by them, barred ones too
	member            *member // of the attempt that is out, or of the open flow
	sentAt            time.Duration
	firstRun          *firstRun     // nil while no attempt may have run
	preexisting       bool          // it came with the member that holds it
	migrateAt         time.Duration // when a stop or a drain moves its flow; 0 if none does
	memberMigrateAt   time.Duration // when it is moved since its member leaves; 0 if it does not, or the module says when
	migrationDeferred bool          // the module has asked for its move, and it was put off
}

// requestsInOrder is all requests in the order in which they came.
func (c *Core) requestsInOrder() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}
