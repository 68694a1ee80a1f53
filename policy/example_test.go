package policy_test

import (
	"fmt"
	"time"

	"dahliarudder/policy"
)

// proxy stands for a proxy that carries out the actions. This one only prints them.
type proxy struct{ probes []policy.MemberID }

func (p *proxy) Send(id policy.RequestID, member policy.MemberID, timeout time.Duration) {
	fmt.Printf("connect client %d to server %d within %v\n", id, member, timeout)
}
func (p *proxy) Reject(id policy.RequestID, _ time.Duration) { fmt.Printf("reject client %d\n", id) }
func (p *proxy) Fail(id policy.RequestID)                    { fmt.Printf("fail client %d\n", id) }
func (p *proxy) Cancel(id policy.RequestID, attempt int) {
	fmt.Printf("cancel attempt %d of %d\n", attempt, id)
}
func (p *proxy) Migrate(id policy.RequestID)  { fmt.Printf("tell client %d to reconnect\n", id) }
func (p *proxy) Probe(member policy.MemberID) { p.probes = append(p.probes, member) }
func (p *proxy) Timer(time.Duration, uint64)  {} // a real proxy calls Balancer.Timer with the token after the delay
func (p *proxy) Watch()                       {} // a real proxy subscribes to the server list

func Example() {
	p := &proxy{}
	b := policy.New(policy.Settings{
		Balancers: 2, Zones: 1, MaxAttempts: 3, CanProbe: true, Reports: policy.ReportsOnProbe,
		Classes: []policy.Class{{LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second}},
		Tenants: []policy.Tenant{{Share: 0.7}, {Share: 0.3}},
	}, 1, p)
	b.Start()
	now := time.Hour // any monotonic clock
	b.UpdateEndpoints(now, policy.ListFull, []policy.Endpoint{{ID: 1, State: policy.Ready, Weight: 1}})
	b.Request(now, policy.Request{ID: 42, Tenant: 1, Deadline: now + 2*time.Second})
	for _, member := range p.probes { // a real proxy probes the servers and passes on their reports
		b.ProbeResult(now, member, policy.OK, policy.Report{Connections: 3, Load: 0.4, Util: -1})
	}
	b.Established(now+20*time.Millisecond, 42)
	b.AttemptEnded(now+time.Minute, policy.Outcome{ID: 42, Member: 1, Result: policy.Cancelled, Final: true,
		Report: policy.NoReport})
	// Output: connect client 42 to server 1 within 1.2s
}
