package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// readyLimit is the time within which nine of ten restarted relays must be ready.
const readyLimit = 10 * time.Second

// TestReadyInTime: relays that restart while discovery is down, slow, silent or closed, or whose snapshot
// is damaged, must be ready in time with the endpoint list from their configuration, and serve requests.
func TestReadyInTime(t *testing.T) {
	t.Parallel()
	for name, impair := range map[string]func(t *testing.T, d *discovery, dir string){
		"down":   func(_ *testing.T, d *discovery, _ string) { d.SetDown(true) },
		"slow":   func(_ *testing.T, d *discovery, _ string) { d.SetAnswerDelay(2 * time.Second) },
		"silent": func(_ *testing.T, d *discovery, _ string) { d.SetAnswerDelay(time.Hour) },
		"closed": func(_ *testing.T, d *discovery, _ string) { d.Close() },
		"damaged snapshot": func(t *testing.T, _ *discovery, dir string) {
			writeFile(t, filepath.Join(dir, "snapshot"), "half of one")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const relays = 10
			b := newFakeMember(t, "s-00000001", nil)
			d := newDiscovery(t, b.entry())
			dir := filepath.Join(t.TempDir(), "state")
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			var all []*relay
			impair(t, d, dir)
			startedAt := time.Now()
			for n := range relays {
				extra := map[string]any{"name": fmt.Sprint("n", n)}
				if name == "damaged snapshot" {
					extra["state"] = map[string]any{"dir": dir}
				}
				all = append(all, launch(t, configure(t, d, extra)))
			}
			slow := 0
			for n, r := range all {
				r.waitServing(1)
				c := r.dial()
				c.send("PING")
				c.wantLine("PONG")
				if took := time.Since(startedAt); took > readyLimit {
					slow++
				}
				r.openFlow(n, "").wantLine("UP ")
			}
			if slow > relays/10 {
				t.Errorf("%d of %d relays were ready after more than %v, want at most %d", slow, relays, readyLimit, relays/10)
			}
		})
	}
}
