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
	cut      int64
	index    uint64 // of the record, up to which it is applied here
	agreed   []Weight
	sure     []Weight // as they were when the record was last reached
	reached  bool     // since this process began
	at       int64    // when it was last
	waits    bool     // it was reached at waitsAt, and is not applied here up to that index yet
	waitsAt  int64
	waitsFor uint64
	top      uint64 // the highest epoch that the record has shown here
	heard    map[string]heard
	Rejected uint64 // notices beyond the bounds
	Stale    uint64 // states of the record older than the one held
}

type heard struct {
	pause uint64 // the highest epoch that somebody paused; 0 for none
	low   Notice // what was agreed at a higher number than is known here
}

// NewWeightResolver begins with no weights. Cut is for how long the record may be out of reach before news of it raises nothing any more.
func NewWeightResolver(cut int64) *WeightResolver {
	return &WeightResolver{cut: cut, heard: map[string]heard{}}
}

// ApplyRecord takes the weights as applied from the record up to an index, from disk too. It is to be called for every index, or before
// Reached at least: a relay that does not show its index counts as behind.
func (h *WeightResolver) ApplyRecord(now int64, index uint64, weights []Weight) {
	if index < h.index {
		h.Stale++
		return
	}
	h.index, h.agreed = index, slices.Clone(weights)
	for _, w := range weights {
		h.top = max(h.top, w.Epoch)
	}
	for name, k := range h.heard {
		if w := h.find(h.agreed, name); w != nil {
			if k.pause != 0 && k.pause < w.Epoch {
				k.pause = 0 // resumed since
			}
			if k.low.Revision != 0 && (k.low.Epoch < w.Epoch || k.low.Revision <= w.Revision) {
				k.low = Notice{}
			}
		} else {
			if k.pause <= h.top {
				k.pause = 0 // closed since
			}
			if k.low.Epoch <= h.top {
				k.low = Notice{}
			}
		}
		if k == (heard{}) {
			delete(h.heard, name)
		} else {
			h.heard[name] = k
		}
	}
	if h.waits && h.index >= h.waitsFor {
		h.touch(h.waitsAt)
	}
}

// ConfirmRecord says that at this time a majority stood behind the record up to an index.
func (h *WeightResolver) ConfirmRecord(now int64, index uint64) {
	if index <= h.index {
		h.touch(now)
	} else if !h.waits {
		h.waits, h.waitsAt, h.waitsFor = true, now, index
	}
}

func (h *WeightResolver) touch(at int64) {
	h.waits = false
	h.reached, h.at, h.sure = true, max(h.at, at), h.agreed
}

// HandleNotice takes a notice from anybody, and says whether it was new.
func (h *WeightResolver) HandleNotice(n Notice) bool {
	if n.Release == "" || len(n.Release) > 128 || n.PerMille < 0 || n.Epoch == 0 || n.Epoch > h.top && n.Epoch-h.top > epochsAhead {
		h.Rejected++
		return false
	}
	w := h.find(h.agreed, n.Release)
	if w == nil && n.Epoch <= h.top || w != nil && n.Epoch < w.Epoch {
		return false // closed or resumed since
	}
	k, known := h.heard[n.Release]
	if !known && len(h.heard) >= MaxNotices && !h.room(n, w != nil) {
		h.Rejected++
		return false
	}
	switch {
	case n.Pause && n.Epoch > k.pause:
		k.pause = n.Epoch
	case !n.Pause && (w == nil || n.Epoch > w.Epoch || n.Revision > w.Revision) &&
		(n.Epoch > k.low.Epoch || n.Epoch == k.low.Epoch && n.Revision > k.low.Revision):
		k.low = n
	default:
		return false
	}
	h.heard[n.Release] = k
	return true
}

// room drops the oldest that is held of a release unknown here, for a newer one or one that is known.
func (h *WeightResolver) room(n Notice, known bool) bool {
	oldest, epoch := "", uint64(0)
	for _, name := range slices.Sorted(maps.Keys(h.heard)) {
		if h.find(h.agreed, name) != nil {
			continue
		}
		if k := h.heard[name]; oldest == "" || max(k.pause, k.low.Epoch) < epoch {
			oldest, epoch = name, max(k.pause, k.low.Epoch)
		}
	}
	if oldest == "" || !known && n.Epoch <= epoch {
		return false
	}
	delete(h.heard, oldest)
	return true
}

// Pause holds a release at zero here and now, and gives the notice that tells others. It needs no record: what others passed on tells which
// epoch it is for, where that is newer than what is applied here. False if the release is unknown here.
func (h *WeightResolver) Pause(release string) (Notice, bool) {
	k := h.heard[release]
	n := Notice{Release: release, Pause: true, Epoch: max(k.pause, k.low.Epoch)}
	if w := h.find(h.agreed, release); w != nil {
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
	for _, w := range h.agreed {
		list = append(list, Notice{Release: w.Release, Epoch: w.Epoch, Revision: w.Revision, PerMille: w.PerMille})
	}
	for _, name := range slices.Sorted(maps.Keys(h.heard)) {
		k := h.heard[name]
		if k.pause != 0 {
			list = append(list, Notice{Release: name, Pause: true, Epoch: k.pause})
		}
		if k.low.Revision != 0 {
			list = append(list, k.low)
		}
	}
	return list
}

// EncodeNotices is as many of the notices as most bytes hold, as JSON: pauses first, then what is lower than others may know, then what is agreed,
// which the record tells too. Empty without any. Whatever else there is to tell, and however long the names are, a pause goes round.
func (h *WeightResolver) EncodeNotices(most int) []byte {
	list := h.Notices()
	rank := func(n Notice) int {
		switch known := h.find(h.agreed, n.Release); {
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
	list := slices.Clone(h.agreed)
	for i := range list {
		list[i].PerMille = h.weight(now, list[i])
	}
	slices.SortFunc(list, func(x, y Weight) int { return cmp.Compare(x.Release, y.Release) })
	return list
}

func (h *WeightResolver) weight(now int64, w Weight) int {
	use := w.PerMille
	if !h.reached {
		return 0 // what stood on disk may be an old weight, and a higher one than now's
	}
	if h.reached && now-h.at > h.cut {
		sure := h.find(h.sure, w.Release)
		if sure == nil {
			return 0
		}
		use = min(use, sure.PerMille)
	}
	k := h.heard[w.Release]
	if k.pause >= w.Epoch {
		return 0
	}
	if k.low.Revision != 0 {
		use = min(use, k.low.PerMille)
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
