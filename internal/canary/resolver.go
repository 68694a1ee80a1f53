package canary

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxReleaseNameBytes = 128

	// maxEpochLead limits how far the epoch of a notice or a command may be above the last one in the
	// record, so that a wrong epoch cannot exhaust the range of epochs.
	maxEpochLead = 1 << 32
)

// WeightResolver determines the weights that one relay uses. Only the replicated record raises a weight;
// a notice from any relay can lower it. Times are milliseconds of the relay's own monotonic clock.
type WeightResolver struct {
	maxStaleness int64 // ms

	appliedIndex uint64   // index of the record up to which it is applied at this relay
	recorded     []Weight // weights of the record at appliedIndex
	highestEpoch uint64   // highest epoch in the weights applied so far

	everConfirmed bool // a majority has confirmed the record since this process started
	confirmedAt   int64
	confirmed     []Weight // recorded at the last confirmation

	pending      bool // a majority confirmed the record at pendingSince, up to an index not yet applied here
	pendingSince int64
	pendingIndex uint64

	notices  map[string]noticeState // by release
	Rejected uint64                 // notices that were invalid or beyond MaxNotices
	Stale    uint64                 // states of the record older than the applied one
}

// noticeState contains what received notices say about a release that the record applied here does not.
type noticeState struct {
	pausedEpoch uint64 // the highest epoch with a pause; 0 for none
	lowered     Notice // the notice of a weight at the highest epoch and revision; zero for none
}

func (s noticeState) epoch() uint64 { return max(s.pausedEpoch, s.lowered.Epoch) }

// NewWeightResolver returns a resolver without weights. If the record has not been confirmed for longer
// than maxStaleness (ms), the resolver uses no weight above the one last confirmed.
func NewWeightResolver(maxStaleness int64) *WeightResolver {
	return &WeightResolver{maxStaleness: maxStaleness, notices: map[string]noticeState{}}
}

// ApplyRecord sets the weights of the record as applied up to an index, including those restored from
// disk. Call it for every index, or at least before ConfirmRecord: a confirmation of an index that is not
// applied takes effect only once it is.
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

// withoutSuperseded returns s without the notices that the record has superseded.
func (r *WeightResolver) withoutSuperseded(release string, s noticeState) noticeState {
	w := findWeight(r.recorded, release)
	if w == nil {
		if s.pausedEpoch <= r.highestEpoch {
			s.pausedEpoch = 0 // the canary was closed since
		}
		if s.lowered.Epoch <= r.highestEpoch {
			s.lowered = Notice{}
		}
		return s
	}
	if s.pausedEpoch < w.Epoch {
		s.pausedEpoch = 0 // the canary was resumed since
	}
	if s.lowered.Revision != 0 && (s.lowered.Epoch < w.Epoch || s.lowered.Revision <= w.Revision) {
		s.lowered = Notice{}
	}
	return s
}

// ConfirmRecord records that a majority confirmed the record up to an index at this time.
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

// HandleNotice applies a notice from any relay and reports whether it was new.
func (r *WeightResolver) HandleNotice(n Notice) bool {
	if n.Release == "" || len(n.Release) > maxReleaseNameBytes || n.PerMille < 0 || n.Epoch == 0 ||
		n.Epoch > r.highestEpoch && n.Epoch-r.highestEpoch > maxEpochLead {
		r.Rejected++
		return false
	}
	w := findWeight(r.recorded, n.Release)
	if w == nil && n.Epoch <= r.highestEpoch || w != nil && n.Epoch < w.Epoch {
		return false // the canary was closed or resumed since
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

// evictOldest removes the notices of the release with the lowest epoch among the releases that are not in
// the record applied here, to make room for a notice with a higher epoch or of a recorded release. It
// returns false if there is none to remove.
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

// Pause immediately sets a release's weight to zero at this relay and returns the notice to gossip. It
// needs no majority. If notices contain a newer epoch than the record applied here, the pause is for
// that epoch. It returns false if neither the record nor a notice contains the release.
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

// EffectiveWeights returns the current weights, sorted by release.
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
		return 0 // the weight on disk may be outdated and higher than the current one of the record
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
