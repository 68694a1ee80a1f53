// Package scenario holds the decisions of a rehearsal, with no I/O: what a file may say, what is drawn from its seed, what
// breaks a rule, and what clients got. Times are since the rehearsal began.
package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"path"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error about a file that cannot be used.
var ErrInvalid = errors.New("invalid rehearsal")

var bracket = regexp.MustCompile(`\[\d+\]`)

// File is what an operator writes. Spans are in milliseconds.
type File struct {
	About   string          `json:"about"`
	Config  string          `json:"config"` // the relays' configuration; relative to this file
	Change  json.RawMessage `json:"change"` // merged into it (RFC 7386)
	Seed    uint64          `json:"seed"`
	Seconds float64         `json:"seconds"` // how long clients come
	From    float64         `json:"from_ms"` // when measuring begins
	Relays  struct {
		Count  int     `json:"count"`
		Views  float64 `json:"views_ms"` // how often each is asked what it knows of the others; 0: never
		Host   float64 `json:"host_ms"`  // after it has ended because it was told to, a relay is started again
		Voters int     `json:"voters"`   // of those with the setting fleet, the first so many vote
	} `json:"relays"`
	Members struct {
		Count  int        `json:"count"`
		Cores  [2]float64 `json:"cores"`     // drawn between these
		Most   int        `json:"most"`      // connections that one holds; 0: without bound
		Open   float64    `json:"open_ms"`   // a core's work for a new connection
		Group  float64    `json:"group_ms"`  // further work for the first of a group
		Report float64    `json:"report_ms"` // how old a report may be
		Rough  float64    `json:"rough"`     // by which part it may be off
		Flaw   Flaw       `json:"flaw"`      // of those that come in the place of others
		Leave  float64    `json:"leave_ms"`  // how long after it drains a member sends its clients away
	} `json:"members"`
	Discovery struct {
		Lag float64 `json:"lag_ms"`
	} `json:"discovery"`
	Front struct {
		Ping   float64 `json:"ping_ms"`
		Notice float64 `json:"notice_ms"` // how long a relay does not answer until it is given nothing more
	} `json:"front"`
	Clients struct {
		Standing int        `json:"standing"`   // who come before measuring begins, and stay on average as long as the others
		Rate     float64    `json:"per_second"` // new ones
		Stay     float64    `json:"stay_ms"`    // mean
		Load     [2]float64 `json:"load"`       // cores
		Groups   int        `json:"groups"`
		Again    [2]float64 `json:"again_ms"` // after a break
		Line     float64    `json:"line_ms"`  // how often one says something
		Well     float64    `json:"well_ms"`  // within which it is answered, if it is served well
		Leave    float64    `json:"leave"`    // part of the tries whose client goes before its answer
	} `json:"clients"`
	Faults      []Fault   `json:"faults"`
	Variants    []Variant `json:"variants"`
	Repetitions int       `json:"repetitions"` // of each draw
	Seeds       int       `json:"seeds"`       // how many draws: of this seed and those after it
	Settle      bool      `json:"settle"`      // in the end what relays still hold is held against what they held before clients came

	at map[string]int
}

// Variant is played beside others on the same draw.
type Variant struct {
	Name    string          `json:"name"`
	Program string          `json:"program"` // of the relay; relative to the file; empty: the one that rehearses
	Change  json.RawMessage `json:"change"`
	Faults  []Fault         `json:"faults"` // in the place of the file's; absent: the file's
	Flaw    *Flaw           `json:"flaw"`   // likewise
}

// Flaw is what a new build of members does wrong.
type Flaw struct {
	Fail  float64 `json:"fail"`     // part of the first lines answered with ERR
	Delay float64 `json:"delay_ms"` // before each answer to one
	Zone  string  `json:"zone"`     // to relays of this zone alone
}

// Fault is one entry of the time line.
type Fault struct {
	At    float64  `json:"at_ms"`
	For   float64  `json:"for_ms"` // until it is undone; 0: it stays
	Do    string   `json:"do"`
	Who   []string `json:"who"`  // patterns of names
	Zone  string   `json:"zone"` // only who is there
	Count int      `json:"count"`
	Part  float64  `json:"part"`
	Every float64  `json:"every_ms"` // one after the other; 0: all at once
	From  []string `json:"from"`     // of links
	To    []string `json:"to"`
	Rough
	Late float64         `json:"late_ms"` // of discovery
	Idle int             `json:"idle"`    // of a crowd: connections to each relay
	Also bool            `json:"series"`  // of term: SIGHUP and SIGTERM in series with it
	Lose bool            `json:"lose_state"`
	Old  bool            `json:"old_state"` // as the last copy_state left it
	Call string          `json:"call"`      // to the fleet, such as "POST /-/releases"; asked again until it is agreed
	Body json.RawMessage `json:"body"`
}

