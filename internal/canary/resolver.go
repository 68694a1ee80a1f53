package canary

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// WeightResolver is one relay's side: the weights that it uses now. The record alone raises them; anybody's notice lowers them.
// Its time is the relay's own clock in milliseconds, one that never steps back.
type WeightResolver struct {
	maxStaleness  int64
	index         uint64 // of the record, up to which it is applied here
	recorded      []Weight
	confirmed     []Weight // as they were when the record was last reached
	everConfirmed bool     // since this process began
	confirmedAt   int64    // when it was last
	pending       bool     // it was reached at pendingSince, and is not applied here up to that index yet
	pendingSince  int64
	pendingIndex  uint64
	highestEpoch  uint64 // the highest epoch that the record has shown here
	notices       map[string]noticeState
	Rejected      uint64 // notices beyond the bounds
	Stale         uint64 // states of the record older than the one held
}

type noticeState struct {
	pausedEpoch uint64 // the highest epoch that somebody paused; 0 for none
	lowered     Notice // what was agreed at a higher number than is known here
}

// NewWeightResolver begins with no weights. Cut is for how long the record may be out of reach before news of it raises nothing any more.
func NewWeightResolver(cut int64) *WeightResolver {
	return &WeightResolver{maxStaleness: cut, notices: map[string]noticeState{}}
}

// ApplyRecord takes the weights as applied from the record up to an index, from disk too. It is to be called for every index, or before
// Reached at least: a relay that does not show its index counts as behind.
func (h *WeightResolver) ApplyRecord(now int64, index uint64, weights []Weight) {
	if index < h.index {
		h.Stale++
		return
	}
	h.index, h.recorded = index, slices.Clone(weights)
	for _, w := range weights {
		h.highestEpoch = max(h.highestEpoch, w.Epoch)
	}
	for name, k := range h.notices {
		if w := h.find(h.recorded, name); w != nil {
			if k.pausedEpoch != 0 && k.pausedEpoch < w.Epoch {
				k.pausedEpoch = 0 // resumed since
			}
			if k.lowered.Revision != 0 && (k.lowered.Epoch < w.Epoch || k.lowered.Revision <= w.Revision) {
				k.lowered = Notice{}
			}
		} else {
			if k.pausedEpoch <= h.highestEpoch {
				k.pausedEpoch = 0 // closed since
			}
			if k.lowered.Epoch <= h.highestEpoch {
				k.lowered = Notice{}
			}
		}
		if k == (noticeState{}) {
			delete(h.notices, name)
		} else {
			h.notices[name] = k
		}
	}
	if h.pending && h.index >= h.pendingIndex {
		h.confirm(h.pendingSince)
	}
}

// ConfirmRecord says that at this time a majority stood behind the record up to an index.
func (h *WeightResolver) ConfirmRecord(now int64, index uint64) {
	if index <= h.index {
		h.confirm(now)
	} else if !h.pending {
		h.pending, h.pendingSince, h.pendingIndex = true, now, index
	}
}

func (h *WeightResolver) confirm(at int64) {
	h.pending = false
	h.everConfirmed, h.confirmedAt, h.confirmed = true, max(h.confirmedAt, at), h.recorded
}

// HandleNotice takes a notice from anybody, and says whether it was new.
func (h *WeightResolver) HandleNotice(n Notice) bool {
	if n.Release == "" || len(n.Release) > 128 || n.PerMille < 0 || n.Epoch == 0 || n.Epoch > h.highestEpoch && n.Epoch-h.highestEpoch > maxEpochLead {
		h.Rejected++
		return false
	}
	w := h.find(h.recorded, n.Release)
	if w == nil && n.Epoch <= h.highestEpoch || w != nil && n.Epoch < w.Epoch {
		return false // closed or resumed since
	}
	k, known := h.notices[n.Release]
	if !known && len(h.notices) >= MaxNotices && !h.evictOldest(n, w != nil) {
		h.Rejected++
		return false
	}
	switch {
	case n.Pause && n.Epoch > k.pausedEpoch:
		k.pausedEpoch = n.Epoch
	case !n.Pause && (w == nil || n.Epoch > w.Epoch || n.Revision > w.Revision) &&
		(n.Epoch > k.lowered.Epoch || n.Epoch == k.lowered.Epoch && n.Revision > k.lowered.Revision):
		k.lowered = n
	default:
		return false
	}
	h.notices[n.Release] = k
	return true
}

