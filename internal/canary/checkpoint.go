package canary

import (
	"encoding/binary"
	"math"
)

// This file is how a step's evidence outlives its leader. Reports are counts since a relay's start: a new leader cannot tell the counts of
// this step from those of earlier ones, and one block over several steps is no evidence (if everything got worse while the canary had more
// weight, the canary's mean is worse and its members are not). So the leader proposes its evidence to the record now and then, and the next
// leader continues from there. A product of blocks remains an e-value: which blocks are left out (those between the last checkpoint and the
// first report) depends on when leaders change, not on what was counted. No block counts twice: the checkpoint has the sequence numbers of
// the reports that it covers, and the first report after them is not evidence, as always.

const (
	// MaxCheckpointBytes bounds a checkpoint. 1,024 relays need less, and in JSON, a third longer, it fits into one command of the record.
	MaxCheckpointBytes = 128 << 10

	minCheckpointIntervalMS  = 5000 // so much evidence is lost with a leader
	checkpointBytesPerSecond = 1000 // that checkpoints may cost each relay which follows the record: as much as two reports
	checkpointVersion        = 1

	// evidenceResolution is the part of 1 that evidence is rounded down to: less evidence is still evidence.
	evidenceResolution = 256
)

// checkpoint returns the evidence to store in the record, nil if it is too long, and schedules the next one.
func (j *Judge) checkpoint(now int64) []byte {
	b := j.encodeCheckpoint()
	if len(b) > MaxCheckpointBytes {
		b = nil
	}
	j.nextCheckpointAt = now + max(minCheckpointIntervalMS, int64(len(b))*1000/checkpointBytesPerSecond)
	return b
}

// encodeCheckpoint encodes the step's evidence: totals, zones, the fleet, the classes' baseline histories (an estimate from few counts makes
// harm seem ruled out), relays.
func (j *Judge) encodeCheckpoint() []byte {
	b := []byte{checkpointVersion}
	attributionLeft := j.attributionLeft
	if j.decided {
		attributionLeft = 1 // the next leader decides at its first slice
	}
	for _, n := range []uint64{uint64(j.slices), uint64(attributionLeft), j.compared, j.canaryAttempts,
		uint64(len(j.zones)), uint64(len(j.classHistories)), uint64(len(j.relays))} {
		b = binary.AppendUvarint(b, n)
	}
	for z, name := range j.zones {
		b = appendString(b, name)
		for _, t := range j.tests {
			b = appendLogs(b, t.zones[z])
		}
	}
	for _, t := range j.tests {
		b = appendLogs(b, t.fleet)
	}
	for _, h := range j.classHistories {
		b = appendTally(append(b, h.Class, h.flags()), &h.Tally)
	}
	for _, r := range j.relays {
		b = appendString(appendString(appendString(b, r.name), r.zone), string(r.faultyMetric))
		for _, n := range []uint64{r.incarnation, r.seq, r.compared} {
			b = binary.AppendUvarint(b, n)
		}
		for _, logs := range r.evidence {
			b = appendLogs(b, logs)
		}
	}
	return b
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendLogs(b []byte, logs []float64) []byte {
	for _, l := range logs {
		b = binary.AppendVarint(b, int64(math.Floor(l*evidenceResolution)))
	}
	return b
}

func (r *reader) string() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func (r *reader) logs(logs []float64) {
	for i := range logs {
		n, used := binary.Varint(r.rest)
		if used <= 0 || n > maxCount || n < -maxCount {
			r.failed = true
			return
		}
		r.rest, logs[i] = r.rest[used:], float64(n)/evidenceResolution
	}
}

// restoreCheckpoint takes up what encodeCheckpoint has written. If it is false the checkpoint is malformed, and the judge must not be used.
func (j *Judge) restoreCheckpoint(b []byte) bool {
	r := &reader{rest: b}
	if r.byte() != checkpointVersion {
		return false
	}
	j.slices, j.attributionLeft = int(r.count()), int(r.count())
	j.compared, j.canaryAttempts = r.count(), r.count()
	zones, histories, relays := r.uvarint(), r.uvarint(), r.uvarint()
	for ; zones > 0 && !r.failed; zones-- {
		if !j.restoreZone(r) {
			return false
		}
	}
	for _, t := range j.tests {
		r.logs(t.fleet)
	}
	for ; histories > 0 && !r.failed; histories-- {
		if !j.restoreClassHistory(r) {
			return false
		}
	}
	for ; relays > 0 && !r.failed; relays-- {
		if !j.restoreRelay(r) {
			return false
		}
	}
	return !r.failed && len(r.rest) == 0
}

func (j *Judge) restoreZone(r *reader) bool {
	z, ok := j.zoneIndex(r.string())
	if !ok || r.failed {
		return false
	}
	for _, t := range j.tests {
		r.logs(t.zones[z])
	}
	return true
}

func (j *Judge) restoreClassHistory(r *reader) bool {
	s := Stratum{Class: r.byte()}
	s.setFlags(r.byte())
	if r.failed || len(j.classHistories) >= MaxRelays {
		return false
	}
	r.tally(&j.classHistoryOf(s).Tally)
	return true
}

func (j *Judge) restoreRelay(r *reader) bool {
	name, zone, faultyMetric := r.string(), r.string(), Metric(r.string())
	if _, ok := j.zoneIndex(zone); !ok || r.failed {
		return false
	}
	relay, _ := j.relayNamed(name, zone)
	if relay == nil {
		return false
	}
	relay.faultyMetric, relay.lastReportSlice = faultyMetric, j.slices
	relay.incarnation, relay.seq, relay.compared = r.uvarint(), r.uvarint(), r.count()
	for _, logs := range relay.evidence {
		r.logs(logs)
	}
	return true
}
