package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// State is what the fleet has agreed on. Made by New or Decode.
type State struct{ record record }

type record struct {
	Version           uint64       `json:"version"` // rises with every change of what is out or ordered
	Time              int64        `json:"at"`
	LastNumber        uint64       `json:"number"` // the last given to an order, a ban or a permit
	Releases          []release    `json:"releases,omitempty"`
	Permits           []Permit     `json:"permits,omitempty"`
	Ejections         []Ejection   `json:"bans,omitempty"` // by name
	Quarantines       []Quarantine `json:"shuts,omitempty"`
	RelayDurationsMS  []int64      `json:"relays,omitempty"` // ms that the last units took until they were back
	MemberDurationsMS []int64      `json:"members,omitempty"`
}

const maxDurations = 32

type release struct {
	ReleaseStatus
	UnitsSet           bool    `json:"laid,omitempty"`
	UnitsSetAt         int64   `json:"since,omitempty"`   // when it was laid out: the service after it is held against that of before
	ResumedAt          int64   `json:"resumed,omitempty"` // what is overdue counts from here
	ProgressAt         int64   `json:"moved,omitempty"`   // the last time that something went on
	BaselineRequested  float64 `json:"asked,omitempty"`   // before it
	BaselineServed     float64 `json:"served,omitempty"`
	BaselineDispersion float64 `json:"spread,omitempty"` // by how much windows differed beyond chance
	HaltCauses         []Cause `json:"causes,omitempty"` // of its halts by itself so far
}

// New is a state in which nothing was agreed.
func New() *State { return &State{} }

// Version rises with every change of what is out or ordered.
func (s *State) Version() uint64 { return s.record.Version }

// Encode is the whole state.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.record)
	if err != nil {
		panic(err) // only a float that is no number, and Apply lets none in
	}
	return b
}

// Decode is the reverse. What is beyond the bounds is refused.
func Decode(b []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(b, &s.record); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	units := 0
	for _, r := range s.record.Releases {
		units += len(r.Units)
	}
	if len(s.record.Releases) > MaxReleases || units > MaxUnits || len(s.record.Permits) > MaxPermits || len(s.record.Ejections) > MaxEjections || len(s.record.Quarantines) > MaxQuarantines {
		return nil, fmt.Errorf("rollout: a state beyond its bounds")
	}
	return s, nil
}

// Orders are what a relay is to do now.
func (s *State) Orders(relay string) Orders {
	var o Orders
	out := func(name string, x Exclusion) {
		if o.Exclusions == nil {
			o.Exclusions = map[string]Exclusion{}
		}
		o.Exclusions[name] = x
	}
	for _, r := range s.record.Releases {
		for _, u := range r.Units {
			switch {
			case u.Kind == KindRelay && u.Name == relay && u.Phase == PhaseLeaving:
				o.Leave = &LeaveOrder{Number: u.OrderNumber, Release: r.Name, StartNumber: uint64(u.SeenStart), Program: r.Spec.Program, Config: r.Spec.Config}
				if u.Reverting {
					o.Leave.Program, o.Leave.Config = u.PreviousProgram, u.PreviousConfig
				}
			case u.Kind == KindMember && (u.Phase == PhaseLeaving || u.Phase == PhaseDrained || u.Phase == PhaseDone && r.Spec.Drain):
				out(u.currentName(), Exclusion{Reason: ExcludedByDrain, Number: u.OrderNumber, Since: u.OrderedAt, MigrateOverMS: u.MigrateOverMS})
			}
		}
	}
	for _, b := range s.record.Ejections {
		out(b.Name, Exclusion{Reason: ExcludedByEjection, Number: b.Number, Since: b.Since})
	}
	if x := s.record.findQuarantine(relay); x != nil && x.ReadmittedVersion == 0 {
		o.Quarantine = &QuarantineOrder{Number: x.Number, Since: x.Since, Reason: x.Reason, StartNumber: x.StartNumber}
	}
	return o
}

// Releases are all that are kept, in the order in which they were opened.
func (s *State) Releases() []ReleaseStatus {
	var list []ReleaseStatus
	for i := range s.record.Releases {
		list = append(list, s.record.Releases[i].status())
	}
	return list
}

