package canary

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxReleaseNameBytes = 128

	// maxEpochLead bounds by how much a claimed epoch may be above the last agreed one: a false claim must not use up the epochs.
	maxEpochLead = 1 << 32
)

// WeightResolver derives the weights that one relay uses now. Only the record raises a weight; a notice from any relay lowers it.
// Times are of the relay's own monotonic clock, in milliseconds.
type WeightResolver struct {
	maxStaleness int64

	appliedIndex uint64   // of the record, up to which it is applied here
	recorded     []Weight // as applied
	highestEpoch uint64   // that the record has shown here

	everConfirmed bool // a majority has confirmed the record since this process began
	confirmedAt   int64
	confirmed     []Weight // as they were then

	pending      bool // a majority confirmed the record at pendingSince, up to an index that is not applied here yet
	pendingSince int64
	pendingIndex uint64

	notices  map[string]noticeState // by release
	Rejected uint64                 // notices beyond the bounds
	Stale    uint64                 // states of the record older than the one applied
}

// noticeState is what notices say of a release beyond what the record here does.
type noticeState struct {
	pausedEpoch uint64 // the highest epoch that a relay paused; 0 for none
	lowered     Notice // the weight at the highest revision; zero for none
}

func (s noticeState) epoch() uint64 { return max(s.pausedEpoch, s.lowered.Epoch) }

// NewWeightResolver returns a resolver without weights. Once the record is unconfirmed for maxStaleness it raises no weight any more.
func NewWeightResolver(maxStaleness int64) *WeightResolver {
	return &WeightResolver{maxStaleness: maxStaleness, notices: map[string]noticeState{}}
}

// ApplyRecord takes the weights as applied from the record up to an index, from disk too. Call it for every index, or at least before
// ConfirmRecord: a relay that does not show its index counts as behind.
func (r *WeightResolver) ApplyRecord(index uint64, weights []Weight) {
	if index < r.appliedIndex {
		r.Stale++
		return
	}
	r.appliedIndex, r.recorded = index, slices.Clone(weights)
	for _, w := range weights {
		r.highestEpoch = max(r.highestEpoch, w.Epoch)
	}
	for name, s := range r.notices {
		if s = r.withoutSuperseded(name, s); s == (noticeState{}) {
			delete(r.notices, name)
		} else {
			r.notices[name] = s
		}
	}
	if r.pending && r.appliedIndex >= r.pendingIndex {
		r.confirm(r.pendingSince)
	}
}

// unresolved is what is left of notices on a release that the record has not overtaken.
func (r *WeightResolver) withoutSuperseded(release string, s noticeState) noticeState {
	w := findWeight(r.recorded, release)
	if w == nil {
		if s.pausedEpoch <= r.highestEpoch {
			s.pausedEpoch = 0 // closed since
		}
		if s.lowered.Epoch <= r.highestEpoch {
			s.lowered = Notice{}
		}
		return s
	}
	if s.pausedEpoch < w.Epoch {
		s.pausedEpoch = 0 // resumed since
	}
	if s.lowered.Revision != 0 && (s.lowered.Epoch < w.Epoch || s.lowered.Revision <= w.Revision) {
		s.lowered = Notice{}
	}
	return s
}

// ConfirmRecord notes that a majority stood behind the record up to an index at this time.
func (r *WeightResolver) ConfirmRecord(now int64, index uint64) {
	if index <= r.appliedIndex {
		r.confirm(now)
	} else if !r.pending {
		r.pending, r.pendingSince, r.pendingIndex = true, now, index
	}
}

func (r *WeightResolver) confirm(at int64) {
	r.pending = false
	r.everConfirmed, r.confirmedAt, r.confirmed = true, max(r.confirmedAt, at), r.recorded
}

// HandleNotice takes a notice from any relay, and reports whether it was new.
func (r *WeightResolver) HandleNotice(n Notice) bool {
	if n.Release == "" || len(n.Release) > maxReleaseNameBytes || n.PerMille < 0 || n.Epoch == 0 ||
		n.Epoch > r.highestEpoch && n.Epoch-r.highestEpoch > maxEpochLead {
		r.Rejected++
		return false
	}
	w := findWeight(r.recorded, n.Release)
	if w == nil && n.Epoch <= r.highestEpoch || w != nil && n.Epoch < w.Epoch {
		return false // closed or resumed since
	}
	s, known := r.notices[n.Release]
	if !known && len(r.notices) >= MaxNotices && !r.evictOldest(n, w != nil) {
		r.Rejected++
		return false
	}
	switch {
	case n.Pause && n.Epoch > s.pausedEpoch:
		s.pausedEpoch = n.Epoch
	case !n.Pause && (w == nil || n.Epoch > w.Epoch || n.Revision > w.Revision) &&
		(n.Epoch > s.lowered.Epoch || n.Epoch == s.lowered.Epoch && n.Revision > s.lowered.Revision):
		s.lowered = n
	default:
		return false
	}
	r.notices[n.Release] = s
	return true
}

// evictOldest drops the notices of the release with the lowest epoch among those that the record here does not know, to make room for a
// notice with a higher epoch or of a recorded release. False if there is none to drop.
func (r *WeightResolver) evictOldest(n Notice, recorded bool) bool {
	oldest, epoch := "", uint64(0)
	for _, name := range slices.Sorted(maps.Keys(r.notices)) {
		if findWeight(r.recorded, name) != nil {
			continue
		}
		if s := r.notices[name]; oldest == "" || s.epoch() < epoch {
			oldest, epoch = name, s.epoch()
		}
	}
	if oldest == "" || !recorded && n.Epoch <= epoch {
		return false
	}
	delete(r.notices, oldest)
	return true
}

// Pause sets a release's weight to zero at this relay at once, and returns the notice to gossip. It needs no majority: where the epoch in
// notices is newer than the one applied here, the pause is for that one. False if the release is unknown here.
func (r *WeightResolver) Pause(release string) (Notice, bool) {
	n := Notice{Release: release, Pause: true, Epoch: r.notices[release].epoch()}
	if w := findWeight(r.recorded, release); w != nil {
		n.Epoch = max(n.Epoch, w.Epoch)
	}
	if n.Epoch == 0 {
		return Notice{}, false
	}
	r.HandleNotice(n)
	return n, true
}

// EffectiveWeights returns the weights to use now, sorted by release.
func (r *WeightResolver) EffectiveWeights(now int64) []Weight {
	list := slices.Clone(r.recorded)
	for i := range list {
		list[i].PerMille = r.effectivePerMille(now, list[i])
	}
	slices.SortFunc(list, func(x, y Weight) int { return cmp.Compare(x.Release, y.Release) })
	return list
}

func (r *WeightResolver) effectivePerMille(now int64, w Weight) int {
	if !r.everConfirmed {
		return 0 // the weight on disk may be an old one, and higher than the one agreed now
	}
	perMille := w.PerMille
	if now-r.confirmedAt > r.maxStaleness {
		confirmed := findWeight(r.confirmed, w.Release)
		if confirmed == nil {
			return 0
		}
		perMille = min(perMille, confirmed.PerMille)
	}
	s := r.notices[w.Release]
	if s.pausedEpoch >= w.Epoch {
		return 0
	}
	if s.lowered.Revision != 0 {
		perMille = min(perMille, s.lowered.PerMille)
	}
	return perMille
}

func findWeight(list []Weight, release string) *Weight {
	for i := range list {
		if list[i].Release == release {
			return &list[i]
		}
	}
	return nil
}
