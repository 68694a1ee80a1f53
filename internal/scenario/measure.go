package scenario

import (
	"math"
	"sort"
	"time"
)

// binWidth is the grain of all that is counted by time.
const binWidth = 100 * time.Millisecond

// Service counts asked and well served connection seconds.
type Service struct {
	from, to time.Duration
	all      series
	byTag    map[string]*series // "class pay", "zone north"
}

type series struct{ demand, served []float64 } // seconds, by bin

// NewService counts between these times.
func NewService(from, to time.Duration) *Service {
	return &Service{from: from, to: to, all: newSeries(to), byTag: map[string]*series{}}
}

// Truncate ends the measuring earlier.
func (s *Service) Truncate(at time.Duration) { s.to = max(min(s.to, at), s.from+binWidth) }

func newSeries(to time.Duration) series {
	n := int(to/binWidth) + 1
	return series{make([]float64, n), make([]float64, n)}
}

func (s *Service) add(served bool, tags []string, from, to time.Duration) {
	to = min(to, s.to)
	for from < to {
		i := int(from / binWidth)
		end := min(to, time.Duration(i+1)*binWidth)
		for t := -1; t < len(tags); t++ {
			x := &s.all
			if t >= 0 {
				if x = s.byTag[tags[t]]; x == nil {
					n := newSeries(s.to)
					x = &n
					s.byTag[tags[t]] = x
				}
			}
			if served {
				x.served[i] += (end - from).Seconds()
			} else {
				x.demand[i] += (end - from).Seconds()
			}
		}
		from = end
	}
}

// RequestSent is a time in which a client wants to be connected.
func (s *Service) AddDemand(tags []string, from, to time.Duration) { s.add(false, tags, from, to) }

// AddServed is a time in which a client was connected, and well.
func (s *Service) AddServed(tags []string, from, to time.Duration) { s.add(true, tags, from, to) }

func (x *series) share(from, to time.Duration) float64 {
	asked, served := 0.0, 0.0
	for i := int(from / binWidth); i < int(to/binWidth) && i < len(x.demand); i++ {
		asked += x.demand[i]
		served += x.served[i]
	}
	if asked == 0 {
		return 1
	}
	return served / asked
}

// Share is the served share of what was asked.
func (s *Service) Share() float64 { return s.all.share(s.from, s.to) }

// Worst is the least share in any span of so long, and when that begins.
func (s *Service) Worst(long time.Duration) (share float64, at time.Duration) {
	share = math.Inf(1)
	for t := s.from; t == s.from || t+long <= s.to; t += binWidth {
		if v := s.all.share(t, min(t+long, s.to)); v < share {
			share, at = v, t
		}
	}
	return share, at
}

// By is the share of each tag.
func (s *Service) ByTag() map[string]float64 {
	out := map[string]float64{}
	for tag, x := range s.byTag {
		out[tag] = x.share(s.from, s.to)
	}
	return out
}

// At is how many connections were asked for and well served, each second.
func (s *Service) PerSecond() (asked, served []float64) {
	per := int(time.Second / binWidth)
	for i := 0; i+per <= len(s.all.demand); i += per {
		a, v := 0.0, 0.0
		for k := i; k < i+per; k++ {
			a += s.all.demand[k]
			v += s.all.served[k]
		}
		asked, served = append(asked, a), append(served, v)
	}
	return asked, served
}

// recoveredFor is how long service must stay.
const recoveredFor = 5 * time.Second

// RecoveryTime is how long after the last fault's end service was at 99% of what it was before the first one, and stayed there for
// five seconds; false if it never was.
func (s *Service) RecoveryTime(first, last time.Duration) (time.Duration, bool) {
	before := 1.0
	if first > s.from {
		before = s.all.share(s.from, first)
	}
	for t := last; t+recoveredFor <= s.to; t += binWidth {
		good := true
		for k := t; k < t+recoveredFor && good; k += time.Second {
			good = s.all.share(k, k+time.Second) >= 0.99*before
		}
		if good {
			return t - last, true
		}
	}
	return 0, false
}

// Peak is the most of something in any span of so long.
type Peak struct {
	Window time.Duration
	events []timedCount
	sum    float64
	Max    float64
	At     time.Duration
	Total  float64
}

type timedCount struct {
	at time.Duration
	n  float64
}

// Add counts n more. Times do not fall.
func (p *Peak) Add(at time.Duration, n float64) {
	p.events = append(p.events, timedCount{at, n})
	p.sum += n
	p.Total += n
	for p.events[0].at <= at-p.Window {
		p.sum -= p.events[0].n
		p.events = p.events[1:]
	}
	if p.sum > p.Max {
		p.Max, p.At = p.sum, at
	}
}

// Comparison is how a figure of one variant stands to that of the first.
type Comparison struct {
	Mean, Min, Max float64
	Difference     float64 // to the first variant's mean
	Noise          float64 // what chance alone stays within in 95 of 100 cases
	Significant    bool    // the difference is larger
}

// studentQuantiles holds the two-sided 95% quantiles of Student's t for so many pairs: few plays say little of the noise between them.
var studentQuantiles = []float64{0, 0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.1}

// Compare holds the plays of a variant against those of the first. They were played in turn on the same draws, so each is held
// against the one of its own draw: what differs from draw to draw is no noise. With fewer than three nothing is called real.
func Compare(first, other []float64) Comparison {
	c := Comparison{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range other {
		c.Min, c.Max = min(c.Min, v), max(c.Max, v)
	}
	var apart []float64
	for i := range min(len(first), len(other)) {
		apart = append(apart, other[i]-first[i])
	}
	c.Mean, _ = moments(other)
	var spread float64
	c.Difference, spread = moments(apart)
	c.Noise = studentQuantiles[min(len(apart), len(studentQuantiles)-1)] * math.Sqrt(spread/float64(max(len(apart), 1)))
	c.Significant = len(apart) >= 3 && math.Abs(c.Difference) > c.Noise
	return c
}

// moments are the mean and the variance.
func moments(all []float64) (mean, variance float64) {
	if len(all) == 0 {
		return 0, 0
	}
	for _, v := range all {
		mean += v / float64(len(all))
	}
	for _, v := range all {
		variance += (v - mean) * (v - mean) / float64(max(len(all)-1, 1))
	}
	return mean, variance
}

// Quantile is the value below which a part of all is.
func Quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sort.Float64s(all)
	return all[min(int(part*float64(len(all))), len(all)-1)]
}
