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

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// File is what an operator writes. Spans are in milliseconds.
type File struct {
	About         string          `json:"about"`
	Config        string          `json:"config"` // the relays' configuration; relative to this file
	Patch         json.RawMessage `json:"change"` // merged into it (RFC 7386)
	Seed          uint64          `json:"seed"`
	Seconds       float64         `json:"seconds"` // how long clients come
	MeasureFromMs float64         `json:"from_ms"` // when measuring begins
	Relays        RelaySpec       `json:"relays"`
	Members       MemberSpec      `json:"members"`
	Discovery     DiscoverySpec   `json:"discovery"`
	Front         FrontSpec       `json:"front"`
	Clients       ClientSpec      `json:"clients"`
	Faults        []Fault         `json:"faults"`
	Variants      []Variant       `json:"variants"`
	Repetitions   int             `json:"repetitions"` // of each draw
	Seeds         int             `json:"seeds"`       // how many draws: of this seed and those after it
	CheckLeaks    bool            `json:"settle"`      // in the end what relays still hold is held against what they held before clients came

	lines map[string]int
}

// RelaySpec.
type RelaySpec struct {
	Count          int     `json:"count"`
	PollPeersMs    float64 `json:"views_ms"` // how often each is asked what it knows of the others; 0: never
	RestartDelayMs float64 `json:"host_ms"`  // after it has ended because it was told to, a relay is started again
	Voters         int     `json:"voters"`   // of those with the setting fleet, the first so many vote
}

// MemberSpec.
type MemberSpec struct {
	Count            int        `json:"count"`
	Cores            [2]float64 `json:"cores"`     // weightedIndex between these
	MaxConnections   int        `json:"most"`      // connections that one holds; 0: without bound
	ConnectionWorkMs float64    `json:"open_ms"`   // a core's work for a new connection
	GroupWorkMs      float64    `json:"group_ms"`  // further work for the first of a group
	ReportAgeMs      float64    `json:"report_ms"` // how old a report may be
	ReportError      float64    `json:"rough"`     // by which part it may be off
	Defect           Defect     `json:"flaw"`      // of those that come in the place of others
	DrainMs          float64    `json:"leave_ms"`  // how long after it drains a member sends its clients away
}

// DiscoverySpec.
type DiscoverySpec struct {
	PropagationDelayMs float64 `json:"lag_ms"`
}

// FrontSpec.
type FrontSpec struct {
	PingMs           float64 `json:"ping_ms"`
	FailureTimeoutMs float64 `json:"notice_ms"` // how long a relay does not answer until it is given nothing more
}

// ClientSpec.
type ClientSpec struct {
	Initial           int        `json:"standing"`   // who come before measuring begins, and stay on average as long as the others
	ArrivalsPerSecond float64    `json:"per_second"` // new ones
	MeanStayMs        float64    `json:"stay_ms"`    // mean
	Load              [2]float64 `json:"load"`       // cores
	Groups            int        `json:"groups"`
	ReconnectMs       [2]float64 `json:"again_ms"` // after a break
	LineIntervalMs    float64    `json:"line_ms"`  // how often one says something
	AnswerWithinMs    float64    `json:"well_ms"`  // within which it is answered, if it is served well
	AbandonRate       float64    `json:"leave"`    // part of the tries whose client goes before its answer
}

// Variant is played beside others on the same draw.
type Variant struct {
	Name    string          `json:"name"`
	Program string          `json:"program"` // of the relay; relative to the file; empty: the one that rehearses
	Patch   json.RawMessage `json:"change"`
	Faults  []Fault         `json:"faults"` // in the place of the file's; absent: the file's
	Defect  *Defect         `json:"flaw"`   // likewise
}

// Defect is what a new build of members does wrong.
type Defect struct {
	FailureRate float64 `json:"fail"`     // part of the first lines answered with ERR
	DelayMs     float64 `json:"delay_ms"` // before each answer to one
	Zone        string  `json:"zone"`     // to relays of this zone alone
}

