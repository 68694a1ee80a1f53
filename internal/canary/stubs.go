package canary

// Stratum is what is compared with its like alone.
type Stratum struct {
	Class uint8
	Zone  uint8 // of the member, by its place among the sorted names of zones
	Cold  bool
	Load  uint8 // Band
}

// Band is a member's load (flows offered, as a part of what its cores bear) in halves of what is left.
func Band(load float64) uint8 { return 0 }

// Tally is what one arm of one stratum was counted at.
type Tally struct {
	Attempts, Failed, Reset, TimedOut uint64
	Ended, Early                      uint64
	SetUp, Message                    Times
}

// Times is a histogram with two buckets an octave from 1/8 ms up.
type Times [Buckets]uint64

const Buckets = 40

func (t *Times) Add(ms float64) {}

// Counts is a relay's word: all since its start, whole strata at a time.
type Counts struct {
	Salt   uint64 // of the canary
	Start  uint64 // of the relay's process; rises with each start
	Seq    uint64 // of this word
	Strata []Pair
}

// Pair is a stratum with both arms.
type Pair struct {
	Stratum
	Base, Arm Tally
}

// Counter counts at one relay for one canary.
type Counter struct{}

func NewCounter(salt, start uint64) *Counter          { return &Counter{} }
func (c *Counter) At(s Stratum, arm bool) *Tally      { return &Tally{} }
func (c *Counter) Append(dst []byte, most int) []byte { return dst }
func DecodeCounts([]byte) (Counts, error)             { return Counts{}, nil }

// Judge weighs what relays counted.
type Judge struct{}

func NewJudge(Settings) *Judge                                { return &Judge{} }
func (j *Judge) Begin(epoch uint64, rung int)                 {}
func (j *Judge) Hear(now int64, relay, zone string, c Counts) {}
func (j *Judge) Verdict(now int64) Verdict                    { return Verdict{} }
