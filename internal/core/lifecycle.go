package core

import (
	"maps"
	"slices"
	"time"
)

// This file defines the states of a request and the events that lead from one to the next. The
// effects of each event are in request.go.

// state is the state of a request.
type state uint8

const (
	placing    state = iota // no attempt is in flight; the policy looks for a member
	attempting              // its one attempt is in flight
	serving                 // it was answered as served, and its flow is open
	finished                // it has its final answer, and no attempt or flow is left
)

// atMember reports whether the request has an attempt or a flow at a member.
func (s state) atMember() bool { return s == attempting || s == serving }

// final reports whether the request has its final answer.
func (s state) final() bool { return s == serving || s == finished }

// event is what happens to a request.
type event uint8

const (
	attemptStarted     event = iota
	attemptEstablished       // the attempt has become an open flow
	attemptEnded             // the attempt ended without becoming a flow, or its flow ended
	servedWithoutFlow        // the attempt was served to its end without becoming a flow
	answered                 // it is rejected or failed
	clientGone               // its client went away
	migrated                 // its client is asked to reconnect
	handedOver               // another process continues its flow
)

// transitions lists, for each state, the events that are allowed and the states that they lead to.
var transitions = [...]map[event]state{
	placing: {attemptStarted: attempting, answered: finished, clientGone: finished},
	attempting: {attemptEstablished: serving, attemptEnded: placing, servedWithoutFlow: finished, answered: finished,
		clientGone: finished},
	serving:  {attemptEnded: finished, clientGone: finished, migrated: finished, handedOver: finished},
	finished: {},
}

// transition applies an event and returns true if the state allows it. Otherwise it only counts the
// event as ignored.
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

// request is a request that has no final answer yet or has an open flow.
type request struct {
	Request
	id          ID
	downstream  Downstream
	deadline    time.Duration
	state       state
	attempts    int     // begun so far
	policySends int     // sends decided by the policy, also blocked ones; the policy numbers attempts by them
	member      *member // of the attempt in flight, or of the open flow
	sentAt      time.Duration
	firstRun    *firstRun // nil if no attempt that has ended may have run
	preexisting bool      // its member had the flow before the request was opened or adopted here

	migrateAt         time.Duration // when a stop or drain of the relay migrates its flow; 0 for never
	memberMigrateAt   time.Duration // when its flow is migrated because its member is unavailable; 0 if no time is set
	migrationDeferred bool          // the policy has asked to migrate its flow, and that was deferred
}

// requestsInOrder returns all active requests in order of arrival.
func (c *Core) requestsInOrder() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}
