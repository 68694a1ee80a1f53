package rollout

import (
	"cmp"
	"slices"
)

// Ejection keeps a member out of service until an operator or a release lifts it. The commands "ban"
// and "allow" and their answers call it a ban. Unlike a drain it leaves the member's flows in place.
type Ejection struct {
	Name      string `json:"name"`
	Reason    string `json:"why,omitempty"`
	EjectedBy string `json:"by"`
	Since     int64  `json:"since"`
	Number    uint64 `json:"number"`
}

// changeEjections ejects or reinstates members for an operator. It is not limited by the budgets.
// Ejected members count as unavailable.
func (rec *record) changeEjections(at int64, c *Command) Result {
	if len(c.Names) == 0 || len(c.Names) > MaxEjections {
		return reject("no names, or over %d", MaxEjections)
	}
	for _, name := range c.Names {
		if name == "" || len(name) > MaxNameBytes {
			return reject("%q is no name", truncate(name, MaxNameBytes))
		}
	}
	if c.Kind == CommandEject && len(rec.Ejections)+len(c.Names) > MaxEjections {
		return reject("over %d bans", MaxEjections)
	}
	changed := false
	for _, name := range c.Names {
		changed = rec.setEjected(at, name, c.Reason, c.Requester, c.Kind == CommandEject) || changed
		if c.Kind == CommandReinstate {
			changed = rec.reinstateUnits(at, name) || changed
		}
	}
	if changed {
		rec.Version++
	}
	return Result{}
}

// reinstateUnits ends the drain of a member. It also accepts a stranded member of an ended release as it
// is; otherwise the member might stay out for good.
func (rec *record) reinstateUnits(at int64, name string) (changed bool) {
	for r, u := range rec.units() {
		switch {
		case u.currentName() != name:
		case u.cancelDrain(r, rec.Version+1):
			r.rollBack(at)
			changed = true
		case u.Stranded && u.Kind == KindMember && r.ended() && u.isOut():
			u.Phase, changed = PhaseMissing, true
		}
	}
	return changed
}

func (rec *record) setEjected(at int64, name, reason, by string, ejected bool) (changed bool) {
	index, ejectedNow := rec.findEjection(name)
	switch {
	case ejectedNow == ejected:
		return false
	case !ejected:
		rec.Ejections = slices.Delete(rec.Ejections, index, index+1)
	default:
		rec.Ejections = slices.Insert(rec.Ejections, index, Ejection{Name: name, Reason: reason, EjectedBy: by, Since: at, Number: rec.nextNumber()})
	}
	return true
}

// findEjection returns the index of the member's ejection, or the index at which to insert it.
func (rec *record) findEjection(name string) (index int, found bool) {
	return slices.BinarySearchFunc(rec.Ejections, name, func(e Ejection, name string) int { return cmp.Compare(e.Name, name) })
}

func (rec *record) isEjected(name string) bool {
	_, ejected := rec.findEjection(name)
	return ejected
}