// evictOldest drops the oldest that is held of a release unknown here, for a newer one or one that is known.
func (h *WeightResolver) evictOldest(n Notice, known bool) bool {
	oldest, epoch := "", uint64(0)
	for _, name := range slices.Sorted(maps.Keys(h.notices)) {
		if h.find(h.recorded, name) != nil {
			continue
		}
		if k := h.notices[name]; oldest == "" || max(k.pausedEpoch, k.lowered.Epoch) < epoch {
			oldest, epoch = name, max(k.pausedEpoch, k.lowered.Epoch)
		}
	}
	if oldest == "" || !known && n.Epoch <= epoch {
		return false
	}
	delete(h.notices, oldest)
	return true
}

// Pause holds a release at zero here and now, and gives the notice that tells others. It needs no record: what others passed on tells which
// epoch it is for, where that is newer than what is applied here. False if the release is unknown here.
func (h *WeightResolver) Pause(release string) (Notice, bool) {
	k := h.notices[release]
	n := Notice{Release: release, Pause: true, Epoch: max(k.pausedEpoch, k.lowered.Epoch)}
	if w := h.find(h.recorded, release); w != nil {
		n.Epoch = max(n.Epoch, w.Epoch)
	}
	if n.Epoch == 0 {
		return Notice{}, false
	}
	h.HandleNotice(n)
	return n, true
}

// Notices is what to tell others: the weights agreed here, and what was heard that the record does not know yet.
func (h *WeightResolver) Notices() []Notice {
	var list []Notice
	for _, w := range h.recorded {
		list = append(list, Notice{Release: w.Release, Epoch: w.Epoch, Revision: w.Revision, PerMille: w.PerMille})
	}
	for _, name := range slices.Sorted(maps.Keys(h.notices)) {
		k := h.notices[name]
		if k.pausedEpoch != 0 {
			list = append(list, Notice{Release: name, Pause: true, Epoch: k.pausedEpoch})
		}
		if k.lowered.Revision != 0 {
			list = append(list, k.lowered)
		}
	}
	return list
}

// EncodeNotices is as many of the notices as most bytes hold, as JSON: pauses first, then what is lower than others may know, then what is agreed,
// which the record tells too. Empty without any. Whatever else there is to tell, and however long the names are, a pause goes round.
func (h *WeightResolver) EncodeNotices(most int) []byte {
	list := h.Notices()
	rank := func(n Notice) int {
		switch known := h.find(h.recorded, n.Release); {
		case n.Pause && known != nil:
			return 0
		case n.Pause:
			return 1
		case known == nil || n.Epoch != known.Epoch || n.Revision != known.Revision:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(list, func(x, y Notice) int { return cmp.Compare(rank(x), rank(y)) })
	note := []byte(nil)
	for _, n := range list {
		var one bytes.Buffer
		e := json.NewEncoder(&one)
		e.SetEscapeHTML(false)
		if e.Encode(n) != nil || len(note)+one.Len()+1 > most { // with a bracket or a comma before it, and the last bracket for its newline
			continue
		}
		note = append(append(note, ','), bytes.TrimSuffix(one.Bytes(), []byte("\n"))...)
	}
	if len(note) > 0 {
		note[0] = '['
		note = append(note, ']')
	}
	return note
}

// EffectiveWeights is what this relay is to use now, by name of the release.
func (h *WeightResolver) EffectiveWeights(now int64) []Weight {
	list := slices.Clone(h.recorded)
	for i := range list {
		list[i].PerMille = h.effectivePerMille(now, list[i])
	}
	slices.SortFunc(list, func(x, y Weight) int { return cmp.Compare(x.Release, y.Release) })
	return list
}

func (h *WeightResolver) effectivePerMille(now int64, w Weight) int {
	use := w.PerMille
	if !h.everConfirmed {
		return 0 // what stood on disk may be an old weight, and a higher one than now's
	}
	if h.everConfirmed && now-h.confirmedAt > h.maxStaleness {
		sure := h.find(h.confirmed, w.Release)
		if sure == nil {
			return 0
		}
		use = min(use, sure.PerMille)
	}
	k := h.notices[w.Release]
	if k.pausedEpoch >= w.Epoch {
		return 0
	}
	if k.lowered.Revision != 0 {
		use = min(use, k.lowered.PerMille)
	}
	return use
}

func (h *WeightResolver) find(list []Weight, release string) *Weight {
	for i := range list {
		if list[i].Release == release {
			return &list[i]
		}
	}
	return nil
}
