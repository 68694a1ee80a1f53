package canary

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Stratum is what is compared with its like alone.
type Stratum struct {
	Class uint8
	Zone  uint8 // of the member, by its place among the sorted names of zones
	Cold  bool
	Load  uint8 // Band
}

func (s Stratum) flags() uint8 {
	f := s.Load << 1
	if s.Cold {
		f |= 1
	}
	return f
}

func compare(x, y Stratum) int {
	return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.flags(), y.flags()))
}

// Bands of load.
const Bands = 4

// Band is a member's load (flows offered to it, as a part of what its cores bear) in halves of what is left: waiting times go as one over
// that, so within a band they differ by 2 at most. It is what is offered, not how busy the member is: a build that burns more must
// not hide in a band of its own.
func Band(load float64) uint8 {
	switch {
	case load < 0.5:
		return 0
	case load < 0.75:
		return 1
	case load < 0.875:
		return 2
	}
	return 3
}

// Buckets of a histogram: two an octave, up to 2 minutes.
const Buckets = 40

const leastMS = 0.125

// Times is a histogram: bucket i holds what took up to 1/8 ms times the square root of 2 to the i.
type Times [Buckets]uint64

// Add counts one time.
func (t *Times) Add(ms float64) {
	i := 0
	if ms > leastMS { // not NaN
		i = min(int(math.Ceil(2*math.Log2(ms/leastMS))), Buckets-1)
	}
	t[i]++
}

// above is how many took longer than bucket i.
func (t *Times) above(i int) (n uint64) {
	for _, k := range t[min(i+1, Buckets):] {
		n += k
	}
	return n
}

// Tally is what one arm of one stratum was counted at.
type Tally struct {
	Attempts, Failed, Reset, TimedOut uint64
	Held                              uint64 // whole seconds that flows stood, each flow's first minute alone: arms then have flows of one age
	Early                             uint64 // of these flows, ended in that minute by the member
	SetUp                             Times  // one for each attempt that came to stand
	Message                           Times  // one for each flow, of its first minute: messages of one flow are alike and count once
}

// each visits all numbers of a tally in one order.
func (t *Tally) each(visit func(*uint64)) {
	for _, n := range []*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.Held, &t.Early} {
		visit(n)
	}
	for i := range Buckets {
		visit(&t.SetUp[i])
		visit(&t.Message[i])
	}
}

// Pair is a stratum with both arms.
type Pair struct {
	Stratum
	Base, Arm Tally
}

// Counts is a relay's word: all since its start, whole strata at a time, so that a lost word costs nothing once the next is there.
type Counts struct {
	Salt   uint64 // of the canary
	Start  uint64 // of the relay's process; rises with each start
	Seq    uint64 // of this word
	Strata []Pair // in order
}

// Counter counts at one relay for one canary. One goroutine at a time.
type Counter struct {
	salt, start, seq uint64
	strata           []*counted
	spare            Tally
	Refused          uint64 // counts of strata beyond StrataMost
}

type counted struct {
	Pair
	owed int    // words that it is still to be in
	sent uint64 // the last word that it was in
}

// owedFor is in how many words a change is told: with every third lost, one in 27 waits for the next change or for its turn.
const owedFor = 3

// NewCounter begins at nothing.
func NewCounter(salt, start uint64) *Counter { return &Counter{salt: salt, start: start} }

// At is where to count. It is told in the next words; hold it for no longer than the call.
func (c *Counter) At(s Stratum, arm bool) *Tally {
	s.Load = min(s.Load, Bands-1)
	i, found := slices.BinarySearchFunc(c.strata, s, func(k *counted, s Stratum) int { return compare(k.Stratum, s) })
	if !found {
		if len(c.strata) >= StrataMost {
			c.Refused++
			return &c.spare
		}
		c.strata = slices.Insert(c.strata, i, &counted{Pair: Pair{Stratum: s}})
	}
	k := c.strata[i]
	k.owed = owedFor
	if arm {
		return &k.Arm
	}
	return &k.Base
}

const (
	wireVersion = 1
	hasBase     = 1 << 3
	hasArm      = 1 << 4
	countMost   = 1 << 48
)

