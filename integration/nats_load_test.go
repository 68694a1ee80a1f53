package integration

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"dahliarudder/internal/fakes"
)

// patientSettings have classes with such long deadlines that nothing is rejected for them on a busy machine; where members have
// no health checks, it cannot have them ejected either.
func patientSettings(probes bool) json.RawMessage {
	return json.RawMessage(strings.NewReplacer(`"deadline-ms":3000`, `"deadline-ms":25000`, `"deadline-ms":2000`, `"deadline-ms":25000`,
		`"probes":true`, fmt.Sprintf(`"probes":%v`, probes)).Replace(settingsText))
}

// natsRelay starts a relay with the NATS front alone, set up so, before a cluster that counts
// nothing and reports no load.
func natsRelay(t testing.TB, k *fakes.NATSCluster, front map[string]any) *relay {
	t.Helper()
	d := newDiscovery(t, natsMembers(k)...)
	set := map[string]any{"listen": "127.0.0.1:0", "class": "pay-status", "tenant": "water"}
	for key, v := range front {
		set[key] = v
	}
	return start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": set}, "settings": patientSettings(true),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 24000}}), 1)
}

// TestNATSNoRejections: with idle members a client's publications are never rejected, paced or all at once, whether members
// report load or not.
func TestNATSNoRejections(t *testing.T) {
	for name, front := range map[string]map[string]any{"reports": {"load_subject": "node.load"}, "own view": {}} {
		t.Run(name, func(t *testing.T) {
			k := newCluster(t, 3)
			r := natsRelay(t, k, front)
			var mu sync.Mutex
			refused, got := 0, 0
			c, err := nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) {
				mu.Lock()
				refused++
				t.Log(err)
				mu.Unlock()
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			must[*nats.Subscription](t)(c.Subscribe("status.*", func(*nats.Msg) {
				mu.Lock()
				got++
				mu.Unlock()
			}))
			const many = 2300
			for i := range many {
				if i < 60 { // paced as in the report that this guards against
					time.Sleep(5 * time.Millisecond)
				}
				if err := c.Publish(fmt.Sprintf("status.%d", i%7), fmt.Append(nil, i)); err != nil {
					t.Fatal(err)
				}
			}
			if err := c.FlushTimeout(eventTimeout); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "all messages", func() bool { mu.Lock(); defer mu.Unlock(); return got == many })
			if refused > 0 {
				t.Errorf("%d of %d refused", refused, many)
			}
			checkAttemptCounter(t, k.Attempts)
		})
	}
}
