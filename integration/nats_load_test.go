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

// longDeadlineSettings returns settingsText with deadlines so long that a busy machine does not make the
// relay reject requests because of them. With probes false the relay makes no health checks, so that a
// busy machine does not make it eject members either.
func longDeadlineSettings(probes bool) json.RawMessage {
	return json.RawMessage(strings.NewReplacer(`"deadline-ms":3000`, `"deadline-ms":25000`, `"deadline-ms":2000`, `"deadline-ms":25000`,
		`"probes":true`, fmt.Sprintf(`"probes":%v`, probes)).Replace(settingsText))
}

// natsRelay starts a relay whose only front is NATS, with front as further keys of that front, for the
// nodes of a cluster.
func natsRelay(t testing.TB, k *fakes.NATSCluster, front map[string]any) *relay {
	t.Helper()
	d := newDiscovery(t, natsMembers(k)...)
	set := map[string]any{"listen": "127.0.0.1:0", "class": "pay-status", "tenant": "water"}
	for key, v := range front {
		set[key] = v
	}
	return start(t, configure(t, d, map[string]any{"fronts": map[string]any{"nats": set}, "settings": longDeadlineSettings(true),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 24000}}), 1)
}

// TestNATSNoRejections: with idle members no publication of a client is rejected, whether it publishes
// at intervals or all at once, and whether members report load or not.
func TestNATSNoRejections(t *testing.T) {
	for name, front := range map[string]map[string]any{"members report load": {"load_subject": "node.load"}, "no load reports": {}} {
		t.Run(name, func(t *testing.T) {
			k := newCluster(t, 3)
			r := natsRelay(t, k, front)
			var mu sync.Mutex
			rejected, got := 0, 0
			c, err := nats.Connect("nats://"+r.addrs["nats"], nats.Timeout(eventTimeout), nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) {
				mu.Lock()
				rejected++
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
			const publications = 2300
			for i := range publications {
				if i < 60 { // at intervals first: the fault that this test guards against appeared at this pace
					time.Sleep(5 * time.Millisecond)
				}
				if err := c.Publish(fmt.Sprintf("status.%d", i%7), fmt.Append(nil, i)); err != nil {
					t.Fatal(err)
				}
			}
			if err := c.FlushTimeout(eventTimeout); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "all published messages to arrive", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return got == publications
			})
			if rejected > 0 {
				t.Errorf("%d of %d publications were rejected, want none", rejected, publications)
			}
			checkAttemptCounter(t, k.Attempts)
		})
	}
}