// Fault is one entry of the time line.
type Fault struct {
	AtMs     float64  `json:"at_ms"`
	ForMs    float64  `json:"for_ms"` // until it is undone; 0: it stays
	Action   string   `json:"do"`
	Targets  []string `json:"who"`  // patterns of names
	Zone     string   `json:"zone"` // only who is there
	Count    int      `json:"count"`
	Fraction float64  `json:"part"`
	EveryMs  float64  `json:"every_ms"` // one after the other; 0: all at once
	From     []string `json:"from"`     // of links
	To       []string `json:"to"`
	Impairment
	AnswerDelayMs   float64         `json:"late_ms"` // of discovery
	IdleConnections int             `json:"idle"`    // of a crowd: connections to each relay
	SignalSeries    bool            `json:"series"`  // of term: SIGHUP and SIGTERM in series with it
	LoseState       bool            `json:"lose_state"`
	OldState        bool            `json:"old_state"` // as the last copy_state left it
	Call            string          `json:"call"`      // to the fleet, such as "POST /-/releases"; asked again until it is agreed
	Body            json.RawMessage `json:"body"`
}

// ReportError is what a link does to what passes it.
type Impairment struct {
	Loss        float64 `json:"loss"` // of datagrams
	Duplication float64 `json:"repeat"`
	DelayMs     float64 `json:"delay_ms"`
	JitterMs    float64 `json:"jitter_ms"`
	RateKBps    float64 `json:"kb_per_s"`
}

// Leader names whichever relay leads the fleet when its turn comes.
const Leader = "leader"

// What a fault does, to whom, and what undoes it.
var actions = map[string]struct{ whom, undo string }{
	"kill": {"n", "start"}, "stop": {"n", "continue"}, "continue": {"n", ""}, "term": {"n", "start"}, "start": {"n", ""},
	"silent": {"s", "well"}, "failing": {"s", "well"}, "well": {"s", ""}, "die": {"s", "return"}, "return": {"s", ""},
	"drain": {"s", "return"}, "replace": {"s", ""},
	"down": {"discovery", "up"}, "up": {"discovery", ""}, "late": {"discovery", "on_time"}, "on_time": {"discovery", ""},
	"crowd": {"n", "disperse"}, "disperse": {"n", ""}, "trouble": {"n", "calm"}, "calm": {"n", ""}, "pause": {"n", "continue"},
	"old": {"discovery", ""}, "call": {"n", ""}, "copy_state": {"n", ""}, "configure": {"n", ""},
	"cut": {"link", "heal"}, "cut_one_way": {"link", "heal"}, "rough": {"link", "heal"}, "heal": {"link", ""}, "reset": {"link", ""}, "stall": {"link", ""},
}

// drainMarginMs is how long after it has sent its clients away a member that drains is certainly gone, in milliseconds.
const drainMarginMs = 1500

