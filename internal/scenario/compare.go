package scenario

import (
	"math"
	"sort"
)

// Comparison is how a figure of one variant compares with that of the first variant.
type Comparison struct {
	Mean, Min, Max float64
	Difference     float64 // from the first variant's mean
	Noise          float64 // bound of what chance alone makes of the difference, at 95%
	Significant    bool    // the difference is larger than that
}

// studentQuantiles holds the two-sided 95% quantiles of Student's t by the number of pairs. The last one stands for all above.
var studentQuantiles = []float64{0, 0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.1}

// minPairs is the least number of pairs from which a difference may be called significant.
const minPairs = 3

// Compare compares the runs of a variant with those of the first one. They ran in turn on the same draws, so that each is paired with
// the one of its own draw: variance between draws is not noise.
func Compare(first, other []float64) Comparison {
	c := Comparison{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range other {
		c.Min, c.Max = min(c.Min, v), max(c.Max, v)
	}
	var differences []float64
	for i := range min(len(first), len(other)) {
		differences = append(differences, other[i]-first[i])
	}
	c.Mean, _ = meanAndVariance(other)
	var variance float64
	c.Difference, variance = meanAndVariance(differences)
	pairs := len(differences)
	c.Noise = studentQuantiles[min(pairs, len(studentQuantiles)-1)] * math.Sqrt(variance/float64(max(pairs, 1)))
	c.Significant = pairs >= minPairs && math.Abs(c.Difference) > c.Noise
	return c
}

func meanAndVariance(all []float64) (mean, variance float64) {
	if len(all) == 0 {
		return 0, 0
	}
	for _, v := range all {
		mean += v / float64(len(all))
	}
	for _, v := range all {
		variance += (v - mean) * (v - mean) / float64(max(len(all)-1, 1))
	}
	return mean, variance
}

// Quantile is the value below which a part of all values lie. It sorts the values.
func Quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sort.Float64s(all)
	return all[min(int(part*float64(len(all))), len(all)-1)]
}
