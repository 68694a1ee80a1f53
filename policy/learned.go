package policy

import (
	"math"
	"time"
)

// This file passes what a Balancer has learned to its successor; it makes no decisions. Times are
// stored as ages, since the clocks of the two Balancers differ. The JSON names are a stored format:
// snapshots and upgrades use them.

// LearnedState is the state that a successor takes over from a Balancer.
type LearnedState struct {
	MeanLoad          float64   `json:"MeanLoad"`
	ClassLoad         []float64 `json:"ClassLoad"`
	LendingThresholds []float64 `json:"Lent"` // per tenant: of the members it owns
	ZoneFill          []float64 `json:"Fill"` // per zone
	// Kinds holds two sums per kind: of the connections, and of load times weight.
	Kinds         map[int][2]float64         `json:"Kinds"`
	AdmissionRate float64                    `json:"Daring"`
	Members       map[MemberID]LearnedMember `json:"Servers"`
	Age           time.Duration              `json:"Ago"` // time since this state was learned
}

// LearnedMember is the state that a successor takes over about one member.
type LearnedMember struct {
	Capacity float64       `json:"Capacity"`
	Reports  float64       `json:"Reports"`
	Load     float64       `json:"Load"` // load of its latest report; negative without a report
	Age      time.Duration `json:"Age"`  // age of that report
	Failures int           `json:"Fails"`
	Ejected  bool          `json:"Bad"`
	Backoff  time.Duration `json:"Pause"` // time until the next attempt is allowed
	Uptime   time.Duration `json:"Up"`    // time since its start; 0 if unknown or long ago
}

// LearnedState returns what the Balancer has learned; ages are relative to now.
func (f *Facade) LearnedState(now time.Duration) LearnedState {
	b := f.balancer
	l := LearnedState{MeanLoad: b.meanLoad, ClassLoad: b.classLoad, LendingThresholds: b.lendingThresholds,
		Kinds: map[int][2]float64{}, AdmissionRate: b.admissionRate, Members: map[MemberID]LearnedMember{}}
	for _, z := range b.zones {
		l.ZoneFill = append(l.ZoneFill, z.fill)
	}
	for kind, k := range b.kinds {
		l.Kinds[kind] = [2]float64{k.connections, k.weightedLoad}
	}
	for _, m := range b.members {
		learned := LearnedMember{Capacity: m.capacity, Reports: m.reportCount, Load: -1, Failures: m.failures,
			Ejected: m.ejected, Backoff: max(m.retryAt-now, 0)}
		if m.hasReport && m.report.Load <= math.MaxFloat64 {
			learned.Load, learned.Age = m.report.Load, now-m.reportChangedAt
		}
		if m.Started != 0 {
			learned.Uptime = now - m.Started
		}
		l.Members[m.ID] = learned
	}
	return l
}

// Restore takes over the state of another Balancer of the same deployment. It is called after the
// first EndpointList. Per-class, per-tenant and per-zone values are ignored if their numbers differ
// from the settings, and members that are unlisted or have restarted since are ignored.
func (f *Facade) Restore(now time.Duration, l LearnedState) {
	b := f.balancer
	if len(l.ClassLoad) == len(b.classLoad) && len(l.LendingThresholds) == len(b.lendingThresholds) &&
		len(l.ZoneFill) == len(b.zones) {
		copy(b.classLoad, l.ClassLoad)
		copy(b.lendingThresholds, l.LendingThresholds)
		for i, fill := range l.ZoneFill {
			b.zones[i].fill = fill
		}
		b.meanLoad, b.admissionRate = l.MeanLoad, l.AdmissionRate
	}
	for id, k := range l.Kinds {
		b.kinds[id] = &kind{k[0], k[1]}
	}
	for _, m := range b.members {
		learned, known := l.Members[m.ID]
		if !known || m.Started != 0 && m.Started > now-l.Age { // it has restarted since
			continue
		}
		m.capacity, m.reportCount = learned.Capacity, learned.Reports
		if up := now - learned.Uptime; learned.Uptime > 0 && up > m.Started {
			m.Started = up
		}
		m.failures, m.ejected, m.retryAt = learned.Failures, learned.Ejected, now+learned.Backoff
		if learned.Load >= 0 {
			m.report, m.hasReport = Report{Connections: -1, Load: learned.Load, Util: -1, Backlog: -1}, true
			m.reportChangedAt, m.reportedAt = now-learned.Age, now-learned.Age
		}
	}
}
