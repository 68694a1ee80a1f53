package gossiptransport

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/gossip"
	"dahliarudder/internal/netloop/looptest"
)

// freeAddress returns a loopback address whose port is currently free.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// newServices starts n services that can reach each other. Adding to steps[i] steps the wall clock of
// service i.
func newServices(t *testing.T, b *looptest.Harness, n int) (all []*Service, steps []time.Duration) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(t.Output())
	steps = make([]time.Duration, n)
	var seeds []string
	for i := range n {
		addr := freeAddress(t)
		s := New(Options{Loop: b.Loop, Log: log, Name: fmt.Sprint("n", i), Listen: addr, Address: addr, Seeds: seeds, Keys: gossip.Keys{[]byte("a key of thirty-two bytes or more")},
			Configured: n, Seed: uint64(i), WallClock: func() time.Time { return time.UnixMilli(1700000000000).Add(b.Loop.Now() + steps[i]) },
			LocalStatus:  func() (gossip.Phase, uint64, uint64, uint64) { return gossip.Serving, 1, 0, 0 },
			Observations: func() gossip.Digest { return gossip.Digest{} }, OnStaleList: func() {}, OnDivisorChange: func(float64) {}})
		if s.socket == nil {
			t.Fatalf("New could not listen on %s", addr)
		}
		seeds = []string{addr}
		t.Cleanup(s.Leave)
		all = append(all, s)
	}
	return all, steps
}

// TestWallClockSteps checks that relays whose wall clocks are stepped by an hour, forward or back, still
// accept each other's datagrams, so that budgets stay divided by all live relays.
func TestWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		b := looptest.New(t, 64)
		all, steps := newServices(t, b, 3)
		minLive := func() int {
			least := len(all)
			for _, s := range all {
				n, _ := s.BudgetDivisor()
				least = min(least, n)
			}
			return least
		}
		advance := func(d time.Duration) {
			for range int(d / (20 * time.Millisecond)) {
				b.Advance(20 * time.Millisecond)
			}
		}
		advance(10 * time.Second)
		if n := minLive(); n != len(all)-1 && n != len(all) {
			t.Fatalf("%d of %d relays are live before the first step, want at least %d", n, len(all), len(all)-1)
		}
		before := minLive()
		for i := range all {
			steps[i] += step
			advance(20 * time.Second)
			if n := minLive(); n != before {
				t.Fatalf("after a step of %v at relay %d, %d relays are live, want %d as before", step, i, n, before)
			}
		}
	}
}
