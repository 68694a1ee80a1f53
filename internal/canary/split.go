package canary

import "math/bits"

// RoutedToCanary reports whether a group's new flows go to the canary. All relays give the same answer.
// Raising the weight adds groups and never moves one back: each group has a fixed position from 0 to
// 999, and the canary gets the positions below the weight.
func RoutedToCanary(salt, group uint64, perMille int) bool {
	if perMille <= 0 {
		return false
	}
	position, _ := bits.Mul64(mix(mix(salt)^group), 1000)
	return position < uint64(perMille)
}

// mix spreads a number over all 64 bits, so that neighbouring groups get unrelated positions. It is the
// finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