// Release is one of them.
func (s *State) Release(name string) (ReleaseStatus, bool) {
	if r := s.record.findRelease(name); r != nil {
		return r.status(), true
	}
	return ReleaseStatus{}, false
}

// Permits are those that wait or are in force, the oldest first.
func (s *State) Permits() []Permit { return slices.Clone(s.record.Permits) }

// Ejections are all that stand, by name.
func (s *State) Ejections() []Ejection { return slices.Clone(s.record.Ejections) }

// Quarantines are the relays that are shut.
func (s *State) Quarantines() []Quarantine {
	return slices.DeleteFunc(slices.Clone(s.record.Quarantines), func(x Quarantine) bool { return x.ReadmittedVersion != 0 })
}

// clone shares nothing that a command changes.
func (d *record) clone() record {
	c := *d
	c.Releases, c.Permits, c.Ejections = slices.Clone(d.Releases), slices.Clone(d.Permits), slices.Clone(d.Ejections)
	c.Quarantines = slices.Clone(d.Quarantines)
	c.RelayDurationsMS, c.MemberDurationsMS = slices.Clone(d.RelayDurationsMS), slices.Clone(d.MemberDurationsMS)
	for i := range c.Releases {
		r := &c.Releases[i]
		r.Units, r.HaltCauses = slices.Clone(r.Units), slices.Clone(r.HaltCauses)
		if r.Halt != nil {
			stop := *r.Halt
			r.Halt = &stop
		}
	}
	return c
}

func (r *release) status() ReleaseStatus {
	a := r.ReleaseStatus
	a.Units = slices.Clone(a.Units)
	a.Counts = UnitCounts{}
	for i := range a.Units {
		u := &a.Units[i]
		switch {
		case u.Phase == PhaseDone:
			a.Counts.Done++
		case u.isOut():
			a.Counts.Out++
		default:
			a.Counts.Pending++
		}
		switch {
		case u.Stranded:
			a.Exceptions = append(a.Exceptions, u.Name+": not seen back in time")
		case u.Phase == PhaseMissing:
			a.Exceptions = append(a.Exceptions, u.Name+": was not there")
		case r.RollingBack && u.Phase == PhaseDone && !r.revertible(u):
			a.Exceptions = append(a.Exceptions, u.Name+": was restarted, which has no way back")
		}
	}
	return a
}

func (d *record) findRelease(name string) *release {
	for i := range d.Releases {
		if d.Releases[i].Name == name {
			return &d.Releases[i]
		}
	}
	return nil
}

func (r *release) findUnit(name string) *Unit {
	for i := range r.Units {
		if r.Units[i].Name == name {
			return &r.Units[i]
		}
	}
	return nil
}

func (d *record) findQuarantine(name string) *Quarantine {
	for i := range d.Quarantines {
		if d.Quarantines[i].Name == name {
			return &d.Quarantines[i]
		}
	}
	return nil
}

func (d *record) findPermit(number uint64) *Permit {
	for i := range d.Permits {
		if d.Permits[i].Number == number {
			return &d.Permits[i]
		}
	}
	return nil
}

func (d *record) findEjection(name string) (int, bool) {
	return slices.BinarySearchFunc(d.Ejections, name, func(b Ejection, name string) int { return cmp.Compare(b.Name, name) })
}

func (r *release) ended() bool { return r.State == ReleaseCompleted || r.State == ReleaseRolledBack }

// currentName is what the thing is called now.
func (u *Unit) currentName() string { return cmp.Or(u.Successor, u.Name) }

// isOut says whether it counts as out by plan.
func (u *Unit) isOut() bool {
	return u.Phase == PhaseLeaving || u.Phase == PhaseDrained || u.Phase == PhaseReplaced || u.Phase == PhaseRevoked
}

