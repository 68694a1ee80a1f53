package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	ms = time.Millisecond
	t0 = 100 * time.Second
)

// recorder keeps the actions that a Balancer requests.
type recorder struct {
	log        []string
	sends      []sentRequest
	answers    map[RequestID]string
	probes     []MemberID
	timers     []requestedTimer
	migrations []RequestID
	watches    int
}

type sentRequest struct {
	id      RequestID
	member  MemberID
	timeout time.Duration
}

type requestedTimer struct {
	delay time.Duration
	token uint64
}

func (r *recorder) logf(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf(format, args...))
}

func (r *recorder) Send(id RequestID, member MemberID, timeout time.Duration) {
	r.sends = append(r.sends, sentRequest{id, member, timeout})
	r.logf("send %d %d %v", id, member, timeout)
}

func (r *recorder) answer(id RequestID, answer string) {
	if r.answers == nil {
		r.answers = map[RequestID]string{}
	}
	r.answers[id] += answer
	r.logf("%s %d", answer, id)
}

func (r *recorder) Reject(id RequestID, _ time.Duration) { r.answer(id, "rejected") }

func (r *recorder) Fail(id RequestID) { r.answer(id, "failed") }

func (r *recorder) Cancel(id RequestID, attempt int) { r.logf("cancel %d %d", id, attempt) }

func (r *recorder) Migrate(id RequestID) {
	r.migrations = append(r.migrations, id)
	r.logf("migrate %d", id)
}

func (r *recorder) Probe(id MemberID) { r.probes = append(r.probes, id); r.logf("probe %d", id) }

func (r *recorder) Watch() { r.watches++; r.logf("watch") }

func (r *recorder) Timer(d time.Duration, token uint64) {
	r.timers = append(r.timers, requestedTimer{d, token})
	r.logf("timer %v %x", d, token)
}

// settings has two tenants, one class and one zone.
func settings() Settings {
	return Settings{
		Balancers: 1, Zones: 1,
		Classes: []Class{{LatencyObjective: 400 * ms, Deadline: 2 * time.Second, MessageLatencyObjective: 100 * ms, DedupWindow: 5 * time.Second}},
		Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}},
		Reports: ReportsOnProbe, CanProbe: true, CanCancel: true, MaxAttempts: 4,
		ConnectTimeout: 250 * ms, MaxPollInterval: 10 * time.Second, AnswerSlack: 20 * ms,
		SlowStartMinCapacity: 0.3, SlowStartDuration: 9 * time.Second, OverloadFactor: 3, ProbePrice: 0.002,
	}
}

// fleet returns n ready servers that are past their slow start, spread over the zones.
func fleet(n, zones int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: MemberID(1000 + 17*i), Zone: i % zones, Cell: i / 2, State: Ready, Weight: 1}
	}
	return list
}

// harness is a Balancer, the recorder of its actions, and the load reports of its servers.
type harness struct {
	*Balancer
	*recorder
	now         time.Duration
	load        map[MemberID]float64
	connections map[MemberID]float64
	next        RequestID
}

func newHarness(set Settings, list []Endpoint) *harness {
	rec := &recorder{}
	h := &harness{recorder: rec, now: t0, load: map[MemberID]float64{}, connections: map[MemberID]float64{}}
	h.Balancer = New(set, 7, rec)
	h.Start()
	h.UpdateEndpoints(t0, ListCached, list)
	return h
}

// answerProbes answers all pending probes.
func (h *harness) answerProbes() {
	for len(h.probes) > 0 {
		id := h.probes[0]
		h.probes = h.probes[1:]
		connections, ok := h.connections[id]
		if !ok {
			connections = 10
		}
		h.ProbeResult(h.now, id, OK, Report{Connections: connections, Load: h.load[id], Util: -1})
	}
}

// submit passes a request to the Balancer and answers the probes that it causes.
func (h *harness) submit(q Request) RequestID {
	h.next++
	q.ID = h.next
	if q.Deadline == 0 {
		q.Deadline = h.now + 2*time.Second
	}
	if q.Load == 0 {
		q.Load = 1
	}
	h.Request(h.now, q)
	h.answerProbes()
	return q.ID
}

// memberOf returns the member of a request's latest attempt, 0 if it has none.
func (h *harness) memberOf(id RequestID) MemberID {
	var member MemberID
	for _, s := range h.sends {
		if s.id == id {
			member = s.member
		}
	}
	return member
}

// fireTimers fires the timers that are due within d, in the order in which they were requested.
func (h *harness) fireTimers(d time.Duration) {
	due := h.timers
	h.timers = nil
	for _, t := range due {
		if t.delay <= d {
			h.Balancer.Timer(h.now+t.delay, t.token)
			h.answerProbes()
		} else {
			h.timers = append(h.timers, t)
		}
	}
}

func (h *harness) isHome(tenant int, id MemberID) bool {
	return slices.ContainsFunc(h.homeSlice(tenant), func(m *member) bool { return m.ID == id })
}

// siteSettings are settings as sites have them: two classes of different priority weight, without and with zones and groups.
func siteSettings() map[string]Settings {
	few := settings()
	few.Classes = append(few.Classes, few.Classes[0])
	few.Classes[0].PriorityWeight, few.Classes[1].PriorityWeight = 2, 1
	wide := few
	wide.Balancers, wide.OverloadWindow, wide.Groups, wide.Zones = 4, time.Second, true, 4
	return map[string]Settings{"few": few, "zones and groups": wide}
}