// Append adds the next word to dst, of most bytes at most: the strata that changed, those that waited longest first, and one more by turns.
func (c *Counter) Append(dst []byte, most int) []byte {
	c.seq++
	begin := len(dst)
	dst = append(dst, wireVersion)
	dst = binary.LittleEndian.AppendUint64(dst, c.salt)
	dst = binary.AppendUvarint(dst, c.start)
	dst = binary.AppendUvarint(dst, c.seq)
	turn := slices.Clone(c.strata)
	slices.SortStableFunc(turn, func(x, y *counted) int {
		return cmp.Or(cmp.Compare(b2i(y.owed > 0), b2i(x.owed > 0)), cmp.Compare(x.sent, y.sent))
	})
	var picked []*counted
	var part []byte
	size := len(dst) - begin
	for _, k := range turn {
		if k.owed == 0 && len(picked) > 0 {
			break
		}
		part = appendPair(part[:0], &k.Pair)
		if size+len(part) > most {
			break // it is the first in the next word
		}
		size += len(part)
		picked = append(picked, k)
		k.sent, k.owed = c.seq, max(k.owed-1, 0)
	}
	slices.SortFunc(picked, func(x, y *counted) int { return compare(x.Stratum, y.Stratum) })
	for _, k := range picked {
		dst = appendPair(dst, &k.Pair)
	}
	return dst
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func appendPair(dst []byte, p *Pair) []byte {
	flags := p.flags()
	if p.Base != (Tally{}) {
		flags |= hasBase
	}
	if p.Arm != (Tally{}) {
		flags |= hasArm
	}
	dst = append(dst, p.Class, p.Zone, flags)
	if flags&hasBase != 0 {
		dst = appendTally(dst, &p.Base)
	}
	if flags&hasArm != 0 {
		dst = appendTally(dst, &p.Arm)
	}
	return dst
}

func appendTally(dst []byte, t *Tally) []byte {
	for _, n := range [...]uint64{t.Attempts, t.Failed, t.Reset, t.TimedOut, t.Held, t.Early} {
		dst = binary.AppendUvarint(dst, n)
	}
	return appendTimes(appendTimes(dst, &t.SetUp), &t.Message)
}

// appendTimes writes where the buckets in use begin, how many there are, and each.
func appendTimes(dst []byte, t *Times) []byte {
	first, end := 0, Buckets
	for end > 0 && t[end-1] == 0 {
		end--
	}
	for first < end && t[first] == 0 {
		first++
	}
	dst = append(dst, uint8(first), uint8(end-first))
	for _, n := range t[first:end] {
		dst = binary.AppendUvarint(dst, n)
	}
	return dst
}

var errCounts = errors.New("canary: not a word of counts")

// reader takes a word apart; after the first fault all is zero.
type reader struct {
	rest   []byte
	broken bool
}

func (r *reader) byte() uint8 {
	if len(r.rest) == 0 {
		r.broken = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) number() uint64 {
	n, used := binary.Uvarint(r.rest)
	if used <= 0 {
		r.broken, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[used:]
	return n
}

func (r *reader) count() uint64 {
	n := r.number()
	if n > countMost { // sums of many must not run over
		r.broken = true
		return 0
	}
	return n
}

func (r *reader) times(t *Times) (sum uint64) {
	first, n := int(r.byte()), int(r.byte())
	if first+n > Buckets {
		r.broken = true
		return 0
	}
	for i := range n {
		t[first+i] = r.count()
		sum += t[first+i]
	}
	return sum
}

func (r *reader) tally(t *Tally) {
	for _, n := range []*uint64{&t.Attempts, &t.Failed, &t.Reset, &t.TimedOut, &t.Held, &t.Early} {
		*n = r.count()
	}
	stood := r.times(&t.SetUp)
	r.times(&t.Message)
	if t.Failed+t.Reset+t.TimedOut > t.Attempts || stood > t.Attempts || t.Early > t.Attempts {
		r.broken = true // more came of it than was tried
	}
}

// DecodeCounts takes a word apart. What no Counter can have written is refused.
func DecodeCounts(b []byte) (Counts, error) {
	var c Counts
	r := reader{rest: b}
	if r.byte() != wireVersion || len(r.rest) < 8 {
		return c, errCounts
	}
	c.Salt = binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	c.Start, c.Seq = r.number(), r.number()
	c.Strata = make([]Pair, 0, 12) // as many as usual
	for len(r.rest) > 0 && !r.broken {
		s := Stratum{Class: r.byte(), Zone: r.byte()}
		flags := r.byte()
		s.Cold, s.Load = flags&1 != 0, flags>>1&(Bands-1)
		if flags&^(hasBase|hasArm|7) != 0 || len(c.Strata) == StrataMost ||
			len(c.Strata) > 0 && compare(c.Strata[len(c.Strata)-1].Stratum, s) >= 0 {
			return Counts{}, errCounts
		}
		c.Strata = append(c.Strata, Pair{Stratum: s})
		p := &c.Strata[len(c.Strata)-1]
		if flags&hasBase != 0 {
			r.tally(&p.Base)
		}
		if flags&hasArm != 0 {
			r.tally(&p.Arm)
		}
	}
	if r.broken {
		return Counts{}, errCounts
	}
	return c, nil
}
