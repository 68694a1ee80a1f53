package canary

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// reportsPerChange is in how many reports a change is sent. With every third report lost, one change in 27 waits for the next change of its
// stratum or for its turn.
const reportsPerChange = 3

// Collector counts outcomes at one relay for one canary. It is for one goroutine.
type Collector struct {
	salt, incarnation, seq uint64
	strata                 []*collectedStratum
	overflow               Tally  // takes counts of strata beyond MaxStrata
	Rejected               uint64 // how many such counts there were
}

type collectedStratum struct {
	StratumCounts
	pendingReports int    // in how many reports it is still to be sent
	lastReport     uint64 // the last report that it was in
}

// NewCollector returns a collector without counts.
func NewCollector(salt, incarnation uint64) *Collector {
	return &Collector{salt: salt, incarnation: incarnation}
}

// Tally returns the tally of a stratum to count in, which the next reports then include. It is valid until the next call.
func (c *Collector) Tally(s Stratum, canary bool) *Tally {
	s.Load = min(s.Load, LoadBands-1)
	i, found := slices.BinarySearchFunc(c.strata, s, func(k *collectedStratum, s Stratum) int { return compareStrata(k.Stratum, s) })
	if !found {
		if len(c.strata) >= MaxStrata {
			c.Rejected++
			return &c.overflow
		}
		c.strata = slices.Insert(c.strata, i, &collectedStratum{StratumCounts: StratumCounts{Stratum: s}})
	}
	k := c.strata[i]
	k.pendingReports = reportsPerChange
	if canary {
		return &k.Canary
	}
	return &k.Baseline
}

// AppendReport appends the next report to dst, in at most maxBytes: the strata that changed, those that waited longest first, or one
// unchanged stratum in turn.
func (c *Collector) AppendReport(dst []byte, maxBytes int) []byte {
	c.seq++
	begin := len(dst)
	dst = append(dst, reportVersion)
	dst = binary.LittleEndian.AppendUint64(dst, c.salt)
	dst = binary.AppendUvarint(dst, c.incarnation)
	dst = binary.AppendUvarint(dst, c.seq)
	queue := slices.Clone(c.strata)
	slices.SortStableFunc(queue, func(x, y *collectedStratum) int {
		return cmp.Or(cmp.Compare(boolToInt(y.pendingReports > 0), boolToInt(x.pendingReports > 0)), cmp.Compare(x.lastReport, y.lastReport))
	})
	var selected []*collectedStratum
	var encoded []byte
	size := len(dst) - begin
	for _, k := range queue {
		if k.pendingReports == 0 && len(selected) > 0 {
			break
		}
		encoded = appendStratum(encoded[:0], &k.StratumCounts)
		if size+len(encoded) > maxBytes {
			break // it is the first one of the next report
		}
		size += len(encoded)
		selected = append(selected, k)
		k.lastReport, k.pendingReports = c.seq, max(k.pendingReports-1, 0)
	}
	slices.SortFunc(selected, func(x, y *collectedStratum) int { return compareStrata(x.Stratum, y.Stratum) })
	for _, k := range selected {
		dst = appendStratum(dst, &k.StratumCounts)
	}
	return dst
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
