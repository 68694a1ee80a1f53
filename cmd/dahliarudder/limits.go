package main

import (
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/config"
	"dahliarudder/internal/operator"
)

const (
	// goMemoryFraction of the configured memory is the Go runtime's soft limit. The rest is for the
	// kernel's buffers.
	goMemoryFraction = 0.7
	// gcPercent lets the heap grow between collections. The live heap is usually small; when it is
	// not, the soft limit triggers collections earlier.
	gcPercent = 300
	// maxDescriptors is the limit on descriptors if the system sets none.
	maxDescriptors = 1 << 20
)

// operatorDescriptors returns how many descriptors are reserved for the operators' address and for
// hot restarts.
func (r *relay) operatorDescriptors() int {
	if r.cfg.Operator == "" {
		return 0
	}
	return operator.MaxCallers + upgradeDescriptors
}

// applyRuntimeLimits limits the Go runtime to the configured cores and memory.
func applyRuntimeLimits(cfg *config.Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * goMemoryFraction * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
}

// descriptorLimit returns how many descriptors the process may have open.
func descriptorLimit(cfg *config.Config) int {
	limit := maxDescriptors
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < uint64(limit) {
		limit = int(r.Cur)
	}
	if s := cfg.Limits.Sockets; s > 0 {
		limit = min(limit, s)
	}
	return limit
}
