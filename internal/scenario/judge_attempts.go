package scenario

import "time"

// memberState is the judge's record of one member.
type memberState struct {
	cores     float64       // at full capacity
	started   time.Duration // 0: before the run
	warmingUp bool          // the member was started during the run
	load      float64       // of its flows, in cores
	arrivals  []arrival     // in the current overload window
	down      bool          // overload has brought the member down
}

// arrival is an attempt at a member in slow start.
type arrival struct {
	at            time.Duration
	work          float64 // in processor seconds
	relayNotified bool    // discovery had sent the relay an update with this start of the member
}

// MemberStarted records the start of a member and its cores at full capacity. A start of 0 means
// that the member started before the run and has its full capacity.
func (j *Judge) MemberStarted(name string, cores float64, started time.Duration) {
	j.members[name] = &memberState{cores: cores, started: started, warmingUp: started > 0}
}

// AttemptStarted records an attempt that has reached a member, with its processor time and its load
// in cores. It returns true if the attempt overloads the member in slow start so that it goes down.
func (j *Judge) AttemptStarted(at time.Duration, id, relay, member string, work time.Duration, load float64) bool {
	r := j.requests[id]
	if r == nil {
		r = &request{relay: relay, sentAt: at, gaveUp: true}
		j.requests[id] = r
		j.addViolation(at, ForgedAnswer, relay, "request %s: attempt at member %s, but no client sent this request",
			id, member)
	}
	j.checkAttemptAllowed(at, id, r)
	r.attempts++
	r.lastAttempt = at
	if r.inFlight++; r.inFlight == 2 {
		r.overlapSince, r.overlapMember = at, member
	}
	if r.attempts > j.Rules.MaxAttempts {
		j.addViolation(at, TooManyAttempts, relay, "request %s: attempt %d, limit %d", id, r.attempts, j.Rules.MaxAttempts)
	}
	update := j.memberUpdates[relayMember{relay, member}]
	if update.drainsSince > 0 && at > update.drainsSince+j.Rules.DrainGrace+j.tolerance() {
		j.addViolation(at, SentToDraining, relay, "request %s: attempt %d ms after the relay was notified that member %s drains",
			id, (at - update.drainsSince).Milliseconds(), member)
	}
	m := j.members[member]
	if m == nil || m.down {
		return false
	}
	m.load += load
	if !m.warmingUp || at-m.started > j.Rules.SlowStart.For {
		return false
	}
	m.arrivals = append(m.arrivals, arrival{at, work.Seconds(), update.started == m.started})
	return j.checkOverload(at, member, m)
}

// checkAttemptAllowed checks whether a request may have another attempt now.
func (j *Judge) checkAttemptAllowed(at time.Duration, id string, r *request) {
	if r.clientLeft > 0 && at > r.clientLeft+maxAfterClientGone+j.tolerance() {
		j.addViolation(at, SentForGoneClient, r.relay, "request %s: attempt %v after its client left", id, at-r.clientLeft)
	}
	outsideWindow := r.effect.Kind == IdempotencyKey && at > r.mayHaveRun+r.effect.Window+j.tolerance()
	if r.mayHaveRun > 0 && (r.effect.Kind == NonIdempotent || outsideWindow) {
		j.addViolation(at, DisallowedRepeat, r.relay, "request %s: attempt %v after the first one that may have run",
			id, at-r.mayHaveRun)
	}
}

// checkOverload sums the work that was sent to a member in slow start within the overload window. It
// returns true if that brings the member down. That is a violation only if relays that had been
// notified of the member's start sent at least two thirds of the work: others could not know that
// the member is in slow start.
func (j *Judge) checkOverload(at time.Duration, member string, m *memberState) bool {
	for len(m.arrivals) > 0 && m.arrivals[0].at <= at-j.Rules.OverloadWindow {
		m.arrivals = m.arrivals[1:]
	}
	work, notifiedWork := 0.0, 0.0
	for _, a := range m.arrivals {
		if work += a.work; a.relayNotified {
			notifiedWork += a.work
		}
	}
	window := j.Rules.OverloadWindow.Seconds()
	capacity := m.cores * j.Rules.SlowStart.Share(at-m.started) * window
	if j.Rules.OverloadFactor <= 0 || work+m.load*window <= j.Rules.OverloadFactor*capacity {
		return false
	}
	m.down = true
	if work == 0 || notifiedWork >= work*2/3 {
		j.addViolation(at, OverloadedInSlowStart, "",
			"member %s: %.2f s of work and flows with a load of %.2f cores, capacity %.2f s of work in %.1f s",
			member, work, m.load, capacity, window)
	}
	return true
}

// checkOverlap checks how long two attempts of a request were in flight together, until now. A short
// overlap is allowed because the end of one attempt and the start of the next are observed at two
// sockets, in either order.
func (j *Judge) checkOverlap(at time.Duration, id string, r *request) {
	if at-r.overlapSince > j.tolerance() {
		j.addViolation(r.overlapSince, ConcurrentAttempts, r.relay, "request %s: second attempt at member %s, overlap %v",
			id, r.overlapMember, at-r.overlapSince)
	}
}

// AttemptAccepted records the UP line with which a member accepts an attempt, before the line is
// sent.
func (j *Judge) AttemptAccepted(id, up string) {
	if r := j.requests[id]; r != nil {
		r.memberAnswer = up
	}
}

// AttemptEnded records the end of an attempt: whether the member ended it, and whether the member
// rejected it, which means that the request has not run.
func (j *Judge) AttemptEnded(at time.Duration, id, member string, load float64, endedByMember, rejected bool) {
	if r := j.requests[id]; r != nil {
		if !rejected && r.mayHaveRun == 0 {
			r.mayHaveRun = r.lastAttempt
		}
		if r.inFlight--; r.inFlight == 1 {
			j.checkOverlap(at, id, r)
		}
		if endedByMember && r.endedByMember == 0 {
			r.endedByMember = at
		}
	}
	if m := j.members[member]; m != nil {
		m.load -= load
	}
}
