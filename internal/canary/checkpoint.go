package canary

import (
	"encoding/binary"
	"math"
)

// This file is how a rung's evidence outlives its leader. Words are counts since a relay's start: a new leader cannot tell this rung's from those
// of rungs before, and one block over rungs is no evidence (if all is worse while the arm has more, the arm's mean is worse and its members are not).
// So the leader has its evidence agreed now and then, and who leads next goes on from there. A product of blocks remains one: which blocks are left out (those
// between the last agreed and the first word heard) depends on when leaders change, not on what was counted. No block comes twice: with the evidence
// stand the words it is of, and the first word after them is nobody's evidence, as ever.

const (
	MaxCheckpointBytes       = 128 << 10 // bytes; 1,024 relays need less, and in JSON, a third longer, it goes into one command of the record
	checkpointMS             = 5000      // at the soonest: so much is lost with a leader
	checkpointBytesPerSecond = 1000      // bytes a second that this may cost each relay that follows the record: as much as two words
	checkpointVersion        = 1
	evidenceResolution       = 256 // guardEvidence is held in parts of so many, downwards: less is still evidence
)

// encodeCheckpoint is the rung's evidence as the record holds it.
func (j *Judge) encodeCheckpoint() []byte {
	b := []byte{checkpointVersion}
	number := func(n uint64) { b = binary.AppendUvarint(b, n) }
	text := func(s string) { number(uint64(len(s))); b = append(b, s...) }
	logs := func(list []float64) {
		for _, l := range list {
			b = binary.AppendVarint(b, int64(math.Floor(l*evidenceResolution)))
		}
	}
	due := j.attributionLeft
	if j.decided {
		due = 1 // the next one says it at its first slice
	}
	for _, n := range []uint64{uint64(j.slices), uint64(due), j.compared, j.canaryAttempts, uint64(len(j.zones)), uint64(len(j.classHistory)), uint64(len(j.relays))} {
		number(n)
	}
	for z, name := range j.zones {
		text(name)
		for _, t := range j.tests {
			logs(t.zoneEvidence[z])
		}
	}
	for _, t := range j.tests {
		logs(t.fleetEvidence)
	}
	for _, p := range j.classHistory { // a guess from little makes harm seem ruled out
		b = appendTally(append(b, p.Class, p.flags()), &p.Tally)
	}
	for _, r := range j.relays {
		text(r.name)
		text(r.zone)
		text(r.faultyMetric)
		for _, n := range []uint64{r.incarnation, r.seq, r.compared} {
			number(n)
		}
		for _, sum := range r.evidence {
			logs(sum)
		}
	}
	return b
}

// restoreCheckpoint takes up what keep has told; false if it was not all of it: then nothing may be taken.
func (j *Judge) restoreCheckpoint(b []byte) bool {
	r := reportReader{rest: b}
	if r.byte() != checkpointVersion {
		return false
	}
	text := func() string {
		n := r.uvarint()
		if n > uint64(len(r.rest)) {
			r.failed = true
			return ""
		}
		s := string(r.rest[:n])
		r.rest = r.rest[n:]
		return s
	}
	logs := func(list []float64) {
		for i := range list {
			n, used := binary.Varint(r.rest)
			if used <= 0 || n > maxCount || n < -maxCount {
				r.failed = true
				return
			}
			r.rest, list[i] = r.rest[used:], float64(n)/evidenceResolution
		}
	}
	j.slices, j.attributionLeft = int(r.count()), int(r.count())
	j.compared, j.canaryAttempts = r.count(), r.count()
	zones, pasts, relays := r.uvarint(), r.uvarint(), r.uvarint()
	for ; zones > 0 && !r.failed; zones-- {
		z, ok := j.zoneIndex(text())
		if r.failed = r.failed || !ok; r.failed {
			return false
		}
		for _, t := range j.tests {
			logs(t.zoneEvidence[z])
		}
	}
	for _, t := range j.tests {
		logs(t.fleetEvidence)
	}
	for ; pasts > 0 && !r.failed; pasts-- {
		s := Stratum{Class: r.byte()}
		flags := r.byte()
		s.WarmingUp, s.Load = flags&1 != 0, flags>>1&(LoadBands-1)
		if r.failed || len(j.classHistory) >= MaxRelays {
			return false
		}
		p := j.classHistoryOf(s)
		r.tally(&p.Tally)
	}
	for ; relays > 0 && !r.failed; relays-- {
		name, zone, ill := text(), text(), text()
		if _, ok := j.zoneIndex(zone); !ok || r.failed {
			return false
		}
		k, _ := j.relayNamed(name, zone)
		if k == nil {
			return false
		}
		k.faultyMetric, k.lastReportSlice = ill, j.slices
		k.incarnation, k.seq, k.compared = r.uvarint(), r.uvarint(), r.count()
		for _, sum := range k.evidence {
			logs(sum)
		}
	}
	return !r.failed && len(r.rest) == 0
}