// Rough is what a link does to what passes it.
type Rough struct {
	Loss   float64 `json:"loss"` // of datagrams
	Repeat float64 `json:"repeat"`
	Delay  float64 `json:"delay_ms"`
	Jitter float64 `json:"jitter_ms"`
	Rate   float64 `json:"kb_per_s"`
}

// Leader names whichever relay leads the fleet when its turn comes.
const Leader = "leader"

// What a fault does, to whom, and what undoes it.
var verbs = map[string]struct{ whom, undo string }{
	"kill": {"n", "start"}, "stop": {"n", "continue"}, "continue": {"n", ""}, "term": {"n", "start"}, "start": {"n", ""},
	"silent": {"s", "well"}, "failing": {"s", "well"}, "well": {"s", ""}, "die": {"s", "return"}, "return": {"s", ""},
	"drain": {"s", "return"}, "replace": {"s", ""},
	"down": {"discovery", "up"}, "up": {"discovery", ""}, "late": {"discovery", "on_time"}, "on_time": {"discovery", ""},
	"crowd": {"n", "disperse"}, "disperse": {"n", ""}, "trouble": {"n", "calm"}, "calm": {"n", ""}, "pause": {"n", "continue"},
	"old": {"discovery", ""}, "call": {"n", ""}, "copy_state": {"n", ""}, "configure": {"n", ""},
	"cut": {"link", "heal"}, "cut_one_way": {"link", "heal"}, "rough": {"link", "heal"}, "heal": {"link", ""}, "reset": {"link", ""}, "stall": {"link", ""},
}

// leaveMost is how long after it has sent its clients away a member that drains is certainly gone, in milliseconds.
const leaveMost = 1500

// Decode reads a file's text. Zones are those of the configuration that it names; they are checked later, by Check.
func Decode(text []byte) (*File, error) {
	at, err := places(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	f := &File{at: at}
	if keys := unknown(at, reflect.TypeFor[File]()); len(keys) > 0 {
		sort.Slice(keys, func(i, j int) bool {
			return at[keys[i]] < at[keys[j]] || at[keys[i]] == at[keys[j]] && keys[i] < keys[j]
		})
		return nil, f.fault(keys[0], "is no key of a rehearsal")
	}
	if err := json.Unmarshal(text, f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			line := 1
			for _, b := range text[:min(int(wrong.Offset), len(text))] {
				if b == '\n' {
					line++
				}
			}
			return nil, fmt.Errorf("%w: line %d: %s: a %s is no %v", ErrInvalid, line, wrong.Field, wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	f.fill()
	return f, f.check()
}

// fault is an error about a key, with its line.
func (f *File) fault(key, format string, args ...any) error {
	line, ok := f.at[key]
	for up := key; !ok && up != ""; line, ok = f.at[up] { // a key that is absent stands where its object begins
		up = up[:lastCut(up)]
	}
	return fmt.Errorf("%w: line %d: %s: %s", ErrInvalid, max(line, 1), key, fmt.Sprintf(format, args...))
}

func lastCut(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '.' || s[i] == '[' {
			return i
		}
	}
	return 0
}

// fill puts the usual values in the place of absent ones.
func (f *File) fill() {
	for _, d := range []struct {
		to  *float64
		was float64
	}{
		{&f.Front.Ping, 500}, {&f.Relays.Host, 500}, {&f.Front.Notice, 2000}, {&f.Clients.Line, 500}, {&f.Clients.Well, 500}, {&f.Clients.Stay, 20000},
		{&f.Members.Leave, 1000}, {&f.Members.Report, 200}, {&f.From, 3000},
	} {
		if *d.to == 0 {
			*d.to = d.was
		}
	}
	if f.Members.Cores == [2]float64{} {
		f.Members.Cores = [2]float64{1, 1}
	}
	if f.Clients.Again == [2]float64{} {
		f.Clients.Again = [2]float64{130, 1800}
	}
	if f.Clients.Groups == 0 {
		f.Clients.Groups = 1 << 20
	}
	if f.Relays.Voters == 0 {
		f.Relays.Voters = 3
	}
	f.Repetitions, f.Seeds = max(f.Repetitions, 1), max(f.Seeds, 1)
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "this program"}}
	}
}

