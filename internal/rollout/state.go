package rollout

// State is what the fleet has agreed on. The zero value is not for use: New, or Decode.
type State struct{ d data }

type data struct {
	Version uint64    `json:"version"` // rises with every change of what is out or ordered
	At      int64     `json:"at"`
	Number  uint64    `json:"number"` // the last given to an order, ban or permit
	Release []release `json:"releases,omitempty"`
	Permits []Pass    `json:"permits,omitempty"`
	Bans    []Banned  `json:"bans,omitempty"` // by name
	Took    took      `json:"took"`
}

type took struct {
	Relays  []int64 `json:"relays,omitempty"` // ms that the last units were out
	Members []int64 `json:"members,omitempty"`
}

type release struct {
	Account
}

// New is a state in which nothing was agreed.
func New() *State { return &State{} }

// Version rises with every change of what is out or ordered.
func (s *State) Version() uint64 { return s.d.Version }

// Apply changes the state by one command, and answers with an Answer as JSON. It is deterministic; an error changes nothing.
func (s *State) Apply(at int64, by string, body []byte) []byte { return []byte(`{"error":"to come"}`) }

// Encode is the whole state.
func (s *State) Encode() []byte { return nil }

// Decode is the reverse.
func Decode(b []byte) (*State, error) { return New(), nil }

// Orders are what a relay is to do now.
func (s *State) Orders(relay string) Orders { return Orders{} }

// Plan says what to propose next: a few commands, the same for the same state and view.
func (s *State) Plan(now int64, v View, b Budgets) []Command { return nil }

// Releases are all that are kept, in the order in which they were opened.
func (s *State) Releases() []Account { return nil }

// Release is one of them.
func (s *State) Release(name string) (Account, bool) { return Account{}, false }

// Permits are those that wait or are in force.
func (s *State) Permits() []Pass { return nil }

// Bans are all that stand, by name.
func (s *State) Bans() []Banned { return nil }

// ParsePart reads "25%" or "2".
func ParsePart(text string) (Part, error) { return Part{}, nil }

// Never says what of the budgets can never let anything out, for a fleet with so many things in each zone; "" if nothing.
func (b Budgets) Never(relays, members map[string]int) string { return "" }
