package drift

import "fmt"

var stateNames = [...]string{"in step", "on its way", "late", "refused", "gone back", "ahead", "local", "contradicts", "not heard"}

// String is the state in words, for operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprint("state ", int(s))
}

// MarshalText is for the JSON that operators get.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

var lifeNames = [...]string{"live", "silent", "gone", "restarting", "upgrading"}

// String is the life in words, for operators.
func (l Liveness) String() string {
	if int(l) < len(lifeNames) {
		return lifeNames[l]
	}
	return fmt.Sprint("life ", int(l))
}
