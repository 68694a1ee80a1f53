package main

import (
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/config"
	"dahliarudder/internal/operator"
)

const (
	// goMemoryFraction of the configured memory is the most that the Go runtime's soft limit may be. The
	// rest is for the kernel's buffers.
	goMemoryFraction = 0.7
	// programMemoryMB is what the process takes besides the Go runtime's memory: its code and the C library.
	// The soft limit leaves it free, since with a small limit the rest above is smaller.
	programMemoryMB = 28
	// minGoMemoryFraction of the configured memory is the least that the soft limit is.
	minGoMemoryFraction = 0.5
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
		soft := max(min(mb*goMemoryFraction, mb-programMemoryMB), mb*minGoMemoryFraction)
		debug.SetMemoryLimit(int64(soft * (1 << 20)))
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
