package policy

import "math"

// hash mixes its arguments into one value; it is the same at every relay.
func hash(a, c uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ (c+0x632be59bd9b4e019)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous returns a score for weighted rendezvous hashing: the candidate with the highest score
// wins, and each candidate wins in proportion to its weight.
func rendezvous(a, c uint64, weight float64) float64 {
	return -weight / math.Log((float64(hash(a, c)>>11)+0.5)/(1<<53))
}
