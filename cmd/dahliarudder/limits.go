package main

import (
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/config"
	"dahliarudder/internal/operator"
)

// operatorDescriptors is how many descriptors are kept back for the second address and upgrades.
func (r *relay) operatorDescriptors() int {
	if r.cfg.Operator == "" {
		return 0
	}
	return operator.MaxCallers + upgradeDescriptors
}

// applyRuntimeLimits keeps the runtime within the machine that the relay is given.
func applyRuntimeLimits(cfg *config.Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
		debug.SetGCPercent(300) // the live heap is small; the limit rules when it is not
	}
}

// maxSockets is how many descriptors the process may hold.
func descriptorLimit(cfg *config.Config) int {
	most := 1 << 20
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < uint64(most) {
		most = int(r.Cur)
	}
	if s := cfg.Limits.Sockets; s > 0 {
		most = min(most, s)
	}
	return most
}
