package drift

import "fmt"

// State describes how an item of a relay compares with what was agreed. The states from Lagging to
// Contradicting are findings: they claim that something is wrong.
type State uint8

// The states of an item.
const (
	InSync        State = iota // the relay runs what was agreed
	Propagating                // the relay does not run it yet, but within the time allowed
	Lagging                    // the relay still runs an older version after the lag bound
	Rejected                   // the relay reported that it rejected the agreed version
	Regressed                  // the relay runs an older version than the last one it was in sync with
	Ahead                      // the relay runs a version or digest that was never agreed on
	Overridden                 // an operator changed the item at that relay
	Contradicting              // the relay reports the item in sync, but its behaviour shows otherwise
	Unknown                    // the relay sends no reports
)

// stateNames are the names shown in HTTP answers, logs and reasons. Operators match them, so they
// stay as they are even where a constant has another name.
var stateNames = [...]string{"in step", "on its way", "late", "refused", "gone back", "ahead", "local", "contradicts", "not heard"}

// String returns the state's name as shown to operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprint("state ", int(s))
}

// MarshalText encodes the state as the name that String returns.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// severity ranks the states that count as drift, the most serious highest. It is 0 for the others.
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
