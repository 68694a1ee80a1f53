package rollout

import (
	"math/rand/v2"
	"testing"
)

// TestServiceBaseline checks that windows that vary by more than chance do not count as a degradation, and
// that a real degradation is detected.
func TestServiceBaseline(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	window := func(p float64) ServiceWindow {
		n, served := 400+rng.IntN(200), 0
		p += (rng.Float64() - 0.5) / 50 // make windows differ by more than chance
		for range n {
			if rng.Float64() < p {
				served++
			}
		}
		return ServiceWindow{1, float64(n), float64(served)}
	}
	falseHalts, detected := 0, 0
	for range 2000 {
		var windows []ServiceWindow
		for range 30 {
			windows = append(windows, window(0.97))
		}
		baseline := newServiceBaseline(windows)
		if baseline.degraded(0.01, []ServiceWindow{window(0.97), window(0.97), window(0.97)}, 0) {
			falseHalts++
		}
		if baseline.degraded(0.01, []ServiceWindow{window(0.85), window(0.85), window(0.85)}, 0) {
			detected++
		}
	}
	if falseHalts > 0 || detected < 1990 {
		t.Errorf("degraded() in 2000 runs: %d false halts, %d degradations detected, want 0 and at least 1990",
			falseHalts, detected)
	}
}