// revertible says whether there is a way back for a unit that has the new thing. A relay's restart alone has none.
func (r *release) revertible(u *Unit) bool {
	if !u.Updated || r.Spec.Drain {
		return false
	}
	switch u.Kind {
	case KindRelay:
		other := func(now, before string) bool { return now != "" && before != "" && now != before } // what it ran may not be known
		return other(r.Spec.Program, u.PreviousProgram) || other(r.Spec.Config, u.PreviousConfig)
	case KindEject:
		return !u.PreviouslyEjected
	case KindReinstate:
		return u.PreviouslyEjected
	}
	return true
}

// targetVersion are program and configuration that a unit is to come back with; "" for any.
func (r *release) targetVersion(u *Unit, undo bool) (program, config string) {
	switch {
	case !undo:
		return r.Spec.Program, r.Spec.Config
	case r.Spec.Program != "" && r.Spec.Config != "":
		return u.PreviousProgram, u.PreviousConfig
	case r.Spec.Program != "":
		return u.PreviousProgram, ""
	case r.Spec.Config != "":
		return "", u.PreviousConfig
	}
	return "", ""
}

// summary is whose budget a kind of thing draws on.
func budgetKind(kind Kind) Kind {
	if kind == KindRelay {
		return KindRelay
	}
	return KindMember
}

// of says whether a thing is one of the wish's.
func (w *ReleaseSpec) selects(name, zone string) bool {
	return w.All || slices.Contains(w.Names, name) || slices.Contains(w.Zones, zone)
}

// overlaps says whether two wishes touch the same things. Whoever names all, or zones, may touch any.
func (w *ReleaseSpec) overlaps(x *ReleaseSpec) bool {
	if budgetKind(w.Kind) != budgetKind(x.Kind) {
		return false
	}
	if w.All || x.All || len(w.Zones) > 0 || len(x.Zones) > 0 {
		return true
	}
	mine := slices.Concat(w.Names, w.Eject, w.Reinstate)
	return slices.ContainsFunc(slices.Concat(x.Names, x.Eject, x.Reinstate), func(n string) bool { return slices.Contains(mine, n) })
}

// ---- Settings ----

// ParseLimit reads "25%" or "2".
func ParseLimit(text string) (Limit, error) {
	if number, ok := strings.CutSuffix(text, "%"); ok {
		p, err := strconv.ParseFloat(number, 64)
		if err != nil || !(p > 0 && p <= 100) {
			return Limit{}, fmt.Errorf("%q is no part between 0%% and 100%%", text)
		}
		return Limit{Share: p / 100}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return Limit{}, fmt.Errorf("%q is no number from 1 up, and no part as \"25%%\"", text)
	}
	return Limit{Count: n}, nil
}

func (p Limit) isSet() bool { return p.Count > 0 || p.Share > 0 }

// of is how many of so many things. A part is rounded down: a quarter of three is none.
func (p Limit) resolve(n int) int {
	if p.Count > 0 {
		return min(p.Count, n)
	}
	return int(math.Floor(p.Share*float64(n) + 1e-9))
}

func (b Budget) totalLimit(n int) int {
	if !b.Total.isSet() {
		return min(1, n)
	}
	return b.Total.resolve(n)
}

func (b Budget) zoneLimit(n int) int {
	if !b.PerZone.isSet() {
		return n
	}
	return b.PerZone.resolve(n)
}

// Unusable says what of the budgets can never let anything out, for a fleet with so many things in each zone; "" if nothing.
func (b Budgets) Unusable(relays, members map[string]int) string {
	var all []string
	for _, x := range []struct {
		what   string
		budget Budget
		zones  map[string]int
	}{{"relays", b.Relays, relays}, {"members", b.Members, members}} {
		total := 0
		for _, n := range x.zones {
			total += n
		}
		if total > 0 && x.budget.totalLimit(total) < 1 {
			all = append(all, fmt.Sprintf("%s: the budget of the whole lets none of %d out", x.what, total))
		}
		var none []string
		for zone, n := range x.zones {
			if n > 0 && x.budget.zoneLimit(n) < 1 {
				none = append(none, zone)
			}
		}
		slices.Sort(none)
		if len(none) > 0 {
			all = append(all, fmt.Sprintf("%s: the budget of a zone lets none out in %s", x.what, strings.Join(none, ", ")))
		}
	}
	return strings.Join(all, "; ")
}
