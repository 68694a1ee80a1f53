package scenario

import (
	"math"
	"sort"
)

// Comparison compares a measured value of one variant with that of the first variant.
type Comparison struct {
	Mean, Min, Max float64
	Difference     float64 // mean difference from the first variant
	Noise          float64 // half-width of the 95% confidence interval of the difference
	Significant    bool    // the difference is larger than Noise, and there are enough pairs
}

// studentQuantiles holds the two-sided 95% quantiles of Student's t distribution, indexed by the
// number of pairs. The last one is used for all larger numbers.
var studentQuantiles = []float64{0, 0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.1}

// minPairs is the minimum number of pairs for a difference to count as significant.
const minPairs = 3

// Compare compares a measured value of the runs of a variant with that of the runs of the first
// variant. Runs with the same index used the same plan and are compared as a pair, so that the
// variance between plans does not count as noise.
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

// Quantile returns the value below which the given fraction of all values lies, or 0 if there are no
// values. It sorts the values in place.
func Quantile(all []float64, fraction float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sort.Float64s(all)
	return all[min(int(fraction*float64(len(all))), len(all)-1)]
}