// Decode reads a file's text. Zones are those of the configuration that it names; they are checked later, by Check.
func Decode(text []byte) (*File, error) {
	at, err := keyLines(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	f := &File{lines: at}
	if keys := unknownKeys(at, reflect.TypeFor[File]()); len(keys) > 0 {
		sort.Slice(keys, func(i, j int) bool {
			return at[keys[i]] < at[keys[j]] || at[keys[i]] == at[keys[j]] && keys[i] < keys[j]
		})
		return nil, f.keyError(keys[0], "is no key of a rehearsal")
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
	f.applyDefaults()
	return f, f.validate()
}

// keyError is an error about a key, with its line.
func (f *File) keyError(key, format string, args ...any) error {
	line, ok := f.lines[key]
	for up := key; !ok && up != ""; line, ok = f.lines[up] { // a key that is absent stands where its object begins
		up = up[:lastSeparator(up)]
	}
	return fmt.Errorf("%w: line %d: %s: %s", ErrInvalid, max(line, 1), key, fmt.Sprintf(format, args...))
}

func lastSeparator(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '.' || s[i] == '[' {
			return i
		}
	}
	return 0
}

// applyDefaults puts the usual values in the place of absent ones.
func (f *File) applyDefaults() {
	for _, d := range []struct {
		to  *float64
		was float64
	}{
		{&f.Front.PingMs, 500}, {&f.Relays.RestartDelayMs, 500}, {&f.Front.FailureTimeoutMs, 2000}, {&f.Clients.LineIntervalMs, 500}, {&f.Clients.AnswerWithinMs, 500}, {&f.Clients.MeanStayMs, 20000},
		{&f.Members.DrainMs, 1000}, {&f.Members.ReportAgeMs, 200}, {&f.MeasureFromMs, 3000},
	} {
		if *d.to == 0 {
			*d.to = d.was
		}
	}
	if f.Members.Cores == [2]float64{} {
		f.Members.Cores = [2]float64{1, 1}
	}
	if f.Clients.ReconnectMs == [2]float64{} {
		f.Clients.ReconnectMs = [2]float64{130, 1800}
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

func (f *File) validate() error {
	for _, c := range []struct {
		key      string
		v        float64
		low, top float64
	}{
		{"seconds", f.Seconds, 1, 3600}, {"from_ms", f.MeasureFromMs, 0, f.Seconds * 1000}, {"relays.count", float64(f.Relays.Count), 1, 900},
		{"members.count", float64(f.Members.Count), 1, 3200}, {"relays.views_ms", f.Relays.PollPeersMs, 0, 1e5}, {"relays.host_ms", f.Relays.RestartDelayMs, 0, 1e5}, {"relays.voters", float64(f.Relays.Voters), 1, 5}, {"members.cores", f.Members.Cores[0], 0.01, f.Members.Cores[1]},
		{"members.most", float64(f.Members.MaxConnections), 0, 1e6}, {"members.open_ms", f.Members.ConnectionWorkMs, 0, 1e4}, {"members.group_ms", f.Members.GroupWorkMs, 0, 1e4},
		{"members.report_ms", f.Members.ReportAgeMs, 0, 1e5}, {"members.rough", f.Members.ReportError, 0, 0.9}, {"members.leave_ms", f.Members.DrainMs, 0, 1e6},
		{"discovery.lag_ms", f.Discovery.PropagationDelayMs, 0, 1e5}, {"front.ping_ms", f.Front.PingMs, 10, 1e5}, {"front.notice_ms", f.Front.FailureTimeoutMs, 10, 1e5},
		{"clients.standing", float64(f.Clients.Initial), 0, 20000}, {"clients.per_second", f.Clients.ArrivalsPerSecond, 0, 2000},
		{"clients.stay_ms", f.Clients.MeanStayMs, 100, 1e8}, {"clients.load", f.Clients.Load[0], 0, f.Clients.Load[1]},
		{"clients.again_ms", f.Clients.ReconnectMs[0], 0, f.Clients.ReconnectMs[1]}, {"clients.line_ms", f.Clients.LineIntervalMs, 20, 1e5},
		{"clients.groups", float64(f.Clients.Groups), 1, 1e9}, {"clients.well_ms", f.Clients.AnswerWithinMs, 1, 1e5}, {"repetitions", float64(f.Repetitions), 1, 100},
		{"seeds", float64(f.Seeds), 1, 1000}, {"clients.leave", f.Clients.AbandonRate, 0, 1},
	} {
		if !(c.v >= c.low && c.v <= c.top) {
			return f.keyError(c.key, "%v is not from %v to %v", c.v, c.low, c.top)
		}
	}
	if err := f.validateDefect("members.flaw", &f.Members.Defect); err != nil {
		return err
	}
	if f.Config == "" {
		return f.keyError("config", "names no configuration of a relay")
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		if key := fmt.Sprintf("variants[%d].name", i); v.Name == "" || names[v.Name] {
			return f.keyError(key, "%q: each variant has a name of its own", v.Name)
		}
		names[v.Name] = true
		if err := f.validateDefect(fmt.Sprintf("variants[%d].flaw", i), v.Defect); err != nil {
			return err
		}
		for k := range v.Faults {
			if err := f.validateFault(fmt.Sprintf("variants[%d].faults[%d]", i, k), &f.Variants[i].Faults[k]); err != nil {
				return err
			}
		}
	}
	for i := range f.Faults {
		if err := f.validateFault(fmt.Sprintf("faults[%d]", i), &f.Faults[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) validateDefect(key string, x *Defect) error {
	if x != nil && !(x.FailureRate >= 0 && x.FailureRate <= 1 && x.DelayMs >= 0 && x.DelayMs <= 1e4) {
		return f.keyError(key, "fail is a part of all, delay_ms from 0 to 10,000")
	}
	return nil
}

func (f *File) validateFault(key string, x *Fault) error {
	v, ok := actions[x.Action]
	if !ok {
		return f.keyError(key+".do", "%q is none of %v", x.Action, sorted(actions))
	}
	for _, c := range []struct {
		key      string
		v        float64
		low, top float64
	}{
		{"at_ms", x.AtMs, 0, f.Seconds * 1000}, {"for_ms", x.ForMs, 0, 1e8}, {"every_ms", x.EveryMs, 0, 1e7}, {"part", x.Fraction, 0, 1},
		{"count", float64(x.Count), 0, 1e4}, {"loss", x.Loss, 0, 1}, {"repeat", x.Duplication, 0, 1}, {"delay_ms", x.DelayMs, 0, 1e5},
		{"jitter_ms", x.JitterMs, 0, 1e5}, {"idle", float64(x.IdleConnections), 0, 10000}, {"kb_per_s", x.RateKBps, 0, 1e6}, {"late_ms", x.AnswerDelayMs, 0, 1e5},
	} {
		if !(c.v >= c.low && c.v <= c.top) {
			return f.keyError(key+"."+c.key, "%v is not from %v to %v", c.v, c.low, c.top)
		}
	}
	if x.ForMs > 0 && v.undo == "" {
		return f.keyError(key+".for_ms", "%q cannot be undone", x.Action)
	}
	if leaves := f.Members.DrainMs + drainMarginMs; x.Action == "drain" && x.ForMs > 0 && x.ForMs < leaves {
		return f.keyError(key+".for_ms", "%v: a member that drains is gone after %v", x.ForMs, leaves)
	}
	if v.whom == "link" {
		if len(x.From) == 0 || len(x.To) == 0 {
			return f.keyError(key, "%q needs from and to", x.Action)
		}
		if x.Action == "rough" && x.Impairment == (Impairment{}) {
			return f.keyError(key, "names nothing that the link should do")
		}
		for side, all := range map[string][]string{"from": x.From, "to": x.To} {
			for i, p := range all {
				if at := fmt.Sprintf("%s.%s[%d]", key, side, i); len(match([]string{p}, f.linkEnds(side))) == 0 {
					return f.keyError(at, "%q matches none of %s", p, map[string]string{"from": "n0 and on, front", "to": "n0 and on, s0 and on, discovery"}[side])
				}
			}
		}
		return nil
	}
	if v.whom == "discovery" {
		return nil
	}
	if x.Action == "call" {
		method, target, ok := strings.Cut(x.Call, " ")
		if !ok || !strings.HasPrefix(target, "/-/") || method != "POST" && method != "PUT" {
			return f.keyError(key+".call", "%q is no POST or PUT of a path below /-/", x.Call)
		}
	}
	if len(x.Targets) == 0 {
		return f.keyError(key+".who", "names nobody")
	}
	if v.whom == "n" && slices.Equal(x.Targets, []string{Leader}) {
		return nil
	}
	for i, p := range x.Targets {
		if all := f.TargetNames(v.whom); len(match([]string{p}, all)) == 0 {
			return f.keyError(fmt.Sprintf("%s.who[%d]", key, i), "%q matches none of %s to %s", p, all[0], all[len(all)-1])
		}
	}
	return nil
}

// TargetNames are those of the relays, n0 and on, or of the members, s0 and on.
func (f *File) TargetNames(kind string) (all []string) {
	n := f.Relays.Count
	if kind == "s" {
		n = f.Members.Count
	}
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d", kind, i))
	}
	return all
}

func (f *File) linkEnds(side string) []string {
	if side == "from" {
		return append(f.TargetNames("n"), "front")
	}
	return append(append(f.TargetNames("n"), f.TargetNames("s")...), "discovery")
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
		f.Clients.Initial, f.Clients.ArrivalsPerSecond = int(math.Round(float64(f.Clients.Initial)*clients)), f.Clients.ArrivalsPerSecond*clients
	}
	return f.validate()
}

// ForVariant is the file as a variant is played.
func (f *File) ForVariant(v Variant) *File {
	own := *f
	if v.Faults != nil {
		own.Faults = v.Faults
	}
	if v.Defect != nil {
		own.Members.Defect = *v.Defect
	}
	return &own
}

// CheckZones wants the zones of the faults among these.
func (f *File) CheckZones(zones []string) error {
	for i, x := range f.Faults {
		if x.Zone != "" && !slices.Contains(zones, x.Zone) {
			return f.keyError(fmt.Sprintf("faults[%d].zone", i), "%q is none of %v", x.Zone, zones)
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

// MergePatch puts a change into a text as RFC 7386 says: objects are merged, null takes a key out, all else replaces.
func MergePatch(text, change json.RawMessage) (json.RawMessage, error) {
	if len(change) == 0 {
		return text, nil
	}
	var a, b any
	if err := errors.Join(json.Unmarshal(text, &a), json.Unmarshal(change, &b)); err != nil {
		return nil, err
	}
	return json.Marshal(mergePatch(a, b))
}

func mergePatch(a, b any) any {
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
			out[k] = mergePatch(out[k], v)
		}
	}
	return out
}
