package core

import (
	"maps"
	"slices"
	"time"
)

// This file holds the states of a request and the events that lead from one to the next. The effects of each event
// are in request.go.

// state is the state of a request.
type state uint8

const (
	placing    state = iota // nothing is in flight; the policy looks for a member
	attempting              // its one attempt is in flight
	serving                 // it is answered, and its flow is open
	finished                // it is answered, and nothing of it is left
)

// atMember reports whether a member holds an attempt or a flow of the request.
func (s state) atMember() bool { return s == attempting || s == serving }

// final reports whether the request has its final answer.
func (s state) final() bool { return s == serving || s == finished }

// event is what happens to a request.
type event uint8

const (
	attemptStarted     event = iota
	attemptEstablished       // the attempt has become an open flow
	attemptEnded             // the attempt ended before that, or the flow did
	servedWithoutFlow        // the attempt was served to its end without an open flow
	answered                 // it is rejected or failed
	clientGone               // its client went away
	migrated                 // its client is asked to reconnect
	handedOver               // another process goes on with its flow
)

// transitions has every event that a state allows, and the state that it leads to.
var transitions = [...]map[event]state{
	placing: {attemptStarted: attempting, answered: finished, clientGone: finished},
	attempting: {attemptEstablished: serving, attemptEnded: placing, servedWithoutFlow: finished, answered: finished,
		clientGone: finished},
	serving:  {attemptEnded: finished, clientGone: finished, migrated: finished, handedOver: finished},
	finished: {},
}

// transition applies an event. It returns whether the state allows it; if not, that is counted and nothing changes.
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

// request is a request without a final answer, or with an open flow.
type request struct {
	Request
	id          ID
	downstream  Downstream
	deadline    time.Duration
	state       state
	attempts    int     // that have begun
	policySends int     // sends that the policy decided on, blocked ones too: it numbers attempts by them
	member      *member // of the attempt in flight, or of the open flow
	sentAt      time.Duration
	firstRun    *firstRun // nil while no attempt may have run
	preexisting bool      // it came with the member that holds it

	migrateAt         time.Duration // when a stop or a drain of the relay migrates its flow; 0 for never
	memberMigrateAt   time.Duration // when the removal of its member does; 0 for never, or not before the policy decides
	migrationDeferred bool          // the policy has decided to migrate it, and that was deferred
}

// requestsInOrder is all requests in the order of their arrival.
func (c *Core) requestsInOrder() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}
