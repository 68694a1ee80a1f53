package canary

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// Notices returns the notices to gossip: the weights of the record as applied here, and received notices
// that the record does not contain yet.
func (r *WeightResolver) Notices() []Notice {
	var list []Notice
	for _, w := range r.recorded {
		list = append(list, Notice{Release: w.Release, Epoch: w.Epoch, Revision: w.Revision, PerMille: w.PerMille})
	}
	for _, name := range slices.Sorted(maps.Keys(r.notices)) {
		s := r.notices[name]
		if s.pausedEpoch != 0 {
			list = append(list, Notice{Release: name, Pause: true, Epoch: s.pausedEpoch})
		}
		if s.lowered.Revision != 0 {
			list = append(list, s.lowered)
		}
	}
	return list
}

// noticePriority is the order of notices in EncodeNotices, the most urgent first.
type noticePriority int

const (
	pauseOfRecorded   noticePriority = iota
	pauseOfUnrecorded                // of a release that the record applied here does not contain
	newerThanRecord
	sameAsRecord // replication of the record delivers it too
)

func (r *WeightResolver) priority(n Notice) noticePriority {
	switch w := findWeight(r.recorded, n.Release); {
	case n.Pause && w != nil:
		return pauseOfRecorded
	case n.Pause:
		return pauseOfUnrecorded
	case w == nil || n.Epoch != w.Epoch || n.Revision != w.Revision:
		return newerThanRecord
	}
	return sameAsRecord
}

// EncodeNotices returns as many notices as fit into maxBytes, as a JSON array in order of priority, so
// that a pause is sent whatever other notices there are. It returns nil if no notice fits or there are
// none.
func (r *WeightResolver) EncodeNotices(maxBytes int) []byte {
	list := r.Notices()
	slices.SortStableFunc(list, func(x, y Notice) int { return cmp.Compare(r.priority(x), r.priority(y)) })
	var array []byte
	for _, n := range list {
		var element bytes.Buffer
		e := json.NewEncoder(&element)
		e.SetEscapeHTML(false)
		// One more byte for the bracket or comma before the element; the closing bracket replaces its newline.
		if e.Encode(n) != nil || len(array)+element.Len()+1 > maxBytes {
			continue
		}
		array = append(append(array, ','), bytes.TrimSuffix(element.Bytes(), []byte("\n"))...)
	}
	if len(array) > 0 {
		array[0] = '['
		array = append(array, ']')
	}
	return array
}
