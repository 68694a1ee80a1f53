package drift

import "fmt"

// State is where an item of a relay stands. States from Lagging on are claims that something is wrong.
type State uint8

// The states of an item.
const (
	InSync        State = iota // it runs what was agreed
	Propagating                // not yet, and nothing is claimed
	Lagging                    // it runs an older version beyond the lag bound
	Rejected                   // it reported that it does not take the version
	Regressed                  // it runs an older version than it ran
	Ahead                      // it runs a version or digest that was never agreed on
	Overridden                 // an operator changed it at that relay
	Contradicting              // it reports to be in sync, and what it does shows otherwise
	Unknown                    // no reports
)

// stateNames are what operators read, in answers and logs.
var stateNames = [...]string{"in step", "on its way", "late", "refused", "gone back", "ahead", "local", "contradicts", "not heard"}

// String returns the state's name for operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprint("state ", int(s))
}

// MarshalText encodes the state's name in JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// severity orders the states of drift by how far a relay in them is to be mistrusted; 0 is no drift.
func (s State) severity() int {
	switch s {
	case Contradicting:
		return 6
	case Regressed:
		return 5
	case Ahead:
		return 4
	case Rejected:
		return 3
	case Lagging:
		return 2
	case Overridden:
		return 1
	}
	return 0
}
