package scenario

import (
	"math"
	"time"
)

// binWidth is the time resolution of a Service.
const binWidth = 100 * time.Millisecond

// Service measures two sums of connection seconds: the demand, in which clients wanted to be
// connected, and the served part of it, in which they were connected and got timely answers. Reports
// call such connections "well served".
type Service struct {
	from, to time.Duration
	all      series
	byTag    map[string]*series // by tags such as "class pay" and "zone north"
}

// series holds connection seconds by bin of time.
type series struct{ demand, served []float64 }

// NewService returns an empty measurement of the time between from and to.
func NewService(from, to time.Duration) *Service {
	return &Service{from: from, to: to, all: newSeries(to), byTag: map[string]*series{}}
}

// Truncate moves the end of the measured time to an earlier time.
func (s *Service) Truncate(at time.Duration) { s.to = max(min(s.to, at), s.from+binWidth) }

func newSeries(to time.Duration) series {
	n := int(to/binWidth) + 1
	return series{make([]float64, n), make([]float64, n)}
}

// add adds the time between from and to to the demand, or to the served time if served is set, in
// total and for each tag.
func (s *Service) add(served bool, tags []string, from, to time.Duration) {
	if to = min(to, s.to); from >= to {
		return
	}
	all := append([]*series{&s.all}, s.tagged(tags)...)
	for from < to {
		i := int(from / binWidth)
		end := min(to, time.Duration(i+1)*binWidth)
		for _, x := range all {
			if served {
				x.served[i] += (end - from).Seconds()
			} else {
				x.demand[i] += (end - from).Seconds()
			}
		}
		from = end
	}
}

// tagged returns the series of the given tags. It creates those that do not exist.
func (s *Service) tagged(tags []string) (all []*series) {
	for _, tag := range tags {
		x := s.byTag[tag]
		if x == nil {
			n := newSeries(s.to)
			x = &n
			s.byTag[tag] = x
		}
		all = append(all, x)
	}
	return all
}

// AddDemand adds a period in which one client wanted to be connected.
func (s *Service) AddDemand(tags []string, from, to time.Duration) { s.add(false, tags, from, to) }

// AddServed adds a period in which one client was connected and got timely answers.
func (s *Service) AddServed(tags []string, from, to time.Duration) { s.add(true, tags, from, to) }

// share returns the served fraction of the demand between two times, or 1 if there was no demand.
func (x *series) share(from, to time.Duration) float64 {
	demand, served := 0.0, 0.0
	for i := int(from / binWidth); i < int(to/binWidth) && i < len(x.demand); i++ {
		demand += x.demand[i]
		served += x.served[i]
	}
	if demand == 0 {
		return 1
	}
	return served / demand
}

// Share returns the served fraction of the demand over the measured time.
func (s *Service) Share() float64 { return s.all.share(s.from, s.to) }

// Worst returns the lowest served fraction in any window of the given length, and the start of that
// window.
func (s *Service) Worst(window time.Duration) (share float64, at time.Duration) {
	share = math.Inf(1)
	for t := s.from; t == s.from || t+window <= s.to; t += binWidth {
		if v := s.all.share(t, min(t+window, s.to)); v < share {
			share, at = v, t
		}
	}
	return share, at
}

// ByTag returns the served fraction of the demand for each tag.
func (s *Service) ByTag() map[string]float64 {
	out := map[string]float64{}
	for tag, x := range s.byTag {
		out[tag] = x.share(s.from, s.to)
	}
	return out
}

// PerSecond returns the mean numbers of wanted and of served connections in each second.
func (s *Service) PerSecond() (demand, served []float64) {
	bins := int(time.Second / binWidth)
	for i := 0; i+bins <= len(s.all.demand); i += bins {
		d, v := 0.0, 0.0
		for k := i; k < i+bins; k++ {
			d += s.all.demand[k]
			v += s.all.served[k]
		}
		demand, served = append(demand, d), append(served, v)
	}
	return demand, served
}

const (
	// Service counts as recovered when its share is at least recoveredShare times the share before
	// the first fault, in each second of a period of recoveredFor.
	recoveredShare = 0.99
	recoveredFor   = 5 * time.Second
)

// RecoveryTime returns how long after the last step of the timeline the service had recovered to its
// level before the first step. It returns false if the service did not recover in the measured time.
func (s *Service) RecoveryTime(first, last time.Duration) (time.Duration, bool) {
	before := 1.0
	if first > s.from {
		before = s.all.share(s.from, first)
	}
	for t := last; t+recoveredFor <= s.to; t += binWidth {
		recovered := true
		for k := t; k < t+recoveredFor && recovered; k += time.Second {
			recovered = s.all.share(k, k+time.Second) >= recoveredShare*before
		}
		if recovered {
			return t - last, true
		}
	}
	return 0, false
}
