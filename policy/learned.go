package policy

import (
	"math"
	"time"
)

// This file passes what a Balancer has learned on to its successor. It decides nothing.
// Times are ages, since the two have clocks of their own. The JSON names are a stored
// form: snapshots and upgrades use them.

// LearnedState is what a successor takes over from a Balancer.
type LearnedState struct {
	MeanLoad          float64                    `json:"MeanLoad"`
	ClassLoad         []float64                  `json:"ClassLoad"`
	LendingThresholds []float64                  `json:"Lent"` // of each tenant's servers
	ZoneFill          []float64                  `json:"Fill"` // of each zone
	Kinds             map[int][2]float64         `json:"Kinds"`
	AdmissionRate     float64                    `json:"Daring"`
	Members           map[MemberID]LearnedMember `json:"Servers"`
	Age               time.Duration              `json:"Ago"` // when all this was learned
}

// LearnedMember is what a successor takes over about one member.
type LearnedMember struct {
	Capacity float64       `json:"Capacity"`
	Reports  float64       `json:"Reports"`
	Load     float64       `json:"Load"` // its last report's; negative for none
	Age      time.Duration `json:"Age"`  // of that report
	Failures int           `json:"Fails"`
	Ejected  bool          `json:"Bad"`
	Backoff  time.Duration `json:"Pause"` // until it may be tried again
	Uptime   time.Duration `json:"Up"`    // since its start; 0 if long ago
}

// LearnedState is what b has learned.
func (f *Facade) LearnedState(now time.Duration) LearnedState {
	b := f.balancer
	l := LearnedState{MeanLoad: b.meanLoad, ClassLoad: b.classLoad, LendingThresholds: b.lendingThresholds,
		Kinds: map[int][2]float64{}, AdmissionRate: b.admissionRate, Members: map[MemberID]LearnedMember{}}
	for _, z := range b.zones {
		l.ZoneFill = append(l.ZoneFill, z.fill)
	}
	for kind, k := range b.kinds {
		l.Kinds[kind] = [2]float64{k.inflight, k.capacity}
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

// Restore takes over what another Balancer has learned of the same deployment. It is
// called after the first EndpointList; what does not fit the settings is left out.
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
