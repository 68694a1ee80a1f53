package scenariorunner

import (
	"fmt"
	"math"
	"sync"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
)

// member is a pool member. The member that replaces it has the same index and the next generation.
type member struct {
	*fakes.Member
	name, zone  string
	index       int
	generation  int
	addrByRelay map[string]string
	entry       fakes.Entry
	inFlight    inFlight
}

// inFlight holds the IDs of the attempts in flight at a member by their source address. Both the
// member and a proxy may notice the end of an attempt; only the first notice is reported.
type inFlight struct {
	mu         sync.Mutex
	idByOrigin map[string]string
}

func (f *inFlight) add(origin, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idByOrigin[origin] = id
}

func (f *inFlight) lookup(origin string) (id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, ok = f.idByOrigin[origin]
	return id, ok
}

// remove removes an attempt and returns whether it was in flight.
func (f *inFlight) remove(origin, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.idByOrigin[origin] == id
	delete(f.idByOrigin, origin)
	return found
}

// defaultHostType is the host type of members if the settings define none.
const defaultHostType = "m1"

// newMember opens the listeners of a member and makes it the current one of its index. The
// generation is the number of earlier members with that index.
func (r *run) newMember(index, generation int) (*member, error) {
	zones := site(r.settings)
	linkName := fmt.Sprintf("s%d", index)
	m := &member{Member: fakes.NewMember(linkName), index: index, zone: zones.Zone(index), addrByRelay: map[string]string{}, generation: generation,
		inFlight: inFlight{idByOrigin: map[string]string{}}}
	if generation > 0 {
		m.Defect = r.successorDefect(zones)
		m.ID = fmt.Sprintf("s%d.%d", index, generation)
	}
	m.name = m.ID
	m.Capacity = r.memberCapacity(index)
	r.observe(m)
	for _, n := range r.relays {
		addr, err := m.Open(n.name)
		if err != nil {
			return nil, err
		}
		// While the link is cut, a closed connection is visible to the proxy but not to the member.
		onCallerClosed := func(from string) {
			if id, ok := m.inFlight.lookup(from); ok {
				r.attemptEnded(m, fakes.Attempt{ID: id, From: from}, false)
			}
		}
		if m.addrByRelay[n.name], err = r.route(n.name, linkName, addr, onCallerClosed); err != nil {
			return nil, err
		}
	}
	hostType := defaultHostType
	if all := r.settings.HostTypes; len(all) > 0 {
		hostType = all[index%len(all)]
	}
	m.entry = fakes.Entry{ID: m.ID, Addr: m.Addr(), Zone: m.zone, Kind: hostType, Lifecycle: fakes.Serving, Weight: 1}
	r.addMember(m)
	return m, nil
}

// successorDefect returns the defect of the members that replace others.
func (r *run) successorDefect(zones scenario.Site) fakes.Defect {
	d := r.File.Members.Defect
	defect := fakes.Defect{FailureRate: d.FailureRate, Delay: scenario.Millis(d.DelayMs)}
	for k, n := range r.relays {
		if d.Zone != "" && zones.Zone(k) == d.Zone {
			defect.Via = append(defect.Via, n.name)
		}
	}
	return defect
}

func (r *run) memberCapacity(index int) fakes.Capacity {
	f := r.File.Members
	return fakes.Capacity{Cores: r.plan.Cores[index], MaxConnections: f.MaxConnections, ConnectionWork: scenario.Millis(f.ConnectionWorkMs),
		GroupWork: scenario.Millis(f.GroupWorkMs), SlowStart: slowStart(r.settings), ReportInterval: scenario.Millis(f.ReportAgeMs),
		ReportError: f.ReportError, ReportFields: r.settings.Report.Names}
}

// observe connects the events of a member to the judge and the measures.
func (r *run) observe(m *member) {
	m.OnAttempt = func(a fakes.Attempt) {
		m.inFlight.add(a.From, a.ID)
		r.attemptStarted(m, a)
	}
	m.OnAccept = func(a fakes.Attempt, up string) { r.locked(func(time.Duration) { r.judge.AttemptAccepted(a.ID, up) }) }
	m.OnEnd = func(a fakes.Attempt, endedByMember bool) { r.attemptEnded(m, a, endedByMember) }
	m.OnConnection = func(via string) { r.locked(func(time.Duration) { r.usage[via].connections++ }) }
	m.OnProbe = func() { r.locked(func(at time.Duration) { r.probes.Add(at, 1) }) }
}

// addMember makes a member the current one of its index.
func (r *run) addMember(m *member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members[m.ID] = m
	if m.index < len(r.memberByIndex) {
		r.memberByIndex[m.index] = m
	} else {
		r.memberByIndex = append(r.memberByIndex, m)
	}
	r.memberLoad[m.ID] = &scenario.Peak{Window: time.Second}
	r.judge.MemberStarted(m.name, r.plan.Cores[m.index], 0)
}

// capacityShare returns the fraction of its full capacity that the member has at its age, which is
// below 1 in slow start. The caller holds the lock.
func (m *member) capacityShare(now time.Time) float64 {
	age := time.Duration(math.MaxInt64) // without a start time: past slow start
	if m.entry.Started > 0 {
		age = now.Sub(time.UnixMilli(m.entry.Started))
	}
	return m.Capacity.SlowStart.Share(age)
}

// attemptStarted records an attempt at a member. If the judge finds that it overloads the member in
// slow start, the member is killed.
func (r *run) attemptStarted(m *member, a fakes.Attempt) {
	down := false
	r.locked(func(at time.Duration) {
		down = r.judge.AttemptStarted(at, a.ID, a.Via, m.name, a.Work, a.Load)
		r.usage[a.Via].recordAttempt()
		if work := a.Work.Seconds(); work > 0 {
			r.memberLoad[m.ID].Add(at, work/(m.Capacity.Cores*m.capacityShare(time.Now())))
		}
	})
	if down {
		r.Progress("member %s goes down: it was overloaded during slow start", m.name)
		m.Kill()
	}
}

// attemptEnded records the end of an attempt, unless that is already recorded.
func (r *run) attemptEnded(m *member, a fakes.Attempt, endedByMember bool) {
	if m.inFlight.remove(a.From, a.ID) {
		r.locked(func(at time.Duration) { r.judge.AttemptEnded(at, a.ID, m.name, a.Load, endedByMember, a.Rejected) })
	}
}

// startMember starts a process of a member and publishes it in discovery as serving.
func (r *run) startMember(m *member) {
	now := time.Now()
	m.Start(now)
	r.mu.Lock()
	m.entry.Started, m.entry.Lifecycle = now.UnixMilli(), fakes.Serving
	r.judge.MemberStarted(m.name, r.plan.Cores[m.index], r.sinceStart(m.entry.Started))
	entry := m.entry
	r.mu.Unlock()
	r.discovery.Put(entry)
}

// memberAddr returns the address at which a relay reaches a member.
func (r *run) memberAddr(relay string, e fakes.Entry) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[e.ID]; m != nil {
		return m.addrByRelay[relay]
	}
	return e.Addr
}