func (f *File) check() error {
	for _, c := range []struct {
		key      string
		v        float64
		low, top float64
	}{
		{"seconds", f.Seconds, 1, 3600}, {"from_ms", f.From, 0, f.Seconds * 1000}, {"relays.count", float64(f.Relays.Count), 1, 900},
		{"members.count", float64(f.Members.Count), 1, 3200}, {"relays.views_ms", f.Relays.Views, 0, 1e5}, {"relays.host_ms", f.Relays.Host, 0, 1e5}, {"relays.voters", float64(f.Relays.Voters), 1, 5}, {"members.cores", f.Members.Cores[0], 0.01, f.Members.Cores[1]},
		{"members.most", float64(f.Members.Most), 0, 1e6}, {"members.open_ms", f.Members.Open, 0, 1e4}, {"members.group_ms", f.Members.Group, 0, 1e4},
		{"members.report_ms", f.Members.Report, 0, 1e5}, {"members.rough", f.Members.Rough, 0, 0.9}, {"members.leave_ms", f.Members.Leave, 0, 1e6},
		{"discovery.lag_ms", f.Discovery.Lag, 0, 1e5}, {"front.ping_ms", f.Front.Ping, 10, 1e5}, {"front.notice_ms", f.Front.Notice, 10, 1e5},
		{"clients.standing", float64(f.Clients.Standing), 0, 20000}, {"clients.per_second", f.Clients.Rate, 0, 2000},
		{"clients.stay_ms", f.Clients.Stay, 100, 1e8}, {"clients.load", f.Clients.Load[0], 0, f.Clients.Load[1]},
		{"clients.again_ms", f.Clients.Again[0], 0, f.Clients.Again[1]}, {"clients.line_ms", f.Clients.Line, 20, 1e5},
		{"clients.groups", float64(f.Clients.Groups), 1, 1e9}, {"clients.well_ms", f.Clients.Well, 1, 1e5}, {"repetitions", float64(f.Repetitions), 1, 100},
		{"seeds", float64(f.Seeds), 1, 1000}, {"clients.leave", f.Clients.Leave, 0, 1},
	} {
		if !(c.v >= c.low && c.v <= c.top) {
			return f.fault(c.key, "%v is not from %v to %v", c.v, c.low, c.top)
		}
	}
	if err := f.checkFlaw("members.flaw", &f.Members.Flaw); err != nil {
		return err
	}
	if f.Config == "" {
		return f.fault("config", "names no configuration of a relay")
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		if key := fmt.Sprintf("variants[%d].name", i); v.Name == "" || names[v.Name] {
			return f.fault(key, "%q: each variant has a name of its own", v.Name)
		}
		names[v.Name] = true
		if err := f.checkFlaw(fmt.Sprintf("variants[%d].flaw", i), v.Flaw); err != nil {
			return err
		}
		for k := range v.Faults {
			if err := f.checkFault(fmt.Sprintf("variants[%d].faults[%d]", i, k), &f.Variants[i].Faults[k]); err != nil {
				return err
			}
		}
	}
	for i := range f.Faults {
		if err := f.checkFault(fmt.Sprintf("faults[%d]", i), &f.Faults[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) checkFlaw(key string, x *Flaw) error {
	if x != nil && !(x.Fail >= 0 && x.Fail <= 1 && x.Delay >= 0 && x.Delay <= 1e4) {
		return f.fault(key, "fail is a part of all, delay_ms from 0 to 10,000")
	}
	return nil
}

func (f *File) checkFault(key string, x *Fault) error {
	v, ok := verbs[x.Do]
	if !ok {
		return f.fault(key+".do", "%q is none of %v", x.Do, sorted(verbs))
	}
	for _, c := range []struct {
		key      string
		v        float64
		low, top float64
	}{
		{"at_ms", x.At, 0, f.Seconds * 1000}, {"for_ms", x.For, 0, 1e8}, {"every_ms", x.Every, 0, 1e7}, {"part", x.Part, 0, 1},
		{"count", float64(x.Count), 0, 1e4}, {"loss", x.Loss, 0, 1}, {"repeat", x.Repeat, 0, 1}, {"delay_ms", x.Delay, 0, 1e5},
		{"jitter_ms", x.Jitter, 0, 1e5}, {"idle", float64(x.Idle), 0, 10000}, {"kb_per_s", x.Rate, 0, 1e6}, {"late_ms", x.Late, 0, 1e5},
	} {
		if !(c.v >= c.low && c.v <= c.top) {
			return f.fault(key+"."+c.key, "%v is not from %v to %v", c.v, c.low, c.top)
		}
	}
	if x.For > 0 && v.undo == "" {
		return f.fault(key+".for_ms", "%q cannot be undone", x.Do)
	}
	if leaves := f.Members.Leave + leaveMost; x.Do == "drain" && x.For > 0 && x.For < leaves {
		return f.fault(key+".for_ms", "%v: a member that drains is gone after %v", x.For, leaves)
	}
	if v.whom == "link" {
		if len(x.From) == 0 || len(x.To) == 0 {
			return f.fault(key, "%q needs from and to", x.Do)
		}
		if x.Do == "rough" && x.Rough == (Rough{}) {
			return f.fault(key, "names nothing that the link should do")
		}
		for side, all := range map[string][]string{"from": x.From, "to": x.To} {
			for i, p := range all {
				if at := fmt.Sprintf("%s.%s[%d]", key, side, i); len(match([]string{p}, f.ends(side))) == 0 {
					return f.fault(at, "%q matches none of %s", p, map[string]string{"from": "n0 and on, front", "to": "n0 and on, s0 and on, discovery"}[side])
				}
			}
		}
		return nil
	}
	if v.whom == "discovery" {
		return nil
	}
	if x.Do == "call" {
		method, target, ok := strings.Cut(x.Call, " ")
		if !ok || !strings.HasPrefix(target, "/-/") || method != "POST" && method != "PUT" {
			return f.fault(key+".call", "%q is no POST or PUT of a path below /-/", x.Call)
		}
	}
	if len(x.Who) == 0 {
		return f.fault(key+".who", "names nobody")
	}
	if v.whom == "n" && slices.Equal(x.Who, []string{Leader}) {
		return nil
	}
	for i, p := range x.Who {
		if all := f.Names(v.whom); len(match([]string{p}, all)) == 0 {
			return f.fault(fmt.Sprintf("%s.who[%d]", key, i), "%q matches none of %s to %s", p, all[0], all[len(all)-1])
		}
	}
	return nil
}

// Names are those of the relays, n0 and on, or of the members, s0 and on.
func (f *File) Names(kind string) (all []string) {
	n := f.Relays.Count
	if kind == "s" {
		n = f.Members.Count
	}
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d", kind, i))
	}
	return all
}

func (f *File) ends(side string) []string {
	if side == "from" {
		return append(f.Names("n"), "front")
	}
	return append(append(f.Names("n"), f.Names("s")...), "discovery")
}

// Resize has other numbers of relays and members than the file says, and as many times its clients; 0 leaves one as it is.
func (f *File) Resize(relays, members int, clients float64) error {
	if relays > 0 {
		f.Relays.Count = relays
	}
	if members > 0 {
		f.Members.Count = members
	}
	if clients > 0 {
		f.Clients.Standing, f.Clients.Rate = int(math.Round(float64(f.Clients.Standing)*clients)), f.Clients.Rate*clients
	}
	return f.check()
}

// For is the file as a variant is played.
func (f *File) For(v Variant) *File {
	own := *f
	if v.Faults != nil {
		own.Faults = v.Faults
	}
	if v.Flaw != nil {
		own.Members.Flaw = *v.Flaw
	}
	return &own
}

// CheckZones wants the zones of the faults among these.
func (f *File) CheckZones(zones []string) error {
	for i, x := range f.Faults {
		if x.Zone != "" && !slices.Contains(zones, x.Zone) {
			return f.fault(fmt.Sprintf("faults[%d].zone", i), "%q is none of %v", x.Zone, zones)
		}
	}
	return nil
}

func match(patterns, names []string) (out []string) {
	for _, n := range names {
		for _, p := range patterns {
			if ok, err := path.Match(p, n); ok && err == nil {
				out = append(out, n)
				break
			}
		}
	}
	return out
}

func sorted[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Millis turns a figure of the file into a time.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Merge puts a change into a text as RFC 7386 says: objects are merged, null takes a key out, all else replaces.
func Merge(text, change json.RawMessage) (json.RawMessage, error) {
	if len(change) == 0 {
		return text, nil
	}
	var a, b any
	if err := errors.Join(json.Unmarshal(text, &a), json.Unmarshal(change, &b)); err != nil {
		return nil, err
	}
	return json.Marshal(merge(a, b))
}

func merge(a, b any) any {
	change, ok := b.(map[string]any)
	if !ok {
		return b
	}
	out, ok := a.(map[string]any)
	if !ok {
		out = map[string]any{}
	}
	for k, v := range change {
		if v == nil {
			delete(out, k)
		} else {
			out[k] = merge(out[k], v)
		}
	}
	return out
}
