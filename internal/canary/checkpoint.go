package canary

import (
	"encoding/binary"
	"math"
)

// This file lets a step's evidence survive a change of leader. Relays report counts since their start,
// so a new leader cannot tell the counts of this step from those of earlier steps. Treating them as one
// block over several steps would not be evidence: if everything got worse while the canary had more
// weight, the canary's mean is worse although its members are not. So the leader regularly stores its
// evidence in the record, and the next leader continues from there.
//
// The product of the blocks remains an e-value: which blocks are lost (those between the last checkpoint
// and the first report to the new leader) depends on when the leader changes, not on the counts. No
// block counts twice: the checkpoint contains the sequence numbers of the reports that it covers, and
// the first report after a change of leader is only the base for later differences.

const (
	// MaxCheckpointBytes limits a checkpoint. The evidence of 1,024 relays is smaller, and the JSON form,
	// a third longer, fits into one command of the record.
	MaxCheckpointBytes = 128 << 10

	minCheckpointIntervalMS = 5000 // a change of leader may lose the evidence of this time

	// checkpointBytesPerSecond limits the checkpoint traffic to each relay that follows the record. It is
	// as much as two reports.
	checkpointBytesPerSecond = 1000

	checkpointVersion = 1

	// evidenceResolution is the number of steps per unit of log evidence in a checkpoint. Values are
	// rounded down: less evidence is still valid evidence.
	evidenceResolution = 256
)

// checkpoint returns the evidence to store in the record, or nil if it is too long, and schedules the
// next checkpoint.
func (j *Judge) checkpoint(now int64) []byte {
	b := j.encodeCheckpoint()
	if len(b) > MaxCheckpointBytes {
		b = nil
	}
	j.nextCheckpointAt = now + max(minCheckpointIntervalMS, int64(len(b))*1000/checkpointBytesPerSecond)
	return b
}

// encodeCheckpoint encodes the step's evidence: totals, zones, the fleet, the baseline histories of the
// classes, and relays. The histories are included because a baseline rate estimated from few counts
// makes harm seem ruled out.
func (j *Judge) encodeCheckpoint() []byte {
	b := []byte{checkpointVersion}
	attributionLeft := j.attributionLeft
	if j.decided {
		attributionLeft = 1 // the next leader decides after its first slice
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

// restoreCheckpoint restores the evidence that encodeCheckpoint encoded. It returns false if the
// checkpoint is malformed; the judge is then partly restored and must not be used.
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
