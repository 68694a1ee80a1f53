package fleet

import (
	"encoding/json"
	"errors"
	"slices"

	"dahliarudder/internal/drift"
)

// word is what a relay says of itself to the leader, once a second. It may be lost; the next one says the same. Counts are since the
// start of its process.
type word struct {
	Start   uint64   `json:"start"`
	Zone    string   `json:"zone"`
	Phase   string   `json:"phase"`
	Program string   `json:"program"`
	Config  string   `json:"config"`
	Follows uint64   `json:"follows"` // the version of the record that its loop goes by
	List    uint64   `json:"list"`    // the generation of discovery's list
	Flows   int      `json:"flows"`
	Asked   uint64   `json:"asked"` // as in Look
	Served  uint64   `json:"served"`
	Members []sight  `json:"members,omitempty"` // those with flows, or tried since the last word
	Drift   []byte   `json:"drift,omitempty"`
	Weighs  uint64   `json:"weighs,omitempty"` // the version of the canaries that its loop goes by
	Counts  []byte   `json:"counts,omitempty"` // of a canary
	Local   []string `json:"local,omitempty"`  // what its own operators have taken out
	// What it runs of its configuration, by section; items that it refused; the groups of items of which it tells; by which order it is shut.
	Sections map[string]string `json:"sections,omitempty"`
	Refused  []string          `json:"refused,omitempty"`
	Tells    []string          `json:"tells,omitempty"`
	Shut     uint64            `json:"shut,omitempty"`
	Anew     bool              `json:"anew,omitempty"` // the generation of its list has fallen since it started
}

// sight is what a relay knows of a member. Names are short: there are many.
type sight struct {
	Name     string  `json:"n"`
	Flows    int     `json:"f,omitempty"`
	Capacity float64 `json:"c,omitempty"` // in flows; 0 unknown
	Good     uint64  `json:"g,omitempty"` // attempts and probes
	Bad      uint64  `json:"b,omitempty"`
}

// Bounds of a word that another relay sent.
const (
	sightsMost = 4096
	namesMost  = 1024
)

var errWord = errors.New("word: not of a relay of this fleet")

func decodeWord(text []byte) (word, error) {
	var w word
	if err := json.Unmarshal(text, &w); err != nil {
		return word{}, err
	}
	if len(w.Members) > sightsMost || len(w.Local) > namesMost || w.Flows < 0 || len(w.Sections) >= meantMost || len(w.Refused) > meantMost ||
		len(w.Tells) > drift.GroupsMost {
		return word{}, errWord
	}
	for section, value := range w.Sections {
		if meanable(drift.Config+"."+section, value) != "" {
			return word{}, errWord
		}
	}
	for _, name := range slices.Concat(w.Refused, w.Tells) {
		if len(name) > drift.NameMost {
			return word{}, errWord
		}
	}
	for _, m := range w.Members {
		if m.Flows < 0 || !(m.Capacity >= 0 && m.Capacity < 1e9) {
			return word{}, errWord
		}
	}
	return w, nil
}

// decodeDrift reads the part that is the drift module's; one that cannot be read says nothing.
func (w word) decodeDrift(relay string) (drift.Word, bool) {
	if len(w.Drift) == 0 {
		return drift.Word{}, false
	}
	d, err := drift.DecodeWord(w.Drift)
	d.Relay = relay // its own word alone
	return d, err == nil
}
