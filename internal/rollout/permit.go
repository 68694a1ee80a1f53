package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	maxPermitDurationMS = 7 * 24 * 3600 * 1000 // 7 days
	permitRetryMS       = 1000                 // the leader plans several times a second
	// permitRequestTimeoutMS is the time after which a waiting permit expires if its request is not
	// repeated.
	permitRequestTimeoutMS = 30 * permitRetryMS
)

// PermitState is the state of a permit.
type PermitState string

// States of a permit.
const (
	PermitWaiting PermitState = "wait"
	PermitGranted PermitState = "granted"
	PermitBegun   PermitState = "begun"
)

// Permit lets a requester outside the fleet take one relay or member down for a while. It waits until the
// leader grants it; its holder then begins it.
type Permit struct {
	Number      uint64      `json:"number"`
	Kind        Kind        `json:"kind"`
	Name        string      `json:"name"`
	Zone        string      `json:"zone,omitempty"`
	Holder      string      `json:"who"`
	Reason      string      `json:"why,omitempty"`
	DurationMS  int64       `json:"for"`
	State       PermitState `json:"state"`
	RequestedAt int64       `json:"asked"`            // time of the latest request
	StateSince  int64       `json:"at,omitempty"`     // when it was granted or begun
	WindowMS    int64       `json:"window,omitempty"` // Budgets.PermitWindowMS when it was granted
	// Granted: latest time to begin; begun: latest time to take the target down; by the record's
	// time.
	ExpiresAt  int64   `json:"until,omitempty"`
	ReturnedAt int64   `json:"given,omitempty"`
	ClockDrift float64 `json:"clock,omitempty"`
}

// inForce reports whether the permit's target counts as out: its holder may take it down now or after
// beginning the permit.
func (p *Permit) inForce() bool { return p.State == PermitGranted || p.State == PermitBegun }

// expired reports whether a granted permit was not begun in time, or a waiting one is no longer requested.
func (p *Permit) expired(at int64) bool {
	return p.State == PermitGranted && at > p.ExpiresAt || p.State == PermitWaiting && at-p.RequestedAt > permitRequestTimeoutMS
}

// requestPermit stores a request for a permit, which the leader grants later. A repeated request by the
// same requester for the same target gets the same permit.
func (rec *record) requestPermit(at int64, c *Command) Result {
	if c.TargetKind != KindRelay && c.TargetKind != KindMember || c.Name == "" || c.DurationMS <= 0 || c.DurationMS > maxPermitDurationMS {
		return reject("a permit is for a relay or a member, by name, for up to %d ms", maxPermitDurationMS)
	}
	if p := findFirst(rec.Permits, func(p *Permit) bool { return p.Kind == c.TargetKind && p.Name == c.Name }); p != nil {
		return rec.repeatPermitRequest(at, c, p)
	}
	if len(rec.Permits) >= MaxPermits {
		return reject("%d permits are asked for or in force", MaxPermits) // the limit on permits is reached
	}
	rec.Permits = append(rec.Permits, Permit{Number: rec.nextNumber(), Kind: c.TargetKind, Name: c.Name, Holder: c.Requester, Reason: c.Reason,
		DurationMS: c.DurationMS, State: PermitWaiting, RequestedAt: at})
	p := &rec.Permits[len(rec.Permits)-1]
	return Result{State: string(PermitWaiting), Number: p.Number, RetryAfterMS: permitRetryMS, Reason: rec.permitWaitReason(p)}
}

// repeatPermitRequest answers a request for a target that already has a permit.
func (rec *record) repeatPermitRequest(at int64, c *Command, p *Permit) Result {
	if p.Holder != c.Requester {
		return Result{State: string(PermitWaiting), RetryAfterMS: permitRetryMS, Reason: fmt.Sprintf("%s holds permit %d for it", p.Holder, p.Number)}
	}
	result := Result{State: string(p.State), Number: p.Number}
	switch {
	case p.State == PermitWaiting:
		p.RequestedAt, result.RetryAfterMS, result.Reason = at, permitRetryMS, rec.permitWaitReason(p)
	case p.State == PermitGranted && at < p.StateSince+p.WindowMS:
		result.RemainingMS = p.StateSince + p.WindowMS - at
	case p.State == PermitGranted: // about to expire
		result.State, result.RetryAfterMS, result.Reason = string(PermitWaiting), permitRetryMS, "it was not begun in time"
	}
	return result
}

// permitWaitReason returns why a permit waits, as far as the record shows: what is out by plan, and how
// many permits for the same kind wait ahead of it.
func (rec *record) permitWaitReason(p *Permit) string {
	out := rec.plannedOut(p.Kind)
	var names []string
	for _, x := range out {
		if len(names) < 8 {
			names = append(names, x.Name)
		}
	}
	ahead := 0
	for i := range rec.Permits {
		if x := &rec.Permits[i]; x.State == PermitWaiting && x.Kind == p.Kind && x.Number < p.Number {
			ahead++
		}
	}
	return fmt.Sprintf("out by plan: %d %v; waiting before it: %d", len(out), names, ahead)
}

// beginPermit begins a granted permit. It takes the permit's number, so that an outdated call has no effect.
func (rec *record) beginPermit(at int64, c *Command) Result {
	p := rec.findPermit(c.PermitNumber)
	switch {
	case p == nil:
		return rejectUnknownPermit(c.PermitNumber)
	case p.State == PermitWaiting:
		return reject("permit %d is not granted", p.Number)
	case p.State == PermitGranted && at > p.ExpiresAt:
		return reject("permit %d was not begun in time", p.Number)
	case p.State == PermitGranted:
		p.State, p.StateSince, p.ExpiresAt = PermitBegun, at, at+onSlowestClock(p.WindowMS, p.ClockDrift)
	}
	rec.Version++
	return Result{Number: p.Number, State: string(p.State)}
}

// returnPermit ends a permit that was not begun. A begun permit stays until others see its target in full
// service. The state "given" in the answer means returned.
func (rec *record) returnPermit(at int64, c *Command) Result {
	p := rec.findPermit(c.PermitNumber)
	switch {
	case p == nil:
		return rejectUnknownPermit(c.PermitNumber)
	case p.State == PermitBegun && p.ReturnedAt > 0:
		return Result{Number: p.Number, State: string(p.State)}
	case p.State != PermitBegun:
		rec.removePermit(c.PermitNumber)
		rec.Version++
		return Result{Number: c.PermitNumber, State: "given"}
	}
	p.ReturnedAt = at
	rec.Version++
	return Result{Number: p.Number, State: string(p.State)}
}

func rejectUnknownPermit(number uint64) Result {
	return reject("there is no permit %d, or no more", number)
}

func (rec *record) removePermit(number uint64) {
	rec.Permits = slices.DeleteFunc(rec.Permits, func(p Permit) bool { return p.Number == number })
}

// expirePermits removes those of the given permits that have expired.
func (rec *record) expirePermits(at int64, c *Command) Result {
	n := len(rec.Permits)
	rec.Permits = slices.DeleteFunc(rec.Permits, func(p Permit) bool { return slices.Contains(c.PermitNumbers, p.Number) && p.expired(at) })
	if len(rec.Permits) == n {
		return reject("none of these is void") // none of the given permits has expired
	}
	rec.Version++
	return Result{}
}

// onSlowestClock returns how much time may really pass while the slowest allowed clock counts ms.
func onSlowestClock(ms int64, drift float64) int64 { return ms + int64(math.Ceil(float64(ms)*drift)) }
