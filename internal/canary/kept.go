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
	MaxCheckpointBytes = 128 << 10 // bytes; 1,024 relays need less, and in JSON, a third longer, it goes into one command of the record
	keepMS             = 5000      // at the soonest: so much is lost with a leader
	keepRate           = 1000      // bytes a second that this may cost each relay that follows the record: as much as two words
	keptVersion        = 1
	keptSteps          = 256 // evidence is held in parts of so many, downwards: less is still evidence
)

// keep is the rung's evidence as the record holds it.
func (j *Judge) keep() []byte {
	b := []byte{keptVersion}
	number := func(n uint64) { b = binary.AppendUvarint(b, n) }
	text := func(s string) { number(uint64(len(s))); b = append(b, s...) }
	logs := func(list []float64) {
		for _, l := range list {
			b = binary.AppendVarint(b, int64(math.Floor(l*keptSteps)))
		}
	}
	due := j.due
	if j.decided {
		due = 1 // the next one says it at its first slice
	}
	for _, n := range []uint64{uint64(j.slices), uint64(due), j.compared, j.armed, uint64(len(j.zones)), uint64(len(j.shared)), uint64(len(j.relays))} {
		number(n)
	}
	for z, name := range j.zones {
		text(name)
		for _, t := range j.tests {
			logs(t.zone[z])
		}
	}
	for _, t := range j.tests {
		logs(t.all)
	}
	for _, p := range j.shared { // a guess from little makes harm seem ruled out
		b = appendTally(append(b, p.Class, p.flags()), &p.Tally)
	}
	for _, r := range j.relays {
		text(r.name)
		text(r.zone)
		text(r.ill)
		for _, n := range []uint64{r.start, r.seq, r.compared} {
			number(n)
		}
		for _, sum := range r.sum {
			logs(sum)
		}
	}
	return b
}

// restore takes up what keep has told; false if it was not all of it: then nothing may be taken.
func (j *Judge) restore(b []byte) bool {
	r := reader{rest: b}
	if r.byte() != keptVersion {
		return false
	}
	text := func() string {
		n := r.number()
		if n > uint64(len(r.rest)) {
			r.broken = true
			return ""
		}
		s := string(r.rest[:n])
		r.rest = r.rest[n:]
		return s
	}
	logs := func(list []float64) {
		for i := range list {
			n, used := binary.Varint(r.rest)
			if used <= 0 || n > countMost || n < -countMost {
				r.broken = true
				return
			}
			r.rest, list[i] = r.rest[used:], float64(n)/keptSteps
		}
	}
	j.slices, j.due = int(r.count()), int(r.count())
	j.compared, j.armed = r.count(), r.count()
	zones, pasts, relays := r.number(), r.number(), r.number()
	for ; zones > 0 && !r.broken; zones-- {
		z, ok := j.zoneOf(text())
		if r.broken = r.broken || !ok; r.broken {
			return false
		}
		for _, t := range j.tests {
			logs(t.zone[z])
		}
	}
	for _, t := range j.tests {
		logs(t.all)
	}
	for ; pasts > 0 && !r.broken; pasts-- {
		s := Stratum{Class: r.byte()}
		flags := r.byte()
		s.WarmingUp, s.Load = flags&1 != 0, flags>>1&(LoadBands-1)
		if r.broken || len(j.shared) >= MaxRelays {
			return false
		}
		p := j.pastOf(s)
		r.tally(&p.Tally)
	}
	for ; relays > 0 && !r.broken; relays-- {
		name, zone, ill := text(), text(), text()
		if _, ok := j.zoneOf(zone); !ok || r.broken {
			return false
		}
		k, _ := j.relayOf(name, zone)
		if k == nil {
			return false
		}
		k.ill, k.heard = ill, j.slices
		k.start, k.seq, k.compared = r.number(), r.number(), r.count()
		for _, sum := range k.sum {
			logs(sum)
		}
	}
	return !r.broken && len(r.rest) == 0
}
