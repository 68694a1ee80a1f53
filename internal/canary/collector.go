package canary

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// reportsPerChange is the number of reports that carry a change, so that lost reports rarely delay it.
// If every third report is lost, one change in 27 is delayed until its stratum changes again or is sent
// in turn.
const reportsPerChange = 3

// Collector counts the outcomes of one canary at one relay. It is not safe for concurrent use.
type Collector struct {
	salt, incarnation, seq uint64
	strata                 []*collectedStratum
	overflow               Tally  // receives the counts of strata beyond MaxStrata; never reported
	Rejected               uint64 // calls of Tally that got the overflow tally
}

type collectedStratum struct {
	StratumCounts
	pendingReports int    // number of further reports that must include it
	lastReport     uint64 // sequence number of the last report that included it
}

// NewCollector returns a collector without counts.
func NewCollector(salt, incarnation uint64) *Collector {
	return &Collector{salt: salt, incarnation: incarnation}
}

// Tally returns the tally in which to count outcomes of a stratum; the next reports include it. The
// pointer is valid until the next call.
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

// AppendReport appends the next report to dst, in at most maxBytes. It contains the strata that changed,
// the least recently reported first; if none changed, the least recently reported stratum.
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
			break // the next report begins with it
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
