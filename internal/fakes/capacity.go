package fakes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"dahliarudder/internal/scenario"
)

// Capacity is the load that a member can take. With the zero value the member takes any load without
// delay.
type Capacity struct {
	Cores          float64            // load at full capacity; 0: unlimited
	MaxConnections int                // 0: unlimited
	ConnectionWork time.Duration      // processor time for a new connection
	GroupWork      time.Duration      // additional processor time for a group's first connection
	SlowStart      scenario.SlowStart // ramp of the capacity after Start
	ReportInterval time.Duration      // maximum age of a load report
	ReportError    float64            // maximum relative error of a load report
	ReportFields   []string           // names of the fields that a load report contains
}

// The answer to a line is delayed by overloadDelay times the relative overload (load/capacity - 1),
// which is limited to maxOverload.
const (
	overloadDelay = time.Second
	maxOverload   = 2
)

// currentCores returns the member's capacity in cores, reduced during slow start. The caller holds the
// lock.
func (m *Member) currentCores(now time.Time) float64 {
	return m.Capacity.Cores * m.Capacity.SlowStart.Share(now.Sub(m.started))
}

// loadReport returns the member's load report. It reuses the last one for Capacity.ReportInterval.
func (m *Member) loadReport() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity.Cores == 0 {
		return fmt.Sprintf("x0=%.2f,x1=0,inflight=%d", 0.1+0.01*float64(len(m.flows)), len(m.flows))
	}
	now := time.Now()
	if m.report != "" && now.Sub(m.reportedAt) < m.Capacity.ReportInterval {
		return m.report
	}
	withError := func(v float64) float64 { return v * (1 + m.Capacity.ReportError*(2*rand.Float64()-1)) }
	var fields []string
	for _, name := range m.Capacity.ReportFields {
		switch name {
		case "x0":
			fields = append(fields, fmt.Sprintf("x0=%.4f", withError(m.load/m.currentCores(now))))
		case "x1":
			fields = append(fields, fmt.Sprintf("x1=%.4f", max(0, m.busyUntil.Sub(now).Seconds())))
		case "outstanding", "inflight":
			fields = append(fields, fmt.Sprintf("inflight=%d", len(m.flows)))
		}
	}
	m.report, m.reportedAt = strings.Join(fields, ","), now
	return m.report
}

// answerDelay returns the delay before a line is answered. It grows with the overload.
func (m *Member) answerDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity.Cores == 0 {
		return 0
	}
	overload := m.load/m.currentCores(time.Now()) - 1
	return time.Duration(max(0, min(overload, maxOverload)) * float64(overloadDelay))
}

// admit adds a flow and blocks until the member has done the work of the new connection. It returns
// false, without adding the flow, if the member has its maximum number of connections.
func (m *Member) admit(c net.Conn, f *flow) bool {
	m.mu.Lock()
	if m.Capacity.MaxConnections > 0 && len(m.flows) >= m.Capacity.MaxConnections {
		m.mu.Unlock()
		return false
	}
	m.flows[c] = f
	m.groups[f.Group]++
	m.load += f.Load
	now := time.Now()
	if m.Capacity.Cores > 0 {
		if m.busyUntil.Before(now) {
			m.busyUntil = now
		}
		m.busyUntil = m.busyUntil.Add(time.Duration(float64(f.Work) / m.currentCores(now)))
	}
	wait := m.busyUntil.Sub(now)
	m.mu.Unlock()
	time.Sleep(wait)
	return true
}

// release removes a flow that admit has added.
func (m *Member) release(c net.Conn, f *flow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.flows, c)
	m.load -= f.Load
	if m.groups[f.Group]--; m.groups[f.Group] == 0 {
		delete(m.groups, f.Group)
	}
}
