package canary

import "math/bits"

// RoutedToCanary says whether a group's new flows go to the arm. The same at every relay; a higher weight adds groups and swaps none, since
// each group has one place between 0 and 1000 and the arm is all that lie below the weight.
func RoutedToCanary(salt, group uint64, perMille int) bool {
	if perMille <= 0 {
		return false
	}
	place, _ := bits.Mul64(mix(mix(salt)^group), 1000)
	return place < uint64(perMille)
}

// mix spreads a number over all 64 bits (the finishing steps of splitmix64): neighbouring groups must not be neighbours.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
