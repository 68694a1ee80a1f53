package canary

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestReportSize checks the size limit of reports: a relay with thirty flows per second, two classes,
// three zones and members that are warming up or not reports every second for an hour.
func TestReportSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	c := NewCollector(1<<63, 1_733_100_000_000)
	sum, largest := 0, 0
	const seconds = 3600
	for range seconds {
		for range 30 {
			s := Stratum{Class: uint8(rng.IntN(10) / 7), Load: 1, WarmingUp: rng.IntN(30) == 0}
			if rng.IntN(5) == 0 {
				s.Zone = uint8(rng.IntN(3))
			}
			k := c.Tally(s, rng.IntN(20) == 0)
			k.Attempts++
			k.OpenSeconds += 60
			k.SetupTime.Add(20 * math.Exp(0.6*rng.NormFloat64()))
			k.MessageTime.Add(5 * math.Exp(0.6*rng.NormFloat64()))
			if rng.IntN(50) == 0 {
				k.Failed++
			}
		}
		b := c.AppendReport(nil, 600)
		sum += len(b)
		largest = max(largest, len(b))
		if _, err := DecodeCountReport(b); err != nil {
			t.Fatalf("DecodeCountReport: %v", err)
		}
	}
	t.Logf("%d strata: mean report size %d bytes, largest %d", len(c.strata), sum/seconds, largest)
	if largest > 600 {
		t.Errorf("largest report has %d bytes, want at most 600", largest)
	}
}

// TestCountsSurviveLostReports checks that the receiver gets all counts although the size of reports is
// limited and a third of their strata is lost.
func TestCountsSurviveLostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := NewCollector(7, 1)
		received := map[Stratum]StratumCounts{}
		report := func() {
			b := c.AppendReport(nil, 1400)
			decoded, err := DecodeCountReport(b)
			if err != nil || len(b) > 1400 {
				t.Fatalf("report of %d bytes, want at most 1400; DecodeCountReport error %v", len(b), err)
			}
			for _, p := range decoded.Strata {
				if rng.IntN(3) > 0 {
					received[p.Stratum] = p
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "counts") {
			s := Stratum{Class: uint8(rng.IntN(3)), Zone: uint8(rng.IntN(4)), WarmingUp: rng.IntN(2) == 0, Load: uint8(rng.IntN(5))}
			k := c.Tally(s, rng.IntN(2) == 0)
			k.Attempts += rng.Uint64N(1 << 40)
			k.SetupTime[rng.IntN(HistogramBuckets)] += k.Attempts / (HistogramBuckets * 200)
			if rng.IntN(3) == 0 {
				report()
			}
		}
		// Unchanged strata are sent in turn. Each is sent about fifteen times, so it is very unlikely that
		// all reports of one are lost.
		for range 15 * len(c.strata) {
			report()
		}
		for _, k := range c.strata {
			if received[k.Stratum] != k.StratumCounts {
				t.Fatalf("stratum %+v: received counts %+v, want %+v", k.Stratum, received[k.Stratum], k.StratumCounts)
			}
		}
	})
	c := NewCollector(7, 1)
	for i := range 3 * MaxStrata {
		c.Tally(Stratum{Class: uint8(i)}, true).Attempts++
	}
	if len(c.strata) != MaxStrata || c.Rejected != 2*MaxStrata {
		t.Errorf("%d strata, Rejected = %d; want %d and %d", len(c.strata), c.Rejected, MaxStrata, 2*MaxStrata)
	}
}

func FuzzDecodeCountReport(f *testing.F) {
	c := NewCollector(5, 6)
	f.Add(c.AppendReport(nil, 600))
	k := c.Tally(Stratum{Class: 1, Zone: 2, WarmingUp: true, Load: 3}, true)
	k.Attempts, k.Failed, k.OpenSeconds, k.EarlyDisconnects = 300, 20, 9000, 3
	k.SetupTime.Add(12)
	k.MessageTime.Add(1e9)
	c.Tally(Stratum{}, false).Attempts++
	f.Add(c.AppendReport(nil, 600))
	f.Add([]byte{reportVersion})
	j := NewJudge(JudgeSettings{Spec: validSpec("r"), Epoch: 1})
	j.relayNamed("n", "z")
	j.zoneIndex("z")
	f.Add(j.encodeCheckpoint())
	f.Fuzz(func(t *testing.T, b []byte) {
		if v := NewJudge(JudgeSettings{Spec: validSpec("r"), Epoch: 1, Checkpoint: b}).Verdict(60_000); math.IsNaN(v.LogEValue) {
			t.Fatalf("verdict from a decoded checkpoint: %+v, want a LogEValue other than NaN", v)
		}
		report, err := DecodeCountReport(b)
		if err != nil {
			return
		}
		j := NewJudge(JudgeSettings{Spec: validSpec("r"), Epoch: 1})
		report.Salt = j.settings.Salt
		// Reports of an earlier process, of this one, and of this one again.
		for i, start := range []uint64{0, report.Incarnation, report.Incarnation} {
			r := report
			r.Incarnation, r.Seq = start, uint64(i+1)
			j.Observe(int64(1000*i), "n", "z", r)
		}
		if v := j.Verdict(60_000); math.IsNaN(v.LogEValue) {
			t.Fatalf("verdict from a decoded report: %+v, want a LogEValue other than NaN", v)
		}
	})
}

// TestEValueMean checks that the mean of a block's e-value is at most 1 under any rates that the null
// hypothesis allows, however wrong the estimated baseline rate is. It adds up all outcomes of small
// blocks, weighted by their probability.
func TestEValueMean(t *testing.T) {
	choose := func(n, k int) float64 {
		a, _ := math.Lgamma(float64(n + 1))
		b, _ := math.Lgamma(float64(k + 1))
		c, _ := math.Lgamma(float64(n - k + 1))
		return math.Exp(a - b - c)
	}
	rapid.Check(t, func(t *rapid.T) {
		n1, n0 := rapid.IntRange(1, 12).Draw(t, "canary trials"), rapid.IntRange(1, 30).Draw(t, "baseline trials")
		null := nullHypothesis{factor: rapid.SampledFrom([]float64{1, defaultFactor, 2}).Draw(t, "factor"),
			margin: rapid.SampledFrom([]float64{0, 0.0002, 0.01, 0.05}).Draw(t, "margin")}
		harm := rapid.SampledFrom([]float64{0.0002, 0.01, 0.04, 0.16, 0.5}).Draw(t, "harm")
		estimatedRate := rapid.Float64Range(1e-6, 0.9).Draw(t, "estimated baseline rate")
		q0 := rapid.Float64Range(0, 0.9).Draw(t, "baseline rate")
		q1 := min(rapid.Float64Range(0, 1).Draw(t, "share of the allowed canary rate")*null.maxCanaryRate(q0), 1)
		mean := 0.0
		for k1 := range n1 + 1 {
			for k0 := range n0 + 1 {
				p := choose(n1, k1) * math.Pow(q1, float64(k1)) * math.Pow(1-q1, float64(n1-k1)) *
					choose(n0, k0) * math.Pow(q0, float64(k0)) * math.Pow(1-q0, float64(n0-k0))
				mean += p * math.Exp(null.logEValue(blockCounts{uint64(n1), uint64(k1), uint64(n0), uint64(k0)}, estimatedRate, harm))
			}
		}
		if !(mean <= 1+1e-6) {
			t.Fatalf("mean e-value = %v, want at most 1", mean)
		}
	})
}
